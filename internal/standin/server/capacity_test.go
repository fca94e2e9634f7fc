package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestCapacity(t *testing.T) {
	const slots = 5
	cases := map[string]struct {
		now     flow.Time
		running int // requests already running, admitted at the same time
		want    admission
		later   Temperature // a second later
	}{
		"cold: first request runs":            {now: 0, running: 0, want: admission{admitted: true, running: 1, capacity: 1, temperature: Cold}, later: Cold},
		"half warm: half the slots run":       {now: 2000, running: 2, want: admission{admitted: true, running: 3, capacity: 3, temperature: Cold}, later: Cold},
		"cold: second request collapses":      {now: 0, running: 1, want: admission{admitted: true, running: 2, capacity: 1, overloaded: true, temperature: Collapsed}, later: Collapsed},
		"half warm: one above half collapses": {now: 2000, running: 3, want: admission{admitted: true, running: 4, capacity: 3, overloaded: true, temperature: Collapsed}, later: Collapsed},
		"warm: every slot runs":               {now: 4000, running: 4, want: admission{admitted: true, running: 5, capacity: 5, temperature: Warm}, later: Warm},
		"warm: sheds above its slots":         {now: 4000, running: 5, want: admission{running: 5, capacity: 5, temperature: Warm}, later: Warm},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCapacityModel(slots, 4*time.Second, 2*time.Second)
			c.startCold(0)
			for range tc.running {
				is.True(c.admit(tc.now).admitted)
			}
			is.Equal(c.admit(tc.now), tc.want)
			is.Equal(c.temperature(tc.now+1000), tc.later)
		})
	}
}

func TestCollapseIsFollowedByColdStart(t *testing.T) {
	is := is.New(t)
	c := newCapacityModel(5, 4*time.Second, 2*time.Second)
	c.startCold(0)
	c.admit(0)
	is.True(c.admit(0).overloaded)
	is.Equal(c.current(1999), 1)
	is.Equal(c.temperature(2000), Cold)
	is.Equal(c.current(2000), 1)
	is.Equal(c.current(4000), 3)
	is.Equal(c.temperature(6000), Warm)
}
