// Package dispatcher handles the requests of callers at the ingress.
//
// The steps of a request are, in order: find its route, authenticate the customer
// by the key, check that a server is in a region in which it may be handled, take a
// token of the customer's rate limit, offer the request to backend servers until one
// grants a slot, run it there, and return the response.
// A request that certainly did not run may be offered to another server. A request
// that may have run is retried only if it is idempotent, within the maximum number
// of attempts of its route and the retry budget.
//
// It is a part of the sidecar that package supervisor runs. The daemon that package
// runner runs has package receiver instead.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/refuser"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// responseGrace is the time after its deadline at which a request without a
	// response is given up. Backend servers may respond as late as the deadline, and
	// such a response still has to arrive.
	responseGrace = 120 * time.Millisecond
	// callerMargin is the time between the deadline of a request and the deadline of
	// its caller, so that even the latest response still reaches the caller in time.
	callerMargin = 200 * time.Millisecond
	// callerMarginShare limits that margin to a share of the caller's time left, for
	// callers with a short deadline.
	callerMarginShare = 0.25
	// defaultTimeLeft is the time left for requests without a valid time-left header.
	defaultTimeLeft = 30 * time.Second
)

// The steps that a refusal names.
const (
	stepRoute        = flow.Step("route")
	stepAuthenticate = flow.Step("authenticate")
	stepRegions      = flow.Step("check-regions")
	stepTakeToken    = flow.Step("draw")
	stepRefuseEarly  = flow.Step("refuse-early")
	stepDispatch     = flow.Step("dispatch")
)

// Allowance gives access to what the daemons share: the customers' rate limits and
// the services' pools of retries.
type Allowance interface {
	// Retry takes a retry from the pool of a service, and reports whether there was
	// one.
	Retry(ctx context.Context, service string) bool
	// HasRetry reports whether the pool may have a retry, as far as this daemon can
	// tell.
	HasRetry(service string) bool
	// Take takes a token of a customer's rate. If there is none, it returns the time
	// until there will be one.
	Take(ctx context.Context, customer *flow.CustomerRule) (ok bool, retryAfter time.Duration)
}

// Observer records every request for metrics.
type Observer interface {
	// Served is called when a caller's request ends. The reason is that of a refusal,
	// or "" for a response of a backend server.
	Served(customer, route string, reason flow.Reason, offers int, latency time.Duration)
	// RefusedEarly is called, before Served, when a request is refused without an offer
	// because every server of its service would refuse it as too late.
	RefusedEarly(service string)
}

// Parts are the dependencies and limits of a Dispatcher.
type Parts struct {
	Host        string // own IP address
	Zone        string
	Service     func() string // of this host's backend server
	OfferPort   string        // on which daemons accept offers, the same on all hosts
	HeaderNames flow.HeaderNames
	Clock       flow.Clock
	Catalog     func() *cataloger.Catalog
	ProofAge    func() time.Duration // age of the newest proof that the catalog is current
	// MaxProofAge is the proof age above which requests are refused. 0 means no
	// limit, so that a daemon that has lost contact continues to serve.
	MaxProofAge time.Duration
	Transporter *transporter.Client
	Allowance   Allowance
	Observer    Observer
	CallFailed  func() // called when a call made by the host's backend server failed
	// RetryShare returns the share of the requests running on the host's backend
	// server that have reached a backend server before. Such a request repeats its
	// calls too, so that this share of the server's calls counts as retries.
	RetryShare  func() float64
	RetryBudget func(daemons int) retrier.Options
	// EarlyRefusalAge is the age up to which reports of servers may show that a request
	// would be refused by all of them. With 0 each request is offered.
	EarlyRefusalAge time.Duration
	Log             logr.Logger
	Random          *rand.Rand
}

// Dispatcher handles the requests of callers. It is safe for concurrent use.
type Dispatcher struct {
	Parts

	draining atomic.Bool // set by Drain: no further request is taken

	stopped context.Context // done after Stop: no request waits for a slot
	stop    context.CancelFunc
	aborted context.Context // done after Abort: no request waits for a response
	abort   context.CancelFunc

	mu            sync.Mutex
	selector      *selector.Selector
	refuser       *refuser.Refuser
	retryBudgets  map[string]*retrier.Budget // by service
	maxDaemons    int                        // maximum number ever known, by which the budgets are divided
	responseSizes map[string]float64         // moving average in bytes, by route
}

// New returns a Dispatcher without any state of the backend servers.
func New(parts Parts) *Dispatcher {
	stopped, stop := context.WithCancel(context.Background())
	aborted, abort := context.WithCancel(context.Background())
	return &Dispatcher{
		Parts:         parts,
		stopped:       stopped,
		stop:          stop,
		aborted:       aborted,
		abort:         abort,
		selector:      selector.New(parts.Random),
		refuser:       refuser.New(parts.EarlyRefusalAge, parts.Random),
		retryBudgets:  map[string]*retrier.Budget{},
		responseSizes: map[string]float64{},
	}
}

// Drain refuses all further requests, as not run: one that begins late in a planned stop
// would be cut at its end. Requests that wait for a slot go on.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Stop refuses the requests that have no slot yet, as not run. Running requests
// continue.
func (d *Dispatcher) Stop() { d.stop() }

// Abort responds to all running requests with a failure that says that they may have
// run. Responses on a connection are sent in the order of its requests, so a request
// without a response would hold back, and so lose, the finished ones behind it.
func (d *Dispatcher) Abort() {
	d.stop()
	d.abort()
}

// exchange is the state of one request and its response.
type exchange struct {
	id           string
	request      *http.Request
	body         []byte
	started      flow.Time
	deadline     flow.Time
	catalog      *cataloger.Catalog
	route        *flow.RouteRule
	customer     *flow.CustomerRule // nil if the request has no known key
	service      string             // chosen from the route's split
	isCall       bool               // the request was made by this host's backend server
	possibleRuns int                // number of attempts that may have run
	isRetry      bool               // an attempt has reached a backend server, whether or not it ran
	offers       int
	lastServer   string        // id of the server of the last attempt
	retryAfter   time.Duration // shortest queue wait that a daemon reported, or time until a token; -1 if unknown
	response     *http.Response
}

// Handle returns the response to a request. It returns nil if the caller had already
// disconnected.
func (d *Dispatcher) Handle(ctx context.Context, request *http.Request, body []byte) (response *http.Response) {
	if ctx.Err() != nil {
		return nil
	}
	ex := &exchange{
		id:         request.Header.Get(d.HeaderNames.RequestID),
		request:    request,
		body:       body,
		started:    d.Clock.Now(),
		catalog:    d.Catalog(),
		retryAfter: -1,
	}
	defer recoverer.Recover(d.Log, string(stepDispatch), func() {
		// Nothing is known about how far the request came.
		response = d.refusalResponse(ex, d.newRefusal(flow.ReasonServerFailed, stepDispatch, recoverer.Cause))
	})
	refusal := d.runSteps(ctx, ex)
	if refusal != nil && ex.possibleRuns > 0 && refusal.NotRun() {
		// The last attempt did not run, but an earlier one may have.
		refusal = &flow.Refusal{Reason: flow.ReasonServerFailed, Step: refusal.Step, Peer: refusal.Peer, Detail: refusal.Detail}
	}
	if refusal != nil {
		ex.response = d.refusalResponse(ex, refusal)
	}
	d.finish(ctx, ex, refusal)
	return ex.response
}

// runSteps runs the steps in order up to the first refusal.
func (d *Dispatcher) runSteps(ctx context.Context, ex *exchange) *flow.Refusal {
	if d.draining.Load() {
		return d.newRefusal(flow.ReasonStopping, stepDispatch, "the daemon is stopping")
	}
	if refusal := d.findRoute(ex); refusal != nil {
		return refusal
	}
	if refusal := d.authenticate(ex); refusal != nil {
		return refusal
	}
	d.setDeadline(ex)
	ex.service = d.chooseService(ex.route)
	if refusal := d.checkRegions(ex); refusal != nil {
		return refusal
	}
	if refusal := d.takeToken(ctx, ex); refusal != nil {
		return refusal
	}
	return d.dispatch(ctx, ex)
}

func (d *Dispatcher) findRoute(ex *exchange) *flow.Refusal {
	if !ex.catalog.Ready() {
		return d.newRefusal(flow.ReasonNoConfiguration, stepRoute, "no configuration is known yet")
	}
	if age := d.ProofAge(); d.MaxProofAge > 0 && age > d.MaxProofAge {
		return d.newRefusal(flow.ReasonNoLease, stepRoute, "the newest proof that the configuration is current is "+age.String()+" old")
	}
	host := strings.ToLower(ex.request.Host)
	path := ex.request.URL.EscapedPath()
	ex.route = ex.catalog.Route(host, path)
	if name, _, err := net.SplitHostPort(host); ex.route == nil && err == nil {
		ex.route = ex.catalog.Route(name, path)
	}
	if ex.route == nil {
		return d.newRefusal(flow.ReasonNoRoute, stepRoute, "no route matches host "+host)
	}
	return nil
}

// authenticate finds the customer by the key, and removes the key from the request.
func (d *Dispatcher) authenticate(ex *exchange) *flow.Refusal {
	key := ex.request.Header.Get(d.HeaderNames.Key)
	ex.request.Header.Del(d.HeaderNames.Key)
	if !ex.catalog.KeysRequired {
		return nil
	}
	ex.customer = ex.catalog.CustomerByKey(key)
	switch {
	case ex.customer != nil:
		return nil
	case ex.route.Open:
		ex.isCall = key == ""
		return nil
	case key == "":
		return d.newRefusal(flow.ReasonKeyMissing, stepAuthenticate, "no key came with the request")
	}
	return d.newRefusal(flow.ReasonKeyUnknown, stepAuthenticate, "the key is unknown")
}

// setDeadline sets the deadline from the caller's time left and the timeout of the
// route.
func (d *Dispatcher) setDeadline(ex *exchange) {
	left := defaultTimeLeft
	if text := ex.request.Header.Get(d.HeaderNames.TimeLeft); text != "" {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms >= 0 && ms < int64(time.Hour/time.Millisecond) {
			left = time.Duration(ms) * time.Millisecond
		}
	}
	left -= min(callerMargin, time.Duration(callerMarginShare*float64(left)))
	if ex.route.Timeout > 0 {
		left = min(left, ex.route.Timeout)
	}
	ex.deadline = ex.started.Add(left)
}

// takeToken takes a token of the customer's rate, if it has one.
func (d *Dispatcher) takeToken(ctx context.Context, ex *exchange) *flow.Refusal {
	if ex.customer == nil || ex.customer.PerSecond <= 0 {
		return nil
	}
	ok, retryAfter := d.Allowance.Take(ctx, ex.customer)
	if ok {
		return nil
	}
	ex.retryAfter = retryAfter
	return d.newRefusal(flow.ReasonOverRate, stepTakeToken, "the customer is over its rate")
}

// chooseService chooses one of the route's services at random by their weights.
func (d *Dispatcher) chooseService(route *flow.RouteRule) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	var sum float64
	for _, part := range route.Split {
		sum += part.Weight
	}
	d.mu.Lock()
	point := d.Random.Float64() * sum
	d.mu.Unlock()
	for _, part := range route.Split {
		if point -= part.Weight; point < 0 {
			return part.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// priority returns the customer's priority or, if it has none, that of the route.
func (d *Dispatcher) priority(ex *exchange) int {
	if ex.customer != nil && ex.customer.Priority >= 0 {
		return ex.customer.Priority
	}
	return ex.route.Priority
}

// Sweep forgets the state of servers that were not used for longer than idle.
func (d *Dispatcher) Sweep(idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.Sweep(d.Clock.Now(), idle)
	d.refuser.Sweep(d.Clock.Now())
}

func (d *Dispatcher) newRefusal(reason flow.Reason, step flow.Step, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: d.Host, Detail: detail}
}

// finish writes the log line of a request that has ended and reports it to the
// observer.
func (d *Dispatcher) finish(ctx context.Context, ex *exchange, refusal *flow.Refusal) {
	now := d.Clock.Now()
	latency := now.Sub(ex.started)
	routeName, customer, reason := "", "", flow.Reason("")
	if ex.route != nil {
		routeName = ex.route.Name
	}
	if ex.customer != nil {
		customer = ex.customer.Name
	}
	fields := []any{
		"request", ex.id, "route", routeName, "customer", customer, "service", ex.service, "server", ex.lastServer,
		"offers", ex.offers, "reached", ex.possibleRuns, "took-ms", latency.Milliseconds(),
		"version", ex.catalog.Version, "age-ms", d.ProofAge().Milliseconds(),
	}
	if refusal != nil {
		reason = refusal.Reason
		fields = append(fields, "reason", string(refusal.Reason), "step", string(refusal.Step), "peer", refusal.Peer, "cause", refusal.Detail)
	}
	if ex.response != nil {
		fields = append(fields, "status", ex.response.StatusCode)
	}
	failed := refusal != nil || ex.response == nil || ex.response.StatusCode >= http.StatusInternalServerError
	if ex.isCall && failed {
		// This includes calls that the server itself has given up.
		d.CallFailed()
	}
	if ctx.Err() != nil {
		fields = append(fields, "caller-left", true)
	}
	if failed {
		d.Log.Info("request failed", fields...)
	} else {
		d.Log.V(1).Info("request answered", fields...)
	}
	d.Observer.Served(customer, routeName, reason, ex.offers, latency)
}

// refusalResponse returns the response that tells the caller of a refusal.
func (d *Dispatcher) refusalResponse(ex *exchange, refusal *flow.Refusal) *http.Response {
	return responder.RefusalResponse(ex.id, refusal, max(ex.retryAfter, 0))
}

// forwardedHeader returns the headers that are forwarded to the backend server.
func (d *Dispatcher) forwardedHeader(request *http.Request) http.Header {
	header := request.Header.Clone()
	responder.RemoveHopByHopHeaders(header)
	responder.RemoveOwnHeaders(header)
	for _, name := range []string{
		d.HeaderNames.Key, d.HeaderNames.Customer, d.HeaderNames.CallerService, d.HeaderNames.ExpectedServer, d.HeaderNames.TimeLeft, "Content-Length",
	} {
		header.Del(name)
	}
	return header
}

// withDeadline returns a context that ends responseGrace after the request's
// deadline.
func (d *Dispatcher) withDeadline(ctx context.Context, ex *exchange) (context.Context, *expirer.Expiry) {
	return expirer.New(ctx, ex.deadline.Sub(d.Clock.Now())+responseGrace)
}
