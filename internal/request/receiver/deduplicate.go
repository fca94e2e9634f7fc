// The step that looks an idempotency key up at its owner, so that a request
// that the caller repeats runs at most once, and its answer is given again.

package receiver

import (
	"context"
	"crypto/sha256"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const stepDeduplicate = flow.Step("deduplicate")

// HeaderReplayed is "true" on an answer that was given before.
const HeaderReplayed = "Coltsfootflow-Replayed"

// Deduplicator asks the owners of idempotency keys.
type Deduplicator interface {
	// Begin asks whether a request may run. The error says that no owner
	// answered.
	Begin(ctx context.Context, request controller.BeginRequest) (deduplicator.Reply, error)
	// End tells the end of a run, without waiting.
	End(request controller.EndRequest)
}

// refusedKeys are the refusals that follow from the owner's decisions.
var refusedKeys = map[deduplicator.Decision]flow.Reason{
	deduplicator.DecisionRunning:  flow.ReasonIdempotencyKeyRunning,
	deduplicator.DecisionUsed:     flow.ReasonIdempotencyKeyUsed,
	deduplicator.DecisionTooOld:   flow.ReasonIdempotencyKeyTooOld,
	deduplicator.DecisionInvalid:  flow.ReasonIdempotencyKeyInvalid,
	deduplicator.DecisionMismatch: flow.ReasonIdempotencyKeyMismatch,
	deduplicator.DecisionFull:     flow.ReasonIdempotencyUnavailable,
}

// NewDeduplicator returns the step that looks idempotency keys up. It passes
// over requests without one, those that are idempotent in any case, and those
// of no customer.
func NewDeduplicator(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			values := call.Request.Header.Values(flow.HeaderIdempotencyKey)
			if len(values) == 0 || call.Idempotent || call.Customer == "" {
				return next(ctx, request)
			}
			if len(values) > 1 {
				return nil, parts.refuse(stepDeduplicate, flow.ReasonIdempotencyKeyInvalid, "several keys were sent")
			}
			return parts.deduplicate(ctx, call, values[0], next)
		}
	}
}

func (p *Parts) deduplicate(ctx context.Context, call *Call, text string, next endpoint.Endpoint) (any, error) {
	key, err := deduplicator.Parse(text)
	if err != nil {
		return nil, p.refuse(stepDeduplicate, flow.ReasonIdempotencyKeyInvalid, err.Error())
	}
	begin := controller.BeginRequest{Customer: call.Customer, Key: key, Digest: digestOf(call)}
	reply, err := p.Deduplicator.Begin(ctx, begin)
	if err != nil {
		refusal := p.refuse(stepDeduplicate, flow.ReasonIdempotencyUnavailable, err.Error())
		refusal.RetryAfter = retryElsewhere
		return nil, refusal
	}
	switch reply.Decision {
	case deduplicator.DecisionRun:
		return p.runOnce(ctx, call, begin, reply.Run, next)
	case deduplicator.DecisionFinished:
		return replay(reply.Answer), nil
	}
	refusal := p.refuse(stepDeduplicate, refusedKeys[reply.Decision], reply.Decision.String())
	if reply.Decision == deduplicator.DecisionRunning || reply.Decision == deduplicator.DecisionFull {
		refusal.RetryAfter = retryElsewhere
	}
	return nil, refusal
}

// runOnce takes a request to its end even if its caller goes away, so that the
// answer is there when the caller asks again.
func (p *Parts) runOnce(ctx context.Context, call *Call, begin controller.BeginRequest, run uint64, next endpoint.Endpoint) (any, error) {
	call.expiry.Lift()
	ctx, call.expiry = expirer.New(context.WithoutCancel(ctx), call.Deadline.Sub(p.Clock.Now()))
	response, err := next(ctx, call)
	p.Deduplicator.End(endOf(begin, run, response, err))
	return response, err
}

// digestOf returns a hash of all that makes two requests the same.
func digestOf(call *Call) deduplicator.Digest {
	digest := sha256.New()
	for _, part := range []string{call.Request.Method, call.Request.URL.RequestURI()} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return deduplicator.Digest(digest.Sum(nil))
}

// endOf says how a run ended: certainly not run, with an answer that can be
// kept, or otherwise.
func endOf(begin controller.BeginRequest, run uint64, response any, err error) controller.EndRequest {
	end := controller.EndRequest{Customer: begin.Customer, Key: begin.Key, Run: run}
	if err != nil {
		refusal, ok := flow.AsRefusal(err)
		end.Abandoned = ok && refusal.NotRun()
		return end
	}
	answer := response.(*answerer.Answer)
	if answer.Rest == nil && len(answer.Content) <= deduplicator.MostBodyBytes {
		end.Answer = &deduplicator.Answer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Content}
	}
	return end
}

// replay returns a kept answer.
func replay(kept deduplicator.Answer) *answerer.Answer {
	header := http.Header{}
	for name, values := range kept.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	return &answerer.Answer{Status: kept.Status, Header: header, Content: kept.Body, Length: int64(len(kept.Body))}
}
