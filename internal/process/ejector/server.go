// What the owner remembers of one backend server: its recent windows, the
// evidence against it, and its ejections.

package ejector

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// silentAfter is the time without a report after which a server does not
	// count as taking work.
	silentAfter = 2500 * time.Millisecond
	// barrenAfter is the count of requests without a good answer after which a
	// server does not count as taking work.
	barrenAfter = 8
	// windowsKept bounds the windows that are remembered of a server.
	windowsKept = 40

	strikeDecay   = time.Minute      // time without ejection in which one earlier ejection is forgotten
	holdMost      = 30 * time.Second // bound of the least time of an ejection
	trialPatience = 5 * time.Second  // longest wait for trial results before a server is given back
)

// server is what the owner remembers of one server.
type server struct {
	name    string
	listed  bool // in service
	heard   flow.Time
	reports int
	barren  int    // requests that ended since the last good answer
	windows []span // the newest last

	epochSince flow.Time // start of the work that was not judged yet
	slowness   evidence
	failing    evidence
	failsAlone bool    // the others did not fail with it
	slowLately bool    // most of its work over a longer time was slow
	severity   float64 // how bad its work over that time was, to order the bad

	ejected     bool
	ejectedAt   flow.Time
	holdUntil   flow.Time // the ejection lasts at least until then
	leaseUntil  flow.Time // no lease that was granted runs longer
	trialAt     flow.Time // last trial result
	strikes     int       // ejections that are not forgotten yet
	strikesFrom flow.Time // when strikes were last counted down
	ejections   int
}

func newServer(name string) *server {
	return &server{
		name:       name,
		heard:      flow.Never,
		leaseUntil: flow.Never,
		holdUntil:  flow.Never,
		epochSince: flow.Never,
		slowness:   newEvidence(slowCharge),
		failing:    newEvidence(failureCharge),
	}
}

// observe takes one window.
func (s *server) observe(now flow.Time, report flow.ServerReport) {
	s.heard = now
	s.reports++
	window := newSpan(now, report)
	s.barren += window.count
	if window.good > 0 {
		s.barren = 0
	}
	if window.count > 0 {
		s.trialAt = now
	}
	if len(s.windows) >= windowsKept {
		s.windows = append(s.windows[:0], s.windows[1:]...)
	}
	s.windows = append(s.windows, window)
}

// takesWork reports whether the server counts as taking work.
func (s *server) takesWork(now flow.Time) bool {
	return s.listed && now.Sub(s.heard) <= silentAfter && s.barren <= barrenAfter
}

func (s *server) leased(now flow.Time) bool {
	return !now.After(s.leaseUntil)
}

// isBad reports whether the server ought to be ejected.
func (s *server) isBad(now flow.Time) bool {
	if !s.ejected {
		return s.failing.proven() && s.failsAlone || s.slowness.proven() && s.slowLately
	}
	if now.Before(s.holdUntil) {
		return true
	}
	if now.Sub(max(s.trialAt, s.ejectedAt)) > trialPatience {
		return false
	}
	return s.slowness.sum > 0 || s.failing.sum > 0
}

// reason names the stronger evidence.
func (s *server) reason() string {
	if s.failing.sum > s.slowness.sum {
		return ReasonFailures
	}
	return ReasonLatency
}

// -----------------------------------------------------------------------------

// eject begins an ejection. Each one that follows others lasts at least twice
// as long as the one before. The evidence is lessened, so that good trial
// results can wear it off.
func (s *server) eject(now flow.Time, lifetime time.Duration) {
	s.forgive(now)
	s.ejected = true
	s.ejectedAt = now
	s.ejections++
	hold := lifetime
	for range s.strikes {
		hold = min(2*hold, holdMost)
	}
	s.holdUntil = now.Add(hold)
	s.epochSince = now
	s.slowness.try(s.strikes)
	s.failing.try(s.strikes)
	s.strikes++
}

// release ends an ejection, so that no lease is renewed.
func (s *server) release(now flow.Time) {
	s.ejected = false
	s.slowness = newEvidence(slowCharge)
	s.failing = newEvidence(failureCharge)
	s.epochSince = now
	s.strikesFrom = now
}

// makeRoom ends an ejection that the floor has no room for. It is no sign that
// the server got better.
func (s *server) makeRoom(now flow.Time) {
	if !s.ejected {
		return
	}
	s.ejected = false
	s.slowness.resume()
	s.failing.resume()
	s.strikes = max(0, s.strikes-1)
	s.strikesFrom = now
	s.epochSince = now
}

// forgive counts down the strikes for time without ejection.
func (s *server) forgive(now flow.Time) {
	past := int(now.Sub(s.strikesFrom) / strikeDecay)
	s.strikes = max(0, s.strikes-past)
	s.strikesFrom = now
}
