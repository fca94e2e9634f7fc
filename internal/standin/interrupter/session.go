// A session: a connection through a link, with a pump for each direction. A pump
// reads ahead into a queue of delayed chunks, so that latency does not limit
// throughput.

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
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 16 << 10
	// queueChunks is the capacity of a pump's queue.
	queueChunks = 512
)

type session struct {
	link   *Link
	caller *net.TCPConn
	target *net.TCPConn
	closed chan struct{} // closed by reset or close

	callerIP string
	once     sync.Once

	silent bool    // by SilenceOpen; guarded by the link's mutex
	lost   [2]bool // by direction: bytes were swallowed; guarded by the link's mutex
}

// chunk is a piece of a stream, or its end.
type chunk struct {
	data []byte
	end  error // io.EOF if the stream was closed; any other error for a reset
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

// reset resets both connections. The link's mutex may be held.
func (s *session) reset() {
	s.once.Do(func() {
		close(s.closed)
		resetConn(s.caller)
		resetConn(s.target)
	})
}

// close closes both connections without a reset.
func (s *session) close() {
	s.once.Do(func() {
		close(s.closed)
		s.caller.Close()
		s.target.Close()
	})
}

// run forwards until both directions have ended.
func (s *session) run() {
	s.link.mutex.Lock()
	forward := s.newPump(forwardIndex, s.caller, s.target)
	backward := s.newPump(backwardIndex, s.target, s.caller)
	s.link.mutex.Unlock()
	var pumps sync.WaitGroup
	for _, p := range []*pump{forward, backward} {
		pumps.Go(p.read)
		pumps.Go(p.write)
	}
	pumps.Wait()
	s.close()
}

// pump forwards one direction of a session.
type pump struct {
	session   *session
	direction directionIndex
	from      *net.TCPConn
	to        *net.TCPConn
	queue     chan chunk
	random    *rand.Rand
	last      time.Time // due time of the newest chunk; used by read only
	version   uint64    // of the fault that forwarded is counted for; used by write only
	forwarded int64     // bytes since the fault was set; used by write only
}

func (s *session) newPump(direction directionIndex, from, to *net.TCPConn) *pump {
	return &pump{
		session:   s,
		direction: direction,
		from:      from,
		to:        to,
		queue:     make(chan chunk, queueChunks),
		random:    rand.New(rand.NewPCG(s.link.random.Uint64(), uint64(direction))),
	}
}

// read reads chunks into the queue until the stream ends.
func (p *pump) read() {
	defer close(p.queue)
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

// enqueue adds a chunk to the queue, due no earlier than the chunk before. It
// returns false if the session was closed.
func (p *pump) enqueue(data []byte, end error) bool {
	fault, _, _ := p.currentFault()
	due := time.Now().Add(fault.Delay)
	if fault.Jitter > 0 {
		due = due.Add(time.Duration(p.random.Int64N(int64(fault.Jitter))))
	}
	if due.Before(p.last) {
		due = p.last
	}
	p.last = due
	select {
	case p.queue <- chunk{data: data, end: end, due: due}:
		return true
	case <-p.session.closed:
		return false
	}
}

// currentFault returns the fault, its version and whether the direction is
// permanently silent.
func (p *pump) currentFault() (Fault, uint64, bool) {
	link := p.session.link
	link.mutex.Lock()
	defer link.mutex.Unlock()
	silent := p.session.silent || p.session.lost[p.direction]
	return link.faultsOf(p.session.callerIP)[p.direction], link.versions[p.direction], silent
}

// write writes chunks from the queue to the other connection when they are due.
func (p *pump) write() {
	for c := range p.queue {
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

// waitHeld waits as long as the fault is Hold. It returns false if the session was
// closed.
func (p *pump) waitHeld() bool {
	link := p.session.link
	for {
		link.mutex.Lock()
		held := link.faultsOf(p.session.callerIP)[p.direction].Kind == Hold
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

// deliver writes, swallows or truncates a chunk, and reports whether the stream
// goes on.
func (p *pump) deliver(c chunk) bool {
	fault, version, silent := p.currentFault()
	if silent || fault.Kind == Swallow {
		return p.swallow(c)
	}
	if c.end != nil {
		p.forwardEnd(c.end)
		return false
	}
	if fault.Kind == Truncate || fault.Kind == Reset {
		return p.deliverLimited(fault, version, c.data)
	}
	return p.send(c.data)
}

// swallow drops a chunk. After a swallowed end the other connection stays open
// until the other direction or the link closes the session.
func (p *pump) swallow(c chunk) bool {
	link := p.session.link
	link.mutex.Lock()
	link.swallowed[p.direction] += int64(len(c.data))
	p.session.lost[p.direction] = true
	link.mutex.Unlock()
	if c.end == nil {
		return true
	}
	<-p.session.closed
	return false
}

// forwardEnd forwards the end of the stream; a reset is forwarded as a reset.
func (p *pump) forwardEnd(end error) {
	if errors.Is(end, io.EOF) {
		p.to.CloseWrite() // fails if the other end has gone
		return
	}
	p.session.reset()
}

// deliverLimited writes a chunk until the limit of the fault Truncate or Reset is
// reached, and then ends the session.
func (p *pump) deliverLimited(fault Fault, version uint64, data []byte) bool {
	if version != p.version {
		p.version = version
		p.forwarded = 0
	}
	left := fault.Bytes - p.forwarded
	p.forwarded += int64(len(data))
	if left >= int64(len(data)) {
		return p.send(data)
	}
	p.send(data[:max(left, 0)])
	if fault.Kind == Reset {
		p.session.reset()
	} else {
		p.session.close()
	}
	return false
}

// send writes to the other connection, and resets the session if that fails.
func (p *pump) send(data []byte) bool {
	if _, err := p.to.Write(data); err != nil {
		p.session.reset()
		return false
	}
	return true
}
