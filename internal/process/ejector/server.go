// What the owner remembers of one backend server: its recent windows, the
// evidence against it, and its ejections.

package ejector

import (
	"math"
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

// A span is the work of one or more windows of a server, up to a moment.
type span struct {
	until    flow.Time
	count    int
	failures int
	good     int
	median   float64 // logarithm of nanoseconds, of good answers
	low      float64 // lower quartile of the windows' medians, as a logarithm
	newest   float64 // median of the newest window, as a logarithm
	spread   float64 // standard deviation of one answer's logarithm; 0 when unknown
}

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
	confirmed  bool // it is slow over a longer time too
	failing    evidence
	severity   float64 // how bad the last epoch was, to order the bad

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
	return &server{name: name, heard: flow.Never, leaseUntil: flow.Never, holdUntil: flow.Never, epochSince: flow.Never}
}

// observe takes one window.
func (s *server) observe(now flow.Time, report flow.ServerReport) {
	s.heard = now
	s.reports++
	count := max(0, report.Count)
	failures := min(max(0, report.Failures), count)
	window := span{until: now, count: count, failures: failures, good: count - failures}
	if report.Median <= 0 {
		window.good = 0
	}
	if window.good > 0 {
		window.median = math.Log(float64(report.Median))
		window.spread = spreadOf(window.good, report)
		s.barren = 0
	} else {
		s.barren += count
	}
	if count > 0 {
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
		return s.confirmed || s.failing.proven()
	}
	if now.Before(s.holdUntil) {
		return true
	}
	if now.Sub(max(s.trialAt, s.ejectedAt)) > trialPatience {
		return false
	}
	return s.slowness > 0 || s.failing > 0
}

// reason names the stronger evidence.
func (s *server) reason() string {
	if s.failing > s.slowness {
		return ReasonFailures
	}
	return ReasonLatency
}

// -----------------------------------------------------------------------------

// eject begins an ejection. Each one that follows others lasts at least twice
// as long as the one before. The evidence is halved, so that good trial results
// can wear it off.
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
	s.strikes++
	s.slowness = min(s.slowness, evidenceProven/2)
	s.failing = min(s.failing, evidenceProven/2)
	s.epochSince = now
}

// release ends an ejection, so that no lease is renewed.
func (s *server) release(now flow.Time) {
	s.confirmed = false
	s.ejected = false
	s.slowness = 0
	s.failing = 0
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
