// Package estimator estimates from real traffic whether a backend server has a
// gray failure, because health checks show little and err in both directions.
//
// A server is modelled as either healthy, with occasional failures, or gray,
// failing most of its requests. It changes between the two by itself. The estimate
// is the probability that it is gray. Each outcome updates it by Bayes' rule, and
// without outcomes it decays towards its prior. A single failure is therefore
// strong evidence against a server with few requests, and weak evidence among the
// many good responses of a busy one.
//
// The time of a failure tells the two apart as well: a gray server mostly fails a
// request before it has done any work on it, a healthy one while it works on it.
//
// Estimate and Breaker are state machines without input, output or clock. They are
// not safe for concurrent use.
package estimator

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Evidence is what the outcome of one request shows about the server that ran it.
type Evidence int

// The kinds of evidence.
const (
	// Good is a complete response.
	Good Evidence = iota
	// InstantFailure is a failure before the server can have done any work.
	InstantFailure
	// EarlyFailure is a failure after a small part of the usual duration of such a
	// request.
	EarlyFailure
	// LateFailure is a failure after more of that time.
	LateFailure
	// NoResponse is a response that is long overdue, or a connection that could not be
	// opened.
	NoResponse
)

// likelihoods are the shares of a server's requests that end in each way, while it
// is gray and while it is healthy.
var likelihoods = map[Evidence]struct{ gray, healthy float64 }{
	Good:           {0.3, 0.985},
	InstantFailure: {0.6, 0.0005},
	EarlyFailure:   {0.6, 0.005},
	LateFailure:    {0.1, 0.012},
	NoResponse:     {0.7, 0.015},
}

const (
	// Prior is the share of time that a server is gray, which is the estimate when
	// nothing is known.
	Prior = 0.2
	// priorTimeConstant is the time constant with which the estimate returns to Prior.
	priorTimeConstant = 4 * time.Second
	// SuspectThreshold is the estimate above which a server gets only requests that
	// may run more than once.
	SuspectThreshold = 0.3
	// minGray and maxGray keep the estimate from becoming certain.
	minGray = 0.0005
	maxGray = 0.96
)

// Estimate is the probability that one backend server is gray.
type Estimate struct {
	gray      float64
	updatedAt flow.Time
}

// New returns the estimate of a server without outcomes.
func New(now flow.Time) *Estimate { return &Estimate{gray: Prior, updatedAt: now} }

// GrayProbability returns the probability that the server is gray.
func (e *Estimate) GrayProbability(now flow.Time) float64 {
	return DecayToPrior(e.gray, now.Sub(e.updatedAt))
}

// DecayToPrior returns what an estimate becomes after some time without outcomes.
func DecayToPrior(gray float64, passed time.Duration) float64 {
	if passed <= 0 {
		return gray
	}
	return Prior + (gray-Prior)*math.Exp(-float64(passed)/float64(priorTimeConstant))
}

// Suspect reports whether the server should get only requests that may run more
// than once.
func (e *Estimate) Suspect(now flow.Time) bool { return e.GrayProbability(now) > SuspectThreshold }

// Observe updates the estimate by the outcome of one request that the server ran.
func (e *Estimate) Observe(now flow.Time, evidence Evidence) {
	likelihood := likelihoods[evidence]
	gray := e.GrayProbability(now)
	gray = gray * likelihood.gray / (gray*likelihood.gray + (1-gray)*likelihood.healthy)
	e.gray = min(max(gray, minGray), maxGray)
	e.updatedAt = now
}
