// Summaries of requests: of one reported window, and of several windows.

package ejector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The quantiles of the latencies of good responses in a report.
const (
	quickQuantile  = 0.25
	medianQuantile = 0.5
	slowQuantile   = 0.9
)

// workSummary summarizes the requests of one or more windows of a server.
type workSummary struct {
	end       flow.Time // of the newest window
	count     int
	failures  int
	good      int
	logMedian float64       // of good responses; latencies are logarithms of nanoseconds
	quantiles []quantile    // of a single window, ascending
	windows   []workSummary // the windows that were merged; none for a single window
}

// quantile is a latency in a window of good responses.
type quantile struct {
	logLatency float64 // logarithm of nanoseconds
	rank       float64 // number of responses that took at most as long
}

// newWindow returns the summary of one reported window.
func newWindow(now flow.Time, report flow.ServerReport) workSummary {
	count := max(0, report.Count)
	failures := min(max(0, report.Failures), count)
	window := workSummary{end: now, count: count, failures: failures, good: count - failures}
	if report.LatencyP50 <= 0 {
		window.good = 0
	}
	if window.good == 0 {
		return window
	}
	window.logMedian = math.Log(float64(report.LatencyP50))
	window.addQuantile(report.LatencyP25, quickQuantile)
	window.addQuantile(report.LatencyP50, medianQuantile)
	window.addQuantile(report.LatencyP90, slowQuantile)
	return window
}

// addQuantile adds a quantile, unless its latency is unknown.
func (s *workSummary) addQuantile(latency time.Duration, share float64) {
	if latency <= 0 {
		return
	}
	value := math.Log(float64(latency))
	if n := len(s.quantiles); n > 0 {
		value = max(value, s.quantiles[n-1].logLatency)
	}
	s.quantiles = append(s.quantiles, quantile{logLatency: value, rank: math.Ceil(share * float64(s.good))})
}

// slowerThan estimates how many good responses took longer than a threshold, given as
// the logarithm of nanoseconds. It is exact for windows of few responses.
func (s *workSummary) slowerThan(threshold float64) float64 {
	if len(s.windows) > 0 {
		sum := 0.0
		for i := range s.windows {
			sum += s.windows[i].slowerThan(threshold)
		}
		return sum
	}
	above := 0 // index of the first quantile over the threshold
	for above < len(s.quantiles) && s.quantiles[above].logLatency <= threshold {
		above++
	}
	// The ranks of the quantiles around the threshold give bounds, and its position
	// between their latencies interpolates.
	most, least, position := float64(s.good), 0.0, 0.5
	if above > 0 {
		most -= s.quantiles[above-1].rank
	}
	if above < len(s.quantiles) {
		least = min(most, float64(s.good)-s.quantiles[above].rank+1)
	}
	if above > 0 && above < len(s.quantiles) {
		position = (threshold - s.quantiles[above-1].logLatency) / (s.quantiles[above].logLatency - s.quantiles[above-1].logLatency)
	}
	return most - position*(most-least)
}

// mergeWindows summarizes the windows that ended after since. The windows must be
// ordered with the newest last.
func mergeWindows(windows []workSummary, since flow.Time) workSummary {
	first := len(windows)
	for first > 0 && windows[first-1].end.After(since) {
		first--
	}
	summary := workSummary{windows: windows[first:]}
	for i := range summary.windows {
		w := &summary.windows[i]
		summary.end = w.end
		summary.count += w.count
		summary.failures += w.failures
		summary.good += w.good
	}
	summary.logMedian = weightedMedian(summary.windows, summary.good)
	return summary
}

// newest returns the newest window with a good response.
func (s *workSummary) newest() workSummary {
	for i := len(s.windows) - 1; i >= 0; i-- {
		if s.windows[i].good > 0 {
			return s.windows[i]
		}
	}
	return workSummary{}
}

// weightedMedian returns the median of the windows' medians, each weighted by its
// number of good responses.
func weightedMedian(windows []workSummary, good int) float64 {
	ordered := make([]*workSummary, 0, maxWindows)
	for i := range windows {
		if windows[i].good > 0 {
			ordered = append(ordered, &windows[i])
		}
	}
	slices.SortFunc(ordered, func(a, b *workSummary) int { return cmp.Compare(a.logMedian, b.logMedian) })
	middle, seen := 0.0, 0
	for _, w := range ordered {
		if 2*seen < good {
			middle = w.logMedian
		}
		seen += w.good
	}
	return middle
}
