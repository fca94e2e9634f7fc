package ratelimiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// choose returns whenTrue or whenFalse.
func choose(condition bool, whenTrue, whenFalse float64) float64 {
	if condition {
		return whenTrue
	}
	return whenFalse
}

// TestRetryBudgetHoldsOverAllDaemons fails every request, and retries it as often
// as the budget allows. In no window do all daemons together exceed the budget of
// our deployments: a slack plus a share of the requests in that window, in the
// window before, or in the window half a length earlier, whichever has the most.
func TestRetryBudgetHoldsOverAllDaemons(t *testing.T) {
	const (
		window = 10_000
		share  = 0.2
		step   = 20
		length = 60_000
		steps  = window / step
	)
	cases := map[string]func(now flow.Time, daemon, daemons int) float64{ // load of a daemon in requests a second
		"constant load":             func(flow.Time, int, int) float64 { return 3 },
		"bursts of three seconds":   func(now flow.Time, _, _ int) float64 { return choose(now%9000 < 3000, 9, 1) },
		"bursts at different times": func(now flow.Time, d, _ int) float64 { return choose((now/1000+flow.Time(d))%6 < 2, 6, 0.5) },
		"load at few daemons":       func(_ flow.Time, d, daemons int) float64 { return choose(d*5 < daemons, 20, 0) },
		"very low load":             func(flow.Time, int, int) float64 { return 0.05 },
		"load that drops suddenly":  func(now flow.Time, _, _ int) float64 { return choose(now < 30_000, 5, 0.1) },
	}
	for name, load := range cases {
		for _, daemons := range []int{3, 27, 85} {
			t.Run(fmt.Sprintf("%s/%d", name, daemons), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(daemons), 3))
				budget := ratelimiter.RetryBudget{Share: share, Slack: 2.2 * float64(daemons), Window: window * time.Millisecond}
				ownShare, ownSlack := budget.PerDaemon(daemons)
				own := make([]*retrier.Budget, daemons)
				for i := range own {
					own[i] = retrier.NewBudget(retrier.Options{Share: ownShare, MinPerSecond: -1, Slack: ownSlack})
				}
				pool := ratelimiter.NewBuckets()
				var requests, retries [length / step]int
				for i := range requests {
					now := flow.Time(i * step)
					for d := range own {
						if random.Float64() >= load(now, d, daemons)*step/1000 {
							continue
						}
						requests[i]++
						own[d].CountRequest(now)
						for range 3 {
							if !own[d].Withdraw(now, false) {
								if ok, _ := pool.Take(now, "stock", budget.PoolRate()); !ok {
									break
								}
							}
							retries[i]++
						}
					}
				}
				worst := 0.0
				for end := steps; end <= len(requests); end++ {
					begin := end - steps
					most := max(sum(requests[begin:end]), sum(requests[max(0, begin-steps):begin]), sum(requests[max(0, begin-steps/2):end-steps/2]))
					worst = max(worst, float64(sum(retries[begin:end]))/(share*float64(most)+budget.Slack))
				}
				t.Logf("worst window used %.2f of the budget", worst)
				is.New(t).True(worst <= 1)
			})
		}
	}
}

func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}
