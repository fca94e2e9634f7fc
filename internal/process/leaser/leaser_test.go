package leaser_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// movedOwner fails the first request with cause and answers from the second on.
type movedOwner struct {
	cause    error
	requests int
}

func (o *movedOwner) RequestTokens(_ context.Context, request granter.Request) (granter.Answer, error) {
	o.requests++
	if o.requests == 1 {
		return granter.Answer{}, fmt.Errorf("draw: %w", o.cause)
	}
	return granter.Answer{
		Shares: request.Shares, Sequence: request.Sequence, Granted: request.Want, Lifetime: granter.DefaultSettings().Lifetime,
	}, nil
}

// A request gets its token although the first peer is no longer the owner. It is
// refused when the owner cannot be reached.
func TestDrawRetriesWhenThePeerIsNotTheOwner(t *testing.T) {
	cases := map[string]struct {
		cause  error
		reason flow.Reason
	}{
		"peer is not the owner: token": {cause: flow.NotOwnerError("not the owner")},
		"owner not reached: refused":   {cause: context.DeadlineExceeded, reason: flow.ReasonRateUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			layoutOf := func(string) (leaser.ShareLayout, bool) {
				return leaser.ShareLayout{Limit: granter.Limit{MicrotokensPerSecond: 10e6, Burst: 10}, Shares: 1}, true
			}
			sources := leaser.NewLeasedSources("a", 1, layoutOf, pooler.DefaultSettings())
			l := leaser.New(flow.NewMonotonicClock(), &movedOwner{cause: tc.cause}, sources, logr.Discard())
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
