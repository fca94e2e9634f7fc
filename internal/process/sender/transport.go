// The transport to the backend server.

package sender

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// dialTimeout bounds the opening of a connection to the server.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes a connection without requests.
	idleTimeout = 10 * time.Second
	// headerLimit bounds the headers of an answer in bytes.
	headerLimit = 64 << 10
	// noticeTime is how long a server may take to notice that a connection was
	// closed, and to end what ran on it.
	noticeTime = 25 * time.Millisecond
	// openingPoll is the least wait before asking again to open a connection.
	openingPoll = time.Millisecond
)

func newTransport(s *Sender, slots int) *http.Transport {
	return &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    slots,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
	}
}

// Send sends an admitted request and returns the answer's head. Once there is a
// connection, guard is asked whether the request may still run. When there is
// an error, sent reports whether any byte of the request went out; if none did,
// the request certainly did not run.
func (t *Ticket) Send(request *http.Request, guard func() bool) (response *http.Response, sent bool, err error) {
	t.attempt.Guard = guard
	request = request.WithContext(t.attempt.Trace(request.Context()))
	response, err = t.sender.transport.RoundTrip(request)
	if err != nil {
		t.sent = !t.attempt.Seal()
		return nil, t.sent, flow.Wrap("send", t.sender.name, err)
	}
	t.sent = true
	if response.Close {
		t.attempt.ExpectClose()
	}
	return response, true, nil
}

// Drop closes the connection that the answer came on, which must not be used
// again.
func (t *Ticket) Drop() { t.attempt.Seal() }

// dial opens a connection when the gate allows it.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := s.awaitOpening(ctx); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		s.released()
		return nil, err
	}
	number := s.opened()
	return sealer.NewConn(conn, func(byServer bool) { s.closed(number, byServer) }), nil
}

func (s *Sender) awaitOpening(ctx context.Context) error {
	for {
		wait, ok := s.mayOpen()
		if ok {
			return nil
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (s *Sender) mayOpen() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.gate.AcquireConnection(now) {
		return 0, true
	}
	return max(s.gate.NextConnectionTime(now).Sub(now), openingPoll), false
}

func (s *Sender) opened() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections.opened()
}

// closed takes the end of a connection. A server that was restarted may be cold.
func (s *Sender) closed(number uint64, byServer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.connections.closed(now, number, byServer) {
		s.gate.Restarted(now)
	}
	time.AfterFunc(noticeTime, s.released)
}

// released gives the place of a connection back to the gate.
func (s *Sender) released() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ReleaseConnection(s.clock.Now())
}
