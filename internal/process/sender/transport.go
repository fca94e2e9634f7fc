// The HTTP transport to the backend server.

package sender

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// dialTimeout bounds the time to open a connection to the server.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 10 * time.Second
	// maxResponseHeaderBytes bounds the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// closeNoticeDelay is how long a server may take to notice that a connection was
	// closed and to stop the request on it. Until then the slot and the connection
	// count as used.
	closeNoticeDelay = 25 * time.Millisecond
	// minOpenRetryDelay is the minimum wait between two attempts to acquire a
	// connection from the gate.
	minOpenRetryDelay = time.Millisecond
)

func newTransport(s *Sender, slots int) *validator.Transport {
	return &validator.Transport{Base: &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    slots,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Send sends an admitted request and returns the response with its body unread. Once a
// connection is available, guard is called; if it returns false, nothing is sent. On an
// error of step "send" with the server as peer, sent reports whether the server may have
// received any byte of the request. If sent is false, the request did not run, and may be
// sent again.
func (t *Ticket) Send(request *http.Request, guard func() bool) (response *http.Response, sent bool, err error) {
	t.attempt = &sealer.Attempt{Guard: guard}
	request = request.WithContext(t.attempt.Trace(request.Context()))
	response, err = t.sender.transport.RoundTrip(request)
	if err != nil {
		t.sent = !t.attempt.Seal()
		return nil, t.sent, flow.Wrap("send", t.sender.serverName, err)
	}
	t.sent = true
	if response.Close {
		t.attempt.ExpectClose()
	}
	return response, true, nil
}

// RecordOwnResponse records that the response was certainly that to this request, and that
// no copy of it can be taken for the response to another.
func (t *Ticket) RecordOwnResponse() { t.attempt.RecordOwnResponse() }

// AllEarlierAttributed reports whether no response to an earlier request on the connection
// can have been taken for the response to this one.
func (t *Ticket) AllEarlierAttributed() bool { return t.attempt.AllEarlierAttributed() }

// CloseConnection closes the connection of the response, so that it is not reused. It
// reports whether the server may have received any byte of the request.
func (t *Ticket) CloseConnection() (sent bool) {
	t.sent = !t.attempt.Seal()
	return t.sent
}

// dial opens a connection once the gate allows one.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := s.awaitConnection(ctx); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		s.releaseConnection()
		return nil, err
	}
	number := s.addConnection()
	return sealer.NewConn(conn, func(byServer bool) { s.connectionClosed(number, byServer) }), nil
}

// awaitConnection waits until the gate allows one more connection or ctx ends.
func (s *Sender) awaitConnection(ctx context.Context) error {
	for {
		wait, ok := s.acquireConnection()
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

// acquireConnection reports whether the gate allows a connection now. If not, it returns
// how long to wait before the next try.
func (s *Sender) acquireConnection() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.gate.AcquireConnection(now) {
		return 0, true
	}
	return max(s.gate.NextConnectionTime(now).Sub(now), minOpenRetryDelay), false
}

func (s *Sender) addConnection() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections.add()
}

// connectionClosed records the end of a connection. A restarted server may be cold, so
// the gate is told of a restart.
func (s *Sender) connectionClosed(number uint64, byServer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.connections.remove(now, number, byServer) {
		s.gate.Restarted(now)
	}
	time.AfterFunc(closeNoticeDelay, s.releaseConnection)
}

// releaseConnection tells the gate that a connection no longer counts.
func (s *Sender) releaseConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ReleaseConnection(s.clock.Now())
}
