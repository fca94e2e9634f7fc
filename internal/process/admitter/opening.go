// The opening of connections: capped, and no faster than the server bears.

package admitter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// openingShare is the share of the server's time that opening connections may
// take.
const openingShare = 0.25

// openings paces the opening of connections. Time between openings is kept in
// Durations, because the cost of one may be less than the clock's millisecond.
type openings struct {
	most     int
	interval time.Duration
	open     int
	next     time.Duration // since the clock's origin
}

func newOpenings(most int, cost time.Duration) openings {
	return openings{most: most, interval: time.Duration(float64(cost) / openingShare)}
}

// MayOpen reports whether a connection to the server may be opened now, and if
// so counts it as open until Closed.
func (g *Gate) MayOpen(now flow.Time) bool {
	o := &g.openings
	if o.most > 0 && o.open >= o.most {
		return false
	}
	at := now.Sub(0)
	if at < o.next {
		return false
	}
	credit := time.Millisecond - min(o.interval, time.Millisecond)
	o.next = max(o.next, at-credit) + o.interval
	o.open++
	return true
}

// Closed counts the end of a connection for which MayOpen was true, whether or
// not it could be opened.
func (g *Gate) Closed(flow.Time) {
	g.openings.open--
}

// NextOpening returns the earliest time at which MayOpen can be true, apart
// from the cap.
func (g *Gate) NextOpening(now flow.Time) flow.Time {
	return max(now, flow.Time((g.openings.next+time.Millisecond-1)/time.Millisecond))
}
