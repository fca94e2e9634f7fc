package receiver

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewRateLimiter returns the step that takes a token from the customer's rate
// limit for each attempt. The token of an attempt that certainly did not run is
// returned. An attempt that may have run uses up its token, and a retry needs
// another one.
func NewRateLimiter(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			if exchange.Customer == "" {
				return next(ctx, request)
			}
			token, err := parts.Leaser.Draw(ctx, exchange.Customer)
			if err != nil {
				return nil, err
			}
			exchange.Token = token
			response, err := next(ctx, request)
			exchange.Token = nil
			settleToken(token, err)
			return response, err
		}
	}
}

// settleToken returns the token of an attempt that certainly did not run, and
// marks any other as used.
func settleToken(token *leaser.Token, err error) {
	if refusal, ok := flow.AsRefusal(err); ok && refusal.NotRun() {
		token.Return()
		return
	}
	token.MarkUsed(0)
}
