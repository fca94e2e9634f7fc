package leaser_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// moving is an owner that is found at the second attempt.
type moving struct {
	cause error
	asked int
}

func (m *moving) Ask(_ context.Context, request granter.Request) (granter.Answer, error) {
	m.asked++
	if m.asked == 1 {
		return granter.Answer{}, fmt.Errorf("draw: %w", m.cause)
	}
	return granter.Answer{
		Shares: request.Shares, Sequence: request.Sequence, Granted: request.Want, Lifetime: granter.DefaultSettings().Lifetime,
	}, nil
}

// A request gets its token although the first peer is not the owner any more,
// and is refused when the owner is not reached.
func TestDrawAsksAgainWhenThePeerIsNotTheOwner(t *testing.T) {
	cases := map[string]struct {
		cause  error
		reason flow.Reason
	}{
		"not the owner": {cause: flow.NotOwner("not the owner")},
		"not reached":   {cause: context.DeadlineExceeded, reason: flow.ReasonRateUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cutter := func(string) (leaser.Cut, bool) {
				return leaser.Cut{Limit: granter.Limit{MicrotokensPerSecond: 10e6, Burst: 10}, Shares: 1}, true
			}
			sources := leaser.NewLeasedSources("a", 1, cutter, drawer.DefaultSettings())
			l := leaser.New(flow.NewMonotonicClock(), &moving{cause: tc.cause}, sources, logr.Discard())
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				l.Run(ctx)
				close(ended)
			}()
			_, err := l.Draw(ctx, "pram-shop")
			cancel()
			<-ended
			refusal, refused := flow.AsRefusal(err)
			is.Equal(refused, tc.reason != "")
			if refused {
				is.Equal(refusal.Reason, tc.reason)
			}
		})
	}
}
