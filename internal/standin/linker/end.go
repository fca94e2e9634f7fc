package linker

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is a piece of what one end sent, or the end of that.
type segment struct {
	arrival time.Time
	data    []byte
	err     error // io.EOF or syscall.ECONNRESET
}

// end is one end of a connection. One goroutine at a time may read.
type end struct {
	network       *Network
	local, remote string
	host          string // of this end
	path          Path   // of what it sends
	otherHost     string
	other         *end

	wake chan struct{} // the reader looks again

	mu       sync.Mutex
	resets   bool // Close resets the connection
	inbound  []segment
	failure  error // of all further calls
	deadline time.Time
}

func newEnd(n *Network, local, remote string) *end {
	host, _, _ := net.SplitHostPort(local)
	otherHost, _, _ := net.SplitHostPort(remote)
	return &end{
		network: n, local: local, remote: remote, host: host, otherHost: otherHost,
		path: Path{n.zoneOf(host), n.zoneOf(otherHost)}, wake: make(chan struct{}, 1),
	}
}

func (e *end) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// fail makes all further calls fail.
func (e *end) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failure == nil {
		e.failure = err
	}
	e.signal()
}

// push adds what the other end sent.
func (e *end) push(s segment) {
	s.arrival = time.Now().Add(e.network.delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inbound = append(e.inbound, s)
	e.signal()
}

// Read implements net.Conn.
func (e *end) Read(b []byte) (int, error) {
	for {
		n, wait, err := e.take(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		var timeout <-chan time.Time
		var timer *time.Timer
		if wait >= 0 {
			timer = time.NewTimer(wait)
			timeout = timer.C
		}
		select {
		case <-e.wake:
		case <-timeout:
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// take copies what has arrived. If there is nothing, it returns how long the reader may
// wait; a negative wait has no limit.
func (e *end) take(b []byte) (n int, wait time.Duration, err error) {
	silent := e.network.isSilent(e.host, e.otherHost)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failure != nil {
		return 0, 0, e.failure
	}
	now, wait := time.Now(), time.Duration(-1)
	if !e.deadline.IsZero() {
		if wait = e.deadline.Sub(now); wait <= 0 {
			return 0, 0, os.ErrDeadlineExceeded
		}
	}
	if len(e.inbound) == 0 || silent {
		return 0, wait, nil
	}
	first := &e.inbound[0]
	if left := first.arrival.Sub(now); left > 0 {
		if wait < 0 || left < wait {
			wait = left
		}
		return 0, wait, nil
	}
	if first.err != nil {
		if first.err != io.EOF {
			e.failure = first.err
		}
		return 0, 0, first.err
	}
	n = copy(b, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		e.inbound = e.inbound[1:]
	}
	return n, 0, nil
}

// Write implements net.Conn. It never blocks.
func (e *end) Write(b []byte) (int, error) {
	e.mu.Lock()
	failure := e.failure
	e.mu.Unlock()
	if failure != nil {
		return 0, failure
	}
	e.other.push(segment{data: append([]byte(nil), b...)})
	e.network.mu.Lock()
	e.network.traffic.Bytes[e.path] += len(b)
	e.network.mu.Unlock()
	return len(b), nil
}

// Close implements net.Conn.
func (e *end) Close() error {
	e.mu.Lock()
	resets := e.resets
	e.mu.Unlock()
	if resets {
		return e.closeWith(syscall.ECONNRESET)
	}
	return e.closeWith(io.EOF)
}

// SetLinger makes Close reset the connection if the time is 0, as net.TCPConn does.
func (e *end) SetLinger(seconds int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resets = seconds == 0
	return nil
}

func (e *end) closeWith(err error) error {
	e.mu.Lock()
	closed := e.failure != nil
	e.mu.Unlock()
	if closed {
		return nil
	}
	e.fail(net.ErrClosed)
	e.other.push(segment{err: err})
	e.network.mu.Lock()
	delete(e.network.ends, e)
	e.network.mu.Unlock()
	return nil
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return address(e.local) }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return address(e.remote) }

// SetDeadline implements net.Conn. It holds for reads: writes do not block.
func (e *end) SetDeadline(deadline time.Time) error { return e.SetReadDeadline(deadline) }

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(deadline time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadline = deadline
	e.signal()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
