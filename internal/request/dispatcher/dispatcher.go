// Package dispatcher takes the requests of callers and brings each to its
// answer.
//
// A request passes these steps in order: its route is found; its customer is
// established by the key; a token of the customer's rate is taken; backend
// servers are offered the request until one has a slot for it; it runs there,
// and its answer is passed on. What certainly did not run may be offered
// elsewhere; what may have run is sent again only if it is idempotent, within
// the route's attempts and the retry budget.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/courier"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// finalMargin is how long after its deadline a request is answered at the
	// latest: backend servers answer at the deadline themselves.
	finalMargin = 120 * time.Millisecond
	// callerMargin is how long before its caller's deadline a request ends, so that
	// its last answer still reaches the caller.
	callerMargin = 200 * time.Millisecond
	// callerMarginShare bounds that margin for callers who wait briefly.
	callerMarginShare = 0.25
	// defaultTimeLeft is how long a caller is taken to wait who does not say so.
	defaultTimeLeft = 30 * time.Second
)

// The steps of refusals.
const (
	stepRoute     = flow.Step("route")
	stepCustomer  = flow.Step("authenticate")
	stepAllowance = flow.Step("draw")
	stepDispatch  = flow.Step("dispatch")
)

// Allowance holds what all daemons share: customers' rates and the pool of
// retries.
type Allowance interface {
	// Retry takes a retry out of the pool of a service.
	Retry(ctx context.Context, service string) bool
	// HasRetry reports whether that pool may hold one, as far as is known here.
	HasRetry(service string) bool
	// Take takes a token of a customer's rate, or tells when there will be one.
	Take(ctx context.Context, customer *flow.CustomerRule) (ok bool, retryAfter time.Duration)
}

// Observer is told of every request, for metrics.
type Observer interface {
	// Served takes the end of a caller's request: the reason of a refusal, or ""
	// for an answer of a backend server.
	Served(customer, route string, reason flow.Reason, attempts int, took time.Duration)
}

// Parts are what a Dispatcher works with.
type Parts struct {
	Host      string // own IP number
	Zone      string
	Service   func() string // of the backend server of this host
	OfferPort string        // where daemons take offers, the same on all hosts
	Names     flow.HeaderNames
	Clock     flow.Clock
	Catalog   func() *cataloger.Catalog
	Age       func() time.Duration // of the newest proof that the catalog is current
	// OldestProof is the age of that proof from which requests are refused; 0 for
	// none, so that a daemon out of touch serves on.
	OldestProof time.Duration
	Courier     *courier.Client
	Allowance   Allowance
	Observer    Observer
	CallFailed  func() // told when a call of the host's backend server failed
	// RetryShare is the share of the requests on the host's backend server that have
	// reached one before. Their calls are made again as well.
	RetryShare func() float64
	Budget     func(daemons int) retrier.Options
	Log        logr.Logger
	Random     *rand.Rand
}

// Dispatcher handles the requests of callers. It is safe for use by many
// goroutines.
type Dispatcher struct {
	Parts

	stopping context.Context // no slot is waited for any more
	stop     context.CancelFunc
	ending   context.Context // nothing is waited for any more
	end      context.CancelFunc

	mu       sync.Mutex
	selector *selector.Selector
	budgets  map[string]*retrier.Budget // by service
	daemons  int                        // most that were ever known, of which the budgets are a part
	sizes    map[string]float64         // mean size of answers in bytes, by route
}

// New returns a Dispatcher.
func New(parts Parts) *Dispatcher {
	stopping, stop := context.WithCancel(context.Background())
	ending, endAll := context.WithCancel(context.Background())
	return &Dispatcher{
		Parts:    parts,
		stopping: stopping,
		stop:     stop,
		ending:   ending,
		end:      endAll,
		selector: selector.New(parts.Random),
		budgets:  map[string]*retrier.Budget{},
		sizes:    map[string]float64{},
	}
}

// Stop ends the waiting for slots: what has none is refused as not run, and what
// runs goes on.
func (d *Dispatcher) Stop() { d.stop() }

// End answers everything that is still under way, as what may have run. Else the
// answers that are ready behind it on its connection would be lost with it.
func (d *Dispatcher) End() {
	d.stop()
	d.end()
}

// exchange is one request on its way through the steps.
type exchange struct {
	id       string
	request  *http.Request
	body     []byte
	began    flow.Time
	deadline flow.Time
	catalog  *cataloger.Catalog
	route    *flow.RouteRule
	customer *flow.CustomerRule // nil without a key
	service  string             // the part of the route's split
	call     bool               // made by the backend server of this host
	reached  int                // backend servers that it may have run on
	isRetry  bool               // it has reached one, run or not
	offers   int
	last     string        // server that was offered it last
	wait     time.Duration // shortest queue heard of
	response *http.Response
}

// Handle brings one request to its answer. It is nil when the caller has left.
func (d *Dispatcher) Handle(ctx context.Context, request *http.Request, body []byte) *http.Response {
	if ctx.Err() != nil {
		return nil
	}
	ex := &exchange{
		id:      request.Header.Get(d.Names.RequestID),
		request: request,
		body:    body,
		began:   d.Clock.Now(),
		catalog: d.Catalog(),
		wait:    -1,
	}
	refusal := d.handle(ctx, ex)
	if refusal != nil && ex.reached > 0 && refusal.NotRun() {
		// The last attempt did not run, but an earlier one did.
		refusal = &flow.Refusal{Reason: flow.ReasonServerFailed, Step: refusal.Step, Peer: refusal.Peer, Detail: refusal.Detail}
	}
	if refusal != nil {
		ex.response = d.refuse(ex, refusal)
	}
	d.conclude(ctx, ex, refusal)
	return ex.response
}

func (d *Dispatcher) handle(ctx context.Context, ex *exchange) *flow.Refusal {
	if refusal := d.findRoute(ex); refusal != nil {
		return refusal
	}
	if refusal := d.authenticate(ex); refusal != nil {
		return refusal
	}
	d.setDeadline(ex)
	if refusal := d.draw(ctx, ex); refusal != nil {
		return refusal
	}
	ex.service = d.choosePart(ex.route)
	return d.dispatch(ctx, ex)
}

func (d *Dispatcher) findRoute(ex *exchange) *flow.Refusal {
	if !ex.catalog.Ready() {
		return d.refusal(flow.ReasonNoConfiguration, stepRoute, "no configuration is known yet")
	}
	if age := d.Age(); d.OldestProof > 0 && age > d.OldestProof {
		return d.refusal(flow.ReasonNoLease, stepRoute, "the newest proof that the configuration is current is "+age.String()+" old")
	}
	host := strings.ToLower(ex.request.Host)
	path := ex.request.URL.EscapedPath()
	ex.route = ex.catalog.Route(host, path)
	if name, _, err := net.SplitHostPort(host); ex.route == nil && err == nil {
		ex.route = ex.catalog.Route(name, path)
	}
	if ex.route == nil {
		return d.refusal(flow.ReasonNoRoute, stepRoute, "no route matches host "+host)
	}
	return nil
}

// authenticate establishes the customer. The key goes no further.
func (d *Dispatcher) authenticate(ex *exchange) *flow.Refusal {
	key := ex.request.Header.Get(d.Names.Key)
	ex.request.Header.Del(d.Names.Key)
	if !ex.catalog.KeysRequired {
		return nil
	}
	ex.customer = ex.catalog.CustomerByKey(key)
	switch {
	case ex.customer != nil:
		return nil
	case ex.route.Open:
		ex.call = key == ""
		return nil
	case key == "":
		return d.refusal(flow.ReasonKeyMissing, stepCustomer, "no key came with the request")
	}
	return d.refusal(flow.ReasonKeyUnknown, stepCustomer, "the key is unknown")
}

// setDeadline bounds the request by what the caller waits and what the route
// allows.
func (d *Dispatcher) setDeadline(ex *exchange) {
	left := defaultTimeLeft
	if text := ex.request.Header.Get(d.Names.TimeLeft); text != "" {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms >= 0 && ms < int64(time.Hour/time.Millisecond) {
			left = time.Duration(ms) * time.Millisecond
		}
	}
	left -= min(callerMargin, time.Duration(callerMarginShare*float64(left)))
	if ex.route.Timeout > 0 {
		left = min(left, ex.route.Timeout)
	}
	ex.deadline = ex.began.Add(left)
}

func (d *Dispatcher) draw(ctx context.Context, ex *exchange) *flow.Refusal {
	if ex.customer == nil || ex.customer.PerSecond <= 0 {
		return nil
	}
	ok, retryAfter := d.Allowance.Take(ctx, ex.customer)
	if ok {
		return nil
	}
	ex.wait = retryAfter
	return d.refusal(flow.ReasonOverRate, stepAllowance, "the customer is over its rate")
}

// choosePart chooses a service by the weights of the route.
func (d *Dispatcher) choosePart(route *flow.RouteRule) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	var sum float64
	for _, part := range route.Split {
		sum += part.Weight
	}
	d.mu.Lock()
	at := d.Random.Float64() * sum
	d.mu.Unlock()
	for _, part := range route.Split {
		if at -= part.Weight; at < 0 {
			return part.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

func (d *Dispatcher) priority(ex *exchange) int {
	if ex.customer != nil && ex.customer.Priority >= 0 {
		return ex.customer.Priority
	}
	return ex.route.Priority
}

// Sweep forgets what was not used for a time.
func (d *Dispatcher) Sweep(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.Sweep(d.Clock.Now(), after)
}

// -----------------------------------------------------------------------------

func (d *Dispatcher) refusal(reason flow.Reason, step flow.Step, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: d.Host, Detail: detail}
}

// conclude logs and counts the end of a request.
func (d *Dispatcher) conclude(ctx context.Context, ex *exchange, refusal *flow.Refusal) {
	now := d.Clock.Now()
	took := now.Sub(ex.began)
	routeName, customer, reason := "", "", flow.Reason("")
	if ex.route != nil {
		routeName = ex.route.Name
	}
	if ex.customer != nil {
		customer = ex.customer.Name
	}
	fields := []any{
		"request", ex.id, "route", routeName, "customer", customer, "service", ex.service, "server", ex.last,
		"offers", ex.offers, "reached", ex.reached, "took-ms", took.Milliseconds(),
		"version", ex.catalog.Version, "age-ms", d.Age().Milliseconds(),
	}
	if refusal != nil {
		reason = refusal.Reason
		fields = append(fields, "reason", string(refusal.Reason), "step", string(refusal.Step), "peer", refusal.Peer, "cause", refusal.Detail)
	}
	if ex.response != nil {
		fields = append(fields, "status", ex.response.StatusCode)
	}
	failed := refusal != nil || ex.response == nil || ex.response.StatusCode >= http.StatusInternalServerError
	if ex.call && failed {
		// Also when the server has given up on the call itself.
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
	d.Observer.Served(customer, routeName, reason, ex.offers, took)
}

// refuse makes the answer of a refusal.
func (d *Dispatcher) refuse(ex *exchange, refusal *flow.Refusal) *http.Response {
	return answerer.Refusal(ex.id, refusal, max(ex.wait, 0))
}

// -----------------------------------------------------------------------------

// forwardedHeader returns the headers that go on to the backend server.
func (d *Dispatcher) forwardedHeader(request *http.Request) http.Header {
	header := request.Header.Clone()
	answerer.StripHop(header)
	answerer.StripOwn(header)
	for _, name := range []string{
		d.Names.Key, d.Names.Customer, d.Names.CallerService, d.Names.ExpectedServer, d.Names.TimeLeft, "Content-Length",
	} {
		header.Del(name)
	}
	return header
}

// boundedBy returns a context that ends when a request has to be answered.
func (d *Dispatcher) boundedBy(ctx context.Context, ex *exchange) (context.Context, *expirer.Expiry) {
	return expirer.New(ctx, ex.deadline.Sub(d.Clock.Now())+finalMargin)
}
