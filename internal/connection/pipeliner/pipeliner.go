// Package pipeliner serves HTTP/1.1 to callers who may send further requests
// before the first is answered. Requests are read ahead, run at the same time,
// and answered in the order in which they came. A caller that leaves is noticed
// at once, also while its requests run.
//
// The server of net/http reads a request only after it has answered the one
// before, which keeps a pipelining caller waiting.
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
	// readAhead is the number of requests of one connection that are read before
	// the first is answered.
	readAhead = 32
	// bodyTimeout bounds the reading of one body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the writing of one answer to a caller that does not
	// read.
	writeTimeout = 15 * time.Second
	// lingerTime is how long a connection that is closed after an answer is read
	// on, since closing it with unread bytes would destroy the answer.
	lingerTime = 500 * time.Millisecond
	// idleMargin is kept beyond the idle time that callers may rely on.
	idleMargin = time.Second
	// The limits before there is a configuration.
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// Handler answers one request, whose body has been read. The context ends when
// the caller leaves. The response has no body or one with a known end; its Close
// asks to close the connection after it.
type Handler func(ctx context.Context, request *http.Request, body []byte) *http.Response

// Server serves connections.
type Server struct {
	Handle Handler
	Limits func() flow.CallerLimits // what callers may send, in force now
	Refuse func(status int, cause error) *http.Response
	Log    logr.Logger

	closing atomic.Bool
	open    sync.WaitGroup
	mu      sync.Mutex
	conns   map[*conn]struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(accepting net.Listener) error {
	for {
		accepted, err := accepting.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "accept failed", "step", "accept-caller")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.open.Go(func() { s.serve(accepted) })
	}
}

// DisableKeepAlives makes every further answer close its connection.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// CloseIdle closes the connections on which no request is under way.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 {
			_ = c.raw.Close()
		}
	}
}

// Pending is the number of requests that were read and not answered.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := 0
	for c := range s.conns {
		pending += int(c.pending.Load())
	}
	return pending
}

// -----------------------------------------------------------------------------

// conn is one connection of a caller.
type conn struct {
	server    *Server
	raw       net.Conn
	reader    *bufio.Reader
	bound     *io.LimitedReader // under reader; bounds the head of a request
	pending   atomic.Int64
	exchanges chan *exchange
	ctx       context.Context
	cancel    context.CancelFunc
}

// exchange is one request and its answer.
type exchange struct {
	request *http.Request
	answer  chan *http.Response
	last    bool // nothing is read after it
}

func (s *Server) serve(raw net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	bound := &io.LimitedReader{R: raw}
	c := &conn{
		server:    s,
		raw:       raw,
		bound:     bound,
		reader:    bufio.NewReader(bound),
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
	writing.Go(c.writeAnswers)
	c.readRequests()
	close(c.exchanges)
	writing.Wait()
	cancel()
	_ = raw.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// readRequests reads requests until the caller leaves, one cannot be read, or
// one asks to be the last. When the caller leaves, everything under way ends.
func (c *conn) readRequests() {
	for {
		request, body, err := c.readRequest()
		if errors.Is(err, errLeft) {
			c.cancel() // with what is under way, also a request that did not come whole
			return
		}
		if err != nil {
			c.refuse(err)
			return
		}
		ex := &exchange{request: request, answer: make(chan *http.Response, 1), last: request.Close}
		c.exchanges <- ex
		go func() { ex.answer <- c.server.Handle(c.ctx, request, body) }()
		if ex.last {
			c.awaitLeaving()
			return
		}
	}
}

// awaitLeaving waits until the caller leaves or all answers are written. What it
// sends behind its last request is not read as a request.
func (c *conn) awaitLeaving() {
	_ = c.raw.SetReadDeadline(time.Time{})
	c.bound.N = 1 << 20
	_, err := io.Copy(io.Discard, c.reader)
	if c.pending.Load() > 0 && (err != nil || c.bound.N > 0) {
		c.cancel()
	}
}

var errLeft = errors.New("the caller has left")

// statusError is a request that is refused before it is handled.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }

func (c *conn) readRequest() (*http.Request, []byte, error) {
	limits := withDefaults(c.server.Limits())
	c.bound.N = int64(limits.HeaderBytes) + int64(c.reader.Size())
	if c.pending.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout + idleMargin))
	} else {
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil, errLeft
	}
	// From its first byte on the request is under way: a stop waits for it.
	c.pending.Add(1)
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, c.headError(err)
	}
	if request.Header.Get("Expect") != "" {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, errLeft
		}
	}
	request.RemoteAddr = c.raw.RemoteAddr().String()
	body, err := c.readBody(request, int64(limits.BodyBytes))
	return request, body, err
}

func (c *conn) headError(err error) error {
	var timeout net.Error
	switch {
	case c.bound.N <= 0:
		return &statusError{http.StatusRequestHeaderFieldsTooLarge, errors.New("the head of the request is too long")}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &statusError{http.StatusRequestTimeout, errors.New("the head of the request did not come in time")}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return errLeft
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
	c.bound.N = 2*limit + defaultHeaderBytes // chunks have a frame each
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, errLeft // nothing is run of a request that did not come whole
	}
	if int64(len(body)) > limit {
		return nil, &statusError{http.StatusRequestEntityTooLarge, errors.New("the body is too long")}
	}
	return body, nil
}

// refuse answers a request that could not be read, behind those before it.
func (c *conn) refuse(err error) {
	status := http.StatusBadRequest
	var known *statusError
	if errors.As(err, &known) {
		status = known.status
	}
	c.server.Log.Info("request could not be read", "step", "read-request", "peer", c.raw.RemoteAddr().String(), "cause", err.Error())
	ex := &exchange{answer: make(chan *http.Response, 1), last: true}
	ex.answer <- c.server.Refuse(status, err)
	c.exchanges <- ex
}

// writeAnswers writes the answers in the order of their requests.
func (c *conn) writeAnswers() {
	defer c.cancel()
	for ex := range c.exchanges {
		response := <-ex.answer
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

// write writes one answer, and reports whether it went out whole.
func (c *conn) write(ex *exchange, response *http.Response) bool {
	if response.Body != nil {
		defer func() { _ = response.Body.Close() }()
	}
	response.ProtoMajor, response.ProtoMinor = 1, 1
	response.Request = ex.request
	response.Close = response.Close || ex.last || c.server.closing.Load()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	writer := bufio.NewWriterSize(c.raw, 4096)
	if err := response.Write(writer); err != nil {
		return false
	}
	return writer.Flush() == nil
}

// linger tells the caller that nothing more comes, and reads on until it closes.
func (c *conn) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	time.AfterFunc(lingerTime, func() { _ = c.raw.Close() })
}

// abandon ends the connection's requests: those that were read behind an answer
// that closes the connection count as not read.
func (c *conn) abandon() {
	c.cancel()
	time.AfterFunc(lingerTime, func() { _ = c.raw.Close() })
	for ex := range c.exchanges {
		response := <-ex.answer
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

func orDefault(value, standard int) int {
	if value <= 0 {
		return standard
	}
	return value
}
