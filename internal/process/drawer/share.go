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
	recall   flow.Time // from when on free tokens are returned
	lastUse  flow.Time
	noticed  flow.Time      // since when tokens are returned that the owner does not know of
	told     granter.Report // what the owner is known to know
}

func (l *lease) report(now flow.Time) granter.Report {
	report := granter.Report{Lease: l.id, Used: l.used, Returned: l.returned}
	if l.used > l.told.Used {
		report.UsedAge = max(now.Sub(l.lastUse), 0)
	}
	return report
}

func (l *lease) news() bool {
	return l.used != l.told.Used || l.returned != l.told.Returned
}

func (l *lease) settled() bool {
	return l.used+l.returned == l.granted && !l.news()
}

// giveUp makes up to n free tokens unusable and returns how many.
func (l *lease) giveUp(now flow.Time, n int) int {
	n = min(n, l.free)
	if l.returned == l.told.Returned {
		l.noticed = now
	}
	l.free -= n
	l.returned += n
	return n
}

// -----------------------------------------------------------------------------

// ask is a request on its way to the owner. It stays the latest one after it
// has timed out: its answer is accepted until another request is sent.
type ask struct {
	sequence uint64
	sentAt   flow.Time
	want     int
	waiting  int
	ahead    int
	reports  []granter.Report
	closed   bool // answered or failed
	overdue  bool // counted as failed, though its answer may come
}

type share struct {
	index       int
	leases      []*lease
	ask         ask
	answered    uint64    // sequence of the last request whose answer was accepted
	dryUntil    flow.Time // the owner had nothing for waiting requests
	emptyUntil  flow.Time // end of the last time for which the owner was dry; flow.Never when it failed since, or its bucket was fresh
	awayUntil   flow.Time
	failures    int
	misdirected bool          // the latest peer was not the owner
	patience    time.Duration // the owner counts as away when it is silent for so long; 0 for the shortest
	level       float64       // tokens that the owner had left
	levelAt     flow.Time
	ample       bool      // the owner had enough that reports of use can wait for the next request
	newsAt      flow.Time // since when something is to be reported; flow.Never when nothing is
}

// pending reports whether tokens are on the way.
func (s *share) pending() bool {
	return !s.ask.closed && !s.ask.overdue && s.ask.want > 0
}

// late reports whether the answer is late for the first time, so that it is
// worth waiting for.
func (s *share) late() bool { return !s.ask.closed && s.ask.overdue && s.failures == 1 }

// coming returns the tokens on the way, unless the owner has been silent.
func (s *share) coming(now flow.Time, hedgeAfter time.Duration) int {
	if !s.pending() || now.Sub(s.ask.sentAt) >= hedgeAfter {
		return 0
	}
	return s.ask.want
}

func (s *share) dry(now flow.Time) bool { return now.Before(s.dryUntil) }

func (s *share) away(now flow.Time) bool { return now.Before(s.awayUntil) }

// reports returns what the owner does not know yet of the leases.
func (s *share) reports(now flow.Time) []granter.Report {
	var reports []granter.Report
	for _, l := range s.leases {
		if l.news() {
			reports = append(reports, l.report(now))
		}
	}
	return reports
}

// acknowledge notes that the owner has taken reports.
func (s *share) acknowledge(now flow.Time, reports []granter.Report) {
	for _, report := range reports {
		if l := s.lease(report.Lease); l != nil {
			l.told.Used = max(l.told.Used, report.Used)
			l.told.Returned = max(l.told.Returned, report.Returned)
		}
	}
	s.renote(now)
}

// renote restarts the delay of reports, if there is something to report.
func (s *share) renote(now flow.Time) {
	s.newsAt = flow.Never
	for _, l := range s.leases {
		if l.news() {
			s.newsAt = now
		}
	}
}

// unreported returns the uses that the owner does not know of.
func (s *share) unreported() int {
	sum := 0
	for _, l := range s.leases {
		sum += l.used - l.told.Used
	}
	return sum
}

// returnDue returns when returned tokens are to be reported at the latest, so
// that the owner knows before it counts them as used.
func (s *share) returnDue() flow.Time {
	due := distant
	for _, l := range s.leases {
		if l.returned > l.told.Returned {
			due = min(due, l.noticed.Add(returnDelay), l.expiry.Add(-returnReserve))
		}
	}
	return due
}

const (
	// distant is later than everything that is due.
	distant = flow.Time(1 << 60)
	// returnDelay is how long returned tokens wait for the next request.
	returnDelay = 200 * time.Millisecond
	// returnReserve is how long before the end of a lease its last returned
	// tokens are reported.
	returnReserve = 50 * time.Millisecond
)

func (s *share) note(now flow.Time) {
	if s.newsAt == flow.Never {
		s.newsAt = now
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
func (s *share) recall(now flow.Time) {
	for _, l := range s.leases {
		if !now.Before(l.recall) && l.giveUp(now, l.free) > 0 {
			s.note(now)
		}
	}
	s.leases = slices.DeleteFunc(s.leases, func(l *lease) bool {
		return l.settled() || now.Sub(l.expiry) > deadAfter
	})
	if len(s.leases) == 0 {
		s.newsAt = flow.Never
	}
}

// deadAfter is how long after its expiry a lease is still worth a report. The
// owner has counted it as used by then.
const deadAfter = time.Second

func (s *share) free() int {
	sum := 0
	for _, l := range s.leases {
		sum += l.free
	}
	return sum
}

// guess estimates the owner's level from its last answer.
func (s *share) guess(now flow.Time, limit granter.Limit) float64 {
	if s.levelAt == flow.Never {
		return float64(limit.Burst)
	}
	gained := limit.PerSecond() * now.Sub(s.levelAt).Seconds()
	return min(s.level+gained, float64(limit.Burst))
}
