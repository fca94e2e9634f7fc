// Pool leases tokens from the owners of a customer's shares. It keeps a stock for
// the requests expected soon, and lets requests wait for tokens in flight.

package pooler

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// PoolConfig identifies the ingress and says how one customer's rate is divided
// into shares.
type PoolConfig struct {
	Customer    string
	Host        string
	Incarnation uint64        // differs for each start of the host's daemon
	Shares      int           // number of shares of the rate
	FirstShare  int           // index of the share that is tried first among equals
	Limit       granter.Limit // of the region
}

// Counter issues the sequence numbers of one process. All its pools use the same
// Counter.
type Counter struct {
	last uint64
}

// Next returns the next sequence number; the first is 1.
func (c *Counter) Next() uint64 {
	c.last++
	return c.last
}

// Pool is the Source that leases tokens. It is not safe for concurrent use; the
// caller locks it.
type Pool struct {
	config           PoolConfig
	settings         Settings
	counter          *Counter
	demand           demand
	longTermDemand   demand // for prefetching
	shares           []*share
	waiting          []waiter
	lastDraw         flow.Time
	overRateAt       flow.Time // when the customer was last refused as over its rate
	stockPausedUntil flow.Time // set when an owner had too few tokens for the stock
}

type waiter struct {
	ticket   Ticket
	deadline flow.Time
}

// NewPool returns a pool without tokens.
func NewPool(config PoolConfig, settings Settings, counter *Counter) *Pool {
	p := &Pool{
		config:           config,
		settings:         settings,
		counter:          counter,
		shares:           make([]*share, max(config.Shares, 1)),
		lastDraw:         flow.Never,
		overRateAt:       flow.Never,
		stockPausedUntil: flow.Never,
	}
	for i := range p.shares {
		p.shares[i] = &share{
			index:           i,
			sent:            sentRequest{closed: true},
			answered:        counter.last,
			exhaustedUntil:  flow.Never,
			knownEmptyUntil: flow.Never,
			backoffUntil:    flow.Never,
			levelAt:         flow.Never,
			unreportedSince: flow.Never,
		}
	}
	return p
}

// Draw takes a token. Without one, the request waits for tokens in flight, or is
// refused when none can be expected soon.
func (p *Pool) Draw(now flow.Time) Decision {
	p.demand.add(now, p.settings.DemandAveraging)
	p.longTermDemand.add(now, p.settings.PrefetchAveraging)
	p.lastDraw = now
	p.returnExpiring(now)
	if len(p.waiting) == 0 {
		if token, ok := p.takeToken(now); ok {
			return Decision{Taken: true, Token: token, Requests: p.planRequests(now)}
		}
	}
	if len(p.waiting) >= p.settings.MaxWaiting {
		return p.refusal(now)
	}
	ticket := Ticket(p.counter.Next())
	p.waiting = append(p.waiting, waiter{ticket, now.Add(p.settings.MaxWait)})
	requests := p.planRequests(now)
	if len(p.waiting) > p.waitCapacity(now) {
		p.Cancel(now, ticket)
		refusal := p.refusal(now)
		refusal.Requests = requests
		return refusal
	}
	return Decision{Wait: true, Ticket: ticket, Requests: requests}
}

// Cancel ends the wait of a request.
func (p *Pool) Cancel(_ flow.Time, ticket Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return w.ticket == ticket })
}

// Return puts a token back into its lease when its request certainly did not run.
// The token can be drawn again until the lease is about to expire.
func (p *Pool) Return(now flow.Time, token Token) Effects {
	_, l := p.drawnLease(token)
	if l == nil {
		return Effects{}
	}
	l.free++
	return p.serveWaiting(now)
}

// MarkUsed records that the request of a token began to run at least ago before
// now.
func (p *Pool) MarkUsed(now flow.Time, token Token, ago time.Duration) {
	s, l := p.drawnLease(token)
	if l == nil {
		return
	}
	l.used++
	l.lastUse = max(l.lastUse, now.Add(-ago))
	s.markUnreported(now)
}

// drawnLease returns the lease of a drawn token. It returns nil when the lease
// was dropped, belongs to a former division into shares, or has no drawn token.
func (p *Pool) drawnLease(token Token) (*share, *lease) {
	if token.Share >= len(p.shares) {
		return nil, nil
	}
	s := p.shares[token.Share]
	l := s.lease(token.Lease)
	if l == nil || l.free+l.used+l.returned >= l.granted {
		return nil, nil
	}
	return s, l
}

// Answered handles an owner's answer. Only the answer to the latest request to
// the share counts, and only once.
func (p *Pool) Answered(now flow.Time, answer granter.Answer) Effects {
	s := p.shareAwaiting(answer.Share, answer.Sequence)
	if s == nil || answer.Shares != len(p.shares) {
		return Effects{}
	}
	s.sent.closed = true
	s.answered = answer.Sequence
	s.failures = 0
	s.misdirected = false
	p.adaptOwnerTimeout(s, now.Sub(s.sent.sentAt))
	s.backoffUntil = flow.Never
	s.level = float64(answer.Level)
	s.levelAt = now
	s.ample = answer.Ample
	s.acknowledge(now, s.sent.reports)
	p.addLease(s, answer)
	p.noteShortage(now, s, answer)
	return p.serveWaiting(now)
}

func (p *Pool) addLease(s *share, answer granter.Answer) {
	if answer.Granted <= 0 {
		return
	}
	s.leases = append(s.leases, &lease{
		id:         answer.Sequence,
		granted:    answer.Granted,
		free:       answer.Granted,
		expiry:     s.sent.sentAt.Add(answer.Lifetime),
		returnFrom: s.sent.sentAt.Add(answer.Lifetime - answer.Lifetime/leaseReturnParts),
		lastUse:    flow.Never,
	})
}

// noteShortage records that the owner granted less than the pool needed.
func (p *Pool) noteShortage(now flow.Time, s *share, answer granter.Answer) {
	if answer.Granted >= s.sent.want-s.sent.prefetch {
		return
	}
	until := now.Add(min(answer.RetryAfter, p.settings.MaxExhausted))
	p.stockPausedUntil = max(until, now.Add(p.settings.StockHorizon/2))
	if answer.Granted < s.sent.waiting {
		s.exhaustedUntil = until
		s.knownEmptyUntil = until
	}
	if answer.Fresh {
		s.knownEmptyUntil = flow.Never
	}
}

// Failed handles a request to an owner that got no answer.
func (p *Pool) Failed(now flow.Time, index int, sequence uint64) Effects {
	s := p.shareAwaiting(index, sequence)
	if s == nil {
		return Effects{}
	}
	s.sent.closed = true
	p.backOff(now, s)
	return p.serveWaiting(now)
}

// Misdirected handles a peer's answer that it is not the owner, or does not act
// as the owner at present. Another host may be known as the owner by now, so the
// request is repeated at once. When that is misdirected too, the next attempt
// follows after FirstBackoff.
func (p *Pool) Misdirected(now flow.Time, index int, sequence uint64) Effects {
	s := p.shareAwaiting(index, sequence)
	if s == nil {
		return Effects{}
	}
	s.sent.closed = true
	s.knownEmptyUntil = flow.Never
	s.restartReportDelay(now)
	if s.misdirected {
		s.backoffUntil = now.Add(p.settings.FirstBackoff)
	}
	s.misdirected = true
	return p.serveWaiting(now)
}

// shareAwaiting returns the share whose latest request has the given sequence and
// is open, or nil.
func (p *Pool) shareAwaiting(index int, sequence uint64) *share {
	if index < 0 || index >= len(p.shares) {
		return nil
	}
	s := p.shares[index]
	if s.sent.closed || s.sent.sequence != sequence {
		return nil
	}
	return s
}

func (p *Pool) backOff(now flow.Time, s *share) {
	backoff := p.settings.MaxBackoff
	if s.failures < maxBackoffDoublings {
		backoff = min(p.settings.FirstBackoff<<s.failures, p.settings.MaxBackoff)
	}
	s.failures++
	s.backoffUntil = now.Add(backoff)
	s.knownEmptyUntil = flow.Never
	s.restartReportDelay(now)
}

const maxBackoffDoublings = 10

// Held returns the number of tokens in stock.
func (p *Pool) Held() int {
	sum := 0
	for _, s := range p.shares {
		sum += s.free()
	}
	return sum
}

// serveWaiting gives tokens to waiting requests, refuses those whose wait has
// ended, requests missing tokens, and refuses the requests for which no token can
// be expected soon. It also plans the reports that are due.
func (p *Pool) serveWaiting(now flow.Time) Effects {
	var effects Effects
	for len(p.waiting) > 0 {
		token, ok := p.takeToken(now)
		if !ok {
			break
		}
		effects.Decided = append(effects.Decided, TicketDecision{p.waiting[0].ticket, Decision{Taken: true, Token: token}})
		p.waiting = p.waiting[1:]
	}
	for len(p.waiting) > 0 && !now.Before(p.waiting[0].deadline) {
		effects.Decided = append(effects.Decided, TicketDecision{p.waiting[0].ticket, p.refusal(now)})
		p.waiting = p.waiting[1:]
	}
	effects.Requests = p.planRequests(now)
	capacity := min(p.waitCapacity(now), len(p.waiting))
	for _, w := range p.waiting[capacity:] {
		effects.Decided = append(effects.Decided, TicketDecision{w.ticket, p.refusal(now)})
	}
	p.waiting = p.waiting[:capacity]
	effects.Requests = append(effects.Requests, p.planReports(now)...)
	return effects
}

// takeToken takes a token of the lease that expires first.
func (p *Pool) takeToken(now flow.Time) (Token, bool) {
	var best *lease
	share := 0
	for i, s := range p.shares {
		for _, l := range s.leases {
			usable := l.free > 0 && now.Before(l.returnFrom)
			if usable && (best == nil || l.expiry < best.expiry) {
				best, share = l, i
			}
		}
	}
	if best == nil {
		return Token{}, false
	}
	best.free--
	return Token{Share: share, Lease: best.id, NotAfter: best.expiry}, true
}

// waitCapacity returns how many requests may wait: MaxWaiting while tokens are in
// flight or an owner is slow; as many as tokens accrue within the wait, and one
// more, while an exhausted share may be tried again soon; none otherwise.
func (p *Pool) waitCapacity(now flow.Time) int {
	wait := p.settings.ExhaustedWait
	if now.Sub(p.overRateAt) < p.settings.OverRateMemory {
		wait = p.settings.OverRateWait
	}
	latest := now.Add(wait)
	capacity := 0
	for _, s := range p.shares {
		if s.awaitsTokens() || s.firstTimeout() {
			return p.settings.MaxWaiting
		}
		if !s.backingOff(now) && s.exhaustedUntil <= latest {
			capacity = 1 + int(p.config.Limit.PerSecond()*wait.Seconds())
		}
	}
	return min(capacity, p.settings.MaxWaiting)
}

// refusal gives the reason over rate when all shares were exhausted lately, and
// rate unavailable otherwise: a share whose owner is new or does not answer may
// have tokens that cannot be reached.
func (p *Pool) refusal(now flow.Time) Decision {
	refusal := Decision{Refuse: true, Reason: flow.ReasonOverRate, RetryAfter: p.settings.MaxBackoff}
	for _, s := range p.shares {
		if !p.knownEmpty(now, s) {
			refusal.Reason = flow.ReasonRateUnavailable
			continue
		}
		refusal.RetryAfter = min(refusal.RetryAfter, max(s.exhaustedUntil.Sub(now), time.Millisecond))
	}
	if refusal.Reason == flow.ReasonOverRate {
		p.overRateAt = now
	}
	return refusal
}

// knownEmpty reports whether a share was exhausted lately, and its owner has not
// left a request unanswered since for longer than it usually takes.
func (p *Pool) knownEmpty(now flow.Time, s *share) bool {
	usualTime := max(s.timeout, p.settings.HedgeAfter)
	overdue := s.awaitsTokens() && now.Sub(s.sent.sentAt) >= usualTime
	return !overdue && now.Sub(s.knownEmptyUntil) <= p.settings.MaxWait
}
