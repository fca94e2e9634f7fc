// A link: a listening address, the target that it forwards to, and the faults of
// its two directions.

package interrupter

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// dialTimeout bounds dialing the target.
const dialTimeout = 5 * time.Second

// Link forwards connections from one address to one target. It is safe for
// concurrent use.
type Link struct {
	options     LinkOptions
	ctx         context.Context // ends the link
	reservation *reservation
	closed      chan struct{}  // closed once the link has stopped listening for good
	goroutines  sync.WaitGroup // accepting, and one for each connection

	mutex        sync.Mutex
	listener     net.Listener        // nil while the link is cut or has ended
	faults       [2]Fault            // by direction
	callerFaults map[string][2]Fault // by IP address of the caller; replace faults
	versions     [2]uint64           // by direction, counts the changes of faults
	changed      chan struct{}       // closed and replaced at each change of faults
	sessions     map[*session]struct{}
	random       *rand.Rand
	accepted     int
	swallowed    [2]int64 // bytes, by direction
}

// directionIndex is an index into arrays that hold a value for each direction.
type directionIndex int

const (
	forwardIndex directionIndex = iota
	backwardIndex
)

// LinkState describes the current state of a link.
type LinkState struct {
	Name              string `json:"name"`
	Address           string `json:"address"`
	Target            string `json:"target"`
	Forward           string `json:"forward"`  // Fault.String of the direction
	Backward          string `json:"backward"` // Fault.String of the direction
	Open              int    `json:"open"`     // connections
	Accepted          int    `json:"accepted"` // connections since the start
	SwallowedForward  int64  `json:"swallowed-forward-bytes"`
	SwallowedBackward int64  `json:"swallowed-backward-bytes"`
}

func newLink(ctx context.Context, options LinkOptions, seed uint64) (*Link, error) {
	if options.Address == "" {
		options.Address = acceptor.LoopbackAddress
	}
	reservation, err := reserve(options.Address)
	if err != nil {
		return nil, flow.Wrap("listen", options.Address, err)
	}
	options.Address = reservation.address
	l := &Link{
		options:      options,
		ctx:          ctx,
		reservation:  reservation,
		closed:       make(chan struct{}),
		faults:       [2]Fault{{Kind: Pass}, {Kind: Pass}},
		changed:      make(chan struct{}),
		sessions:     map[*session]struct{}{},
		callerFaults: map[string][2]Fault{},
		random:       rand.New(rand.NewPCG(seed, 0)),
	}
	if err := l.listen(); err != nil {
		reservation.release()
		return nil, err
	}
	context.AfterFunc(ctx, l.end)
	return l, nil
}

// Name returns the link's name.
func (l *Link) Name() string { return l.options.Name }

// Addr returns the ip:port that the link listens on.
func (l *Link) Addr() string { return l.options.Address }

// Wait returns once the link and its connections have ended.
func (l *Link) Wait() {
	<-l.closed
	l.goroutines.Wait()
}

// State returns the current state of the link.
func (l *Link) State() LinkState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return LinkState{
		Name:              l.options.Name,
		Address:           l.options.Address,
		Target:            l.options.Target,
		Forward:           l.faults[forwardIndex].String(),
		Backward:          l.faults[backwardIndex].String(),
		Open:              len(l.sessions),
		Accepted:          l.accepted,
		SwallowedForward:  l.swallowed[forwardIndex],
		SwallowedBackward: l.swallowed[backwardIndex],
	}
}

// Set replaces the fault of a direction. The link is cut as long as either
// direction has the fault Cut. Set returns an error if the kind or the direction is
// unknown, or if a link that is no longer cut can't listen again.
func (l *Link) Set(direction Direction, fault Fault) error {
	if err := direction.check(); err != nil {
		return err
	}
	if err := fault.check(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if direction != Backward {
		l.setDirection(forwardIndex, fault)
	}
	if direction != Forward {
		l.setDirection(backwardIndex, fault)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return l.applyCut()
}

// SetFrom sets the fault of a direction for the connections from an IP address, in
// place of the link's faults; a link that is cut stays cut for all. Cut resets the
// open connections, and new ones as soon as the target is dialed. SetFrom returns
// an error if the kind or the direction is unknown.
func (l *Link) SetFrom(ip string, direction Direction, fault Fault) error {
	if err := direction.check(); err != nil {
		return err
	}
	if err := fault.check(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	faults, ok := l.callerFaults[ip]
	if !ok {
		faults = [2]Fault{{Kind: Pass}, {Kind: Pass}}
	}
	if direction != Backward {
		faults[forwardIndex] = fault
	}
	if direction != Forward {
		faults[backwardIndex] = fault
	}
	l.callerFaults[ip] = faults
	l.versions[forwardIndex]++
	l.versions[backwardIndex]++
	close(l.changed)
	l.changed = make(chan struct{})
	l.cutFrom(ip, faults)
	return nil
}

// cutFrom resets the connections from an IP address if either of its faults is Cut.
func (l *Link) cutFrom(ip string, faults [2]Fault) {
	if faults[forwardIndex].Kind != Cut && faults[backwardIndex].Kind != Cut {
		return
	}
	for s := range l.sessions {
		if s.callerIP == ip {
			s.reset()
		}
	}
}

// faultsOf returns the faults of connections from an IP address.
func (l *Link) faultsOf(ip string) [2]Fault {
	if faults, ok := l.callerFaults[ip]; ok {
		return faults
	}
	return l.faults
}

func (l *Link) setDirection(i directionIndex, fault Fault) {
	l.faults[i] = fault
	l.versions[i]++
}

// applyCut stops listening if either fault is Cut, or else listens again.
func (l *Link) applyCut() error {
	cut := l.faults[forwardIndex].Kind == Cut || l.faults[backwardIndex].Kind == Cut
	if cut {
		l.close()
		return nil
	}
	if l.listener == nil && l.ctx.Err() == nil {
		return l.listen()
	}
	return nil
}

// SilenceOpen permanently drops all bytes of the connections that are currently
// open, in both directions and without notice to either end. New connections work.
func (l *Link) SilenceOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for s := range l.sessions {
		s.silent = true
	}
}

// listen starts listening on the link's address and accepting connections.
func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.options.Address)
	if err != nil {
		return flow.Wrap("listen", l.options.Address, err)
	}
	l.listener = listener
	l.goroutines.Add(1)
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	defer l.goroutines.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Add(1)
		go l.serve(conn.(*net.TCPConn))
	}
}

// serve dials the target for an accepted connection and forwards in both
// directions until the connection ends.
func (l *Link) serve(caller *net.TCPConn) {
	defer l.goroutines.Done()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.options.Target)
	if err != nil {
		resetConn(caller)
		return
	}
	s := l.register(caller, conn.(*net.TCPConn))
	s.run()
	l.mutex.Lock()
	delete(l.sessions, s)
	l.mutex.Unlock()
}

// register creates the session of a connection. It resets the session at once if
// the link was cut in the meantime.
func (l *Link) register(caller, target *net.TCPConn) *session {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accepted++
	s := newSession(l, caller, target)
	l.sessions[s] = struct{}{}
	if l.listener == nil {
		s.reset()
	}
	l.cutFrom(s.callerIP, l.faultsOf(s.callerIP))
	return s
}

// close stops listening and resets all connections. A later listen is possible.
func (l *Link) close() {
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for s := range l.sessions {
		s.reset()
	}
}

// end closes the link for good.
func (l *Link) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.close()
	l.reservation.release()
	close(l.closed)
}

func resetConn(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}
