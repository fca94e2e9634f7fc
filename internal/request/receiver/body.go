// The step that reads the body.

package receiver

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewBodyReader returns the step that reads the body whole, so that it can be
// sent to more than one backend server, and nothing is run of a request whose
// caller goes away midway.
func NewBodyReader(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			if refusal := parts.readBody(call); refusal != nil {
				return nil, refusal
			}
			return next(ctx, request)
		}
	}
}

func (p *Parts) readBody(call *Call) *flow.Refusal {
	if call.Request.ContentLength > int64(p.BodyLimit) {
		return p.refuse("read-body", flow.ReasonRequestTooLarge, "by its Content-Length")
	}
	body, err := composer.ReadBody(call.Writer, call.Request, p.BodyLimit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return p.refuse("read-body", flow.ReasonRequestTooLarge, err.Error())
	}
	if err != nil {
		return p.refuse("read-body", flow.ReasonRequestMalformed, err.Error())
	}
	call.Body = body
	return nil
}
