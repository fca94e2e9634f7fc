package acceptor

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The headers that are added to a request to a backend server.
const (
	// HeaderCustomer names the customer whose key came with the request.
	HeaderCustomer = "Coltsfootflow-Customer"
	// HeaderDeadline is the time left until the deadline, like "250ms".
	HeaderDeadline = "X-Deadline"
)

// send sends an admitted request to its backend server and reads the response. If
// it returns a refusal, it has finished the ticket.
func (a *Acceptor) send(ctx context.Context, inbound *inboundRequest, ticket *sender.Ticket) (*responder.Response, *flow.Refusal) {
	sentAt := a.Clock.Now()
	response, failed := a.exchange(ctx, inbound, ticket)
	if failed != nil && failed.unsent && ctx.Err() == nil {
		// The pooled connection was closed, by the server or because of an earlier response.
		response, failed = a.exchange(ctx, inbound, ticket)
	}
	if failed != nil {
		ticket.Finish(failed.verdict, a.Clock.Now().Sub(sentAt))
		return nil, failed.refusal
	}
	inbound.started = sentAt
	return response, nil
}

// failure is the result of an exchange without a response for the ingress.
type failure struct {
	verdict flow.Verdict
	refusal *flow.Refusal
	unsent  bool // a connection was lost before any byte was sent on it
}

// exchange sends a request to its backend server once and reads the response.
func (a *Acceptor) exchange(ctx context.Context, inbound *inboundRequest, ticket *sender.Ticket) (*responder.Response, *failure) {
	request, err := a.newRequest(ctx, inbound)
	if err != nil {
		return nil, &failure{verdict: flow.VerdictCancelled, refusal: a.newRefusal(flow.ReasonRequestMalformed, stepSend, err.Error())}
	}
	var refused *flow.Refusal
	response, sent, err := ticket.Send(request, func() bool {
		refused = a.recheckBeforeSend(inbound)
		return refused == nil
	})
	if err != nil && !sent && refused != nil {
		return nil, &failure{verdict: flow.VerdictCancelled, refusal: refused}
	}
	if err != nil {
		return nil, a.newFailure(ctx, sent, err)
	}
	if refusal := a.checkResponse(inbound, ticket, response); refusal != nil {
		_ = response.Body.Close()
		if refusal.Reason == flow.ReasonServerShed {
			return nil, &failure{verdict: flow.VerdictShed, refusal: refusal}
		}
		if sent := ticket.CloseConnection(); !sent { // else the right response might follow on it
			return nil, a.newFailure(ctx, sent, errors.New(refusal.Detail))
		}
		return nil, &failure{verdict: flow.VerdictFailed, refusal: refusal}
	}
	buffered, err := responder.ReadResponse(response, a.ResponseBuffer)
	if err != nil {
		verdict, reason := flow.VerdictFailed, validator.ReasonOf(err, flow.ReasonAnswerShort)
		if ctx.Err() != nil {
			verdict, reason = a.classifyContextEnd(ctx)
		}
		return nil, &failure{verdict: verdict, refusal: a.newRefusal(reason, stepRespond, err.Error())}
	}
	return buffered, nil
}

// newFailure returns the failure of a request without a response. sent reports
// whether the server may have received any byte of it.
func (a *Acceptor) newFailure(ctx context.Context, sent bool, err error) *failure {
	verdict, reason := a.classifyError(ctx, sent, err)
	return &failure{verdict: verdict, refusal: a.newRefusal(reason, stepSend, err.Error()), unsent: !sent && reason != flow.ReasonUnreachable}
}

// newRequest returns the request to the backend server.
func (a *Acceptor) newRequest(ctx context.Context, inbound *inboundRequest) (*http.Request, error) {
	header := maps.Clone(inbound.request.Header)
	responder.RemoveHopByHopHeaders(header)
	responder.RemoveOwnHeaders(header)
	id, _, _ := strings.Cut(inbound.permit.Attempt, "/")
	header.Set(flow.HeaderRequestID, id)
	header.Set(HeaderDeadline, max(inbound.deadline.Sub(a.Clock.Now()), 0).String())
	if inbound.permit.Customer != "" {
		header.Set(HeaderCustomer, inbound.permit.Customer)
	}
	target := "http://" + inbound.sender.Server().Address + inbound.request.URL.RequestURI()
	return composer.Compose(ctx, inbound.request.Method, target, inbound.request.Host, header, inbound.body)
}

// classifyError returns the verdict and the reason for a request without a
// response. sent reports whether the server may have received any byte of it.
func (a *Acceptor) classifyError(ctx context.Context, sent bool, err error) (flow.Verdict, flow.Reason) {
	var opError *net.OpError
	dialFailed := errors.As(err, &opError) && opError.Op == "dial"
	switch {
	case !sent && dialFailed:
		return flow.VerdictRefused, flow.ReasonUnreachable
	case !sent:
		return flow.VerdictCancelled, flow.ReasonCancelled
	case ctx.Err() != nil:
		return a.classifyContextEnd(ctx)
	}
	return flow.VerdictFailed, validator.ReasonOf(err, flow.ReasonServerFailed)
}

// classifyContextEnd returns the verdict and the reason for a request that was
// sent and whose context ended.
func (a *Acceptor) classifyContextEnd(ctx context.Context) (flow.Verdict, flow.Reason) {
	if expirer.Expired(ctx) {
		return flow.VerdictTimeout, flow.ReasonTimeout
	}
	return flow.VerdictCancelled, flow.ReasonServerFailed
}

// checkResponse refuses a response that belongs to another request, and one by which
// the backend server sheds load.
func (a *Acceptor) checkResponse(inbound *inboundRequest, ticket *sender.Ticket, response *http.Response) *flow.Refusal {
	service, ok := a.Holder.Load().Index.Service(inbound.sender.Server().Service)
	if !ok {
		return nil
	}
	shed := service.ShedStatus == response.StatusCode && (service.ShedHeader == "" || response.Header.Get(service.ShedHeader) != "")
	echoed := response.Header.Values(service.RequestIDHeader)
	if shed && len(echoed) == 0 && ticket.AllEarlierAttributed() {
		ticket.CloseConnection() // a copy of this refusal could be taken for that of the next request
		return a.newRefusal(flow.ReasonServerShed, stepSend, "the backend server turned the request away")
	}
	id, _, _ := strings.Cut(inbound.permit.Attempt, "/")
	isOwn := len(echoed) > 0 && !slices.ContainsFunc(echoed, func(one string) bool { return one != id })
	if !isOwn && (shed || service.RequestIDHeader != "") {
		return a.newRefusal(flow.ReasonAnswerForeign, stepRespond, "the answer echoes another request id")
	}
	ticket.RecordOwnResponse()
	if shed {
		return a.newRefusal(flow.ReasonServerShed, stepSend, "the backend server turned the request away")
	}
	return nil
}

// writeResponse writes the backend server's response and finishes the ticket with
// its verdict: before the response is written if it was read whole, else after the
// rest was streamed.
func (a *Acceptor) writeResponse(w http.ResponseWriter, inbound *inboundRequest, ticket *sender.Ticket, response *responder.Response) {
	respondedAt := a.Clock.Now()
	responder.RemoveHopByHopHeaders(response.Header)
	responder.RemoveOwnHeaders(response.Header)
	if response.Rest == nil {
		a.finishRun(inbound, ticket, verdictOfStatus(response.Status), respondedAt)
	}
	a.setVoucher(w, inbound, "")
	response.Write(w, func(readErr error) {
		if response.Rest == nil {
			return
		}
		verdict := verdictOfStatus(response.Status)
		if readErr != nil {
			verdict = flow.VerdictFailed
		}
		a.finishRun(inbound, ticket, verdict, respondedAt)
	})
}

// finishRun ends a request that ran. The latency is the time until respondedAt,
// so that it excludes the streaming of the body.
func (a *Acceptor) finishRun(inbound *inboundRequest, ticket *sender.Ticket, verdict flow.Verdict, respondedAt flow.Time) {
	latency := respondedAt.Sub(inbound.started)
	ticket.Finish(verdict, latency)
	a.endAttempt(inbound, false)
	a.Observer.Admitted(inbound.permit.Server, "", latency)
}

// verdictOfStatus returns the verdict on the backend server for the status of a
// complete response.
func verdictOfStatus(status int) flow.Verdict {
	if status >= http.StatusInternalServerError {
		return flow.VerdictFailed
	}
	return flow.VerdictGood
}

var _ http.Handler = (*Acceptor)(nil)
