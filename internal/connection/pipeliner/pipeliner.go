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

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// readAhead limits the requests of one connection that are read before the first is
	// answered.
	readAhead = 32
	// bodyTimeout bounds reading the body of a request.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds writing a response, in case the caller does not read it.
	writeTimeout = 15 * time.Second
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

// Handler returns the response to a request, whose body has been read. The context ends
// when the caller closes the connection. The response has no body, or one with a known
// end. If its field Close is set, the connection is closed after it. If the response is
// nil, the connection is closed without one.
type Handler func(ctx context.Context, request *http.Request, body []byte) *http.Response

// Server serves the connections of callers.
type Server struct {
	Handle Handler
	Limits func() flow.CallerLimits                     // the limits in force now
	Refuse func(status int, cause error) *http.Response // the response to an unreadable request
	Log    logr.Logger

	closing    atomic.Bool // close each connection after its last response
	draining   atomic.Bool // read no further requests
	goroutines sync.WaitGroup
	mu         sync.Mutex
	conns      map[*conn]struct{}
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
		request, body, err := c.readRequest()
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
			return
		}
		ex := &exchange{request: request, response: make(chan *http.Response, 1), last: request.Close}
		c.exchanges <- ex
		go func() { ex.response <- c.server.Handle(c.ctx, request, body) }()
		if ex.last {
			c.awaitClose()
			return
		}
	}
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

func (e *statusError) Error() string { return e.err.Error() }

// readRequest reads one request with its body. The error is errCallerLeft if the caller
// closed the connection or did not send all of the request, errEnding if the server reads
// no further request, and a *statusError if the request is to be refused.
func (c *conn) readRequest() (*http.Request, []byte, error) {
	limits := withDefaults(c.server.Limits())
	c.limited.N = int64(limits.HeaderBytes) + int64(c.reader.Size())
	if c.pending.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout + idleMargin))
	} else {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil, errCallerLeft
	}
	// The request is pending from its first byte on, so that a shutdown waits for it.
	if !c.begin() {
		return nil, nil, errEnding
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, c.headError(err)
	}
	if request.Header.Get("Expect") != "" {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, errCallerLeft
		}
	}
	request.RemoteAddr = c.raw.RemoteAddr().String()
	body, err := c.readBody(request, int64(limits.BodyBytes))
	return request, body, err
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

func (c *conn) readBody(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > limit {
		return nil, &statusError{http.StatusRequestEntityTooLarge, errors.New("the body is too long")}
	}
	c.limited.N = 2*limit + defaultHeaderBytes // leaves room for the framing of chunks
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, errCallerLeft // an incomplete request must not run
	}
	if int64(len(body)) > limit {
		return nil, &statusError{http.StatusRequestEntityTooLarge, errors.New("the body is too long")}
	}
	return body, nil
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
	ex.response <- c.server.Refuse(status, err)
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
		if c.pending.Add(-1) == 0 {
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
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	writer := bufio.NewWriterSize(c.raw, 4096)
	err := response.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err != nil && untilClose {
		c.resetOnClose()
	}
	return err == nil
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
