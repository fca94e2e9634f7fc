// Package listener accepts control connections from other daemons and answers their
// calls.
//
// One goroutine serves each connection and answers its requests in order. A connection
// that fails the handshake or sends an oversized or malformed frame is logged and closed,
// without an effect on other connections.
package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/throttler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// idleTimeout is how long a connection without requests is kept.
	idleTimeout = 60 * time.Second
	// maxConnections limits the open control connections.
	maxConnections = 6000
)

var errTooManyConnections = errors.New("too many control connections are open")

// Request is what an endpoint receives.
type Request struct {
	Peer   framer.Identity        // the calling daemon
	Decode func(target any) error // decodes the body into a pointer
}

// Listener serves the calls of other daemons.
//
// If an endpoint returns an error of Request.Decode, the connection is closed. Any other
// error is sent to the calling daemon as the answer.
type Listener struct {
	Options   framer.Options
	Endpoints map[messenger.Call]endpoint.Endpoint // each takes a Request
	Log       logr.Logger

	goroutines   sync.WaitGroup
	logThrottler throttler.Throttler
}

// Serve accepts connections until ctx ends, and returns once all connections are closed.
// It returns an error if the listening socket is closed earlier.
func (l *Listener) Serve(ctx context.Context, tcpListener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = tcpListener.Close() })
	defer stop()
	defer l.goroutines.Wait()
	defer cancel()

	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := tcpListener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return flow.Wrap("accept-control", tcpListener.Addr().String(), err)
			}
			l.Log.Error(err, "accept failed", "step", "accept-control")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
			l.goroutines.Go(func() {
				defer func() { <-slots }()
				l.serveConn(ctx, conn)
			})
		default:
			l.logFailure(errTooManyConnections, "accept-control", conn.RemoteAddr().String())
			_ = conn.Close()
		}
	}
}

// serveConn answers the requests of one connection until it ends.
func (l *Listener) serveConn(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn, err := framer.Server(raw, l.Options)
	if err != nil {
		if ctx.Err() == nil {
			l.logFailure(err, "handshake", raw.RemoteAddr().String())
		}
		return
	}
	defer func() { _ = conn.Close() }()
	for {
		if err := l.serveRequest(ctx, conn); err != nil {
			l.logEnd(ctx, conn, err)
			return
		}
	}
}

func (l *Listener) serveRequest(ctx context.Context, conn *framer.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	payload, err := conn.Read()
	if err != nil {
		return err
	}
	envelope, err := messenger.Decode(payload)
	if err != nil {
		return err
	}
	answer, err := l.answer(ctx, conn.Peer(), envelope)
	if err != nil {
		return err
	}
	return conn.Write(answer)
}

// answer calls the endpoint of a request and encodes its answer or its error. It returns an
// error if the connection has to be closed.
func (l *Listener) answer(ctx context.Context, peer framer.Identity, envelope messenger.Envelope) ([]byte, error) {
	answer := messenger.Envelope{ID: envelope.ID, Call: envelope.Call, Answer: true}
	handle, ok := l.Endpoints[envelope.Call]
	if !ok || envelope.Answer {
		answer.ErrorText = "the call is not served here"
		return messenger.Encode(answer, nil)
	}
	request := Request{
		Peer:   peer,
		Decode: func(target any) error { return messenger.DecodeBody(envelope, target) },
	}
	body, err := l.handle(ctx, handle, request)
	if messenger.Error.Has(err) {
		return nil, err
	}
	if err != nil {
		answer.ErrorText = err.Error()
		answer.NotOwner = flow.IsNotOwner(err)
		return messenger.Encode(answer, nil)
	}
	return messenger.Encode(answer, body)
}

// handle calls an endpoint. If it panics, the connection has to be closed.
func (l *Listener) handle(ctx context.Context, serve endpoint.Endpoint, request Request) (body any, err error) {
	defer recoverer.Recover(l.Log, "serve-control", func() { body, err = nil, messenger.Error.New(recoverer.Cause) })
	return serve(ctx, request)
}

// logEnd logs why a connection ended, unless that was its regular end.
func (l *Listener) logEnd(ctx context.Context, conn *framer.Conn, err error) {
	if ctx.Err() != nil || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	l.logFailure(err, "serve-control", conn.Peer().Host)
}

// logFailure logs why a connection was refused or closed, unless that was already logged
// often for the same cause.
func (l *Listener) logFailure(err error, step, peer string) {
	if suppressed, ok := l.logThrottler.Allow(time.Now(), step+": "+rootCause(err)); ok {
		l.Log.Error(err, "control connection closed", "step", step, "peer", peer, "passed-over", suppressed)
	}
}

// rootCause returns the text of the innermost error, which does not name the peer.
func rootCause(err error) string {
	if messenger.Error.Has(err) {
		return "malformed message" // its text depends on what the peer sent
	}
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}
