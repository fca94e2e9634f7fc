// The limiter with additive increase and multiplicative decrease.

package limiter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	coldLimit             = 1.0                    // limit of a cold or unknown server
	decreaseFactor        = 0.5                    // factor on the limit after a shed, failed or timed-out request
	initialGrowthInterval = 250 * time.Millisecond // minimum time for one more slot above the threshold, at first
	maxGrowthInterval     = 2 * time.Second        // the most to which that time is doubled
	collapseFailures      = 3                      // consecutive failures and timeouts after which the server counts as cold
	idleTimeout           = 5 * time.Second        // time without responses after which the server counts as unknown
)

// aimd grows the limit by one slot a round trip while successful responses use
// the limit in full. It halves the limit on a failure, at most once a round
// trip. Applying the congestion control of TCP to an unknown, changing limit,
// with the other side's refusals as the only signal, is the idea of "Saturating
// Shopify: Gadget's strategy for Shopify sync". Here the limit is on
// concurrency, rising latency is a signal too, and a server may lose all its
// capacity, after which the limit returns to one.
//
// As in TCP, a threshold remembers the capacity of the server. Below it the
// limit grows with each round trip; above it, by at most one slot in
// growthInterval, because servers warm up over seconds while their round trips
// take milliseconds.
type aimd struct {
	options             Options
	limit               float64
	threshold           float64
	growthInterval      time.Duration // minimum time for one more slot above the threshold; doubles each time the server turns cold
	consecutiveFailures int           // failures and timeouts since the last successful response
	baseline            latencyBaseline
	succeeded           bool      // a response was successful since the server was last cold
	known               bool      // the limiter has been used; the times below are set
	coldSince           flow.Time // when the server was last found to be cold
	lastStart           flow.Time // when the server was last seen to start; high latency alone may be a fault instead
	lastReset           flow.Time // when the limit was last reset, because the server had lost its capacity
	lastDecrease        flow.Time // when the limit was last lowered
	lastObserved        flow.Time
	lastGrowth          flow.Time
}

func newAIMD(options Options) *aimd {
	return &aimd{
		options:        options,
		limit:          coldLimit,
		threshold:      coldLimit,
		growthInterval: initialGrowthInterval,
		lastReset:      flow.Never,
		lastDecrease:   flow.Never,
	}
}

// Limit returns the current limit.
func (a *aimd) Limit(now flow.Time) int {
	a.refresh(now)
	return int(min(a.limit, a.maxLimit(now)))
}

// Observe grows, lowers or resets the limit after the end of one request.
func (a *aimd) Observe(now, started flow.Time, latency time.Duration, inFlight int, verdict flow.Verdict) {
	a.refresh(now)
	if verdict == flow.VerdictCancelled {
		return
	}
	a.lastObserved = now
	switch verdict {
	case flow.VerdictGood:
		a.observeSuccess(now, started, latency, inFlight)
	case flow.VerdictRefused:
		a.observeRefusedConnection(now, started)
	case flow.VerdictShed:
		a.halve(now, started)
	default:
		a.observeFailure(now, started)
	}
}

// refresh initializes the times on first use. It resets the limit of a server
// that has been idle for idleTimeout, which may have restarted unnoticed.
func (a *aimd) refresh(now flow.Time) {
	if !a.known {
		a.known = true
		a.coldSince = now
		a.lastStart = now
		a.lastObserved = now
		a.lastGrowth = now
		return
	}
	if now.Sub(a.lastObserved) < idleTimeout || a.limit == coldLimit {
		return
	}
	a.threshold = max(coldLimit, a.limit*decreaseFactor)
	a.limit = coldLimit
	a.lastObserved = now
}

// Warming reports whether the declared cold start has not yet passed since the
// server was last seen to start.
func (a *aimd) Warming(now flow.Time) bool {
	return a.known && now.Sub(a.lastStart) < a.options.ColdStart
}

// maxLimit is the number of slots. During a declared cold start, it rises
// linearly from coldLimit.
func (a *aimd) maxLimit(now flow.Time) float64 {
	slots := float64(a.options.Slots)
	if a.options.ColdStart <= 0 {
		return slots
	}
	progress := float64(now.Sub(a.coldSince)) / float64(a.options.ColdStart)
	return min(slots, coldLimit+(slots-coldLimit)*progress)
}

func (a *aimd) observeSuccess(now, started flow.Time, latency time.Duration, inFlight int) {
	if !started.After(a.lastReset) {
		return // the server's capacity has changed since
	}
	a.succeeded = true
	a.consecutiveFailures = 0
	a.baseline.observe(now, latency)
	if a.baseline.exceededBy(coldRise) {
		a.reset(now)
		return
	}
	if !started.After(a.lastDecrease) {
		return // it ran under an earlier limit
	}
	if a.baseline.exceededBy(overloadRise) {
		a.decrement(now)
		return
	}
	a.grow(now, inFlight)
}

// grow adds one response's share of a slot a round trip, if the limit was used
// in full.
func (a *aimd) grow(now flow.Time, inFlight int) {
	if inFlight < int(a.limit) || !a.baseline.ready() {
		a.lastGrowth = now
		return
	}
	step := 1 / a.limit
	if a.limit >= a.threshold {
		step = min(step, float64(now.Sub(a.lastGrowth))/float64(a.growthInterval))
	}
	a.lastGrowth = now
	a.limit = min(a.limit+step, a.maxLimit(now))
}

// observeFailure records a failure or a timeout. Several in a row mean that the
// server has collapsed.
func (a *aimd) observeFailure(now, started flow.Time) {
	if !started.After(a.lastReset) {
		return
	}
	a.consecutiveFailures++
	if a.consecutiveFailures >= collapseFailures {
		a.reset(now)
		return
	}
	a.halve(now, started)
}

// observeRefusedConnection records a connection that could not be opened, or the
// end of all connections at once. After a successful response it means that the
// server has restarted; before one, that the server is not up yet.
func (a *aimd) observeRefusedConnection(now, started flow.Time) {
	if started.Before(now) && !started.After(a.lastDecrease) {
		return // an attempt under an earlier limit; the end of all connections has started == now and always counts
	}
	a.lastStart = now
	if a.succeeded {
		a.reset(now)
		return
	}
	a.coldSince = now
	a.halve(now, started)
}

// decrement lowers the limit by one slot, because latency has risen.
func (a *aimd) decrement(now flow.Time) {
	a.limit = max(coldLimit, math.Floor(a.limit)-1)
	a.threshold = a.limit
	a.lastDecrease = now
	a.lastGrowth = now
}

// halve halves the limit, unless the request started before the last decrease
// and so ran under an earlier limit.
func (a *aimd) halve(now, started flow.Time) {
	if !started.After(a.lastDecrease) {
		return
	}
	a.limit = max(coldLimit, a.limit*decreaseFactor)
	a.threshold = a.limit
	a.lastDecrease = now
	a.lastGrowth = now
}

// reset returns to the limit of a cold server, whose capacity is unknown.
func (a *aimd) reset(now flow.Time) {
	a.limit = coldLimit
	a.threshold = coldLimit
	a.succeeded = false
	a.consecutiveFailures = 0
	a.growthInterval = min(2*a.growthInterval, maxGrowthInterval)
	a.baseline = latencyBaseline{}
	a.coldSince = now
	a.lastReset = now
	a.lastDecrease = now
	a.lastGrowth = now
}
