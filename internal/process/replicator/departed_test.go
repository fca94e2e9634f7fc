package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/replicator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestDepartedServersWhileCutOff guards against servers that leave, or left long ago, being
// used by daemons that are cut off from the platform, and against such use by others.
func TestDepartedServersWhileCutOff(t *testing.T) {
	draining := server("a", 11)
	draining.Server.Draining = true
	cases := map[string]struct {
		before []flow.Change
		wait   time.Duration // between the deletion and the discovery that the host is cut off
		cutOff bool
		later  []flow.Change
		want   int
	}{
		"expired around the same time":   {nil, time.Second, true, nil, 1},
		"expired long before":            {nil, 4 * time.Second, true, nil, 0},
		"draining server left":           {[]flow.Change{draining}, time.Second, true, nil, 0},
		"listed again":                   {nil, time.Second, true, []flow.Change{server("a", 13)}, 0},
		"this host is not cut off":       {nil, time.Second, false, nil, 0},
		"another one expires afterwards": {nil, time.Second, true, []flow.Change{deletion("servers/b", 13)}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := replicator.New()
			s.Apply(0, flow.Update{Full: true, Revision: 10, Changes: []flow.Change{server("a", 5), server("b", 9)}})
			s.Apply(0, flow.Update{Revision: 11, Changes: tc.before})
			s.Apply(0, flow.Update{Revision: 12, Changes: []flow.Change{deletion("servers/a", 12)}})
			now := flow.Time(0).Add(tc.wait)
			s.SetCutOff(now, tc.cutOff)
			s.Apply(now, flow.Update{Revision: 13, Changes: tc.later})
			s.Expire(now.Add(10 * time.Second))
			is.Equal(len(s.DepartedInUse()), tc.want)
			s.SetCutOff(now, false)
			is.Equal(len(s.DepartedInUse()), 0)
		})
	}
}
