// A session: one connection through a link, and the two pumps that carry its
// bytes. Each pump reads ahead into a delay line, so that latency does not
// limit throughput.

package interrupter

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the most that is read at once.
	chunkBytes = 16 << 10
	// lineChunks is the capacity of a delay line.
	lineChunks = 512
)

type session struct {
	link   *Link
	caller *net.TCPConn
	target *net.TCPConn
	closed chan struct{} // closed when the session is reset

	callerIP string
	once     sync.Once

	silent bool    // guarded by the link's mutex
	lost   [2]bool // a direction lost bytes; guarded by the link's mutex
}

// chunk is bytes on their way, or the end of the stream.
type chunk struct {
	data []byte
	end  error // io.EOF when the stream ended in good order
	due  time.Time
}

func newSession(link *Link, caller, target *net.TCPConn) *session {
	return &session{
		link:     link,
		caller:   caller,
		target:   target,
		closed:   make(chan struct{}),
		callerIP: caller.RemoteAddr().(*net.TCPAddr).IP.String(),
	}
}

// reset resets both ends. The link's mutex may be held.
func (s *session) reset() {
	s.once.Do(func() {
		close(s.closed)
		resetConn(s.caller)
		resetConn(s.target)
	})
}

// shut closes both ends in good order.
func (s *session) shut() {
	s.once.Do(func() {
		close(s.closed)
		s.caller.Close()
		s.target.Close()
	})
}

// run pumps until both directions have ended.
func (s *session) run() {
	s.link.mutex.Lock()
	forward := s.newPump(forwardSide, s.caller, s.target)
	backward := s.newPump(backwardSide, s.target, s.caller)
	s.link.mutex.Unlock()
	var pumps sync.WaitGroup
	for _, p := range []*pump{forward, backward} {
		pumps.Go(p.read)
		pumps.Go(p.write)
	}
	pumps.Wait()
	s.shut()
}

// -----------------------------------------------------------------------------

// pump carries one direction of a session.
type pump struct {
	session *session
	side    side
	from    *net.TCPConn
	to      *net.TCPConn
	line    chan chunk
	random  *rand.Rand
	last    time.Time // due time of the newest chunk, used by read
	version uint64    // of the fault that passed is counted for, used by write
	passed  int64     // bytes since the fault came, used by write
}

func (s *session) newPump(direction side, from, to *net.TCPConn) *pump {
	return &pump{
		session: s,
		side:    direction,
		from:    from,
		to:      to,
		line:    make(chan chunk, lineChunks),
		random:  rand.New(rand.NewPCG(s.link.random.Uint64(), uint64(direction))),
	}
}

// read moves bytes from the connection into the delay line until the stream
// ends.
func (p *pump) read() {
	defer close(p.line)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 && !p.enqueue(bytes.Clone(buffer[:n]), nil) {
			return
		}
		if err != nil {
			p.enqueue(nil, err)
			return
		}
	}
}

// enqueue puts a chunk on the delay line, never to overtake the one before.
func (p *pump) enqueue(data []byte, end error) bool {
	fault, _, _ := p.look()
	due := time.Now().Add(fault.Delay)
	if fault.Jitter > 0 {
		due = due.Add(time.Duration(p.random.Int64N(int64(fault.Jitter))))
	}
	if due.Before(p.last) {
		due = p.last
	}
	p.last = due
	select {
	case p.line <- chunk{data: data, end: end, due: due}:
		return true
	case <-p.session.closed:
		return false
	}
}

// look returns the fault in force, its version and whether the direction is
// silent for good.
func (p *pump) look() (Fault, uint64, bool) {
	link := p.session.link
	link.mutex.Lock()
	defer link.mutex.Unlock()
	silent := p.session.silent || p.session.lost[p.side]
	return link.faultsOf(p.session.callerIP)[p.side], link.versions[p.side], silent
}

// -----------------------------------------------------------------------------

// write moves chunks from the delay line to the other connection when they are
// due.
func (p *pump) write() {
	for c := range p.line {
		if !p.waitUntil(c.due) || !p.waitHeld() {
			return
		}
		if !p.deliver(c) {
			return
		}
	}
}

func (p *pump) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.session.closed:
		return false
	}
}

// waitHeld waits for as long as the direction is held.
func (p *pump) waitHeld() bool {
	link := p.session.link
	for {
		link.mutex.Lock()
		held := link.faultsOf(p.session.callerIP)[p.side].Kind == Hold
		changed := link.changed
		link.mutex.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-p.session.closed:
			return false
		}
	}
}

// deliver passes, swallows or cuts a chunk, and reports whether the stream goes
// on.
func (p *pump) deliver(c chunk) bool {
	fault, version, silent := p.look()
	if silent || fault.Kind == Swallow {
		return p.swallow(c)
	}
	if c.end != nil {
		p.finish(c.end)
		return false
	}
	if fault.Kind == Truncate || fault.Kind == Reset {
		return p.deliverUpTo(fault, version, c.data)
	}
	return p.send(c.data)
}

// swallow drops a chunk. A swallowed end leaves the other connection open
// until the session is closed from the other side or with the link.
func (p *pump) swallow(c chunk) bool {
	link := p.session.link
	link.mutex.Lock()
	link.dropped[p.side] += int64(len(c.data))
	p.session.lost[p.side] = true
	link.mutex.Unlock()
	if c.end == nil {
		return true
	}
	<-p.session.closed
	return false
}

// finish passes the end of the stream on: a reset as a reset.
func (p *pump) finish(end error) {
	if errors.Is(end, io.EOF) {
		p.to.CloseWrite() // the other end may have gone
		return
	}
	p.session.reset()
}

func (p *pump) deliverUpTo(fault Fault, version uint64, data []byte) bool {
	if version != p.version {
		p.version = version
		p.passed = 0
	}
	left := fault.Bytes - p.passed
	p.passed += int64(len(data))
	if left >= int64(len(data)) {
		return p.send(data)
	}
	p.send(data[:max(left, 0)])
	if fault.Kind == Reset {
		p.session.reset()
	} else {
		p.session.shut()
	}
	return false
}

// send writes to the other connection. When that fails the session is reset.
func (p *pump) send(data []byte) bool {
	if _, err := p.to.Write(data); err != nil {
		p.session.reset()
		return false
	}
	return true
}
