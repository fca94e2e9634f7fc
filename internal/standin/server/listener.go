// The server's listener, which limits and counts connections and charges a cost
// for accepting each.

package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener is a listener with at most max open connections. It accepts one
// connection at a time, which takes acceptTime, and resets connections above the
// limit.
type limitedListener struct {
	net.Listener
	max        int64
	acceptTime time.Duration

	open    atomic.Int64
	opened  atomic.Int64
	refused atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.acceptTime)
		if l.open.Load() >= l.max {
			l.refused.Add(1)
			reset(conn)
			continue
		}
		l.open.Add(1)
		l.opened.Add(1)
		return &countedConn{Conn: conn, closed: func() { l.open.Add(-1) }}, nil
	}
}

// countedConn is a connection that calls closed once, when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection and counts it as closed.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if counted, ok := conn.(*countedConn); ok {
		counted.once.Do(counted.closed)
		conn = counted.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
