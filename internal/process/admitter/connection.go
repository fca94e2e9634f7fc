// Pacing of new connections, and the limit on open ones.

package admitter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// connectionTimeShare is the share of the server's time that opening
// connections may take.
const connectionTimeShare = 0.25

// connectionPacer spaces out new connections. It keeps times as Durations,
// because opening one connection may cost less than the clock's millisecond.
type connectionPacer struct {
	limit    int
	interval time.Duration
	open     int
	nextOpen time.Duration // since the clock's origin
}

func newConnectionPacer(limit int, cost time.Duration) connectionPacer {
	return connectionPacer{limit: limit, interval: time.Duration(float64(cost) / connectionTimeShare)}
}

// AcquireConnection reports whether a connection to the server may be opened
// now. If so, the connection counts as open until ReleaseConnection.
func (g *Gate) AcquireConnection(now flow.Time) bool {
	c := &g.connections
	if c.limit > 0 && c.open >= c.limit {
		return false
	}
	at := now.Sub(0)
	if at < c.nextOpen {
		return false
	}
	// With an interval below the clock's millisecond, several connections may open at
	// the same time of the clock.
	credit := time.Millisecond - min(c.interval, time.Millisecond)
	c.nextOpen = max(c.nextOpen, at-credit) + c.interval
	c.open++
	return true
}

// ReleaseConnection records the end of a connection for which AcquireConnection
// returned true, whether or not opening it succeeded.
func (g *Gate) ReleaseConnection(flow.Time) {
	g.connections.open--
}

// NextConnectionTime returns the earliest time at which AcquireConnection can
// return true, leaving the limit on open connections aside.
func (g *Gate) NextConnectionTime(now flow.Time) flow.Time {
	return max(now, flow.Time((g.connections.nextOpen+time.Millisecond-1)/time.Millisecond))
}
