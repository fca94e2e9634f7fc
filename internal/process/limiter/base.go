// The base of a server's latency: what its good answers took of late when
// nothing was wrong. Rises are judged against it.

package limiter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	recentAnswers  = 8                     // good answers whose mean is compared with the base
	baseRise       = 10 * time.Second      // time constant with which the base follows a rise
	baseFall       = 2 * time.Second       // time constant with which the base follows a fall
	spreadWeight   = 0.02                  // weight of an answer in the spread
	minimumRise    = 10 * time.Millisecond // smaller rises are scheduling noise
	leastLatency   = 10 * time.Microsecond // shorter latencies count as this
	deviationScale = 1.2533                // standard over mean absolute deviation of a normal distribution
)

// A rise is the ratio of the recent latency to the base that it has to exceed,
// and by how many standard errors.
type rise struct {
	ratio  float64
	errors float64
}

var (
	// strained means that the limit is about one too high.
	strained = rise{ratio: 1.5, errors: 3.5}
	// turnedCold means that the server is not what it was.
	turnedCold = rise{ratio: 3, errors: 6}
)

// latencyBase compares the mean of the last few good answers with a smoothed
// base. It reckons with logarithms, since latencies spread by factors.
type latencyBase struct {
	recent  [recentAnswers]float64 // ring of logarithms of nanoseconds
	seen    int
	base    float64 // logarithm of nanoseconds
	spread  float64 // mean absolute deviation of one answer from the base
	updated flow.Time
}

// observe takes the latency of one good answer.
func (b *latencyBase) observe(now flow.Time, latency time.Duration) {
	value := math.Log(float64(max(latency, leastLatency)))
	b.recent[b.seen%recentAnswers] = value
	b.seen++
	if b.seen <= recentAnswers {
		b.learn()
		b.updated = now
		return
	}
	b.follow(now.Sub(b.updated), value)
	b.updated = now
}

// ready reports whether the base says anything yet.
func (b *latencyBase) ready() bool {
	return b.seen >= recentAnswers
}

// exceeded reports whether the recent latency has risen that much.
func (b *latencyBase) exceeded(by rise) bool {
	if !b.ready() {
		return false
	}
	mean := b.mean()
	if math.Exp(mean)-math.Exp(b.base) < float64(minimumRise) {
		return false
	}
	standardError := deviationScale * b.spread / math.Sqrt(recentAnswers)
	return mean-b.base > max(math.Log(by.ratio), by.errors*standardError)
}

// -----------------------------------------------------------------------------

// learn takes base and spread from the first answers.
func (b *latencyBase) learn() {
	first := b.recent[:b.seen]
	b.base = sum(first) / float64(b.seen)
	b.spread = 0
	for _, value := range first {
		b.spread += math.Abs(value-b.base) / float64(b.seen)
	}
}

func (b *latencyBase) follow(elapsed time.Duration, value float64) {
	mean := b.mean()
	constant := baseRise
	if mean < b.base {
		constant = baseFall
	}
	b.base += (mean - b.base) * (1 - math.Exp(-float64(elapsed)/float64(constant)))
	b.spread += spreadWeight * (math.Abs(value-mean) - b.spread)
}

func (b *latencyBase) mean() float64 {
	return sum(b.recent[:]) / recentAnswers
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
