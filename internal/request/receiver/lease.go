// The step that checks whether this daemon may act.

package receiver

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// retryElsewhere is the advice in Retry-After of refusals that another host
// need not make, in seconds.
const retryElsewhere = 1

// NewLeaseChecker returns the step that refuses while this daemon holds no
// lease, or while its availability zone is out of service.
func NewLeaseChecker(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			if refusal := parts.mayServe(call); refusal != nil {
				refusal.RetryAfter = retryElsewhere
				return nil, refusal
			}
			return next(ctx, request)
		}
	}
}

func (p *Parts) mayServe(call *Call) *flow.Refusal {
	if !call.Snapshot.MayAct(p.Clock.Now()) {
		return p.refuse("check-lease", flow.ReasonNoLease, call.Snapshot.Reason)
	}
	if call.Snapshot.ZoneOut {
		return p.refuse("check-lease", flow.ReasonZoneOut, "the availability zone of this host is out")
	}
	return nil
}
