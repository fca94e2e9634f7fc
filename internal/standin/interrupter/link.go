// A link: one listening address, the target behind it, and the faults on its
// two directions.

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

// dialTimeout bounds the dialling of a target.
const dialTimeout = 5 * time.Second

// Link forwards one address to one target. It is safe for use by many
// goroutines.
type Link struct {
	options     LinkOptions
	ctx         context.Context // ends the link
	reservation *reservation
	closed      chan struct{}  // closed once the link listens no more
	ended       sync.WaitGroup // the listener's and all pumps' goroutines

	mutex    sync.Mutex
	listener net.Listener        // nil while the link is cut or has ended
	faults   [2]Fault            // by side
	from     map[string][2]Fault // by IP number of the caller, in place of faults
	versions [2]uint64           // counts the changes of faults
	changed  chan struct{}
	sessions map[*session]struct{}
	random   *rand.Rand
	accepted int
	dropped  [2]int64
}

// side indexes the two directions.
type side int

const (
	forwardSide side = iota
	backwardSide
)

// LinkState describes a link at one moment.
type LinkState struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	Target           string `json:"target"`
	Forward          string `json:"forward"`  // the fault, for people
	Backward         string `json:"backward"` // the fault, for people
	Open             int    `json:"open"`     // connections
	Accepted         int    `json:"accepted"` // connections since the start
	SwallowedForward int64  `json:"swallowed-forward-bytes"`
	SwallowedBack    int64  `json:"swallowed-backward-bytes"`
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
		options:     options,
		ctx:         ctx,
		reservation: reservation,
		closed:      make(chan struct{}),
		faults:      [2]Fault{{Kind: Pass}, {Kind: Pass}},
		changed:     make(chan struct{}),
		sessions:    map[*session]struct{}{},
		from:        map[string][2]Fault{},
		random:      rand.New(rand.NewPCG(seed, 0)),
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

// Addr returns the ip:port on which the link listens.
func (l *Link) Addr() string { return l.options.Address }

// Wait returns once the link and its connections have ended.
func (l *Link) Wait() {
	<-l.closed
	l.ended.Wait()
}

// State describes the link as it is now.
func (l *Link) State() LinkState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return LinkState{
		Name:             l.options.Name,
		Address:          l.options.Address,
		Target:           l.options.Target,
		Forward:          l.faults[forwardSide].String(),
		Backward:         l.faults[backwardSide].String(),
		Open:             len(l.sessions),
		Accepted:         l.accepted,
		SwallowedForward: l.dropped[forwardSide],
		SwallowedBack:    l.dropped[backwardSide],
	}
}

// -----------------------------------------------------------------------------

// Set puts a fault on a direction in place of the one before. The link is cut
// for as long as either direction has the fault Cut.
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
		l.setSide(forwardSide, fault)
	}
	if direction != Forward {
		l.setSide(backwardSide, fault)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return l.applyCut()
}

// SetFrom puts a fault on a direction of the connections that come from an IP
// number, in place of the faults of the link. Cut resets those that are open
// and refuses new ones.
func (l *Link) SetFrom(ip string, direction Direction, fault Fault) error {
	if err := direction.check(); err != nil {
		return err
	}
	if err := fault.check(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	faults, ok := l.from[ip]
	if !ok {
		faults = [2]Fault{{Kind: Pass}, {Kind: Pass}}
	}
	if direction != Backward {
		faults[forwardSide] = fault
	}
	if direction != Forward {
		faults[backwardSide] = fault
	}
	l.from[ip] = faults
	l.versions[forwardSide]++
	l.versions[backwardSide]++
	close(l.changed)
	l.changed = make(chan struct{})
	l.cutFrom(ip, faults)
	return nil
}

// cutFrom resets the connections from an IP number when its faults demand it.
func (l *Link) cutFrom(ip string, faults [2]Fault) {
	if faults[forwardSide].Kind != Cut && faults[backwardSide].Kind != Cut {
		return
	}
	for s := range l.sessions {
		if s.callerIP == ip {
			s.reset()
		}
	}
}

// faultsOf returns the faults for the connections from an IP number.
func (l *Link) faultsOf(ip string) [2]Fault {
	if faults, ok := l.from[ip]; ok {
		return faults
	}
	return l.faults
}

func (l *Link) setSide(s side, fault Fault) {
	l.faults[s] = fault
	l.versions[s]++
}

// applyCut closes or opens the link as its faults demand.
func (l *Link) applyCut() error {
	cut := l.faults[forwardSide].Kind == Cut || l.faults[backwardSide].Kind == Cut
	if cut {
		l.close()
		return nil
	}
	if l.listener == nil && l.ctx.Err() == nil {
		return l.listen()
	}
	return nil
}

// SilenceOpen silences the connections that are open now, both ways and for
// good, while new ones work. Neither end is told.
func (l *Link) SilenceOpen() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for s := range l.sessions {
		s.silent = true
	}
}

// -----------------------------------------------------------------------------

// listen opens the link's address and accepts from it.
func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.options.Address)
	if err != nil {
		return flow.Wrap("listen", l.options.Address, err)
	}
	l.listener = listener
	l.ended.Add(1)
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	defer l.ended.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.ended.Add(1)
		go l.serve(conn.(*net.TCPConn))
	}
}

// serve dials the target for a new connection and pumps both ways.
func (l *Link) serve(caller *net.TCPConn) {
	defer l.ended.Done()
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

// register makes a session. It is reset at once when the link was cut in the
// meantime.
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

// close stops listening and resets all connections.
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
