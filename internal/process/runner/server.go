// One HTTP server of a daemon, with limits on what a stranger can send.

package runner

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const (
	// idleTimeout closes a connection without requests; it is longer than the
	// idle time after which daemons and most callers close theirs.
	idleTimeout = 60 * time.Second
	// bodyTimeout bounds the reading of one request with its body.
	bodyTimeout = 30 * time.Second
	// drainPoll is how often a stopping server looks at its connections.
	drainPoll = 10 * time.Millisecond
)

// server is one HTTP server that knows how many connections are open.
type server struct {
	accepting *limitedListener
	http      *http.Server
	open      atomic.Int64
	stopped   chan struct{}
}

func newServer(accepting net.Listener, settings parser.TransportSettings) *server {
	s := &server{
		accepting: &limitedListener{Listener: accepting, slots: make(chan struct{}, settings.ConnectionsLimit)},
		stopped:   make(chan struct{}),
	}
	s.http = &http.Server{
		ReadHeaderTimeout: settings.HeaderTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(settings.HeaderLimit),
		ConnState:         s.count,
		ErrorLog:          log.New(discard{}, "", 0),
	}
	return s
}

// discard drops the messages of the HTTP server: broken connections of callers
// say nothing that the metrics do not.
type discard struct{}

// Write drops the message.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

func (s *server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	default:
	}
}

func (s *server) serve() error {
	err := s.http.Serve(s.accepting)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return flow.Wrap("serve", s.accepting.Addr().String(), err)
}

// drain takes no new connections, and waits until the open ones are gone or
// ctx ends.
func (s *server) drain(ctx context.Context) {
	_ = s.accepting.Close()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.open.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// shutdown closes idle connections and waits for running requests until ctx
// ends; then it cuts them.
func (s *server) shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) { // drain has closed the listener
		err = nil
	}
	if err != nil {
		_ = s.http.Close()
	}
	return flow.Wrap("shutdown", s.accepting.Addr().String(), err)
}

// -----------------------------------------------------------------------------

// limitedListener bounds the connections that are open at once: further ones
// are closed.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a connection for which there is a slot.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, slots: l.slots}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	slots  chan struct{}
	closed atomic.Bool
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		<-c.slots
	}
	return c.Conn.Close()
}
