package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
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
	options = framer.Options{Self: framer.Identity{Host: "h"}, Secret: []byte("a secret of 16 bytes"), MaxPayloadBytes: 1 << 20}
)

// testServer is a daemon and its backend server with the behaviour that a test sets.
type testServer struct {
	refuse   flow.Reason // of a refused offer; "" grants the offer
	fail     flow.Reason // of a failed run; "" responds
	status   int         // of the response; 0 means 200
	header   http.Header // of the response; may be nil
	truncate bool        // the response body is truncated
	hang     bool        // the run lasts until its context ends
	wait     bool        // the request waits for a slot until its context ends
	silent   bool        // offers are not answered until their context ends
	gray     float64     // reported probability that the server fails most of its work
	delay    time.Duration
	onAdmit  func()        // called before an offer is granted; may be nil
	drain    time.Duration // reported time until the server takes requests again
	limit    time.Duration // reported duration after which a run is overdue
	hangOnce *atomic.Bool  // if true, the next run at any server that shares it hangs
	cut      atomic.Int64  // runs that hung until they were cancelled

	mu       sync.Mutex
	offers   []transporter.Offer
	requests []transporter.Request
	runs     int
}

// testExecutor implements transporter.Executor with the behaviour of a testServer.
type testExecutor struct{ *testServer }

func (e testExecutor) Admit(ctx context.Context, offer *transporter.Offer, onQueued func()) (transporter.Slot, error) {
	if e.silent {
		<-ctx.Done()
		return nil, &flow.Refusal{Reason: flow.ReasonCancelled}
	}
	if e.wait {
		onQueued()
		<-ctx.Done()
		return nil, &flow.Refusal{Reason: flow.ReasonCancelled}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.offers = append(e.offers, *offer)
	if e.refuse != "" {
		return nil, &flow.Refusal{Reason: e.refuse}
	}
	if e.onAdmit != nil {
		e.onAdmit()
	}
	return testSlot(e), nil
}

func (s *testServer) Load(string) transporter.Load {
	return transporter.Load{FreeSlots: 1, QueueWait: 700 * time.Millisecond, GrayProbability: s.gray, DrainTime: s.drain, OverdueAfter: s.limit}
}

type testSlot struct{ *testServer }

// Load implements transporter.Slot.
func (s testSlot) Load() transporter.Load { return s.testServer.Load("") }

func (s *testServer) Release() {}

func (s *testServer) Run(ctx context.Context, request *transporter.Request) (*transporter.Answer, error) {
	body := request.Body
	s.mu.Lock()
	s.runs++
	s.requests = append(s.requests, *request)
	s.mu.Unlock()
	time.Sleep(s.delay)
	switch {
	case s.hang, s.hangOnce != nil && s.hangOnce.CompareAndSwap(true, false):
		<-ctx.Done()
		s.cut.Add(1)
		return nil, &flow.Refusal{Reason: flow.ReasonServerFailed, Detail: "cut"}
	case s.fail != "":
		return nil, &flow.Refusal{Reason: s.fail, Detail: "failed"}
	}
	answer := &transporter.Answer{Status: http.StatusOK, Header: s.header.Clone(), Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(string(body)))}
	if s.status != 0 {
		answer.Status = s.status
	}
	if s.truncate {
		answer.Length += 5
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader(string(body)), brokenReader{}))
	}
	return answer, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fixture is a Dispatcher and its servers at 127.0.0.1, 127.0.0.2 and so on.
type fixture struct {
	*dispatcher.Dispatcher
	servers    []*testServer
	allowed    bool
	budget     int // retries left in the budget that the daemons share
	counted    int // requests of callers
	later      int // retries that were made without one of the budget
	proofAge   time.Duration
	callFailed int
	panics     atomic.Bool    // the next request panics
	charge     retrier.Charge // of calls of the host's own server
	refused    int            // calls that were charged and refused
	catalog    atomic.Pointer[cataloger.Catalog]
}

type allowance struct{ f *fixture }

func (a allowance) Retry(context.Context, string) bool {
	a.f.budget--
	return a.f.budget >= 0
}

func (a allowance) HasRetry(string) bool { return a.f.budget > 0 }

func (a allowance) CountRequest(string) { a.f.counted++ }

func (a allowance) CountRetry(string) { a.f.later++ }

// ChargeCall implements dispatcher.Charger.
func (a allowance) ChargeCall(string) (retrier.Charge, uint64) { return a.f.charge, 1 }

// CallRefused implements dispatcher.Charger.
func (a allowance) CallRefused(uint64, string) { a.f.refused++ }

func (a allowance) Take(context.Context, *flow.CustomerRule) (bool, time.Duration) {
	if a.f.panics.Swap(false) {
		panic("injected by the test")
	}
	return a.f.allowed, 1500 * time.Millisecond
}

type discardObserver struct{}

func (discardObserver) Served(string, string, flow.Reason, int, time.Duration) {}
func (discardObserver) SentToRegion(string)                                    {}
func (discardObserver) Retried(string, bool)                                   {}

func newFixture(t *testing.T, testServers ...*testServer) *fixture {
	t.Helper()
	f := &fixture{servers: testServers, allowed: true, budget: 100}
	var servers []*flow.ServerEntry
	port := ""
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, server := range testServers {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		accepting, err := net.Listen("tcp", net.JoinHostPort(ip, portOrZero(port)))
		is.New(t).NoErr(err)
		_, port, _ = net.SplitHostPort(accepting.Addr().String())
		go func() {
			_ = (&transporter.Server{Options: options, Executor: testExecutor{server}, Log: logr.Discard()}).Serve(ctx, accepting)
		}()
		servers = append(servers, &flow.ServerEntry{ID: fmt.Sprint("s", i), Service: "stock", Address: ip + ":1", Host: ip, Zone: "a", Slots: 4})
	}
	route := func(name, prefix string, idempotent, open bool) flow.RouteRule {
		return flow.RouteRule{
			Name: name, Host: "a.example", PathPrefix: prefix, Split: []flow.WeightedService{{Service: "stock", Weight: 1}},
			Idempotent: idempotent, Open: open, MaxAttempts: 2, Timeout: 700 * time.Millisecond, TargetLatency: 300 * time.Millisecond,
		}
	}
	f.catalog.Store(cataloger.Build(5, &flow.Configuration{
		Version:   3,
		Routes:    []flow.RouteRule{route("read", "/read/", true, false), route("book", "/book/", false, false), route("call", "/call/", true, true), route("enter", "/enter/", false, true)},
		Customers: []flow.CustomerRule{{Name: "shop", Keys: []string{"k"}, Priority: -1, PerSecond: 5}},
	}, servers, nil))
	f.Dispatcher = dispatcher.New(dispatcher.Parts{
		Host: "127.0.0.1", Zone: "a", Service: func() string { return "ledger" }, OfferPort: port, HeaderNames: names,
		Clock: flow.NewMonotonicClock(), Catalog: f.catalog.Load,
		ProofAge: func() time.Duration { return f.proofAge }, MaxProofAge: time.Minute,
		Transporter: transporter.NewClient(options, nil), Allowance: allowance{f}, Observer: discardObserver{},
		CallFailed: func() { f.callFailed++ },
		Charger:    allowance{f},
		Log:        logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	return f
}

func portOrZero(port string) string {
	if port == "" {
		return "0"
	}
	return port
}

// send sends a request, and returns the status, the body and the header.
func (f *fixture) send(t *testing.T, method, path string, change func(*http.Request)) (int, string, http.Header) {
	t.Helper()
	target, err := url.Parse(path)
	is.New(t).NoErr(err)
	request := &http.Request{Method: method, URL: target, Host: "a.example", Header: http.Header{
		names.RequestID: {"id"}, names.Key: {"k"}, names.TimeLeft: {"5000"},
	}}
	if change != nil {
		change(request)
	}
	response := f.Handle(context.Background(), request, flow.Body{[]byte("body")})
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Header
}

// TestOnlySilentDaemonsAreSlow guards against daemons that are passed over as out of reach
// though they have just refused or queued an offer, while an earlier one got no reply.
func TestOnlySilentDaemonsAreSlow(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{silent: true}, &testServer{refuse: flow.ReasonBusy}, &testServer{refuse: flow.ReasonBusy}, &testServer{refuse: flow.ReasonBusy})
	var mu sync.Mutex
	slow := map[string]bool{}
	f.Log = funcr.New(func(_, line string) {
		if _, rest, ok := strings.Cut(line, "daemon is slow to answer an offer"); ok {
			mu.Lock()
			defer mu.Unlock()
			_, rest, _ = strings.Cut(rest, `"server"="`)
			slow[rest[:2]] = true
		}
	}, funcr.Options{Verbosity: 1})
	for range 6 {
		status, _, _ := f.send(t, http.MethodPost, "/book/", nil)
		is.Equal(status, http.StatusServiceUnavailable)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(slow, map[string]bool{"s0": true})
}

func (f *fixture) runs() (sum int) {
	for _, server := range f.servers {
		server.mu.Lock()
		sum += server.runs
		server.mu.Unlock()
	}
	return sum
}

// TestOutcomes makes each step fail, on a route that is idempotent and on one that is
// not. A request that is not idempotent runs at most once, and the outcome not-run is
// reported only for a request that did not run.
func TestOutcomes(t *testing.T) {
	const (
		book = "/book/"
		read = "/read/"
	)
	full := func() *testServer { return &testServer{refuse: flow.ReasonBusy} }
	cases := map[string]struct {
		path    string
		servers []*testServer
		status  int
		runs    int // 0 if not checked
	}{
		"runs":                                     {book, []*testServer{{}}, 200, 1},
		"first servers have no slot":               {book, []*testServer{full(), full(), {}}, 200, 1},
		"no server has a slot":                     {book, []*testServer{full(), full()}, 503, 0},
		"server is leaving":                        {book, []*testServer{{refuse: flow.ReasonLeaving}}, 503, 0},
		"server sheds, another runs it":            {book, []*testServer{{fail: flow.ReasonServerShed}, {}}, 200, 0},
		"all servers shed":                         {book, []*testServer{{fail: flow.ReasonServerShed}, {fail: flow.ReasonServerShed}}, 503, 2},
		"server unreachable":                       {book, []*testServer{{fail: flow.ReasonUnreachable}}, 503, 1},
		"response lost":                            {book, []*testServer{{fail: flow.ReasonServerFailed}, {fail: flow.ReasonServerFailed}}, 502, 1},
		"response to another request":              {book, []*testServer{{fail: flow.ReasonAnswerForeign}, {fail: flow.ReasonAnswerForeign}}, 502, 1},
		"response truncated":                       {book, []*testServer{{truncate: true}, {truncate: true}}, 502, 1},
		"server error":                             {book, []*testServer{{status: 500}, {status: 500}}, 500, 1},
		"no response in time":                      {book, []*testServer{{hang: true}, {hang: true}}, 504, 1},
		"status out of range":                      {book, []*testServer{{status: 600}, {status: 600}}, 502, 1},
		"field name that is no token":              {book, []*testServer{{header: http.Header{"X Odd": {"1"}}}}, 502, 1},
		"idempotent: response lost twice":          {read, []*testServer{{fail: flow.ReasonServerFailed}, {fail: flow.ReasonServerFailed}, {fail: flow.ReasonServerFailed}}, 502, 2},
		"idempotent: failures use up the attempts": {read, []*testServer{{status: 500}, {status: 500}, {status: 500}}, 500, 2},
		"idempotent: no server for the retry":      {read, []*testServer{{status: 500}}, 500, 1},
		"idempotent: truncated responses":          {read, []*testServer{{truncate: true}, {truncate: true}, {truncate: true}}, 502, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, tc.servers...)
			status, _, header := f.send(t, http.MethodPost, tc.path, nil)
			is.Equal(status, tc.status)
			if tc.runs > 0 {
				is.Equal(f.runs(), tc.runs)
			}
			notRun := header.Get(flow.HeaderOutcome) == string(flow.OutcomeNotRun)
			is.Equal(notRun, tc.status == 503)
			is.Equal(header.Get("Retry-After") != "", tc.status == 503)
		})
	}
}

// TestShedRetryIsNotReportedAsNotRun loses the response to a first attempt, while the
// servers of the retry shed it. The caller must not be told that the request did not
// run.
func TestShedRetryIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{fail: flow.ReasonServerFailed}, &testServer{fail: flow.ReasonServerShed}, &testServer{fail: flow.ReasonServerShed})
	for range 20 {
		status, _, header := f.send(t, http.MethodGet, "/read/", nil)
		is.True(status != http.StatusServiceUnavailable || f.servers[0].runs == 0)
		if f.servers[0].runs > 0 {
			is.True(header.Get(flow.HeaderOutcome) != string(flow.OutcomeNotRun))
			return
		}
	}
}

func TestRefusalsAtIngress(t *testing.T) {
	cases := map[string]struct {
		path      string
		change    func(*http.Request)
		configure func(*fixture)
		status    int
	}{
		"no route":                           {"/nothing/", nil, nil, 404},
		"route of another host":              {"/read/", func(r *http.Request) { r.Host = "b.example" }, nil, 404},
		"no key":                             {"/read/", func(r *http.Request) { r.Header.Del(names.Key) }, nil, 401},
		"unknown key":                        {"/read/", func(r *http.Request) { r.Header.Set(names.Key, "x") }, nil, 401},
		"over the rate limit":                {"/read/", nil, func(f *fixture) { f.allowed = false }, 429},
		"configuration without recent proof": {"/read/", nil, func(f *fixture) { f.proofAge = time.Hour }, 503},
		"open route without a key":           {"/call/", func(r *http.Request) { r.Header.Del(names.Key) }, nil, 200},
		"host with a port":                   {"/read/", func(r *http.Request) { r.Host = "A.example:8080" }, nil, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &testServer{})
			if tc.configure != nil {
				tc.configure(f)
			}
			status, _, _ := f.send(t, http.MethodGet, tc.path, tc.change)
			is.Equal(status, tc.status)
			is.Equal(f.runs() == 1, tc.status == 200)
		})
	}
}

// TestForwardedRequest checks the forwarded headers and the offer: the key is removed,
// and a caller cannot forge the headers that the daemons set.
func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{})
	_, body, _ := f.send(t, http.MethodPost, "/book/7?x=%2F", func(r *http.Request) {
		r.Header.Set(names.Customer, "forged")
		r.Header.Set(names.CallerService, "forged")
		r.Header.Set("Connection", "Dropped")
		r.Header.Set("Dropped", "1")
		r.Header.Set("Kept", "1")
	})
	is.Equal(body, "body")
	offer := f.servers[0].offers[0]
	request := f.servers[0].requests[0]
	is.Equal(request.Target, "/book/7?x=%2F")
	is.Equal(offer.Customer, "shop")
	is.Equal(request.Caller, "ledger")
	is.Equal(offer.ID, "id")
	is.True(offer.TimeLeft <= 700*time.Millisecond) // the route's timeout is shorter than the caller's time left
	is.Equal(request.Header.Get("Kept"), "1")
	for _, name := range []string{names.Key, names.Customer, names.CallerService, "Dropped", "Connection"} {
		is.Equal(request.Header.Get(name), "")
	}
}

// TestRetryBudget has three retries in the budget. After that, the server's error is returned
// without a retry.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{status: 500}, &testServer{status: 500}, &testServer{status: 500})
	f.budget = 3
	for range 5 {
		status, _, _ := f.send(t, http.MethodGet, "/read/", nil)
		is.Equal(status, 500)
	}
	is.Equal(f.runs(), 8)
	is.Equal(f.counted, 5)
}

// TestCallersOfServiceThatShedsAreRefusedAtOnce has all servers turn requests away and the budget
// used up. Each request arrives at one server, and its caller is told when to repeat it: when
// the servers say, or after as long as the outage has lasted.
func TestCallersOfServiceThatShedsAreRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		said        time.Duration // by the servers
		least, most float64       // Retry-After of the second request in seconds
	}{
		"servers say when":     {3 * time.Second, 2.9, 3},
		"servers say nothing":  {0, 0.4, 0.7},
		"servers say too soon": {50 * time.Millisecond, 0.2, 0.7},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shedding := func() *testServer { return &testServer{fail: flow.ReasonServerShed, drain: tc.said} }
			f := newFixture(t, shedding(), shedding(), shedding())
			f.budget = 0
			began := time.Now()
			f.send(t, http.MethodGet, "/read/", nil)
			time.Sleep(400 * time.Millisecond)
			status, _, header := f.send(t, http.MethodGet, "/read/", nil)
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
			is.Equal(f.runs(), 2)
			is.True(time.Since(began) < time.Second)
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after >= tc.least && after <= tc.most)
		})
	}
}

// TestRetryWithoutServerSpendsNoBudget has requests fail while no other server accepts
// them, as in an overload. The retries that were not made stay in the budget.
func TestRetryWithoutServerSpendsNoBudget(t *testing.T) {
	is := is.New(t)
	failing, full := &testServer{status: http.StatusInternalServerError}, &testServer{refuse: flow.ReasonBusy, status: http.StatusInternalServerError}
	f := newFixture(t, failing, full)
	f.budget = 1
	for range 3 {
		f.send(t, http.MethodGet, "/read/", nil)
	}
	is.Equal(f.runs(), 3)
	full.mu.Lock()
	full.refuse = ""
	full.mu.Unlock()
	f.send(t, http.MethodGet, "/read/", nil)
	is.Equal(f.runs(), 5)
}

// TestCallsOfRetriedRequestsCountAsRetries has the host's own server run retried requests. They
// repeat their calls too, which draw on the retry budget like any further send. Calls add
// nothing to the budget.
func TestCallsOfRetriedRequestsCountAsRetries(t *testing.T) {
	cases := map[string]struct {
		path                          string
		charge                        retrier.Charge
		runs                          int // of two failing requests and their retries
		counted, later, refused, left int
	}{
		"calls of first attempts":     {"/call/", retrier.ChargeNone, 4, 0, 0, 0, 1},
		"calls of second attempts":    {"/call/", retrier.ChargeRetry, 3, 0, 0, 0, 0},
		"calls after one was refused": {"/call/", retrier.ChargeLater, 4, 0, 2, 0, 1},
		"requests of callers":         {"/read/", retrier.ChargeRetry, 4, 2, 0, 0, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &testServer{status: 500}, &testServer{status: 500})
			f.budget, f.charge = 3, tc.charge
			for range 2 {
				f.send(t, http.MethodGet, tc.path, func(r *http.Request) {
					if tc.path == "/call/" {
						r.Header.Del(names.Key)
					}
				})
			}
			is.Equal(f.runs(), tc.runs)
			is.Equal([]int{f.counted, f.later, f.refused, f.budget}, []int{tc.counted, tc.later, tc.refused, tc.left})
		})
	}
}

// TestCallOfRetryIsRefusedWithoutBudget has a retry make a call when the budget of the called
// service is used up. The call arrives at no server.
func TestCallOfRetryIsRefusedWithoutBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{})
	f.budget, f.charge = 0, retrier.ChargeRetry
	status, _, header := f.send(t, http.MethodGet, "/call/", func(r *http.Request) { r.Header.Del(names.Key) })
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
	is.Equal(f.runs(), 0)
	is.Equal(f.refused, 1)
}

// TestCallFailedOnlyForServersOwnCalls reports a failed call of the host's backend
// server to the executor, and not a failed request of a caller.
func TestCallFailedOnlyForServersOwnCalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{status: 500})
	f.send(t, http.MethodGet, "/read/", nil)
	is.Equal(f.callFailed, 0)
	f.send(t, http.MethodGet, "/call/", func(r *http.Request) { r.Header.Del(names.Key) })
	is.Equal(f.callFailed, 1)
}

// TestCallerDisconnects cancels an idempotent request when its caller disconnects. A
// request that is not idempotent runs to its end.
func TestCallerDisconnects(t *testing.T) {
	for path, wantRuns := range map[string]bool{"/read/": false, "/book/": true} {
		t.Run(path, func(t *testing.T) {
			server := &testServer{delay: 200 * time.Millisecond}
			f := newFixture(t, server)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(60*time.Millisecond, cancel)
			target, _ := url.Parse(path)
			request := &http.Request{Method: http.MethodPost, URL: target, Host: "a.example", Header: http.Header{names.RequestID: {"id"}, names.Key: {"k"}}}
			start := time.Now()
			response := f.Handle(ctx, request, nil)
			finished := time.Since(start) > 150*time.Millisecond
			is.New(t).Equal(finished, wantRuns)
			is.New(t).Equal(response != nil && response.StatusCode == 200, wantRuns)
		})
	}
}

// TestStopRefusesWaitingRequests stops one dispatcher while a request runs, which gets
// its response, and another while a request waits for a slot, which is refused as not
// run.
func TestStopRefusesWaitingRequests(t *testing.T) {
	is := is.New(t)
	running := newFixture(t, &testServer{delay: 150 * time.Millisecond})
	time.AfterFunc(50*time.Millisecond, running.Stop)
	status, _, _ := running.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusOK)

	waiting := newFixture(t, &testServer{wait: true})
	time.AfterFunc(50*time.Millisecond, waiting.Stop)
	start := time.Now()
	status, _, header := waiting.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
	is.True(time.Since(start) < 400*time.Millisecond)
	is.Equal(waiting.runs(), 0)
}

// TestSuspectedServersDoNotHideOthers has more ejected servers than one plan has
// offers. The healthy server must still be found.
func TestSuspectedServersDoNotHideOthers(t *testing.T) {
	var testServers []*testServer
	for range 14 {
		testServers = append(testServers, &testServer{refuse: flow.ReasonEjected, gray: 0.9})
	}
	f := newFixture(t, append(testServers, &testServer{})...)
	for range 5 {
		status, _, _ := f.send(t, http.MethodPost, "/book/", nil)
		is.New(t).Equal(status, 200)
	}
}

// TestAbortRespondsToRunningRequests aborts while a request hangs at its server. The
// response says that the request may have run, so that the responses behind it on the
// connection can be sent.
func TestAbortRespondsToRunningRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{hang: true})
	time.AfterFunc(50*time.Millisecond, f.Abort)
	start := time.Now()
	status, _, header := f.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeUnknown))
	is.True(time.Since(start) < 400*time.Millisecond)
}

// TestPanicEndsOneRequestOnly checks that an unexpected error in the handling of one
// request is answered, without a claim that the request did not run, and has no effect on
// the next one.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &testServer{})
	f.panics.Store(true)
	status, _, header := f.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeUnknown))
	status, _, _ = f.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, http.StatusOK)
}

// TestScreenedRequest checks requests before their bodies are read, and again afterwards: a
// key may be withdrawn while a body arrives. A token is taken once.
func TestScreenedRequest(t *testing.T) {
	cases := map[string]struct {
		key      string
		withdraw bool // while the body is read
		screened int  // status of the refusal, 0 for none
		handled  int
	}{
		"known key":     {"k", false, 0, http.StatusOK},
		"unknown key":   {"x", false, http.StatusUnauthorized, 0},
		"withdrawn key": {"k", true, 0, http.StatusUnauthorized},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &testServer{})
			request := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/book/"}, Host: "a.example", Header: http.Header{
				names.RequestID: {"id"}, names.Key: {tc.key}, names.TimeLeft: {"5000"},
			}}
			screening := f.Screen(t.Context(), request)
			if tc.screened != 0 {
				is.Equal(screening.Refusal.StatusCode, tc.screened)
				return
			}
			is.Equal(screening.Refusal, nil)
			is.Equal(screening.TimeLeft, 700*time.Millisecond)
			if tc.withdraw {
				catalog := *f.catalog.Load()
				f.catalog.Store(cataloger.Build(6, &flow.Configuration{
					Version: 4, Routes: []flow.RouteRule{*catalog.Route("a.example", "/book/")},
					Customers: []flow.CustomerRule{{Name: "shop", Keys: []string{"other"}, Priority: -1, PerSecond: 5}},
				}, catalog.Servers("stock"), nil))
			}
			response := screening.Handle(t.Context(), flow.Body{[]byte("body")}, 0)
			is.Equal(response.StatusCode, tc.handled)
			is.Equal(f.runs() > 0, tc.handled == http.StatusOK)
		})
	}
}

// TestOverdueRequestIsSentElsewhere has the first run of each request hang. An idempotent request
// is sent to another server when the run is overdue, and the hung run is cancelled. A request that
// may run once only and one without a retry left in the budget are not sent twice.
func TestOverdueRequestIsSentElsewhere(t *testing.T) {
	cases := map[string]struct {
		method, path string
		budget       int
		allHang      bool
		status, runs int
		left         int // of the budget
	}{
		"idempotent":               {http.MethodGet, "/read/", 5, false, http.StatusOK, 2, 4},
		"may run once only":        {http.MethodPost, "/book/", 5, false, http.StatusGatewayTimeout, 1, 5},
		"no retry left":            {http.MethodGet, "/read/", 0, false, http.StatusGatewayTimeout, 1, 0},
		"the other run hangs, too": {http.MethodGet, "/read/", 5, true, http.StatusGatewayTimeout, 2, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var hangOnce atomic.Bool
			hangOnce.Store(true)
			server := func() *testServer {
				return &testServer{limit: 60 * time.Millisecond, hangOnce: &hangOnce, hang: tc.allHang}
			}
			f := newFixture(t, server(), server(), server())
			f.budget = tc.budget
			status, _, _ := f.send(t, tc.method, tc.path, nil)
			is.Equal(status, tc.status)
			is.Equal(f.runs(), tc.runs)
			is.Equal(f.budget, tc.left)
			if status == http.StatusOK { // the first run hangs until it is cancelled
				for range 100 { // the hung run is cancelled while the response is on its way
					if f.servers[0].cut.Load()+f.servers[1].cut.Load()+f.servers[2].cut.Load() > 0 {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Error("the hung run was not cancelled")
			}
		})
	}
}

// TestSlowServiceGetsNoSecondSends has every run of a service take longer than its limit. After
// the first few requests none is sent twice.
func TestSlowServiceGetsNoSecondSends(t *testing.T) {
	is := is.New(t)
	slow := func() *testServer { return &testServer{limit: 10 * time.Millisecond, delay: 40 * time.Millisecond} }
	f := newFixture(t, slow(), slow(), slow())
	f.budget = 100
	const requests = 30
	for range requests {
		status, _, _ := f.send(t, http.MethodGet, "/read/", nil)
		is.Equal(status, http.StatusOK)
	}
	t.Logf("%d runs of %d requests", f.runs(), requests)
	is.True(f.runs() <= requests+10)
}
