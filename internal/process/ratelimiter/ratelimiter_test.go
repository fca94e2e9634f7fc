package ratelimiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxInWindow returns the highest number of requests in any window of the given
// length.
func maxInWindow(admitted []flow.Time, window flow.Time) int {
	highest, first := 0, 0
	for last, at := range admitted {
		for admitted[first] <= at-window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// TestRateIsKeptInEveryWindow takes tokens at random times, far more often than
// the rate allows, and changes the rate in between.
func TestRateIsKeptInEveryWindow(t *testing.T) {
	cases := map[string][]ratelimiter.Rate{
		"constant rate":             {{PerSecond: 31, Burst: 31}},
		"lowered rate":              {{PerSecond: 60, Burst: 60}, {PerSecond: 6, Burst: 4}},
		"lowered and restored rate": {{PerSecond: 40, Burst: 10}, {PerSecond: 2, Burst: 2}, {PerSecond: 40, Burst: 10}},
		"burst below one":           {{PerSecond: 0.5, Burst: 0.3}},
	}
	for name, rates := range cases {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 7))
				buckets := ratelimiter.NewBuckets()
				var now flow.Time
				for _, rate := range rates {
					var admitted []flow.Time
					changed := now
					for now < changed+20_000 {
						now += flow.Time(random.IntN(12))
						if ok, _ := buckets.Take(now, "shop", rate); ok {
							admitted = append(admitted, now)
						}
					}
					const window = 5000
					is.True(float64(maxInWindow(admitted, window)) <= rate.PerSecond*5+max(rate.Burst, 1)+1)
				}
			})
		}
	}
}

// TestTakeSucceedsAfterRetryAfter takes again after the returned time.
func TestTakeSucceedsAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	buckets := ratelimiter.NewBuckets()
	rate := ratelimiter.Rate{PerSecond: 4, Burst: 2}
	ok, retryAfter := buckets.Take(0, "shop", rate)
	is.True(!ok) // a new bucket is empty
	ok, _ = buckets.Take(flow.Time(0).Add(retryAfter), "shop", rate)
	is.True(ok)
}

// TestOverageIsKeptWhenOwnerIsUnreachable makes the owner unreachable for some
// daemons of a deployment, and the deputy for some of these. All requests admitted
// together stay within the tolerated overage.
func TestOverageIsKeptWhenOwnerIsUnreachable(t *testing.T) {
	const (
		overage = 0.25
		slack   = 20 // requests in a window that our deployments tolerate besides
		window  = 5000
	)
	for _, daemons := range []int{3, 27, 100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(uint64(daemons), 9))
			rate := ratelimiter.Rate{PerSecond: 31, Burst: 31}
			owner, deputy := ratelimiter.NewBuckets(), ratelimiter.NewBuckets()
			standalone := make([]*ratelimiter.Buckets, daemons)
			for i := range standalone {
				standalone[i] = ratelimiter.NewBuckets()
			}
			var admitted []flow.Time
			for now := flow.Time(0); now < 60_000; now += 2 {
				d := random.IntN(daemons)
				var ok bool
				switch d % 3 {
				case 0: // reaches neither the owner nor the deputy
					standaloneRate := ratelimiter.StandaloneRate(rate, overage, slack, daemons)
					standalone[d].Ensure(now, "shop", standaloneRate, standaloneRate.Burst)
					ok, _ = standalone[d].Take(now, "shop", standaloneRate)
				case 1: // reaches only the deputy
					deputyRate := ratelimiter.DeputyRate(rate, overage, slack)
					deputy.Ensure(now, "shop", deputyRate, deputyRate.Burst)
					ok, _ = deputy.Take(now, "shop", deputyRate)
				default:
					ok, _ = owner.Take(now, "shop", rate)
				}
				if ok {
					admitted = append(admitted, now)
				}
			}
			is.True(float64(maxInWindow(admitted, window)) <= (rate.PerSecond*5+rate.Burst)*(1+overage)+slack)
		})
	}
}

// TestOverageIsKeptWhenOwnersRestart restarts all processes at once, so that no
// owner knows what was admitted before. A customer within its rate is never
// refused. For a customer that sends as fast as it can from shortly before the
// restart, while the deputy and a standalone daemon admit requests as well, the
// requests admitted stay within the tolerated overage.
func TestOverageIsKeptWhenOwnersRestart(t *testing.T) {
	const (
		overage = 0.25
		slack   = 20
		window  = 5000
		restart = flow.Time(20_000)
		begin   = restart - 2000 // so that a full bucket is spent in the same window as the restart
	)
	rates := map[string]ratelimiter.Rate{
		"small customer": {PerSecond: 4, Burst: 4},
		"large customer": {PerSecond: 31, Burst: 31},
	}
	for name, rate := range rates {
		t.Run(name+" within its rate", func(t *testing.T) {
			is := is.New(t)
			const headroom = 1.6 // rate over usual load in our deployments
			owner := ratelimiter.NewBuckets()
			interval := flow.Time(1000 * headroom / rate.PerSecond)
			refused := 0
			owner.Ensure(0, "shop", rate, ratelimiter.NewOwnerLevel(rate, overage, slack))
			for now := flow.Time(0); now < restart; now += interval {
				if ok, _ := owner.Take(now, "shop", rate); !ok {
					refused++
				}
			}
			is.Equal(refused, 0)
		})
		t.Run(name+" above its rate", func(t *testing.T) {
			is := is.New(t)
			owner, others := ratelimiter.NewBuckets(), ratelimiter.NewBuckets()
			var admitted []flow.Time
			owner.Ensure(0, "shop", rate, 0)
			for now := begin; now < 2*restart; now += 2 {
				if now == restart {
					owner = ratelimiter.NewBuckets()
					owner.Ensure(now, "shop", rate, ratelimiter.NewOwnerLevel(rate, overage, slack))
				}
				if ok, _ := owner.Take(now, "shop", rate); ok {
					admitted = append(admitted, now)
				}
				otherRates := map[string]ratelimiter.Rate{
					"deputy":     ratelimiter.DeputyRate(rate, overage, slack),
					"standalone": ratelimiter.StandaloneRate(rate, overage, slack, 1),
				}
				for role, otherRate := range otherRates {
					others.Ensure(now, role, otherRate, otherRate.Burst)
					if ok, _ := others.Take(now, role, otherRate); ok {
						admitted = append(admitted, now)
					}
				}
			}
			is.True(float64(maxInWindow(admitted, window)) <= (rate.PerSecond*5+rate.Burst)*(1+overage)+slack)
		})
	}
}

func TestSweepDropsIdleBuckets(t *testing.T) {
	is := is.New(t)
	buckets := ratelimiter.NewBuckets()
	rate := ratelimiter.Rate{PerSecond: 10, Burst: 10}
	buckets.Ensure(0, "shop", rate, 0)
	buckets.Sweep(1000, time.Minute)
	ok, _ := buckets.Take(1000, "shop", rate)
	is.True(ok)
	buckets.Sweep(100_000, time.Minute)
	ok, _ = buckets.Take(100_000, "shop", rate)
	is.True(!ok) // the bucket was dropped, and its replacement is empty
}
