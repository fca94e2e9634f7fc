// What a pool does by and by: it times out silent owners, returns what it does
// not need, and reports.

package drawer

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Tick times out silent owners, returns tokens that are near their end or not
// needed, reports, and refuses requests that have waited long enough.
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
	timeoutFactor = 2 // an owner may take this many times what it took before
	slowOwnerAttempts       = 2 // this many asks in a row try whether a silent owner is slow
)

// patience returns for how long the owner of a share may be silent.
func (p *Pool) ownerTimeout(s *share) time.Duration { return max(s.timeout, p.settings.OwnerTimeout) }

// learn fits the patience with an owner to the time that it took, or has been
// silent for. An owner that stays silent is more likely dead than slow, and is
// asked often rather than long.
func (p *Pool) adaptOwnerTimeout(s *share, took time.Duration) {
	s.timeout = min(timeoutFactor*took, p.settings.MaxOwnerTimeout)
	if s.failures >= slowOwnerAttempts {
		s.timeout = 0
	}
}

// Due returns when Tick is needed next.
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

// Idle reports whether there is nothing to lose by forgetting the pool.
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

// -----------------------------------------------------------------------------

func (p *Pool) returnExpiring(now flow.Time) {
	for _, s := range p.shares {
		s.returnExpiring(now)
	}
}

// trim returns stock when demand has fallen.
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

// target is the stock for the demand expected within the horizon.
func (p *Pool) stockTarget(now flow.Time) int {
	return p.capToRate(p.settings.StockHorizon, p.demand.during(now, p.settings.StockHorizon, p.settings.DemandAveraging))
}

// farParts: a stock for a longer time is no more than one part in so many of the
// burst.
const prefetchParts = 10

// farTarget is the stock for a longer time, which the owner gives while the
// customer is well under its rate.
func (p *Pool) prefetchTarget(now flow.Time) int {
	if !p.ample() {
		return 0
	}
	target := p.capToRate(p.settings.PrefetchHorizon, p.longTermDemand.during(now, p.settings.PrefetchHorizon, p.settings.PrefetchAveraging))
	return min(target, p.config.Limit.Burst/prefetchParts)
}

// ample reports whether some owner had enough lately.
func (p *Pool) ample() bool {
	for _, s := range p.shares {
		if s.ample {
			return true
		}
	}
	return false
}

// within cuts the demand that is expected within a horizon to the rate.
func (p *Pool) capToRate(horizon time.Duration, expected float64) int {
	return int(min(expected, p.config.Limit.PerSecond()*horizon.Seconds()))
}
