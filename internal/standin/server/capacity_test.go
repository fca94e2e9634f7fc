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
		before  int // requests that run already, begun at the same time
		want    admission
		thereby Temperature // a second later
	}{
		"cold bears one":             {now: 0, before: 0, want: admission{run: true, running: 1, bears: 1, temperature: Cold}, thereby: Cold},
		"half-way bears half":        {now: 2000, before: 2, want: admission{run: true, running: 3, bears: 3, temperature: Cold}, thereby: Cold},
		"cold collapses under two":   {now: 0, before: 1, want: admission{run: true, running: 2, bears: 1, overloaded: true, temperature: Collapsed}, thereby: Collapsed},
		"half-way collapses":         {now: 2000, before: 3, want: admission{run: true, running: 4, bears: 3, overloaded: true, temperature: Collapsed}, thereby: Collapsed},
		"warm bears its slots":       {now: 4000, before: 4, want: admission{run: true, running: 5, bears: 5, temperature: Warm}, thereby: Warm},
		"warm sheds above its slots": {now: 4000, before: 5, want: admission{running: 5, bears: 5, temperature: Warm}, thereby: Warm},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCapacity(slots, 4*time.Second, 2*time.Second)
			c.turnCold(0)
			for range tc.before {
				is.True(c.begin(tc.now).run)
			}
			is.Equal(c.begin(tc.now), tc.want)
			is.Equal(c.temperature(tc.now+1000), tc.thereby)
		})
	}
}

func TestCollapseEndsInAColdStart(t *testing.T) {
	is := is.New(t)
	c := newCapacity(5, 4*time.Second, 2*time.Second)
	c.turnCold(0)
	c.begin(0)
	is.True(c.begin(0).overloaded)
	is.Equal(c.bears(1999), 1)
	is.Equal(c.temperature(2000), Cold)
	is.Equal(c.bears(2000), 1)
	is.Equal(c.bears(4000), 3)
	is.Equal(c.temperature(6000), Warm)
}
