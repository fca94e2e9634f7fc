// Spans of work: what a daemon reported of one window, and windows put together.

package ejector

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The shares of good answers whose latencies a report tells.
const (
	quickShare  = 0.25
	medianShare = 0.5
	slowShare   = 0.9
)

// A span is the work of one or more windows of a server, up to a moment.
type span struct {
	until    flow.Time
	count    int
	failures int
	good     int
	median   float64    // logarithm of nanoseconds, of good answers
	known    []quantile // of one window, rising
	windows  []span     // that were put together
}

// quantile is a latency in a window of good answers.
type quantile struct {
	value float64 // logarithm of nanoseconds
	rank  float64 // count of answers that took as long at most
}

// newSpan takes one window.
func newSpan(now flow.Time, report flow.ServerReport) span {
	count := max(0, report.Count)
	failures := min(max(0, report.Failures), count)
	window := span{until: now, count: count, failures: failures, good: count - failures}
	if report.Median <= 0 {
		window.good = 0
	}
	if window.good == 0 {
		return window
	}
	window.median = math.Log(float64(report.Median))
	window.know(report.Quick, quickShare)
	window.know(report.Median, medianShare)
	window.know(report.Slow, slowShare)
	return window
}

// know adds a quantile, unless it is unknown.
func (s *span) know(latency time.Duration, share float64) {
	if latency <= 0 {
		return
	}
	value := math.Log(float64(latency))
	if n := len(s.known); n > 0 {
		value = max(value, s.known[n-1].value)
	}
	s.known = append(s.known, quantile{value: value, rank: math.Ceil(share * float64(s.good))})
}

// over estimates how many good answers took longer than the bound, a logarithm
// of nanoseconds. It is exact for windows of few answers.
func (s *span) over(bound float64) float64 {
	if len(s.windows) > 0 {
		sum := 0.0
		for i := range s.windows {
			sum += s.windows[i].over(bound)
		}
		return sum
	}
	above := 0 // index of the first quantile over the bound
	for above < len(s.known) && s.known[above].value <= bound {
		above++
	}
	most, least, position := float64(s.good), 0.0, 0.5
	if above > 0 {
		most -= s.known[above-1].rank
	}
	if above < len(s.known) {
		least = min(most, float64(s.good)-s.known[above].rank+1)
	}
	if above > 0 && above < len(s.known) {
		position = (bound - s.known[above-1].value) / (s.known[above].value - s.known[above-1].value)
	}
	return most - position*(most-least)
}

// merge puts together the windows that ended after since, the newest last.
func merge(windows []span, since flow.Time) span {
	first := len(windows)
	for first > 0 && windows[first-1].until.After(since) {
		first--
	}
	merged := span{windows: windows[first:]}
	for i := range merged.windows {
		w := &merged.windows[i]
		merged.until = w.until
		merged.count += w.count
		merged.failures += w.failures
		merged.good += w.good
	}
	merged.median = weightedMedian(merged.windows, merged.good)
	return merged
}

// newest returns the newest window with a good answer of a merged span.
func (s *span) newest() span {
	for i := len(s.windows) - 1; i >= 0; i-- {
		if s.windows[i].good > 0 {
			return s.windows[i]
		}
	}
	return span{}
}

// weightedMedian returns the median of the windows' medians, each weighing as
// much as it has good answers.
func weightedMedian(windows []span, good int) float64 {
	ordered := make([]*span, 0, windowsKept)
	for i := range windows {
		if windows[i].good > 0 {
			ordered = append(ordered, &windows[i])
		}
	}
	slices.SortFunc(ordered, func(a, b *span) int { return cmp.Compare(a.median, b.median) })
	middle, seen := 0.0, 0
	for _, w := range ordered {
		if 2*seen < good {
			middle = w.median
		}
		seen += w.good
	}
	return middle
}
