// Pool leases tokens from the owners of a customer's shares. It holds a stock
// for the requests of the next moments, and lets a request wait for tokens that
// are on the way.

package drawer

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Identity names the ingress and the cut of one customer's rate.
type PoolConfig struct {
	Customer    string
	Host        string
	Incarnation uint64 // of the process; differs for each start of a host's daemon
	Shares      int
	FirstShare        int           // share that is asked first
	Limit       granter.Limit // of the region
}

// Counter numbers the requests of one process. All pools of the process share
// one.
type Counter struct {
	last uint64
}

// Next returns the next number.
func (c *Counter) Next() uint64 {
	c.last++
	return c.last
}

// Pool is the Source that leases. The caller locks it.
type Pool struct {
	config  PoolConfig
	settings  Settings
	counter   *Counter
	demand    demand
	longTermDemand       demand // averaged over a longer time
	shares    []*share
	waiting   []waiter
	lastDraw  flow.Time
	overRateAt    flow.Time // the customer was last refused as over its rate
	stockPausedUntil flow.Time // an owner had too little for a stock
}

type waiter struct {
	ticket   Ticket
	deadline flow.Time
}

// NewPool returns a pool that holds nothing.
func NewPool(identity PoolConfig, settings Settings, counter *Counter) *Pool {
	p := &Pool{
		config:  identity,
		settings:  settings,
		counter:   counter,
		shares:    make([]*share, max(identity.Shares, 1)),
		lastDraw:  flow.Never,
		overRateAt:    flow.Never,
		stockPausedUntil: flow.Never,
	}
	for i := range p.shares {
		p.shares[i] = &share{
			index:      i,
			sent:        sentRequest{closed: true},
			answered:   counter.last,
			exhaustedUntil:   flow.Never,
			knownEmptyUntil: flow.Never,
			backoffUntil:  flow.Never,
			levelAt:    flow.Never,
			unreportedSince:     flow.Never,
		}
	}
	return p
}

// Draw takes a token, or lets the request wait for tokens on the way, or
// refuses it when no token can be had soon.
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
	asks := p.planRequests(now)
	if len(p.waiting) > p.waitCapacity(now) {
		p.Cancel(now, ticket)
		refusal := p.refusal(now)
		refusal.Requests = asks
		return refusal
	}
	return Decision{Wait: true, Ticket: ticket, Requests: asks}
}

// Cancel ends the wait of a request.
func (p *Pool) Cancel(_ flow.Time, ticket Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return w.ticket == ticket })
}

// GiveBack returns a token whose request certainly did not run to its lease,
// where it can be drawn again while the lease lives.
func (p *Pool) Return(now flow.Time, token Token) Effects {
	_, l := p.drawnLease(token)
	if l == nil {
		return Effects{}
	}
	l.free++
	return p.serveWaiting(now)
}

// Spent reports that the request of a token has begun to run.
func (p *Pool) MarkUsed(now flow.Time, token Token, ago time.Duration) {
	s, l := p.drawnLease(token)
	if l == nil {
		return
	}
	l.used++
	l.lastUse = max(l.lastUse, now.Add(-ago))
	s.markUnreported(now)
}

// drawn returns the lease of a token that is drawn, or nil when the lease is
// forgotten, belongs to a former cut, or has no drawn token.
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

// Answered takes an owner's answer. Only the answer to the latest request to
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
		id:      answer.Sequence,
		granted: answer.Granted,
		free:    answer.Granted,
		expiry:  s.sent.sentAt.Add(answer.Lifetime),
		returnFrom:  s.sent.sentAt.Add(answer.Lifetime - answer.Lifetime/leaseReturnParts),
		lastUse: flow.Never,
	})
}

// remember keeps in mind that the owner had too little.
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

// Failed reports that a request to an owner was not answered.
func (p *Pool) Failed(now flow.Time, index int, sequence uint64) Effects {
	s := p.shareAwaiting(index, sequence)
	if s == nil {
		return Effects{}
	}
	s.sent.closed = true
	p.backOff(now, s)
	return p.serveWaiting(now)
}

// Misdirected reports that the peer is not the owner or does not act. Another
// host may be known as the owner by now, so it is asked again at once, and then
// after a short time.
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

// asked returns a share whose latest request is open and has a sequence, or nil.
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

// Held returns the tokens in stock.
func (p *Pool) Held() int {
	sum := 0
	for _, s := range p.shares {
		sum += s.free()
	}
	return sum
}

// -----------------------------------------------------------------------------

// proceed serves waiting requests, refuses those that have waited long enough,
// asks for what is missing, and refuses those for which no token can be had
// soon.
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
	room := min(p.waitCapacity(now), len(p.waiting))
	for _, w := range p.waiting[room:] {
		effects.Decided = append(effects.Decided, TicketDecision{w.ticket, p.refusal(now)})
	}
	p.waiting = p.waiting[:room]
	effects.Requests = append(effects.Requests, p.planReports(now)...)
	return effects
}

// take draws from the lease that ends first.
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

// room returns how many requests may wait: many while tokens are on the way or
// an owner is slow, as many as may accrue while a dry share is worth asking
// again soon, and none otherwise.
func (p *Pool) waitCapacity(now flow.Time) int {
	wait := p.settings.ExhaustedWait
	if now.Sub(p.overRateAt) < p.settings.OverRateMemory {
		wait = p.settings.OverRateWait
	}
	soon := now.Add(wait)
	room := 0
	for _, s := range p.shares {
		if s.awaitsTokens() || s.firstTimeout() {
			return p.settings.MaxWaiting
		}
		if !s.backingOff(now) && s.exhaustedUntil <= soon {
			room = 1 + int(p.config.Limit.PerSecond()*wait.Seconds())
		}
	}
	return min(room, p.settings.MaxWaiting)
}

// refusal says that the customer is over its rate when the owners of all shares
// had nothing lately, and that the rate is unavailable otherwise: the tokens of
// a share whose owner is silent or new may be merely away.
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

// empty reports whether the owner of a share had nothing lately, and has not
// been silent since for longer than it usually takes.
func (p *Pool) knownEmpty(now flow.Time, s *share) bool {
	usual := max(s.timeout, p.settings.HedgeAfter)
	silent := s.awaitsTokens() && now.Sub(s.sent.sentAt) >= usual
	return !silent && now.Sub(s.knownEmptyUntil) <= p.settings.MaxWait
}
