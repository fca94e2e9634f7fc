package ratelimiter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// choose returns whenTrue or whenFalse.
func choose(condition bool, whenTrue, whenFalse float64) float64 {
	if condition {
		return whenTrue
	}
	return whenFalse
}

// The budget of a deployment, and the times of a simulated one in milliseconds.
const (
	retryWindow = 10_000
	retryShare  = 0.2
	retryStep   = 20
	retryLength = 80_000
)

// retryFleet is daemons that retry every request as often as the budget allows, and the owner
// of the budget.
type retryFleet struct {
	budget            ratelimiter.RetryBudget
	pool              *ratelimiter.RetryPool
	ledgers           []*ratelimiter.Ledger
	random            *rand.Rand
	requests, retries []flow.Time
	cut               bool // no daemon reaches the owner
}

// request sends a request of a daemon, whose retries arrive a little later, and reports
// whether there were any.
func (f *retryFleet) request(now flow.Time, daemon int) {
	f.requests = append(f.requests, now)
	f.ledgers[daemon].CountRequest(now)
	for range 8 {
		if !f.take(now, daemon) {
			return
		}
		f.retries = append(f.retries, now+flow.Time(f.random.IntN(150)))
	}
}

func (f *retryFleet) take(now flow.Time, daemon int) bool {
	if f.cut {
		return f.ledgers[daemon].Withdraw(now)
	}
	f.pool.Report(now+flow.Time(f.random.IntN(retryStep)), f.ledgers[daemon].Take(now))
	ok, _ := f.pool.Take(now)
	return ok
}

// worst returns the largest used share of the budget in any window that begins or ends at a
// retry.
func (f *retryFleet) worst() (worst float64) {
	slices.Sort(f.requests)
	slices.Sort(f.retries)
	between := func(times []flow.Time, from, to flow.Time) int {
		first, _ := slices.BinarySearch(times, from)
		last, _ := slices.BinarySearch(times, to)
		return last - first
	}
	for _, retry := range f.retries {
		for _, begin := range []flow.Time{retry, retry + 1 - retryWindow} {
			end := begin + retryWindow
			most := max(between(f.requests, begin, end), between(f.requests, begin-retryWindow, begin), between(f.requests, begin-retryWindow/2, end-retryWindow/2))
			worst = max(worst, float64(between(f.retries, begin, end))/(retryShare*float64(most)+f.budget.Slack))
		}
	}
	return worst
}

// TestRetryBudgetHoldsOverAllDaemons fails every request, and retries it as often as the budget
// allows. In no sliding window do all daemons together exceed the budget of the deployments: a
// slack plus a share of the requests in that window, in the window before, or in the window
// half a length earlier, whichever has the most. A budget that counts in slots of a second
// allowed twice its retries in a window with two bursts 9.1 s apart.
func TestRetryBudgetHoldsOverAllDaemons(t *testing.T) {
	type loadOf func(now flow.Time, daemon, daemons int) float64 // load of a daemon in requests a second
	constant := func(flow.Time, int, int) float64 { return 3 }
	cases := map[string]struct {
		load    loadOf
		disturb func(now flow.Time, f *retryFleet)
		least   float64 // share of the budget that some window uses at least
	}{
		"constant load":             {constant, nil, 0.8},
		"bursts of three seconds":   {func(now flow.Time, _, _ int) float64 { return choose(now%9000 < 3000, 9, 1) }, nil, 0.6},
		"bursts 9.1 s apart":        {func(now flow.Time, _, _ int) float64 { return choose(now%9100 < 100, 200, 0.1) }, nil, 0.4},
		"bursts at different times": {func(now flow.Time, d, _ int) float64 { return choose((now/1000+flow.Time(d))%6 < 2, 6, 0.5) }, nil, 0.6},
		"load at few daemons":       {func(_ flow.Time, d, daemons int) float64 { return choose(d*5 < daemons, 20, 0) }, nil, 0.6},
		"very low load":             {func(flow.Time, int, int) float64 { return 0.05 }, nil, 0.1},
		"load that drops suddenly":  {func(now flow.Time, _, _ int) float64 { return choose(now < 30_000, 5, 0.1) }, nil, 0.6},
		"daemons restart": {constant, func(now flow.Time, f *retryFleet) {
			if now%500 == 0 {
				f.ledgers[f.random.IntN(len(f.ledgers))] = ratelimiter.NewLedger(f.budget)
			}
		}, 0.8},
		"owner restarts": {constant, func(now flow.Time, f *retryFleet) {
			if now%7000 == 0 {
				f.pool = ratelimiter.NewRetryPool(now, f.budget, 0)
			}
		}, 0.5},
		"owner changes and leaves its slack": {constant, func(now flow.Time, f *retryFleet) {
			if now%3000 == 0 {
				f.pool = ratelimiter.NewRetryPool(now, f.budget, f.pool.Level(now))
			}
		}, 0.4},
		"owner out of reach at times": {constant, func(now flow.Time, f *retryFleet) { f.cut = now%13_000 < 6000 }, 0.5},
	}
	for name, tc := range cases {
		for _, daemons := range []int{3, 27, 108} {
			t.Run(fmt.Sprintf("%s/%d", name, daemons), func(t *testing.T) {
				t.Parallel()
				budget := ratelimiter.RetryBudget{Share: retryShare, Slack: 2.2 * float64(daemons), Window: retryWindow * time.Millisecond}
				f := &retryFleet{budget: budget, random: rand.New(rand.NewPCG(uint64(daemons), 3)), pool: ratelimiter.NewRetryPool(0, budget, 0)}
				for range daemons {
					f.ledgers = append(f.ledgers, ratelimiter.NewLedger(budget))
				}
				for now := flow.Time(0); now < retryLength; now += retryStep {
					if tc.disturb != nil {
						tc.disturb(now, f)
					}
					for d := range daemons {
						for expected := tc.load(now, d, daemons) * retryStep / 1000; f.random.Float64() < expected; expected-- {
							f.request(now, d)
						}
					}
				}
				worst := f.worst()
				t.Logf("worst window used %.2f of the budget, %d retries for %d requests", worst, len(f.retries), len(f.requests))
				is := is.New(t)
				is.True(worst <= 1)
				is.True(daemons < 27 || worst >= tc.least) // the budget is not given up needlessly
			})
		}
	}
}
