// Package dialer makes calls to other daemons over control connections.
//
// There is at most one connection to an address. The first call opens it, concurrent
// calls share it, and it is closed when idle. If a call times out and nothing was
// received since it was sent, the connection counts as dead and is closed, so that the
// next call opens a new one.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// dialTimeout bounds opening a TCP connection, and openTimeout its handshake, too.
	dialTimeout = 500 * time.Millisecond
	openTimeout = time.Second
	// redialDelay is how long calls fail without a new dial after a failed one.
	redialDelay = 100 * time.Millisecond
	// idleTimeout is how long a connection without calls is kept. It is shorter than the
	// listener's, so that the dialing end closes the connection first.
	idleTimeout = 20 * time.Second
)

// Error is the class of errors of calls to other daemons.
var Error = errs.Class("call")

// Dialer makes calls to other daemons. It is safe for concurrent use.
type Dialer struct {
	options   framer.Options
	connector flow.Connector

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// New returns a Dialer with the given options for its connections, which the connector
// opens. If that is nil, they are TCP connections from any local address.
func New(options framer.Options, connector flow.Connector) *Dialer {
	if connector == nil {
		connector = &net.Dialer{}
	}
	return &Dialer{options: options, connector: connector, peers: map[string]*peer{}}
}

// Close closes all connections. Later calls fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	peers := d.peers
	d.peers = map[string]*peer{}
	d.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

// Call sends a request to the daemon at address and decodes the answer into answer, which
// is a pointer. The error carries the call's name as its step and the address as its
// peer. If the other daemon is not the owner of the resource, flow.IsNotOwner reports
// true for the error.
func (d *Dialer) Call(ctx context.Context, address string, call messenger.Call, request, answer any) error {
	p, err := d.peer(address)
	if err != nil {
		return flow.Wrap(flow.Step(call.String()), address, err)
	}
	conn, err := p.connect(ctx)
	if err != nil {
		return flow.Wrap(flow.Step(call.String()), address, err)
	}
	envelope, err := conn.roundTrip(ctx, call, request)
	if err != nil {
		return flow.Wrap(flow.Step(call.String()), address, err)
	}
	if envelope.ErrorText != "" {
		return flow.Wrap(flow.Step(call.String()), address, answeredError(envelope))
	}
	return flow.Wrap(flow.Step(call.String()), address, messenger.DecodeBody(envelope, answer))
}

// answeredError returns the error that the other daemon answered with.
func answeredError(envelope messenger.Envelope) error {
	if envelope.NotOwner {
		return Error.Wrap(flow.NotOwnerError(envelope.ErrorText))
	}
	return Error.New("%s", envelope.ErrorText)
}

func (d *Dialer) peer(address string) (*peer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, Error.New("the dialer is closed")
	}
	p, ok := d.peers[address]
	if !ok {
		p = &peer{address: address, connector: d.connector, options: d.options}
		d.peers[address] = p
	}
	return p, nil
}

// Sweep closes the connections on which no call began within idleTimeout, and forgets
// their addresses. Call it regularly.
func (d *Dialer) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := time.Now().Add(-idleTimeout)
	for address, p := range d.peers {
		if p.idleSince(oldest) {
			p.close()
			delete(d.peers, address)
		}
	}
}

// peer is the address of another daemon and the connection to it.
type peer struct {
	address   string
	connector flow.Connector
	options   framer.Options

	mu       sync.Mutex
	conn     *connection
	dialing  chan struct{} // closed when the dial in progress ends; nil if there is none
	dialErr  error         // error of the last dial; nil if it succeeded
	dialedAt time.Time     // end of the last dial
	usedAt   time.Time     // start of the last call
}

// connect returns the open connection, or opens one. All calls made meanwhile wait for
// the same dial, each until its own context ends.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	for {
		conn, dialing, err := p.current()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// current returns the open connection, the channel of the dial in progress, or the error
// of a recent dial. If there is none of these, it starts a dial.
func (p *peer) current() (*connection, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = time.Now()
	if p.conn != nil && !p.conn.isClosed() {
		return p.conn, nil, nil
	}
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	if p.dialErr != nil && time.Since(p.dialedAt) < redialDelay {
		return nil, nil, p.dialErr
	}
	p.dialing = make(chan struct{})
	go p.dial()
	return nil, p.dialing, nil
}

// dial opens the connection and wakes the calls that wait for it. It takes no longer
// than openTimeout.
func (p *peer) dial() {
	conn, err := p.open()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialErr, p.dialedAt = err, time.Now()
	if err == nil {
		p.conn = newConnection(conn)
	}
	close(p.dialing)
	p.dialing = nil
}

func (p *peer) idleSince(oldest time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialing == nil && p.usedAt.Before(oldest)
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close(Error.New("the connection was closed"))
	}
}

func (p *peer) open() (*framer.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := p.dialTCP(ctx)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // ends the handshake
	return framer.Client(conn, p.options)
}

func (p *peer) dialTCP(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.connector.DialContext(ctx, "tcp", p.address)
}
