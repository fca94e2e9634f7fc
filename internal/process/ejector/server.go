// The state of one backend server at the owner: its recent windows, the
// evidence against it, and its ejections.

package ejector

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// reportTimeout is the time without a report after which a server does not
	// count as available.
	reportTimeout = 2500 * time.Millisecond
	// maxSinceGood is the most requests in a row without a good response with which
	// a server still counts as available.
	maxSinceGood = 8
	// maxWindows limits the windows kept of a server.
	maxWindows = 40

	ejectionDecay = time.Minute      // time without ejection after which one recent ejection no longer counts
	maxHold       = 30 * time.Second // limit of the least duration of an ejection
	trialTimeout  = 5 * time.Second  // longest wait for a trial result before an ejection ends
)

// server is the state of one backend server.
type server struct {
	name       string
	inService  bool
	lastReport flow.Time
	reports    int
	sinceGood  int           // requests that ended since the last window with a good response
	windows    []workSummary // newest last

	epochStart       flow.Time // start of the requests that are not evaluated yet
	slowness         evidence
	failure          evidence
	failureConfirmed bool    // the other servers did not fail in the same way
	slowConfirmed    bool    // most responses over a longer time were slow
	severity         float64 // of the recent requests, to rank bad servers

	ejected         bool
	ejectedAt       flow.Time
	holdUntil       flow.Time // the ejection lasts at least until then
	leaseUntil      flow.Time // no granted lease lasts longer
	lastActive      flow.Time // last window with requests, which are trial requests during an ejection
	recentEjections int       // ejections that still count, see ejectionDecay
	decayedAt       flow.Time // when recentEjections was last lowered, or the last ejection ended
	ejections       int
}

func newServer(name string) *server {
	return &server{
		name:       name,
		lastReport: flow.Never,
		leaseUntil: flow.Never,
		holdUntil:  flow.Never,
		epochStart: flow.Never,
		slowness:   newEvidence(slowLimits),
		failure:    newEvidence(failureLimits),
	}
}

// observe adds one window.
func (s *server) observe(now flow.Time, report flow.ServerReport) {
	s.lastReport = now
	s.reports++
	window := newWindow(now, report)
	s.sinceGood += window.count
	if window.good > 0 {
		s.sinceGood = 0
	}
	if window.count > 0 {
		s.lastActive = now
	}
	if len(s.windows) >= maxWindows {
		s.windows = append(s.windows[:0], s.windows[1:]...)
	}
	s.windows = append(s.windows, window)
}

// isAvailable reports whether the server counts as able to take requests.
func (s *server) isAvailable(now flow.Time) bool {
	return s.inService && now.Sub(s.lastReport) <= reportTimeout && s.sinceGood <= maxSinceGood
}

func (s *server) mayHoldLease(now flow.Time) bool {
	return !now.After(s.leaseUntil)
}

// shouldBeEjected reports whether an ejection should start or go on.
func (s *server) shouldBeEjected(now flow.Time) bool {
	if !s.ejected {
		return s.failure.conclusive() && s.failureConfirmed || s.slowness.conclusive() && s.slowConfirmed
	}
	if now.Before(s.holdUntil) {
		return true
	}
	if now.Sub(max(s.lastActive, s.ejectedAt)) > trialTimeout {
		return false
	}
	return s.slowness.sum > 0 || s.failure.sum > 0
}

// reason returns the reason with the stronger evidence.
func (s *server) reason() string {
	if s.failure.sum > s.slowness.sum {
		return ReasonFailures
	}
	return ReasonLatency
}

// eject starts an ejection. Each recent ejection doubles its least duration, up to
// maxHold. The evidence is lowered so that good trial requests can bring it to zero.
func (s *server) eject(now flow.Time, lifetime time.Duration) {
	s.decayEjections(now)
	s.ejected = true
	s.ejectedAt = now
	s.ejections++
	hold := lifetime
	for range s.recentEjections {
		hold = min(2*hold, maxHold)
	}
	s.holdUntil = now.Add(hold)
	s.epochStart = now
	s.slowness.startTrials(s.recentEjections)
	s.failure.startTrials(s.recentEjections)
	s.recentEjections++
}

// release ends an ejection, so that its lease is not renewed, and clears the
// evidence.
func (s *server) release(now flow.Time) {
	s.ejected = false
	s.slowness = newEvidence(slowLimits)
	s.failure = newEvidence(failureLimits)
	s.epochStart = now
	s.decayedAt = now
}

// yieldToFloor ends an ejection for which the floor has no room. The server did not
// recover, so its evidence is kept.
func (s *server) yieldToFloor(now flow.Time) {
	if !s.ejected {
		return
	}
	s.ejected = false
	s.slowness.endTrials()
	s.failure.endTrials()
	s.recentEjections = max(0, s.recentEjections-1)
	s.decayedAt = now
	s.epochStart = now
}

// decayEjections lowers recentEjections by one for each ejectionDecay without
// ejection.
func (s *server) decayEjections(now flow.Time) {
	past := int(now.Sub(s.decayedAt) / ejectionDecay)
	s.recentEjections = max(0, s.recentEjections-past)
	s.decayedAt = now
}
