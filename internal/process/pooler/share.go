// The state of a share at an ingress: the leases of its tokens, and what is known
// of its owner.

package pooler

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// lease is the batch of tokens granted by one answer.
type lease struct {
	id            uint64
	granted       int
	free          int // available to requests
	used          int
	returned      int
	expiry        flow.Time // on the local clock; no request may begin to run with a token of the lease at or after it
	returnFrom    flow.Time // from this time, free tokens are returned and not drawn
	lastUse       flow.Time
	returnedSince flow.Time      // since when there are returned tokens that the owner has not acknowledged
	acknowledged  granter.Report // the counts that the owner has acknowledged
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

// returnFree marks up to n free tokens as returned and returns how many.
func (l *lease) returnFree(now flow.Time, n int) int {
	n = min(n, l.free)
	if l.returned == l.acknowledged.Returned {
		l.returnedSince = now
	}
	l.free -= n
	l.returned += n
	return n
}

// sentRequest is the latest request to the owner. After a timeout, its answer is
// still accepted until another request is sent.
type sentRequest struct {
	sequence uint64
	sentAt   flow.Time
	want     int
	waiting  int
	prefetch int
	reports  []granter.Report
	closed   bool // answered or failed
	timedOut bool // counted as failed, although its answer may still come
}

// share is the state of one share of the customer's rate at this ingress.
type share struct {
	index           int
	leases          []*lease
	sent            sentRequest
	answered        uint64    // sequence of the last request whose answer was accepted
	exhaustedUntil  flow.Time // the owner had too few tokens for waiting requests and is sent no request for tokens before
	knownEmptyUntil flow.Time // last exhaustedUntil that shows the customer to be over its rate; flow.Never when the owner failed since, or its bucket was fresh
	backoffUntil    flow.Time
	failures        int
	misdirected     bool          // the last peer was not the owner
	timeout         time.Duration // response timeout adapted to the owner; applies if longer than OwnerTimeout
	level           float64       // of the owner's bucket in its last answer
	levelAt         flow.Time
	ample           bool      // the owner has so many tokens left that reports of use can wait for the next request
	unreportedSince flow.Time // flow.Never when there is nothing to report
}

// awaitsTokens reports whether a request for tokens is in flight.
func (s *share) awaitsTokens() bool {
	return !s.sent.closed && !s.sent.timedOut && s.sent.want > 0
}

// firstTimeout reports whether the latest request has timed out, as the first
// failure since the last answer. Its answer is still worth waiting for.
func (s *share) firstTimeout() bool { return !s.sent.closed && s.sent.timedOut && s.failures == 1 }

// inFlight returns the number of requested tokens, or 0 when the owner has not
// answered within hedgeAfter.
func (s *share) inFlight(now flow.Time, hedgeAfter time.Duration) int {
	if !s.awaitsTokens() || now.Sub(s.sent.sentAt) >= hedgeAfter {
		return 0
	}
	return s.sent.want
}

func (s *share) exhausted(now flow.Time) bool { return now.Before(s.exhaustedUntil) }

func (s *share) backingOff(now flow.Time) bool { return now.Before(s.backoffUntil) }

// reports returns the reports that the owner has not acknowledged.
func (s *share) reports(now flow.Time) []granter.Report {
	var reports []granter.Report
	for _, l := range s.leases {
		if l.hasUnreported() {
			reports = append(reports, l.report(now))
		}
	}
	return reports
}

// acknowledge records that the owner has received reports.
func (s *share) acknowledge(now flow.Time, reports []granter.Report) {
	for _, report := range reports {
		if l := s.lease(report.Lease); l != nil {
			l.acknowledged.Used = max(l.acknowledged.Used, report.Used)
			l.acknowledged.Returned = max(l.acknowledged.Returned, report.Returned)
		}
	}
	s.restartReportDelay(now)
}

// restartReportDelay restarts the report delay, if there is something to report.
func (s *share) restartReportDelay(now flow.Time) {
	s.unreportedSince = flow.Never
	for _, l := range s.leases {
		if l.hasUnreported() {
			s.unreportedSince = now
		}
	}
}

// unreportedUses returns how many used tokens the owner has not acknowledged.
func (s *share) unreportedUses() int {
	sum := 0
	for _, l := range s.leases {
		sum += l.used - l.acknowledged.Used
	}
	return sum
}

// returnDue returns the latest time for reporting returned tokens: the report
// must arrive before the lease expires and the owner counts them as used.
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
	// farFuture is later than any due time.
	farFuture = flow.Time(1 << 60)
	// returnDelay is how long reports of returned tokens wait for the next request.
	returnDelay = 200 * time.Millisecond
	// returnReserve is the time before the expiry of a lease by which returned
	// tokens must have been reported.
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

// returnExpiring returns the free tokens of leases that are about to expire, and
// drops leases that need no further report.
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

// reportableAfterExpiry is how long after its expiry a lease is kept for reports.
// By then the owner has counted all its tokens as used.
const reportableAfterExpiry = time.Second

func (s *share) free() int {
	sum := 0
	for _, l := range s.leases {
		sum += l.free
	}
	return sum
}

// estimateLevel estimates the level of the owner's bucket from its last answer.
func (s *share) estimateLevel(now flow.Time, limit granter.Limit) float64 {
	if s.levelAt == flow.Never {
		return float64(limit.Burst)
	}
	accrued := limit.PerSecond() * now.Sub(s.levelAt).Seconds()
	return min(s.level+accrued, float64(limit.Burst))
}
