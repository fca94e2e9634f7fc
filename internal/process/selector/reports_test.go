package selector_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestPlanWithReports guards against requests that probe what other daemons of the zone know,
// and against reports that count for more than this daemon's own newer contact. Servers a and b
// are in the zone, c and d are not; all four have reported to this daemon at 1000, and the plan
// is made at 1500.
func TestPlanWithReports(t *testing.T) {
	load := func(grayProbability float64) flow.ServerLoad {
		return flow.ServerLoad{FreeSlots: 6, GrayProbability: grayProbability}
	}
	reported := func(at flow.Time, grayProbability float64) selector.Learned {
		return selector.Learned{HasLoad: true, Load: load(grayProbability), MeasuredAt: at, DoubtedAt: flow.Never}
	}
	doubted := func(at flow.Time) selector.Learned { return selector.Learned{DoubtedAt: at} }
	trialLater := reported(1400, suspected)
	trialLater.Load.TrialIn = 700 * time.Millisecond
	cases := map[string]struct {
		learned      selector.Learned // about server a
		contactAt    flow.Time        // with a
		repeatable   bool
		peers        int  // 0 for a stale table
		first, never bool // a comes first in the plan; not at all
		trial        bool // the first offer is a trial
	}{
		"suspicion that another daemon learned of":      {learned: reported(1400, suspected), contactAt: 1000, peers: 4, never: true},
		"older suspicion than the own contact":          {learned: reported(1200, suspected), contactAt: 1300, peers: 4},
		"suspicion that few know of expires":            {learned: reported(600, suspected), contactAt: 100, peers: 4},
		"suspicion that many know of counts longer":     {learned: reported(600, suspected), contactAt: 100, peers: 24, never: true},
		"suspicion of a stale table expires":            {learned: reported(600, suspected), contactAt: 100},
		"suspected server gets a trial":                 {learned: reported(1400, suspected), contactAt: 1000, repeatable: true, peers: 4, first: true, trial: true},
		"trial waits until the server takes one":        {learned: trialLater, contactAt: 1000, repeatable: true, peers: 4},
		"server that others cannot reach":               {learned: doubted(1400), contactAt: -2000, peers: 4},
		"server that others cannot reach and this does": {learned: doubted(1400), contactAt: 1300, peers: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := selector.New(rand.New(rand.NewPCG(1, 2)))
			s.UpdateLoad(tc.contactAt, "a", load(healthy))
			for _, id := range []string{"b", "c", "d"} {
				s.UpdateLoad(1000, id, load(healthy))
			}
			s.Learn(1500, "a", tc.learned)
			plan := s.Plan(1500, selector.Query{Candidates: candidates(), Repeatable: tc.repeatable, RetryBudgetLeft: true, Informed: tc.peers > 0, Peers: tc.peers})
			ids := describe(plan)
			is.Equal(!strings.Contains(ids, "a"), tc.never)
			if tc.first {
				is.Equal(plan[0].Server.ID, "a")
			}
			is.Equal(plan[0].Trial, tc.trial)
			if name == "server that others cannot reach" {
				is.Equal(plan[len(plan)-1].Server.ID, "a")
			}
			if name == "server that others cannot reach and this does" {
				is.True(plan[len(plan)-1].Server.ID != "a" || plan[0].Server.ID == "a" || plan[1].Server.ID == "a")
			}
		})
	}
}
