// What the gate tells others: its load, and a report of each window of real
// work.

package admitter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The histogram of latencies has geometric buckets, so that a quantile is off
// by at most half a bucket's width and the memory does not depend on traffic.
const (
	bucketRatio  = 1.05                   // upper over lower bound of a bucket
	bucketLeast  = 100 * time.Microsecond // upper bound of the first bucket
	bucketCount  = 290                    // the last bucket ends at about two minutes
	quickShare   = 0.25
	medianShare  = 0.5
	slowestShare = 0.9
)

// window counts the work that ended since the last report.
type window struct {
	count    int
	failures int
	good     int
	buckets  [bucketCount]uint32
}

// Load returns the requests waiting and in flight as a share of the limit, for
// the answers to ingresses. It is above 1 when requests wait, and at least 1
// while the server is ejected, since it has no room for ordinary work.
func (g *Gate) Load(now flow.Time) float64 {
	load := float64(len(g.flights)+g.queue.length) / float64(g.limit(now))
	if g.state == StateEjected {
		return max(1, load)
	}
	return load
}

// Report returns what the server's work was like since the last report. Sheds
// and cancelled requests do not count: they say nothing about whether the
// server works. Connections that could not be opened count as failures. A
// server in its declared cold start is expected to be slow, so that its
// latencies are left out.
func (g *Gate) Report(now flow.Time) flow.ServerReport {
	report := flow.ServerReport{
		Server:   g.options.Server,
		Count:    g.window.count,
		Failures: g.window.failures,
	}
	if !g.options.Limiter.Warming(now) {
		report.Quick = g.window.quantile(quickShare)
		report.Median = g.window.quantile(medianShare)
		report.Slow = g.window.quantile(slowestShare)
	}
	g.window = window{}
	return report
}

// Figures are the gate's present state for status and metrics.
type Figures struct {
	State       State
	Limit       int
	InFlight    int
	Waiting     int
	Connections int
	Refusals    uint64 // arriving requests refused since the start
	Displaced   uint64 // waiting requests that made room for another customer's since the start
	Latency     time.Duration
}

// Figures returns the gate's present state.
func (g *Gate) Figures(now flow.Time) Figures {
	return Figures{
		State:       g.state,
		Limit:       g.limit(now),
		InFlight:    len(g.flights),
		Waiting:     g.queue.length,
		Connections: g.openings.open,
		Refusals:    g.refusals,
		Displaced:   g.displaced,
		Latency:     g.latency,
	}
}

// -----------------------------------------------------------------------------

func (w *window) observe(verdict flow.Verdict, latency time.Duration) {
	switch verdict {
	case flow.VerdictShed, flow.VerdictCancelled:
		return
	case flow.VerdictGood:
		w.good++
		w.buckets[bucketOf(latency)]++
	default:
		w.failures++
	}
	w.count++
}

func bucketOf(latency time.Duration) int {
	if latency <= bucketLeast {
		return 0
	}
	i := math.Log(float64(latency)/float64(bucketLeast)) / math.Log(bucketRatio)
	return min(int(math.Ceil(i)), bucketCount-1)
}

// quantile returns the middle of the bucket that holds the share's quantile of
// the good answers, or 0 when there are none.
func (w *window) quantile(share float64) time.Duration {
	if w.good == 0 {
		return 0
	}
	rank := uint32(math.Ceil(share * float64(w.good)))
	var seen uint32
	for i, n := range w.buckets {
		seen += n
		if seen >= rank {
			return time.Duration(float64(bucketLeast) * math.Pow(bucketRatio, float64(i)-0.5))
		}
	}
	return 0
}
