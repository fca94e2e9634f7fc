// The search: kinds of schedules, mutations by name, and the checking of one
// schedule after the other.

package modelchecker

import (
	"context"
	"errors"
	"fmt"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Kind is a kind of schedules: those of all actions, or of few that make for
// rare sequences.
type Kind struct {
	Name    string
	actions []action
}

// Kinds returns the table of kinds.
func Kinds() []Kind { return kinds }

var kinds = []Kind{
	{"all", nil},
	{"partitions", []action{isolate, partition, publish, blindness}},
	{"restarts", []action{amnesia, crash}},
	{"lateness", []action{lateSplit, noise, pause, publish}},
	{"lists", []action{splitMove, quickLists, changeList}},
	{"list-moves", []action{splitMove, publish}},
	{"list-splits", []action{moveSplit, changeList}},
	{"stops", []action{stop, lateStop, changeList, pause}},
}

// Mutation takes one rule of the design away.
type Mutation struct {
	Name string
	Kind string // of the schedules that find it
	Help string
	rule mutation
}

// Mutations returns the table of mutations.
func Mutations() []Mutation { return mutations }

var mutations = []Mutation{
	{"small-read-quorum", "partitions", "the read quorum is one smaller", mutation{smallReadQuorum: true}},
	{"no-rejoin-wait", "restarts", "a restarted process counts as soon as it has a quorum", mutation{noRejoinWait: true}},
	{"proofs-at-receipt", "lateness", "proofs count from the arrival of the answer", mutation{proofsAtReceipt: true}},
	{"joiners-count", "restarts", "joining processes count like members", mutation{joinersCount: true}},
	{"revision-unheard", "partitions", "answers do not carry the highest revision", mutation{revisionUnheard: true}},
	{"one-list", "list-moves", "a new list is active at once, and alone", mutation{oneList: true}},
	{"drops-at-once", "list-splits", "older lists are dropped as soon as a newer one is active", mutation{dropsAtOnce: true}},
	{"no-lease-wait", "list-moves", "a list is retired as soon as a newer one is settled", mutation{noLeaseWait: true}},
	{"no-grant-wait", "list-moves", "grants of the last owner are not waited for", mutation{noGrantWait: true}},
	{"no-claims", "stops", "a restarted owner does not ask back what was ceded", mutation{noClaims: true}},
	{"late-cessions", "stops", "a cession may arrive at any time", mutation{lateCessions: true}},
}

// -----------------------------------------------------------------------------

// Search says which schedules to check.
type Search struct {
	Kind     Kind
	Mutation Mutation // the zero value takes no rule away
	From     uint64   // seed of the first schedule
	Count    int      // schedules, with the seeds that follow
}

// Finding is a schedule that breaks a promise.
type Finding struct {
	Seed  uint64
	Cause error    // the promise and how it is broken
	Steps []string // the shortest schedule that was found to break one, by leaving out steps
}

// Reached counts what happened in schedules, to see that they reach it.
type Reached map[string]int

// ErrNotServed is the failure to serve again after the network has healed. All
// other findings are broken promises.
var ErrNotServed = errors.New("not served")

// Run checks schedules until one breaks a promise, all are checked or ctx ends.
// The finding is nil when none was broken.
func (s Search) Run(ctx context.Context) (*Finding, Reached) {
	reached := Reached{}
	for seed := s.From; seed < s.From+uint64(s.Count) && ctx.Err() == nil; seed++ {
		drawn := newSchedule(seed, s.Kind.actions)
		w := newWorld(drawn, s.Mutation.rule)
		err := s.check(drawn, w)
		for what, count := range w.observer.counts {
			reached[what] += count
		}
		if err != nil {
			return &Finding{Seed: seed, Cause: err, Steps: s.shorten(drawn).describe()}, reached
		}
	}
	return nil, reached
}

// check runs one schedule. With a rule taken away, only broken promises count,
// not whether the healed network serves again.
func (s Search) check(drawn schedule, w *world) error {
	if s.Mutation.Name != "" {
		return drawn.runFaults(w)
	}
	return drawn.run(w)
}

// shorten leaves out steps for as long as what is left breaks a promise.
func (s Search) shorten(drawn schedule) schedule {
	for i := 0; i < len(drawn.Steps); {
		shorter := drawn.without(i)
		if s.check(shorter, newWorld(shorter, s.Mutation.rule)) == nil {
			i++
			continue
		}
		drawn = shorter
		i = 0
	}
	return drawn
}

// describe returns a line for each step.
func (s schedule) describe() []string {
	lines := []string{fmt.Sprintf("hosts %d, seed %d, early %t", s.Hosts, s.Seed, s.Early)}
	at := flow.Time(0)
	for _, next := range s.Steps {
		at += flow.Time(next.Wait)
		lines = append(lines, fmt.Sprintf("after %d ms: %s, target %d, mask %d, for %d ms", at, next.Action, next.Target, next.Mask, next.Long))
	}
	return lines
}
