// The circuit breaker of one backend server, and the evidence in an outcome.

package estimator

import (
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// trialInterval is how often a suspected server gets a request that is marked as
	// a trial, and repeatableInterval how often it gets any that may run more than
	// once. The latter is needed because in a large deployment few daemons know that
	// the server is suspected, and no server may go without requests for 2 s.
	trialInterval      = 700 * time.Millisecond
	repeatableInterval = 1200 * time.Millisecond
	// OverdueMultiple is the multiple of the usual duration after which a running
	// request counts as evidence that the server hangs.
	OverdueMultiple = 5.0
	// MinOverdue is the shortest duration for which a running request counts as such
	// evidence.
	MinOverdue = time.Second
	// earlyFailureShare is the share of the usual duration within which a failure is
	// early, and instantFailureShare the share within which no work was done.
	earlyFailureShare   = 0.25
	instantFailureShare = 0.03
	// callFailureWindow is how long after a failed call by the backend server its own
	// failures are blamed on that call.
	callFailureWindow = 300 * time.Millisecond
)

// Breaker decides which requests one backend server gets, from the estimated
// probability that it is gray.
type Breaker struct {
	estimate         *Estimate
	lastTrial        flow.Time
	lastEarlyFailure flow.Time // last failure before any or most of the work was done
	lastCallFailure  flow.Time
	suspect          bool // as of the last observation
}

// NewBreaker returns the Breaker of a server without outcomes.
func NewBreaker(now flow.Time) *Breaker {
	return &Breaker{estimate: New(now), lastTrial: flow.Never, lastEarlyFailure: flow.Never, lastCallFailure: flow.Never}
}

// GrayProbability returns the probability that the server is gray.
func (b *Breaker) GrayProbability(now flow.Time) float64 { return b.estimate.GrayProbability(now) }

// Request holds the properties of a request that decide whether it may run.
type Request struct {
	Repeatable bool // may run more than once
	Trial      bool // may run on a suspected server
	Forced     bool // is admitted even by a suspected server
}

// Admit reports whether the server may run a request. A suspected server gets only
// forced requests and, one at a time and at intervals, requests that are trials or
// may run more than once.
func (b *Breaker) Admit(now flow.Time, request Request) bool {
	if !b.estimate.Suspect(now) || request.Forced {
		return true
	}
	sinceTrial := now.Sub(b.lastTrial)
	if !(request.Trial && sinceTrial >= trialInterval) && !(request.Repeatable && sinceTrial >= repeatableInterval) {
		return false
	}
	b.lastTrial = now
	return true
}

// TrialIn returns the time until a suspected server takes a request that is a trial, or 0 if
// it takes one now or is not suspected.
func (b *Breaker) TrialIn(now flow.Time) time.Duration {
	if !b.estimate.Suspect(now) {
		return 0
	}
	return max(trialInterval-now.Sub(b.lastTrial), 0)
}

// CallFailed records that a call made by the server itself failed.
func (b *Breaker) CallFailed(now flow.Time) { b.lastCallFailure = now }

// BlamesCall reports whether a failure is blamed on a call of the server that
// failed shortly before, and therefore is no evidence against the server.
func (b *Breaker) BlamesCall(now flow.Time, verdict flow.Verdict, status int) bool {
	return verdict == flow.VerdictFailed && status == http.StatusInternalServerError && now.Sub(b.lastCallFailure) < callFailureWindow
}

// Observe records the outcome of a request that began at a given time, and reports
// whether the server is now suspected and whether that changed. A gray server fails
// requests that begin while it is gray, so a good response to a request that began
// before the last early failure is no evidence.
func (b *Breaker) Observe(now, began flow.Time, evidence Evidence) (suspect, changed bool) {
	switch evidence {
	case InstantFailure, EarlyFailure:
		b.lastEarlyFailure = now
	case Good:
		if began.Before(b.lastEarlyFailure) {
			return b.suspect, false
		}
		if b.suspect {
			b.lastTrial = flow.Never // the server may have recovered: the next trial need not wait
		}
	case LateFailure, NoResponse:
	}
	b.estimate.Observe(now, evidence)
	suspect = b.estimate.Suspect(now)
	changed = suspect != b.suspect
	b.suspect = suspect
	return suspect, changed
}

// EvidenceOf returns what an outcome shows about the server, or false if it shows
// nothing. A timeout is evidence only if the request had more time than it needs:
// MinOverdue, and OverdueMultiple times the usual duration.
func EvidenceOf(verdict flow.Verdict, took, usual time.Duration) (Evidence, bool) {
	switch verdict {
	case flow.VerdictGood:
		return Good, true
	case flow.VerdictFailed:
		switch {
		case took < time.Duration(instantFailureShare*float64(usual)):
			return InstantFailure, true
		case took < time.Duration(earlyFailureShare*float64(usual)):
			return EarlyFailure, true
		}
		return LateFailure, true
	case flow.VerdictTimeout:
		return NoResponse, took >= max(time.Duration(OverdueMultiple*float64(usual)), MinOverdue)
	case flow.VerdictRefused:
		return NoResponse, true
	case flow.VerdictShed, flow.VerdictCancelled:
	}
	return Good, false
}
