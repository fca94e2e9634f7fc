// The step that draws a token of the customer's rate for each attempt.

package receiver

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewDrawer returns the step that draws a token. The token of an attempt that
// certainly did not run is given back; an attempt that may have run has spent
// its token, so that a repetition needs another.
func NewDrawer(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			if call.Customer == "" {
				return next(ctx, request)
			}
			token, err := parts.Leaser.Draw(ctx, call.Customer)
			if err != nil {
				return nil, err
			}
			call.Token = token
			response, err := next(ctx, request)
			call.Token = nil
			settle(token, err)
			return response, err
		}
	}
}

// settle ends the token of an attempt.
func settle(token *leaser.Token, err error) {
	if refusal, ok := flow.AsRefusal(err); ok && refusal.NotRun() {
		token.Return()
		return
	}
	token.MarkUsed(0)
}
