// Detection of a server restart from the connections that it closes.

package sender

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// restartWindow is the time within which a server that ends closes all of its
// connections. It is several times the length of a pause on a busy host.
const restartWindow = 250 * time.Millisecond

// connectionSet holds the open connections to one backend server, numbered in the
// order in which they were opened. When a server restarts, it closes every connection
// that was open when it closed the first one. Connections opened after that lead to
// the new process and are no evidence.
type connectionSet struct {
	open              map[uint64]struct{}
	lastNumber        uint64
	closingSince      flow.Time // when the server closed the first connection of the current window
	lastBeforeClosing uint64    // last connection opened before closingSince
}

func newConnectionSet() connectionSet {
	return connectionSet{open: map[uint64]struct{}{}, closingSince: flow.Never}
}

// add returns the number of a new connection.
func (c *connectionSet) add() uint64 {
	c.lastNumber++
	c.open[c.lastNumber] = struct{}{}
	return c.lastNumber
}

// remove records that a connection was closed, and reports whether this shows that
// the server restarted. byServer is true if the server closed the connection without
// announcing it.
func (c *connectionSet) remove(now flow.Time, number uint64, byServer bool) bool {
	delete(c.open, number)
	if !byServer {
		return false
	}
	if now.Sub(c.closingSince) > restartWindow {
		c.closingSince, c.lastBeforeClosing = now, c.lastNumber
	}
	for other := range c.open {
		if other <= c.lastBeforeClosing {
			return false
		}
	}
	return number <= c.lastBeforeClosing
}
