// The capacity of a backend server, as a state machine without input or output.
// A warm server runs a request in each of its slots and sheds the rest. A cold
// server has a smaller capacity and collapses when it is given more.

package server

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Temperature is the state of a server's capacity.
type Temperature string

// The temperatures.
const (
	// Warm servers have a capacity of all their slots.
	Warm Temperature = "warm"
	// Cold servers start with a capacity of one request, which grows with time.
	Cold Temperature = "cold"
	// Collapsed servers ran more requests than their capacity and fail every
	// request until the collapse ends.
	Collapsed Temperature = "collapsed"
)

// capacityModel is not safe for concurrent use.
type capacityModel struct {
	slots        int
	coldStart    time.Duration
	collapseTime time.Duration

	running        int
	coldSince      flow.Time // beginning of the last cold start
	collapsedUntil flow.Time // end of the last collapse; a cold start follows it
}

// admission is the decision on a request that arrives.
type admission struct {
	admitted    bool // false when the request is shed
	running     int  // running requests, including this one if it is admitted
	capacity    int  // capacity when the request arrived
	overloaded  bool // the request exceeded the capacity
	temperature Temperature
}

func newCapacityModel(slots int, coldStart, collapseTime time.Duration) *capacityModel {
	return &capacityModel{
		slots:          slots,
		coldStart:      coldStart,
		collapseTime:   collapseTime,
		coldSince:      flow.Never,
		collapsedUntil: flow.Never,
	}
}

// startCold begins a cold start.
func (c *capacityModel) startCold(now flow.Time) {
	c.coldSince = now
	c.collapsedUntil = flow.Never
}

func (c *capacityModel) temperature(now flow.Time) Temperature {
	if now.Before(c.collapsedUntil) {
		return Collapsed
	}
	if now.Sub(c.coldSince) < c.coldStart {
		return Cold
	}
	return Warm
}

// current returns how many requests the server can run at once. During a cold
// start it grows linearly from one to the number of slots.
func (c *capacityModel) current(now flow.Time) int {
	switch c.temperature(now) {
	case Collapsed:
		return 1
	case Cold:
		progress := float64(now.Sub(c.coldSince)) / float64(c.coldStart)
		return 1 + int(progress*float64(c.slots-1))
	default:
		return c.slots
	}
}

// admit takes a slot for a request or sheds the request when all slots are taken.
// A request above the capacity makes the server collapse.
func (c *capacityModel) admit(now flow.Time) admission {
	if c.running >= c.slots {
		return admission{running: c.running, capacity: c.current(now), temperature: c.temperature(now)}
	}
	capacity := c.current(now)
	c.running++
	overloaded := c.running > capacity
	if overloaded {
		c.collapsedUntil = now.Add(c.collapseTime)
		c.coldSince = c.collapsedUntil
	}
	return admission{
		admitted:    true,
		running:     c.running,
		capacity:    capacity,
		overloaded:  overloaded,
		temperature: c.temperature(now),
	}
}

// release frees the slot of an admitted request that has stopped running.
func (c *capacityModel) release() { c.running-- }
