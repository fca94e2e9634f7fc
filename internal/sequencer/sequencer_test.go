package sequencer_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/sequencer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestRunUntil(t *testing.T) {
	cases := map[string]struct {
		end  flow.Time
		stop int // number of events after which it is done
		want []flow.Time
	}{
		"all, in the order of their times":    {100, 10, []flow.Time{1, 3, 3, 4, 9}},
		"what is after the end stays planned": {4, 10, []flow.Time{1, 3, 3, 4}},
		"until it is done":                    {100, 2, []flow.Time{1, 3}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var events sequencer.EventQueue
			var seen []flow.Time
			note := func(now flow.Time) { seen = append(seen, now) }
			events.Schedule(9, note)
			events.Schedule(3, note)
			events.Schedule(1, func(now flow.Time) {
				note(now)
				events.Schedule(now+3, note)
				events.Schedule(now+2, note)
			})
			is.NoErr(events.RunUntil(t.Context(), tc.end, func() bool { return len(seen) == tc.stop }))
			is.Equal(seen, tc.want)
		})
	}
}

func TestRunUntilTheContextEnds(t *testing.T) {
	is := is.New(t)
	var events sequencer.EventQueue
	ctx, cancel := context.WithCancel(t.Context())
	events.Schedule(1, func(flow.Time) { cancel() })
	events.Schedule(2, func(flow.Time) { t.Error("it went on") })
	is.True(events.RunUntil(ctx, 10, func() bool { return false }) != nil)
}
