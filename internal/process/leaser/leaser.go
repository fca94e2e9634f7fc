// The Leaser: drawing, waiting, and the end of each token.

package leaser

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// stepDraw is the step of refusals for want of a token.
	stepDraw = flow.Step("draw")
	// sweepInterval is how often idle pools are forgotten.
	sweepInterval = time.Second
)

// Asker sends a request to the owner of a share.
type Asker interface {
	// Ask returns the owner's answer. The error says that no owner answered, or
	// wraps a flow.NotOwner.
	Ask(ctx context.Context, request granter.Request) (granter.Answer, error)
}

// Sources makes the source of a customer's tokens. It is called under the
// Leaser's lock.
type Sources interface {
	// Source returns the source of a customer's tokens, which may be kept from
	// an earlier call, or false when the customer has no rate.
	Source(now flow.Time, customer string) (drawer.Source, bool)
	// Find returns the source of a customer, if it is kept.
	Find(customer string) (drawer.Source, bool)
	// Sweep forgets idle sources.
	Sweep(now flow.Time)
}

// Leaser draws tokens for requests. It is safe for use by many goroutines.
type Leaser struct {
	clock   flow.Clock
	asker   Asker
	sources Sources
	log     logr.Logger

	mu      sync.Mutex
	waiting map[ticketKey]chan drawer.Decision
	due     map[string]flow.Time // when each customer's source wants its Tick
	wake    chan struct{}
	ctx     context.Context
	asking  sync.WaitGroup
}

type ticketKey struct {
	customer string
	ticket   drawer.Ticket
}

// New returns a Leaser. Run must be running while it is used.
func New(clock flow.Clock, asker Asker, sources Sources, log logr.Logger) *Leaser {
	return &Leaser{
		clock:   clock,
		asker:   asker,
		sources: sources,
		log:     log,
		waiting: map[ticketKey]chan drawer.Decision{},
		due:     map[string]flow.Time{},
		wake:    make(chan struct{}, 1),
		ctx:     context.Background(),
	}
}

// Run does what is due until ctx ends, and returns when no request to an owner
// is on the way.
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

// drain waits for the requests on their way. None is sent once ctx has ended
// and the lock was held after that.
func (l *Leaser) drain(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	l.asking.Wait()
}

// -----------------------------------------------------------------------------

// Token is the right to run one request of a customer.
type Token struct {
	leaser   *Leaser
	customer string
	token    drawer.Token
}

// NotAfter is the time at or after which the request must not begin to run.
func (t *Token) NotAfter() flow.Time { return t.token.NotAfter }

// GiveBack returns the token of a request that certainly did not run and will
// not.
func (t *Token) GiveBack() {
	t.leaser.change(t.customer, func(now flow.Time, source drawer.Source) drawer.Effects {
		return source.Return(now, t.token)
	})
}

// Spend reports that the request began to run at least ago before now, or that
// this cannot be known.
func (t *Token) Spend(ago time.Duration) {
	t.leaser.change(t.customer, func(now flow.Time, source drawer.Source) drawer.Effects {
		source.MarkUsed(now, t.token, ago)
		return drawer.Effects{}
	})
}

// Draw returns a token for one request of a customer. The error is a refusal.
func (l *Leaser) Draw(ctx context.Context, customer string) (*Token, error) {
	decision, decided := l.draw(customer)
	if decided != nil {
		select {
		case decision = <-decided:
		case <-ctx.Done():
			return nil, l.withdraw(customer, decision.Ticket, decided)
		}
	}
	if !decision.Taken {
		return nil, refusal(customer, decision)
	}
	return &Token{leaser: l, customer: customer, token: decision.Token}, nil
}

// draw asks the customer's source. The channel is nil when the decision is
// final.
func (l *Leaser) draw(customer string) (drawer.Decision, chan drawer.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	source, ok := l.sources.Source(now, customer)
	if !ok {
		return drawer.Decision{Refuse: true, Reason: flow.ReasonRateUnavailable, RetryAfter: time.Second}, nil
	}
	decision := source.Draw(now)
	var decided chan drawer.Decision
	if decision.Wait {
		decided = make(chan drawer.Decision, 1)
		l.waiting[ticketKey{customer, decision.Ticket}] = decided
	}
	l.act(now, customer, source, drawer.Effects{Requests: decision.Requests})
	return decision, decided
}

// withdraw ends the wait of a request whose caller went away. A token that was
// given meanwhile is returned.
func (l *Leaser) withdraw(customer string, ticket drawer.Ticket, decided chan drawer.Decision) error {
	l.change(customer, func(now flow.Time, source drawer.Source) drawer.Effects {
		source.Cancel(now, ticket)
		delete(l.waiting, ticketKey{customer, ticket})
		return drawer.Effects{}
	})
	select {
	case decision := <-decided:
		if decision.Taken {
			(&Token{leaser: l, customer: customer, token: decision.Token}).GiveBack()
		}
	default:
	}
	return &flow.Refusal{Reason: flow.ReasonCancelled, Step: stepDraw, Peer: customer}
}

func refusal(customer string, decision drawer.Decision) *flow.Refusal {
	return &flow.Refusal{
		Reason:     decision.Reason,
		Step:       stepDraw,
		Peer:       customer,
		RetryAfter: max(1, int(math.Ceil(decision.RetryAfter.Seconds()))),
	}
}

// -----------------------------------------------------------------------------

// change applies an event to the source of a customer, if it is kept.
func (l *Leaser) change(customer string, event func(flow.Time, drawer.Source) drawer.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	source, ok := l.sources.Find(customer)
	if !ok {
		return
	}
	now := l.clock.Now()
	l.act(now, customer, source, event(now, source))
}

// act carries out the effects of an event. The caller holds the lock.
func (l *Leaser) act(now flow.Time, customer string, source drawer.Source, effects drawer.Effects) {
	for _, item := range effects.Decided {
		key := ticketKey{customer, item.Ticket}
		if decided, ok := l.waiting[key]; ok {
			decided <- item.Decision
			delete(l.waiting, key)
		}
	}
	for _, request := range effects.Requests {
		l.ask(request)
	}
	l.schedule(customer, source.Due(now))
}

// schedule notes when a source wants its Tick, and wakes Run when that is
// earlier than it knew.
func (l *Leaser) schedule(customer string, due flow.Time) {
	before, ok := l.due[customer]
	l.due[customer] = due
	if ok && !due.Before(before) {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ask sends a request to an owner without holding up the caller, who holds the
// lock.
func (l *Leaser) ask(request granter.Request) {
	ctx := l.ctx
	if ctx.Err() != nil {
		return
	}
	l.asking.Go(func() {
		answer, err := l.asker.Ask(ctx, request)
		if err != nil {
			l.log.V(1).Info("owner did not grant", "step", stepDraw, "customer", request.Customer, "share", request.Share, "cause", err.Error())
		}
		l.change(request.Customer, func(now flow.Time, source drawer.Source) drawer.Effects {
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

// -----------------------------------------------------------------------------

// tick does what is due and returns the time until something is due again.
func (l *Leaser) tick() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	next := now.Add(sweepInterval)
	for customer, due := range l.due {
		source, ok := l.sources.Find(customer)
		if !ok {
			delete(l.due, customer)
			continue
		}
		if !now.Before(due) {
			l.act(now, customer, source, source.Tick(now))
		}
		next = min(next, l.due[customer])
	}
	return max(next.Sub(now), time.Millisecond)
}

func (l *Leaser) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources.Sweep(l.clock.Now())
}
