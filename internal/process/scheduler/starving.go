// Protection of kinds of requests that more urgent ones would keep from running.

package scheduler

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// minServedRatio is the ratio of a route's share of started requests to that of all
	// requests below which the route starves. Users require 0.25.
	minServedRatio = 0.35
	// minOffered is the recent number of requests that a route must have to be assessed.
	minOffered = 3
	// offeredTimeConstant is the time constant with which the counts decay, and
	// decayInterval the time between two computations.
	offeredTimeConstant = 10 * time.Second
	decayInterval       = 100 * time.Millisecond
)

// servedCount counts recent requests of a route other than calls.
type servedCount struct{ offered, started float64 }

// servedCounts holds the counts of all routes and their sum.
type servedCounts struct {
	routes map[string]*servedCount
	all    servedCount
	at     flow.Time // of the last decay
}

// add counts a request as offered or started.
func (c *servedCounts) add(now flow.Time, entry Entry, offered, started float64) {
	if entry.Call {
		return
	}
	c.decay(now)
	count, ok := c.routes[entry.Route]
	if !ok {
		count = &servedCount{}
		c.routes[entry.Route] = count
	}
	for _, each := range []*servedCount{count, &c.all} {
		each.offered += offered
		each.started += started
	}
}

func (c *servedCounts) decay(now flow.Time) {
	if now.Sub(c.at) < decayInterval {
		return
	}
	factor := math.Exp(-float64(now.Sub(c.at)) / float64(offeredTimeConstant))
	c.at = now
	c.all = servedCount{c.all.offered * factor, c.all.started * factor}
	for route, count := range c.routes {
		if *count = (servedCount{count.offered * factor, count.started * factor}); count.offered < 0.01 {
			delete(c.routes, route)
		}
	}
}

// starves reports whether requests of an entry's route are started so much less often than
// others that they go first.
func (c *servedCounts) starves(entry Entry) bool {
	count, ok := c.routes[entry.Route]
	if entry.Call || !ok || count.offered < minOffered {
		return false
	}
	return count.started*c.all.offered < minServedRatio*c.all.started*count.offered
}
