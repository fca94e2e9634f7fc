package transporter_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const waitLimit = 5 * time.Second

var options = framer.Options{Self: framer.Identity{Host: "h"}, Secret: []byte("a secret of 16 bytes"), MaxPayloadBytes: 1 << 20}

// stubExecutor is an executor whose decisions a test sets. By default it grants every
// offer and responds with the body of the request.
type stubExecutor struct {
	admit    func(ctx context.Context, onQueued func()) error
	run      func(ctx context.Context) (*transporter.Answer, error)
	stream   func(body io.ReadCloser) (*transporter.Answer, error) // runs requests with large bodies
	runs     atomic.Int64
	released atomic.Int64
}

func (s *stubExecutor) Admit(ctx context.Context, _ *transporter.Offer, onQueued func()) (transporter.Slot, error) {
	if s.admit != nil {
		if err := s.admit(ctx, onQueued); err != nil {
			return nil, err
		}
	}
	return &stubSlot{s}, nil
}

func (s *stubExecutor) Load(string) transporter.Load {
	return transporter.Load{FreeSlots: 3, QueueWait: time.Second, GrayProbability: 0.25}
}

type stubSlot struct{ *stubExecutor }

func (s *stubSlot) Run(ctx context.Context, request *transporter.Request) (*transporter.Answer, error) {
	s.runs.Add(1)
	if request.Stream != nil {
		return s.stream(request.Stream.Open())
	}
	if s.run != nil {
		return s.run(ctx)
	}
	return completeAnswer(string(request.Body)), nil
}

func (s *stubSlot) Release() { s.released.Add(1) }

func (s *stubSlot) Load() transporter.Load { return s.stubExecutor.Load("") }

func completeAnswer(text string) *transporter.Answer {
	return &transporter.Answer{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
}

func refuse(reason flow.Reason) error {
	return &flow.Refusal{Reason: reason, Detail: "refused by the test"}
}

// serve starts a server, and returns its address and the listener that counts its
// connections.
func serve(t *testing.T, executor transporter.Executor) (string, *countingListener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	counter := &countingListener{Listener: listener}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := &transporter.Server{Options: options, Executor: executor, Log: logr.Discard()}
	go func() { _ = server.Serve(ctx, counter) }()
	return listener.Addr().String(), counter
}

type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func TestConnectionIsReusedAfterResponse(t *testing.T) {
	is := is.New(t)
	executor := &stubExecutor{}
	address, connections := serve(t, executor)
	client := transporter.NewClient(options, nil)
	for range 3 {
		attempt, err := client.Offer(context.Background(), address, &transporter.Offer{ID: "1"}, func() {})
		is.NoErr(err)
		is.Equal(attempt.Load.FreeSlots, 3)
		answer, err := attempt.Run(context.Background(), &transporter.Request{Body: []byte("body")})
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(string(body), "body")
	}
	is.Equal(connections.accepted.Load(), int64(1))
}

func TestConnectionIsReusedAfterRefusal(t *testing.T) {
	is := is.New(t)
	executor := &stubExecutor{admit: func(context.Context, func()) error { return refuse(flow.ReasonBusy) }}
	address, connections := serve(t, executor)
	client := transporter.NewClient(options, nil)
	for range 2 {
		_, err := client.Offer(context.Background(), address, &transporter.Offer{ID: "1"}, func() {})
		var refused *transporter.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Refusal.Reason, flow.ReasonBusy)
		is.Equal(refused.Load.QueueWait, time.Second)
	}
	is.Equal(connections.accepted.Load(), int64(1))
	is.Equal(executor.runs.Load(), int64(0))
}

// TestAbandonedOfferDoesNotRun ends offers and attempts at each step before the request is
// sent. None may run, and a granted slot must be released.
func TestAbandonedOfferDoesNotRun(t *testing.T) {
	cases := map[string]func(t *testing.T, executor *stubExecutor, address string){
		"context ends while the offer is queued": func(t *testing.T, executor *stubExecutor, address string) {
			ended := make(chan struct{})
			executor.admit = func(ctx context.Context, onQueued func()) error {
				onQueued()
				<-ctx.Done()
				close(ended)
				return refuse(flow.ReasonCancelled)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := transporter.NewClient(options, nil).Offer(ctx, address, &transporter.Offer{}, func() {})
			var refused *transporter.RefusedError
			is.New(t).True(errors.As(err, &refused))
			is.New(t).True(refused.Refusal.NotRun())
			select {
			case <-ended:
			case <-time.After(waitLimit):
				t.Fatal("the offer is still queued")
			}
		},
		"attempt is abandoned after the grant": func(t *testing.T, executor *stubExecutor, address string) {
			attempt, err := transporter.NewClient(options, nil).Offer(context.Background(), address, &transporter.Offer{}, func() {})
			is.New(t).NoErr(err)
			attempt.Abandon()
			for began := time.Now(); executor.released.Load() == 0; time.Sleep(time.Millisecond) {
				if time.Since(began) > waitLimit {
					t.Fatal("the slot is not released")
				}
			}
		},
		"daemon does not answer the offer": func(t *testing.T, executor *stubExecutor, address string) {
			executor.admit = func(ctx context.Context, _ func()) error {
				<-ctx.Done()
				return refuse(flow.ReasonCancelled)
			}
			began := time.Now()
			_, err := transporter.NewClient(options, nil).Offer(context.Background(), address, &transporter.Offer{}, func() {})
			var refused *transporter.RefusedError
			is.New(t).True(errors.As(err, &refused))
			is.New(t).True(refused.Load == nil)
			is.New(t).True(time.Since(began) < 2*time.Second)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			executor := &stubExecutor{}
			address, _ := serve(t, executor)
			run(t, executor, address)
			is.New(t).Equal(executor.runs.Load(), int64(0))
		})
	}
}

// TestEndOfContextCancelsRunningRequest checks that the other daemon cancels a request
// when the context of its attempt ends.
func TestEndOfContextCancelsRunningRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	executor := &stubExecutor{run: func(ctx context.Context) (*transporter.Answer, error) {
		<-ctx.Done()
		close(ended)
		return nil, refuse(flow.ReasonServerFailed)
	}}
	address, _ := serve(t, executor)
	ctx, cancel := context.WithCancel(context.Background())
	attempt, err := transporter.NewClient(options, nil).Offer(ctx, address, &transporter.Offer{}, func() {})
	is.NoErr(err)
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err = attempt.Run(ctx, &transporter.Request{})
	refused, ok := flow.AsRefusal(err)
	is.True(ok)
	is.True(!refused.NotRun())
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the request is still running")
	}
}

// TestSetContextReplacesContextOfOffer ends the offer's context after the grant, as
// happens to requests that must not be cancelled once they run.
func TestSetContextReplacesContextOfOffer(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, &stubExecutor{})
	ctx, cancel := context.WithCancel(context.Background())
	attempt, err := transporter.NewClient(options, nil).Offer(ctx, address, &transporter.Offer{}, func() {})
	is.NoErr(err)
	attempt.SetContext(context.Background())
	cancel()
	_, err = attempt.Run(context.Background(), &transporter.Request{})
	is.NoErr(err)
}

func TestIncompleteBodyIsUnexpectedEOF(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, &stubExecutor{run: func(context.Context) (*transporter.Answer, error) {
		answer := completeAnswer("half")
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
		return answer, nil
	}})
	attempt, err := transporter.NewClient(options, nil).Offer(context.Background(), address, &transporter.Offer{}, func() {})
	is.NoErr(err)
	answer, err := attempt.Run(context.Background(), &transporter.Request{})
	is.NoErr(err)
	_, err = io.ReadAll(answer.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, errors.New("the backend server closed the connection")
}

// TestOfferAfterRestartOfDaemon offers on a pooled connection to a daemon that has been
// restarted. The offer must reach the new process.
func TestOfferAfterRestartOfDaemon(t *testing.T) {
	is := is.New(t)
	// An address of its own: on 127.0.0.1 another test may take the port before the restart.
	listener, err := net.Listen("tcp", "127.0.45.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	old := &transporter.Server{Options: options, Executor: &stubExecutor{}, Log: logr.Discard()}
	ended := make(chan struct{})
	go func() { _ = old.Serve(ctx, listener); close(ended) }()
	client := transporter.NewClient(options, nil)
	attempt, err := client.Offer(context.Background(), address, &transporter.Offer{}, func() {})
	is.NoErr(err)
	answer, err := attempt.Run(context.Background(), &transporter.Request{})
	is.NoErr(err)
	_, err = io.ReadAll(answer.Body)
	is.NoErr(err)
	stop()
	<-ended
	listener, err = net.Listen("tcp", address)
	is.NoErr(err)
	ctx, stop = context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		_ = (&transporter.Server{Options: options, Executor: &stubExecutor{}, Log: logr.Discard()}).Serve(ctx, listener)
	}()
	attempt, err = client.Offer(context.Background(), address, &transporter.Offer{}, func() {})
	is.NoErr(err)
	attempt.Abandon()
}

// TestMalformedMessageClosesItsConnection checks that a malformed message of one daemon
// closes its connection and has no effect on others. Deeply nested input once overflowed
// the stack, which ends the process.
func TestMalformedMessageClosesItsConnection(t *testing.T) {
	cases := map[string][]byte{
		"nested deeply in an unknown field": append([]byte{0x81, 0xa1, 'u'}, bytes.Repeat([]byte{0x91}, 8<<20)...),
		"table of an impossible size":       {0x81, 0xa1, 'h', 0xdf, 0xff, 0xff, 0xff, 0xff},
		"not msgpack":                       {0xc1},
	}
	for name, malformed := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			large := options
			large.MaxPayloadBytes = 80 << 20
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &transporter.Server{Options: large, Executor: &stubExecutor{}, Log: logr.Discard()}
			go func() { _ = server.Serve(t.Context(), listener) }()

			raw, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			conn, err := framer.Client(raw, large)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.Write(malformed))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(waitLimit)))
			_, err = conn.Read()
			is.True(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET))

			attempt, err := transporter.NewClient(large, nil).Offer(t.Context(), listener.Addr().String(), &transporter.Offer{ID: "1"}, func() {})
			is.NoErr(err)
			answer, err := attempt.Run(t.Context(), &transporter.Request{Body: []byte("body")})
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
		})
	}
}

// TestPanicEndsOneOfferOnly checks that an unexpected error while one offer or request is
// served closes its connection, releases its slot, and has no effect on others.
func TestPanicEndsOneOfferOnly(t *testing.T) {
	cases := map[string]struct {
		executor func(panics *atomic.Bool) *stubExecutor
		released int64
	}{
		"decision on the offer": {func(panics *atomic.Bool) *stubExecutor {
			return &stubExecutor{admit: func(context.Context, func()) error { return panicOnce(panics) }}
		}, 0},
		"run of the request": {func(panics *atomic.Bool) *stubExecutor {
			return &stubExecutor{run: func(context.Context) (*transporter.Answer, error) {
				return completeAnswer("body"), panicOnce(panics)
			}}
		}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			panics := &atomic.Bool{}
			panics.Store(true)
			executor := tc.executor(panics)
			address, _ := serve(t, executor)
			client := transporter.NewClient(options, nil)
			is.True(offerAndRun(t, client, address) != nil)
			is.Equal(executor.released.Load(), tc.released)
			is.NoErr(offerAndRun(t, client, address))
		})
	}
}

func panicOnce(panics *atomic.Bool) error {
	if panics.Swap(false) {
		panic("injected by the test")
	}
	return nil
}

func offerAndRun(t *testing.T, client *transporter.Client, address string) error {
	t.Helper()
	attempt, err := client.Offer(t.Context(), address, &transporter.Offer{ID: "1"}, func() {})
	if err != nil {
		return err
	}
	answer, err := attempt.Run(t.Context(), &transporter.Request{Body: []byte("body")})
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// startPausingRelay forwards connections to a target, and holds back all bytes, in both
// directions, while paused is set.
func startPausingRelay(t *testing.T, target string) (address string, paused *atomic.Bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	paused = &atomic.Bool{}
	forward := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			for paused.Load() {
				time.Sleep(5 * time.Millisecond)
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go forward(server, client)
			go forward(client, server)
		}
	}()
	return listener.Addr().String(), paused
}

// TestSilentDaemonIsWaitedFor has a host fall silent for some seconds while a request
// runs there, as when it freezes. A request that cannot be sent elsewhere gets the
// response that the server made; giving it up would lose it. Any other is given up, so
// that it can be sent elsewhere.
func TestSilentDaemonIsWaitedFor(t *testing.T) {
	const silence = 2500 * time.Millisecond
	for name, patient := range map[string]bool{"request that cannot be sent elsewhere": true, "request that can": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			executor := &stubExecutor{run: func(context.Context) (*transporter.Answer, error) {
				time.Sleep(300 * time.Millisecond)
				return completeAnswer("body"), nil
			}}
			target, _ := serve(t, executor)
			address, paused := startPausingRelay(t, target)
			attempt, err := transporter.NewClient(options, nil).Offer(t.Context(), address, &transporter.Offer{ID: "1"}, func() {})
			is.NoErr(err)
			attempt.Patient = patient
			time.AfterFunc(100*time.Millisecond, func() { paused.Store(true) })
			time.AfterFunc(100*time.Millisecond+silence, func() { paused.Store(false) })
			answer, err := attempt.Run(t.Context(), &transporter.Request{})
			is.Equal(err == nil, patient)
			is.Equal(executor.runs.Load(), int64(1))
			if err != nil {
				return
			}
			body, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
		})
	}
}
