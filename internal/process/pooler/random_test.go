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

const randomRuns = 80 // seeds 1 to randomRuns

// faultyScenario returns a random scenario with frequent faults.
func faultyScenario(seed int64) scenario {
	rng := rand.New(rand.NewSource(seed))
	sc := scenario{
		seed:    seed,
		hosts:   3 + rng.Intn(6),
		limit:   granter.Limit{MicrotokensPerSecond: 1e6 * (5 + rng.Int63n(400)), Burst: 1 + rng.Intn(100)},
		shares:  1 << rng.Intn(4),
		granter: granter.DefaultSettings(),
		pooler:  pooler.DefaultSettings(),
		faults:  faults{maxDelay: 1500 * time.Millisecond},
		length:  10 * time.Second,
	}
	sc.granter.Lifetime = time.Duration(200+rng.Intn(1000)) * time.Millisecond
	// Each run has only some of the faults: all of them together would leave so
	// many tokens unused that no mistake could exceed the rate.
	sc.faults.loss = pick(rng, 0, 0, 0.01, 0.1)
	sc.faults.repeat = pick(rng, 0, 0.1)
	sc.faults.late = pick(rng, 0, 0, 0.01, 0.1)
	sc.faults.pause = pick(rng, 0, 0, 0.0001, 0.001)
	sc.faults.moveInterval = seconds(pick(rng, 0, 0.5))
	sc.faults.restartInterval = seconds(pick(rng, 0, 0, 3))
	sc.faults.slowdown = seconds(pick(rng, 0, 0.2, 0.4))
	sc.faults.lateRuns = seconds(pick(rng, 0, 0.3, 1))
	if rng.Intn(2) == 0 { // ingresses wait for slow owners
		sc.pooler.HedgeAfter, sc.pooler.OwnerTimeout, sc.pooler.MaxWait = seconds(3), seconds(3), seconds(3)
	}
	burst := 0
	sc.arrivals = func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
		if burst--; burst > 0 {
			return 0, rng.Intn(sc.hosts)
		}
		if rng.Intn(int(sc.limit.PerSecond())+1) == 0 {
			burst = 2 * sc.limit.Burst
		}
		return time.Duration(rng.ExpFloat64() / sc.limit.PerSecond() * float64(time.Second)), rng.Intn(sc.hosts)
	}
	return sc
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func pick(rng *rand.Rand, values ...float64) float64 { return values[rng.Intn(len(values))] }

// In every time window, a customer gets at most its burst plus its rate times
// the window, although messages are lost, late and duplicated, hosts pause and
// restart, and shares move.
func TestRateHoldsUnderFaults(t *testing.T) {
	admitted := 0
	for seed := int64(1); seed <= randomRuns; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(faultyScenario(seed)).run()
			for _, violation := range s.violations() {
				t.Error(violation)
			}
			admitted += s.tally.admitted
		})
	}
	is.New(t).True(admitted > randomRuns*100) // enough admissions that the limit could be exceeded
}

// Each injected mistake exceeds the rate in some of the same runs, which shows
// that TestRateHoldsUnderFaults can detect it.
func TestRandomRunsCatchInjectedMistakes(t *testing.T) {
	cases := map[string]func(*scenario){
		"owner counts leases as returned before they expired": func(sc *scenario) {
			sc.mutateRequest = func(request *granter.Request) { request.Answered = 0 }
		},
		"owner expires leases early":                       func(sc *scenario) { sc.granter.Margin = -sc.granter.Lifetime },
		"new owner does not wait for leases of the former": func(sc *scenario) { sc.shorterTakeover = sc.granter.Lifetime + staleOwnership },
		"lifetime starts at the receipt of the answer": func(sc *scenario) {
			sc.mutateAnswer = func(answer *granter.Answer, age time.Duration) { answer.Lifetime += age }
		},
		"lease lifetime is longer at the ingress": func(sc *scenario) {
			sc.mutateAnswer = func(answer *granter.Answer, _ time.Duration) { answer.Lifetime += 500 * time.Millisecond }
		},
		"ingress takes all tokens that it requested, whatever was granted": func(sc *scenario) {
			wanted := map[uint64]int{}
			sc.mutateRequest = func(request *granter.Request) { wanted[request.Sequence] = request.Want }
			sc.mutateAnswer = func(answer *granter.Answer, _ time.Duration) {
				answer.Granted = max(answer.Granted, wanted[answer.Sequence])
			}
		},
		"use is reported before the request runs": func(sc *scenario) { sc.reportUseEarly = true },
		"use is reported as older than it is": func(sc *scenario) {
			sc.mutateRequest = func(request *granter.Request) {
				for i := range request.Reports {
					request.Reports[i].UsedAge += time.Second
				}
			}
		},
	}
	for name, mutate := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= randomRuns; seed++ {
				sc := faultyScenario(seed)
				mutate(&sc)
				if violations := newSimulation(sc).run().violations(); len(violations) > 0 {
					t.Logf("caught by seed %d: %v", seed, violations[0])
					return
				}
			}
			t.Errorf("not caught by any of %d seeds", randomRuns)
		})
	}
}
