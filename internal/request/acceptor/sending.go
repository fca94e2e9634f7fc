// Sending to the backend server, and passing on its answer.

package acceptor

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The headers that backend servers get with a request.
const (
	// HeaderCustomer names the customer whose key came with the request.
	HeaderCustomer = "Coltsfootflow-Customer"
	// HeaderDeadline is the time left for the answer, like "250ms".
	HeaderDeadline = "X-Deadline"
)

// send runs an admitted request on its backend server. The ticket is finished
// when there is a refusal.
func (a *Acceptor) send(ctx context.Context, in *arrival, ticket *sender.Ticket) (*answerer.Answer, *flow.Refusal) {
	request, err := a.outgoing(ctx, in)
	if err != nil {
		ticket.Finish(flow.VerdictCancelled, 0)
		return nil, a.refusal(flow.ReasonRequestMalformed, stepSend, err.Error())
	}
	began := a.Clock.Now()
	var late *flow.Refusal
	response, sent, err := ticket.Send(request, func() bool {
		late = a.recheckLast(in)
		return late == nil
	})
	if err != nil && !sent && late != nil {
		ticket.Finish(flow.VerdictCancelled, 0)
		return nil, late
	}
	if err != nil {
		verdict, reason := a.failure(ctx, sent, err)
		ticket.Finish(verdict, a.Clock.Now().Sub(began))
		return nil, a.refusal(reason, stepSend, err.Error())
	}
	if refusal := a.checkAnswer(in, response); refusal != nil {
		_ = response.Body.Close()
		verdict := flow.VerdictShed
		if refusal.Reason != flow.ReasonServerShed {
			verdict = flow.VerdictFailed
			ticket.CloseConnection()
		}
		ticket.Finish(verdict, a.Clock.Now().Sub(began))
		return nil, refusal
	}
	answer, err := answerer.Collect(response, a.AnswerBuffer)
	if err != nil {
		verdict, reason := flow.VerdictFailed, flow.ReasonAnswerShort
		if ctx.Err() != nil {
			verdict, reason = a.ended(ctx)
		}
		ticket.Finish(verdict, a.Clock.Now().Sub(began))
		return nil, a.refusal(reason, stepAnswer, err.Error())
	}
	in.started = began
	return answer, nil
}

// outgoing makes the request for the backend server.
func (a *Acceptor) outgoing(ctx context.Context, in *arrival) (*http.Request, error) {
	header := maps.Clone(in.request.Header)
	answerer.StripHop(header)
	answerer.StripOwn(header)
	id, _, _ := strings.Cut(in.permit.Attempt, "/")
	header.Set(flow.HeaderRequestID, id)
	header.Set(HeaderDeadline, max(in.deadline.Sub(a.Clock.Now()), 0).String())
	if in.permit.Customer != "" {
		header.Set(HeaderCustomer, in.permit.Customer)
	}
	target := "http://" + in.sender.Server().Address + in.request.URL.RequestURI()
	return composer.Compose(ctx, in.request.Method, target, in.request.Host, header, in.body)
}

// failure classifies a request that got no answer.
func (a *Acceptor) failure(ctx context.Context, sent bool, err error) (flow.Verdict, flow.Reason) {
	var opError *net.OpError
	dialFailed := errors.As(err, &opError) && opError.Op == "dial"
	switch {
	case !sent && dialFailed:
		return flow.VerdictRefused, flow.ReasonUnreachable
	case !sent:
		return flow.VerdictCancelled, flow.ReasonCancelled
	case ctx.Err() != nil:
		return a.ended(ctx)
	}
	return flow.VerdictFailed, flow.ReasonServerFailed
}

// ended classifies a request that was sent and whose context ended.
func (a *Acceptor) ended(ctx context.Context) (flow.Verdict, flow.Reason) {
	if expirer.Expired(ctx) {
		return flow.VerdictTimeout, flow.ReasonTimeout
	}
	return flow.VerdictCancelled, flow.ReasonServerFailed
}

// checkAnswer refuses an answer that belongs to another request, one by which
// the backend server turned the request away, and one that leaves HTTP.
func (a *Acceptor) checkAnswer(in *arrival, response *http.Response) *flow.Refusal {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return a.refusal(flow.ReasonServerFailed, stepAnswer, "the backend server switched protocols")
	}
	service, ok := a.Holder.Load().Index.Service(in.sender.Server().Service)
	if !ok {
		return nil
	}
	shed := service.ShedStatus == response.StatusCode && (service.ShedHeader == "" || response.Header.Get(service.ShedHeader) != "")
	if foreign(service, in, response, shed) {
		return a.refusal(flow.ReasonAnswerForeign, stepAnswer, "the answer echoes another request id")
	}
	if shed {
		return a.refusal(flow.ReasonServerShed, stepSend, "the backend server turned the request away")
	}
	return nil
}

// foreign reports whether an answer echoes another request id than that of the
// request. A refusal may come without one, from a part of the backend server
// that did not read the request.
func foreign(service *flow.Service, in *arrival, response *http.Response, shed bool) bool {
	if service.RequestIDHeader == "" {
		return false
	}
	echoed := response.Header.Get(service.RequestIDHeader)
	if echoed == "" && shed {
		return false
	}
	id, _, _ := strings.Cut(in.permit.Attempt, "/")
	return echoed != id
}

// pass writes the answer, and finishes the ticket with what it said of the
// backend server.
func (a *Acceptor) pass(w http.ResponseWriter, in *arrival, ticket *sender.Ticket, answer *answerer.Answer) {
	headed := a.Clock.Now()
	answerer.StripHop(answer.Header)
	answerer.StripOwn(answer.Header)
	if answer.Rest == nil {
		a.finish(in, ticket, verdictOf(answer.Status), headed)
	}
	a.vouch(w, in, "")
	answer.Write(w, func(cut error) {
		if answer.Rest == nil {
			return
		}
		verdict := verdictOf(answer.Status)
		if cut != nil {
			verdict = flow.VerdictFailed
		}
		a.finish(in, ticket, verdict, headed)
	})
}

// finish ends a request that was run.
func (a *Acceptor) finish(in *arrival, ticket *sender.Ticket, verdict flow.Verdict, at flow.Time) {
	took := at.Sub(in.started)
	ticket.Finish(verdict, took)
	a.end(in, false)
	a.Observer.Admitted(in.permit.Server, "", took)
}

// verdictOf says what a whole answer's status tells of the backend server.
func verdictOf(status int) flow.Verdict {
	if status >= http.StatusInternalServerError {
		return flow.VerdictFailed
	}
	return flow.VerdictGood
}

var _ http.Handler = (*Acceptor)(nil)
