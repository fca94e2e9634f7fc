// Package listener accepts control connections from other daemons and answers
// their calls.
//
// Each connection is served by one goroutine, which answers its requests in
// order. A connection that fails the handshake, or that sends an oversized or
// malformed frame, is closed and logged; it harms no other.
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
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// idleTimeout closes a connection on which no request came.
	idleTimeout = 60 * time.Second
	// connectionsLimit bounds the open control connections.
	connectionsLimit = 6000
)

var errTooMany = errors.New("too many control connections are open")

// Request is what an endpoint receives: the peer and a decoder of the body.
type Request struct {
	Peer   framer.Identity
	Decode func(target any) error
}

// Listener serves the calls of other daemons.
type Listener struct {
	Options   framer.Options
	Endpoints map[messenger.Call]endpoint.Endpoint // each takes a Request
	Log       logr.Logger

	open     sync.WaitGroup
	failures throttler.Throttler
}

// Serve accepts connections until ctx ends, and returns when all are closed.
func (l *Listener) Serve(ctx context.Context, accepting net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = accepting.Close() })
	defer stop()
	defer l.open.Wait()
	defer cancel()

	slots := make(chan struct{}, connectionsLimit)
	for {
		conn, err := accepting.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return flow.Wrap("accept-control", accepting.Addr().String(), err)
			}
			l.Log.Error(err, "accept failed", "step", "accept-control")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
			l.open.Go(func() {
				defer func() { <-slots }()
				l.serveConn(ctx, conn)
			})
		default:
			l.logFailure(errTooMany, "accept-control", conn.RemoteAddr().String())
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

// answer calls the endpoint of a request and encodes what it returns.
func (l *Listener) answer(ctx context.Context, peer framer.Identity, envelope messenger.Envelope) ([]byte, error) {
	reply := messenger.Envelope{ID: envelope.ID, Call: envelope.Call, Answer: true}
	call, ok := l.Endpoints[envelope.Call]
	if !ok || envelope.Answer {
		reply.ErrorText = "the call is not served here"
		return messenger.Encode(reply, nil)
	}
	request := Request{
		Peer:   peer,
		Decode: func(target any) error { return messenger.DecodeBody(envelope, target) },
	}
	body, err := call(ctx, request)
	if messenger.Error.Has(err) {
		return nil, err
	}
	if err != nil {
		reply.ErrorText = err.Error()
		reply.NotOwner = flow.IsNotOwner(err)
		return messenger.Encode(reply, nil)
	}
	return messenger.Encode(reply, body)
}

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

// logFailure logs why a connection was refused or closed, unless many were of
// late for the same cause.
func (l *Listener) logFailure(err error, step, peer string) {
	if passed, ok := l.failures.Allow(time.Now(), step+": "+causeOf(err)); ok {
		l.Log.Error(err, "control connection closed", "step", step, "peer", peer, "passed-over", passed)
	}
}

// causeOf is the text of the innermost error, without the peer.
func causeOf(err error) string {
	if messenger.Error.Has(err) {
		return "malformed message" // its text may be anything
	}
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}
