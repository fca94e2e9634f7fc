// The Leaser draws a token for each request, waits for it if need be, and settles
// it afterwards.

package leaser

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// stepDraw is the step named in refusals for lack of a token.
	stepDraw = flow.Step("draw")
	// sweepInterval is the time between sweeps of idle sources.
	sweepInterval = time.Second
)

// Requester sends requests to the owners of shares.
type Requester interface {
	// RequestTokens returns the owner's answer. It returns an error when no owner answered;
	// the error wraps a flow.NotOwnerError when the peer is not the owner.
	RequestTokens(ctx context.Context, request granter.Request) (granter.Answer, error)
}

// Sources creates and keeps the token sources of customers. The Leaser calls it
// under its lock.
type Sources interface {
	// Source returns the source of a customer, and creates it if needed. It
	// returns false when the customer has no rate.
	Source(now flow.Time, customer string) (pooler.Source, bool)
	// Find returns the source of a customer, if there is one.
	Find(customer string) (pooler.Source, bool)
	// Sweep drops idle sources.
	Sweep(now flow.Time)
}

// Leaser draws tokens for requests. It is safe for concurrent use.
type Leaser struct {
	clock     flow.Clock
	requester Requester
	sources   Sources
	log       logr.Logger

	mu       sync.Mutex
	waiting  map[ticketKey]chan pooler.Decision
	tickDue  map[string]flow.Time // when the source of each customer needs its next Tick
	wake     chan struct{}
	ctx      context.Context
	inFlight sync.WaitGroup
}

type ticketKey struct {
	customer string
	ticket   pooler.Ticket
}

// New returns a Leaser. Run must be active while the Leaser is in use.
func New(clock flow.Clock, requester Requester, sources Sources, log logr.Logger) *Leaser {
	return &Leaser{
		clock:     clock,
		requester: requester,
		sources:   sources,
		log:       log,
		waiting:   map[ticketKey]chan pooler.Decision{},
		tickDue:   map[string]flow.Time{},
		wake:      make(chan struct{}, 1),
		ctx:       context.Background(),
	}
}

// Run calls Tick of the sources when it is due, until ctx ends. It returns when no
// request to an owner is in flight.
func (l *Leaser) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	defer l.drain(ctx)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		case <-sweep.C:
			l.sweep()
		}
		timer.Reset(l.tick())
	}
}

// drain waits for the requests in flight. After ctx has ended, send starts no more;
// taking the lock waits for a send that began before.
func (l *Leaser) drain(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.inFlight.Wait()
}

// Token is the right to run one request of a customer.
type Token struct {
	leaser   *Leaser
	customer string
	token    pooler.Token
}

// NotAfter returns the time at or after which the request must not begin to run.
func (t *Token) NotAfter() flow.Time { return t.token.NotAfter }

// Return gives back the token of a request that certainly did not run and will not
// run.
func (t *Token) Return() {
	t.leaser.apply(t.customer, func(now flow.Time, source pooler.Source) pooler.Effects {
		return source.Return(now, t.token)
	})
}

// MarkUsed records that the request began to run, at least ago before now, or that
// this cannot be known.
func (t *Token) MarkUsed(ago time.Duration) {
	t.leaser.apply(t.customer, func(now flow.Time, source pooler.Source) pooler.Effects {
		source.MarkUsed(now, t.token, ago)
		return pooler.Effects{}
	})
}

// Draw returns a token for one request of a customer. It waits for one if need be.
// The error is a *flow.Refusal.
func (l *Leaser) Draw(ctx context.Context, customer string) (*Token, error) {
	decision, decided := l.draw(customer)
	if decided != nil {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			return nil, l.cancelWait(customer, decision.Ticket, decided)
		}
	}
	if !decision.Taken {
		return nil, refusal(customer, decision)
	}
	return &Token{leaser: l, customer: customer, token: decision.Token}, nil
}

// draw draws from the customer's source. The channel receives the decision when
// the request has to wait; it is nil when the decision is final.
func (l *Leaser) draw(customer string) (pooler.Decision, chan pooler.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	source, ok := l.sources.Source(now, customer)
	if !ok {
		return pooler.Decision{Refuse: true, Reason: flow.ReasonRateUnavailable, RetryAfter: time.Second}, nil
	}
	decision := source.Draw(now)
	var decided chan pooler.Decision
	if decision.Wait {
		decided = make(chan pooler.Decision, 1)
		l.waiting[ticketKey{customer, decision.Ticket}] = decided
	}
	l.carryOut(now, customer, source, pooler.Effects{Requests: decision.Requests})
	return decision, decided
}

// cancelWait ends the wait of a request whose caller disconnected. A token that it got
// meanwhile is returned.
func (l *Leaser) cancelWait(customer string, ticket pooler.Ticket, decided chan pooler.Decision) error {
	l.apply(customer, func(now flow.Time, source pooler.Source) pooler.Effects {
		source.Cancel(now, ticket)
		delete(l.waiting, ticketKey{customer, ticket})
		return pooler.Effects{}
	})
	select {
	case decision := <-decided:
		if decision.Taken {
			(&Token{leaser: l, customer: customer, token: decision.Token}).Return()
		}
	default:
	}
	return &flow.Refusal{Reason: flow.ReasonCancelled, Step: stepDraw, Peer: customer}
}

func refusal(customer string, decision pooler.Decision) *flow.Refusal {
	return &flow.Refusal{
		Reason:     decision.Reason,
		Step:       stepDraw,
		Peer:       customer,
		RetryAfter: max(1, int(math.Ceil(decision.RetryAfter.Seconds()))),
	}
}

// apply applies an event to the source of a customer, if there is one.
func (l *Leaser) apply(customer string, event func(flow.Time, pooler.Source) pooler.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	source, ok := l.sources.Find(customer)
	if !ok {
		return
	}
	now := l.clock.Now()
	l.carryOut(now, customer, source, event(now, source))
}

// carryOut carries out the effects of an event. The caller holds the lock.
func (l *Leaser) carryOut(now flow.Time, customer string, source pooler.Source, effects pooler.Effects) {
	for _, resolved := range effects.Decided {
		key := ticketKey{customer, resolved.Ticket}
		if decided, ok := l.waiting[key]; ok {
			decided <- resolved.Decision
			delete(l.waiting, key)
		}
	}
	for _, request := range effects.Requests {
		l.send(request)
	}
	l.schedule(customer, source.Due(now))
}

// schedule records when a source needs its next Tick, and wakes Run when that is
// earlier than before.
func (l *Leaser) schedule(customer string, due flow.Time) {
	before, ok := l.tickDue[customer]
	l.tickDue[customer] = due
	if ok && !due.Before(before) {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send sends a request to an owner without blocking. The caller holds the lock.
func (l *Leaser) send(request granter.Request) {
	ctx := l.ctx
	if ctx.Err() != nil {
		return
	}
	l.inFlight.Go(func() {
		answer, err := l.requester.RequestTokens(ctx, request)
		if err != nil {
			l.log.V(1).Info("request for tokens failed", "step", stepDraw, "customer", request.Customer, "share", request.Share, "cause", err.Error())
		}
		l.apply(request.Customer, func(now flow.Time, source pooler.Source) pooler.Effects {
			switch {
			case err == nil:
				return source.Answered(now, answer)
			case flow.IsNotOwner(err):
				return source.Misdirected(now, request.Share, request.Sequence)
			default:
				return source.Failed(now, request.Share, request.Sequence)
			}
		})
	})
}

// tick calls Tick of the sources that are due, and returns the time until the next
// one is due.
func (l *Leaser) tick() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	next := now.Add(sweepInterval)
	for customer, due := range l.tickDue {
		source, ok := l.sources.Find(customer)
		if !ok {
			delete(l.tickDue, customer)
			continue
		}
		if !now.Before(due) {
			l.carryOut(now, customer, source, source.Tick(now))
		}
		next = min(next, l.tickDue[customer])
	}
	return max(next.Sub(now), time.Millisecond)
}

func (l *Leaser) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources.Sweep(l.clock.Now())
}
