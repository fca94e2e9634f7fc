// Asking decides how many tokens to ask for, and of which shares.

package drawer

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// plan asks for the tokens that waiting requests need and are not on the way,
// and for stock once less than half of the target is left. A stock for a longer
// time is asked for along with these only.
func (p *Pool) planRequests(now flow.Time) []granter.Request {
	var asks []granter.Request
	for range p.shares {
		urgent, stock := p.shortfall(now)
		if urgent+stock <= 0 || (urgent == 0 && now.Before(p.stockPausedUntil)) {
			break
		}
		s := p.chooseShare(now)
		if s == nil {
			break
		}
		guess := int(math.Ceil(s.estimateLevel(now, p.shareLimit(s.index))))
		urgent = min(urgent, max(guess, 1))
		asks = append(asks, p.nextRequest(now, s, urgent, stock, p.prefetchShortfall(now, stock)))
	}
	return asks
}

// shortfall returns the tokens that are missing for waiting requests, and for
// the stock.
func (p *Pool) shortfall(now flow.Time) (urgent, stock int) {
	coming := p.inFlight(now)
	urgent = max(len(p.waiting)-coming, 0)
	left := p.Held() + max(coming-len(p.waiting), 0)
	if target := p.stockTarget(now); left*2 < target {
		stock = target - left
	}
	return urgent, stock
}

// ahead returns the tokens to ask for besides the stock, for a longer time.
func (p *Pool) prefetchShortfall(now flow.Time, stock int) int {
	left := p.Held() + max(p.inFlight(now)-len(p.waiting), 0)
	return max(p.prefetchTarget(now)-left-stock, 0)
}

// coming returns the tokens on the way from owners that are not silent.
func (p *Pool) inFlight(now flow.Time) int {
	sum := 0
	for _, s := range p.shares {
		sum += s.inFlight(now, p.settings.HedgeAfter)
	}
	return sum
}

// choose returns the share that is thought to have most, beginning with the
// home share, or nil when none can be asked.
func (p *Pool) chooseShare(now flow.Time) *share {
	var best *share
	most := -1.0
	for i := range p.shares {
		s := p.shares[(p.config.FirstShare+i)%len(p.shares)]
		if s.awaitsTokens() || s.backingOff(now) || s.exhausted(now) {
			continue
		}
		if guess := s.estimateLevel(now, p.shareLimit(s.index)); guess > most {
			best, most = s, guess
		}
	}
	return best
}

func (p *Pool) shareLimit(index int) granter.Limit {
	return granter.ShareLimit(p.config.Limit, index, len(p.shares))
}

// send makes the next request to a share; an unanswered one is given up.
func (p *Pool) nextRequest(now flow.Time, s *share, waiting, stock, ahead int) granter.Request {
	s.sent = sentRequest{
		sequence: p.counter.Next(),
		sentAt:   now,
		want:     waiting + stock + ahead,
		waiting:  waiting,
		prefetch:    ahead,
		reports:  s.reports(now),
	}
	s.unreportedSince = flow.Never
	return granter.Request{
		Customer:    p.config.Customer,
		Share:       s.index,
		Shares:      len(p.shares),
		Asker:       p.config.Host,
		Incarnation: p.config.Incarnation,
		Sequence:    s.sent.sequence,
		Answered:    s.answered,
		Want:        s.sent.want,
		Waiting:     waiting,
		Ahead:       ahead,
		Reports:     s.sent.reports,
	}
}

// report sends what is due to be reported and did not go along with a request
// for tokens.
func (p *Pool) planReports(now flow.Time) []granter.Request {
	var asks []granter.Request
	for _, s := range p.shares {
		due := s.unreportedSince != flow.Never && !now.Before(p.reportDue(s))
		if due && (s.sent.closed || s.sent.timedOut) && !s.backingOff(now) {
			asks = append(asks, p.nextRequest(now, s, 0, 0, 0))
		}
	}
	return asks
}

const (
	maxUnreportedParts = 16 // of the burst of a share, one part in so many may be used and not reported
	minUnreported = 2  // tokens of which the use need not be reported
)

// reportDue returns when the news of a share are due. While the owner has
// enough, reports of use join the next request for tokens, and returned tokens
// are reported before their lease ends. Nothing is due by itself when all tokens
// of a lease were used: the owner counts them when the lease has run out. It
// never counts a use earlier than it was reported, so that what is lost by a
// late or missing report is only tokens that could have accrued meanwhile.
func (p *Pool) reportDue(s *share) flow.Time {
	most := max(p.shareLimit(s.index).Burst/maxUnreportedParts, minUnreported)
	if s.ample && s.unreportedUses() <= most {
		return s.returnDue()
	}
	return s.unreportedSince.Add(p.reportDelay())
}

// reportDelay is shorter for a burst that is small for its rate: tokens whose
// use is not reported keep the bucket from filling.
func (p *Pool) reportDelay() time.Duration {
	rate := p.config.Limit.PerSecond()
	if rate <= 0 {
		return p.settings.MaxReportDelay
	}
	burst := time.Duration(float64(p.config.Limit.Burst) / rate * float64(time.Second))
	return min(p.settings.MaxReportDelay, max(burst/reportsPerBurst, minReportDelay))
}

const (
	reportsPerBurst = 8 // reports in the time in which the burst accrues
	minReportDelay  = 10 * time.Millisecond
)
