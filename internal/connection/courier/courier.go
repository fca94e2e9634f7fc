// Package courier carries requests between daemons: from the one that a caller
// asked to the one beside the backend server.
//
// A request is offered before it is sent. The other daemon refuses it, lets it
// wait, or grants it a slot; only then is the request itself sent, and only with
// it may it run. So an attempt that is given up before its grant has
// certainly not run, whatever became of the connection, and a grant proves that
// the path works both ways.
//
// Each connection carries one request at a time; the connections to a daemon
// are pooled.
package courier

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/httpdialer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// dialTimeout bounds the opening of a connection: a few round trips.
	dialTimeout = 400 * time.Millisecond
	// answerTimeout bounds the answer to an offer, which is decided at once.
	answerTimeout = 400 * time.Millisecond
	// progressInterval is how often the daemon beside the server says that a
	// request waits or runs.
	progressInterval = 600 * time.Millisecond
	// silenceLimit is the time without a word after which a connection is taken
	// for lost: three intervals.
	silenceLimit = 3 * progressInterval
	// idleLimit closes a connection without requests. It is shorter than
	// serverIdleLimit, so that the offering end closes first.
	idleLimit = 12 * time.Second
	// serverIdleLimit closes a connection on which no offer comes.
	serverIdleLimit = 30 * time.Second
	// idlePerPeer bounds the idle connections that are kept to one daemon.
	idlePerPeer = 8
)

const stepOffer = flow.Step("offer")

// Client offers requests to other daemons. It is safe for use by many
// goroutines.
type Client struct {
	options framer.Options
	dialer  *httpdialer.Dialer

	mu   sync.Mutex
	idle map[string][]idleConn // by address, the latest used last
}

type idleConn struct {
	conn  *framer.Conn
	since time.Time
}

// NewClient returns a Client.
func NewClient(options framer.Options) *Client {
	return &Client{options: options, dialer: httpdialer.New(dialTimeout), idle: map[string][]idleConn{}}
}

// Attempt is one request that has a slot at a backend server.
type Attempt struct {
	client  *Client
	address string
	conn    *framer.Conn
	stop    func() bool
	Load    Load
}

// RefusedError is the error of an offer that was not granted. The request has not
// run.
type RefusedError struct {
	Refusal flow.Refusal
	Load    *Load // nil when the daemon could not be asked
	Absent  bool  // no daemon listens there
}

// Error returns the text of the refusal.
func (r *RefusedError) Error() string { return r.Refusal.Error() }

// Offer offers a request to the daemon at an address, and waits for its slot. If
// it has to wait for one, waiting is called first. The error is a *Refused.
func (c *Client) Offer(ctx context.Context, address string, offer *Offer, waiting func()) (*Attempt, error) {
	conn, pooled, err := c.connect(ctx, address)
	if err != nil {
		return nil, unreachable(ctx, address, err)
	}
	attempt, err := c.offer(ctx, address, conn, offer, waiting)
	var refused *RefusedError
	if pooled && errors.As(err, &refused) && refused.Load == nil && ctx.Err() == nil {
		// The pooled connections may have fallen silent, or the daemon started anew.
		c.drop(address)
		if refused.Refusal.Detail == errSilent.Error() {
			return nil, err
		}
		conn, _, err := c.connect(ctx, address)
		if err != nil {
			return nil, unreachable(ctx, address, err)
		}
		return c.offer(ctx, address, conn, offer, waiting)
	}
	return attempt, err
}

var errSilent = errors.New("the daemon does not answer")

func unreachable(ctx context.Context, address string, cause error) error {
	reason := flow.ReasonUnreachable
	if ctx.Err() != nil {
		reason = flow.ReasonCancelled
	}
	return &RefusedError{
		Refusal: flow.Refusal{Reason: reason, Step: stepOffer, Peer: address, Detail: cause.Error()},
		Absent:  errors.Is(cause, syscall.ECONNREFUSED),
	}
}

func (c *Client) offer(ctx context.Context, address string, conn *framer.Conn, offer *Offer, waiting func()) (*Attempt, error) {
	// The end of the context closes the connection, which ends every read.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := send(conn, &frame{Kind: frameOffer, Offer: offer}); err != nil {
		stop()
		_ = conn.Close()
		return nil, unreachable(ctx, address, err)
	}
	limit := answerTimeout
	for {
		f, err := receive(conn, limit)
		switch {
		case err != nil:
			stop()
			_ = conn.Close()
			return nil, unreachable(ctx, address, err)
		case f.Kind == frameRefused:
			if stop() {
				c.put(address, conn)
			}
			return nil, &RefusedError{
				Refusal: flow.Refusal{Reason: f.Reason, Step: stepOffer, Peer: address, Detail: f.Cause},
				Load:    f.Load,
			}
		case f.Kind == frameGranted:
			attempt := &Attempt{client: c, address: address, conn: conn, stop: stop}
			if f.Load != nil {
				attempt.Load = *f.Load
			}
			return attempt, nil
		case f.Kind == frameWaiting && limit == answerTimeout:
			waiting()
		}
		limit = silenceLimit
	}
}

// SetContext ties the attempt to another context than that of its offer.
func (a *Attempt) SetContext(ctx context.Context) {
	a.stop()
	a.stop = context.AfterFunc(ctx, func() { _ = a.conn.Close() })
}

// Response is what a backend server answered.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 when unknown
	Body   io.ReadCloser
}

// Run sends the request, after which it may run, and waits for the head of the
// answer. The error is a *flow.Refusal.
func (a *Attempt) Run(ctx context.Context, request *Request) (*Response, error) {
	if err := send(a.conn, &frame{Kind: frameRun, Request: request}); err != nil {
		return nil, a.fail(ctx, err)
	}
	for {
		f, err := receive(a.conn, silenceLimit)
		switch {
		case err != nil:
			return nil, a.fail(ctx, err)
		case f.Kind == frameFailed:
			a.release()
			if f.Load != nil {
				a.Load = *f.Load
			}
			return nil, &flow.Refusal{Reason: f.Reason, Step: "run", Peer: a.address, Detail: f.Cause}
		case f.Kind == frameHead:
			if f.Load != nil {
				a.Load = *f.Load
			}
			return &Response{Status: f.Status, Header: f.Header, Length: f.Length, Body: &responseBody{attempt: a}}, nil
		}
	}
}

// Abandon gives up an attempt without running it.
func (a *Attempt) Abandon() {
	a.stop()
	_ = a.conn.Close()
}

func (a *Attempt) release() {
	if a.stop() {
		a.client.put(a.address, a.conn)
	}
}

func (a *Attempt) fail(ctx context.Context, err error) error {
	a.Abandon()
	if cause := context.Cause(ctx); cause != nil {
		err = cause // the connection was closed for it
	}
	return &flow.Refusal{Reason: flow.ReasonServerFailed, Step: "run", Peer: a.address, Detail: err.Error()}
}

// responseBody reads the body of an answer. It ends with io.EOF only when the
// answer is whole.
type responseBody struct {
	attempt *Attempt
	rest    []byte
	err     error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		f, err := receive(b.attempt.conn, silenceLimit)
		switch {
		case err != nil:
			b.err = io.ErrUnexpectedEOF
		case f.Kind == frameData:
			b.rest = f.Data
		case f.Kind == frameEnd:
			b.err = io.EOF
			b.attempt.release()
		case f.Kind == frameFailed:
			b.err = io.ErrUnexpectedEOF
		}
	}
	if len(b.rest) == 0 {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close gives up what was not read.
func (b *responseBody) Close() error {
	if !errors.Is(b.err, io.EOF) {
		b.attempt.Abandon()
	}
	return nil
}

// -----------------------------------------------------------------------------

// connect returns an idle connection, or opens one.
func (c *Client) connect(ctx context.Context, address string) (conn *framer.Conn, pooled bool, err error) {
	if conn := c.take(address); conn != nil {
		return conn, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err = framer.Client(raw, c.options)
	if !stop() && err == nil {
		_ = conn.Close()
		err = ctx.Err()
	}
	return conn, false, err
}

func (c *Client) take(address string) *framer.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		if time.Since(last.since) < idleLimit {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (c *Client) put(address string, conn *framer.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= idlePerPeer {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, since: time.Now()})
}

// drop closes the idle connections to an address.
func (c *Client) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle[address] {
		_ = idle.conn.Close()
	}
	delete(c.idle, address)
}

// Sweep closes the connections that were idle for too long.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, idle := range conns {
			if time.Since(idle.since) < idleLimit {
				kept = append(kept, idle)
				continue
			}
			_ = idle.conn.Close()
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// -----------------------------------------------------------------------------

func send(conn *framer.Conn, f *frame) error {
	payload, err := encode(f)
	if err != nil {
		return err
	}
	return conn.Write(payload)
}

func receive(conn *framer.Conn, within time.Duration) (*frame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, err
	}
	payload, err := conn.Read()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, errSilent
	}
	if err != nil {
		return nil, err
	}
	return decode(payload)
}
