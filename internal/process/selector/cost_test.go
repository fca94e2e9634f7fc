package selector_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// regionCandidates returns the servers of candidates, of which c and d are in another region.
func regionCandidates() []selector.Candidate {
	list := candidates()
	for i := range list {
		list[i].OtherRegion = !list[i].SameZone
	}
	return list
}

// TestPlanOverRegions guards against bytes between regions that no caller gains from, and
// against requests that wait long here while servers of another region are idle.
func TestPlanOverRegions(t *testing.T) {
	full := func(wait time.Duration) flow.ServerLoad {
		return flow.ServerLoad{QueueWait: wait, GrayProbability: healthy}
	}
	free := flow.ServerLoad{FreeSlots: 8, GrayProbability: healthy}
	cases := map[string]struct {
		loads map[string]flow.ServerLoad
		bytes float64
		want  string // prefix of the plan
	}{
		"free slot here, then a new plan":     {map[string]flow.ServerLoad{"a": free, "b": full(0), "c": free, "d": free}, 1000, "a | "},
		"short wait here":                     {map[string]flow.ServerLoad{"a": full(200 * time.Millisecond), "b": full(80 * time.Millisecond), "c": free, "d": full(0)}, 1000, "bw "},
		"long wait here":                      {map[string]flow.ServerLoad{"a": full(time.Second), "b": full(900 * time.Millisecond), "c": full(0), "d": free}, 1000, "d "},
		"long wait here, expensive bytes":     {map[string]flow.ServerLoad{"a": full(time.Second), "b": full(900 * time.Millisecond), "c": full(0), "d": free}, 50_000, "bw aw d "},
		"long wait here, last slot elsewhere": {map[string]flow.ServerLoad{"a": full(time.Second), "b": full(500 * time.Millisecond), "c": full(0), "d": {FreeSlots: 1, GrayProbability: healthy}}, 1000, "bw d "},
		"long wait here, slow server, fast one": {map[string]flow.ServerLoad{
			"a": full(2 * time.Second), "b": full(2 * time.Second),
			"c": {FreeSlots: 8, GrayProbability: healthy, MeanDuration: time.Second}, "d": {FreeSlots: 4, GrayProbability: healthy, MeanDuration: 200 * time.Millisecond},
		}, 1000, "d dw c "},
		"long wait here, likely failure there": {map[string]flow.ServerLoad{"a": full(time.Second), "b": full(800 * time.Millisecond), "c": full(2 * time.Second), "d": {FreeSlots: 8, GrayProbability: 0.4}}, 1000, "bw "},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := selector.New(rand.New(rand.NewPCG(1, 2)))
			for id, load := range tc.loads {
				s.UpdateLoad(0, id, load)
			}
			got := describeStages(s.Plan(0, selector.Query{Candidates: regionCandidates(), Bytes: tc.bytes, RetryBudgetLeft: true}))
			if !strings.HasPrefix(got+" ", tc.want) {
				t.Errorf("plan is %q, want prefix %q", got, tc.want)
			}
		})
	}
}

// describeStages describes a plan with a bar before an offer that needs a new plan.
func describeStages(plan []selector.Offer) string {
	var texts []string
	for _, offer := range plan {
		if offer.Replan {
			texts = append(texts, "|")
		}
		texts = append(texts, describe([]selector.Offer{offer}))
	}
	return strings.Join(texts, " ")
}

// TestSpillHasHysteresis guards against a choice between regions that changes with each
// report while both cost about the same.
func TestSpillHasHysteresis(t *testing.T) {
	is := is.New(t)
	s := selector.New(rand.New(rand.NewPCG(1, 2)))
	changes, spilling := 0, false
	for i := range 100 {
		now := flow.Time(10 * i)
		wait := 60 * time.Millisecond // about the cost of the way to another region
		if i%2 == 0 {
			wait += 80 * time.Millisecond
		}
		for _, id := range []string{"a", "b"} {
			s.UpdateLoad(now, id, flow.ServerLoad{QueueWait: wait, GrayProbability: healthy})
		}
		for _, id := range []string{"c", "d"} {
			s.UpdateLoad(now, id, flow.ServerLoad{FreeSlots: 8, GrayProbability: healthy})
		}
		s.Plan(now, selector.Query{Candidates: regionCandidates(), Bytes: 1000})
		if s.Spilling("") != spilling {
			spilling = !spilling
			changes++
		}
	}
	is.True(changes <= 1)
}

// TestSearchOverRegionsReachesEveryServer refuses every offer. A search must not end before
// each server was offered the request, also if a plan repeats the trial of a suspected
// server, and must end.
func TestSearchOverRegionsReachesEveryServer(t *testing.T) {
	cases := map[string]struct{ freeSlots int }{
		"daemons report that they are full":      {0},
		"daemons refuse although slots are free": {4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := selector.New(rand.New(rand.NewPCG(1, 2)))
			search := &selector.Search{Repeatable: true}
			offered := map[string]bool{}
			offers := 0
			for now := flow.Time(0); ; now++ {
				plan := s.Plan(now, selector.Query{Candidates: regionCandidates(), Repeatable: true, RetryBudgetLeft: true, Search: search})
				if !search.RecordPlan(plan) {
					break
				}
				if stage := slices.IndexFunc(plan, func(offer selector.Offer) bool { return offer.Replan }); stage >= 0 {
					plan = plan[:stage]
				}
				for _, offer := range plan {
					offered[offer.Server.ID] = true
					offers++
					gray := healthy
					if offer.Server.ID == "a" {
						gray = suspected
					}
					s.UpdateLoad(now, offer.Server.ID, flow.ServerLoad{FreeSlots: tc.freeSlots, QueueWait: time.Second, GrayProbability: gray})
				}
			}
			is.Equal(len(offered), 4)
			is.True(offers <= 20)
		})
	}
}
