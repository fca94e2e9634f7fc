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
	slowRatio       = 2.5  // latency over the others' from which an answer counts as slow
	slowUsual       = 0.25 // share of slow answers that is always taken as usual
	slowSought      = 0.85 // share of slow answers that is looked for
	failureUsual    = 0.03 // share of failures that is always taken as usual
	usualMargin     = 1.5  // factor of the others' share that is taken as usual
	usualMost       = 0.75 // bound of the share that is taken as usual
	failureExcess   = 0.2  // least share of failures above the usual that is looked for
	failureSeverity = 3.0  // severity of failing always, as the logarithm of a latency ratio
	shareMost       = 0.95 // bound of the share that is looked for
	trimmedShare    = 3    // one in so many of the others, the worst, does not count for what is usual
)

// The bounds of an epoch, which is the work of a server that is judged at once.
const (
	sustainedSpan  = 2500 * time.Millisecond // least time from the first slow answers until a server is taken for slow
	confirmProven  = 7.0                     // evidence of failing over all its time that confirms it
	confirmSpan    = 3500 * time.Millisecond // time over which a slow server has to be slow
	confirmShare   = 0.75                    // share of its answers in that time that have to be slow
	newestShare    = 0.5                     // share of those of its newest window
	usualSpan      = 10 * time.Second        // time over which the others show what is usual
	epochLongest   = 15 * time.Second        // time after which an epoch is dropped for want of others to compare with
	othersLeast    = 2                       // least other servers to compare with
	othersCompared = 48                      // most other servers to compare with
	othersWork     = 12                      // least work of all others to compare with
)

// A charge is what a server may be convicted of. All evidence is the logarithm
// of a likelihood ratio.
type charge struct {
	proven float64 // evidence that convicts
	trial  float64 // evidence that the results of trial requests have to wear off
	strike float64 // added to it for each earlier ejection that is not forgotten
	worst  float64 // bound of it
}

var (
	slowCharge    = charge{proven: 12, trial: 8, strike: 1, worst: 12}
	failureCharge = charge{proven: 9, trial: 5, strike: 1, worst: 8}
)

// epochsLeast is the least count of epochs that a conviction takes, whatever
// they say.
const epochsLeast = 3

// evidence is a cumulative sum of logarithms of likelihood ratios that is kept
// from falling below zero (Page, Continuous inspection schemes): it adds up over
// thin windows as well as over busy ones, and bursts of chance wear off.
type evidence struct {
	charge charge
	sum    float64
	most   float64   // bound of the sum
	since  flow.Time // when the sum was last zero
	shown  part      // work since then, without that of trials
	trial  bool      // the server is ejected for it, or for something else
}

func newEvidence(charge charge) evidence {
	return evidence{charge: charge, most: charge.proven}
}

// add takes the work of one epoch, which began at since.
func (e *evidence) add(since flow.Time, work part, odds odds) {
	if e.sum <= 0 {
		e.since = since
		e.shown = part{}
	}
	longest := e.charge.proven / epochsLeast
	step := max(-longest, min(longest, odds.of(work)))
	e.sum = max(0, min(e.most, e.sum+step))
	if !e.trial {
		e.shown.of += work.of
		e.shown.bad += work.bad
	}
}

// proven reports whether the evidence convicts.
func (e *evidence) proven() bool { return e.sum >= e.charge.proven }

// share estimates the share of bad work that the server has shown, with a little
// work more of which a third was bad.
func (e *evidence) share() float64 { return (e.shown.bad + 1) / (e.shown.of + 3) }

// try lessens the evidence at the beginning of an ejection, and bounds it while
// the ejection lasts, so that good trial results can wear it off.
func (e *evidence) try(strikes int) {
	e.trial = true
	e.most = min(e.charge.worst, e.charge.trial+e.charge.strike*float64(strikes))
	e.sum = min(e.sum, e.most)
}

// resume takes ordinary work again.
func (e *evidence) resume() {
	e.trial = false
	e.most = e.charge.proven
}

// odds are the logarithms of the likelihood ratios of one bad and one good piece
// of work.
type odds struct {
	bad, good float64
}

// of is the logarithm of the likelihood ratio of some work.
func (o odds) of(work part) float64 {
	return work.bad*o.bad + (work.of-work.bad)*o.good
}

// oddsOf compares a sought with a usual share of bad work.
func oddsOf(usual, sought float64) odds {
	return odds{bad: math.Log(sought / usual), good: math.Log((1 - sought) / (1 - usual))}
}

// failureOdds looks for a share of failures like the one that the server has
// shown, and at least for failureExcess above the usual one.
func failureOdds(usual, shown float64) odds {
	usual = min(usualMost, max(failureUsual, usualMargin*usual))
	return oddsOf(usual, min(shareMost, max(usual+failureExcess, shown)))
}

// slowOdds looks for a server most of whose answers are slow, against one with a
// heavier mix of requests than the others'.
func slowOdds(usual float64) odds {
	usual = min(usualMost, max(slowUsual, usualMargin*usual))
	return oddsOf(usual, max(slowSought, (1+usual)/2))
}

// -----------------------------------------------------------------------------

// peers is what the others did in a time.
type peers struct {
	center  float64 // median of the servers' latencies, as a logarithm
	timed   int     // servers whose latency is known
	slow    float64 // usual share of answers that are slow against the center
	failing float64 // usual share of failures
}

// peersOf summarizes the others by medians and by shares without the worst of
// them, which a minority of bad servers does not move.
func peersOf(others []span) peers {
	var p peers
	medians := make([]float64, 0, len(others))
	for _, o := range others {
		if o.good > 0 {
			medians = append(medians, o.median)
		}
	}
	p.timed = len(medians)
	p.center = median(medians)
	slow := make([]part, 0, len(others))
	failed := make([]part, 0, len(others))
	for i := range others {
		o := &others[i]
		slow = append(slow, part{of: float64(o.good), bad: o.over(p.bound())})
		failed = append(failed, part{of: float64(o.count), bad: float64(o.failures)})
	}
	p.slow = usualShare(slow)
	p.failing = usualShare(failed)
	return p
}

// bound is the logarithm of the latency from which an answer counts as slow.
func (p peers) bound() float64 { return p.center + math.Log(slowRatio) }

// part is some work and how much of it was bad.
type part struct {
	of, bad float64
}

// usualShare is the share of bad work without the worst of the parts.
func usualShare(parts []part) float64 {
	slices.SortFunc(parts, func(a, b part) int {
		switch difference := a.bad*b.of - b.bad*a.of; {
		case difference < 0:
			return -1
		case difference > 0:
			return 1
		}
		return 0
	})
	var sum part
	for _, p := range parts[:len(parts)-len(parts)/trimmedShare] {
		sum.of += p.of
		sum.bad += p.bad
	}
	if sum.of == 0 {
		return 0
	}
	return sum.bad / sum.of
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
