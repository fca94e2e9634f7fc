package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/courier"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/dispatcher"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

var (
	names = flow.HeaderNames{
		RequestID: "Request-Id", TimeLeft: "Time-Left", Key: "Key", Customer: "Customer", CallerService: "Caller",
		ExpectedServer: "Expected", ServerID: "Server-Id", NotRun: "Not-Run", Seal: "Seal",
	}
	options = framer.Options{Self: framer.Identity{Host: "h"}, Secret: []byte("a secret of 16 bytes"), Limit: 1 << 20}
)

// host is a daemon beside a backend server whose behaviour a test gives.
type host struct {
	refuse flow.Reason // of the offer; "" grants it
	fail   flow.Reason // of the run; "" answers
	status int         // of the answer; 0 for 200
	cut    bool        // the answer ends early
	hang   bool        // it runs until it is cut
	wait   bool        // it never has a slot
	gray   float64     // probability that the server fails, as its daemon says
	delay  time.Duration

	mu       sync.Mutex
	offers   []courier.Offer
	requests []courier.Request
	runs     int
}

// executorOf is a host as its daemon's executor.
type executorOf struct{ *host }

func (e executorOf) Admit(ctx context.Context, offer *courier.Offer, waiting func()) (courier.Slot, error) {
	if e.wait {
		waiting()
		<-ctx.Done()
		return nil, &flow.Refusal{Reason: flow.ReasonCancelled}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offers = append(e.offers, *offer)
	if e.refuse != "" {
		return nil, &flow.Refusal{Reason: e.refuse}
	}
	return slotOf(e), nil
}

func (h *host) Load(string) courier.Load {
	return courier.Load{Free: 1, Wait: 700 * time.Millisecond, Gray: h.gray}
}

type slotOf struct{ *host }

// Load implements courier.Slot.
func (s slotOf) Load() courier.Load { return s.host.Load("") }

func (h *host) Release() {}

func (h *host) Run(ctx context.Context, request *courier.Request) (*courier.Answer, error) {
	body := request.Body
	h.mu.Lock()
	h.runs++
	h.requests = append(h.requests, *request)
	h.mu.Unlock()
	time.Sleep(h.delay)
	switch {
	case h.hang:
		<-ctx.Done()
		return nil, &flow.Refusal{Reason: flow.ReasonServerFailed, Detail: "cut"}
	case h.fail != "":
		return nil, &flow.Refusal{Reason: h.fail, Detail: "failed"}
	}
	answer := &courier.Answer{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(string(body)))}
	if h.status != 0 {
		answer.Status = h.status
	}
	if h.cut {
		answer.Length += 5
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader(string(body)), brokenReader{}))
	}
	return answer, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// world is a dispatcher in front of hosts at 127.0.0.1, 127.0.0.2 and so on.
type world struct {
	*dispatcher.Dispatcher
	hosts      []*host
	allowed    bool
	budget     float64
	pool       int // retries that the daemons share
	age        time.Duration
	callFailed int
	retryShare float64 // of the requests on the host's own server
	catalog    atomic.Pointer[cataloger.Catalog]
}

type allowance struct{ w *world }

func (a allowance) Retry(context.Context, string) bool {
	a.w.pool--
	return a.w.pool >= 0
}

func (a allowance) HasRetry(string) bool { return a.w.pool > 0 }

func (a allowance) Take(context.Context, *flow.CustomerRule) (bool, time.Duration) {
	return a.w.allowed, 1500 * time.Millisecond
}

type observer struct{}

func (observer) Served(string, string, flow.Reason, int, time.Duration) {}

func newWorld(t *testing.T, hosts ...*host) *world {
	t.Helper()
	w := &world{hosts: hosts, allowed: true, budget: 100}
	var servers []*flow.ServerEntry
	port := ""
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, h := range hosts {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		accepting, err := net.Listen("tcp", net.JoinHostPort(ip, orZero(port)))
		is.New(t).NoErr(err)
		_, port, _ = net.SplitHostPort(accepting.Addr().String())
		go func() {
			_ = (&courier.Server{Options: options, Executor: executorOf{h}, Log: logr.Discard()}).Serve(ctx, accepting)
		}()
		servers = append(servers, &flow.ServerEntry{ID: fmt.Sprint("s", i), Service: "stock", Address: ip + ":1", Host: ip, Zone: "a", Slots: 4})
	}
	route := func(name, prefix string, idempotent, open bool) flow.RouteRule {
		return flow.RouteRule{
			Name: name, Host: "a.example", PathPrefix: prefix, Split: []flow.WeightedService{{Service: "stock", Weight: 1}},
			Idempotent: idempotent, Open: open, MaxAttempts: 2, Timeout: 700 * time.Millisecond, TargetLatency: 300 * time.Millisecond,
		}
	}
	w.catalog.Store(cataloger.Build(5, &flow.Configuration{
		Version:   3,
		Routes:    []flow.RouteRule{route("read", "/read/", true, false), route("book", "/book/", false, false), route("call", "/call/", true, true)},
		Customers: []flow.CustomerRule{{Name: "shop", Keys: []string{"k"}, Priority: -1, PerSecond: 5}},
	}, servers, nil))
	w.Dispatcher = dispatcher.New(dispatcher.Parts{
		Host: "127.0.0.1", Zone: "a", Service: func() string { return "ledger" }, OfferPort: port, Names: names,
		Clock: flow.NewMonotonicClock(), Catalog: w.catalog.Load,
		Age: func() time.Duration { return w.age }, OldestProof: time.Minute,
		Courier: courier.NewClient(options), Allowance: allowance{w}, Observer: observer{},
		CallFailed: func() { w.callFailed++ },
		RetryShare: func() float64 { return w.retryShare },
		Budget: func(daemons int) retrier.Options {
			return retrier.Options{Share: -1, MinPerSecond: -1, Slack: w.budget * float64(len(hosts)) / float64(daemons)}
		},
		Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	return w
}

func orZero(port string) string {
	if port == "" {
		return "0"
	}
	return port
}

// send sends a request, and returns the status, the body and the header.
func (w *world) send(t *testing.T, method, path string, change func(*http.Request)) (int, string, http.Header) {
	t.Helper()
	target, err := url.Parse(path)
	is.New(t).NoErr(err)
	request := &http.Request{Method: method, URL: target, Host: "a.example", Header: http.Header{
		names.RequestID: {"id"}, names.Key: {"k"}, names.TimeLeft: {"5000"},
	}}
	if change != nil {
		change(request)
	}
	response := w.Handle(context.Background(), request, []byte("body"))
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Header
}

func (w *world) runs() (sum int) {
	for _, h := range w.hosts {
		h.mu.Lock()
		sum += h.runs
		h.mu.Unlock()
	}
	return sum
}

// TestOutcomes plays failures at each step against both kinds of route. A
// request that is not idempotent runs once at most, and "not run" is true.
func TestOutcomes(t *testing.T) {
	const (
		book = "/book/"
		read = "/read/"
	)
	full := func() *host { return &host{refuse: flow.ReasonBusy} }
	cases := map[string]struct {
		path   string
		hosts  []*host
		status int
		runs   int
	}{
		"it runs":                                  {book, []*host{{}}, 200, 1},
		"the first has no slot":                    {book, []*host{full(), full(), {}}, 200, 1},
		"nobody has a slot":                        {book, []*host{full(), full()}, 503, 0},
		"all are leaving":                          {book, []*host{{refuse: flow.ReasonLeaving}}, 503, 0},
		"the server sheds, another runs it":        {book, []*host{{fail: flow.ReasonServerShed}, {}}, 200, 0},
		"all servers shed":                         {book, []*host{{fail: flow.ReasonServerShed}, {fail: flow.ReasonServerShed}}, 503, 2},
		"the server is not there":                  {book, []*host{{fail: flow.ReasonUnreachable}}, 503, 1},
		"the answer is lost":                       {book, []*host{{fail: flow.ReasonServerFailed}, {fail: flow.ReasonServerFailed}}, 502, 1},
		"the answer belongs to another":            {book, []*host{{fail: flow.ReasonAnswerForeign}, {fail: flow.ReasonAnswerForeign}}, 502, 1},
		"the answer is cut":                        {book, []*host{{cut: true}, {cut: true}}, 502, 1},
		"the server's own failure":                 {book, []*host{{status: 500}, {status: 500}}, 500, 1},
		"it hangs":                                 {book, []*host{{hang: true}, {hang: true}}, 504, 1},
		"idempotent: the answer is lost twice":     {read, []*host{{fail: flow.ReasonServerFailed}, {fail: flow.ReasonServerFailed}, {fail: flow.ReasonServerFailed}}, 502, 2},
		"idempotent: failures use up its attempts": {read, []*host{{status: 500}, {status: 500}, {status: 500}}, 500, 2},
		"idempotent: ran, and then not":            {read, []*host{{status: 500}}, 500, 1},
		"idempotent: cut answers":                  {read, []*host{{cut: true}, {cut: true}, {cut: true}}, 502, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, tc.hosts...)
			status, _, header := w.send(t, http.MethodPost, tc.path, nil)
			is.Equal(status, tc.status)
			if tc.runs > 0 {
				is.Equal(w.runs(), tc.runs)
			}
			notRun := header.Get(flow.HeaderOutcome) == string(flow.OutcomeNotRun)
			is.Equal(notRun, tc.status == 503)
			is.Equal(header.Get("Retry-After") != "", tc.status == 503)
		})
	}
}

// TestNotRunAfterARun has one attempt run without an answer and the next be
// turned away: what the caller is told is not "not run".
func TestNotRunAfterARun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, &host{fail: flow.ReasonServerFailed}, &host{fail: flow.ReasonServerShed}, &host{fail: flow.ReasonServerShed})
	for range 20 {
		status, _, header := w.send(t, http.MethodGet, "/read/", nil)
		is.True(status != http.StatusServiceUnavailable || w.hosts[0].runs == 0)
		if w.hosts[0].runs > 0 {
			is.True(header.Get(flow.HeaderOutcome) != string(flow.OutcomeNotRun))
			return
		}
	}
}

func TestRefusedAtTheIngress(t *testing.T) {
	cases := map[string]struct {
		path   string
		change func(*http.Request)
		world  func(*world)
		status int
	}{
		"no route":                        {"/nothing/", nil, nil, 404},
		"another host":                    {"/read/", func(r *http.Request) { r.Host = "b.example" }, nil, 404},
		"no key":                          {"/read/", func(r *http.Request) { r.Header.Del(names.Key) }, nil, 401},
		"an unknown key":                  {"/read/", func(r *http.Request) { r.Header.Set(names.Key, "x") }, nil, 401},
		"over the rate":                   {"/read/", nil, func(w *world) { w.allowed = false }, 429},
		"knowledge older than is allowed": {"/read/", nil, func(w *world) { w.age = time.Hour }, 503},
		"an open route needs no key":      {"/call/", func(r *http.Request) { r.Header.Del(names.Key) }, nil, 200},
		"a host with a port":              {"/read/", func(r *http.Request) { r.Host = "A.example:8080" }, nil, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, &host{})
			if tc.world != nil {
				tc.world(w)
			}
			status, _, _ := w.send(t, http.MethodGet, tc.path, tc.change)
			is.Equal(status, tc.status)
			is.Equal(w.runs() == 1, tc.status == 200)
		})
	}
}

// TestWhatIsForwarded looks at the headers and figures that go on: the key goes
// no further, and nobody can forge what the system says.
func TestWhatIsForwarded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, &host{})
	_, body, _ := w.send(t, http.MethodPost, "/book/7?x=%2F", func(r *http.Request) {
		r.Header.Set(names.Customer, "forged")
		r.Header.Set(names.CallerService, "forged")
		r.Header.Set("Connection", "Dropped")
		r.Header.Set("Dropped", "1")
		r.Header.Set("Kept", "1")
	})
	is.Equal(body, "body")
	offer := w.hosts[0].offers[0]
	request := w.hosts[0].requests[0]
	is.Equal(request.Target, "/book/7?x=%2F")
	is.Equal(offer.Customer, "shop")
	is.Equal(request.Caller, "ledger")
	is.Equal(offer.ID, "id")
	is.True(offer.Left <= 700*time.Millisecond) // the route's timeout, below what the caller waits
	is.Equal(request.Header.Get("Kept"), "1")
	for _, name := range []string{names.Key, names.Customer, names.CallerService, "Dropped", "Connection"} {
		is.Equal(request.Header.Get(name), "")
	}
}

// TestRetryBudget allows one retry of the daemon's own and two of the pool, and
// then passes the server's failure on.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, &host{status: 500}, &host{status: 500}, &host{status: 500})
	w.budget, w.pool = 1, 2
	for range 5 {
		status, _, _ := w.send(t, http.MethodGet, "/read/", nil)
		is.Equal(status, 500)
	}
	is.Equal(w.runs(), 8)
}

// TestRetryThatFindsNoServer has requests fail while no other server takes them, as in an
// overload: the retries that were not made are left for later requests.
func TestRetryThatFindsNoServer(t *testing.T) {
	cases := map[string]struct{ budget, pool int }{
		"out of the daemon's own part": {1, 0},
		"out of the pool":              {0, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			failing, full := &host{status: http.StatusInternalServerError}, &host{refuse: flow.ReasonBusy, status: http.StatusInternalServerError}
			w := newWorld(t, failing, full)
			w.budget, w.pool = float64(tc.budget), tc.pool
			for range 3 {
				w.send(t, http.MethodGet, "/read/", nil)
			}
			is.Equal(w.runs(), 3)
			full.mu.Lock()
			full.refuse = ""
			full.mu.Unlock()
			w.send(t, http.MethodGet, "/read/", nil)
			is.Equal(w.runs(), 5)
		})
	}
}

// TestCallsOfRetriedRequests has the host's own server run requests that were sent before:
// their calls are made again too, and are taken out of the retry budget.
func TestCallsOfRetriedRequests(t *testing.T) {
	cases := map[string]struct {
		path       string
		retryShare float64
		want       int // runs of two requests that fail, and of their retries
	}{
		"calls of first attempts":      {"/call/", 0, 4},
		"calls of second attempts":     {"/call/", 1, 3},
		"a caller's requests meantime": {"/read/", 1, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, &host{status: 500}, &host{status: 500})
			w.budget, w.retryShare = 2, tc.retryShare
			for range 2 {
				w.send(t, http.MethodGet, tc.path, func(r *http.Request) {
					if tc.path == "/call/" {
						r.Header.Del(names.Key)
					}
				})
			}
			is.New(t).Equal(w.runs(), tc.want)
		})
	}
}

// TestFailedCall tells the executor of a failed call of its backend server, and
// not of a failed request of a caller.
func TestFailedCall(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, &host{status: 500})
	w.send(t, http.MethodGet, "/read/", nil)
	is.Equal(w.callFailed, 0)
	w.send(t, http.MethodGet, "/call/", func(r *http.Request) { r.Header.Del(names.Key) })
	is.Equal(w.callFailed, 1)
}

// TestCallerLeaves gives up a request that may be repeated with its caller, and
// lets one that may not run to its end.
func TestCallerLeaves(t *testing.T) {
	for path, wantRuns := range map[string]bool{"/read/": false, "/book/": true} {
		t.Run(path, func(t *testing.T) {
			h := &host{delay: 200 * time.Millisecond}
			w := newWorld(t, h)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(60*time.Millisecond, cancel)
			target, _ := url.Parse(path)
			request := &http.Request{Method: http.MethodPost, URL: target, Host: "a.example", Header: http.Header{names.RequestID: {"id"}, names.Key: {"k"}}}
			began := time.Now()
			response := w.Handle(ctx, request, nil)
			finished := time.Since(began) > 150*time.Millisecond
			is.New(t).Equal(finished, wantRuns)
			is.New(t).Equal(response != nil && response.StatusCode == 200, wantRuns)
		})
	}
}

// TestStopRefusesWhatWaits ends the daemon while one request waits for a slot and
// another runs: the first is refused as not run, the second gets its answer.
func TestStopRefusesWhatWaits(t *testing.T) {
	is := is.New(t)
	runs := newWorld(t, &host{delay: 150 * time.Millisecond})
	time.AfterFunc(50*time.Millisecond, runs.Stop)
	status, _, _ := runs.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusOK)

	waits := newWorld(t, &host{wait: true})
	time.AfterFunc(50*time.Millisecond, waits.Stop)
	began := time.Now()
	status, _, header := waits.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
	is.True(time.Since(began) < 400*time.Millisecond)
	is.Equal(waits.runs(), 0)
}

// TestSuspectedServersDoNotHideOthers has more servers refuse than one plan asks:
// the one behind them is found all the same.
func TestSuspectedServersDoNotHideOthers(t *testing.T) {
	var hosts []*host
	for range 14 {
		hosts = append(hosts, &host{refuse: flow.ReasonEjected, gray: 0.9})
	}
	w := newWorld(t, append(hosts, &host{})...)
	for range 5 {
		status, _, _ := w.send(t, http.MethodPost, "/book/", nil)
		is.New(t).Equal(status, 200)
	}
}

// TestEndAnswersWhatRuns ends the daemon while a request hangs at its server: it
// is answered as what may have run, so that those behind it on its connection
// get their answers.
func TestEndAnswersWhatRuns(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, &host{hang: true})
	time.AfterFunc(50*time.Millisecond, w.End)
	began := time.Now()
	status, _, header := w.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeUnknown))
	is.True(time.Since(began) < 400*time.Millisecond)
}

// TestRetryBudgetFollowsTheDaemons has a daemon learn of more daemons after it has
// spent retries, and of fewer: its part of the budget shrinks with the first, and
// does not grow with the second.
func TestRetryBudgetFollowsTheDaemons(t *testing.T) {
	is := is.New(t)
	failing := func() *host { return &host{status: http.StatusInternalServerError} }
	w := newWorld(t, failing(), failing())
	w.budget = 8
	w.pool = 0
	retries := func(requests int) int {
		before := w.runs()
		for range requests {
			_, _, _ = w.send(t, http.MethodGet, "/read/", nil)
		}
		return w.runs() - before - requests
	}
	is.Equal(retries(2), 2)
	few := w.catalog.Load()
	w.catalog.Store(withHosts(few, 8))
	is.Equal(retries(4), 0) // two of the two that are its part among eight are spent
	w.catalog.Store(few)
	is.Equal(retries(4), 0)
}

// withHosts returns a catalog with the servers of another and hosts of another
// service beside them.
func withHosts(catalog *cataloger.Catalog, hosts int) *cataloger.Catalog {
	servers := slices.Clone(catalog.Servers("stock"))
	for i := len(servers); i < hosts; i++ {
		ip := fmt.Sprintf("127.0.1.%d", i)
		servers = append(servers, &flow.ServerEntry{ID: ip, Service: "other", Address: ip + ":1", Host: ip, Zone: "a", Slots: 4})
	}
	route := *catalog.Route("a.example", "/read/")
	return cataloger.Build(6, &flow.Configuration{
		Version: 3, Routes: []flow.RouteRule{route}, Customers: []flow.CustomerRule{*catalog.Customer("shop")},
	}, servers, nil)
}
