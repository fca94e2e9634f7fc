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
	secret       = "a secret for loopback only"
	incarnation  = 7
	answerBuffer = 4 << 10 // bytes
)

// daemon is another host's daemon whose every byte and word a test chooses.
type daemon struct {
	host     *flow.Host
	signer   *permitter.Permitter
	answer   func(conn net.Conn, r *http.Request, permit *permitter.Permit)
	state    atomic.Pointer[registrar.ResolveAnswer] // what it says of an attempt; nil for no answer
	asked    atomic.Int64
	requests atomic.Int64
}

func newDaemon(t *testing.T) *daemon {
	t.Helper()
	d := &daemon{signer: permitter.New([]byte(secret))}
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

func (d *daemon) serveData(t *testing.T) string {
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

func (d *daemon) serveConn(conn net.Conn) {
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
		permit, err := d.signer.CheckPermit(request.Header.Get(permitter.HeaderPermit))
		if err != nil {
			return
		}
		d.answer(conn, request, permit)
		if request.Header.Get("X-Close") != "" {
			return
		}
	}
}

func (d *daemon) serveControl(t *testing.T) string {
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

func (d *daemon) resolve(ctx context.Context, _ any) (any, error) {
	d.asked.Add(1)
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
func (d *daemon) voucher(voucher permitter.Voucher) string {
	value, _ := d.signer.SignVoucher(&voucher)
	return permitter.HeaderVoucher + ": " + value + "\r\n"
}

func write(conn net.Conn, parts ...string) {
	for _, part := range parts {
		_, _ = io.WriteString(conn, part)
	}
}

// -----------------------------------------------------------------------------

// ingress is a Forwarder and what it needs.
type ingress struct {
	clock     flow.Clock
	forwarder *forwarder.Forwarder
}

type learning struct {
	clock  flow.Clock
	clocks *timekeeper.Timekeeper
}

// Learn tells the clock, which both ends share.
func (l learning) Learn(_ context.Context, host *flow.Host) error {
	l.clocks.Observe(l.clock.Now(), host.Name, incarnation, l.clock.Now())
	return nil
}

func newIngress(t *testing.T) *ingress {
	t.Helper()
	clock, clocks := flow.NewMonotonicClock(), timekeeper.New()
	calls := dialer.New(framing("here"), nil)
	t.Cleanup(calls.Close)
	f := forwarder.New(forwarder.Parts{
		Host: "here", Clock: clock, Timekeeper: clocks, ClockSource: learning{clock, clocks},
		Permitter: permitter.New([]byte(secret)), Dialer: calls, Log: logr.Discard(), AnswerBuffer: answerBuffer,
	})
	t.Cleanup(f.Close)
	return &ingress{clock, f}
}

// forward makes one attempt within a timeout, and reads the answer to its end.
func (in *ingress) forward(ctx context.Context, to *daemon, method string, header http.Header, timeout time.Duration) (body string, reason flow.Reason, whole bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://x/ledger/swaps", http.NoBody)
	result, err := in.forwarder.Forward(ctx, &forwarder.Attempt{
		Permit: permitter.Permit{Attempt: "a/1", Target: permitter.TargetOf(method, "/ledger/swaps"), Timeout: timeout},
		Until:  in.clock.Now().Add(time.Second), Target: to.host, Request: request, Header: header, Body: []byte("a swap"),
	})
	if refusal, ok := flow.AsRefusal(err); ok {
		return "", refusal.Reason, false
	}
	defer result.Answer.Close()
	content := result.Answer.Content
	if result.Answer.Rest != nil {
		rest, err := io.ReadAll(result.Answer.Rest)
		return string(content) + string(rest), "", err == nil
	}
	return string(content), "", true
}

// -----------------------------------------------------------------------------

// An answer that does not prove that it is this attempt's is none.
func TestVouchers(t *testing.T) {
	own := permitter.Voucher{Attempt: "a/1", Host: "there", Incarnation: incarnation}
	another, refused := own, own
	another.Attempt = "a/2"
	refused.Refused = flow.ReasonNoCapacity
	head := "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		answer func(d *daemon) []string
		body   string
		reason flow.Reason
	}{
		"sound":               {func(d *daemon) []string { return []string{head, d.voucher(own), "Content-Length: 2\r\n\r\nhi"} }, "hi", ""},
		"none":                {func(*daemon) []string { return []string{head, "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"for another attempt": {func(d *daemon) []string { return []string{head, d.voucher(another), "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"of another secret":   {func(*daemon) []string { return []string{head, strange(own), "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"a permit as voucher": {func(d *daemon) []string { return []string{head, d.permitAsVoucher(), "Content-Length: 2\r\n\r\nhi"} }, "", flow.ReasonAnswerForeign},
		"refusal without one": {func(*daemon) []string {
			return []string{"HTTP/1.1 503 No\r\nColtsfootflow-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"}
		}, "", flow.ReasonAnswerForeign},
		"refusal": {func(d *daemon) []string {
			return []string{"HTTP/1.1 503 No\r\n", d.voucher(refused), "Content-Length: 0\r\n\r\n"}
		}, "", flow.ReasonNoCapacity},
		"short": {func(d *daemon) []string { return []string{head, d.voucher(own), "Content-Length: 9\r\n\r\nhi"} }, "", flow.ReasonAnswerShort},
		"chunks without end": {func(d *daemon) []string {
			return []string{head, d.voucher(own), "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"}
		}, "", flow.ReasonAnswerShort},
		"end not marked":      {func(d *daemon) []string { return []string{head, d.voucher(own), "Connection: close\r\n\r\nhi"} }, "", flow.ReasonAnswerShort},
		"cut in the head":     {func(*daemon) []string { return []string{head} }, "", flow.ReasonServerFailed},
		"no HTTP":             {func(*daemon) []string { return []string{"nonsense\r\n\r\n"} }, "", flow.ReasonServerFailed},
		"head without an end": {func(*daemon) []string { return []string{head, "X: ", strings.Repeat("x", 300<<10)} }, "", flow.ReasonServerFailed},
		"another protocol": {func(d *daemon) []string {
			return []string{"HTTP/1.1 101 Up\r\n", d.voucher(own), "Upgrade: x\r\nConnection: upgrade\r\n\r\nhi"}
		}, "", ""},
		"provisional and then": {func(d *daemon) []string {
			return []string{"HTTP/1.1 103 Early\r\n\r\n", head, d.voucher(own), "Content-Length: 2\r\n\r\nhi"}
		}, "hi", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDaemon(t)
			d.state.Store(&registrar.ResolveAnswer{State: registrar.StateEnded})
			d.answer = func(conn net.Conn, _ *http.Request, _ *permitter.Permit) { write(conn, tc.answer(d)...) }
			body, reason, _ := newIngress(t).forward(t.Context(), d, http.MethodPost, http.Header{"X-Close": {"1"}}, 2*time.Second)
			is.Equal(body, tc.body)
			is.Equal(reason, tc.reason)
			is.Equal(d.requests.Load(), int64(1))
		})
	}
}

func strange(voucher permitter.Voucher) string {
	value, _ := permitter.New([]byte("another secret of enough bytes")).SignVoucher(&voucher)
	return permitter.HeaderVoucher + ": " + value + "\r\n"
}

func (d *daemon) permitAsVoucher() string {
	value, _ := d.signer.SignPermit(&permitter.Permit{Attempt: "a/1"})
	return permitter.HeaderVoucher + ": " + value + "\r\n"
}

// A large answer that breaks off is not taken for whole.
func TestLargeAnswerThatBreaksOff(t *testing.T) {
	is := is.New(t)
	d := newDaemon(t)
	d.answer = func(conn net.Conn, _ *http.Request, permit *permitter.Permit) {
		write(conn, "HTTP/1.1 200 OK\r\n", d.voucher(permitter.Voucher{Attempt: permit.Attempt, Host: "there"}),
			fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*answerBuffer), strings.Repeat("x", 2*answerBuffer))
	}
	body, reason, whole := newIngress(t).forward(t.Context(), d, http.MethodGet, http.Header{"X-Close": {"1"}}, time.Second)
	is.Equal(reason, flow.Reason(""))
	is.Equal(len(body), 2*answerBuffer)
	is.True(!whole)
}

// What an attempt without an answer is called follows from what its daemon says
// of it, and from nothing else.
func TestResolve(t *testing.T) {
	cases := map[string]struct {
		state  *registrar.ResolveAnswer // nil when the daemon does not answer
		silent bool                     // the data connection stays open without an answer; otherwise it is closed
		reason flow.Reason
		within time.Duration
	}{
		"closed, barred":       {&registrar.ResolveAnswer{State: registrar.StateBarred}, false, flow.ReasonUnreachable, 300 * time.Millisecond},
		"closed, refused":      {&registrar.ResolveAnswer{State: registrar.StateRefused}, false, flow.ReasonUnreachable, 300 * time.Millisecond},
		"closed, running":      {&registrar.ResolveAnswer{State: registrar.StateRunning}, false, flow.ReasonServerFailed, 300 * time.Millisecond},
		"closed, ended":        {&registrar.ResolveAnswer{State: registrar.StateEnded}, false, flow.ReasonServerFailed, 300 * time.Millisecond},
		"closed, not known":    {&registrar.ResolveAnswer{State: registrar.StateUnknown}, false, flow.ReasonServerFailed, 300 * time.Millisecond},
		"closed, not told":     {nil, false, flow.ReasonServerFailed, time.Second},
		"silent, barred":       {&registrar.ResolveAnswer{State: registrar.StateBarred}, true, flow.ReasonUnreachable, time.Second},
		"silent, refused":      {&registrar.ResolveAnswer{State: registrar.StateRefused}, true, flow.ReasonUnreachable, time.Second},
		"silent, ended":        {&registrar.ResolveAnswer{State: registrar.StateEnded, Ended: time.Second}, true, flow.ReasonServerFailed, time.Second},
		"silent, just ended":   {&registrar.ResolveAnswer{State: registrar.StateEnded}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, running":      {&registrar.ResolveAnswer{State: registrar.StateRunning}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, not known":    {&registrar.ResolveAnswer{State: registrar.StateUnknown}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, no word":      {nil, true, flow.ReasonTimeout, 2500 * time.Millisecond},
		"silent, strange word": {&registrar.ResolveAnswer{State: "strange"}, true, flow.ReasonTimeout, 2500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDaemon(t)
			d.state.Store(tc.state)
			over := make(chan struct{})
			t.Cleanup(func() { close(over) })
			d.answer = func(net.Conn, *http.Request, *permitter.Permit) {
				if tc.silent {
					<-over
				}
			}
			began := time.Now()
			_, reason, _ := newIngress(t).forward(t.Context(), d, http.MethodPost, http.Header{"X-Close": {"1"}}, 1500*time.Millisecond)
			is.Equal(reason, tc.reason)
			is.True(time.Since(began) < tc.within+500*time.Millisecond)
			is.Equal(d.requests.Load(), int64(1))
		})
	}
}

// An attempt to which no connection could be made did not run and may be made
// elsewhere: also when connecting hangs while the control connection works.
func TestNoConnection(t *testing.T) {
	addresses := map[string]func(t *testing.T) string{
		"refused": func(t *testing.T) string {
			socket := listen(t)
			_ = socket.Close()
			return socket.Addr().String()
		},
		"hangs": fullSocket,
	}
	for name, address := range addresses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDaemon(t)
			d.host.DataAddress = address(t)
			d.state.Store(&registrar.ResolveAnswer{State: registrar.StateBarred})
			_, reason, _ := newIngress(t).forward(t.Context(), d, http.MethodPost, http.Header{}, 2*time.Second)
			is.Equal(reason, flow.ReasonUnreachable)
		})
	}
}

// fullSocket returns the address of a socket that takes no more connections, so
// that connecting to it hangs.
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

// The transport repeats nothing by itself on a connection that was used before
// and that the other end closes, whatever the method and the headers.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodOptions} {
		for name, header := range map[string]http.Header{
			"plain": {},
			"keyed": {"Idempotency-Key": {"1"}, "X-Idempotency-Key": {"1"}},
		} {
			t.Run(method+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := newDaemon(t)
				d.state.Store(&registrar.ResolveAnswer{State: registrar.StateEnded})
				var closing atomic.Bool
				d.answer = func(conn net.Conn, _ *http.Request, permit *permitter.Permit) {
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

// The daemon is asked about an attempt whose caller went away, since the answer
// decides whether its token was spent.
func TestCallerAway(t *testing.T) {
	for state, reason := range map[registrar.State]flow.Reason{
		registrar.StateBarred:  flow.ReasonUnreachable,
		registrar.StateRefused: flow.ReasonUnreachable,
		registrar.StateRunning: flow.ReasonServerFailed,
	} {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDaemon(t)
			d.state.Store(&registrar.ResolveAnswer{State: state})
			ctx, cancel := context.WithCancel(t.Context())
			d.answer = func(conn net.Conn, _ *http.Request, _ *permitter.Permit) {
				cancel()
				_, _ = conn.Read(make([]byte, 1))
			}
			_, got, _ := newIngress(t).forward(ctx, d, http.MethodPost, http.Header{}, 2*time.Second)
			is.Equal(got, reason)
			is.True(d.asked.Load() > 0)
		})
	}
}
