package receiver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/process/chooser"
	"github.com/coltsfootflow/coltsfootflow/internal/request/forwarder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const stepChoose = flow.Step("choose")

// NewSender returns the last step: one attempt at one backend server, which it
// chooses. The response is a *responder.Response.
func NewSender(parts *Parts) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return parts.send(ctx, request.(*Exchange))
	}
}

func (p *Parts) send(ctx context.Context, exchange *Exchange) (*responder.Response, error) {
	exchange.Snapshot = p.Holder.Load()
	if refusal := p.checkServing(exchange); refusal != nil {
		return nil, refusal
	}
	choice, refusal := p.choose(exchange)
	if refusal != nil {
		return nil, refusal
	}
	exchange.Attempts++
	exchange.Tried = append(exchange.Tried, choice.Entry.Server.Name)
	result, err := p.Forwarder.Forward(ctx, p.newAttempt(exchange, choice))
	recordResult(choice, result, err)
	if err != nil {
		return nil, err
	}
	return result.Response, nil
}

func (p *Parts) choose(exchange *Exchange) (*chooser.Choice, *flow.Refusal) {
	service, ok := exchange.Snapshot.Index.Service(exchange.Route.Service)
	if !ok {
		return nil, p.noCapacityRefusal("there is no service " + strconv.Quote(exchange.Route.Service))
	}
	choice, ok := p.Chooser.Choose(exchange.Snapshot, service, chooser.Request{Tried: exchange.Tried, Idempotent: exchange.Idempotent})
	if !ok {
		return nil, p.noCapacityRefusal("no backend server of the service takes new work")
	}
	return choice, nil
}

func (p *Parts) noCapacityRefusal(detail string) *flow.Refusal {
	refusal := p.newRefusal(stepChoose, flow.ReasonNoCapacity, detail)
	refusal.RetryAfter = retryAfterSeconds
	return refusal
}

// newAttempt returns the attempt at the chosen backend server. Its permit
// expires no later than the lease, the request's deadline and the token, so
// that the request cannot start once a check of the ingress may no longer hold.
func (p *Parts) newAttempt(exchange *Exchange, choice *chooser.Choice) *forwarder.Attempt {
	now := p.Clock.Now()
	until := min(now.Add(p.PermitLifetime), exchange.Snapshot.LeaseUntil, exchange.Deadline)
	if exchange.Token != nil {
		until = min(until, exchange.Token.NotAfter())
	}
	attempt := &forwarder.Attempt{
		StartBefore: until,
		Receiver:    choice.Entry.Host,
		Request:     exchange.Request,
		Host:        exchange.Host,
		Header:      exchange.Header,
		Body:        exchange.Body,
		Permit: permitter.Permit{
			Attempt:    exchange.ID + "/" + strconv.Itoa(exchange.Attempts),
			Sender:     p.Host,
			Revision:   exchange.Snapshot.Index.Revision(),
			Server:     choice.Entry.Server.Name,
			Route:      exchange.Route.Name,
			Customer:   exchange.Customer,
			TargetHash: permitter.HashTarget(exchange.Request.Method, exchange.Request.URL.RequestURI()),
			Idempotent: exchange.Idempotent,
			Timeout:    p.attemptTimeout(exchange, now),
		},
	}
	if exchange.HasKey {
		attempt.Permit.KeyHash = exchange.KeyHash[:]
	}
	return attempt
}

// attemptTimeout returns the timeout of one attempt: half of the remaining time
// if the request can still be retried at another backend server, so that a
// server that does not respond cannot use up all of it.
func (p *Parts) attemptTimeout(exchange *Exchange, now flow.Time) time.Duration {
	left := exchange.Deadline.Sub(now)
	if exchange.Idempotent && exchange.Attempts < p.MaxAttempts && countUntriedServers(exchange) > 0 {
		return left / 2
	}
	return left
}

// recordResult reports the result of an attempt to the chooser.
func recordResult(choice *chooser.Choice, result forwarder.Result, err error) {
	refusal, refused := flow.AsRefusal(err)
	switch {
	case !refused && result.Response.Status >= http.StatusInternalServerError:
		choice.Failed()
	case !refused:
		choice.Answered(result.Load)
	case refusal.Reason == flow.ReasonUnreachable:
		choice.Unreachable()
	case refusal.Reason == flow.ReasonCancelled:
		choice.Abandoned()
	case refusal.NotRun():
		choice.Refused(refusal.Reason, result.Load)
	default:
		choice.Failed()
	}
}
