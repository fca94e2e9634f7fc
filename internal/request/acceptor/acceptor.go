// The handler and its steps.

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
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The steps of refusals.
const (
	stepPermit  = flow.Step("check-permit")
	stepBody    = flow.Step("read-body")
	stepArrive  = flow.Step("register")
	stepRecheck = flow.Step("recheck")
	stepSend    = flow.Step("send")
	stepAnswer  = flow.Step("pass-answer")
)

// unknownServer stands in the metrics for requests without a valid permit.
const unknownServer = "none"

// Observer is told of every forwarded request, for metrics.
type Observer interface {
	// Admitted takes the end of a forwarded request: the reason of a refusal, or
	// "" for an answer of the backend server.
	Admitted(server string, reason flow.Reason, took time.Duration)
}

// Parts are what an Acceptor works with.
type Parts struct {
	Host         string
	Incarnation  uint64
	Clock        flow.Clock
	Holder       *holder.Holder
	Permitter    *permitter.Permitter
	Observer     Observer
	Log          logr.Logger
	BodyLimit    int // bytes
	AnswerBuffer int // bytes
}

// Acceptor is the handler of forwarded requests.
type Acceptor struct {
	Parts
	strangers throttler.Throttler

	mu        sync.Mutex
	registrar *registrar.Registrar
}

// New returns an Acceptor.
func New(parts Parts) *Acceptor {
	return &Acceptor{Parts: parts, registrar: registrar.New(parts.Incarnation)}
}

// arrival is one forwarded request on its way through the steps.
type arrival struct {
	permit   *permitter.Permit
	request  *http.Request
	body     []byte
	deadline flow.Time
	started  flow.Time
	sender   *sender.Sender
}

// ServeHTTP runs one forwarded request.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := a.Clock.Now()
	permit, refusal := a.checkPermit(r)
	if refusal != nil {
		a.Observer.Admitted(unknownServer, refusal.Reason, 0)
		if passed, ok := a.strangers.Allow(time.Now(), refusal.Detail); ok {
			a.Log.Info("forwarded request refused", "step", string(refusal.Step), "peer", r.RemoteAddr, "cause", refusal.Detail, "passed-over", passed)
		}
		answerer.WriteRefusal(w, "", refusal)
		return
	}
	in := &arrival{permit: permit, request: r, started: arrived, deadline: arrived.Add(permit.Timeout)}
	if refusal := a.readBody(w, in); refusal != nil {
		a.refuse(w, in, refusal)
		return
	}
	if refusal := a.arrive(in); refusal != nil {
		a.refuse(w, in, refusal)
		return
	}
	a.run(w, in)
}

// run takes a registered attempt to its end.
func (a *Acceptor) run(w http.ResponseWriter, in *arrival) {
	ctx, expiry := expirer.New(in.request.Context(), in.permit.Timeout)
	defer expiry.Cancel()
	ticket, refusal := a.admit(ctx, in)
	if refusal != nil {
		a.end(in, true)
		a.refuse(w, in, refusal)
		return
	}
	if !in.permit.Idempotent {
		// It is left to finish even if the ingress goes away, since it may have
		// an effect already.
		ctx, expiry = expirer.New(context.WithoutCancel(ctx), in.deadline.Sub(a.Clock.Now()))
		defer expiry.Cancel()
	}
	answer, refusal := a.send(ctx, in, ticket)
	if refusal != nil {
		a.end(in, refusal.NotRun())
		a.refuse(w, in, refusal)
		return
	}
	if answer.Rest != nil {
		expiry.RemoveDeadline()
	}
	a.pass(w, in, ticket, answer)
}

// -----------------------------------------------------------------------------

func (a *Acceptor) checkPermit(r *http.Request) (*permitter.Permit, *flow.Refusal) {
	permit, err := a.Permitter.VerifyPermit(r.Header.Get(permitter.HeaderPermit))
	if err != nil {
		return nil, a.refusal(flow.ReasonPermitInvalid, stepPermit, err.Error())
	}
	if !bytes.Equal(permit.TargetHash, permitter.HashTarget(r.Method, r.URL.RequestURI())) {
		return nil, a.refusal(flow.ReasonPermitInvalid, stepPermit, "the permit is for another request")
	}
	return permit, nil
}

// readBody reads the body whole, so that nothing is run of a request whose
// sender goes away midway.
func (a *Acceptor) readBody(w http.ResponseWriter, in *arrival) *flow.Refusal {
	if in.permit.Incarnation != a.Incarnation {
		return a.refusal(flow.ReasonPermitInvalid, stepPermit, "the permit is for an earlier process")
	}
	body, err := composer.ReadBody(w, in.request, a.BodyLimit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return a.refusal(flow.ReasonRequestTooLarge, stepBody, err.Error())
	case err != nil:
		return a.refusal(flow.ReasonCancelled, stepBody, err.Error())
	}
	in.body = body
	return nil
}

// arrive registers the attempt. The permit is checked by the same time, so that
// an attempt that was barred cannot start when its entry is forgotten.
func (a *Acceptor) arrive(in *arrival) *flow.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if !now.Before(in.permit.NotAfter) {
		return a.refusal(flow.ReasonPermitLate, stepArrive, "the permit ran out on the way")
	}
	switch state := a.registrar.RecordArrival(now, in.permit.Attempt, in.permit.NotAfter); state {
	case registrar.StateNew:
		return nil
	case registrar.StateBarred:
		return a.refusal(flow.ReasonCancelled, stepArrive, "the attempt was barred")
	default:
		// The attempt itself is not run again, but the one that came first may
		// have run.
		return a.refusal(flow.ReasonServerFailed, stepArrive, "the attempt arrived before and is "+string(state))
	}
}

func (a *Acceptor) end(in *arrival, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registrar.RecordEnd(a.Clock.Now(), in.permit.Attempt, refused)
}

// admit checks again what the ingress checked, by the revision in force here,
// waits at the gate, and checks once more what may have changed meanwhile.
func (a *Acceptor) admit(ctx context.Context, in *arrival) (*sender.Ticket, *flow.Refusal) {
	if refusal := a.recheck(in); refusal != nil {
		return nil, refusal
	}
	ticket, err := in.sender.Admit(ctx, admitter.Entry{
		Customer:     in.permit.Customer,
		NotAfter:     in.permit.NotAfter - 1,
		Deadline:     in.deadline,
		TrialAllowed: in.permit.Idempotent,
	})
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return nil, refusal
	}
	if refusal := a.recheck(in); refusal != nil {
		ticket.Finish(flow.VerdictCancelled, 0)
		return nil, refusal
	}
	return ticket, nil
}

// recheckLast checks once more when there is a connection to the backend
// server, for which the request may have waited.
func (a *Acceptor) recheckLast(in *arrival) *flow.Refusal {
	if in.request.Context().Err() != nil {
		return a.refusal(flow.ReasonCancelled, stepRecheck, "the ingress went away")
	}
	return a.recheck(in)
}

// recheck checks the lease, the permit, the backend server, the route and the
// key by what is known here now.
func (a *Acceptor) recheck(in *arrival) *flow.Refusal {
	now := a.Clock.Now()
	snapshot := a.Holder.Load()
	if snapshot.Stopping {
		return a.refusal(flow.ReasonStopping, stepRecheck, "the daemon is stopping")
	}
	if !snapshot.MayAct(now) {
		return a.refusal(flow.ReasonNoLease, stepRecheck, snapshot.Reason)
	}
	if !now.Before(in.permit.NotAfter) {
		return a.refusal(flow.ReasonPermitLate, stepRecheck, "the permit ran out")
	}
	in.sender = snapshot.Senders[in.permit.Server]
	if in.sender == nil {
		return a.refusal(flow.ReasonLeaving, stepRecheck, "the backend server is not on this host")
	}
	match := snapshot.Index.Route(in.request.Method, in.request.URL.EscapedPath())
	if match.Route == nil || match.Route.Name != in.permit.Route || match.Route.Service != in.sender.Server().Service {
		return a.refusal(flow.ReasonNoRoute, stepRecheck, "the route has changed")
	}
	if match.Route.Open {
		return nil
	}
	var hash [32]byte
	copy(hash[:], in.permit.KeyHash)
	key, ok := snapshot.Index.KeyByHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(key.Customer), []byte(in.permit.Customer)) != 1 {
		return a.refusal(flow.ReasonKeyUnknown, stepRecheck, "the key was withdrawn")
	}
	return nil
}

// -----------------------------------------------------------------------------

// refuse answers with a refusal and its voucher.
func (a *Acceptor) refuse(w http.ResponseWriter, in *arrival, refusal *flow.Refusal) {
	a.Observer.Admitted(in.permit.Server, refusal.Reason, a.Clock.Now().Sub(in.started))
	a.Log.V(1).Info("forwarded request refused", "step", string(refusal.Step), "peer", refusal.Peer,
		"attempt", in.permit.Attempt, "reason", string(refusal.Reason), "cause", refusal.Detail)
	a.vouch(w, in, refusal.Reason)
	answerer.WriteRefusal(w, in.permit.Attempt, refusal)
}

// vouch puts the voucher of an answer into its headers.
func (a *Acceptor) vouch(w http.ResponseWriter, in *arrival, refused flow.Reason) {
	voucher := &permitter.Voucher{
		Attempt:     in.permit.Attempt,
		Host:        a.Host,
		Incarnation: a.Incarnation,
		AnsweredAt:  a.Clock.Now(),
		Reason:      refused,
	}
	if s := a.Holder.Load().Senders[in.permit.Server]; s != nil {
		voucher.Load = s.Load()
	}
	value, err := a.Permitter.SignVoucher(voucher)
	if err != nil {
		a.Log.Error(err, "voucher could not be signed", "step", string(stepAnswer), "attempt", in.permit.Attempt)
		return
	}
	w.Header().Set(permitter.HeaderVoucher, value)
}

func (a *Acceptor) refusal(reason flow.Reason, step flow.Step, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: a.Host, Detail: detail}
}

// -----------------------------------------------------------------------------

// Endpoints returns the calls that ingresses may make about their attempts.
func (a *Acceptor) Endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{messenger.CallResolve: a.resolve}
}

func (a *Acceptor) resolve(_ context.Context, request any) (any, error) {
	var asked registrar.ResolveRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registrar.Resolve(a.Clock.Now(), asked), nil
}
