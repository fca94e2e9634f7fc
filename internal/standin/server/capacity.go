// How much a backend server bears, as a state machine without input or output:
// warm it runs as many requests as it has slots and sheds the rest; cold it
// bears few, and collapses when it is given more.

package server

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Temperature is how far a server is from its full capacity.
type Temperature string

// The temperatures.
const (
	// Warm servers bear a request in every slot.
	Warm Temperature = "warm"
	// Cold servers bear one request at first, and more with time.
	Cold Temperature = "cold"
	// Collapsed servers were given more than they bore; they fail all work.
	Collapsed Temperature = "collapsed"
)

// capacity is not safe for use by many goroutines.
type capacity struct {
	slots        int
	coldStart    time.Duration
	collapseTime time.Duration

	running        int
	coldSince      flow.Time // start of the last cold start
	collapsedUntil flow.Time // end of the last collapse, which is a cold start too
}

// admission is what a server does with a request that arrives.
type admission struct {
	run         bool // false when the request is shed
	running     int  // requests that run, this one included
	bears       int  // requests that the server bore when this one came
	overloaded  bool // the request was more than the server bore
	temperature Temperature
}

func newCapacity(slots int, coldStart, collapseTime time.Duration) *capacity {
	return &capacity{
		slots:          slots,
		coldStart:      coldStart,
		collapseTime:   collapseTime,
		coldSince:      flow.Never,
		collapsedUntil: flow.Never,
	}
}

// turnCold begins a cold start.
func (c *capacity) turnCold(now flow.Time) {
	c.coldSince = now
	c.collapsedUntil = flow.Never
}

func (c *capacity) temperature(now flow.Time) Temperature {
	if now.Before(c.collapsedUntil) {
		return Collapsed
	}
	if now.Sub(c.coldSince) < c.coldStart {
		return Cold
	}
	return Warm
}

// bears returns how many requests the server bears at once. It grows evenly
// from one to the slots over a cold start.
func (c *capacity) bears(now flow.Time) int {
	switch c.temperature(now) {
	case Collapsed:
		return 1
	case Cold:
		warmed := float64(now.Sub(c.coldSince)) / float64(c.coldStart)
		return 1 + int(warmed*float64(c.slots-1))
	default:
		return c.slots
	}
}

// begin takes a request in or sheds it. A request above what is borne makes
// the server collapse.
func (c *capacity) begin(now flow.Time) admission {
	if c.running >= c.slots {
		return admission{running: c.running, bears: c.bears(now), temperature: c.temperature(now)}
	}
	bears := c.bears(now)
	c.running++
	overloaded := c.running > bears
	if overloaded {
		c.collapsedUntil = now.Add(c.collapseTime)
		c.coldSince = c.collapsedUntil
	}
	return admission{
		run:         true,
		running:     c.running,
		bears:       bears,
		overloaded:  overloaded,
		temperature: c.temperature(now),
	}
}

// end notes that a request which began has stopped running.
func (c *capacity) end() { c.running-- }
