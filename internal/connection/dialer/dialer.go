// Package dialer makes calls to other daemons over control connections.
//
// There is at most one connection to an address. It is opened by the first
// call, shared by all, and closed when it is idle. A call that times out while
// nothing at all arrived closes the connection, so that one that has gone
// silent is replaced by the next call.
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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// redialDelay is the time after a failed dial in which calls fail at once.
	redialDelay = 100 * time.Millisecond
	// idleTimeout closes a connection without calls; it is shorter than the
	// listener's, so that the caller's end closes first.
	idleTimeout = 20 * time.Second
)

// Error is the class of errors of calls.
var Error = errs.Class("call")

// Dialer makes calls. It is safe for use by many goroutines.
type Dialer struct {
	options framer.Options
	local   net.Addr

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// New returns a Dialer that calls with the given options, from the given local
// address; nil leaves the choice to the system.
func New(options framer.Options, local net.Addr) *Dialer {
	return &Dialer{options: options, local: local, peers: map[string]*peer{}}
}

// Close closes all connections; later calls fail.
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

// Call sends a request to the daemon at address and decodes its answer. The
// error says at which step and peer the call failed.
func (d *Dialer) Call(ctx context.Context, address string, call messenger.Call, request, answer any) error {
	p, err := d.peer(address)
	if err != nil {
		return flow.Wrap(flow.Step(call.String()), address, err)
	}
	link, err := p.connect(ctx)
	if err != nil {
		return flow.Wrap(flow.Step(call.String()), address, err)
	}
	envelope, err := link.roundTrip(ctx, call, request)
	if err != nil {
		return flow.Wrap(flow.Step(call.String()), address, err)
	}
	if envelope.Fault != "" {
		return flow.Wrap(flow.Step(call.String()), address, faultOf(envelope))
	}
	return flow.Wrap(flow.Step(call.String()), address, messenger.DecodeBody(envelope, answer))
}

// faultOf returns the error that a daemon answered with.
func faultOf(envelope messenger.Envelope) error {
	if envelope.NotOwner {
		return Error.Wrap(flow.NotOwnerError(envelope.Fault))
	}
	return Error.New("%s", envelope.Fault)
}

func (d *Dialer) peer(address string) (*peer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, Error.New("the dialer is closed")
	}
	p, ok := d.peers[address]
	if !ok {
		p = &peer{address: address, local: d.local, options: d.options}
		d.peers[address] = p
	}
	return p, nil
}

// Sweep closes connections without calls in the last idleTimeout and forgets
// their addresses.
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

// -----------------------------------------------------------------------------

// peer is one address and its connection.
type peer struct {
	address string
	local   net.Addr
	options framer.Options

	mu       sync.Mutex
	link     *link
	dialing  chan struct{} // closed when the dial that is under way ends; nil when there is none
	failed   error         // how the last dial failed
	failedAt time.Time
	usedAt   time.Time
}

// connect returns the open connection, or opens one. Calls that come while it
// is being opened wait for it, each no longer than its own context.
func (p *peer) connect(ctx context.Context) (*link, error) {
	for {
		link, dialing, err := p.current()
		if link != nil || err != nil {
			return link, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// current returns the open link, why there is none, or the dial under way.
func (p *peer) current() (*link, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = time.Now()
	if p.link != nil && !p.link.ended() {
		return p.link, nil, nil
	}
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	if p.failed != nil && time.Since(p.failedAt) < redialDelay {
		return nil, nil, p.failed
	}
	p.dialing = make(chan struct{})
	go p.dial()
	return nil, p.dialing, nil
}

// dial opens the connection and wakes the calls that wait for it. It ends
// within dialTimeout and the time limit of the handshake.
func (p *peer) dial() {
	conn, err := p.open()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed, p.failedAt = err, time.Now()
	if err == nil {
		p.link = newLink(conn)
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
	if p.link != nil {
		p.link.end(Error.New("the connection was closed"))
	}
}

func (p *peer) open() (*framer.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: p.local}
	conn, err := d.Dial("tcp", p.address)
	if err != nil {
		return nil, err
	}
	return framer.Client(conn, p.options)
}
