package acceptor

import (
	"bytes"
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/throttler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The steps that a refusal names.
const (
	stepCheckPermit = flow.Step("check-permit")
	stepReadBody    = flow.Step("read-body")
	stepRegister    = flow.Step("register")
	stepRecheck     = flow.Step("recheck")
	stepSend        = flow.Step("send")
	stepRespond     = flow.Step("pass-answer")
)

// unknownServer is the server in the metrics of requests without a valid permit.
const unknownServer = "none"

// Observer records every forwarded request for metrics.
type Observer interface {
	// Admitted is called when a forwarded request ends. The reason is that of a
	// refusal, or "" for a response of the backend server.
	Admitted(server string, reason flow.Reason, latency time.Duration)
}

// Parts are the dependencies and limits of an Acceptor.
type Parts struct {
	Host           string
	Incarnation    uint64
	Clock          flow.Clock
	Holder         *holder.Holder
	Permitter      *permitter.Permitter
	Observer       Observer
	Log            logr.Logger
	BodyLimit      int // bytes of a request body
	ResponseBuffer int // bytes of a response that are read before any of it is passed on
}

// Acceptor is the HTTP handler of forwarded requests. It is safe for concurrent use.
type Acceptor struct {
	Parts
	logThrottler throttler.Throttler // for requests without a valid permit, which anyone can send

	mu        sync.Mutex
	registrar *registrar.Registrar
}

// New returns an Acceptor that has no registered attempts.
func New(parts Parts) *Acceptor {
	return &Acceptor{Parts: parts, registrar: registrar.New(parts.Incarnation)}
}

// inboundRequest is the state of one forwarded request.
type inboundRequest struct {
	permit   *permitter.Permit
	request  *http.Request
	body     []byte
	deadline flow.Time
	started  flow.Time // arrival, or once there is a response, the time of sending
	sender   *sender.Sender
}

// ServeHTTP runs one forwarded request.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := a.Clock.Now()
	permit, refusal := a.checkPermit(r)
	if refusal != nil {
		a.Observer.Admitted(unknownServer, refusal.Reason, 0)
		if suppressed, ok := a.logThrottler.Allow(time.Now(), refusal.Detail); ok {
			a.Log.Info("forwarded request refused", "step", string(refusal.Step), "peer", r.RemoteAddr, "cause", refusal.Detail, "passed-over", suppressed)
		}
		responder.WriteRefusal(w, "", refusal)
		return
	}
	inbound := &inboundRequest{permit: permit, request: r, started: arrivedAt, deadline: arrivedAt.Add(permit.Timeout)}
	if refusal := a.readBody(w, inbound); refusal != nil {
		a.refuse(w, inbound, refusal)
		return
	}
	if refusal := a.register(inbound); refusal != nil {
		a.refuse(w, inbound, refusal)
		return
	}
	a.run(w, inbound)
}

// run admits and sends a registered attempt and writes the response.
func (a *Acceptor) run(w http.ResponseWriter, inbound *inboundRequest) {
	ctx, expiry := expirer.New(inbound.request.Context(), inbound.permit.Timeout)
	defer expiry.Cancel()
	ticket, refusal := a.admit(ctx, inbound)
	if refusal != nil {
		a.endAttempt(inbound, true)
		a.refuse(w, inbound, refusal)
		return
	}
	if !inbound.permit.Idempotent {
		// The request may already have had an effect, so it runs to its end even
		// if the ingress disconnects.
		ctx, expiry = expirer.New(context.WithoutCancel(ctx), inbound.deadline.Sub(a.Clock.Now()))
		defer expiry.Cancel()
	}
	response, refusal := a.send(ctx, inbound, ticket)
	if refusal != nil {
		a.endAttempt(inbound, refusal.NotRun())
		a.refuse(w, inbound, refusal)
		return
	}
	if response.Rest != nil {
		expiry.RemoveDeadline()
	}
	a.writeResponse(w, inbound, ticket, response)
}

func (a *Acceptor) checkPermit(r *http.Request) (*permitter.Permit, *flow.Refusal) {
	permit, err := a.Permitter.VerifyPermit(r.Header.Get(permitter.HeaderPermit))
	if err != nil {
		return nil, a.newRefusal(flow.ReasonPermitInvalid, stepCheckPermit, err.Error())
	}
	if !bytes.Equal(permit.TargetHash, permitter.HashTarget(r.Method, r.URL.RequestURI())) {
		return nil, a.newRefusal(flow.ReasonPermitInvalid, stepCheckPermit, "the permit is for another request")
	}
	return permit, nil
}

// readBody reads the whole body before anything runs, so that a request whose
// sender disconnects midway does not run.
func (a *Acceptor) readBody(w http.ResponseWriter, inbound *inboundRequest) *flow.Refusal {
	if inbound.permit.Incarnation != a.Incarnation {
		return a.newRefusal(flow.ReasonPermitInvalid, stepCheckPermit, "the permit is for an earlier process")
	}
	body, err := composer.ReadBody(w, inbound.request, a.BodyLimit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return a.newRefusal(flow.ReasonRequestTooLarge, stepReadBody, err.Error())
	case err != nil:
		return a.newRefusal(flow.ReasonCancelled, stepReadBody, err.Error())
	}
	inbound.body = body
	return nil
}

// register registers the attempt. It checks the permit's expiry against the same
// reading of the clock: the registrar forgets a barred attempt once its permit
// has expired, and the attempt must not start then.
func (a *Acceptor) register(inbound *inboundRequest) *flow.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if !now.Before(inbound.permit.NotAfter) {
		return a.newRefusal(flow.ReasonPermitLate, stepRegister, "the permit ran out on the way")
	}
	switch state := a.registrar.RecordArrival(now, inbound.permit.Attempt, inbound.permit.NotAfter); state {
	case registrar.StateNew:
		return nil
	case registrar.StateBarred:
		return a.newRefusal(flow.ReasonCancelled, stepRegister, "the attempt was barred")
	default:
		// This copy of the attempt does not run, but an earlier copy may have run.
		return a.newRefusal(flow.ReasonServerFailed, stepRegister, "the attempt arrived before and is "+string(state))
	}
}

// endAttempt records in the registrar that the attempt has ended. refused means that
// it did not run.
func (a *Acceptor) endAttempt(inbound *inboundRequest, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registrar.RecordEnd(a.Clock.Now(), inbound.permit.Attempt, refused)
}

// admit repeats the checks of the ingress with the revision in force here, waits
// for the admission gate, and checks again what may have changed during the wait.
func (a *Acceptor) admit(ctx context.Context, inbound *inboundRequest) (*sender.Ticket, *flow.Refusal) {
	if refusal := a.recheck(inbound); refusal != nil {
		return nil, refusal
	}
	ticket, err := inbound.sender.Admit(ctx, admitter.Entry{
		Customer:     inbound.permit.Customer,
		NotAfter:     inbound.permit.NotAfter - 1, // the permit excludes its end, the gate includes it
		Deadline:     inbound.deadline,
		TrialAllowed: inbound.permit.Idempotent,
	})
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return nil, refusal
	}
	if refusal := a.recheck(inbound); refusal != nil {
		ticket.Finish(flow.VerdictCancelled, 0)
		return nil, refusal
	}
	return ticket, nil
}

// recheckBeforeSend checks again once there is a connection to the backend
// server, since the request may have waited for one.
func (a *Acceptor) recheckBeforeSend(inbound *inboundRequest) *flow.Refusal {
	if inbound.request.Context().Err() != nil {
		return a.newRefusal(flow.ReasonCancelled, stepRecheck, "the ingress went away")
	}
	return a.recheck(inbound)
}

// recheck checks the lease, the permit, the backend server, the route and the
// key against the current state of this host.
func (a *Acceptor) recheck(inbound *inboundRequest) *flow.Refusal {
	now := a.Clock.Now()
	snapshot := a.Holder.Load()
	if snapshot.Stopping {
		return a.newRefusal(flow.ReasonStopping, stepRecheck, "the daemon is stopping")
	}
	if !snapshot.MayAct(now) {
		return a.newRefusal(flow.ReasonNoLease, stepRecheck, snapshot.Reason)
	}
	if !now.Before(inbound.permit.NotAfter) {
		return a.newRefusal(flow.ReasonPermitLate, stepRecheck, "the permit ran out")
	}
	inbound.sender = snapshot.Senders[inbound.permit.Server]
	if inbound.sender == nil {
		return a.newRefusal(flow.ReasonLeaving, stepRecheck, "the backend server is not on this host")
	}
	match := snapshot.Index.Route(inbound.request.Method, inbound.request.URL.EscapedPath())
	if match.Route == nil || match.Route.Name != inbound.permit.Route || match.Route.Service != inbound.sender.Server().Service {
		return a.newRefusal(flow.ReasonNoRoute, stepRecheck, "the route has changed")
	}
	if match.Route.Open {
		return nil
	}
	var hash [32]byte
	copy(hash[:], inbound.permit.KeyHash)
	key, ok := snapshot.Index.KeyByHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(key.Customer), []byte(inbound.permit.Customer)) != 1 {
		return a.newRefusal(flow.ReasonKeyUnknown, stepRecheck, "the key was withdrawn")
	}
	return nil
}

// refuse writes a refusal with a voucher.
func (a *Acceptor) refuse(w http.ResponseWriter, inbound *inboundRequest, refusal *flow.Refusal) {
	a.Observer.Admitted(inbound.permit.Server, refusal.Reason, a.Clock.Now().Sub(inbound.started))
	a.Log.V(1).Info("forwarded request refused", "step", string(refusal.Step), "peer", refusal.Peer,
		"attempt", inbound.permit.Attempt, "reason", string(refusal.Reason), "cause", refusal.Detail)
	a.setVoucher(w, inbound, refusal.Reason)
	responder.WriteRefusal(w, inbound.permit.Attempt, refusal)
}

// setVoucher signs the voucher of a response and sets its header. A refused of ""
// means that the response is the backend server's.
func (a *Acceptor) setVoucher(w http.ResponseWriter, inbound *inboundRequest, refused flow.Reason) {
	voucher := &permitter.Voucher{
		Attempt:     inbound.permit.Attempt,
		Host:        a.Host,
		Incarnation: a.Incarnation,
		AnsweredAt:  a.Clock.Now(),
		Reason:      refused,
	}
	if s := a.Holder.Load().Senders[inbound.permit.Server]; s != nil {
		voucher.Load = s.Load()
	}
	value, err := a.Permitter.SignVoucher(voucher)
	if err != nil {
		a.Log.Error(err, "voucher could not be signed", "step", string(stepRespond), "attempt", inbound.permit.Attempt)
		return
	}
	w.Header().Set(permitter.HeaderVoucher, value)
}

func (a *Acceptor) newRefusal(reason flow.Reason, step flow.Step, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: a.Host, Detail: detail}
}

// Endpoints returns the handlers of the calls that ingresses make about their
// attempts.
func (a *Acceptor) Endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{messenger.CallResolve: a.handleResolve}
}

func (a *Acceptor) handleResolve(_ context.Context, request any) (any, error) {
	var resolveRequest registrar.ResolveRequest
	if err := request.(listener.Request).Decode(&resolveRequest); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registrar.Resolve(a.Clock.Now(), resolveRequest), nil
}
