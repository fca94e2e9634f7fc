// The latency gradient limiter, kept as a reference for comparisons.

package limiter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	gradientTolerance   = 1.5  // ratio of short to long latency that leaves the limit unchanged
	minGradient         = 0.5  // smallest factor of one step
	limitWeight         = 0.2  // weight of a new estimate of the limit
	shortLatencyWeight  = 0.2  // weight of a response in the short-term average
	longLatencyWeight   = 0.01 // weight of a response in the long-term average
	gradientErrorFactor = 0.9  // factor on the limit after an unsuccessful request
)

// gradient scales the limit by the ratio of a long-term to a short-term average
// of the latency, and leaves room for a queue of the square root of the limit.
type gradient struct {
	options      Options
	limit        float64
	shortLatency float64 // nanoseconds
	longLatency  float64 // nanoseconds
}

func newGradient(options Options) *gradient {
	return &gradient{options: options, limit: coldLimit}
}

// Limit returns the current limit.
func (g *gradient) Limit(flow.Time) int { return int(g.limit) }

// Warming is always false, because this limiter ignores cold starts.
func (*gradient) Warming(flow.Time) bool { return false }

// Observe adjusts the limit to the end of one request.
func (g *gradient) Observe(_, _ flow.Time, latency time.Duration, inFlight int, verdict flow.Verdict) {
	switch verdict {
	case flow.VerdictGood:
		g.observeSuccess(float64(latency), inFlight)
	case flow.VerdictCancelled:
	default:
		g.setLimit(g.limit * gradientErrorFactor)
	}
}

func (g *gradient) observeSuccess(latency float64, inFlight int) {
	if g.longLatency == 0 {
		g.shortLatency = latency
		g.longLatency = latency
	}
	g.shortLatency += shortLatencyWeight * (latency - g.shortLatency)
	g.longLatency += longLatencyWeight * (latency - g.longLatency)
	if inFlight < int(g.limit) {
		return
	}
	slope := 1.0
	if g.shortLatency > 0 {
		slope = gradientTolerance * g.longLatency / g.shortLatency
	}
	slope = max(minGradient, min(1, slope))
	estimate := g.limit*slope + math.Sqrt(g.limit)
	g.setLimit(g.limit*(1-limitWeight) + estimate*limitWeight)
}

func (g *gradient) setLimit(limit float64) {
	g.limit = max(coldLimit, min(float64(g.options.Slots), limit))
}
