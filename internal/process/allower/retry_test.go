package allower_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/allower"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// either returns one of two loads.
func either(first bool, a, b float64) float64 {
	if first {
		return a
	}
	return b
}

// TestRetriesOverAllDaemons has every request fail and be retried as often as
// the budget lets it, at loads that are steady, in bursts, and at few daemons
// only. No window of all daemons together holds more retries than the budget of
// the deployments: a share of the requests of that window, the one before or the
// one half a window before, whichever has most, and a slack.
func TestRetriesOverAllDaemons(t *testing.T) {
	const (
		window = 10_000
		share  = 0.2
		step   = 20
		span   = 60_000
		slots  = window / step
	)
	cases := map[string]func(now flow.Time, daemon, daemons int) float64{ // requests a second of a daemon
		"a steady load":             func(flow.Time, int, int) float64 { return 3 },
		"bursts of three seconds":   func(now flow.Time, _, _ int) float64 { return either(now%9000 < 3000, 9, 1) },
		"waves that do not agree":   func(now flow.Time, d, _ int) float64 { return either((now/1000+flow.Time(d))%6 < 2, 6, 0.5) },
		"a few daemons only":        func(_ flow.Time, d, daemons int) float64 { return either(d*5 < daemons, 20, 0) },
		"hardly any requests":       func(flow.Time, int, int) float64 { return 0.05 },
		"a load that stops at once": func(now flow.Time, _, _ int) float64 { return either(now < 30_000, 5, 0.1) },
	}
	for name, load := range cases {
		for _, daemons := range []int{3, 27, 85} {
			t.Run(fmt.Sprintf("%s/%d", name, daemons), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(daemons), 3))
				budget := allower.RetryBudget{Share: share, Slack: 2.2 * float64(daemons), Window: window * time.Millisecond}
				ownShare, ownSlack := budget.Local(daemons)
				own := make([]*retrier.Budget, daemons)
				for i := range own {
					own[i] = retrier.NewBudget(retrier.Options{Share: ownShare, MinPerSecond: -1, Slack: ownSlack})
				}
				pool := allower.NewBuckets()
				var requests, retries [span / step]int
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
								if ok, _ := pool.Take(now, "stock", budget.Pool()); !ok {
									break
								}
							}
							retries[i]++
						}
					}
				}
				worst := 0.0
				for end := slots; end <= len(requests); end++ {
					begin := end - slots
					most := max(sum(requests[begin:end]), sum(requests[max(0, begin-slots):begin]), sum(requests[max(0, begin-slots/2):end-slots/2]))
					worst = max(worst, float64(sum(retries[begin:end]))/(share*float64(most)+budget.Slack))
				}
				t.Logf("at worst %.2f of the budget", worst)
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
