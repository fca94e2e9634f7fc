// Package pipeliner serves HTTP/1.1 with pipelining: a caller may send further requests
// before the first is answered. Requests are read ahead, run concurrently, and answered in
// the order in which they came. The server notices at once when a caller closes its
// connection, also while requests run.
//
// The server of net/http reads a request only after it has answered the previous one, so
// that pipelined requests would run one after the other.
package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/budgeter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// readAhead limits the requests of one connection that are read before the first is
	// answered.
	readAhead = 32
	// maxAhead limits the requests of all connections that are handled although an earlier
	// one of their connection has no response yet. Each of them may hold several connections to
	// other daemons and a response.
	maxAhead = 64
	// writeTimeout bounds the time in which a caller reads nothing of a response.
	writeTimeout = 15 * time.Second
	// minWriteRate is the rate, in bytes per second, that a caller has to read a response at
	// after writeTimeout.
	minWriteRate = 16 << 10
	// lingerTime is how long the server reads on after the last response of a connection.
	// Closing a connection with unread data resets it, and the caller could lose the
	// response.
	lingerTime = 500 * time.Millisecond
	// idleMargin is added to the idle timeout, which callers may rely on.
	idleMargin = time.Second
	// The defaults apply where Server.Limits sets no limit, for example before there
	// is a configuration.
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// Handler returns the response to a request, whose body has been read and must not be used
// after the handler has returned. The context ends
// when the caller closes the connection. The response has no body, or one with a known
// end. If its field Close is set, the connection is closed after it. If the response is
// nil, the connection is closed without one.
type Handler func(ctx context.Context, request *http.Request, body flow.Body) *http.Response

// Server serves the connections of callers.
type Server struct {
	Handle Handler
	Limits func() flow.CallerLimits                     // the limits in force now
	Refuse func(status int, cause error) *http.Response // the response to an unreadable request
	Log    logr.Logger
	Budget *budgeter.Budget // of the memory for bodies; nil for no limit
	// Screen is called before the body of a request is read, unless the body is small. It
	// may be nil.
	Screen func(ctx context.Context, request *http.Request) Screening

	closing    atomic.Bool // close each connection after its last response
	draining   atomic.Bool // read no further requests
	goroutines sync.WaitGroup
	mu         sync.Mutex
	conns      map[*conn]struct{}
	ahead      int // requests that are handled ahead of their turn
	drainCtx   context.Context
	drain      context.CancelFunc
}

// drained returns a context that ends with Drain.
func (s *Server) drained() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainCtx == nil {
		s.drainCtx, s.drain = context.WithCancel(context.Background())
	}
	return s.drainCtx
}

// Serve accepts connections until the listener is closed. It does not wait for them to end.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "accept failed", "step", "accept-caller")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.goroutines.Go(func() { s.serve(accepted) })
	}
}

// DisableKeepAlives makes the server close each connection after the response to the last
// request that it has begun to read.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Drain makes the server read no further requests. Those that have begun to arrive are
// answered, and each connection is closed after the last one.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.closing.Store(true)
	_ = s.drained()
	s.drain()
}

// CloseIdle closes the connections without a pending request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 {
			_ = c.raw.Close()
		}
	}
}

// Pending returns the number of requests that have begun to arrive and are not answered.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := 0
	for c := range s.conns {
		pending += int(c.pending.Load())
	}
	return pending
}

// conn is one connection of a caller.
type conn struct {
	server    *Server
	raw       net.Conn
	reader    *bufio.Reader
	limited   *io.LimitedReader // below reader; limits the size of a request
	pending   atomic.Int64      // requests that have begun to arrive and are not answered
	exchanges chan *exchange    // in the order of their requests
	answered  chan struct{}     // receives when a response has been written
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	ending bool // no further request is read
}

// exchange is one request and its response.
type exchange struct {
	request  *http.Request
	response chan *http.Response
	last     bool // no further request is read
}

func (s *Server) serve(raw net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	limited := &io.LimitedReader{R: raw}
	c := &conn{
		server:    s,
		raw:       raw,
		limited:   limited,
		reader:    bufio.NewReader(limited),
		exchanges: make(chan *exchange, readAhead),
		answered:  make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()

	var writing sync.WaitGroup
	writing.Go(c.writeResponses)
	c.readRequests()
	close(c.exchanges)
	writing.Wait()
	cancel()
	_ = raw.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// readRequests reads requests until the caller closes the connection, a request cannot be
// read, or a request asks to close the connection. If the caller closes it, the running
// requests are cancelled.
func (c *conn) readRequests() {
	for {
		in, err := c.readRequest()
		if errors.Is(err, errEnding) {
			if c.pending.Load() > 0 {
				c.awaitClose()
			}
			return
		}
		if errors.Is(err, errCallerLeft) {
			c.cancel() // also if the last request is incomplete
			return
		}
		if err != nil {
			c.refuse(err)
			c.discardRest()
			return
		}
		ex := &exchange{request: in.request, response: make(chan *http.Response, 1), last: in.request.Close}
		c.exchanges <- ex
		isAhead := c.awaitTurn()
		go func() {
			response := in.handle(c.ctx, in.request, in.body)
			c.release(in)
			if isAhead {
				c.server.countAhead(-1)
			}
			ex.response <- response
		}()
		if ex.last {
			c.awaitClose()
			return
		}
	}
}

// awaitTurn returns once a request may be handled, and reports whether it counts as handled
// ahead of its turn.
func (c *conn) awaitTurn() (isAhead bool) {
	for c.pending.Load() > 1 {
		if c.server.countAhead(1) {
			return true
		}
		select {
		case <-c.answered:
		case <-c.ctx.Done():
			return false
		}
	}
	return false
}

// countAhead counts a request that is handled ahead of its turn, and reports false if there
// are too many.
func (s *Server) countAhead(delta int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ahead+delta > maxAhead {
		return false
	}
	s.ahead += delta
	return true
}

// discardRest discards what follows a request that was refused before it was read whole.
// Closing the connection with unread data would reset it, and the caller could lose the
// response.
func (c *conn) discardRest() {
	c.limited.N = int64(withDefaults(c.server.Limits()).BodyBytes)
	_, _ = io.Copy(io.Discard, c.reader)
}

// awaitClose waits until the caller closes the connection or all responses are written. It
// discards what the caller sends after its last request.
func (c *conn) awaitClose() {
	_ = c.raw.SetReadDeadline(time.Time{})
	c.limited.N = 1 << 20
	_, err := io.Copy(io.Discard, c.reader)
	if c.pending.Load() > 0 && (err != nil || c.limited.N > 0) {
		c.cancel()
	}
}

var (
	errCallerLeft = errors.New("the caller has left")
	errEnding     = errors.New("no further request is read")
)

// begin counts a request that has begun to arrive as pending. It reports false if the
// request is not to be read.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.server.draining.Load() {
		return false
	}
	c.pending.Add(1)
	return true
}

// endsNow reports whether the connection ends with the response that is about to be
// written, because the server shuts down and no other request has begun to arrive.
func (c *conn) endsNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.ending || c.server.closing.Load() && c.pending.Load() == 1
	return c.ending
}

// statusError is the error of a request that is refused before it is handled.
type statusError struct {
	status int
	err    error
}

// Error implements error.
func (e *statusError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *statusError) Unwrap() error { return e.err }

// readRequest reads one request with its body. The error is errCallerLeft if the caller
// closed the connection or did not send all of the request, errEnding if the server reads
// no further request, and a *statusError if the request is to be refused.
func (c *conn) readRequest() (*incoming, error) {
	limits := withDefaults(c.server.Limits())
	c.limited.N = int64(limits.HeaderBytes) + int64(c.reader.Size())
	if c.pending.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout + idleMargin))
	} else {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errCallerLeft
	}
	// The request is pending from its first byte on, so that a shutdown waits for it.
	if !c.begin() {
		return nil, errEnding
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.headError(err)
	}
	if err := validator.CheckNames(request.Header); err != nil {
		return nil, &statusError{http.StatusBadRequest, err}
	}
	if !request.ProtoAtLeast(1, 1) {
		request.Close = true // net/http removes the field for a coding of the body, which may follow
	}
	request.RemoteAddr = c.raw.RemoteAddr().String()
	in := &incoming{request: request, handle: c.server.Handle}
	if err := c.readBody(in, int64(limits.BodyBytes)); err != nil {
		c.release(in)
		return nil, err
	}
	return in, nil
}

// headError classifies an error of reading the head of a request.
func (c *conn) headError(err error) error {
	var timeout net.Error
	switch {
	case c.limited.N <= 0:
		return &statusError{http.StatusRequestHeaderFieldsTooLarge, errors.New("the head of the request is too long")}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &statusError{http.StatusRequestTimeout, errors.New("the head of the request did not come in time")}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return errCallerLeft
	}
	return &statusError{http.StatusBadRequest, err}
}

// refuse responds to a request that could not be read, after the responses to the earlier
// requests.
func (c *conn) refuse(err error) {
	status := http.StatusBadRequest
	var refused *statusError
	if errors.As(err, &refused) {
		status = refused.status
	}
	c.server.Log.Info("request could not be read", "step", "read-request", "peer", c.raw.RemoteAddr().String(), "cause", err.Error())
	ex := &exchange{response: make(chan *http.Response, 1), last: true}
	var screened *refusedError
	if errors.As(err, &screened) {
		ex.response <- screened.response
	} else {
		ex.response <- c.server.Refuse(status, err)
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	c.exchanges <- ex
}

// writeResponses writes the responses in the order of their requests.
func (c *conn) writeResponses() {
	defer c.cancel()
	for ex := range c.exchanges {
		response := <-ex.response
		if response == nil || !c.write(ex, response) {
			_ = c.raw.Close()
			c.abandon()
			return
		}
		pending := c.pending.Add(-1)
		select {
		case c.answered <- struct{}{}:
		default:
		}
		if pending == 0 {
			limits := withDefaults(c.server.Limits())
			_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout + idleMargin))
		}
		if response.Close {
			c.linger()
			c.abandon()
			return
		}
	}
}

// write writes one response, and reports whether all of it was written.
func (c *conn) write(ex *exchange, response *http.Response) bool {
	if response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	response.ProtoMajor, response.ProtoMinor = 1, 1
	response.Request = ex.request
	response.Close = response.Close || ex.last || c.endsNow()
	untilClose := markEnd(response)
	writer := bufio.NewWriterSize(&pacedWriter{conn: c.raw, began: time.Now()}, 4096)
	err := response.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil && untilClose {
		c.resetOnClose()
	}
	return err == nil
}

// pacedWriter writes a response as long as the caller reads it.
type pacedWriter struct {
	conn    net.Conn
	began   time.Time
	written int64
}

// Write implements io.Writer.
func (w *pacedWriter) Write(p []byte) (int, error) {
	slowest := w.began.Add(writeTimeout + time.Duration(w.written/minWriteRate)*time.Second)
	_ = w.conn.SetWriteDeadline(earlier(time.Now().Add(writeTimeout), slowest))
	n, err := w.conn.Write(p)
	w.written += int64(n)
	return n, err
}

// markEnd makes the end of a body of unknown length recognizable, by chunks or, for callers
// that do not know these, by the end of the connection. It reports whether it is the latter.
func markEnd(response *http.Response) (untilClose bool) {
	if response.ContentLength >= 0 || response.Body == nil || response.Body == http.NoBody {
		return false
	}
	if response.Request != nil && response.Request.ProtoAtLeast(1, 1) {
		response.TransferEncoding = []string{"chunked"}
		return false
	}
	response.Close = true
	return true
}

// resetOnClose makes the close of the connection a reset, so that a caller does not take it
// for the end of a body.
func (c *conn) resetOnClose() {
	if resetter, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = resetter.SetLinger(0)
	}
}

// linger closes the connection for writing and lets readRequests read on until the caller
// closes it, for lingerTime at most.
func (c *conn) linger() {
	if halfCloser, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	time.AfterFunc(lingerTime, func() { _ = c.raw.Close() })
}

// abandon cancels the requests of the connection and drops their responses. Requests that
// were read after the one whose response closes the connection count as not read.
func (c *conn) abandon() {
	c.cancel()
	time.AfterFunc(lingerTime, func() { _ = c.raw.Close() })
	for ex := range c.exchanges {
		response := <-ex.response
		if response != nil && response.Body != nil {
			_ = response.Body.Close()
		}
		c.pending.Add(-1)
	}
}

func withDefaults(limits flow.CallerLimits) flow.CallerLimits {
	return flow.CallerLimits{
		HeaderBytes:   orDefault(limits.HeaderBytes, defaultHeaderBytes),
		BodyBytes:     orDefault(limits.BodyBytes, defaultBodyBytes),
		HeaderTimeout: time.Duration(orDefault(int(limits.HeaderTimeout), int(defaultHeaderTimeout))),
		IdleTimeout:   time.Duration(orDefault(int(limits.IdleTimeout), int(defaultIdleTimeout))),
	}
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
