package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/internal/process/timekeeper"
	"github.com/coltsfootflow/coltsfootflow/internal/request/forwarder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	secret         = "a secret for loopback only"
	incarnation    = 7
	responseBuffer = 4 << 10 // bytes
)

// testDaemon is another host's daemon. A test sets the bytes that it sends and the
// attempt states that it reports.
type testDaemon struct {
	host     *flow.Host
	signer   *permitter.Permitter
	respond  func(conn net.Conn, r *http.Request, permit *permitter.Permit)
	state    atomic.Pointer[registrar.ResolveAnswer] // reported state of any attempt; nil if it does not reply
	queries  atomic.Int64
	requests atomic.Int64
}

func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	d := &testDaemon{signer: permitter.New([]byte(secret))}
	d.host = &flow.Host{Name: "there", DataAddress: d.serveData(t), PeerAddress: d.serveControl(t)}
	return d
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func (d *testDaemon) serveData(t *testing.T) string {
	socket := listen(t)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go d.serveConn(conn)
		}
	}()
	return socket.Addr().String()
}

func (d *testDaemon) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		d.requests.Add(1)
		permit, err := d.signer.VerifyPermit(request.Header.Get(permitter.HeaderPermit))
		if err != nil {
			return
		}
		d.respond(conn, request, permit)
		if request.Header.Get("X-Close") != "" {
			return
		}
	}
}

func (d *testDaemon) serveControl(t *testing.T) string {
	socket := listen(t)
	control := &listener.Listener{
		Options:   framing("there"),
		Endpoints: map[messenger.Call]endpoint.Endpoint{messenger.CallResolve: d.resolve},
		Log:       logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = control.Serve(ctx, socket) }()
	t.Cleanup(func() { cancel(); <-done })
	return socket.Addr().String()
}

func (d *testDaemon) resolve(ctx context.Context, _ any) (any, error) {
	d.queries.Add(1)
	if answer := d.state.Load(); answer != nil {
		return answer, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func framing(host string) framer.Options {
	return framer.Options{Self: framer.Identity{Host: host, Incarnation: incarnation}, Secret: []byte(secret), MaxPayloadBytes: 1 << 16}
}

// voucher returns the header line of a voucher.
func (d *testDaemon) voucher(voucher permitter.Voucher) string {
	value, _ := d.signer.SignVoucher(&voucher)
	return permitter.HeaderVoucher + ": " + value + "\r\n"
}

func write(conn net.Conn, parts ...string) {
	for _, part := range parts {
		_, _ = io.WriteString(conn, part)
	}
}

// ingress is a Forwarder and its clock.
type ingress struct {
	clock     flow.Clock
	forwarder *forwarder.Forwarder
}

type clockSource struct {
	clock  flow.Clock
	clocks *timekeeper.Timekeeper
}

// Learn records the host's clock, which is the same as the ingress's.
func (s clockSource) Learn(_ context.Context, host *flow.Host) error {
	s.clocks.Observe(s.clock.Now(), host.Name, incarnation, s.clock.Now())
	return nil
}

func newIngress(t *testing.T) *ingress {
	t.Helper()
	clock, clocks := flow.NewMonotonicClock(), timekeeper.New()
	calls := dialer.New(framing("here"), nil)
	t.Cleanup(calls.Close)
	f := forwarder.New(forwarder.Parts{
		Host: "here", Clock: clock, Timekeeper: clocks, ClockSource: clockSource{clock, clocks},
		Permitter: permitter.New([]byte(secret)), Dialer: calls, Log: logr.Discard(), ResponseBuffer: responseBuffer,
	})
	t.Cleanup(f.Close)
	return &ingress{clock, f}
}

// forward makes one attempt with a timeout, and reads the whole response. complete is
// false if there is none or if its body is truncated.
func (in *ingress) forward(ctx context.Context, to *testDaemon, method string, header http.Header, timeout time.Duration) (body string, reason flow.Reason, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://x/ledger/swaps", http.NoBody)
	result, err := in.forwarder.Forward(ctx, &forwarder.Attempt{
		Permit:      permitter.Permit{Attempt: "a/1", TargetHash: permitter.HashTarget(method, "/ledger/swaps"), Timeout: timeout},
		StartBefore: in.clock.Now().Add(time.Second), Receiver: to.host, Request: request, Header: header, Body: []byte("a swap"),
	})
	if refusal, ok := flow.AsRefusal(err); ok {
		return "", refusal.Reason, false
	}
	defer result.Response.Close()
	content := result.Response.Buffered
	if result.Response.Rest != nil {
		rest, err := io.ReadAll(result.Response.Rest)
		return string(content) + string(rest), "", err == nil
	}
	return string(content), "", true
}

// A response without a valid voucher for this attempt, and a truncated response, are
// not passed on.
func TestResponseNeedsValidVoucher(t *testing.T) {
	own := permitter.Voucher{Attempt: "a/1", Host: "there", Incarnation: incarnation}
	another, refused := own, own
	another.Attempt = "a/2"
	refused.Reason = flow.ReasonNoCapacity
	head := "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		response func(d *testDaemon) []string
		body     string
		reason   flow.Reason
	}{
		"valid":                              {func(d *testDaemon) []string { return []string{head, d.voucher(own), "Content-Length: 2\r\n\r\nhi"} }, "hi", ""},
		"no voucher":                         {func(*testDaemon) []string { return []string{head, "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"voucher for another attempt":        {func(d *testDaemon) []string { return []string{head, d.voucher(another), "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"voucher signed with another secret": {func(*testDaemon) []string { return []string{head, foreignVoucher(own), "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"permit instead of a voucher": {func(d *testDaemon) []string {
			return []string{head, d.permitAsVoucher(), "Content-Length: 2\r\n\r\nhi"}
		}, "", flow.ReasonAnswerForeign},
		"refusal without a voucher": {func(*testDaemon) []string {
			return []string{"HTTP/1.1 503 No\r\nColtsfootflow-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"}
		}, "", flow.ReasonAnswerForeign},
		"refusal": {func(d *testDaemon) []string {
			return []string{"HTTP/1.1 503 No\r\n", d.voucher(refused), "Content-Length: 0\r\n\r\n"}
		}, "", flow.ReasonNoCapacity},
		"truncated body": {func(d *testDaemon) []string { return []string{head, d.voucher(own), "Content-Length: 9\r\n\r\nhi"} }, "", flow.ReasonAnswerShort},
		"chunked without the last chunk": {func(d *testDaemon) []string {
			return []string{head, d.voucher(own), "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"}
		}, "", flow.ReasonAnswerShort},
		"body without a marked end": {func(d *testDaemon) []string { return []string{head, d.voucher(own), "Connection: close\r\n\r\nhi"} }, "", flow.ReasonAnswerShort},
		"truncated headers":         {func(*testDaemon) []string { return []string{head} }, "", flow.ReasonServerFailed},
		"not HTTP":                  {func(*testDaemon) []string { return []string{"nonsense\r\n\r\n"} }, "", flow.ReasonServerFailed},
		"headers over the limit":    {func(*testDaemon) []string { return []string{head, "X: ", strings.Repeat("x", 300<<10)} }, "", flow.ReasonServerFailed},
		"switching protocols": {func(d *testDaemon) []string {
			return []string{"HTTP/1.1 101 Up\r\n", d.voucher(own), "Upgrade: x\r\nConnection: upgrade\r\n\r\nhi"}
		}, "", flow.ReasonAnswerMalformed},
		"blank in the name of a field": {func(d *testDaemon) []string {
			return []string{head, d.voucher(own), "X Odd: 1\r\nContent-Length: 2\r\n\r\nhi"}
		}, "", flow.ReasonAnswerMalformed},
		"blank after the name of the length": {func(d *testDaemon) []string {
			return []string{head, d.voucher(own), "Content-Length : 2\r\n\r\nhi"}
		}, "", flow.ReasonAnswerMalformed},
		"blank in the trailer": {func(d *testDaemon) []string {
			return []string{head, d.voucher(own), "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Odd: 1\r\n\r\n"}
		}, "", flow.ReasonAnswerMalformed},
		"status 600": {func(d *testDaemon) []string {
			return []string{"HTTP/1.1 600 Odd\r\n", d.voucher(own), "Content-Length: 2\r\n\r\nhi"}
		}, "", flow.ReasonAnswerMalformed},
		"informational response first": {func(d *testDaemon) []string {
			return []string{"HTTP/1.1 103 Early\r\n\r\n", head, d.voucher(own), "Content-Length: 2\r\n\r\nhi"}
		}, "hi", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newTestDaemon(t)
			d.state.Store(&registrar.ResolveAnswer{State: registrar.StateEnded})
			d.respond = func(conn net.Conn, _ *http.Request, _ *permitter.Permit) { write(conn, tc.response(d)...) }
			body, reason, _ := newIngress(t).forward(t.Context(), d, http.MethodPost, http.Header{"X-Close": {"1"}}, 2*time.Second)
			is.Equal(body, tc.body)
			is.Equal(reason, tc.reason)
			is.Equal(d.requests.Load(), int64(1))
		})
	}
}

func foreignVoucher(voucher permitter.Voucher) string {
	value, _ := permitter.New([]byte("another secret of enough bytes")).SignVoucher(&voucher)
	return permitter.HeaderVoucher + ": " + value + "\r\n"
}

func (d *testDaemon) permitAsVoucher() string {
	value, _ := d.signer.SignPermit(&permitter.Permit{Attempt: "a/1"})
	return permitter.HeaderVoucher + ": " + value + "\r\n"
}

// A streamed response that is truncated is not mistaken for a complete one.
func TestTruncatedStreamIsIncomplete(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t)
	d.respond = func(conn net.Conn, _ *http.Request, permit *permitter.Permit) {
		write(conn, "HTTP/1.1 200 OK\r\n", d.voucher(permitter.Voucher{Attempt: permit.Attempt, Host: "there"}),
			fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*responseBuffer), strings.Repeat("x", 2*responseBuffer))
	}
	body, reason, complete := newIngress(t).forward(t.Context(), d, http.MethodGet, http.Header{"X-Close": {"1"}}, time.Second)
	is.Equal(reason, flow.Reason(""))
	is.Equal(len(body), 2*responseBuffer)
	is.True(!complete)
}

// The reason for an attempt without a response follows from the state that its daemon
// reports and, while the connection stays open, from the timeout.
func TestReasonFollowsReportedState(t *testing.T) {
	cases := map[string]struct {
		state  *registrar.ResolveAnswer // nil if the daemon does not report one
		silent bool                     // the data connection stays open without a response; else the daemon closes it
		reason flow.Reason
		within time.Duration
	}{
		"closed, barred":        {&registrar.ResolveAnswer{State: registrar.StateBarred}, false, flow.ReasonUnreachable, 300 * time.Millisecond},
		"closed, refused":       {&registrar.ResolveAnswer{State: registrar.StateRefused}, false, flow.ReasonUnreachable, 300 * time.Millisecond},
		"closed, running":       {&registrar.ResolveAnswer{State: registrar.StateRunning}, false, flow.ReasonServerFailed, 300 * time.Millisecond},
		"closed, ended":         {&registrar.ResolveAnswer{State: registrar.StateEnded}, false, flow.ReasonServerFailed, 300 * time.Millisecond},
		"closed, unknown":       {&registrar.ResolveAnswer{State: registrar.StateUnknown}, false, flow.ReasonServerFailed, 300 * time.Millisecond},
		"closed, no report":     {nil, false, flow.ReasonServerFailed, time.Second},
		"silent, barred":        {&registrar.ResolveAnswer{State: registrar.StateBarred}, true, flow.ReasonUnreachable, time.Second},
		"silent, refused":       {&registrar.ResolveAnswer{State: registrar.StateRefused}, true, flow.ReasonUnreachable, time.Second},
		"silent, ended":         {&registrar.ResolveAnswer{State: registrar.StateEnded, Ended: time.Second}, true, flow.ReasonServerFailed, time.Second},
		"silent, just ended":    {&registrar.ResolveAnswer{State: registrar.StateEnded}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, running":       {&registrar.ResolveAnswer{State: registrar.StateRunning}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, unknown":       {&registrar.ResolveAnswer{State: registrar.StateUnknown}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, no report":     {nil, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, invalid state": {&registrar.ResolveAnswer{State: "strange"}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newTestDaemon(t)
			d.state.Store(tc.state)
			finished := make(chan struct{})
			t.Cleanup(func() { close(finished) })
			d.respond = func(net.Conn, *http.Request, *permitter.Permit) {
				if tc.silent {
					<-finished
				}
			}
			start := time.Now()
			_, reason, _ := newIngress(t).forward(t.Context(), d, http.MethodPost, http.Header{"X-Close": {"1"}}, 1500*time.Millisecond)
			is.Equal(reason, tc.reason)
			is.True(time.Since(start) < tc.within+500*time.Millisecond)
			is.Equal(d.requests.Load(), int64(1))
		})
	}
}

// An attempt without a connection did not run, so it has the reason unreachable and may
// be retried on another server. This includes a connection attempt that hangs while the
// control connection works.
func TestNoConnectionMeansUnreachable(t *testing.T) {
	addresses := map[string]func(t *testing.T) string{
		"connection refused": func(t *testing.T) string {
			socket := listen(t)
			_ = socket.Close()
			return socket.Addr().String()
		},
		"connecting hangs": fullSocket,
	}
	for name, address := range addresses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newTestDaemon(t)
			d.host.DataAddress = address(t)
			d.state.Store(&registrar.ResolveAnswer{State: registrar.StateBarred})
			_, reason, _ := newIngress(t).forward(t.Context(), d, http.MethodPost, http.Header{}, 2*time.Second)
			is.Equal(reason, flow.ReasonUnreachable)
		})
	}
}

// fullSocket returns the address of a socket whose backlog is full, so that connecting
// to it hangs.
func fullSocket(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// http.Transport may resend a request when a reused connection is closed, depending on
// its method and on idempotency headers. The forwarder must never let it do so.
func TestTransportNeverResends(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodOptions} {
		for name, header := range map[string]http.Header{
			"plain": {},
			"keyed": {"Idempotency-Key": {"1"}, "X-Idempotency-Key": {"1"}},
		} {
			t.Run(method+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := newTestDaemon(t)
				d.state.Store(&registrar.ResolveAnswer{State: registrar.StateEnded})
				var closing atomic.Bool
				d.respond = func(conn net.Conn, _ *http.Request, permit *permitter.Permit) {
					if closing.Load() {
						_ = conn.Close()
						return
					}
					write(conn, "HTTP/1.1 204 No Content\r\n", d.voucher(permitter.Voucher{Attempt: permit.Attempt, Host: "there"}), "\r\n")
				}
				in := newIngress(t)
				_, reason, _ := in.forward(t.Context(), d, method, header, time.Second)
				is.Equal(reason, flow.Reason(""))
				closing.Store(true)
				_, reason, _ = in.forward(t.Context(), d, method, header, time.Second)
				is.Equal(reason, flow.ReasonServerFailed)
				is.Equal(d.requests.Load(), int64(2))
			})
		}
	}
}

// The daemon is queried for the state of an attempt whose caller disconnected, since the
// state decides whether the token of the caller's rate was spent.
func TestStateIsQueriedAfterCallerDisconnects(t *testing.T) {
	for state, reason := range map[registrar.State]flow.Reason{
		registrar.StateBarred:  flow.ReasonUnreachable,
		registrar.StateRefused: flow.ReasonUnreachable,
		registrar.StateRunning: flow.ReasonServerFailed,
	} {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newTestDaemon(t)
			d.state.Store(&registrar.ResolveAnswer{State: state})
			ctx, cancel := context.WithCancel(t.Context())
			d.respond = func(conn net.Conn, _ *http.Request, _ *permitter.Permit) {
				cancel()
				_, _ = conn.Read(make([]byte, 1))
			}
			_, got, _ := newIngress(t).forward(ctx, d, http.MethodPost, http.Header{}, 2*time.Second)
			is.Equal(got, reason)
			is.True(d.queries.Load() > 0)
		})
	}
}
