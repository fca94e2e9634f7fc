// Trial requests: requests that an ingress sends to a backend server despite its
// ejection, to find out when the ejection is over.

package picker

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The intervals between an ingress's trial requests to an ejected server. Each
// refused trial doubles the interval, so that all ingresses together, however many,
// send an ejected server not many more requests than it accepts.
const (
	minTrialInterval     = 250 * time.Millisecond // equals the trial interval of an admission gate
	maxTrialInterval     = 30 * time.Second
	trialIntervalDivisor = 4           // shortens the interval after an accepted trial
	idempotentHeadStart  = time.Second // time for which a due trial is reserved for idempotent requests
	trialsToReinstate    = 8           // accepted trials in a row after which the ejection counts as over
	minEjectedLoad       = 1.0         // least load that an ejected server reports
)

// trialDue reports whether a request may go to an ejected server. A server refuses
// non-idempotent trials, so a request that is not idempotent goes there only when
// no idempotent one did, to see whether the ejection is over.
func (s *ServerState) trialDue(now flow.Time, idempotent bool) bool {
	if idempotent {
		return !now.Before(s.AvoidUntil)
	}
	return !now.Before(s.AvoidUntil.Add(idempotentHeadStart))
}

// trialSent holds back further trials while one is in flight.
func (s *ServerState) trialSent(now flow.Time) {
	if !s.Ejected {
		return
	}
	s.trialInFlight = true
	s.avoid(now, flow.ReasonEjected, s.trialInterval)
}

// trialAccepted shortens the interval to the next trial. A server that accepts many
// in a row is busy rather than ejected.
func (s *ServerState) trialAccepted(now flow.Time) {
	s.trialInFlight = false
	s.acceptedTrials++
	s.Ejected = s.acceptedTrials < trialsToReinstate
	s.trialInterval = max(minTrialInterval, s.trialInterval/trialIntervalDivisor)
	s.avoid(now, flow.ReasonEjected, s.trialInterval)
}

// trialRefused lengthens the interval to the next trial, even if accepted trials
// have just ended the ejection. It starts with the first interval if the server was
// not known to be ejected. The latency is measured again after the ejection.
func (s *ServerState) trialRefused(now flow.Time, first time.Duration) {
	if s.Ejected && !s.trialInFlight {
		return // it was sent before the refusal that reported the ejection
	}
	interval := first
	if s.Ejected || s.acceptedTrials >= trialsToReinstate {
		interval = min(2*s.trialInterval, maxTrialInterval)
	}
	s.Ejected = true
	s.Latency = 0
	s.trialInFlight = false
	s.acceptedTrials = 0
	s.trialInterval = interval
	s.avoid(now, flow.ReasonEjected, interval)
}
