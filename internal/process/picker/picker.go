// The table of pickers by name, and round robin.

package picker

import (
	"errors"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The names of the pickers.
const (
	NameTwoChoices = "two-choices"
	NameRoundRobin = "round-robin"
)

// StepNew is the step of the errors of New.
const StepNew = flow.Step("new-picker")

var errUnknown = errors.New("no such picker")

// Options of a picker.
type Options struct {
	Seed uint64 // of the random draws
}

// New returns the picker with the given name, or an error of step StepNew whose
// peer is the name.
func New(name string, options Options) (flow.Picker, error) {
	switch name {
	case NameTwoChoices:
		return newTwoChoices(options.Seed), nil
	case NameRoundRobin:
		return &roundRobin{}, nil
	}
	return nil, flow.Wrap(StepNew, name, errUnknown)
}

// Names returns the names that New accepts, the default first.
func Names() []string {
	return []string{NameTwoChoices, NameRoundRobin}
}

// eligible returns the indices of the candidates that need not be avoided, or of
// all candidates when each is to be avoided.
func eligible(candidates []flow.Candidate) []int {
	indices := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if !c.Avoid {
			indices = append(indices, i)
		}
	}
	if len(indices) > 0 {
		return indices
	}
	for i := range candidates {
		indices = append(indices, i)
	}
	return indices
}

// roundRobin picks the eligible candidates in turn.
type roundRobin struct {
	picks int
}

// Pick returns the next eligible candidate.
func (r *roundRobin) Pick(_ flow.Time, candidates []flow.Candidate) (int, bool) {
	indices := eligible(candidates)
	if len(indices) == 0 {
		return 0, false
	}
	r.picks++
	return indices[r.picks%len(indices)], true
}
