package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/pipeliner"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/dispatcher"
	"github.com/coltsfootflow/coltsfootflow/internal/request/executor"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/linker"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// brokenID is the id of the request whose answer breaks off.
const brokenID = "id-broken"

// wholeBody is the body of every whole answer.
const wholeBody = "the whole body"

// forms are the answers of the backend server. Each has a head and a body.
var forms = map[string]string{
	"with a length":      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 14\r\n\r\n" + wholeBody,
	"in chunks":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n5\r\n body\r\n0\r\n\r\n",
	"without a length":   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n\r\n" + wholeBody,
	"after a 103":        "HTTP/1.1 103 Early Hints\r\nRequest-Id: %s\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 14\r\n\r\n" + wholeBody,
	"after a 100":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 14\r\n\r\n" + wholeBody,
	"a failure":          "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 14\r\n\r\n" + wholeBody,
	"says it is not run": "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 14\r\n\r\n" + wholeBody,
}

// breakingServer is a backend server whose answer to brokenID breaks off.
type breakingServer struct {
	form   string
	length int  // of the part of the answer that is sent; negative sends all
	reset  bool // the connection is reset, otherwise closed
}

func (b breakingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(names.RequestID)
		if id != brokenID {
			fmt.Fprint(conn, strings.ReplaceAll(forms["with a length"], "%s", id))
			continue
		}
		answer := strings.ReplaceAll(b.form, "%s", id)
		if b.length >= 0 {
			answer = answer[:b.length]
		}
		_, _ = io.WriteString(conn, answer)
		if b.reset {
			_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
		}
		return
	}
}

// serveAll accepts connections and serves each, until the listener is closed.
func serveAll(socket net.Listener, serve func(net.Conn)) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// breakingLink forwards connections to a daemon, and breaks off what the daemon sends.
type breakingLink struct {
	reset bool

	mu    sync.Mutex
	sent  int // bytes that the daemon sent, over all connections
	limit int // after which they break off; negative for never
}

func (l *breakingLink) serve(conn, daemon net.Conn) {
	defer func() { _ = conn.Close() }()
	defer func() { _ = daemon.Close() }()
	go func() {
		_, _ = io.Copy(daemon, conn)
		_ = daemon.Close()
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := daemon.Read(buffer)
		n, broken := l.pass(n)
		if _, writeErr := conn.Write(buffer[:n]); writeErr != nil {
			return
		}
		if broken && l.reset {
			_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
		}
		if broken || err != nil {
			return
		}
	}
}

// pass returns how many of n bytes are passed on, and whether the link then breaks.
func (l *breakingLink) pass(n int) (passed int, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit >= 0 && l.sent+n > l.limit {
		n, broken = max(l.limit-l.sent, 0), true
	}
	l.sent += n
	return n, broken
}

// total returns the bytes that the daemon has sent.
func (l *breakingLink) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

type allowEverything struct{}

func (allowEverything) Retry(context.Context, string) bool { return true }
func (allowEverything) HasRetry(string) bool               { return true }
func (allowEverything) CountRequest(string)                {}
func (allowEverything) CountRetry(string)                  {}
func (allowEverything) Take(context.Context, *flow.CustomerRule) (bool, time.Duration) {
	return true, 0
}

// Admitted discards the observation.
func (discardObserver) Admitted(string, flow.Reason, time.Duration) {}

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{}

// Now implements flow.Clock.
func (bubbleClock) Now() flow.Time { return flow.Time(time.Now().UnixMilli()) }

// Addresses on the path of a request, on a network in memory.
const (
	callerHost  = "10.0.0.1"
	ingressPort = "10.0.0.2:80"
	linkPort    = "10.0.0.3:7000"
	daemonPort  = "10.0.0.4:7000"
	serverPort  = "10.0.0.5:80"
)

// path is the path of a request: a caller, an ingress, a link to a daemon, and the backend
// server beside that.
type path struct {
	network *linker.Network
	cancel  context.CancelFunc
}

func startPath(t *testing.T, serveBackend func(net.Conn), link *breakingLink) *path {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	p := &path{network: linker.New(time.Millisecond, func(string) string { return "a" }), cancel: cancel}
	listen := func(address string) net.Listener {
		socket, err := p.network.Listen(address)
		is.NoErr(err)
		return socket
	}
	host := func(address string) linker.Host {
		ip, _, _ := net.SplitHostPort(address)
		return p.network.Host(ip)
	}
	go serveAll(listen(serverPort), serveBackend)
	go serveAll(listen(linkPort), func(conn net.Conn) {
		if daemon, err := host(linkPort).DialContext(ctx, "tcp", daemonPort); err == nil {
			link.serve(conn, daemon)
		}
	})
	linkIP, port, _ := net.SplitHostPort(linkPort)
	catalog := cataloger.Build(5, &flow.Configuration{
		Version:  3,
		Services: []flow.ServiceRule{{Name: "stock"}},
		Routes: []flow.RouteRule{{
			Name: "book", Host: "a.example", PathPrefix: "/", Split: []flow.WeightedService{{Service: "stock", Weight: 1}},
			MaxAttempts: 1, Timeout: 5 * time.Second, TargetLatency: time.Second,
		}},
	}, []*flow.ServerEntry{{ID: "s", Service: "stock", Address: serverPort, Host: linkIP, Zone: "a", Slots: 4}}, nil)
	current := func() *cataloger.Catalog { return catalog }
	beside := executor.New(executor.Parts{
		Host: linkIP, Address: serverPort, Connector: host(daemonPort), Names: names, Clock: bubbleClock{}, Catalog: current,
		Observer: discardObserver{}, Log: logr.Discard(),
	})
	beside.ApplyCatalog(catalog)
	offers := &transporter.Server{Options: options, Executor: beside, Log: logr.Discard()}
	go func() { _ = offers.Serve(ctx, listen(daemonPort)) }()
	ingress := dispatcher.New(dispatcher.Parts{
		Host: "10.0.0.2", Zone: "a", Service: func() string { return "ledger" }, OfferPort: port, HeaderNames: names,
		Clock: bubbleClock{}, Catalog: current, ProofAge: func() time.Duration { return 0 }, MaxProofAge: time.Minute,
		Transporter: transporter.NewClient(options, host(ingressPort)), Allowance: allowEverything{}, Observer: discardObserver{},
		CallFailed: func() {}, Charger: beside,
		Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	callers := &pipeliner.Server{
		Handle: ingress.Handle, Limits: func() flow.CallerLimits { return flow.CallerLimits{} }, Log: logr.Discard(),
		Refuse: func(int, error) *http.Response { return &http.Response{StatusCode: http.StatusBadRequest} },
	}
	go func() { _ = callers.Serve(listen(ingressPort)) }()
	synctest.Wait()
	return p
}

func (p *path) close() {
	p.cancel()
	p.network.Close()
	time.Sleep(time.Minute) // time limits of what is left
}

// exchange is what a caller got for one request.
type exchange struct {
	status int    // 0 if the answer was broken
	body   string // of a whole answer
}

// call sends requests on a connection, all at once if they are pipelined, and returns their
// answers. No more are read after a broken one.
func (p *path) call(t *testing.T, version string, pipelined bool, ids ...string) []exchange {
	t.Helper()
	is := is.New(t)
	conn, err := p.network.Host(callerHost).DialContext(t.Context(), "tcp", ingressPort)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	send := func(id string) {
		fmt.Fprintf(conn, "GET /x HTTP/%s\r\nHost: a.example\r\nRequest-Id: %s\r\nTime-Left: 4000\r\n\r\n", version, id)
	}
	if pipelined {
		for _, id := range ids {
			send(id)
		}
	}
	var exchanges []exchange
	for _, id := range ids {
		if !pipelined {
			send(id)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(exchanges, exchange{})
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return append(exchanges, exchange{})
		}
		exchanges = append(exchanges, exchange{response.StatusCode, string(body)})
		if response.Close {
			_, err := reader.ReadByte()
			is.True(errors.Is(err, io.EOF)) // nothing follows the last answer
			return exchanges
		}
	}
	return exchanges
}

// notRunStatuses promise that the request has not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkBroken checks the answer to a request that ran and whose answer broke off.
func checkBroken(t *testing.T, got exchange) {
	t.Helper()
	switch {
	case got.status == 0, got.status == http.StatusBadGateway, got.status == http.StatusGatewayTimeout:
	case slices.Contains(notRunStatuses, got.status):
		t.Errorf("%d says that the request has not run", got.status)
	default:
		t.Errorf("%d with body %q looks whole", got.status, got.body)
	}
}

// breaks returns where an answer is broken off: around the end of each line of its heads,
// in the middle of each, and in a body whose end is marked.
func breaks(form string) []int {
	answer := strings.ReplaceAll(form, "%s", brokenID)
	head := strings.LastIndex(answer, "\r\n\r\n") + 4
	if strings.Contains(answer, "chunked") {
		head = strings.Index(answer, "\r\n\r\n") + 4
	}
	positions := map[int]bool{0: true}
	for i := 0; i < head; i++ {
		if answer[i] != '\n' {
			continue
		}
		start := strings.LastIndex(answer[:i], "\n") + 1
		for _, position := range []int{i - 1, i, i + 1, (start + i) / 2, i - 2} {
			positions[max(position, 0)] = true
		}
	}
	switch {
	case !strings.Contains(answer, "Length") && !strings.Contains(answer, "chunked"):
		delete(positions, head) // the end of the connection is the end of the body
	case strings.Contains(answer, names.NotRun):
		delete(positions, head) // the head is whole, and says that the request has not run
	default:
		for i := head; i < len(answer); i++ {
			positions[i] = true
		}
	}
	list := make([]int, 0, len(positions))
	for position := range positions {
		list = append(list, position)
	}
	slices.Sort(list)
	return list
}

// inBubble runs a test in simulated time, on one processor: the race detector fails when the
// timers of a bubble run on several at once.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		synctest.Test(t, test)
	})
}

// TestAnswerOfServerBreaksOff guards against callers that take an answer for whole though the
// backend server broke it off, in its head or in its body.
func TestAnswerOfServerBreaksOff(t *testing.T) {
	before := map[string][]string{"new connection": nil, "kept connection": {"id-1"}}
	for formName, form := range forms {
		for beforeName, ids := range before {
			for _, reset := range []bool{false, true} {
				for _, pipelined := range []bool{false, true} {
					inBubble(t, fmt.Sprintf("%s, %s, reset %v, pipelined %v", formName, beforeName, reset, pipelined), func(t *testing.T) {
						for _, length := range breaks(form) {
							p := startPath(t, breakingServer{form: form, length: length, reset: reset}.serve, &breakingLink{limit: -1})
							got := p.call(t, "1.1", pipelined, append(slices.Clone(ids), brokenID, "id-last")...)
							p.close()
							for i, one := range got {
								if i == len(ids) {
									checkBroken(t, one)
								} else if one.status == http.StatusOK && one.body != wholeBody {
									t.Errorf("broken off after %d bytes: answer %d is %d %q", length, i, one.status, one.body)
								}
							}
							if t.Failed() {
								t.Fatalf("broken off after %d bytes", length)
							}
						}
					})
				}
			}
		}
	}
}

// TestAnswerBetweenDaemonsBreaksOff guards against callers that take an answer for whole though
// it broke off on its way between two daemons. An answer of unknown length looked whole.
func TestAnswerBetweenDaemonsBreaksOff(t *testing.T) {
	chunk := strings.Repeat("x", 1<<20)
	large := "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(strconv.FormatInt(1<<20, 16)+"\r\n"+chunk+"\r\n", 2) + "0\r\n\r\n"
	cases := map[string]struct {
		form string
		step int // between the places at which it is broken off, in the first 1000 bytes
	}{
		"short":                     {forms["with a length"], 3},
		"long and without a length": {large, 17},
	}
	for name, tc := range cases {
		for _, version := range []string{"1.1", "1.0"} {
			for _, reset := range []bool{false, true} {
				inBubble(t, fmt.Sprintf("%s, HTTP/%s, reset %v", name, version, reset), func(t *testing.T) {
					play := func(link *breakingLink) exchange {
						p := startPath(t, breakingServer{form: tc.form, length: -1}.serve, link)
						defer p.close()
						return p.call(t, version, false, brokenID)[0]
					}
					whole := &breakingLink{limit: -1}
					is.New(t).Equal(play(whole).status, http.StatusOK)
					step := tc.step
					for limit := 0; limit < whole.total(); limit += step {
						if limit > 1000 {
							step = 200_003
						}
						if got := play(&breakingLink{limit: limit, reset: reset}); got.status == http.StatusOK {
							t.Fatalf("broken off after %d of %d bytes: 200 with %d bytes looks whole", limit, whole.total(), len(got.body))
						}
					}
				})
			}
		}
	}
}
