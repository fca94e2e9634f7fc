package courier_test

import (
	"context"
	"errors"
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
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const within = 5 * time.Second

var options = framer.Options{Self: framer.Identity{Host: "h"}, Secret: []byte("a secret of 16 bytes"), MaxPayloadBytes: 1 << 20}

// stub is an executor whose decisions a test gives.
type stub struct {
	admit func(ctx context.Context, waiting func()) error
	run   func(ctx context.Context) (*courier.Response, error)
	runs  atomic.Int64
	freed atomic.Int64
}

func (s *stub) Admit(ctx context.Context, _ *courier.Offer, waiting func()) (courier.Slot, error) {
	if s.admit != nil {
		if err := s.admit(ctx, waiting); err != nil {
			return nil, err
		}
	}
	return &stubSlot{s}, nil
}

func (s *stub) Load(string) courier.Load {
	return courier.Load{FreeSlots: 3, QueueWait: time.Second, GrayProbability: 0.25}
}

type stubSlot struct{ *stub }

func (s *stubSlot) Run(ctx context.Context, request *courier.Request) (*courier.Response, error) {
	s.runs.Add(1)
	if s.run != nil {
		return s.run(ctx)
	}
	return whole(string(request.Body)), nil
}

func (s *stubSlot) Release() { s.freed.Add(1) }

func (s *stubSlot) Load() courier.Load { return s.stub.Load("") }

func whole(text string) *courier.Response {
	return &courier.Response{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
}

func refusal(reason flow.Reason) error { return &flow.Refusal{Reason: reason, Detail: "because"} }

// serve starts a server and returns its address and the number of connections
// that it took.
func serve(t *testing.T, executor courier.Executor) (string, *countingListener) {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	counting := &countingListener{Listener: accepting}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := &courier.Server{Options: options, Executor: executor, Log: logr.Discard()}
	go func() { _ = server.Serve(ctx, counting) }()
	return accepting.Addr().String(), counting
}

type countingListener struct {
	net.Listener
	taken atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.taken.Add(1)
	}
	return conn, err
}

func TestRequestAndAnswer(t *testing.T) {
	is := is.New(t)
	executor := &stub{}
	address, connections := serve(t, executor)
	client := courier.NewClient(options)
	for range 3 {
		attempt, err := client.Offer(context.Background(), address, &courier.Offer{ID: "1"}, func() {})
		is.NoErr(err)
		is.Equal(attempt.Load.FreeSlots, 3)
		answer, err := attempt.Run(context.Background(), &courier.Request{Body: []byte("body")})
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(string(body), "body")
	}
	is.Equal(connections.taken.Load(), int64(1)) // it is used again
}

func TestRefusal(t *testing.T) {
	is := is.New(t)
	executor := &stub{admit: func(context.Context, func()) error { return refusal(flow.ReasonBusy) }}
	address, connections := serve(t, executor)
	client := courier.NewClient(options)
	for range 2 {
		_, err := client.Offer(context.Background(), address, &courier.Offer{ID: "1"}, func() {})
		var refused *courier.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Refusal.Reason, flow.ReasonBusy)
		is.Equal(refused.Load.QueueWait, time.Second)
	}
	is.Equal(connections.taken.Load(), int64(1))
	is.Equal(executor.runs.Load(), int64(0))
}

// TestNothingRunsBeforeItsBody gives attempts up at every moment before the body
// is sent: none runs, and every slot is given back.
func TestNothingRunsBeforeItsBody(t *testing.T) {
	cases := map[string]func(t *testing.T, executor *stub, address string){
		"the caller leaves while it waits": func(t *testing.T, executor *stub, address string) {
			ended := make(chan struct{})
			executor.admit = func(ctx context.Context, waiting func()) error {
				waiting()
				<-ctx.Done()
				close(ended)
				return refusal(flow.ReasonCancelled)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := courier.NewClient(options).Offer(ctx, address, &courier.Offer{}, func() {})
			var refused *courier.RefusedError
			is.New(t).True(errors.As(err, &refused))
			is.New(t).True(refused.Refusal.NotRun())
			select {
			case <-ended:
			case <-time.After(within):
				t.Fatal("the request still waits")
			}
		},
		"the attempt is given up after its grant": func(t *testing.T, executor *stub, address string) {
			attempt, err := courier.NewClient(options).Offer(context.Background(), address, &courier.Offer{}, func() {})
			is.New(t).NoErr(err)
			attempt.Abandon()
			for began := time.Now(); executor.freed.Load() == 0; time.Sleep(time.Millisecond) {
				if time.Since(began) > within {
					t.Fatal("the slot is not given back")
				}
			}
		},
		"the daemon never answers the offer": func(t *testing.T, executor *stub, address string) {
			executor.admit = func(ctx context.Context, _ func()) error {
				<-ctx.Done()
				return refusal(flow.ReasonCancelled)
			}
			began := time.Now()
			_, err := courier.NewClient(options).Offer(context.Background(), address, &courier.Offer{}, func() {})
			var refused *courier.RefusedError
			is.New(t).True(errors.As(err, &refused))
			is.New(t).True(refused.Load == nil)
			is.New(t).True(time.Since(began) < 2*time.Second)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			executor := &stub{}
			address, _ := serve(t, executor)
			play(t, executor, address)
			is.New(t).Equal(executor.runs.Load(), int64(0))
		})
	}
}

// TestCallerLeavesWhileItRuns ends what runs at the other daemon.
func TestCallerLeavesWhileItRuns(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	executor := &stub{run: func(ctx context.Context) (*courier.Response, error) {
		<-ctx.Done()
		close(ended)
		return nil, refusal(flow.ReasonServerFailed)
	}}
	address, _ := serve(t, executor)
	ctx, cancel := context.WithCancel(context.Background())
	attempt, err := courier.NewClient(options).Offer(ctx, address, &courier.Offer{}, func() {})
	is.NoErr(err)
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err = attempt.Run(ctx, &courier.Request{})
	refused, ok := flow.AsRefusal(err)
	is.True(ok)
	is.True(!refused.NotRun()) // it may have run
	select {
	case <-ended:
	case <-time.After(within):
		t.Fatal("the request goes on")
	}
}

// TestAnAttemptOutlivesItsOffer ends the offer's context after the grant, as is
// done for requests that must not be cut once they run.
func TestAnAttemptOutlivesItsOffer(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, &stub{})
	ctx, cancel := context.WithCancel(context.Background())
	attempt, err := courier.NewClient(options).Offer(ctx, address, &courier.Offer{}, func() {})
	is.NoErr(err)
	attempt.SetContext(context.Background())
	cancel()
	_, err = attempt.Run(context.Background(), &courier.Request{})
	is.NoErr(err)
}

func TestShortAnswer(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, &stub{run: func(context.Context) (*courier.Response, error) {
		answer := whole("half")
		answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), failing{}))
		return answer, nil
	}})
	attempt, err := courier.NewClient(options).Offer(context.Background(), address, &courier.Offer{}, func() {})
	is.NoErr(err)
	answer, err := attempt.Run(context.Background(), &courier.Request{})
	is.NoErr(err)
	_, err = io.ReadAll(answer.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("the server broke off") }

// TestDaemonStartedAnew offers on a pooled connection to a daemon that has been
// replaced: the offer goes to the new one.
func TestDaemonStartedAnew(t *testing.T) {
	is := is.New(t)
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := accepting.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	old := &courier.Server{Options: options, Executor: &stub{}, Log: logr.Discard()}
	ended := make(chan struct{})
	go func() { _ = old.Serve(ctx, accepting); close(ended) }()
	client := courier.NewClient(options)
	attempt, err := client.Offer(context.Background(), address, &courier.Offer{}, func() {})
	is.NoErr(err)
	answer, err := attempt.Run(context.Background(), &courier.Request{})
	is.NoErr(err)
	_, err = io.ReadAll(answer.Body)
	is.NoErr(err)
	stop()
	<-ended
	accepting, err = net.Listen("tcp", address)
	is.NoErr(err)
	ctx, stop = context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		_ = (&courier.Server{Options: options, Executor: &stub{}, Log: logr.Discard()}).Serve(ctx, accepting)
	}()
	attempt, err = client.Offer(context.Background(), address, &courier.Offer{}, func() {})
	is.NoErr(err)
	attempt.Abandon()
}
