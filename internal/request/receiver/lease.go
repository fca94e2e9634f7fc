package receiver

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// retryAfterSeconds is the Retry-After of refusals that concern only this host
// or this moment: another host may accept the request.
const retryAfterSeconds = 1

// NewLeaseChecker returns the step that refuses requests while this daemon
// holds no lease, or while its availability zone is out of service.
func NewLeaseChecker(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			if refusal := parts.checkServing(exchange); refusal != nil {
				refusal.RetryAfter = retryAfterSeconds
				return nil, refusal
			}
			return next(ctx, request)
		}
	}
}

// checkServing returns the refusal if this daemon must not serve requests, and
// nil otherwise.
func (p *Parts) checkServing(exchange *Exchange) *flow.Refusal {
	if !exchange.Snapshot.MayAct(p.Clock.Now()) {
		return p.newRefusal("check-lease", flow.ReasonNoLease, exchange.Snapshot.Reason)
	}
	if exchange.Snapshot.ZoneOut {
		return p.newRefusal("check-lease", flow.ReasonZoneOut, "the availability zone of this host is out")
	}
	return nil
}
