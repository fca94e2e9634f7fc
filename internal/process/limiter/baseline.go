// The baseline of a server's latency: the latency of its recent successful
// responses in normal operation. Latency rises are measured against it.

package limiter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	sampleCount      = 8                     // burst or interval samples that are compared with the baseline
	burstLength      = time.Millisecond      // responses within this time form one sample, since a pause of the machine ends many at once
	sampleInterval   = 3 * time.Millisecond  // minimum length of an interval sample
	riseTimeConstant = 10 * time.Second      // with which the baseline follows rising latency
	fallTimeConstant = 2 * time.Second       // with which the baseline follows falling latency
	deviationWeight  = 0.02                  // weight of a response in the mean absolute deviation
	minIntervalRise  = 8 * time.Millisecond  // smaller rises over the interval samples are scheduling noise
	minBurstRise     = 50 * time.Millisecond // smaller rises over the burst samples may come from a single pause
	minLatency       = 10 * time.Microsecond // shorter latencies count as this
	deviationScale   = 1.2533                // ratio of standard to mean absolute deviation in a normal distribution
)

// rise is a threshold for a rise of recent latency over the baseline. The rise
// must exceed both a ratio and a number of standard errors.
type rise struct {
	ratio          float64
	standardErrors float64
}

var (
	// overloadRise means that the limit is too high by about one.
	overloadRise = rise{ratio: 1.35, standardErrors: 2.5}
	// coldRise means that the server has lost its capacity.
	coldRise = rise{ratio: 3, standardErrors: 6}
)

// latencyBaseline compares the latest successful responses with a smoothed
// baseline. It computes with logarithms, because latencies vary by factors.
//
// A machine with more threads to run than processors pauses now and then, which
// delays all responses of that time. Therefore responses that end together form
// one sample, and small rises must last longer than large ones.
type latencyBaseline struct {
	bursts    samples
	intervals samples
	level     float64 // logarithm of nanoseconds
	deviation float64 // mean absolute deviation of one response, in the same unit
	updated   flow.Time
}

// observe records the latency of one successful response.
func (b *latencyBaseline) observe(now flow.Time, latency time.Duration) {
	value := math.Log(float64(max(latency, minLatency)))
	b.bursts.add(now, value, burstLength)
	b.intervals.add(now, value, sampleInterval)
	if b.bursts.seen <= sampleCount {
		b.initialize()
		b.updated = now
		return
	}
	b.follow(now.Sub(b.updated), value)
	b.updated = now
}

// ready reports whether the baseline has enough samples.
func (b *latencyBaseline) ready() bool {
	return b.bursts.full()
}

// exceededBy reports whether recent latency exceeds the baseline by the required
// rise.
func (b *latencyBaseline) exceededBy(required rise) bool {
	return b.exceededIn(&b.bursts, minBurstRise, required) || b.exceededIn(&b.intervals, minIntervalRise, required)
}

func (b *latencyBaseline) exceededIn(recent *samples, minRise time.Duration, required rise) bool {
	if !recent.full() {
		return false
	}
	mean := recent.mean()
	if math.Exp(mean)-math.Exp(b.level) < float64(minRise) {
		return false
	}
	standardError := deviationScale * b.deviation / math.Sqrt(sampleCount)
	return mean-b.level > max(math.Log(required.ratio), required.standardErrors*standardError)
}

// initialize computes level and deviation from the first samples.
func (b *latencyBaseline) initialize() {
	first := b.bursts.values[:b.bursts.seen]
	b.level = sum(first) / float64(len(first))
	b.deviation = 0
	for _, value := range first {
		b.deviation += math.Abs(value-b.level) / float64(len(first))
	}
}

// follow moves level and deviation towards the latest samples.
func (b *latencyBaseline) follow(elapsed time.Duration, value float64) {
	mean := b.bursts.mean()
	timeConstant := riseTimeConstant
	if mean < b.level {
		timeConstant = fallTimeConstant
	}
	b.level += (mean - b.level) * (1 - math.Exp(-float64(elapsed)/float64(timeConstant)))
	b.deviation += deviationWeight * (math.Abs(value-mean) - b.deviation)
}

// samples is a ring buffer of the latest samples. A sample is the mean of the
// responses that ended together.
type samples struct {
	values [sampleCount]float64 // logarithms of nanoseconds
	seen   int                  // samples so far, including overwritten ones
	since  flow.Time            // start of the newest sample
	count  int                  // responses in the newest sample
}

// add adds a response to the newest sample, or to a new one when the newest
// started at least length ago.
func (s *samples) add(now flow.Time, value float64, length time.Duration) {
	if s.seen == 0 || now.Sub(s.since) >= length {
		s.seen++
		s.since = now
		s.count = 0
	}
	s.count++
	newest := &s.values[(s.seen-1)%sampleCount]
	if s.count == 1 {
		*newest = value
		return
	}
	*newest += (value - *newest) / float64(s.count)
}

func (s *samples) full() bool { return s.seen >= sampleCount }

// mean returns the mean of the samples, which must be full.
func (s *samples) mean() float64 { return sum(s.values[:]) / sampleCount }

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}
