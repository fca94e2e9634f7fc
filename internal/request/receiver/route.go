// The step that finds the route.

package receiver

import (
	"context"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewRouter returns the step that finds the route of a request.
func NewRouter(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			match := call.Snapshot.Index.Route(call.Request.Method, call.Request.URL.EscapedPath())
			if match.Route == nil {
				if match.Reason == flow.ReasonMethodNotAllowed {
					call.Writer.Header().Set("Allow", strings.Join(match.AllowedMethods, ", "))
				}
				return nil, parts.refuse("route", match.Reason, call.Request.URL.EscapedPath())
			}
			call.Route = match.Route
			call.Idempotent = match.Idempotent
			call.Deadline = call.Arrived.Add(match.Route.Timeout)
			ctx, call.expiry = expirer.New(ctx, match.Route.Timeout)
			return next(ctx, request)
		}
	}
}
