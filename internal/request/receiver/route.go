package receiver

import (
	"context"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewRouter returns the step that finds the route of a request and starts its
// timeout.
func NewRouter(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			match := exchange.Snapshot.Index.Route(exchange.Request.Method, exchange.Request.URL.EscapedPath())
			if match.Route == nil {
				if match.Reason == flow.ReasonMethodNotAllowed {
					exchange.Writer.Header().Set("Allow", strings.Join(match.AllowedMethods, ", "))
				}
				return nil, parts.newRefusal("route", match.Reason, exchange.Request.URL.EscapedPath())
			}
			exchange.Route = match.Route
			exchange.Idempotent = match.Idempotent
			exchange.Deadline = exchange.Arrived.Add(match.Route.Timeout)
			ctx, exchange.expiry = expirer.New(ctx, match.Route.Timeout)
			return next(ctx, request)
		}
	}
}
