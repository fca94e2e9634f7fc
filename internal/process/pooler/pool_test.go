package pooler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// harness drives one pool step by step.
type harness struct {
	*is.I
	pool  *pooler.Pool
	now   flow.Time
	ample bool // as the owner answers
}

func newHarness(t *testing.T, shares int) *harness {
	config := pooler.PoolConfig{
		Customer: customer, Host: "a", Incarnation: 1, Shares: shares,
		Limit: granter.Limit{MicrotokensPerSecond: 1000e6, Burst: 1000},
	}
	return &harness{I: is.New(t), pool: pooler.NewPool(config, pooler.DefaultSettings(), &pooler.Counter{}), now: 1000}
}

func (h *harness) draw() pooler.Decision { return h.pool.Draw(h.now) }

// request draws once and returns the single request that this sends.
func (h *harness) request() granter.Request {
	h.Helper()
	decision := h.draw()
	h.True(decision.Wait)
	h.Equal(len(decision.Requests), 1)
	return decision.Requests[0]
}

func (h *harness) answer(request granter.Request, granted int) pooler.Effects {
	answer := granter.Answer{
		Customer: customer, Share: request.Share, Shares: request.Shares, Sequence: request.Sequence,
		Granted: granted, Lifetime: time.Second, Level: 1000 - granted, Ample: h.ample,
	}
	if granted < request.Want {
		answer.RetryAfter = 240 * time.Millisecond
	}
	return h.pool.Answered(h.now, answer)
}

// takeToken returns a token from a lease that leaves free tokens in the pool.
func (h *harness) takeToken(free int) pooler.Token {
	h.Helper()
	effects := h.answer(h.request(), 1+free)
	h.Equal(len(effects.Decided), 1)
	h.True(effects.Decided[0].Decision.Taken)
	return effects.Decided[0].Decision.Token
}

// reportedTotals sums what the pool reports during the next 2 s.
func (h *harness) reportedTotals() (used, returned int) {
	for range 400 {
		h.now += 5
		for _, request := range h.pool.Tick(h.now).Requests {
			for _, report := range request.Reports {
				used += report.Used
				returned += report.Returned
			}
			h.answer(request, 0)
		}
	}
	return used, returned
}

func TestPoolUnderFaults(t *testing.T) {
	cases := map[string]func(h *harness){
		"lease lifetime starts when the request is sent": func(h *harness) {
			request := h.request()
			h.now += 40
			effects := h.answer(request, 1)
			h.Equal(effects.Decided[0].Decision.Token.NotAfter, flow.Time(2000))
		},
		"tokens of an answer after expiry are returned unused": func(h *harness) {
			request := h.request()
			h.now += 1001
			h.Equal(len(h.answer(request, 5).Decided), 1) // refused, since its wait has ended
			h.Equal(h.draw().Taken, false)
			_, returned := h.reportedTotals()
			h.Equal(returned, 5)
		},
		"answer to an abandoned request is ignored": func(h *harness) {
			first := h.request()
			h.now += 200
			h.pool.Tick(h.now)
			h.now += 200
			h.Equal(len(h.pool.Tick(h.now).Decided), 1) // the wait for the first has ended
			second := h.request()
			h.Equal(second.Answered, uint64(0)) // the owner may take back its grant to the first
			h.answer(first, 5)
			h.Equal(h.pool.Held(), 0)
			h.Equal(len(h.answer(second, 1).Decided), 1)
		},
		"duplicate answer counts once": func(h *harness) {
			request := h.request()
			h.answer(request, 5)
			h.answer(request, 5)
			h.Equal(h.pool.Held(), 4)
		},
		"ingress paused past expiry uses no token": func(h *harness) {
			h.takeToken(5)
			h.now += 5000
			h.True(!h.draw().Taken)
		},
		"returned token is drawn again": func(h *harness) {
			token := h.takeToken(0)
			h.pool.Return(h.now, token)
			again := h.draw()
			h.True(again.Taken)
			h.Equal(again.Token, token)
		},
		"token returned twice counts once": func(h *harness) {
			token := h.takeToken(0)
			h.pool.Return(h.now, token)
			h.pool.Return(h.now, token)
			h.Equal(h.pool.Held(), 1)
		},
		"token marked as used cannot be returned": func(h *harness) {
			token := h.takeToken(0)
			h.pool.MarkUsed(h.now, token, 0)
			h.pool.Return(h.now, token)
			used, returned := h.reportedTotals()
			h.Equal(used, 1)
			h.Equal(returned, 0)
		},
		"token returned after expiry is not drawn": func(h *harness) {
			token := h.takeToken(0)
			h.now += 1500
			h.pool.Return(h.now, token)
			h.Equal(h.draw().Taken, false)
		},
		"token of a former division into shares is ignored": func(h *harness) {
			h.pool.MarkUsed(h.now, pooler.Token{Share: 7, Lease: 1}, 0)
			h.pool.Return(h.now, pooler.Token{Share: 7, Lease: 1})
			h.Equal(h.pool.Held(), 0)
		},
		"unsettled token is reported as neither used nor returned": func(h *harness) {
			h.takeToken(0)
			used, returned := h.reportedTotals()
			h.Equal(used+returned, 0)
		},
		"report holds the age of the last use": func(h *harness) {
			first := h.takeToken(1)
			second := h.draw()
			h.True(second.Taken)
			for _, request := range second.Requests {
				h.answer(request, 0)
			}
			h.pool.MarkUsed(h.now, first, 0)
			h.now += 70
			h.pool.MarkUsed(h.now, second.Token, 10*time.Millisecond)
			h.now += 30
			h.Equal(h.pool.Tick(h.now).Requests[0].Reports[0].UsedAge, 40*time.Millisecond)
		},
		"use is reported with the next request while the owner has ample tokens": func(h *harness) {
			h.ample = true
			h.pool.MarkUsed(h.now, h.takeToken(0), 10*time.Millisecond)
			for range 180 {
				h.now += 5
				h.Equal(len(h.pool.Tick(h.now).Requests), 0)
			}
			h.Equal(h.request().Reports, []granter.Report{{Lease: 2, Used: 1, UsedAge: 910 * time.Millisecond}})
		},
		"returned tokens are reported before expiry although the owner has ample tokens": func(h *harness) {
			h.ample = true
			h.pool.MarkUsed(h.now, h.takeToken(1), 0)
			for h.now < 1950 {
				for _, request := range h.pool.Tick(h.now).Requests {
					h.Equal(request.Reports[0].Returned, 1)
					return
				}
				h.now = h.pool.Due(h.now)
			}
			h.Fail()
		},
		"heavy use is reported although the owner has ample tokens": func(h *harness) {
			h.ample = true
			h.pool.MarkUsed(h.now, h.takeToken(80), 0)
			for range 63 {
				h.pool.MarkUsed(h.now, h.draw().Token, 0)
			}
			used := 0
			for h.now < 1300 {
				h.now += 5
				for _, request := range h.pool.Tick(h.now).Requests {
					used = max(used, request.Reports[0].Used)
				}
			}
			h.Equal(used, 64)
		},
		"tokens are prefetched while the owner has ample tokens": func(h *harness) {
			for range 40 {
				request := h.request()
				h.Equal(request.Prefetch, 0)
				h.answer(request, 1)
			}
			h.now += 500
			h.ample = true
			h.answer(h.request(), 1)
			request := h.request()
			h.True(request.Prefetch > 5)
			h.Equal(len(h.answer(request, request.Want-request.Prefetch).Requests), 0) // not requested again at once
		},
		"stock is returned when demand falls": func(h *harness) {
			h.takeToken(20)
			_, returned := h.reportedTotals()
			h.Equal(returned, 20)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(newHarness(t, 1)) })
	}
}

// A pool that is created again after its share count changed and changed back
// must not abandon the leases of the earlier pool: their tokens may belong to
// requests that are still on the way to a backend server.
func TestPoolerKeepsLeasesWhenTheShareCountChangesBack(t *testing.T) {
	is := is.New(t)
	p := pooler.New(pooler.DefaultSettings())
	config := pooler.PoolConfig{Customer: customer, Shares: 1, Limit: granter.Limit{MicrotokensPerSecond: 1e6, Burst: 10}}
	request := p.Pool(config).Draw(1000).Requests[0]
	p.Pool(config).Answered(1003, granter.Answer{Shares: 1, Sequence: request.Sequence, Granted: 1, Lifetime: time.Second})
	config.Shares = 2
	p.Pool(config)
	config.Shares = 1
	again := p.Pool(config).Draw(1010).Requests[0]
	is.True(again.Answered >= request.Sequence)
	is.True(again.Sequence > request.Sequence)
}

func TestPoolWaitsAndRefuses(t *testing.T) {
	cases := map[string]struct {
		shares int
		run    func(h *harness)
	}{
		"burst of requests sends one request for all": {1, func(h *harness) {
			first := h.request()
			for range 99 {
				decision := h.draw()
				h.True(decision.Wait)
				h.Equal(len(decision.Requests), 0)
			}
			effects := h.answer(first, first.Want)
			h.Equal(len(effects.Decided), 1)
			h.Equal(len(effects.Requests), 1)
			h.Equal(effects.Requests[0].Waiting, 99)
			h.Equal(len(h.answer(effects.Requests[0], 99).Decided), 99)
		}},
		"another share is tried when one is exhausted": {2, func(h *harness) {
			effects := h.answer(h.request(), 0)
			h.Equal(len(effects.Decided), 0)
			h.Equal(len(effects.Requests), 1)
			h.Equal(effects.Requests[0].Share, 1)
		}},
		"over rate when all shares are exhausted, without further requests": {1, func(h *harness) {
			effects := h.answer(h.request(), 0)
			h.Equal(effects.Decided[0].Decision.Reason, flow.ReasonOverRate)
			for range 100 {
				h.now++
				decision := h.draw()
				h.True(decision.Refuse)
				h.Equal(decision.Reason, flow.ReasonOverRate)
				h.True(decision.RetryAfter > 0)
				h.Equal(len(decision.Requests), 0)
			}
			h.now += 200
			h.request()
		}},
		"requests wait during a first short shortage, without further requests": {1, func(h *harness) {
			request := h.request()
			h.Equal(len(h.answer(request, 0).Decided), 1) // a retry after 240 ms is too late to wait for
			h.now += 1200
			request = h.request()
			answer := granter.Answer{Shares: 1, Sequence: request.Sequence, RetryAfter: 150 * time.Millisecond}
			h.Equal(len(h.pool.Answered(h.now, answer).Decided), 0)
			for range 149 {
				h.now++
				decision := h.draw()
				h.True(decision.Wait)
				h.Equal(len(decision.Requests), 0)
			}
			h.now++
			h.Equal(len(h.pool.Tick(h.now).Requests), 1)
		}},
		"rate unavailable when no owner can be reached": {1, func(h *harness) {
			request := h.request()
			effects := h.pool.Failed(h.now, request.Share, request.Sequence)
			h.Equal(effects.Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
			h.Equal(h.draw().Reason, flow.ReasonRateUnavailable)
		}},
		"rate unavailable when one share is exhausted and the owner of another cannot be reached": {2, func(h *harness) {
			first := h.request()
			second := h.pool.Failed(h.now, first.Share, first.Sequence).Requests[0]
			h.Equal(h.answer(second, 0).Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
			h.Equal(h.draw().Reason, flow.ReasonRateUnavailable)
		}},
		"rate unavailable when an owner of an exhausted share stops answering": {1, func(h *harness) {
			h.Equal(h.answer(h.request(), 0).Decided[0].Decision.Reason, flow.ReasonOverRate)
			h.now += 240
			h.request()
			effects := h.pool.Tick(h.now)
			for len(effects.Decided) == 0 {
				h.now++
				effects = h.pool.Tick(h.now)
			}
			h.Equal(effects.Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
		}},
		"misdirected request is repeated at once, then after a backoff": {1, func(h *harness) {
			request := h.request()
			for range 5 {
				effects := h.pool.Misdirected(h.now, request.Share, request.Sequence)
				h.Equal(len(effects.Requests), 1)
				effects = h.pool.Misdirected(h.now, request.Share, effects.Requests[0].Sequence)
				h.Equal(effects.Decided[0].Decision.Reason, flow.ReasonRateUnavailable)
				h.now += 50
				request = h.request()
				h.answer(request, 1)
				request = h.request()
			}
		}},
		"over rate while an owner of an exhausted share takes its usual time": {1, func(h *harness) {
			request := h.request()
			h.now += 120
			h.Equal(h.answer(request, 0).Decided[0].Decision.Reason, flow.ReasonOverRate)
			h.now = 1335
			h.True(h.draw().Wait)
			h.now = 1360
			h.Equal(len(h.pool.Tick(h.now).Requests), 1)
			h.now = 1585
			h.Equal(h.pool.Tick(h.now).Decided[0].Decision.Reason, flow.ReasonOverRate)
		}},
		"another owner is tried when the first does not answer": {2, func(h *harness) {
			h.request()
			h.now += 10
			effects := h.pool.Tick(h.now)
			h.Equal(len(effects.Requests), 1)
			h.Equal(len(h.answer(effects.Requests[0], 1).Decided), 1)
		}},
		"wait ends in a refusal": {1, func(h *harness) {
			h.request()
			h.now = h.pool.Due(h.now)
			for h.now < 1250 {
				h.Equal(len(h.pool.Tick(h.now).Decided), 0)
				h.now = h.pool.Due(h.now)
			}
			h.Equal(h.now, flow.Time(1250))
			h.True(h.pool.Tick(h.now).Decided[0].Decision.Refuse)
		}},
		"requests wait for a slow owner, whose timeout adapts": {1, func(h *harness) {
			slow := h.request()
			for h.now < 1140 {
				h.now = min(h.pool.Due(h.now), 1140)
				h.Equal(len(h.pool.Tick(h.now).Decided), 0)
			}
			h.Equal(len(h.answer(slow, 1).Decided), 1)
			slow = h.request()
			for h.now < 1340 {
				h.now = min(h.pool.Due(h.now), 1340)
				effects := h.pool.Tick(h.now)
				h.Equal(len(effects.Decided), 0)
				h.Equal(len(effects.Requests), 0) // another request would abandon this one
			}
			h.Equal(len(h.answer(slow, 1).Decided), 1)
		}},
		"pool is not idle while a token may still be used": {1, func(h *harness) {
			h.takeToken(0)
			h.now += 900
			h.pool.Tick(h.now)
			h.True(!h.pool.Idle(h.now))
			h.now += 2000
			h.pool.Tick(h.now)
			h.True(h.pool.Idle(h.now))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { tc.run(newHarness(t, tc.shares)) })
	}
}

func BenchmarkDraw(b *testing.B) {
	settings := pooler.DefaultSettings()
	config := pooler.PoolConfig{Customer: customer, Shares: 8, Limit: granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1e6}}
	pool := pooler.NewPool(config, settings, &pooler.Counter{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := flow.Time(1000 + i/100)
		for _, request := range pool.Draw(now).Requests {
			pool.Answered(now, granter.Answer{Share: request.Share, Shares: 8, Sequence: request.Sequence, Granted: request.Want, Lifetime: time.Second})
		}
	}
}
