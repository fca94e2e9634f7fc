package drawer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// bench drives one pool by hand.
type bench struct {
	*is.I
	pool  *drawer.Pool
	now   flow.Time
	ample bool // what the owner says
}

func newBench(t *testing.T, shares int) *bench {
	identity := drawer.PoolConfig{
		Customer: customer, Host: "a", Incarnation: 1, Shares: shares,
		Limit: granter.Limit{MicrotokensPerSecond: 1000e6, Burst: 1000},
	}
	return &bench{I: is.New(t), pool: drawer.NewPool(identity, drawer.DefaultSettings(), &drawer.Counter{}), now: 1000}
}

func (b *bench) draw() drawer.Decision { return b.pool.Draw(b.now) }

// ask draws once and returns the one request that this takes.
func (b *bench) ask() granter.Request {
	b.Helper()
	decision := b.draw()
	b.True(decision.Wait)
	b.Equal(len(decision.Requests), 1)
	return decision.Requests[0]
}

func (b *bench) answer(request granter.Request, granted int) drawer.Effects {
	answer := granter.Answer{
		Customer: customer, Share: request.Share, Shares: request.Shares, Sequence: request.Sequence,
		Granted: granted, Lifetime: time.Second, Level: 1000 - granted, Ample: b.ample,
	}
	if granted < request.Want {
		answer.RetryAfter = 240 * time.Millisecond
	}
	return b.pool.Answered(b.now, answer)
}

// leased returns a token and leaves free ones in the pool.
func (b *bench) leased(free int) drawer.Token {
	b.Helper()
	effects := b.answer(b.ask(), 1+free)
	b.Equal(len(effects.Decided), 1)
	b.True(effects.Decided[0].Decision.Taken)
	return effects.Decided[0].Decision.Token
}

// reported sums what the pool reports from now until it has nothing to say.
func (b *bench) reported() (used, returned int) {
	for range 400 {
		b.now += 5
		for _, request := range b.pool.Tick(b.now).Requests {
			for _, report := range request.Reports {
				used += report.Used
				returned += report.Returned
			}
			b.answer(request, 0)
		}
	}
	return used, returned
}

func TestPoolUnderFaults(t *testing.T) {
	cases := map[string]func(b *bench){
		"lifetime counts from the sending": func(b *bench) {
			request := b.ask()
			b.now += 40
			effects := b.answer(request, 1)
			b.Equal(effects.Decided[0].Decision.Token.NotAfter, flow.Time(2000))
		},
		"answer after expiry gives nothing and is returned": func(b *bench) {
			request := b.ask()
			b.now += 1001
			b.Equal(len(b.answer(request, 5).Decided), 1) // refused, since its wait was over
			b.Equal(b.draw().Taken, false)
			_, returned := b.reported()
			b.Equal(returned, 5)
		},
		"answer after the next request is ignored": func(b *bench) {
			first := b.ask()
			b.now += 200
			b.pool.Tick(b.now)
			b.now += 200
			b.Equal(len(b.pool.Tick(b.now).Decided), 1) // the wait for the first is over
			second := b.ask()
			b.Equal(second.Answered, uint64(0)) // the owner may take the first back
			b.answer(first, 5)
			b.Equal(b.pool.Held(), 0)
			b.Equal(len(b.answer(second, 1).Decided), 1)
		},
		"repeated answer counts once": func(b *bench) {
			request := b.ask()
			b.answer(request, 5)
			b.answer(request, 5)
			b.Equal(b.pool.Held(), 4)
		},
		"ingress that wakes after expiry uses nothing": func(b *bench) {
			b.leased(5)
			b.now += 5000
			b.True(!b.draw().Taken)
		},
		"token that was given back is drawn again": func(b *bench) {
			token := b.leased(0)
			b.pool.Return(b.now, token)
			again := b.draw()
			b.True(again.Taken)
			b.Equal(again.Token, token)
		},
		"token that was given back twice counts once": func(b *bench) {
			token := b.leased(0)
			b.pool.Return(b.now, token)
			b.pool.Return(b.now, token)
			b.Equal(b.pool.Held(), 1)
		},
		"token that was spent is not given back": func(b *bench) {
			token := b.leased(0)
			b.pool.MarkUsed(b.now, token, 0)
			b.pool.Return(b.now, token)
			used, returned := b.reported()
			b.Equal(used, 1)
			b.Equal(returned, 0)
		},
		"token given back after expiry is returned and not drawn": func(b *bench) {
			token := b.leased(0)
			b.now += 1500
			b.pool.Return(b.now, token)
			b.Equal(b.draw().Taken, false)
		},
		"token of a former cut changes nothing": func(b *bench) {
			b.pool.MarkUsed(b.now, drawer.Token{Share: 7, Lease: 1}, 0)
			b.pool.Return(b.now, drawer.Token{Share: 7, Lease: 1})
			b.Equal(b.pool.Held(), 0)
		},
		"token in flight is neither used nor returned": func(b *bench) {
			b.leased(0)
			used, returned := b.reported()
			b.Equal(used+returned, 0)
		},
		"a report has the age of the last use": func(b *bench) {
			first := b.leased(1)
			second := b.draw()
			b.True(second.Taken)
			for _, request := range second.Requests {
				b.answer(request, 0)
			}
			b.pool.MarkUsed(b.now, first, 0)
			b.now += 70
			b.pool.MarkUsed(b.now, second.Token, 10*time.Millisecond)
			b.now += 30
			b.Equal(b.pool.Tick(b.now).Requests[0].Reports[0].UsedAge, 40*time.Millisecond)
		},
		"use joins the next request while the owner has enough": func(b *bench) {
			b.ample = true
			b.pool.MarkUsed(b.now, b.leased(0), 10*time.Millisecond)
			for range 180 {
				b.now += 5
				b.Equal(len(b.pool.Tick(b.now).Requests), 0)
			}
			b.Equal(b.ask().Reports, []granter.Report{{Lease: 2, Used: 1, UsedAge: 910 * time.Millisecond}})
		},
		"what comes back is reported before the lease ends, also while the owner has enough": func(b *bench) {
			b.ample = true
			b.pool.MarkUsed(b.now, b.leased(1), 0)
			for b.now < 1950 {
				for _, request := range b.pool.Tick(b.now).Requests {
					b.Equal(request.Reports[0].Returned, 1)
					return
				}
				b.now = b.pool.Due(b.now)
			}
			b.Fail()
		},
		"much use is reported, also while the owner has enough": func(b *bench) {
			b.ample = true
			b.pool.MarkUsed(b.now, b.leased(80), 0)
			for range 63 {
				b.pool.MarkUsed(b.now, b.draw().Token, 0)
			}
			used := 0
			for b.now < 1300 {
				b.now += 5
				for _, request := range b.pool.Tick(b.now).Requests {
					used = max(used, request.Reports[0].Used)
				}
			}
			b.Equal(used, 64)
		},
		"stock for a longer time is asked for while the owner has enough": func(b *bench) {
			for range 40 {
				request := b.ask()
				b.Equal(request.Ahead, 0)
				b.answer(request, 1)
			}
			b.now += 500
			b.ample = true
			b.answer(b.ask(), 1)
			request := b.ask()
			b.True(request.Ahead > 5)
			b.Equal(len(b.answer(request, request.Want-request.Ahead).Requests), 0) // and not again at once
		},
		"stock is returned when demand falls": func(b *bench) {
			b.leased(20)
			_, returned := b.reported()
			b.Equal(returned, 20)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(newBench(t, 1)) })
	}
}

// A pool that is made anew must not give up leases of the former one: their
// tokens may be on the way to a backend server.
func TestDrawerKeepsLeasesOverACutThereAndBack(t *testing.T) {
	is := is.New(t)
	d := drawer.New(drawer.DefaultSettings())
	identity := drawer.PoolConfig{Customer: customer, Shares: 1, Limit: granter.Limit{MicrotokensPerSecond: 1e6, Burst: 10}}
	request := d.Pool(identity).Draw(1000).Requests[0]
	d.Pool(identity).Answered(1003, granter.Answer{Shares: 1, Sequence: request.Sequence, Granted: 1, Lifetime: time.Second})
	identity.Shares = 2
	d.Pool(identity)
	identity.Shares = 1
	again := d.Pool(identity).Draw(1010).Requests[0]
	is.True(again.Answered >= request.Sequence)
	is.True(again.Sequence > request.Sequence)
}

func TestPoolWaitsAndRefuses(t *testing.T) {
	cases := map[string]struct {
		shares int
		run    func(b *bench)
	}{
		"a burst asks once for all": {1, func(b *bench) {
			first := b.ask()
			for range 99 {
				decision := b.draw()
				b.True(decision.Wait)
				b.Equal(len(decision.Requests), 0)
			}
			effects := b.answer(first, first.Want)
			b.Equal(len(effects.Decided), 1)
			b.Equal(len(effects.Requests), 1)
			b.Equal(effects.Requests[0].Waiting, 99)
			b.Equal(len(b.answer(effects.Requests[0], 99).Decided), 99)
		}},
		"another share is asked when one is dry": {2, func(b *bench) {
			effects := b.answer(b.ask(), 0)
			b.Equal(len(effects.Decided), 0)
			b.Equal(len(effects.Requests), 1)
			b.Equal(effects.Requests[0].Share, 1)
		}},
		"over rate once all shares are dry, without asking again": {1, func(b *bench) {
			effects := b.answer(b.ask(), 0)
			b.Equal(effects.Decided[0].Decision.Reason, flow.ReasonOverRate)
			for range 100 {
				b.now++
				decision := b.draw()
				b.True(decision.Refuse)
				b.Equal(decision.Reason, flow.ReasonOverRate)
				b.True(decision.RetryAfter > 0)
				b.Equal(len(decision.Requests), 0)
			}
			b.now += 200
			b.ask()
		}},
		"a first shortage is waited for, without asking again": {1, func(b *bench) {
			request := b.ask()
			b.Equal(len(b.answer(request, 0).Decided), 1) // 240 ms are too long
			b.now += 1200
			request = b.ask()
			answer := granter.Answer{Shares: 1, Sequence: request.Sequence, RetryAfter: 150 * time.Millisecond}
			b.Equal(len(b.pool.Answered(b.now, answer).Decided), 0)
			for range 149 {
				b.now++
				decision := b.draw()
				b.True(decision.Wait)
				b.Equal(len(decision.Requests), 0)
			}
			b.now++
			b.Equal(len(b.pool.Tick(b.now).Requests), 1)
		}},
		"rate unavailable when no owner can be reached": {1, func(b *bench) {
			request := b.ask()
			effects := b.pool.Failed(b.now, request.Share, request.Sequence)
			b.Equal(effects.Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
			b.Equal(b.draw().Reason, flow.ReasonRateUnavailable)
		}},
		"rate unavailable when one share is dry and the owner of another cannot be reached": {2, func(b *bench) {
			first := b.ask()
			second := b.pool.Failed(b.now, first.Share, first.Sequence).Requests[0]
			b.Equal(b.answer(second, 0).Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
			b.Equal(b.draw().Reason, flow.ReasonRateUnavailable)
		}},
		"rate unavailable when an owner said no and then falls silent": {1, func(b *bench) {
			b.Equal(b.answer(b.ask(), 0).Decided[0].Decision.Reason, flow.ReasonOverRate)
			b.now += 240
			b.ask()
			effects := b.pool.Tick(b.now)
			for len(effects.Decided) == 0 {
				b.now++
				effects = b.pool.Tick(b.now)
			}
			b.Equal(effects.Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
		}},
		"the owner is asked again at once, and then soon, when a peer says that it is another": {1, func(b *bench) {
			request := b.ask()
			for range 5 {
				effects := b.pool.Misdirected(b.now, request.Share, request.Sequence)
				b.Equal(len(effects.Requests), 1)
				effects = b.pool.Misdirected(b.now, request.Share, effects.Requests[0].Sequence)
				b.Equal(effects.Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
				b.now += 50
				request = b.ask()
				b.answer(request, 1)
				request = b.ask()
			}
		}},
		"over rate while an owner that is always slow takes no longer than it does": {1, func(b *bench) {
			request := b.ask()
			b.now += 120
			b.Equal(b.answer(request, 0).Decided[0].Decision.Reason, flow.ReasonOverRate)
			b.now = 1335
			b.True(b.draw().Wait)
			b.now = 1360
			b.Equal(len(b.pool.Tick(b.now).Requests), 1)
			b.now = 1585
			b.Equal(b.pool.Tick(b.now).Decided[0].Decision.Reason, flow.ReasonOverRate)
		}},
		"a silent owner is not waited for": {2, func(b *bench) {
			b.ask()
			b.now += 10
			effects := b.pool.Tick(b.now)
			b.Equal(len(effects.Requests), 1)
			b.Equal(len(b.answer(effects.Requests[0], 1).Decided), 1)
		}},
		"waiting ends": {1, func(b *bench) {
			b.ask()
			b.now = b.pool.Due(b.now)
			for b.now < 1250 {
				b.Equal(len(b.pool.Tick(b.now).Decided), 0)
				b.now = b.pool.Due(b.now)
			}
			b.Equal(b.now, flow.Time(1250))
			b.True(b.pool.Tick(b.now).Decided[0].Decision.Refuse)
		}},
		"a slow owner is waited for, and given the time that it takes": {1, func(b *bench) {
			slow := b.ask()
			for b.now < 1140 {
				b.now = min(b.pool.Due(b.now), 1140)
				b.Equal(len(b.pool.Tick(b.now).Decided), 0)
			}
			b.Equal(len(b.answer(slow, 1).Decided), 1)
			slow = b.ask()
			for b.now < 1340 {
				b.now = min(b.pool.Due(b.now), 1340)
				effects := b.pool.Tick(b.now)
				b.Equal(len(effects.Decided), 0)
				b.Equal(len(effects.Requests), 0) // another request would give this one up
			}
			b.Equal(len(b.answer(slow, 1).Decided), 1)
		}},
		"a pool is kept while a token may run": {1, func(b *bench) {
			b.leased(0)
			b.now += 900
			b.pool.Tick(b.now)
			b.True(!b.pool.Idle(b.now))
			b.now += 2000
			b.pool.Tick(b.now)
			b.True(b.pool.Idle(b.now))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { tc.run(newBench(t, tc.shares)) })
	}
}

func BenchmarkDraw(b *testing.B) {
	settings := drawer.DefaultSettings()
	identity := drawer.PoolConfig{Customer: customer, Shares: 8, Limit: granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1e6}}
	pool := drawer.NewPool(identity, settings, &drawer.Counter{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := flow.Time(1000 + i/100)
		for _, request := range pool.Draw(now).Requests {
			pool.Answered(now, granter.Answer{Share: request.Share, Shares: 8, Sequence: request.Sequence, Granted: request.Want, Lifetime: time.Second})
		}
	}
}
