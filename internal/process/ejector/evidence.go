// The evidence against a server: how its traffic compares with that of the other
// servers at the same time.

package ejector

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	slowLatencyRatio      = 2.5  // a response is slow from this multiple of the baseline latency on
	minNormalSlowShare    = 0.25 // share of slow responses that is normal whatever the baseline
	minOutlierSlowShare   = 0.85 // least share of slow responses expected of a slow server
	minNormalFailureShare = 0.03 // share of failures that is normal whatever the baseline
	normalShareMargin     = 1.5  // multiple of the baseline share that is still normal
	maxNormalShare        = 0.75 // limit of the share that is normal
	minFailureExcess      = 0.2  // least share of failures above the normal one expected of a failing server
	failureSeverity       = 3.0  // severity of failing every request, as the logarithm of a latency ratio
	maxOutlierShare       = 0.95 // limit of the share expected of an outlier
	trimDivisor           = 3    // one in this many servers, the worst, is left out of the baseline
)

// Limits of the evaluation. An epoch is the time whose requests are evaluated at once.
const (
	minSlowDuration        = 2500 * time.Millisecond // least time from the first slow responses to an ejection for latency
	confirmFailureEvidence = 7.0                     // least evidence of failing over its whole duration that confirms it
	slowConfirmDuration    = 3500 * time.Millisecond // time over which a slow server must have been slow
	slowConfirmShare       = 0.75                    // least share of slow responses in that time
	newestSlowShare        = 0.5                     // least share of slow responses in the newest window
	baselineDuration       = 10 * time.Second        // time over which the other servers set the baseline, besides the epoch
	maxEpoch               = 15 * time.Second        // an epoch without enough servers to compare with is dropped after this time
	minPeers               = 2                       // least number of servers to compare with
	maxPeers               = 48                      // most servers to compare with
	minPeerRequests        = 12                      // least number of requests of all peers together
)

// evidenceLimits are the thresholds of one kind of evidence. All evidence is
// measured as the logarithm of a likelihood ratio.
type evidenceLimits struct {
	eject       float64 // evidence that justifies an ejection
	trialStart  float64 // evidence at the start of an ejection, which good trial requests must bring to zero
	perEjection float64 // added to trialStart for each recent ejection
	trialMax    float64 // limit of the two together
}

var (
	slowLimits    = evidenceLimits{eject: 12, trialStart: 8, perEjection: 1, trialMax: 12}
	failureLimits = evidenceLimits{eject: 9, trialStart: 5, perEjection: 1, trialMax: 8}
)

// minEpochs is the least number of epochs that an ejection takes, whatever they
// show.
const minEpochs = 3

// evidence is a CUSUM statistic, a cumulative sum of log likelihood ratios that
// never falls below zero (Page, Continuous inspection schemes). It adds up over
// windows with few requests as well as over busy ones, and chance bursts decay.
type evidence struct {
	limits    evidenceLimits
	sum       float64
	maxSum    float64   // limit of sum
	since     flow.Time // when sum was last zero
	observed  tally     // requests since then, without trial requests
	trialOnly bool      // the server is ejected, for this or another reason, and gets trial requests only
}

func newEvidence(limits evidenceLimits) evidence {
	return evidence{limits: limits, maxSum: limits.eject}
}

// add adds the requests of one epoch that began at since.
func (e *evidence) add(since flow.Time, requests tally, ratios logRatios) {
	if e.sum <= 0 {
		e.since = since
		e.observed = tally{}
	}
	maxStep := e.limits.eject / minEpochs
	step := max(-maxStep, min(maxStep, ratios.sum(requests)))
	e.sum = max(0, min(e.maxSum, e.sum+step))
	if !e.trialOnly {
		e.observed.total += requests.total
		e.observed.bad += requests.bad
	}
}

// conclusive reports whether the evidence justifies an ejection.
func (e *evidence) conclusive() bool { return e.sum >= e.limits.eject }

// badShare estimates the share of bad requests of the server. Three more requests,
// one of them bad, are counted so that a few can't give an extreme value.
func (e *evidence) badShare() float64 { return (e.observed.bad + 1) / (e.observed.total + 3) }

// startTrials lowers the evidence at the start of an ejection, and limits it while
// the ejection lasts, so that good trial requests can bring it to zero.
func (e *evidence) startTrials(recentEjections int) {
	e.trialOnly = true
	e.maxSum = min(e.limits.trialMax, e.limits.trialStart+e.limits.perEjection*float64(recentEjections))
	e.sum = min(e.sum, e.maxSum)
}

// endTrials returns to counting ordinary requests.
func (e *evidence) endTrials() {
	e.trialOnly = false
	e.maxSum = e.limits.eject
}

// logRatios are the logarithms of the likelihood ratios of one bad and one good
// request.
type logRatios struct {
	ofBad, ofGood float64
}

// sum returns the logarithm of the likelihood ratio of all requests of a tally.
func (r logRatios) sum(requests tally) float64 {
	return requests.bad*r.ofBad + (requests.total-requests.bad)*r.ofGood
}

// logRatiosOf compares two hypotheses on the share of bad requests: that it is that
// of an outlier, and that it is normal.
func logRatiosOf(normal, outlier float64) logRatios {
	return logRatios{ofBad: math.Log(outlier / normal), ofGood: math.Log((1 - outlier) / (1 - normal))}
}

// failureLogRatios tests for the share of failures that the server has shown, and
// at least for minFailureExcess above the normal share.
func failureLogRatios(normal, shown float64) logRatios {
	normal = min(maxNormalShare, max(minNormalFailureShare, normalShareMargin*normal))
	return logRatiosOf(normal, min(maxOutlierShare, max(normal+minFailureExcess, shown)))
}

// slowLogRatios tests for a server most of whose responses are slow, against one
// that only gets more expensive requests than the others.
func slowLogRatios(normal float64) logRatios {
	normal = min(maxNormalShare, max(minNormalSlowShare, normalShareMargin*normal))
	return logRatiosOf(normal, max(minOutlierSlowShare, (1+normal)/2))
}

// baseline summarizes the other servers over some time.
type baseline struct {
	logLatency   float64 // median of the servers' median latencies
	timedServers int     // servers of known latency
	slowShare    float64 // share of responses that are slow compared with logLatency
	failureShare float64
}

// baselineOf summarizes servers by medians and by shares that leave out the worst
// of them, so that a minority of bad servers doesn't move the baseline.
func baselineOf(peers []workSummary) baseline {
	var b baseline
	medians := make([]float64, 0, len(peers))
	for _, p := range peers {
		if p.good > 0 {
			medians = append(medians, p.logMedian)
		}
	}
	b.timedServers = len(medians)
	b.logLatency = median(medians)
	slow := make([]tally, 0, len(peers))
	failed := make([]tally, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		slow = append(slow, tally{total: float64(p.good), bad: p.slowerThan(b.slowThreshold())})
		failed = append(failed, tally{total: float64(p.count), bad: float64(p.failures)})
	}
	b.slowShare = trimmedShare(slow)
	b.failureShare = trimmedShare(failed)
	return b
}

// slowThreshold returns the logarithm of the latency from which a response is slow.
func (b baseline) slowThreshold() float64 { return b.logLatency + math.Log(slowLatencyRatio) }

// tally counts requests and how many of them were bad.
type tally struct {
	total, bad float64
}

// trimmedShare returns the share of bad requests without the worst tallies. It
// sorts the tallies.
func trimmedShare(tallies []tally) float64 {
	slices.SortFunc(tallies, func(a, b tally) int {
		switch difference := a.bad*b.total - b.bad*a.total; {
		case difference < 0:
			return -1
		case difference > 0:
			return 1
		}
		return 0
	})
	var sum tally
	for _, t := range tallies[:len(tallies)-len(tallies)/trimDivisor] {
		sum.total += t.total
		sum.bad += t.bad
	}
	if sum.total == 0 {
		return 0
	}
	return sum.bad / sum.total
}

// median returns the median, or 0 of no values. It sorts the values.
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
