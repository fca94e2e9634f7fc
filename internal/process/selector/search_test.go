package selector_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestSearchRecordPlan checks that a plan is worth trying only if it has an offer that
// was not made before, and only up to the limit of plans.
func TestSearchRecordPlan(t *testing.T) {
	offer := func(id string, forced bool) selector.Offer {
		return selector.Offer{Server: &flow.ServerEntry{ID: id}, Forced: forced}
	}
	first := []selector.Offer{offer("a", false), offer("b", false)}
	fivePlans := [][]selector.Offer{{offer("c", false)}, {offer("d", false)}, {offer("e", false)}, {offer("f", false)}, {offer("g", false)}}
	cases := map[string]struct {
		repeatable bool
		before     [][]selector.Offer
		plan       []selector.Offer
		want       bool
	}{
		"first plan is tried":                                   {false, nil, first, true},
		"empty plan is not tried":                               {true, nil, nil, false},
		"same servers again are not tried":                      {true, [][]selector.Offer{first}, first, false},
		"plan with another server is tried":                     {false, [][]selector.Offer{first}, []selector.Offer{offer("a", false), offer("c", false)}, true},
		"forced offer of a repeatable request is tried":         {true, [][]selector.Offer{first}, []selector.Offer{offer("b", true)}, true},
		"second forced offer is not tried":                      {true, [][]selector.Offer{first, {offer("b", true)}}, []selector.Offer{offer("b", true)}, false},
		"forced offer of a non-repeatable request is not tried": {false, [][]selector.Offer{first}, []selector.Offer{offer("b", true)}, false},
		"sixth plan is not tried":                               {true, fivePlans, first, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			search := selector.Search{Repeatable: tc.repeatable}
			for _, plan := range tc.before {
				is.True(search.RecordPlan(plan))
			}
			is.Equal(search.RecordPlan(tc.plan), tc.want)
		})
	}
}
