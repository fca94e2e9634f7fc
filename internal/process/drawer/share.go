// A share, at an ingress, is what the ingress holds of one share's tokens and
// what it knows of the share's owner.

package drawer

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// lease is a batch of tokens from one answer.
type lease struct {
	id       uint64
	granted  int
	free     int // can be drawn
	used     int
	returned int
	expiry   flow.Time // on the own clock; nothing of the lease may begin to run at or after it
	returnFrom   flow.Time // from when on free tokens are returned
	lastUse  flow.Time
	returnedSince  flow.Time      // since when tokens are returned that the owner does not know of
	acknowledged     granter.Report // what the owner is known to know
}

func (l *lease) report(now flow.Time) granter.Report {
	report := granter.Report{Lease: l.id, Used: l.used, Returned: l.returned}
	if l.used > l.acknowledged.Used {
		report.UsedAge = max(now.Sub(l.lastUse), 0)
	}
	return report
}

func (l *lease) hasUnreported() bool {
	return l.used != l.acknowledged.Used || l.returned != l.acknowledged.Returned
}

func (l *lease) settled() bool {
	return l.used+l.returned == l.granted && !l.hasUnreported()
}

// giveUp makes up to n free tokens unusable and returns how many.
func (l *lease) returnFree(now flow.Time, n int) int {
	n = min(n, l.free)
	if l.returned == l.acknowledged.Returned {
		l.returnedSince = now
	}
	l.free -= n
	l.returned += n
	return n
}

// -----------------------------------------------------------------------------

// ask is a request on its way to the owner. It stays the latest one after it
// has timed out: its answer is accepted until another request is sent.
type sentRequest struct {
	sequence uint64
	sentAt   flow.Time
	want     int
	waiting  int
	prefetch    int
	reports  []granter.Report
	closed   bool // answered or failed
	timedOut  bool // counted as failed, though its answer may come
}

type share struct {
	index       int
	leases      []*lease
	sent         sentRequest
	answered    uint64    // sequence of the last request whose answer was accepted
	exhaustedUntil    flow.Time // the owner had nothing for waiting requests
	knownEmptyUntil  flow.Time // end of the last time for which the owner was dry; flow.Never when it failed since, or its bucket was fresh
	backoffUntil   flow.Time
	failures    int
	misdirected bool          // the latest peer was not the owner
	timeout    time.Duration // the owner counts as away when it is silent for so long; 0 for the shortest
	level       float64       // tokens that the owner had left
	levelAt     flow.Time
	ample       bool      // the owner had enough that reports of use can wait for the next request
	unreportedSince      flow.Time // since when something is to be reported; flow.Never when nothing is
}

// pending reports whether tokens are on the way.
func (s *share) awaitsTokens() bool {
	return !s.sent.closed && !s.sent.timedOut && s.sent.want > 0
}

// late reports whether the answer is late for the first time, so that it is
// worth waiting for.
func (s *share) firstTimeout() bool { return !s.sent.closed && s.sent.timedOut && s.failures == 1 }

// coming returns the tokens on the way, unless the owner has been silent.
func (s *share) inFlight(now flow.Time, hedgeAfter time.Duration) int {
	if !s.awaitsTokens() || now.Sub(s.sent.sentAt) >= hedgeAfter {
		return 0
	}
	return s.sent.want
}

func (s *share) exhausted(now flow.Time) bool { return now.Before(s.exhaustedUntil) }

func (s *share) backingOff(now flow.Time) bool { return now.Before(s.backoffUntil) }

// reports returns what the owner does not know yet of the leases.
func (s *share) reports(now flow.Time) []granter.Report {
	var reports []granter.Report
	for _, l := range s.leases {
		if l.hasUnreported() {
			reports = append(reports, l.report(now))
		}
	}
	return reports
}

// acknowledge notes that the owner has taken reports.
func (s *share) acknowledge(now flow.Time, reports []granter.Report) {
	for _, report := range reports {
		if l := s.lease(report.Lease); l != nil {
			l.acknowledged.Used = max(l.acknowledged.Used, report.Used)
			l.acknowledged.Returned = max(l.acknowledged.Returned, report.Returned)
		}
	}
	s.restartReportDelay(now)
}

// renote restarts the delay of reports, if there is something to report.
func (s *share) restartReportDelay(now flow.Time) {
	s.unreportedSince = flow.Never
	for _, l := range s.leases {
		if l.hasUnreported() {
			s.unreportedSince = now
		}
	}
}

// unreported returns the uses that the owner does not know of.
func (s *share) unreportedUses() int {
	sum := 0
	for _, l := range s.leases {
		sum += l.used - l.acknowledged.Used
	}
	return sum
}

// returnDue returns when returned tokens are to be reported at the latest, so
// that the owner knows before it counts them as used.
func (s *share) returnDue() flow.Time {
	due := farFuture
	for _, l := range s.leases {
		if l.returned > l.acknowledged.Returned {
			due = min(due, l.returnedSince.Add(returnDelay), l.expiry.Add(-returnReserve))
		}
	}
	return due
}

const (
	// distant is later than everything that is due.
	farFuture = flow.Time(1 << 60)
	// returnDelay is how long returned tokens wait for the next request.
	returnDelay = 200 * time.Millisecond
	// returnReserve is how long before the end of a lease its last returned
	// tokens are reported.
	returnReserve = 50 * time.Millisecond
)

func (s *share) markUnreported(now flow.Time) {
	if s.unreportedSince == flow.Never {
		s.unreportedSince = now
	}
}

func (s *share) lease(id uint64) *lease {
	for _, l := range s.leases {
		if l.id == id {
			return l
		}
	}
	return nil
}

// recall gives up the free tokens of leases that near their end, and forgets
// leases of which there is nothing left to say.
func (s *share) returnExpiring(now flow.Time) {
	for _, l := range s.leases {
		if !now.Before(l.returnFrom) && l.returnFree(now, l.free) > 0 {
			s.markUnreported(now)
		}
	}
	s.leases = slices.DeleteFunc(s.leases, func(l *lease) bool {
		return l.settled() || now.Sub(l.expiry) > reportableAfterExpiry
	})
	if len(s.leases) == 0 {
		s.unreportedSince = flow.Never
	}
}

// deadAfter is how long after its expiry a lease is still worth a report. The
// owner has counted it as used by then.
const reportableAfterExpiry = time.Second

func (s *share) free() int {
	sum := 0
	for _, l := range s.leases {
		sum += l.free
	}
	return sum
}

// guess estimates the owner's level from its last answer.
func (s *share) estimateLevel(now flow.Time, limit granter.Limit) float64 {
	if s.levelAt == flow.Never {
		return float64(limit.Burst)
	}
	gained := limit.PerSecond() * now.Sub(s.levelAt).Seconds()
	return min(s.level+gained, float64(limit.Burst))
}
