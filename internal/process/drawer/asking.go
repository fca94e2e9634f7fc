// Asking decides how many tokens to ask for, and of which shares.

package drawer

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// plan asks for the tokens that waiting requests need and are not on the way,
// and for stock once less than half of the target is left.
func (p *Pool) plan(now flow.Time) []granter.Request {
	var asks []granter.Request
	for range p.shares {
		urgent, stock := p.shortfall(now)
		if urgent+stock <= 0 || (urgent == 0 && now.Before(p.thinUntil)) {
			break
		}
		s := p.choose(now)
		if s == nil {
			break
		}
		guess := int(math.Ceil(s.guess(now, p.shareLimit(s.index))))
		urgent = min(urgent, max(guess, 1))
		asks = append(asks, p.send(now, s, urgent+stock, urgent))
	}
	return asks
}

// shortfall returns the tokens that are missing for waiting requests, and for
// the stock.
func (p *Pool) shortfall(now flow.Time) (urgent, stock int) {
	coming := 0
	for _, s := range p.shares {
		coming += s.coming(now, p.settings.HedgeAfter)
	}
	urgent = max(len(p.waiting)-coming, 0)
	left := p.Held() + max(coming-len(p.waiting), 0)
	if target := p.target(now); left*2 < target {
		stock = target - left
	}
	return urgent, stock
}

// choose returns the share that is thought to have most, beginning with the
// home share, or nil when none can be asked.
func (p *Pool) choose(now flow.Time) *share {
	var best *share
	most := -1.0
	for i := range p.shares {
		s := p.shares[(p.identity.Home+i)%len(p.shares)]
		if s.pending() || s.away(now) || s.dry(now) {
			continue
		}
		if guess := s.guess(now, p.shareLimit(s.index)); guess > most {
			best, most = s, guess
		}
	}
	return best
}

func (p *Pool) shareLimit(index int) granter.Limit {
	return granter.ShareLimit(p.identity.Limit, index, len(p.shares))
}

// send makes the next request to a share; an unanswered one is given up.
func (p *Pool) send(now flow.Time, s *share, want, waiting int) granter.Request {
	s.ask = ask{
		sequence: p.counter.Next(),
		sentAt:   now,
		want:     want,
		waiting:  waiting,
		reports:  s.reports(now),
	}
	s.newsAt = flow.Never
	return granter.Request{
		Customer:    p.identity.Customer,
		Share:       s.index,
		Shares:      len(p.shares),
		Asker:       p.identity.Host,
		Incarnation: p.identity.Incarnation,
		Sequence:    s.ask.sequence,
		Answered:    s.answered,
		Want:        want,
		Waiting:     waiting,
		Reports:     s.ask.reports,
	}
}

// report sends what is due to be reported and did not go along with a request
// for tokens.
func (p *Pool) report(now flow.Time) []granter.Request {
	var asks []granter.Request
	for _, s := range p.shares {
		due := s.newsAt != flow.Never && now.Sub(s.newsAt) >= p.reportDelay()
		if due && (s.ask.closed || s.ask.overdue) && !s.away(now) {
			asks = append(asks, p.send(now, s, 0, 0))
		}
	}
	return asks
}

// reportDelay is shorter for a burst that is small for its rate: tokens whose
// use is not reported keep the bucket from filling.
func (p *Pool) reportDelay() time.Duration {
	rate := p.identity.Limit.PerSecond()
	if rate <= 0 {
		return p.settings.ReportDelay
	}
	burst := time.Duration(float64(p.identity.Limit.Burst) / rate * float64(time.Second))
	return min(p.settings.ReportDelay, max(burst/reportsPerBurst, minReportDelay))
}

const (
	reportsPerBurst = 8 // reports in the time in which the burst accrues
	minReportDelay  = 10 * time.Millisecond
)
