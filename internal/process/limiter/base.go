// The base of a server's latency: what its good answers took of late when
// nothing was wrong. Rises are judged against it.

package limiter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	recentAnswers  = 8                     // moments, or slices of time, that are compared with the base
	momentSpan     = time.Millisecond      // time whose answers count as one, since a pause of the machine ends many at once
	sliceSpan      = 3 * time.Millisecond  // least time of a slice, whose answers count as one
	baseRise       = 10 * time.Second      // time constant with which the base follows a rise
	baseFall       = 2 * time.Second       // time constant with which the base follows a fall
	spreadWeight   = 0.02                  // weight of an answer in the spread
	lastingRise    = 8 * time.Millisecond  // smaller rises over the last slices are scheduling noise
	suddenRise     = 50 * time.Millisecond // smaller rises over the last moments may be those of one pause
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
	strained = rise{ratio: 1.35, errors: 2.5}
	// turnedCold means that the server is not what it was.
	turnedCold = rise{ratio: 3, errors: 6}
)

// latencyBase compares the last few good answers with a smoothed base. It
// reckons with logarithms, since latencies spread by factors.
//
// A machine with more to run than processors pauses now and then, which delays
// all answers of a moment. So answers that end together count as one, and small
// rises have to last longer than large ones.
type latencyBase struct {
	moments series
	slices  series
	base    float64 // logarithm of nanoseconds
	spread  float64 // mean absolute deviation of one answer from the base
	updated flow.Time
}

// observe takes the latency of one good answer.
func (b *latencyBase) observe(now flow.Time, latency time.Duration) {
	value := math.Log(float64(max(latency, leastLatency)))
	b.moments.add(now, value, momentSpan)
	b.slices.add(now, value, sliceSpan)
	if b.moments.seen <= recentAnswers {
		b.learn()
		b.updated = now
		return
	}
	b.follow(now.Sub(b.updated), value)
	b.updated = now
}

// ready reports whether the base says anything yet.
func (b *latencyBase) ready() bool {
	return b.moments.full()
}

// exceeded reports whether the recent latency has risen that much.
func (b *latencyBase) exceeded(by rise) bool {
	return b.risen(&b.moments, suddenRise, by) || b.risen(&b.slices, lastingRise, by)
}

func (b *latencyBase) risen(recent *series, least time.Duration, by rise) bool {
	if !recent.full() {
		return false
	}
	mean := recent.mean()
	if math.Exp(mean)-math.Exp(b.base) < float64(least) {
		return false
	}
	standardError := deviationScale * b.spread / math.Sqrt(recentAnswers)
	return mean-b.base > max(math.Log(by.ratio), by.errors*standardError)
}

// -----------------------------------------------------------------------------

// learn takes base and spread from the first answers.
func (b *latencyBase) learn() {
	first := b.moments.values[:b.moments.seen]
	b.base = sum(first) / float64(len(first))
	b.spread = 0
	for _, value := range first {
		b.spread += math.Abs(value-b.base) / float64(len(first))
	}
}

func (b *latencyBase) follow(elapsed time.Duration, value float64) {
	mean := b.moments.mean()
	constant := baseRise
	if mean < b.base {
		constant = baseFall
	}
	b.base += (mean - b.base) * (1 - math.Exp(-float64(elapsed)/float64(constant)))
	b.spread += spreadWeight * (math.Abs(value-mean) - b.spread)
}

// -----------------------------------------------------------------------------

// series keeps the last few means of answers that ended together.
type series struct {
	values [recentAnswers]float64 // logarithms of nanoseconds
	seen   int
	since  flow.Time // when the newest began
	count  int       // answers in the newest
}

// add takes an answer into the newest mean, or begins another when that one
// began a span ago.
func (s *series) add(now flow.Time, value float64, span time.Duration) {
	if s.seen == 0 || now.Sub(s.since) >= span {
		s.seen++
		s.since = now
		s.count = 0
	}
	s.count++
	newest := &s.values[(s.seen-1)%recentAnswers]
	if s.count == 1 {
		*newest = value
		return
	}
	*newest += (value - *newest) / float64(s.count)
}

func (s *series) full() bool { return s.seen >= recentAnswers }

// mean wants a full series.
func (s *series) mean() float64 { return sum(s.values[:]) / recentAnswers }

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
