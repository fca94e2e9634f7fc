package allower_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/allower"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// most is the most requests that some window of a length holds.
func most(admitted []flow.Time, window flow.Time) int {
	highest, first := 0, 0
	for last, at := range admitted {
		for admitted[first] <= at-window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// TestNoWindowHoldsMoreThanTheRate draws at random, far more than the rate
// allows, and changes the rate on the way.
func TestNoWindowHoldsMoreThanTheRate(t *testing.T) {
	cases := map[string][]allower.Rate{
		"a steady rate":       {{PerSecond: 31, Burst: 31}},
		"a rate that falls":   {{PerSecond: 60, Burst: 60}, {PerSecond: 6, Burst: 4}},
		"a rate that returns": {{PerSecond: 40, Burst: 10}, {PerSecond: 2, Burst: 2}, {PerSecond: 40, Burst: 10}},
		"a burst below one":   {{PerSecond: 0.5, Burst: 0.3}},
	}
	for name, rates := range cases {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 7))
				buckets := allower.NewBuckets()
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
					is.True(float64(most(admitted, window)) <= rate.PerSecond*5+max(rate.Burst, 1)+1)
				}
			})
		}
	}
}

// TestRetryAfterIsWhenThereIsAToken asks again after the time that was told.
func TestRetryAfterIsWhenThereIsAToken(t *testing.T) {
	is := is.New(t)
	buckets := allower.NewBuckets()
	rate := allower.Rate{PerSecond: 4, Burst: 2}
	ok, after := buckets.Take(0, "shop", rate)
	is.True(!ok) // a new bucket is empty
	ok, _ = buckets.Take(flow.Time(0).Add(after), "shop", rate)
	is.True(ok)
}

// TestOwnerLost has the daemons of a deployment admit by themselves while the
// owner of the bucket is out of reach for them, though not for others: all of it
// together stays within the tolerated overage.
func TestOwnerLost(t *testing.T) {
	const (
		overage = 0.25
		slack   = 20 // requests in a window that the deployments tolerate beyond
		window  = 5000
	)
	for _, daemons := range []int{3, 27, 100} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(uint64(daemons), 9))
			rate := allower.Rate{PerSecond: 31, Burst: 31}
			owner, deputy := allower.NewBuckets(), allower.NewBuckets()
			standby := make([]*allower.Buckets, daemons)
			for i := range standby {
				standby[i] = allower.NewBuckets()
			}
			var admitted []flow.Time
			for now := flow.Time(0); now < 60_000; now += 2 {
				d := random.IntN(daemons)
				var ok bool
				switch d % 3 {
				case 0: // it reaches neither the owner nor the deputy
					alone := allower.StandaloneRate(rate, overage, slack, daemons)
					standby[d].Start(now, "shop", alone, alone.Burst)
					ok, _ = standby[d].Take(now, "shop", alone)
				case 1:
					allowed := allower.DeputyRate(rate, overage, slack)
					deputy.Start(now, "shop", allowed, allowed.Burst)
					ok, _ = deputy.Take(now, "shop", allowed)
				default:
					ok, _ = owner.Take(now, "shop", rate)
				}
				if ok {
					admitted = append(admitted, now)
				}
			}
			is.True(float64(most(admitted, window)) <= (rate.PerSecond*5+rate.Burst)*(1+overage)+slack)
		})
	}
}

// TestOwnersStartAgain ends all processes at a moment, so that every owner starts
// anew and knows nothing of what was admitted. A customer that keeps to its rate is
// refused nothing. One that begins to ask for all it can get shortly before, while
// daemons use up what they may admit without the owner, stays within the tolerated
// overage.
func TestOwnersStartAgain(t *testing.T) {
	const (
		overage = 0.25
		slack   = 20
		window  = 5000
		ended   = flow.Time(20_000)
		begun   = ended - 2000 // a full bucket is spent within the window
	)
	rates := map[string]allower.Rate{
		"a small customer": {PerSecond: 4, Burst: 4},
		"a large customer": {PerSecond: 31, Burst: 31},
	}
	for name, rate := range rates {
		t.Run(name+" within its rate", func(t *testing.T) {
			is := is.New(t)
			const headroom = 1.6 // the rate of the deployments over the usual load
			owner := allower.NewBuckets()
			interval := flow.Time(1000 * headroom / rate.PerSecond)
			refused := 0
			owner.Start(0, "shop", rate, allower.NewOwnerLevel(rate, overage, slack))
			for now := flow.Time(0); now < ended; now += interval {
				if ok, _ := owner.Take(now, "shop", rate); !ok {
					refused++
				}
			}
			is.Equal(refused, 0)
		})
		t.Run(name+" asks for all", func(t *testing.T) {
			is := is.New(t)
			owner, without := allower.NewBuckets(), allower.NewBuckets()
			var admitted []flow.Time
			owner.Start(0, "shop", rate, 0)
			for now := begun; now < 2*ended; now += 2 {
				if now == ended {
					owner = allower.NewBuckets()
					owner.Start(now, "shop", rate, allower.NewOwnerLevel(rate, overage, slack))
				}
				if ok, _ := owner.Take(now, "shop", rate); ok {
					admitted = append(admitted, now)
				}
				allowed := map[string]allower.Rate{
					"deputy": allower.DeputyRate(rate, overage, slack),
					"alone":  allower.StandaloneRate(rate, overage, slack, 1),
				}
				for who, part := range allowed {
					without.Start(now, who, part, part.Burst)
					if ok, _ := without.Take(now, who, part); ok {
						admitted = append(admitted, now)
					}
				}
			}
			is.True(float64(most(admitted, window)) <= (rate.PerSecond*5+rate.Burst)*(1+overage)+slack)
		})
	}
}

// TestSweepForgets forgets buckets that are not used.
func TestSweepForgets(t *testing.T) {
	is := is.New(t)
	buckets := allower.NewBuckets()
	rate := allower.Rate{PerSecond: 10, Burst: 10}
	buckets.Start(0, "shop", rate, 0)
	buckets.Sweep(1000, time.Minute)
	ok, _ := buckets.Take(1000, "shop", rate)
	is.True(ok)
	buckets.Sweep(100_000, time.Minute)
	ok, _ = buckets.Take(100_000, "shop", rate)
	is.True(!ok) // a bucket that is made anew is empty
}
