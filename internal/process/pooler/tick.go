// The timed work of a pool: response timeouts, returns of unneeded tokens, and
// reports.

package pooler

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Tick times out owners that do not answer, returns tokens that are about to
// expire or not needed, sends due reports, and refuses requests whose wait has
// ended.
func (p *Pool) Tick(now flow.Time) Effects {
	for _, s := range p.shares {
		if !s.sent.closed && !s.sent.timedOut && now.Sub(s.sent.sentAt) >= p.ownerTimeout(s) {
			s.sent.timedOut = true
			p.adaptOwnerTimeout(s, now.Sub(s.sent.sentAt))
			p.backOff(now, s)
		}
	}
	p.returnExpiring(now)
	p.trimStock(now)
	return p.serveWaiting(now)
}

const (
	timeoutFactor     = 2 // an owner's timeout is this multiple of its last response time
	slowOwnerAttempts = 2 // attempts in a row for which an owner that does not answer may just be slow
)

// ownerTimeout returns the response timeout of a share's owner.
func (p *Pool) ownerTimeout(s *share) time.Duration { return max(s.timeout, p.settings.OwnerTimeout) }

// adaptOwnerTimeout sets the timeout of an owner from the time that it took to
// answer, or did not answer for. An owner that repeatedly does not answer is more
// likely dead than slow, so it is tried often with the shortest timeout rather
// than waited for longer.
func (p *Pool) adaptOwnerTimeout(s *share, elapsed time.Duration) {
	s.timeout = min(timeoutFactor*elapsed, p.settings.MaxOwnerTimeout)
	if s.failures >= slowOwnerAttempts {
		s.timeout = 0
	}
}

// Due returns the time at which Tick is needed next.
func (p *Pool) Due(now flow.Time) flow.Time {
	due := now.Add(p.settings.IdleAfter)
	if len(p.waiting) > 0 {
		due = min(due, p.waiting[0].deadline)
	}
	for _, s := range p.shares {
		due = min(due, p.shareDue(now, s))
	}
	return max(due, now+1)
}

func (p *Pool) shareDue(now flow.Time, s *share) flow.Time {
	due := now.Add(p.settings.IdleAfter)
	if !s.sent.closed && !s.sent.timedOut {
		due = min(due, s.sent.sentAt.Add(p.ownerTimeout(s)))
		if hedge := s.sent.sentAt.Add(p.settings.HedgeAfter); now.Before(hedge) {
			due = min(due, hedge)
		}
	}
	if s.unreportedSince != flow.Never {
		due = min(due, max(p.reportDue(s), s.backoffUntil))
	}
	if len(p.waiting) > 0 && (s.exhausted(now) || s.backingOff(now)) {
		due = min(due, max(s.exhaustedUntil, s.backoffUntil))
	}
	for _, l := range s.leases {
		if l.free > 0 {
			due = min(due, l.returnFrom, now.Add(p.settings.DemandAveraging))
		} else {
			due = min(due, l.expiry.Add(reportableAfterExpiry)+1)
		}
	}
	return due
}

// Idle reports whether the pool can be dropped without losing anything.
func (p *Pool) Idle(now flow.Time) bool {
	if len(p.waiting) > 0 || now.Sub(p.lastDraw) < p.settings.IdleAfter {
		return false
	}
	for _, s := range p.shares {
		if len(s.leases) > 0 || s.awaitsTokens() {
			return false
		}
	}
	return true
}

func (p *Pool) returnExpiring(now flow.Time) {
	for _, s := range p.shares {
		s.returnExpiring(now)
	}
}

// trimStock returns excess stock after demand has fallen.
func (p *Pool) trimStock(now flow.Time) {
	target := max(p.stockTarget(now), p.prefetchTarget(now))
	excess := p.Held() - target
	if excess <= target*(stockExcessFactor-1) {
		return
	}
	for _, s := range p.shares {
		for _, l := range s.leases {
			if n := l.returnFree(now, excess); n > 0 {
				excess -= n
				s.markUnreported(now)
			}
		}
	}
}

// stockTarget returns the stock for the demand expected within StockHorizon.
func (p *Pool) stockTarget(now flow.Time) int {
	return p.capToRate(p.settings.StockHorizon, p.demand.during(now, p.settings.StockHorizon, p.settings.DemandAveraging))
}

// prefetchParts limits prefetching to 1/prefetchParts of the burst.
const prefetchParts = 10

// prefetchTarget returns the stock for the demand expected within
// PrefetchHorizon. Owners lease it only while the customer is well under its
// rate.
func (p *Pool) prefetchTarget(now flow.Time) int {
	if !p.ample() {
		return 0
	}
	target := p.capToRate(p.settings.PrefetchHorizon, p.longTermDemand.during(now, p.settings.PrefetchHorizon, p.settings.PrefetchAveraging))
	return min(target, p.config.Limit.Burst/prefetchParts)
}

// ample reports whether some owner said in its last answer that it had ample
// tokens.
func (p *Pool) ample() bool {
	for _, s := range p.shares {
		if s.ample {
			return true
		}
	}
	return false
}

// capToRate limits the expected demand to what the rate allows within horizon.
func (p *Pool) capToRate(horizon time.Duration, expected float64) int {
	return int(min(expected, p.config.Limit.PerSecond()*horizon.Seconds()))
}
