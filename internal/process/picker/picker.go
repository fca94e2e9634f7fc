// The table of pickers by name, and the baseline.

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

// New returns the picker of that name. The error's peer is the name.
func New(name string, options Options) (flow.Picker, error) {
	switch name {
	case NameTwoChoices:
		return newTwoChoices(options.Seed), nil
	case NameRoundRobin:
		return &roundRobin{}, nil
	}
	return nil, flow.Wrap(StepNew, name, errUnknown)
}

// Names returns the names that New takes, the one to use first.
func Names() []string {
	return []string{NameTwoChoices, NameRoundRobin}
}

// usable returns the indices of the candidates that need not be avoided, or of
// all when none is left.
func usable(candidates []flow.Candidate) []int {
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

// -----------------------------------------------------------------------------

// roundRobin takes the usable candidates in turn.
type roundRobin struct {
	turn int
}

// Pick returns the next usable candidate.
func (r *roundRobin) Pick(_ flow.Time, candidates []flow.Candidate) (int, bool) {
	indices := usable(candidates)
	if len(indices) == 0 {
		return 0, false
	}
	r.turn++
	return indices[r.turn%len(indices)], true
}
