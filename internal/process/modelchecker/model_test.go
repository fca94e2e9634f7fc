package modelchecker_test

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// checkedSchedules is the number of schedules of each kind in the model check,
// and mutationSchedules the number within which every mutation must be found.
const (
	checkedSchedules  = "40"
	modelSeed         = "20261204"
	mutationSchedules = 100
)

// kinds are the kinds of schedules: all actions, and few that make for rare
// sequences.
var kinds = map[string][]action{
	"all":         nil,
	"partitions":  {isolate, partition, publish, blindness},
	"restarts":    {amnesia, crash},
	"lateness":    {lateSplit, noise, pause, publish},
	"lists":       {splitMove, quickLists, changeList},
	"list moves":  {splitMove, publish},
	"list splits": {moveSplit, changeList},
	"stops":       {stop, lateStop, changeList, pause},
}

func TestLeaseAndOwnershipHoldUnderRandomFaults(t *testing.T) {
	setFlag(t, "rapid.checks", checkedSchedules)
	setFlag(t, "rapid.seed", modelSeed)
	setFlag(t, "rapid.nofailfile", "true")
	reached := map[string]int{}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := schedules(kind...).Draw(t, "schedule")
				w := newWorld(s, mutation{})
				if err := s.run(w); err != nil {
					t.Fatal(err)
				}
				for what, count := range w.observer.counts {
					reached[what] += count
				}
			})
		})
	}
	t.Logf("reached: %v", reached)
	is := is.New(t)
	for _, what := range []string{"cession", "handed back", "list change", "new holder", "restart"} {
		is.True(reached[what] > 0) // a check that reaches nothing shows nothing
	}
}

func TestModelCheckFindsEveryMutation(t *testing.T) {
	cases := map[string]struct {
		fault mutation
		kind  string
	}{
		"read quorum one smaller":             {mutation{smallReadQuorum: true}, "partitions"},
		"no wait before rejoining":            {mutation{noRejoinWait: true}, "restarts"},
		"proofs count from receipt":           {mutation{proofsAtReceipt: true}, "lateness"},
		"joining processes count":             {mutation{joinersCount: true}, "restarts"},
		"highest revision not carried":        {mutation{revisionUnheard: true}, "partitions"},
		"new list alone at once":              {mutation{oneList: true}, "list moves"},
		"old lists dropped at once":           {mutation{dropsAtOnce: true}, "list splits"},
		"list retired without the lease time": {mutation{noLeaseWait: true}, "list moves"},
		"grants not waited for":               {mutation{noGrantWait: true}, "list moves"},
		"claims left out":                     {mutation{noClaims: true}, "stops"},
		"late cessions accepted":              {mutation{lateCessions: true}, "stops"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			generator := schedules(kinds[tc.kind]...)
			for seed := range mutationSchedules {
				s := generator.Example(seed)
				err := s.runFaults(newWorld(s, tc.fault))
				if err == nil {
					continue
				}
				is.NoErr(s.runFaults(newWorld(s, mutation{}))) // without the mutation the schedule is fine
				t.Logf("schedule %d: %v", seed, err)
				return
			}
			t.Fatalf("not found in %d schedules", mutationSchedules)
		})
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}
