// What the gate reports: its load, its statistics, and the outcome and latency
// of the requests that ran since the last report.

package admitter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The latency histogram has geometric buckets, so that the error of a quantile
// is at most half a bucket's width and memory does not depend on traffic.
const (
	bucketRatio      = 1.05                   // upper bound of a bucket over its lower bound
	firstBucketBound = 100 * time.Microsecond // upper bound of the first bucket
	bucketCount      = 290                    // the last bucket ends at about two minutes
	quickQuantile    = 0.25
	medianQuantile   = 0.5
	slowQuantile     = 0.9
)

// reportWindow counts the requests that ended since the last report.
type reportWindow struct {
	count     int
	failures  int
	successes int
	buckets   [bucketCount]uint32
}

// Load returns the requests waiting and in flight over the limit; ingresses
// receive it with each response. It is above 1 when requests wait, and at least
// 1 while the server is ejected, since then there is no capacity for ordinary
// requests.
func (g *Gate) Load(now flow.Time) float64 {
	load := float64(len(g.inFlight)+g.queue.length) / float64(g.limit(now))
	if g.state == StateEjected {
		return max(1, load)
	}
	return load
}

// Report returns and resets the counts and latencies since the last report.
// Shed and cancelled requests are left out, because they do not show whether
// the server works; connections that could not be opened count as failures. The
// latencies are left out during the declared cold start, when a server is
// expected to be slow.
func (g *Gate) Report(now flow.Time) flow.ServerReport {
	report := flow.ServerReport{
		Server:   g.options.Server,
		Count:    g.window.count,
		Failures: g.window.failures,
	}
	if !g.options.Limiter.Warming(now) {
		report.LatencyP25 = g.window.quantile(quickQuantile)
		report.LatencyP50 = g.window.quantile(medianQuantile)
		report.LatencyP90 = g.window.quantile(slowQuantile)
	}
	g.window = reportWindow{}
	return report
}

// Stats is a snapshot of a Gate for the status page and metrics.
type Stats struct {
	State       State
	Limit       int
	InFlight    int
	Waiting     int
	Connections int           // open
	Refusals    uint64        // requests refused on arrival since the Gate was created
	Evicted     uint64        // waiting requests evicted for another customer's, likewise
	Latency     time.Duration // smoothed, of successful responses; 0 before the first
}

// Stats returns a snapshot of the gate.
func (g *Gate) Stats(now flow.Time) Stats {
	return Stats{
		State:       g.state,
		Limit:       g.limit(now),
		InFlight:    len(g.inFlight),
		Waiting:     g.queue.length,
		Connections: g.connections.open,
		Refusals:    g.refusals,
		Evicted:     g.evicted,
		Latency:     g.latency,
	}
}

func (w *reportWindow) observe(verdict flow.Verdict, latency time.Duration) {
	switch verdict {
	case flow.VerdictShed, flow.VerdictCancelled:
		return
	case flow.VerdictGood:
		w.successes++
		w.buckets[bucketOf(latency)]++
	default:
		w.failures++
	}
	w.count++
}

func bucketOf(latency time.Duration) int {
	if latency <= firstBucketBound {
		return 0
	}
	i := math.Log(float64(latency)/float64(firstBucketBound)) / math.Log(bucketRatio)
	return min(int(math.Ceil(i)), bucketCount-1)
}

// quantile returns the middle of the bucket that holds the q-quantile of the
// latency of successful responses, or 0 when there are none.
func (w *reportWindow) quantile(q float64) time.Duration {
	if w.successes == 0 {
		return 0
	}
	rank := uint32(math.Ceil(q * float64(w.successes)))
	var seen uint32
	for i, count := range w.buckets {
		seen += count
		if seen >= rank {
			return time.Duration(float64(firstBucketBound) * math.Pow(bucketRatio, float64(i)-0.5))
		}
	}
	return 0
}
