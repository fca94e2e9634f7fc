// The measurement of refusals inside the rate. It asserts little; its table is
// the result. Run it with: go test -v -run TestMeasure ./internal/process/drawer

package drawer_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
)

const (
	measureSeed  = 7
	measureHosts = 27
	measureRun   = 10 * time.Second
)

// callers are ways to spread one customer's requests over time and ingresses.
var callers = map[string]func(granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int){
	"even": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poisson(rng, limit.PerSecond()*0.9), rng.Intn(measureHosts)
		}
	},
	"skewed": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			index := 0
			if rng.Intn(5) == 0 {
				index = rng.Intn(measureHosts)
			}
			return poisson(rng, limit.PerSecond()*0.9), index
		}
	},
	"wandering": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, now time.Duration) (time.Duration, int) {
			return poisson(rng, limit.PerSecond()*0.9), int(now/(300*time.Millisecond)) * 7 % measureHosts
		}
	},
	"bursty": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		left, index := 0, 0
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			if left--; left > 0 {
				return time.Millisecond, (index + left%3) % measureHosts
			}
			left, index = limit.Burst*8/10, rng.Intn(measureHosts)
			return time.Duration(float64(left) / limit.PerSecond() / 0.8 * float64(time.Second)), index
		}
	},
	"half": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poisson(rng, limit.PerSecond()*0.5), rng.Intn(measureHosts)
		}
	},
	"half at one": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poisson(rng, limit.PerSecond()*0.5), 0
		}
	},
	"half at one, bursts at others": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		left, index, next := 0, 0, time.Second
		return func(rng *rand.Rand, now time.Duration) (time.Duration, int) {
			if left--; left >= 0 {
				return 0, index
			}
			if now > next {
				left, index = limit.Burst*9/10, rng.Intn(measureHosts)
				next = now + time.Duration(3*float64(limit.Burst)/limit.PerSecond()*float64(time.Second))
			}
			return poisson(rng, limit.PerSecond()*0.5), 0
		}
	},
	"threefold": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poisson(rng, limit.PerSecond()*3), rng.Intn(measureHosts)
		}
	},
}

func poisson(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

func measured(caller string, limit granter.Limit, shares int) plan {
	return plan{
		seed:     measureSeed,
		hosts:    measureHosts,
		limit:    limit,
		shares:   shares,
		granter:  granter.DefaultSettings(),
		drawer:   drawer.DefaultSettings(),
		arrivals: callers[caller](limit),
		length:   measureRun,
	}
}

func (t tally) row() string {
	mean := time.Duration(0)
	if t.admitted > 0 {
		mean = t.waited / time.Duration(t.admitted)
	}
	return fmt.Sprintf("%6d | %6d | %6d | %6d (%5.2f%%) | %6d | %5.2f | %v",
		t.requests, t.inside, t.admitted, t.refusedInside, 100*float64(t.refusedInside)/float64(max(t.inside, 1)),
		t.unavailable, float64(t.messages)/float64(max(t.requests, 1)), mean.Round(10*time.Microsecond))
}

const measureHead = "requests | inside | admitted | refused inside | unavailable | messages/request | mean wait"

func TestMeasureRefusalsInsideTheRate(t *testing.T) {
	large := granter.Limit{MicrotokensPerSecond: 200e6, Burst: 200}
	low := granter.Limit{MicrotokensPerSecond: 20e6, Burst: 20}
	typical := granter.Limit{MicrotokensPerSecond: 10e6, Burst: 20}
	tight := granter.Limit{MicrotokensPerSecond: 200e6, Burst: 20}
	middle := granter.Limit{MicrotokensPerSecond: 200e6, Burst: 40}

	t.Log("rate/burst, caller, source | " + measureHead)
	for _, limit := range []granter.Limit{large, low, tight} {
		for _, caller := range []string{"even", "skewed", "wandering", "bursty", "threefold"} {
			p := measured(caller, limit, 1)
			p.split = true
			logRow(t, caller, "static split", p)
			for _, shares := range []int{1, 2, 4, 8} {
				logRow(t, caller, fmt.Sprint("k=", shares), measured(caller, limit, shares))
			}
		}
	}
	for _, limit := range []granter.Limit{typical, large, low} {
		for _, caller := range []string{"half", "half at one", "half at one, bursts at others"} {
			for _, shares := range []int{1, 2, 8} {
				p := measured(caller, limit, shares)
				p.length = 3 * measureRun
				logRow(t, caller, fmt.Sprint("k=", shares), p)
			}
		}
	}
	for _, caller := range []string{"skewed", "wandering", "bursty"} {
		for _, lifetime := range []time.Duration{250, 500, 1000, 2000} {
			for _, loss := range []float64{0, 0.02} {
				p := measured(caller, middle, 4)
				p.granter.Lifetime = lifetime * time.Millisecond
				p.faults.loss = loss
				logRow(t, caller, fmt.Sprintf("k=4, lifetime %v, loss %g", p.granter.Lifetime, loss), p)
			}
		}
	}
	for _, caller := range []string{"even", "skewed", "wandering", "bursty"} {
		for _, shares := range []int{1, 2, 4, 8} {
			p := measured(caller, large, shares)
			p.lostHost = true
			p.length = 2 * measureRun
			logRow(t, caller, fmt.Sprintf("k=%d, an owner lost for 8 s", shares), p)
		}
	}
}

func logRow(t *testing.T, caller, source string, p plan) {
	is := is.New(t)
	w := newWorld(p).run()
	is.Equal(w.violations(), nil)
	t.Logf("%g/%d, %s, %s | %s", p.limit.PerSecond(), p.limit.Burst, caller, source, w.tally.row())
}
