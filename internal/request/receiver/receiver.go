// The handler, the table of steps, and the call that passes through them.

package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/coltsfootflow/coltsfootflow/internal/process/chooser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/forwarder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Call is one request of a caller on its way through the steps. Each step
// fills in what the later ones need.
type Call struct {
	ID       string
	Request  *http.Request
	Writer   http.ResponseWriter
	Arrived  flow.Time
	Snapshot *holder.Snapshot

	Route      *flow.Route
	Idempotent bool
	Deadline   flow.Time

	Customer string   // empty on open routes
	KeyHash  [32]byte // of the presented key
	HasKey   bool     // whether a key in force was presented
	Header   http.Header
	Host     string
	Body     []byte

	Token    *leaser.Token // nil when the customer has no rate to draw on
	Attempts int
	Tried    []string // backend servers that were tried

	expiry *expirer.Expiry // of the context of the steps; lifted when the answer streams
}

// Observer is told of every request, for metrics.
type Observer interface {
	// Served takes the end of a request: its customer and route, empty when not
	// known; the reason of a refusal, or "" for an answer of a backend server
	// with its status; and the time it took.
	Served(customer, route string, reason flow.Reason, status int, took time.Duration)
}

// Parts are what a Receiver works with.
type Parts struct {
	Host           string
	Clock          flow.Clock
	Holder         *holder.Holder
	Leaser         *leaser.Leaser
	Chooser        *chooser.Chooser
	Forwarder      *forwarder.Forwarder
	Deduplicator   Deduplicator
	Observer       Observer
	Log            logr.Logger
	BodyLimit      int // bytes
	PermitLifetime time.Duration
	Attempts       int // most attempts of one request
}

// Step is a row of the table of steps.
type Step struct {
	Name flow.Step
	Help string
	New  func(parts *Parts) endpoint.Middleware
}

// Steps returns the table of steps in the order in which a request passes them.
func Steps() []Step {
	return []Step{
		{"check-lease", "Refuses while this daemon may not act: no lease, or its availability zone is out.", NewLeaseChecker},
		{"route", "Finds the route of the method and path.", NewRouter},
		{"authenticate", "Finds the customer of the key and strips the key.", NewAuthenticator},
		{"read-body", "Reads the body whole, up to the limit.", NewBodyReader},
		{"deduplicate", "Looks an idempotency key up at its owner.", NewDeduplicator},
		{"retry", "Repeats what may be repeated, within the budget and the deadline.", NewRetrier},
		{"draw", "Draws a token of the customer's rate.", NewDrawer},
	}
}

// NewHandler returns the handler of callers' requests.
func NewHandler(parts Parts) http.Handler {
	next := NewSender(&parts)
	steps := Steps()
	for i := len(steps) - 1; i >= 0; i-- {
		next = steps[i].New(&parts)(next)
	}
	h := &handler{parts: &parts}
	h.server = kithttp.NewServer(
		next,
		func(_ context.Context, r *http.Request) (any, error) { return callOf(r), nil },
		h.writeAnswer,
		kithttp.ServerErrorEncoder(h.writeError),
	)
	return h
}

// handler puts a Call into the context of each request, so that what is written
// at its end knows how it went.
type handler struct {
	parts  *Parts
	server *kithttp.Server
}

type callKey struct{}

func callOf(r *http.Request) *Call {
	return r.Context().Value(callKey{}).(*Call)
}

// ServeHTTP takes one request through the steps.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &Call{
		ID:       newRequestID(),
		Writer:   w,
		Arrived:  h.parts.Clock.Now(),
		Snapshot: h.parts.Holder.Load(),
	}
	defer call.end()
	r = r.WithContext(context.WithValue(r.Context(), callKey{}, call))
	call.Request = r
	h.server.ServeHTTP(w, r)
}

// end ends the context of the steps.
func (c *Call) end() {
	if c.expiry != nil {
		c.expiry.Cancel()
	}
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// -----------------------------------------------------------------------------

// writeAnswer passes a backend server's answer on.
func (h *handler) writeAnswer(ctx context.Context, w http.ResponseWriter, response any) error {
	call := ctx.Value(callKey{}).(*Call)
	answer := response.(*responder.Response)
	if answer.Rest != nil && answer.Length < 0 && !call.Request.ProtoAtLeast(1, 1) {
		answer.Close()
		h.writeError(ctx, h.parts.refuse("answer", flow.ReasonAnswerShort, "a caller of HTTP/1.0 cannot tell the end of a streamed answer"), w)
		return nil
	}
	if answer.Rest != nil {
		call.expiry.Lift()
	}
	responder.RemoveHopByHopHeaders(answer.Header)
	answer.Header.Set(flow.HeaderRequestID, call.ID)
	if call.Snapshot.Stopping {
		answer.Header.Set("Connection", "close")
	}
	answer.Write(w, func(cut error) {
		reason := flow.Reason("")
		if cut != nil {
			reason = flow.ReasonAnswerShort
		}
		h.observe(call, reason, answer.Status)
	})
	return nil
}

// writeError answers a request that was refused.
func (h *handler) writeError(ctx context.Context, err error, w http.ResponseWriter) {
	call := ctx.Value(callKey{}).(*Call)
	refusal, ok := flow.AsRefusal(err)
	if !ok {
		h.parts.Log.Error(err, "request failed", "step", "serve", "request", call.ID)
		refusal = &flow.Refusal{Reason: flow.ReasonServerFailed, Step: "serve", Peer: h.parts.Host, Detail: err.Error()}
	}
	if call.Snapshot.Stopping {
		w.Header().Set("Connection", "close")
	}
	h.parts.Log.V(1).Info("request refused", "step", string(refusal.Step), "peer", refusal.Peer, "request", call.ID,
		"customer", call.Customer, "reason", string(refusal.Reason), "cause", refusal.Detail)
	h.observe(call, refusal.Reason, 0)
	responder.WriteRefusal(w, call.ID, refusal)
}

func (h *handler) observe(call *Call, reason flow.Reason, status int) {
	route := ""
	if call.Route != nil {
		route = call.Route.Name
	}
	took := h.parts.Clock.Now().Sub(call.Arrived)
	h.parts.Observer.Served(call.Customer, route, reason, status, took)
}

// refuse returns a refusal at a step of the ingress.
func (p *Parts) refuse(step flow.Step, reason flow.Reason, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: p.Host, Detail: detail}
}
