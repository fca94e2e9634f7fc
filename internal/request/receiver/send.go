// The last step: one attempt at one backend server.

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

// NewSender returns the last step, which chooses a backend server and asks it.
// Its answer is an *responder.Answer.
func NewSender(parts *Parts) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return parts.send(ctx, request.(*Call))
	}
}

func (p *Parts) send(ctx context.Context, call *Call) (*responder.Response, error) {
	call.Snapshot = p.Holder.Load()
	if refusal := p.mayServe(call); refusal != nil {
		return nil, refusal
	}
	choice, refusal := p.choose(call)
	if refusal != nil {
		return nil, refusal
	}
	call.Attempts++
	call.Tried = append(call.Tried, choice.Entry.Server.Name)
	result, err := p.Forwarder.Forward(ctx, p.attempt(call, choice))
	learn(choice, result, err)
	if err != nil {
		return nil, err
	}
	return result.Response, nil
}

func (p *Parts) choose(call *Call) (*chooser.Choice, *flow.Refusal) {
	service, ok := call.Snapshot.Index.Service(call.Route.Service)
	if !ok {
		return nil, p.noCapacity("there is no service " + strconv.Quote(call.Route.Service))
	}
	choice, ok := p.Chooser.Choose(call.Snapshot, service, chooser.Request{Tried: call.Tried, Idempotent: call.Idempotent})
	if !ok {
		return nil, p.noCapacity("no backend server of the service takes new work")
	}
	return choice, nil
}

func (p *Parts) noCapacity(detail string) *flow.Refusal {
	refusal := p.refuse(stepChoose, flow.ReasonNoCapacity, detail)
	refusal.RetryAfter = retryElsewhere
	return refusal
}

// attempt makes the attempt at the chosen backend server. It must not start
// after anything that the ingress checked may have ceased to hold.
func (p *Parts) attempt(call *Call, choice *chooser.Choice) *forwarder.Attempt {
	now := p.Clock.Now()
	until := min(now.Add(p.PermitLifetime), call.Snapshot.LeaseUntil, call.Deadline)
	if call.Token != nil {
		until = min(until, call.Token.NotAfter())
	}
	attempt := &forwarder.Attempt{
		StartBefore: until,
		Receiver:    choice.Entry.Host,
		Request:     call.Request,
		Host:        call.Host,
		Header:      call.Header,
		Body:        call.Body,
		Permit: permitter.Permit{
			Attempt:    call.ID + "/" + strconv.Itoa(call.Attempts),
			Sender:     p.Host,
			Revision:   call.Snapshot.Index.Revision(),
			Server:     choice.Entry.Server.Name,
			Route:      call.Route.Name,
			Customer:   call.Customer,
			Target:     permitter.TargetOf(call.Request.Method, call.Request.URL.RequestURI()),
			Idempotent: call.Idempotent,
			Timeout:    p.timeoutOf(call, now),
		},
	}
	if call.HasKey {
		attempt.Permit.KeyHash = call.KeyHash[:]
	}
	return attempt
}

// timeoutOf returns the time that one attempt may take: half of what is left
// when the request may be tried on yet another backend server, so that one that
// has gone silent does not use up all of it.
func (p *Parts) timeoutOf(call *Call, now flow.Time) time.Duration {
	left := call.Deadline.Sub(now)
	if call.Idempotent && call.Attempts < p.Attempts && untried(call) > 0 {
		return left / 2
	}
	return left
}

// learn tells the view what the attempt says of the backend server.
func learn(choice *chooser.Choice, result forwarder.Result, err error) {
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
