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

	"github.com/coltsfootflow/coltsfootflow/internal/connection/courier"
	"github.com/coltsfootflow/coltsfootflow/internal/request/executor"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

var names = flow.HeaderNames{
	RequestID: "Request-Id", TimeLeft: "Time-Left", Key: "Key", Customer: "Customer", CallerService: "Caller",
	ExpectedServer: "Expected", ServerID: "Server-Id", NotRun: "Not-Run", Seal: "Seal",
}

// backend is a server that writes raw answers. A request whose path is /good is
// answered well.
type backend struct {
	address  string
	answers  map[string]string // by path; %s stands for the request's id
	requests atomic.Int64
	seen     chan *http.Request
}

const good = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood"

func startBackend(t *testing.T, answers map[string]string) *backend {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = accepting.Close() })
	b := &backend{address: accepting.Addr().String(), answers: answers, seen: make(chan *http.Request, 100)}
	go func() {
		for {
			conn, err := accepting.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		b.requests.Add(1)
		b.seen <- request
		answer, ok := b.answers[request.URL.Path]
		if !ok {
			answer = good
		}
		if answer == "silence" {
			_, _ = reader.ReadByte()
			return
		}
		cut := strings.HasSuffix(answer, "CUT")
		fmt.Fprint(conn, strings.ReplaceAll(strings.TrimSuffix(answer, "CUT"), "%s", request.Header.Get(names.RequestID)))
		if cut {
			return
		}
	}
}

type observer struct{}

func (observer) Admitted(string, flow.Reason, time.Duration) {}

// world is an executor beside a backend server with the given slots.
type world struct {
	*executor.Executor
	catalog atomic.Pointer[cataloger.Catalog]
}

func newWorld(t *testing.T, address string, slots int) *world {
	t.Helper()
	w := &world{}
	w.set(address, slots, func(*flow.ServerEntry) {})
	w.Executor = executor.New(executor.Parts{
		Host: "host", Address: address, Names: names, Clock: flow.NewMonotonicClock(),
		Catalog: w.catalog.Load, Observer: observer{}, Log: logr.Discard(),
	})
	w.Refresh(w.catalog.Load())
	return w
}

func (w *world) set(address string, slots int, change func(*flow.ServerEntry)) {
	entry := &flow.ServerEntry{ID: "server", Service: "stock", Address: address, Host: "127.0.0.1", Zone: "a", Slots: slots, StartedUnixMs: 1}
	change(entry)
	w.catalog.Store(cataloger.Build(1, &flow.Configuration{Version: 1, Services: []flow.ServiceRule{{Name: "stock", ColdPerSecond: 5, ColdStart: time.Second}}},
		[]*flow.ServerEntry{entry}, nil))
}

func offer() *courier.Offer {
	return &courier.Offer{
		ID: "id-1", Server: "server", Route: "read", Customer: "tenant",
		ToTarget: time.Second, Left: 2 * time.Second,
	}
}

// run takes an offer of a request for a path through, and returns the answer's
// body or the refusal.
func (w *world) run(ctx context.Context, offered *courier.Offer, path string) (string, *flow.Refusal) {
	return w.runRequest(ctx, offered, &courier.Request{
		Method: http.MethodGet, Target: path, Host: "a.example", Header: http.Header{names.RequestID: {offered.ID}}, Caller: "shop",
	})
}

func (w *world) runRequest(ctx context.Context, offered *courier.Offer, request *courier.Request) (string, *flow.Refusal) {
	slot, err := w.Admit(ctx, offered, func() {})
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return "", refusal
	}
	answer, err := slot.Run(ctx, request)
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return "", refusal
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		return "", &flow.Refusal{Reason: flow.ReasonAnswerShort}
	}
	return fmt.Sprint(answer.Status, " ", string(body)), nil
}

func TestAnswersOfTheBackendServer(t *testing.T) {
	const (
		certain = true
		unknown = false
	)
	cases := map[string]struct {
		answer string
		want   string
		reason flow.Reason
		notRun bool
	}{
		"a good answer":                        {good, "200 good", "", unknown},
		"its own failure":                      {"HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad", "500 bad", "", unknown},
		"it sheds":                             {"HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonServerShed, certain},
		"it sheds before it reads the id":      {"HTTP/1.1 429 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonServerShed, certain},
		"a 503 that promises nothing":          {"HTTP/1.1 503 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "503 ", "", unknown},
		"another server has the address":       {"HTTP/1.1 421 No\r\nServer-Id: other\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonLeaving, certain},
		"the answer to another request":        {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, unknown},
		"an answer without an id":              {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, unknown},
		"a success without the server's mark":  {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, unknown},
		"an encoded body":                      {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nevil", "", flow.ReasonAnswerForeign, unknown},
		"a body cut short":                     {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalfCUT", "", flow.ReasonAnswerShort, unknown},
		"a chunked body cut short":             {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nCUT", "", flow.ReasonAnswerShort, unknown},
		"a body that ends with the connection": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n\r\nwholeCUT", "200 whole", "", unknown},
		"bytes that are no answer":             {"nonsense\r\n\r\nCUT", "", flow.ReasonServerFailed, unknown},
		"no answer at all":                     {"CUT", "", flow.ReasonServerFailed, unknown},
		"silence":                              {"silence", "", flow.ReasonTimeout, unknown},
		"a refusal of somebody else's":         {"HTTP/1.1 503 Full\r\nRequest-Id: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "", flow.ReasonAnswerForeign, unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, map[string]string{"/": tc.answer})
			w := newWorld(t, b.address, 2)
			offered := offer()
			offered.Left = 400 * time.Millisecond
			got, refusal := w.run(context.Background(), offered, "/")
			is.Equal(got, tc.want)
			is.Equal(refusal == nil, tc.reason == "")
			if refusal != nil {
				is.Equal(refusal.Reason, tc.reason)
				is.Equal(refusal.NotRun(), tc.notRun)
			}
			is.Equal(b.requests.Load(), int64(1)) // it was sent once
			is.Equal(w.Figures().Running, 0)      // and the slot is free
		})
	}
}

// TestSurplusAnswers has the server send a second answer behind the first: it
// never becomes the answer of the next request.
func TestSurplusAnswers(t *testing.T) {
	is := is.New(t)
	surplus := good + "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil"
	b := startBackend(t, map[string]string{"/twice": surplus})
	w := newWorld(t, b.address, 2)
	for i := range 20 {
		first := offer()
		first.ID = fmt.Sprint("first-", i)
		got, refusal := w.run(context.Background(), first, "/twice")
		is.Equal(refusal, nil)
		is.Equal(got, "200 good")
		second := offer()
		second.ID = fmt.Sprint("second-", i)
		got, _ = w.run(context.Background(), second, "/once")
		is.True(got == "200 good" || got == "")
		// Failures are evidence against the server; it is judged anew.
		w = newWorld(t, b.address, 2)
	}
}

func TestWhatTheServerIsTold(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, nil)
	w := newWorld(t, b.address, 2)
	_, refusal := w.runRequest(context.Background(), offer(), &courier.Request{
		Method: http.MethodGet, Target: "/stock/7?size=9%2F5", Host: "a.example", Caller: "shop", Header: http.Header{
			names.RequestID: {"id-1"}, names.Customer: {"forged"}, names.CallerService: {"forged"},
		},
	})
	is.Equal(refusal, nil)
	request := <-b.seen
	is.Equal(request.RequestURI, "/stock/7?size=9%2F5")
	is.Equal(request.Host, "a.example")
	is.Equal(request.Header.Get(names.Customer), "tenant")
	is.Equal(request.Header.Get(names.CallerService), "shop")
	is.Equal(request.Header.Get(names.ExpectedServer), "server")
	is.Equal(request.Header[names.RequestID], []string{"id-1"})
	is.True(request.Header.Get(names.TimeLeft) <= "2000")
}

func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		prepare func(w *world, address string)
		offer   func(o *courier.Offer)
		want    flow.Reason
	}{
		"another server":              {nil, func(o *courier.Offer) { o.Server = "gone" }, flow.ReasonLeaving},
		"a server that leaves":        {func(w *world, a string) { w.set(a, 1, func(e *flow.ServerEntry) { e.Draining = true }) }, nil, flow.ReasonLeaving},
		"an address without a server": {func(w *world, _ string) { w.set("127.0.0.1:1", 1, func(*flow.ServerEntry) {}) }, nil, flow.ReasonLeaving},
		"a daemon that stops":         {func(w *world, _ string) { w.Stop() }, nil, flow.ReasonStopping},
		"no time is left":             {nil, func(o *courier.Offer) { o.Left = 0 }, flow.ReasonNoCapacity},
		"no slot is free": {func(w *world, _ string) {
			_, _ = w.Admit(context.Background(), offer(), func() {})
		}, nil, flow.ReasonBusy},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, nil)
			w := newWorld(t, b.address, 1)
			if tc.prepare != nil {
				tc.prepare(w, b.address)
			}
			offered := offer()
			if tc.offer != nil {
				tc.offer(offered)
			}
			_, refusal := w.run(context.Background(), offered, "/")
			is.Equal(refusal.Reason, tc.want)
			is.True(refusal.NotRun())
			is.Equal(b.requests.Load(), int64(0))
		})
	}
}

// TestWaitingRequestsOfALeavingServer refuses what waits for a server as soon as
// it is known to leave.
func TestWaitingRequestsOfALeavingServer(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, nil)
	w := newWorld(t, b.address, 1)
	_, err := w.Admit(context.Background(), offer(), func() {})
	is.NoErr(err)
	waiting, refused := make(chan struct{}), make(chan error, 1)
	go func() {
		offered := offer()
		offered.MayWait, offered.ToTarget, offered.Left = true, time.Minute, time.Minute
		_, err := w.Admit(context.Background(), offered, func() { close(waiting) })
		refused <- err
	}()
	<-waiting
	w.set(b.address, 1, func(e *flow.ServerEntry) { e.Draining = true })
	w.Refresh(w.catalog.Load())
	refusal, ok := flow.AsRefusal(<-refused)
	is.True(ok)
	is.True(refusal.NotRun())
}

// TestQueueOfAServerThatTurnsGray has a request fail while others wait for a slot: these
// seek another server, and do not follow it one after the other.
func TestQueueOfAServerThatTurnsGray(t *testing.T) {
	cases := map[string]struct {
		forced bool
		want   flow.Reason
	}{
		"a request that waits":                        {false, flow.ReasonEjected},
		"one that waits though the server may be bad": {true, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
			w := newWorld(t, b.address, 1)
			slot, err := w.Admit(context.Background(), offer(), func() {})
			is.NoErr(err)
			waiting, ended := make(chan struct{}), make(chan error, 1)
			go func() {
				offered := offer()
				offered.MayWait, offered.Forced, offered.ToTarget, offered.Left = true, tc.forced, time.Minute, time.Minute
				_, err := w.Admit(context.Background(), offered, func() { close(waiting) })
				ended <- err
			}()
			<-waiting
			_, _ = slot.Run(context.Background(), &courier.Request{
				Method: http.MethodGet, Target: "/bad", Host: "a.example", Header: http.Header{names.RequestID: {offer().ID}}, Caller: "shop",
			})
			err = <-ended
			refusal, refused := flow.AsRefusal(err)
			is.Equal(refused, tc.want != "")
			is.True(!refused || refusal.Reason == tc.want && refusal.NotRun())
		})
	}
}

// TestGrayServer fails real work: the next request that may run only once is
// refused before the server gets it, trials get through now and then, and good
// answers to these bring the server back.
func TestGrayServer(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
	w := newWorld(t, b.address, 2)
	got, _ := w.run(context.Background(), offer(), "/bad")
	is.Equal(got, "500 ")
	once := offer()
	_, refusal := w.run(context.Background(), once, "/")
	is.Equal(refusal.Reason, flow.ReasonEjected)
	is.Equal(b.requests.Load(), int64(1))
	trial := offer()
	trial.Trial = true
	tries := 0
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if _, refusal := w.run(context.Background(), once, "/"); refusal == nil {
			break
		}
		if _, refusal := w.run(context.Background(), trial, "/"); refusal == nil {
			tries++
		}
		is.True(time.Since(began) < 5*time.Second)
	}
	is.True(tries >= 1)
	is.True(tries <= 4)
}

// TestFailureOfACallIsNotTheServers leaves the belief about a server alone whose
// own call has just failed.
func TestFailureOfACallIsNotTheServers(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
	w := newWorld(t, b.address, 2)
	w.CallFailed()
	_, _ = w.run(context.Background(), offer(), "/bad")
	_, refusal := w.run(context.Background(), offer(), "/")
	is.Equal(refusal, nil)
}

// TestQueueOfAHangingServer has a request wait for a server that ends none: it is
// refused when it cannot be answered in time any more, before its deadline.
func TestQueueOfAHangingServer(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, nil)
	w := newWorld(t, b.address, 1)
	_, err := w.Admit(context.Background(), offer(), func() {})
	is.NoErr(err)
	offered := offer()
	offered.MayWait, offered.ToTarget, offered.Left = true, 900*time.Millisecond, time.Second
	began := time.Now()
	_, refusal := w.run(context.Background(), offered, "/")
	is.Equal(refusal.Reason, flow.ReasonNoCapacity)
	is.True(time.Since(began) < time.Second)
}

// TestWhatCountsAgainstAServer runs one request and looks at the belief about the
// server: broken connections count like bad answers, and what says nothing of the
// server does not.
func TestWhatCountsAgainstAServer(t *testing.T) {
	const failure = "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		answer string
		left   time.Duration // until the deadline
		leaves bool          // the caller does, before the answer
		ended  bool          // nothing listens at the address
		counts bool
	}{
		"a good answer":                    {answer: good, left: time.Second},
		"a failure":                        {answer: failure, left: time.Second, counts: true},
		"a connection that breaks":         {answer: "CUT", left: time.Second, counts: true},
		"bytes that are no answer":         {answer: "nonsense\r\n\r\nCUT", left: time.Second, counts: true},
		"a body cut short":                 {answer: "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalfCUT", left: time.Second, counts: true},
		"a connection that is refused":     {ended: true, left: time.Second, counts: true},
		"it hangs":                         {answer: "silence", left: 1500 * time.Millisecond, counts: true},
		"a deadline that nobody can keep":  {answer: "silence", left: 200 * time.Millisecond},
		"its own answer at that deadline":  {answer: "HTTP/1.1 504 Late\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", left: 200 * time.Millisecond},
		"it sheds":                         {answer: "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", left: time.Second},
		"a caller that leaves before that": {answer: "silence", left: time.Second, leaves: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := startBackend(t, map[string]string{"/": tc.answer})
			if tc.ended {
				b.address = "127.0.0.1:1"
			}
			w := newWorld(t, b.address, 2)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if tc.leaves {
				time.AfterFunc(50*time.Millisecond, leave)
			}
			offered := offer()
			offered.Left = tc.left
			before := w.Figures().Gray
			_, _ = w.run(ctx, offered, "/")
			is.Equal(w.Figures().Gray > before, tc.counts)
		})
	}
}

// TestSuspectedServerKeepsSomeWork offers a suspected server work of daemons that do
// not know that it is suspected: what may run more than once gets through often
// enough that the server is not without work for 2 s, other work does not.
func TestSuspectedServerKeepsSomeWork(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, map[string]string{"/bad": "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"})
	w := newWorld(t, b.address, 2)
	_, _ = w.run(context.Background(), offer(), "/bad")
	once, again := offer(), offer()
	again.Repeatable = true
	began, latest, longest, tries := time.Now(), time.Now(), time.Duration(0), 0
	for ; time.Since(began) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
		if _, refusal := w.run(context.Background(), once, "/bad"); refusal == nil {
			t.Fatal("work that may run once got through")
		}
		if _, refusal := w.run(context.Background(), again, "/bad"); refusal == nil {
			longest, latest, tries = max(longest, time.Since(latest)), time.Now(), tries+1
		}
	}
	longest = max(longest, time.Since(latest))
	is.True(longest < 2*time.Second)
	is.True(tries <= 4)
}
