// How many tokens a pool requests, and from which shares.

package pooler

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// planRequests requests the tokens that waiting requests need beyond those in
// flight, and refills the stock when it is below half of its target. Prefetched
// tokens are requested only along with these.
func (p *Pool) planRequests(now flow.Time) []granter.Request {
	var requests []granter.Request
	for range p.shares {
		urgent, stock := p.shortfall(now)
		if urgent+stock <= 0 || (urgent == 0 && now.Before(p.stockPausedUntil)) {
			break
		}
		s := p.chooseShare(now)
		if s == nil {
			break
		}
		estimate := int(math.Ceil(s.estimateLevel(now, p.shareLimit(s.index))))
		urgent = min(urgent, max(estimate, 1))
		requests = append(requests, p.nextRequest(now, s, urgent, stock, p.prefetchShortfall(now, stock)))
	}
	return requests
}

// shortfall returns how many tokens are missing for waiting requests and for the
// stock.
func (p *Pool) shortfall(now flow.Time) (urgent, stock int) {
	inFlight := p.inFlight(now)
	urgent = max(len(p.waiting)-inFlight, 0)
	remaining := p.Held() + max(inFlight-len(p.waiting), 0)
	if target := p.stockTarget(now); remaining*2 < target {
		stock = target - remaining
	}
	return urgent, stock
}

// prefetchShortfall returns how many tokens to prefetch on top of the stock.
func (p *Pool) prefetchShortfall(now flow.Time, stock int) int {
	remaining := p.Held() + max(p.inFlight(now)-len(p.waiting), 0)
	return max(p.prefetchTarget(now)-remaining-stock, 0)
}

// inFlight returns the requested tokens, leaving out owners that are late to
// answer.
func (p *Pool) inFlight(now flow.Time) int {
	sum := 0
	for _, s := range p.shares {
		sum += s.inFlight(now, p.settings.HedgeAfter)
	}
	return sum
}

// chooseShare returns the share with the highest estimated level, or nil when
// none may be sent a request. Among equals, the first after FirstShare wins.
func (p *Pool) chooseShare(now flow.Time) *share {
	var best *share
	highest := -1.0
	for i := range p.shares {
		s := p.shares[(p.config.FirstShare+i)%len(p.shares)]
		if s.awaitsTokens() || s.backingOff(now) || s.exhausted(now) {
			continue
		}
		if estimate := s.estimateLevel(now, p.shareLimit(s.index)); estimate > highest {
			best, highest = s, estimate
		}
	}
	return best
}

func (p *Pool) shareLimit(index int) granter.Limit {
	return granter.ShareLimit(p.config.Limit, index, len(p.shares))
}

// nextRequest returns the next request to a share and abandons an unanswered one.
func (p *Pool) nextRequest(now flow.Time, s *share, waiting, stock, prefetch int) granter.Request {
	s.sent = sentRequest{
		sequence: p.counter.Next(),
		sentAt:   now,
		want:     waiting + stock + prefetch,
		waiting:  waiting,
		prefetch: prefetch,
		reports:  s.reports(now),
	}
	s.unreportedSince = flow.Never
	return granter.Request{
		Customer:    p.config.Customer,
		Share:       s.index,
		Shares:      len(p.shares),
		Ingress:     p.config.Host,
		Incarnation: p.config.Incarnation,
		Sequence:    s.sent.sequence,
		Answered:    s.answered,
		Want:        s.sent.want,
		Waiting:     waiting,
		Prefetch:    prefetch,
		Reports:     s.sent.reports,
	}
}

// planReports returns requests that carry only reports, for the shares whose
// reports are due and did not go along with a request for tokens.
func (p *Pool) planReports(now flow.Time) []granter.Request {
	var requests []granter.Request
	for _, s := range p.shares {
		due := s.unreportedSince != flow.Never && !now.Before(p.reportDue(s))
		if due && (s.sent.closed || s.sent.timedOut) && !s.backingOff(now) {
			requests = append(requests, p.nextRequest(now, s, 0, 0, 0))
		}
	}
	return requests
}

const (
	maxUnreportedParts = 16 // 1/maxUnreportedParts of a share's burst may be used and not yet reported
	minUnreported      = 2  // so many used tokens need not be reported at once, however small the burst
)

// reportDue returns when the reports of a share are due. While the owner has
// ample tokens, reports of use go along with the next request for tokens, and
// returned tokens are reported before their lease expires. A lease whose tokens
// were all used needs no report of its own: the owner counts them as used when
// the lease expires. The owner never counts a use before it is reported, so a
// late or lost report costs only the tokens that could have accrued meanwhile.
func (p *Pool) reportDue(s *share) flow.Time {
	limit := max(p.shareLimit(s.index).Burst/maxUnreportedParts, minUnreported)
	if s.ample && s.unreportedUses() <= limit {
		return s.returnDue()
	}
	return s.unreportedSince.Add(p.reportDelay())
}

// reportDelay is shorter when the burst is small for the rate: tokens whose use
// is not reported keep the bucket from refilling.
func (p *Pool) reportDelay() time.Duration {
	rate := p.config.Limit.PerSecond()
	if rate <= 0 {
		return p.settings.MaxReportDelay
	}
	burst := time.Duration(float64(p.config.Limit.Burst) / rate * float64(time.Second))
	return min(p.settings.MaxReportDelay, max(burst/reportsPerBurst, minReportDelay))
}

const (
	reportsPerBurst = 8 // within the time in which the burst accrues
	minReportDelay  = 10 * time.Millisecond
)
