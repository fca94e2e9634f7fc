// The step that repeats attempts.

package receiver

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewRetrier returns the step that repeats an attempt at another backend server
// when that is safe: always after one that certainly did not run, and after any
// other failure when the request is idempotent.
func NewRetrier(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			for {
				response, err := next(ctx, request)
				refusal, refused := flow.AsRefusal(err)
				if !refused || ctx.Err() != nil || call.Attempts == 0 || call.Attempts >= parts.Attempts {
					return response, err
				}
				if !refusal.NotRun() && !call.Idempotent {
					return nil, err
				}
			}
		}
	}
}
