// The server's listener, where connections are counted and cost their time.

package server

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate is a listener that holds at most so many connections and takes its time
// over each new one. It closes what comes above its cap.
type gate struct {
	net.Listener
	max  int64
	cost time.Duration

	open    atomic.Int64
	opened  atomic.Int64
	refused atomic.Int64
}

// Accept returns the next connection within the cap.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(g.cost)
		if g.open.Load() >= g.max {
			g.refused.Add(1)
			reset(conn)
			continue
		}
		g.open.Add(1)
		g.opened.Add(1)
		return &countedConn{Conn: conn, closed: func() { g.open.Add(-1) }}, nil
	}
}

// countedConn is a connection that tells once when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// reset closes a connection so that its other end sees a reset.
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
