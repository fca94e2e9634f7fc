// What a pool does by and by: it times out silent owners, returns what it does
// not need, and reports.

package drawer

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// Tick times out silent owners, returns tokens that are near their end or not
// needed, reports, and refuses requests that have waited long enough.
func (p *Pool) Tick(now flow.Time) Effects {
	for _, s := range p.shares {
		if !s.ask.closed && !s.ask.overdue && now.Sub(s.ask.sentAt) >= p.settings.AskTimeout {
			s.ask.overdue = true
			p.turnAway(now, s)
		}
	}
	p.recall(now)
	p.trim(now)
	return p.proceed(now)
}

// Due returns when Tick is needed next.
func (p *Pool) Due(now flow.Time) flow.Time {
	due := now.Add(p.settings.IdleAfter)
	if len(p.waiting) > 0 {
		due = min(due, p.waiting[0].deadline)
	}
	for _, s := range p.shares {
		due = min(due, p.dueOf(now, s))
	}
	return max(due, now+1)
}

func (p *Pool) dueOf(now flow.Time, s *share) flow.Time {
	due := now.Add(p.settings.IdleAfter)
	if !s.ask.closed && !s.ask.overdue {
		due = min(due, s.ask.sentAt.Add(p.settings.AskTimeout))
		if hedge := s.ask.sentAt.Add(p.settings.HedgeAfter); now.Before(hedge) {
			due = min(due, hedge)
		}
	}
	if s.newsAt != flow.Never {
		due = min(due, max(s.newsAt.Add(p.reportDelay()), s.awayUntil))
	}
	if len(p.waiting) > 0 && (s.dry(now) || s.away(now)) {
		due = min(due, max(s.dryUntil, s.awayUntil))
	}
	for _, l := range s.leases {
		if l.free > 0 {
			due = min(due, l.recall, now.Add(p.settings.Averaging))
		} else {
			due = min(due, l.expiry.Add(deadAfter)+1)
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
		if len(s.leases) > 0 || s.pending() {
			return false
		}
	}
	return true
}

// -----------------------------------------------------------------------------

func (p *Pool) recall(now flow.Time) {
	for _, s := range p.shares {
		s.recall(now)
	}
}

// trim returns stock when demand has fallen.
func (p *Pool) trim(now flow.Time) {
	target := p.target(now)
	excess := p.Held() - target
	if excess <= target*(stockExcess-1) {
		return
	}
	for _, s := range p.shares {
		for _, l := range s.leases {
			if n := l.giveUp(excess); n > 0 {
				excess -= n
				s.note(now)
			}
		}
	}
}

// target is the stock for the demand expected within the horizon.
func (p *Pool) target(now flow.Time) int {
	expected := p.demand.during(now, p.settings.Horizon, p.settings.Averaging)
	most := p.identity.Limit.PerSecond() * p.settings.Horizon.Seconds()
	return int(min(expected, most))
}
