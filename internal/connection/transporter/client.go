// Package transporter forwards requests between daemons: from the ingress to the daemon
// beside the backend server.
//
// The ingress offers a request before it sends it. The other daemon refuses the
// offer, queues it, or grants it a slot. Only after the grant is the request itself
// sent, and it cannot run before that. So an attempt that is abandoned before its grant
// has certainly not run, whatever happened to the connection, and a grant proves that
// the network path works in both directions.
//
// Each connection carries one request at a time. Idle connections to a daemon are
// pooled.
//
// It is a part of the sidecar that package supervisor runs. The daemon that
// package runner runs has package forwarder instead.
package transporter

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
	// dialTimeout bounds opening a connection, which takes a few round trips.
	dialTimeout = 400 * time.Millisecond
	// offerTimeout bounds the wait for the first message after an offer. The other
	// daemon refuses, queues or grants an offer without delay.
	offerTimeout = 400 * time.Millisecond
	// progressInterval is how often the daemon beside the server reports that a
	// request is still queued or running.
	progressInterval = 600 * time.Millisecond
	// silenceTimeout is how long a connection may be silent before it counts as lost.
	silenceTimeout = 3 * progressInterval
	// patientSilenceTimeout is that time for a request that cannot be sent elsewhere.
	// A host that was frozen or out of touch for some seconds still delivers the
	// response; the TCP keep-alive probes end a connection whose host is gone.
	patientSilenceTimeout = 10 * time.Second
	// idleTimeout is how long the client keeps an idle connection. It is shorter than
	// serverIdleTimeout, so that the client closes the connection first.
	idleTimeout = 12 * time.Second
	// serverIdleTimeout is how long the server waits for the next offer on a connection.
	serverIdleTimeout = 30 * time.Second
	// maxIdlePerPeer limits the idle connections to one daemon.
	maxIdlePerPeer = 8
)

const stepOffer = flow.Step("offer")

// Client offers requests to other daemons. It is safe for concurrent use.
type Client struct {
	options framer.Options
	dialer  *httpdialer.Dialer

	mu   sync.Mutex
	idle map[string][]idleConn // by address, the most recently used last
}

type idleConn struct {
	conn  *framer.Conn
	since time.Time
}

// NewClient returns a Client with the given options for its connections, which the connector
// opens. If that is nil, they are TCP connections.
func NewClient(options framer.Options, connector flow.Connector) *Client {
	return &Client{options: options, dialer: httpdialer.New(dialTimeout, connector), idle: map[string][]idleConn{}}
}

// Attempt is a request that was granted a slot at a backend server. It holds a connection
// until Abandon is called, Run fails, or the response's body is read to its end or closed.
type Attempt struct {
	client  *Client
	address string
	conn    *framer.Conn
	detach  func() bool // stops closing conn when the context ends; false if it has ended
	Load    Load        // latest reported load of the backend server
	Patient bool        // the request cannot be sent elsewhere, so a silent daemon is waited for
}

// silence returns how long the connection may be silent while the request runs.
func (a *Attempt) silence() time.Duration {
	if a.Patient {
		return patientSilenceTimeout
	}
	return silenceTimeout
}

// RefusedError is the error of an offer that was not granted. The request has not run.
type RefusedError struct {
	Refusal flow.Refusal
	Load    *Load // load of the backend server; nil if its daemon did not answer
	Absent  bool  // the connection was refused: no daemon listens at the address
}

// Error implements error.
func (r *RefusedError) Error() string { return r.Refusal.Error() }

// Offer offers a request to the daemon at address and waits for a slot. If the offer is
// queued, Offer calls onQueued, and calls it again if a pooled connection fails and the
// offer is queued on a new one. The end of ctx abandons the attempt, also after the grant,
// unless SetContext replaces ctx. The error is a *RefusedError.
func (c *Client) Offer(ctx context.Context, address string, offer *Offer, onQueued func()) (*Attempt, error) {
	conn, pooled, err := c.connect(ctx, address)
	if err != nil {
		return nil, unreachableError(ctx, address, err)
	}
	attempt, err := c.offer(ctx, address, conn, offer, onQueued)
	var refused *RefusedError
	if pooled && errors.As(err, &refused) && refused.Load == nil && ctx.Err() == nil {
		// The pooled connections may be dead, or the daemon was restarted.
		c.closeIdle(address)
		if refused.Refusal.Detail == errNoAnswer.Error() {
			return nil, err
		}
		conn, _, err := c.connect(ctx, address)
		if err != nil {
			return nil, unreachableError(ctx, address, err)
		}
		return c.offer(ctx, address, conn, offer, onQueued)
	}
	return attempt, err
}

var errNoAnswer = errors.New("the daemon does not answer")

func unreachableError(ctx context.Context, address string, cause error) error {
	reason := flow.ReasonUnreachable
	if ctx.Err() != nil {
		reason = flow.ReasonCancelled
	}
	return &RefusedError{
		Refusal: flow.Refusal{Reason: reason, Step: stepOffer, Peer: address, Detail: cause.Error()},
		Absent:  errors.Is(cause, syscall.ECONNREFUSED),
	}
}

func (c *Client) offer(ctx context.Context, address string, conn *framer.Conn, offer *Offer, onQueued func()) (*Attempt, error) {
	// Closing the connection ends a blocked read.
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := send(conn, &message{Kind: messageOffer, Offer: offer}); err != nil {
		detach()
		_ = conn.Close()
		return nil, unreachableError(ctx, address, err)
	}
	timeout := offerTimeout
	for {
		m, err := receive(conn, timeout)
		switch {
		case err != nil:
			detach()
			_ = conn.Close()
			return nil, unreachableError(ctx, address, err)
		case m.Kind == messageRefused:
			if detach() {
				c.putIdle(address, conn)
			}
			return nil, &RefusedError{
				Refusal: flow.Refusal{Reason: m.Reason, Step: stepOffer, Peer: address, Detail: m.Cause},
				Load:    m.Load,
			}
		case m.Kind == messageGranted:
			attempt := &Attempt{client: c, address: address, conn: conn, detach: detach}
			if m.Load != nil {
				attempt.Load = *m.Load
			}
			return attempt, nil
		case m.Kind == messageQueued && timeout == offerTimeout:
			onQueued()
		}
		timeout = silenceTimeout
	}
}

// SetContext makes the attempt end with ctx instead of the context that Offer was given.
func (a *Attempt) SetContext(ctx context.Context) {
	a.detach()
	a.detach = context.AfterFunc(ctx, func() { _ = a.conn.Close() })
}

// Answer is the response of a backend server, as it is passed between daemons.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if unknown
	Body   io.ReadCloser
}

// Run sends the request, which may run from then on, and waits for the status and
// header of the response. The body has to be read to its end or closed. The error is a
// *flow.Refusal.
func (a *Attempt) Run(ctx context.Context, request *Request) (*Answer, error) {
	run := &message{Kind: messageRun, Request: request}
	if length := request.Pieces.Len(); length > inlineBodyLimit {
		run.Kind, request.Length = messageRunStreamed, length
	} else if length > 0 {
		request.Body = request.Pieces.Bytes()
	}
	if err := send(a.conn, run); err != nil {
		return nil, a.fail(ctx, err)
	}
	var sender *bodySender
	if run.Kind == messageRunStreamed {
		sender = startSending(a.conn, request.Pieces)
	}
	m, err := a.awaitHead()
	if err != nil {
		err = a.fail(ctx, err)
		if sender != nil {
			_ = sender.finish() // the connection is closed
		}
		return nil, err
	}
	if sender != nil {
		// A server that has accepted the request may read on while it answers.
		if err := sender.end(m.Kind == messageHead && m.Status < http.StatusMultipleChoices); err != nil {
			return nil, a.fail(ctx, err)
		}
	}
	if m.Load != nil {
		a.Load = *m.Load
	}
	if m.Kind == messageFailed {
		a.release()
		return nil, &flow.Refusal{Reason: m.Reason, Step: "run", Peer: a.address, Detail: m.Cause}
	}
	if isStreamed(m.Length) {
		a.conn.SetReadBuffer(readBufferBytes)
	}
	return &Answer{Status: m.Status, Header: m.Header, Length: m.Length, Body: &responseBody{attempt: a}}, nil
}

// awaitHead returns the head of the response, or the message that there is none.
func (a *Attempt) awaitHead() (*message, error) {
	for {
		m, err := receive(a.conn, a.silence())
		if err != nil || m.Kind == messageFailed || m.Kind == messageHead {
			return m, err
		}
	}
}

// Abandon closes the attempt's connection. A request that was not sent does not run.
func (a *Attempt) Abandon() {
	a.detach()
	_ = a.conn.Close()
}

func (a *Attempt) release() {
	if a.detach() {
		a.client.putIdle(a.address, a.conn)
	}
}

func (a *Attempt) fail(ctx context.Context, err error) error {
	a.Abandon()
	if cause := context.Cause(ctx); cause != nil {
		err = cause // the end of ctx closed the connection
	}
	return &flow.Refusal{Reason: flow.ReasonServerFailed, Step: "run", Peer: a.address, Detail: err.Error()}
}

// responseBody reads the body of a response. It returns io.EOF only at the end of a
// complete body.
type responseBody struct {
	attempt *Attempt
	unread  []byte
	err     error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		m, err := receive(b.attempt.conn, b.attempt.silence())
		switch {
		case err != nil:
			b.err = io.ErrUnexpectedEOF
		case m.Kind == messageData:
			b.unread = m.Data
		case m.Kind == messageEnd:
			b.err = io.EOF
			b.attempt.release()
		case m.Kind == messageFailed:
			b.err = io.ErrUnexpectedEOF
		}
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close abandons the attempt if the body was not read to its end.
func (b *responseBody) Close() error {
	if !errors.Is(b.err, io.EOF) {
		b.attempt.Abandon()
	}
	return nil
}

// connect returns a pooled connection if there is one, and otherwise opens one.
func (c *Client) connect(ctx context.Context, address string) (conn *framer.Conn, pooled bool, err error) {
	if conn := c.takeIdle(address); conn != nil {
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

func (c *Client) takeIdle(address string) *framer.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		if time.Since(last.since) < idleTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (c *Client) putIdle(address string, conn *framer.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerPeer {
		_ = conn.Close()
		return
	}
	conn.Trim()
	c.idle[address] = append(c.idle[address], idleConn{conn: conn, since: time.Now()})
}

// closeIdle closes the idle connections to an address.
func (c *Client) closeIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle[address] {
		_ = idle.conn.Close()
	}
	delete(c.idle, address)
}

// Sweep closes connections that have been idle for too long. Call it regularly.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, idle := range conns {
			if time.Since(idle.since) < idleTimeout {
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

func send(conn *framer.Conn, m *message) error {
	payload, err := encode(m)
	if err != nil {
		return err
	}
	return conn.Write(payload)
}

// receive returns the next message, or errNoAnswer when none comes within the timeout.
func receive(conn *framer.Conn, timeout time.Duration) (*message, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	payload, err := conn.Read()
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return nil, errNoAnswer
	}
	if err != nil {
		return nil, err
	}
	return decode(payload)
}
