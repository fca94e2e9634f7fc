// Package linker is a network in memory. It joins the hosts of a fleet that runs in one
// process, also in simulated time (testing/synctest). Hosts can fall silent and be
// restarted, and connections and bytes are counted by availability zone.
package linker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errInUse is the error of listening on an address twice.
var errInUse = errors.New("the address is in use")

// Path is a direction of traffic, from one availability zone to another or to itself.
type Path struct{ From, To string }

// Traffic is what was carried on each path.
type Traffic struct {
	Connections map[Path]int // by the zones of the dialing and the listening host
	Bytes       map[Path]int
}

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	delay  time.Duration
	zoneOf func(host string) string

	mu        sync.Mutex
	listeners map[string]*listener // by address
	ends      map[*end]bool
	silent    map[string]bool    // by host
	cut       map[[2]string]bool // by pair of hosts, in both orders
	healed    chan struct{}      // closed and replaced when a host is no longer silent
	lastPort  int
	traffic   Traffic
}

// New returns a network that delivers bytes after a delay. ZoneOf names the availability
// zone of a host.
func New(delay time.Duration, zoneOf func(host string) string) *Network {
	return &Network{
		delay:     delay,
		zoneOf:    zoneOf,
		listeners: map[string]*listener{},
		ends:      map[*end]bool{},
		silent:    map[string]bool{},
		cut:       map[[2]string]bool{},
		healed:    make(chan struct{}),
		lastPort:  40_000,
		traffic:   Traffic{Connections: map[Path]int{}, Bytes: map[Path]int{}},
	}
}

// Host is the network as seen from one host. It implements flow.Connector.
type Host struct {
	network *Network
	ip      string
}

// Host returns the network as seen from the host with an IP address.
func (n *Network) Host(ip string) Host { return Host{network: n, ip: ip} }

// DialContext connects to an address. A connection to a silent host, or from one, is not
// established before ctx ends. The error is syscall.ECONNREFUSED, wrapped, if nothing
// listens there.
func (h Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := h.network.dial(ctx, h.ip, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for {
		roundTrip := time.NewTimer(2 * n.delay)
		select {
		case <-roundTrip.C:
		case <-ctx.Done():
			roundTrip.Stop()
			return nil, timeoutOf(ctx)
		}
		n.mu.Lock()
		if !n.parted(from, to) {
			conn, err := n.connect(from, address)
			n.mu.Unlock()
			return conn, err
		}
		healed := n.healed
		n.mu.Unlock()
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, timeoutOf(ctx)
		}
	}
}

// timeoutOf returns the error of a connection that was not established in time.
func timeoutOf(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return os.ErrDeadlineExceeded
	}
	return ctx.Err()
}

// connect establishes a connection. The caller must hold the lock.
func (n *Network) connect(from, address string) (net.Conn, error) {
	l, ok := n.listeners[address]
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	port := strconv.Itoa(n.lastPort)
	local, remote := newEnd(n, net.JoinHostPort(from, port), address), newEnd(n, address, net.JoinHostPort(from, port))
	local.other, remote.other = remote, local
	select {
	case l.backlog <- remote:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.ends[local], n.ends[remote] = true, true
	n.traffic.Connections[Path{n.zoneOf(from), n.zoneOf(l.host)}]++
	return local, nil
}

// Listen listens on an address, an ip:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("listen on %s: %w", address, errInUse)
	}
	l := &listener{network: n, host: host, address: address, backlog: make(chan *end, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Silence makes a host silent, or ends that. What is sent to it or by it meanwhile arrives
// after the silence, unless an end of the connection is closed or reset before.
func (n *Network) Silence(host string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if silent {
		n.silent[host] = true
		return
	}
	delete(n.silent, host)
	n.heal()
}

// Cut keeps hosts from reaching others, or ends that, as Silence does for one host.
func (n *Network) Cut(hosts, others []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range hosts {
		for _, other := range others {
			if cut && host != other {
				n.cut[[2]string{host, other}], n.cut[[2]string{other, host}] = true, true
				continue
			}
			delete(n.cut, [2]string{host, other})
			delete(n.cut, [2]string{other, host})
		}
	}
	if !cut {
		n.heal()
	}
}

// heal wakes what waits for the end of a silence. The caller must hold the lock.
func (n *Network) heal() {
	close(n.healed)
	n.healed = make(chan struct{})
	for e := range n.ends {
		e.signal()
	}
}

// parted reports whether nothing passes between two hosts. The caller must hold the lock.
func (n *Network) parted(host, other string) bool {
	return n.silent[host] || n.silent[other] || n.cut[[2]string{host, other}]
}

// Reset closes the listeners of a host and resets its connections, as the end of its
// processes does. The other ends learn of it at once, or after the silence.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.listeners {
		if l.host == host {
			l.close()
			delete(n.listeners, address)
		}
	}
	for e := range n.ends {
		if e.host == host {
			e.fail(net.ErrClosed)
			e.other.push(segment{err: syscall.ECONNRESET})
			delete(n.ends, e)
		}
	}
}

// isSilent reports whether nothing passes between two hosts.
func (n *Network) isSilent(host, other string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.parted(host, other)
}

// Traffic returns what was carried so far.
func (n *Network) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Traffic{Connections: maps.Clone(n.traffic.Connections), Bytes: maps.Clone(n.traffic.Bytes)}
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.close()
	}
	clear(n.listeners)
	for e := range n.ends {
		e.fail(net.ErrClosed)
	}
	clear(n.ends)
}

// listener implements net.Listener.
type listener struct {
	network *Network
	host    string
	address string
	backlog chan *end
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) close() { l.once.Do(func() { close(l.closed) }) }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case e := <-l.backlog:
		return e, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.close()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
