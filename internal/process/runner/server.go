// An HTTP server of a daemon, with limits on what untrusted clients can use.

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
	// idleTimeout is how long a connection without requests stays open. It is longer
	// than the idle timeout of daemons and most callers, so that they close first.
	idleTimeout = 60 * time.Second
	// bodyTimeout bounds the time to read one request with its body.
	bodyTimeout = 30 * time.Second
	// drainPollInterval is how often a stopping server checks for open connections.
	drainPollInterval = 10 * time.Millisecond
)

// server is an HTTP server that counts its open connections.
type server struct {
	listener        *limitedListener
	http            *http.Server
	openConnections atomic.Int64
	stopped         chan struct{}
}

func newServer(listener net.Listener, settings parser.TransportSettings) *server {
	s := &server{
		listener: &limitedListener{Listener: listener, slots: make(chan struct{}, settings.ConnectionsLimit)},
		stopped:  make(chan struct{}),
	}
	s.http = &http.Server{
		ReadHeaderTimeout: settings.HeaderTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(settings.HeaderLimit),
		ConnState:         s.trackConnection,
		ErrorLog:          log.New(discardWriter{}, "", 0),
	}
	return s
}

// discardWriter drops the messages of the HTTP server: the metrics already show what
// they say about broken connections of callers.
type discardWriter struct{}

// Write drops a message.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (s *server) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	default:
	}
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return flow.Wrap("serve", s.listener.Addr().String(), err)
}

// drain stops accepting connections, and waits until the open ones are closed or ctx
// ends.
func (s *server) drain(ctx context.Context) {
	_ = s.listener.Close()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.openConnections.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// shutdown closes idle connections and waits for running requests. When ctx ends, it
// closes their connections and returns an error of step "shutdown" with the listener's
// address as peer.
func (s *server) shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) { // drain closed the listener before
		err = nil
	}
	if err != nil {
		_ = s.http.Close()
	}
	return flow.Wrap("shutdown", s.listener.Addr().String(), err)
}

// limitedListener bounds the number of open connections. It closes any connection
// beyond the limit right after accepting it.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept returns the next connection for which there is a slot.
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
