// The evidence against a server: what its work says against the work of the
// others at the same time.

package ejector

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	evidenceProven = 12.0               // logarithm of the likelihood ratio that convicts
	evidenceStep   = evidenceProven / 2 // most that one epoch can add or take, so that two in a row are needed

	slowRatio       = 2.5  // latency over the others' that is neither slow nor not
	slowSpread      = 0.6  // spread of one answer's logarithm when unknown
	slowSpreadMin   = 0.3  // least spread that is believed
	failureUsual    = 0.03 // share of failures that is always taken as usual
	failureMargin   = 1.5  // factor of the others' failures that is taken as usual
	failureExcess   = 0.2  // share of failures above the usual that is looked for
	failureSeverity = 3.0  // severity of failing always, as the logarithm of a latency ratio
	failureHighest  = 0.95 // bound of the share of failures that is looked for
	trimmedShare    = 3    // one in so many of the others, the worst, does not count for what is usual
)

// The bounds of an epoch, which is the work of a server that is judged at once.
const (
	epochSpan      = 950 * time.Millisecond  // least time of an epoch, which is a second of windows with jitter
	confirmSpan    = 3500 * time.Millisecond // time over which a slow server has to be slow
	epochLongest   = 15 * time.Second        // time after which an epoch that is too thin to judge is dropped
	epochSamples   = 8                       // least requests of an epoch
	trialSamples   = 3                       // least trial requests of an epoch while ejected
	latencySamples = 5                       // least good answers of an epoch that says something of latency
	otherSamples   = 3                       // least requests of another server to be compared with
	othersLeast    = 2                       // least other servers to compare with
	othersCompared = 48                      // most other servers to compare with
)

// evidence is a cumulative sum of logarithms of likelihood ratios that is kept
// from falling below zero (Page, Continuous inspection schemes): it adds up over
// thin windows as well as over busy ones, and bursts of chance wear off.
type evidence float64

// add takes the result of one epoch.
func (e *evidence) add(ratio float64) {
	step := max(-evidenceStep, min(evidenceStep, ratio))
	*e = evidence(max(0, min(evidenceProven, float64(*e)+step)))
}

// proven reports whether the evidence convicts.
func (e evidence) proven() bool { return e >= evidenceProven }

// slownessRatio is the logarithm of the likelihood ratio of a server slower by
// the square of slowRatio against one like the others. The others are
// summarized by median and median absolute deviation, which a minority of bad
// servers does not move. The rise is the logarithm of the server's latency over
// the others'.
func slownessRatio(own span, others []span) (ratio, rise float64) {
	center := centerOf(others)
	between := deviationOf(others, center)
	spread := max(spreadAmong(others), own.spread) // a heavier mix of requests spreads wider
	within := medianError * spread / math.Sqrt(float64(own.good))
	variance := between*between + within*within
	shift := 2 * math.Log(slowRatio)
	rise = own.median - center
	return shift / variance * (rise - shift/2), rise
}

// failureRatio is the logarithm of the likelihood ratio of a server that fails
// by failureExcess more than usual against one that fails as usual. What is
// usual comes from the others without the worst of them.
func failureRatio(own span, others []span) float64 {
	ordered := slices.Clone(others)
	slices.SortFunc(ordered, func(a, b span) int {
		return a.failures*b.count - b.failures*a.count
	})
	count, failures := 0, 0
	for _, o := range ordered[:len(ordered)-len(ordered)/trimmedShare] {
		count += o.count
		failures += o.failures
	}
	usual := failureUsual
	if count > 0 {
		usual = max(usual, failureMargin*float64(failures)/float64(count))
	}
	usual = min(usual, failureHighest-failureUsual)
	bad := min(failureHighest, usual+failureExcess)
	return float64(own.failures)*math.Log(bad/usual) +
		float64(own.count-own.failures)*math.Log((1-bad)/(1-usual))
}

// -----------------------------------------------------------------------------

const (
	normalDeviation = 1.4826 // standard over median absolute deviation of a normal distribution
	medianError     = 1.2533 // standard error of a median over that of a mean
	normalSlow      = 1.2816 // 90th percentile of the standard normal distribution
	spreadSamples   = 5      // good answers from which a spread is believed
)

// spreadOf estimates the standard deviation of one answer's logarithm from the
// percentiles of a report.
func spreadOf(good int, report flow.ServerReport) float64 {
	if good < spreadSamples || report.Slow <= report.Median {
		return 0
	}
	return math.Log(float64(report.Slow)/float64(report.Median)) / normalSlow
}

// merge summarizes the windows that ended after since.
func merge(windows []span, since flow.Time) span {
	var merged span
	var recent []span
	for i := len(windows) - 1; i >= 0 && windows[i].until.After(since); i-- {
		w := windows[i]
		merged.until = max(merged.until, w.until)
		merged.count += w.count
		merged.failures += w.failures
		merged.good += w.good
		if w.good > 0 {
			recent = append(recent, w)
		}
		merged.spread = max(merged.spread, w.spread)
	}
	if len(recent) > 0 {
		merged.newest = recent[0].median
	}
	merged.median, merged.low = weighted(recent, merged.good)
	return merged
}

// weighted returns the median and the lower quartile of the windows' medians,
// each weighing as much as it has good answers.
func weighted(windows []span, good int) (middle, low float64) {
	slices.SortFunc(windows, func(a, b span) int {
		switch {
		case a.median < b.median:
			return -1
		case a.median > b.median:
			return 1
		}
		return 0
	})
	seen := 0
	for _, w := range windows {
		if 4*seen < good {
			low = w.median
		}
		if 2*seen < good {
			middle = w.median
		}
		seen += w.good
	}
	return middle, low
}

// median returns the middle value, or 0 of none; it sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// centerOf is the median of the servers' latencies, as a logarithm.
func centerOf(servers []span) float64 {
	medians := make([]float64, 0, len(servers))
	for _, s := range servers {
		medians = append(medians, s.median)
	}
	return median(medians)
}

// deviationOf estimates the standard deviation of the servers' latencies from
// the median absolute one.
func deviationOf(servers []span, center float64) float64 {
	distances := make([]float64, 0, len(servers))
	for _, s := range servers {
		distances = append(distances, math.Abs(s.median-center))
	}
	return normalDeviation * median(distances)
}

// spreadAmong is the usual spread of one answer's logarithm.
func spreadAmong(servers []span) float64 {
	spreads := make([]float64, 0, len(servers))
	for _, s := range servers {
		if s.spread > 0 {
			spreads = append(spreads, s.spread)
		}
	}
	if len(spreads) == 0 {
		return slowSpread
	}
	return max(slowSpreadMin, median(spreads))
}
