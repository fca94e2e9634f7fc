package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// backend is a backend server that blocks requests until releaseAll, and counts its
// connections.
type backend struct {
	address string
	release chan struct{}
	running atomic.Int64
	open    atomic.Int64
	maxOpen atomic.Int64 // most connections open at once
	opened  sync.Map     // times of opening, by net.Conn
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	b := &backend{release: make(chan struct{})}
	served := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.running.Add(1)
		defer b.running.Add(-1)
		select {
		case <-b.release:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "done")
	}))
	served.Config.ConnState = b.count
	served.Start()
	b.address = served.Listener.Addr().String()
	t.Cleanup(served.Close)
	t.Cleanup(b.releaseAll)
	return b
}

func (b *backend) releaseAll() {
	select {
	case <-b.release:
	default:
		close(b.release)
	}
}

func (b *backend) count(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.opened.Store(conn, time.Now())
		b.maxOpen.Store(max(b.maxOpen.Load(), b.open.Add(1)))
	case http.StateClosed:
		b.open.Add(-1)
	default:
	}
}

func newSender(t *testing.T, address string, slots, connections int, cost time.Duration) *sender.Sender {
	t.Helper()
	return newSenderWith(newLimiter(t, slots), address, slots, connections, cost)
}

func newLimiter(t *testing.T, slots int) flow.Limiter {
	t.Helper()
	limit, err := limiter.New(limiter.NameFixed, limiter.Options{Slots: slots})
	if err != nil {
		t.Fatal(err)
	}
	return limit
}

func newSenderWith(limit flow.Limiter, address string, slots, connections int, cost time.Duration) *sender.Sender {
	server := flow.BackendServer{Name: "ledger-1", Address: address, Slots: slots, Connections: connections, ConnectionCost: cost}
	return sender.New(server, limit, flow.NewMonotonicClock())
}

// run sends one request through the sender. On an error, sent reports whether the
// backend server may have received a byte of it.
func run(ctx context.Context, s *sender.Sender, address string, entry admitter.Entry) (sent bool, err error) {
	ticket, err := s.Admit(ctx, entry)
	if err != nil {
		return false, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", http.NoBody)
	if err != nil {
		return false, err
	}
	response, sent, err := ticket.Send(request, func() bool { return true })
	if err != nil {
		ticket.Finish(flow.VerdictCancelled, 0)
		return sent, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	ticket.Finish(flow.VerdictGood, time.Millisecond)
	return true, err
}

// patientEntry is a request that may wait as long as the test runs.
var patientEntry = admitter.Entry{Customer: "shop", NotAfter: 1 << 40}

func await(t *testing.T, what string, ready func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// TestConnectionLimit checks that the limit on connections holds although there are more
// slots, and that requests cancelled while they wait for a connection leak nothing.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	s := newSender(t, b.address, 8, 2, 0)
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithCancel(t.Context())
	unsent := make(chan bool, 8)
	for range 8 {
		go func() {
			sent, err := run(ctx, s, b.address, patientEntry)
			unsent <- err != nil && !sent
		}()
	}
	await(t, "two requests at the backend server", func() bool { return b.running.Load() == 2 })
	time.Sleep(50 * time.Millisecond)
	is.Equal(b.maxOpen.Load(), int64(2))
	cancel()
	count := 0
	for range 8 {
		if <-unsent {
			count++
		}
	}
	is.Equal(count, 6) // all but the two at the backend server are known not to have run
	await(t, "the end of all requests in flight", func() bool { return s.Stats().InFlight == 0 })
	b.releaseAll()
	await(t, "connections back within the limit", func() bool { return s.Stats().Connections <= 2 })
	for range 20 {
		_, err := run(t.Context(), s, b.address, patientEntry)
		is.NoErr(err)
	}
	is.True(s.Stats().Connections <= 2)
	s.Close()
	await(t, "the end of all goroutines", func() bool { return runtime.NumGoroutine() <= before+2 })
	await(t, "the end of all connections", func() bool { return b.open.Load() == 0 && s.Stats().Connections == 0 })
}

// TestClosedConnectionIsNotReplacedEarly checks that a closed connection is not replaced
// before the server notices the close. A server at its connection limit would count the
// new connection as one too many.
func TestClosedConnectionIsNotReplacedEarly(t *testing.T) {
	is := is.New(t)
	const noticeDelay = 5 * time.Millisecond // until the server notices the end of a connection
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	var open, maxOpen, arrived atomic.Int64
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err == nil {
					arrived.Add(1)
				}
				_, _ = io.Copy(io.Discard, conn)
				time.Sleep(noticeDelay)
				open.Add(-1)
			}()
		}
	}()
	s := newSender(t, socket.Addr().String(), 1, 1, 0)
	for i := range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = run(ctx, s, socket.Addr().String(), patientEntry)
		}()
		await(t, "one more request at the backend server", func() bool { return arrived.Load() == int64(i+1) })
		cancel()
		<-ended
	}
	is.Equal(maxOpen.Load(), int64(1))
}

// TestConnectionPacing checks that connections are opened no faster than the server can
// accept them.
func TestConnectionPacing(t *testing.T) {
	is := is.New(t)
	const cost, count = 10 * time.Millisecond, 6
	b := newBackend(t)
	s := newSender(t, b.address, count, count, cost)
	began := time.Now()
	var all sync.WaitGroup
	for range count {
		all.Go(func() { _, _ = run(t.Context(), s, b.address, patientEntry) })
	}
	await(t, "all requests at the backend server", func() bool { return b.running.Load() == count })
	took := time.Since(began)
	b.releaseAll()
	all.Wait()
	is.True(took >= (count-1)*cost) // one after the other, each at least cost after the one before
}

// TestRefusedConnectionsDoNotCount checks that connections that could not be opened do
// not use up the limit.
func TestRefusedConnectionsDoNotCount(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	is.NoErr(socket.Close())
	s := newSender(t, address, 2, 2, 0)
	for range 10 {
		sent, err := run(t.Context(), s, address, patientEntry)
		is.True(err != nil)
		is.True(!sent)
	}
	is.Equal(s.Stats().Connections, 0)
	is.Equal(s.Stats().InFlight, 0)
}

// TestCancelWhileAdmitted cancels a waiting request at the moment when the gate may admit
// it. No slot may leak, whichever comes first.
func TestCancelWhileAdmitted(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	b.releaseAll()
	s := newSender(t, b.address, 1, 1, 0)
	for i := range 300 {
		first, err := s.Admit(t.Context(), patientEntry)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		admitted := make(chan *sender.Ticket, 1)
		go func() {
			ticket, _ := s.Admit(ctx, patientEntry)
			admitted <- ticket
		}()
		await(t, "a waiting request", func() bool { return s.Stats().Waiting == 1 })
		go cancel()
		for range i % 7 {
			runtime.Gosched()
		}
		first.Finish(flow.VerdictGood, time.Millisecond)
		if ticket := <-admitted; ticket != nil {
			ticket.Finish(flow.VerdictGood, time.Millisecond)
		}
		is.Equal(s.Stats().InFlight, 0)
		is.Equal(s.Stats().Waiting, 0)
	}
}

// restartCounter is a limiter that counts the observed restarts of the backend server.
type restartCounter struct {
	flow.Limiter
	count atomic.Int64
}

func (r *restartCounter) Observe(now, started flow.Time, latency time.Duration, inFlight int, verdict flow.Verdict) {
	if verdict == flow.VerdictRefused {
		r.count.Add(1)
	}
	r.Limiter.Observe(now, started, latency, inFlight, verdict)
}

// TestRestartDetection checks that a restart is detected when the server has closed all
// connections that were open before, although a new one may already lead to the new
// process.
func TestRestartDetection(t *testing.T) {
	cases := map[string]struct {
		closed      int  // connections that the server closes, of two
		openBetween bool // another connection is opened after the first close
		want        int64
	}{
		"both closed is a restart":                           {2, false, 1},
		"both closed and one opened in between is a restart": {2, true, 1},
		"one closed is no restart":                           {1, false, 0},
		"one closed and another opened is no restart":        {1, true, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t)
			counter := &restartCounter{Limiter: newLimiter(t, 3)}
			s := newSenderWith(counter, b.address, 3, 3, 0)
			start := func(running int64) {
				go func() { _, _ = run(t.Context(), s, b.address, patientEntry) }()
				await(t, "one more request at the backend server", func() bool { return b.running.Load() == running })
			}
			start(1)
			start(2)
			var conns []net.Conn
			b.opened.Range(func(conn, _ any) bool {
				conns = append(conns, conn.(net.Conn))
				return true
			})
			for i, conn := range conns[:tc.closed] {
				remaining := b.running.Load() - 1
				_ = conn.Close()
				await(t, "the end of its request", func() bool { return b.running.Load() == remaining && s.Stats().InFlight == int(remaining) })
				if tc.openBetween && i == 0 {
					start(remaining + 1)
				}
			}
			is.Equal(counter.count.Load(), tc.want)
		})
	}
}
