package receiver

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewBodyReader returns the step that reads the whole body before the request
// is forwarded. The body can then be sent to more than one backend server, and
// a request whose caller disconnects in the middle of the body does not run.
func NewBodyReader(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			if refusal := parts.readBody(exchange); refusal != nil {
				return nil, refusal
			}
			return next(ctx, request)
		}
	}
}

func (p *Parts) readBody(exchange *Exchange) *flow.Refusal {
	if exchange.Request.ContentLength > int64(p.BodyLimit) {
		return p.newRefusal("read-body", flow.ReasonRequestTooLarge, "by its Content-Length")
	}
	body, err := composer.ReadBody(exchange.Writer, exchange.Request, p.BodyLimit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return p.newRefusal("read-body", flow.ReasonRequestTooLarge, err.Error())
	}
	if err != nil {
		return p.newRefusal("read-body", flow.ReasonRequestMalformed, err.Error())
	}
	exchange.Body = body
	return nil
}
