// Middleware that counts the calls between daemons.

package reporter

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

// CountCalls merges the calls that the parts of a daemon serve, and counts each
// call that is served.
func (m *Metrics) CountCalls(parts ...map[messenger.Call]endpoint.Endpoint) map[messenger.Call]endpoint.Endpoint {
	merged := map[messenger.Call]endpoint.Endpoint{}
	for _, part := range parts {
		for call, serve := range part {
			merged[call] = m.countMiddleware(call.String())(serve)
		}
	}
	return merged
}

// countMiddleware returns a middleware that counts the calls with a name.
func (m *Metrics) countMiddleware(name string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			answer, err := next(ctx, request)
			m.CallServed(name, err)
			return answer, err
		}
	}
}
