package executor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/executor"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

var headerNames = flow.HeaderNames{
	RequestID: "Request-Id", TimeLeft: "Time-Left", Key: "Key", Customer: "Customer", CallerService: "Caller",
	ExpectedServer: "Expected", ServerID: "Server-Id", NotRun: "Not-Run", Seal: "Seal",
}

// backendServer is a backend server that writes raw responses. It gives a good
// response to any path without one of its own.
type backendServer struct {
	address   string
	responses map[string]string // by path; %s stands for the request's id
	requests  atomic.Int64
	received  chan *http.Request
}

const goodResponse = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood"

func startBackendServer(t *testing.T, responses map[string]string) *backendServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	b := &backendServer{address: socket.Addr().String(), responses: responses, received: make(chan *http.Request, 100)}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backendServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		b.requests.Add(1)
		b.received <- request
		response, ok := b.responses[request.URL.Path]
		if !ok {
			response = goodResponse
		}
		if response == "silence" {
			_, _ = reader.ReadByte()
			return
		}
		cut := strings.HasSuffix(response, "CUT")
		fmt.Fprint(conn, strings.ReplaceAll(strings.TrimSuffix(response, "CUT"), "%s", request.Header.Get(headerNames.RequestID)))
		if cut {
			return
		}
	}
}

// discardObserver is an observer that discards everything.
type discardObserver struct{}

// Admitted discards the observation.
func (discardObserver) Admitted(string, flow.Reason, time.Duration) {}

// fixture is an executor and the catalog that lists its backend server.
type fixture struct {
	*executor.Executor
	catalog atomic.Pointer[cataloger.Catalog]
}

func newFixture(t *testing.T, address string, slots int) *fixture {
	t.Helper()
	f := &fixture{}
	f.setEntry(address, slots, func(*flow.ServerEntry) {})
	f.Executor = executor.New(executor.Parts{
		Host: "host", Address: address, Names: headerNames, Clock: flow.NewMonotonicClock(),
		Catalog: f.catalog.Load, Observer: discardObserver{}, Log: logr.Discard(),
	})
	f.ApplyCatalog(f.catalog.Load())
	return f
}

func (f *fixture) setEntry(address string, slots int, change func(*flow.ServerEntry)) {
	entry := &flow.ServerEntry{ID: "server", Service: "stock", Address: address, Host: "127.0.0.1", Zone: "a", Slots: slots, StartedUnixMs: 1}
	change(entry)
	f.catalog.Store(cataloger.Build(1, &flow.Configuration{Version: 1, Services: []flow.ServiceRule{{Name: "stock", ColdPerSecond: 5, ColdStart: time.Second}}},
		[]*flow.ServerEntry{entry}, nil))
}

func newOffer() *transporter.Offer {
	return &transporter.Offer{
		ID: "id-1", Server: "server", Route: "read", Customer: "tenant",
		TimeToTarget: time.Second, TimeLeft: 2 * time.Second,
	}
}

// run offers a request for a path and runs it. It returns the status and body
// of the response, or the refusal.
func (f *fixture) run(ctx context.Context, offer *transporter.Offer, path string) (string, *flow.Refusal) {
	return f.runRequest(ctx, offer, &transporter.Request{
		Method: http.MethodGet, Target: path, Host: "a.example", Header: http.Header{headerNames.RequestID: {offer.ID}}, Caller: "shop",
	})
}

func (f *fixture) runRequest(ctx context.Context, offer *transporter.Offer, request *transporter.Request) (string, *flow.Refusal) {
	slot, err := f.Admit(ctx, offer, func() {})
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return "", refusal
	}
	response, err := slot.Run(ctx, request)
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return "", refusal
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return "", &flow.Refusal{Reason: flow.ReasonAnswerShort, Detail: err.Error()}
	}
	return fmt.Sprint(response.Status, " ", string(body)), nil
}

// TestResponsesOfTheBackendServer checks the result of each kind of response,
// that the request is sent once, and that its slot is free afterwards.
func TestResponsesOfTheBackendServer(t *testing.T) {
	const (
		notRun     = true
		mayHaveRun = false
	)
	cases := map[string]struct {
		response string
		want     string
		reason   flow.Reason
		notRun   bool
	}{
		"good response":                        {goodResponse, "200 good", "", mayHaveRun},
		"status 500":                           {"HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad", "500 bad", "", mayHaveRun},
		"load shedding":                        {"HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonServerShed, notRun},
		"load shedding without the id":         {"HTTP/1.1 429 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonServerShed, notRun},
		"503 without the not-run header":       {"HTTP/1.1 503 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "503 ", "", mayHaveRun},
		"421 of another server at the address": {"HTTP/1.1 421 No\r\nServer-Id: other\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonLeaving, notRun},
		"response to another request":          {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, mayHaveRun},
		"response without an id":               {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, mayHaveRun},
		"success without the seal":             {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, mayHaveRun},
		"encoded body":                         {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, mayHaveRun},
		"cut body":                             {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalfCUT", "", flow.ReasonAnswerShort, mayHaveRun},
		"cut chunked body":                     {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nCUT", "", flow.ReasonAnswerShort, mayHaveRun},
		"body that ends with the connection":   {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n\r\nwholeCUT", "200 whole", "", mayHaveRun},
		"not HTTP":                             {"nonsense\r\n\r\nCUT", "", flow.ReasonServerFailed, mayHaveRun},
		"connection closed without a response": {"CUT", "", flow.ReasonServerFailed, mayHaveRun},
		"no response before the deadline":      {"silence", "", flow.ReasonTimeout, mayHaveRun},
		"load shedding with another id":        {"HTTP/1.1 503 Full\r\nRequest-Id: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonAnswerForeign, mayHaveRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackendServer(t, map[string]string{"/": tc.response})
			f := newFixture(t, b.address, 2)
			offer := newOffer()
			offer.TimeLeft = 400 * time.Millisecond
			got, refusal := f.run(context.Background(), offer, "/")
			is.Equal(got, tc.want)
			is.Equal(refusal == nil, tc.reason == "")
			if refusal != nil {
				is.Equal(refusal.Reason, tc.reason)
				is.Equal(refusal.NotRun(), tc.notRun)
			}
			is.Equal(b.requests.Load(), int64(1)) // it was sent once
			is.Equal(f.Status().Running, 0)       // the slot is free
		})
	}
}

// TestSurplusResponseIsNotUsed has the server send two responses to one
// request: the second must not become the response to the next request.
func TestSurplusResponseIsNotUsed(t *testing.T) {
	is := is.New(t)
	surplus := goodResponse + "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil"
	b := startBackendServer(t, map[string]string{"/twice": surplus})
	f := newFixture(t, b.address, 2)
	for i := range 20 {
		first := newOffer()
		first.ID = fmt.Sprint("first-", i)
		got, refusal := f.run(context.Background(), first, "/twice")
		is.Equal(refusal, nil)
		is.Equal(got, "200 good")
		second := newOffer()
		second.ID = fmt.Sprint("second-", i)
		got, _ = f.run(context.Background(), second, "/once")
		is.True(got == "200 good" || got == "")
		// A new executor starts without evidence of failures.
		f = newFixture(t, b.address, 2)
	}
}

// TestForwardedRequest checks what the backend server receives: the target and
// host unchanged, and coltsfootflow's headers instead of forged ones.
func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	b := startBackendServer(t, nil)
	f := newFixture(t, b.address, 2)
	_, refusal := f.runRequest(context.Background(), newOffer(), &transporter.Request{
		Method: http.MethodGet, Target: "/stock/7?size=9%2F5", Host: "a.example", Caller: "shop", Header: http.Header{
			headerNames.RequestID: {"id-1"}, headerNames.Customer: {"forged"}, headerNames.CallerService: {"forged"},
		},
	})
	is.Equal(refusal, nil)
	request := <-b.received
	is.Equal(request.RequestURI, "/stock/7?size=9%2F5")
	is.Equal(request.Host, "a.example")
	is.Equal(request.Header.Get(headerNames.Customer), "tenant")
	is.Equal(request.Header.Get(headerNames.CallerService), "shop")
	is.Equal(request.Header.Get(headerNames.ExpectedServer), "server")
	is.Equal(request.Header[headerNames.RequestID], []string{"id-1"})
	is.True(request.Header.Get(headerNames.TimeLeft) <= "2000")
}

// TestOffersAreRefused checks the reasons for which an offer is refused without
// the backend server getting the request.
func TestOffersAreRefused(t *testing.T) {
	cases := map[string]struct {
		prepare func(f *fixture, address string)
		offer   func(o *transporter.Offer)
		want    flow.Reason
	}{
		"server that is not listed": {nil, func(o *transporter.Offer) { o.Server = "gone" }, flow.ReasonLeaving},
		"draining server":           {func(f *fixture, a string) { f.setEntry(a, 1, func(e *flow.ServerEntry) { e.Draining = true }) }, nil, flow.ReasonLeaving},
		"address without a server":  {func(f *fixture, _ string) { f.setEntry("127.0.0.1:1", 1, func(*flow.ServerEntry) {}) }, nil, flow.ReasonLeaving},
		"stopping daemon":           {func(f *fixture, _ string) { f.Stop() }, nil, flow.ReasonStopping},
		"no time left":              {nil, func(o *transporter.Offer) { o.TimeLeft = 0 }, flow.ReasonNoCapacity},
		"no free slot": {func(f *fixture, _ string) {
			_, _ = f.Admit(context.Background(), newOffer(), func() {})
		}, nil, flow.ReasonBusy},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackendServer(t, nil)
			f := newFixture(t, b.address, 1)
			if tc.prepare != nil {
				tc.prepare(f, b.address)
			}
			offer := newOffer()
			if tc.offer != nil {
				tc.offer(offer)
			}
			_, refusal := f.run(context.Background(), offer, "/")
			is.Equal(refusal.Reason, tc.want)
			is.True(refusal.NotRun())
			is.Equal(b.requests.Load(), int64(0))
		})
	}
}

// TestDrainingServerRefusesWaitingOffers checks that waiting offers are refused
// as soon as the catalog lists their server as draining.
func TestDrainingServerRefusesWaitingOffers(t *testing.T) {
	is := is.New(t)
	b := startBackendServer(t, nil)
	f := newFixture(t, b.address, 1)
	_, err := f.Admit(context.Background(), newOffer(), func() {})
	is.NoErr(err)
	waiting, refused := make(chan struct{}), make(chan error, 1)
	go func() {
		offer := newOffer()
		offer.MayWait, offer.TimeToTarget, offer.TimeLeft = true, time.Minute, time.Minute
		_, err := f.Admit(context.Background(), offer, func() { close(waiting) })
		refused <- err
	}()
	<-waiting
	f.setEntry(b.address, 1, func(e *flow.ServerEntry) { e.Draining = true })
	f.ApplyCatalog(f.catalog.Load())
	refusal, ok := flow.AsRefusal(<-refused)
	is.True(ok)
	is.True(refusal.NotRun())
}

// TestStopRefusesWaitingOffers stops the executor while an offer waits for a slot. It
// must be refused, so that its ingress tries another server: a request that got a slot
// late in the stop would be cut when the daemon ends.
func TestStopRefusesWaitingOffers(t *testing.T) {
	for name, forced := range map[string]bool{"offer": false, "forced offer": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackendServer(t, nil)
			f := newFixture(t, b.address, 1)
			running, err := f.Admit(t.Context(), newOffer(), func() {})
			is.NoErr(err)
			waiting, decided := make(chan struct{}), make(chan error, 1)
			go func() {
				offer := newOffer()
				offer.MayWait, offer.Forced, offer.TimeToTarget, offer.TimeLeft = true, forced, time.Minute, time.Minute
				_, err := f.Admit(context.Background(), offer, func() { close(waiting) })
				decided <- err
			}()
			<-waiting
			f.Stop()
			running.Release() // its slot must not go to the waiting offer
			refusal, ok := flow.AsRefusal(<-decided)
			is.True(ok)
			is.Equal(refusal.Reason, flow.ReasonStopping)
			is.True(refusal.NotRun())
		})
	}
}

// TestSuspectedServerRefusesWaitingOffers has a request fail while another
// offer is waiting. That offer must be refused, so that its ingress tries
// another server; otherwise all waiting requests would fail one after the
// other.
func TestSuspectedServerRefusesWaitingOffers(t *testing.T) {
	cases := map[string]struct {
		forced bool
		want   flow.Reason
	}{
		"waiting offer is refused":   {false, flow.ReasonEjected},
		"forced offer keeps waiting": {true, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackendServer(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
			f := newFixture(t, b.address, 1)
			slot, err := f.Admit(context.Background(), newOffer(), func() {})
			is.NoErr(err)
			waiting, ended := make(chan struct{}), make(chan error, 1)
			go func() {
				offer := newOffer()
				offer.MayWait, offer.Forced, offer.TimeToTarget, offer.TimeLeft = true, tc.forced, time.Minute, time.Minute
				_, err := f.Admit(context.Background(), offer, func() { close(waiting) })
				ended <- err
			}()
			<-waiting
			_, _ = slot.Run(context.Background(), &transporter.Request{
				Method: http.MethodGet, Target: "/bad", Host: "a.example", Header: http.Header{headerNames.RequestID: {newOffer().ID}}, Caller: "shop",
			})
			err = <-ended
			refusal, refused := flow.AsRefusal(err)
			is.Equal(refused, tc.want != "")
			is.True(!refused || refusal.Reason == tc.want && refusal.NotRun())
		})
	}
}

// TestSuspectedServerRecoversByTrials has a server fail a request. The next
// request that may run only once is refused before the server gets it, trials
// are admitted at intervals, and good responses to them clear the suspicion.
func TestSuspectedServerRecoversByTrials(t *testing.T) {
	is := is.New(t)
	b := startBackendServer(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
	f := newFixture(t, b.address, 2)
	got, _ := f.run(context.Background(), newOffer(), "/bad")
	is.Equal(got, "500 ")
	once := newOffer()
	_, refusal := f.run(context.Background(), once, "/")
	is.Equal(refusal.Reason, flow.ReasonEjected)
	is.Equal(b.requests.Load(), int64(1))
	trial := newOffer()
	trial.Trial = true
	trials := 0
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if _, refusal := f.run(context.Background(), once, "/"); refusal == nil {
			break
		}
		if _, refusal := f.run(context.Background(), trial, "/"); refusal == nil {
			trials++
		}
		is.True(time.Since(began) < 5*time.Second)
	}
	is.True(trials >= 1)
	is.True(trials <= 4)
}

// TestFailureAfterFailedCallIsNotEvidence checks that a failure does not count
// against a server that made a failed call just before.
func TestFailureAfterFailedCallIsNotEvidence(t *testing.T) {
	is := is.New(t)
	b := startBackendServer(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
	f := newFixture(t, b.address, 2)
	f.CallFailed()
	_, _ = f.run(context.Background(), newOffer(), "/bad")
	_, refusal := f.run(context.Background(), newOffer(), "/")
	is.Equal(refusal, nil)
}

// TestHangingServerRefusesWaitingOffers has an offer wait at a server that ends
// no request: it is refused before its deadline, once it can no longer be
// answered in time.
func TestHangingServerRefusesWaitingOffers(t *testing.T) {
	is := is.New(t)
	b := startBackendServer(t, nil)
	f := newFixture(t, b.address, 1)
	_, err := f.Admit(context.Background(), newOffer(), func() {})
	is.NoErr(err)
	offer := newOffer()
	offer.MayWait, offer.TimeToTarget, offer.TimeLeft = true, 900*time.Millisecond, time.Second
	began := time.Now()
	_, refusal := f.run(context.Background(), offer, "/")
	is.Equal(refusal.Reason, flow.ReasonNoCapacity)
	is.True(time.Since(began) < time.Second)
}

// TestEvidenceAgainstServer checks which results of one request raise the
// probability that the server is gray: broken connections count like error
// responses; results that say nothing about the server do not count.
func TestEvidenceAgainstServer(t *testing.T) {
	const failure = "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		response string
		left     time.Duration // until the deadline
		leaves   bool          // the caller disconnects before the response
		ended    bool          // nothing listens at the address
		counts   bool
	}{
		"good response":                        {response: goodResponse, left: time.Second},
		"status 500":                           {response: failure, left: time.Second, counts: true},
		"connection closed without a response": {response: "CUT", left: time.Second, counts: true},
		"not HTTP":                             {response: "nonsense\r\n\r\nCUT", left: time.Second, counts: true},
		"cut body":                             {response: "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalfCUT", left: time.Second, counts: true},
		"connection refused":                   {ended: true, left: time.Second, counts: true},
		"no response before a long deadline":   {response: "silence", left: 1500 * time.Millisecond, counts: true},
		"no response before a short deadline":  {response: "silence", left: 200 * time.Millisecond},
		"504 response before a short deadline": {response: "HTTP/1.1 504 Late\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", left: 200 * time.Millisecond},
		"load shedding":                        {response: "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", left: time.Second},
		"caller disconnects first":             {response: "silence", left: time.Second, leaves: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := startBackendServer(t, map[string]string{"/": tc.response})
			if tc.ended {
				b.address = "127.0.0.1:1"
			}
			f := newFixture(t, b.address, 2)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if tc.leaves {
				time.AfterFunc(50*time.Millisecond, leave)
			}
			offer := newOffer()
			offer.TimeLeft = tc.left
			before := f.Status().GrayProbability
			_, _ = f.run(ctx, offer, "/")
			is.Equal(f.Status().GrayProbability > before, tc.counts)
		})
	}
}

// TestSuspectedServerGetsRepeatableWork offers requests to a suspected server,
// as daemons do that do not know of the suspicion. Repeatable requests must get
// through often enough that the server is not without work for 2 s; others must
// not get through.
func TestSuspectedServerGetsRepeatableWork(t *testing.T) {
	is := is.New(t)
	b := startBackendServer(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
	f := newFixture(t, b.address, 2)
	_, _ = f.run(context.Background(), newOffer(), "/bad")
	once, repeatable := newOffer(), newOffer()
	repeatable.Repeatable = true
	began, latest, longest, admitted := time.Now(), time.Now(), time.Duration(0), 0
	for ; time.Since(began) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
		if _, refusal := f.run(context.Background(), once, "/bad"); refusal == nil {
			t.Fatal("a request that may run only once was admitted")
		}
		if _, refusal := f.run(context.Background(), repeatable, "/bad"); refusal == nil {
			longest, latest, admitted = max(longest, time.Since(latest)), time.Now(), admitted+1
		}
	}
	longest = max(longest, time.Since(latest))
	is.True(longest < 2*time.Second)
	is.True(admitted <= 4)
}
