// Measures refusals of requests that were within the rate. Apart from the rate
// limit it checks nothing; the logged table is the result. Run it with:
// go test -v -run TestMeasure ./internal/process/pooler

package pooler_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
)

const (
	measureSeed   = 7
	measureHosts  = 27
	measureLength = 10 * time.Second
)

// arrivalPatterns spread one customer's requests over time and ingresses.
var arrivalPatterns = map[string]func(granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int){
	"uniform": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poissonWait(rng, limit.PerSecond()*0.9), rng.Intn(measureHosts)
		}
	},
	"skewed": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			index := 0
			if rng.Intn(5) == 0 {
				index = rng.Intn(measureHosts)
			}
			return poissonWait(rng, limit.PerSecond()*0.9), index
		}
	},
	"shifting": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, now time.Duration) (time.Duration, int) {
			return poissonWait(rng, limit.PerSecond()*0.9), int(now/(300*time.Millisecond)) * 7 % measureHosts
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
	"half rate": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poissonWait(rng, limit.PerSecond()*0.5), rng.Intn(measureHosts)
		}
	},
	"half rate at one ingress": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poissonWait(rng, limit.PerSecond()*0.5), 0
		}
	},
	"half rate at one ingress, bursts at others": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		left, index, next := 0, 0, time.Second
		return func(rng *rand.Rand, now time.Duration) (time.Duration, int) {
			if left--; left >= 0 {
				return 0, index
			}
			if now > next {
				left, index = limit.Burst*9/10, rng.Intn(measureHosts)
				next = now + time.Duration(3*float64(limit.Burst)/limit.PerSecond()*float64(time.Second))
			}
			return poissonWait(rng, limit.PerSecond()*0.5), 0
		}
	},
	"triple rate": func(limit granter.Limit) func(*rand.Rand, time.Duration) (time.Duration, int) {
		return func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
			return poissonWait(rng, limit.PerSecond()*3), rng.Intn(measureHosts)
		}
	},
}

func poissonWait(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

func measuredScenario(pattern string, limit granter.Limit, shares int) scenario {
	return scenario{
		seed:     measureSeed,
		hosts:    measureHosts,
		limit:    limit,
		shares:   shares,
		granter:  granter.DefaultSettings(),
		pooler:   pooler.DefaultSettings(),
		arrivals: arrivalPatterns[pattern](limit),
		length:   measureLength,
	}
}

func (t tally) row() string {
	mean := time.Duration(0)
	if t.admitted > 0 {
		mean = t.waited / time.Duration(t.admitted)
	}
	return fmt.Sprintf("%6d | %6d | %6d | %6d (%5.2f%%) | %6d | %5.2f | %v",
		t.requests, t.withinRate, t.admitted, t.refusedWithinRate, 100*float64(t.refusedWithinRate)/float64(max(t.withinRate, 1)),
		t.unavailable, float64(t.messages)/float64(max(t.requests, 1)), mean.Round(10*time.Microsecond))
}

const measureHeader = "requests | within rate | admitted | refused within rate | unavailable | messages/request | mean wait"

func TestMeasureRefusalsWithinTheRate(t *testing.T) {
	large := granter.Limit{MicrotokensPerSecond: 200e6, Burst: 200}
	low := granter.Limit{MicrotokensPerSecond: 20e6, Burst: 20}
	typical := granter.Limit{MicrotokensPerSecond: 10e6, Burst: 20}
	tight := granter.Limit{MicrotokensPerSecond: 200e6, Burst: 20}
	middle := granter.Limit{MicrotokensPerSecond: 200e6, Burst: 40}

	t.Log("rate/burst, arrivals, source | " + measureHeader)
	for _, limit := range []granter.Limit{large, low, tight} {
		for _, pattern := range []string{"uniform", "skewed", "shifting", "bursty", "triple rate"} {
			sc := measuredScenario(pattern, limit, 1)
			sc.split = true
			logRow(t, pattern, "static split", sc)
			for _, shares := range []int{1, 2, 4, 8} {
				logRow(t, pattern, fmt.Sprint("k=", shares), measuredScenario(pattern, limit, shares))
			}
		}
	}
	for _, limit := range []granter.Limit{typical, large, low} {
		for _, pattern := range []string{"half rate", "half rate at one ingress", "half rate at one ingress, bursts at others"} {
			for _, shares := range []int{1, 2, 8} {
				sc := measuredScenario(pattern, limit, shares)
				sc.length = 3 * measureLength
				logRow(t, pattern, fmt.Sprint("k=", shares), sc)
			}
		}
	}
	for _, pattern := range []string{"skewed", "shifting", "bursty"} {
		for _, lifetime := range []time.Duration{250, 500, 1000, 2000} {
			for _, loss := range []float64{0, 0.02} {
				sc := measuredScenario(pattern, middle, 4)
				sc.granter.Lifetime = lifetime * time.Millisecond
				sc.faults.loss = loss
				logRow(t, pattern, fmt.Sprintf("k=4, lifetime %v, loss %g", sc.granter.Lifetime, loss), sc)
			}
		}
	}
	for _, pattern := range []string{"uniform", "skewed", "shifting", "bursty"} {
		for _, shares := range []int{1, 2, 4, 8} {
			sc := measuredScenario(pattern, large, shares)
			sc.loseOwner = true
			sc.length = 2 * measureLength
			logRow(t, pattern, fmt.Sprintf("k=%d, an owner down for 8 s", shares), sc)
		}
	}
}

func logRow(t *testing.T, pattern, source string, sc scenario) {
	is := is.New(t)
	s := newSimulation(sc).run()
	is.Equal(s.violations(), nil)
	t.Logf("%g/%d, %s, %s | %s", sc.limit.PerSecond(), sc.limit.Burst, pattern, source, s.tally.row())
}
