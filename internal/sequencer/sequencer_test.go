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
		stop int // done after this number of events
		want []flow.Time
	}{
		"all events run in the order of their times": {100, 10, []flow.Time{1, 3, 3, 4, 9}},
		"events after the end do not run":            {4, 10, []flow.Time{1, 3, 3, 4}},
		"no event runs after done":                   {100, 2, []flow.Time{1, 3}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var queue sequencer.EventQueue
			var seen []flow.Time
			record := func(now flow.Time) { seen = append(seen, now) }
			queue.Schedule(9, record)
			queue.Schedule(3, record)
			queue.Schedule(1, func(now flow.Time) {
				record(now)
				queue.Schedule(now+3, record)
				queue.Schedule(now+2, record)
			})
			is.NoErr(queue.RunUntil(t.Context(), tc.end, func() bool { return len(seen) == tc.stop }))
			is.Equal(seen, tc.want)
		})
	}
}

func TestRunUntilReturnsErrorOfContext(t *testing.T) {
	is := is.New(t)
	var queue sequencer.EventQueue
	ctx, cancel := context.WithCancel(t.Context())
	queue.Schedule(1, func(flow.Time) { cancel() })
	queue.Schedule(2, func(flow.Time) { t.Error("an event ran after the context had ended") })
	is.True(queue.RunUntil(ctx, 10, func() bool { return false }) != nil)
}
