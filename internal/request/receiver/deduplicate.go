package receiver

import (
	"context"
	"crypto/sha256"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const stepDeduplicate = flow.Step("deduplicate")

// HeaderReplayed is "true" on a stored response to an earlier request with the
// same idempotency key.
const HeaderReplayed = "Coltsfootflow-Replayed"

// Deduplicator queries the owners of idempotency keys.
type Deduplicator interface {
	// Begin asks the owner of a key whether a request may run. It returns an
	// error if no owner answered.
	Begin(ctx context.Context, request controller.BeginRequest) (deduplicator.Reply, error)
	// End reports to the owner how a run ended, without waiting for the reply.
	End(request controller.EndRequest)
}

// refusalReasons maps an owner's decision against running a request to the
// reason of the refusal.
var refusalReasons = map[deduplicator.Decision]flow.Reason{
	deduplicator.DecisionRunning:  flow.ReasonIdempotencyKeyRunning,
	deduplicator.DecisionUsed:     flow.ReasonIdempotencyKeyUsed,
	deduplicator.DecisionTooOld:   flow.ReasonIdempotencyKeyTooOld,
	deduplicator.DecisionInvalid:  flow.ReasonIdempotencyKeyInvalid,
	deduplicator.DecisionMismatch: flow.ReasonIdempotencyKeyMismatch,
	deduplicator.DecisionFull:     flow.ReasonIdempotencyUnavailable,
}

// NewDeduplicator returns the step that looks up the idempotency key at its
// owner, so that a request that the caller repeats runs at most once and gets
// the stored response. The step does nothing for requests without a key, for
// requests that are idempotent by their method, and on open routes.
func NewDeduplicator(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			values := exchange.Request.Header.Values(flow.HeaderIdempotencyKey)
			if len(values) == 0 || exchange.Idempotent || exchange.Customer == "" {
				return next(ctx, request)
			}
			if len(values) > 1 {
				return nil, parts.newRefusal(stepDeduplicate, flow.ReasonIdempotencyKeyInvalid, "several keys were sent")
			}
			return parts.deduplicate(ctx, exchange, values[0], next)
		}
	}
}

func (p *Parts) deduplicate(ctx context.Context, exchange *Exchange, text string, next endpoint.Endpoint) (any, error) {
	key, err := deduplicator.ParseKey(text)
	if err != nil {
		return nil, p.newRefusal(stepDeduplicate, flow.ReasonIdempotencyKeyInvalid, err.Error())
	}
	begin := controller.BeginRequest{Customer: exchange.Customer, Key: key, Digest: requestDigest(exchange)}
	reply, err := p.Deduplicator.Begin(ctx, begin)
	if err != nil {
		refusal := p.newRefusal(stepDeduplicate, flow.ReasonIdempotencyUnavailable, err.Error())
		refusal.RetryAfter = retryAfterSeconds
		return nil, refusal
	}
	switch reply.Decision {
	case deduplicator.DecisionRun:
		return p.runOnce(ctx, exchange, begin, reply.Run, next)
	case deduplicator.DecisionFinished:
		return replayedResponse(reply.Answer), nil
	}
	refusal := p.newRefusal(stepDeduplicate, refusalReasons[reply.Decision], reply.Decision.String())
	if reply.Decision == deduplicator.DecisionRunning || reply.Decision == deduplicator.DecisionFull {
		refusal.RetryAfter = retryAfterSeconds
	}
	return nil, refusal
}

// runOnce completes a request even if its caller disconnects, so that the
// response is stored by the time the caller retries.
func (p *Parts) runOnce(ctx context.Context, exchange *Exchange, begin controller.BeginRequest, run uint64, next endpoint.Endpoint) (any, error) {
	exchange.expiry.RemoveDeadline()
	ctx, exchange.expiry = expirer.New(context.WithoutCancel(ctx), exchange.Deadline.Sub(p.Clock.Now()))
	response, err := next(ctx, exchange)
	p.Deduplicator.End(newEndRequest(begin, run, response, err))
	return response, err
}

// requestDigest returns a hash of the method, the target and the body: requests
// that share an idempotency key must agree in all of them.
func requestDigest(exchange *Exchange) deduplicator.Digest {
	digest := sha256.New()
	for _, part := range []string{exchange.Request.Method, exchange.Request.URL.RequestURI()} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(exchange.Body)
	return deduplicator.Digest(digest.Sum(nil))
}

// newEndRequest returns the report of how a run ended: certainly not run, with
// a response that can be stored, or neither.
func newEndRequest(begin controller.BeginRequest, run uint64, response any, err error) controller.EndRequest {
	end := controller.EndRequest{Customer: begin.Customer, Key: begin.Key, Run: run}
	if err != nil {
		refusal, ok := flow.AsRefusal(err)
		end.Abandoned = ok && refusal.NotRun()
		return end
	}
	answer := response.(*responder.Response)
	if answer.Rest == nil && len(answer.Buffered) <= deduplicator.MaxBodyBytes {
		end.Answer = &deduplicator.Answer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Buffered}
	}
	return end
}

// replayedResponse returns a stored response, marked as replayed.
func replayedResponse(stored deduplicator.Answer) *responder.Response {
	header := http.Header{}
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	return &responder.Response{Status: stored.Status, Header: header, Buffered: stored.Body, Length: int64(len(stored.Body))}
}
