// The latency-gradient limiter, kept to be measured against.

package limiter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	gradientTolerance = 1.5  // short over long latency that leaves the limit alone
	gradientLeast     = 0.5  // least factor of one step
	gradientSmoothing = 0.2  // weight of a new estimate of the limit
	gradientShort     = 0.2  // weight of an answer in the short average
	gradientLong      = 0.01 // weight of an answer in the long average
	gradientDrop      = 0.9  // factor on an answer that is not good
)

// gradient moves the limit by the ratio of a long to a short average of the
// latency, with room for a queue of the square root of the limit.
type gradient struct {
	options Options
	limit   float64
	short   float64 // nanoseconds
	long    float64 // nanoseconds
}

func newGradient(options Options) *gradient {
	return &gradient{options: options, limit: coldLimit}
}

// Limit returns the limit in force.
func (g *gradient) Limit(flow.Time) int { return int(g.limit) }

// Warming is false, since this limiter knows nothing of cold starts.
func (*gradient) Warming(flow.Time) bool { return false }

// Observe moves the limit along the gradient.
func (g *gradient) Observe(_, _ flow.Time, latency time.Duration, inFlight int, verdict flow.Verdict) {
	switch verdict {
	case flow.VerdictGood:
		g.good(float64(latency), inFlight)
	case flow.VerdictCancelled:
	default:
		g.set(g.limit * gradientDrop)
	}
}

// -----------------------------------------------------------------------------

func (g *gradient) good(latency float64, inFlight int) {
	if g.long == 0 {
		g.short = latency
		g.long = latency
	}
	g.short += gradientShort * (latency - g.short)
	g.long += gradientLong * (latency - g.long)
	if inFlight < int(g.limit) {
		return
	}
	slope := 1.0
	if g.short > 0 {
		slope = gradientTolerance * g.long / g.short
	}
	slope = max(gradientLeast, min(1, slope))
	estimate := g.limit*slope + math.Sqrt(g.limit)
	g.set(g.limit*(1-gradientSmoothing) + estimate*gradientSmoothing)
}

func (g *gradient) set(limit float64) {
	g.limit = max(coldLimit, min(float64(g.options.Slots), limit))
}
