// Trial requests: what an ingress sends to a backend server that it knows to be
// ejected, to learn when the ejection is over.

package picker

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The waits between an ingress's trial requests to an ejected server. Each
// refused trial doubles the wait, so that all ingresses together ask an ejected
// server not much more often than it takes trials, however many they are.
const (
	trialLeast    = 250 * time.Millisecond // the least wait, which is the trial interval of a gate
	trialMost     = 30 * time.Second       // the longest wait
	trialShrink   = 4                      // divisor of the wait after a trial that was taken
	trialReserved = time.Second            // time for which a due trial waits for an idempotent request
	trialsEnough  = 8                      // trials taken in a row after which the ejection counts as over
	ejectedLoad   = 1.0                    // load that an ejected server tells at least
)

// mayTry reports whether a request may be a trial at an ejected server. One
// that is not idempotent is refused as a trial, and goes there only to see
// whether the ejection is over when no idempotent one did.
func (s *Server) mayTry(now flow.Time, idempotent bool) bool {
	if idempotent {
		return !now.Before(s.AvoidUntil)
	}
	return !now.Before(s.AvoidUntil.Add(trialReserved))
}

// sendTrial holds back further trials while one is under way.
func (s *Server) sendTrial(now flow.Time) {
	if !s.Ejected {
		return
	}
	s.trialSent = true
	s.avoid(now, flow.ReasonEjected, s.trialSpan)
}

// trialTaken shortens the wait until the next trial. A server that takes many is
// busy rather than ejected.
func (s *Server) trialTaken(now flow.Time) {
	s.trialSent = false
	s.trialsTaken++
	s.Ejected = s.trialsTaken < trialsEnough
	s.trialSpan = max(trialLeast, s.trialSpan/trialShrink)
	s.avoid(now, flow.ReasonEjected, s.trialSpan)
}

// trialRefused lengthens the wait until the next trial. It begins anew when the
// server was not known to be ejected, whose latency the trials are to tell anew.
func (s *Server) trialRefused(now flow.Time, first time.Duration) {
	if s.Ejected && !s.trialSent {
		return // sent before the refusal that told of the ejection
	}
	span := first
	if s.Ejected || s.trialsTaken >= trialsEnough {
		span = min(2*s.trialSpan, trialMost)
	}
	s.Ejected = true
	s.Latency = 0
	s.trialSent = false
	s.trialsTaken = 0
	s.trialSpan = span
	s.avoid(now, flow.ReasonEjected, span)
}
