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

// Exchange is a request of a caller on its way through the steps. Each step
// sets the fields that later steps need.
type Exchange struct {
	ID       string
	Request  *http.Request
	Writer   http.ResponseWriter
	Arrived  flow.Time
	Snapshot *holder.Snapshot

	Route      *flow.Route
	Idempotent bool
	Deadline   flow.Time

	Customer string   // empty on open routes
	KeyHash  [32]byte // SHA-256 of the presented key
	HasKey   bool     // whether a key in force was presented
	Header   http.Header
	Host     string
	Body     []byte

	Token    *leaser.Token // of the current attempt; nil on open routes
	Attempts int
	Tried    []string // names of the backend servers tried so far

	expiry *expirer.Expiry // of the steps' context; removed when the response streams
}

// Observer collects metrics of requests.
type Observer interface {
	// Served records the end of a request: its customer and route, empty if
	// unknown; the reason of a refusal, or "" and the status of a backend
	// server's response; and the latency of the request.
	Served(customer, route string, reason flow.Reason, status int, latency time.Duration)
}

// Parts are the components and settings that the handler works with.
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
	MaxAttempts    int // per request, the first included
}

// Step is one row of the table of steps.
type Step struct {
	Name flow.Step
	Help string
	New  func(parts *Parts) endpoint.Middleware
}

// Steps returns the table of steps, in the order in which a request passes
// them.
func Steps() []Step {
	return []Step{
		{"check-lease", "Refuses requests while this daemon holds no lease or its availability zone is out of service.", NewLeaseChecker},
		{"route", "Finds the route of the method and path.", NewRouter},
		{"authenticate", "Finds the customer of the API key and removes the key from the request.", NewAuthenticator},
		{"read-body", "Reads the whole body, up to the limit.", NewBodyReader},
		{"deduplicate", "Looks up the idempotency key at its owner.", NewDeduplicator},
		{"retry", "Retries failed attempts within the retry budget and the deadline.", NewRetrier},
		{"draw", "Takes a token from the customer's rate limit.", NewRateLimiter},
	}
}

// NewHandler returns the HTTP handler for callers' requests.
func NewHandler(parts Parts) http.Handler {
	next := NewSender(&parts)
	steps := Steps()
	for i := len(steps) - 1; i >= 0; i-- {
		next = steps[i].New(&parts)(next)
	}
	h := &handler{parts: &parts}
	h.server = kithttp.NewServer(
		next,
		func(_ context.Context, r *http.Request) (any, error) { return exchangeOf(r), nil },
		h.writeResponse,
		kithttp.ServerErrorEncoder(h.writeError),
	)
	return h
}

// handler puts an Exchange into the context of each request, so that the
// functions that write the response can read it.
type handler struct {
	parts  *Parts
	server *kithttp.Server
}

type exchangeKey struct{}

func exchangeOf(r *http.Request) *Exchange {
	return r.Context().Value(exchangeKey{}).(*Exchange)
}

// ServeHTTP passes one request through the steps.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	exchange := &Exchange{
		ID:       newRequestID(),
		Writer:   w,
		Arrived:  h.parts.Clock.Now(),
		Snapshot: h.parts.Holder.Load(),
	}
	defer exchange.end()
	r = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, exchange))
	exchange.Request = r
	h.server.ServeHTTP(w, r)
}

// end releases the context of the steps.
func (e *Exchange) end() {
	if e.expiry != nil {
		e.expiry.Cancel()
	}
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// writeResponse writes a backend server's response to the caller.
func (h *handler) writeResponse(ctx context.Context, w http.ResponseWriter, response any) error {
	exchange := ctx.Value(exchangeKey{}).(*Exchange)
	answer := response.(*responder.Response)
	if answer.Rest != nil && answer.Length < 0 && !exchange.Request.ProtoAtLeast(1, 1) {
		answer.Close()
		h.writeError(ctx, h.parts.newRefusal("answer", flow.ReasonAnswerShort, "a caller of HTTP/1.0 cannot tell the end of a streamed answer"), w)
		return nil
	}
	if answer.Rest != nil {
		exchange.expiry.RemoveDeadline()
	}
	responder.RemoveHopByHopHeaders(answer.Header)
	answer.Header.Set(flow.HeaderRequestID, exchange.ID)
	if exchange.Snapshot.Stopping {
		answer.Header.Set("Connection", "close")
	}
	answer.Write(w, func(readErr error) {
		reason := flow.Reason("")
		if readErr != nil {
			reason = flow.ReasonAnswerShort
		}
		h.observeEnd(exchange, reason, answer.Status)
	})
	return nil
}

// writeError writes the response to a refused request.
func (h *handler) writeError(ctx context.Context, err error, w http.ResponseWriter) {
	exchange := ctx.Value(exchangeKey{}).(*Exchange)
	refusal, ok := flow.AsRefusal(err)
	if !ok {
		h.parts.Log.Error(err, "request failed", "step", "serve", "request", exchange.ID)
		refusal = &flow.Refusal{Reason: flow.ReasonServerFailed, Step: "serve", Peer: h.parts.Host, Detail: err.Error()}
	}
	if exchange.Snapshot.Stopping {
		w.Header().Set("Connection", "close")
	}
	h.parts.Log.V(1).Info("request refused", "step", string(refusal.Step), "peer", refusal.Peer, "request", exchange.ID,
		"customer", exchange.Customer, "reason", string(refusal.Reason), "cause", refusal.Detail)
	h.observeEnd(exchange, refusal.Reason, 0)
	responder.WriteRefusal(w, exchange.ID, refusal)
}

func (h *handler) observeEnd(exchange *Exchange, reason flow.Reason, status int) {
	route := ""
	if exchange.Route != nil {
		route = exchange.Route.Name
	}
	latency := h.parts.Clock.Now().Sub(exchange.Arrived)
	h.parts.Observer.Served(exchange.Customer, route, reason, status, latency)
}

// newRefusal returns a refusal by this host at a step.
func (p *Parts) newRefusal(step flow.Step, reason flow.Reason, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: p.Host, Detail: detail}
}
