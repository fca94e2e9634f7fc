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

const randomRuns = 80 // seeds 1 to randomRuns

// faulty is a run in which everything goes wrong often.
func faulty(seed int64) plan {
	rng := rand.New(rand.NewSource(seed))
	p := plan{
		seed:    seed,
		hosts:   3 + rng.Intn(6),
		limit:   granter.Limit{MicrotokensPerSecond: 1e6 * (5 + rng.Int63n(400)), Burst: 1 + rng.Intn(100)},
		shares:  1 << rng.Intn(4),
		granter: granter.DefaultSettings(),
		drawer:  drawer.DefaultSettings(),
		faults:  faults{latest: 1500 * time.Millisecond},
		length:  10 * time.Second,
	}
	p.granter.Lifetime = time.Duration(200+rng.Intn(1000)) * time.Millisecond
	// Each run has some of the faults only: together they leave so much unused
	// that no mistake would show.
	p.faults.loss = pick(rng, 0, 0, 0.01, 0.1)
	p.faults.repeat = pick(rng, 0, 0.1)
	p.faults.late = pick(rng, 0, 0, 0.01, 0.1)
	p.faults.pause = pick(rng, 0, 0, 0.0001, 0.001)
	p.faults.moves = seconds(pick(rng, 0, 0.5))
	p.faults.restarts = seconds(pick(rng, 0, 0, 3))
	p.faults.slow = seconds(pick(rng, 0, 0.2, 0.4))
	p.faults.hold = seconds(pick(rng, 0, 0.3, 1))
	if rng.Intn(2) == 0 { // an ingress that waits for slow owners
		p.drawer.HedgeAfter, p.drawer.OwnerTimeout, p.drawer.MaxWait = seconds(3), seconds(3), seconds(3)
	}
	burst := 0
	p.arrivals = func(rng *rand.Rand, _ time.Duration) (time.Duration, int) {
		if burst--; burst > 0 {
			return 0, rng.Intn(p.hosts)
		}
		if rng.Intn(int(p.limit.PerSecond())+1) == 0 {
			burst = 2 * p.limit.Burst
		}
		return time.Duration(rng.ExpFloat64() / p.limit.PerSecond() * float64(time.Second)), rng.Intn(p.hosts)
	}
	return p
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func pick(rng *rand.Rand, values ...float64) float64 { return values[rng.Intn(len(values))] }

// No window holds more than burst plus rate times its length, whatever is
// lost, late, repeated, paused or moved.
func TestRateHoldsUnderFaults(t *testing.T) {
	admitted := 0
	for seed := int64(1); seed <= randomRuns; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(faulty(seed)).run()
			for _, violation := range w.violations() {
				t.Error(violation)
			}
			admitted += w.tally.admitted
		})
	}
	is.New(t).True(admitted > randomRuns*100) // the runs admit enough to break the promise
}

// Each mistake breaks the promise in the same runs, so these would show it.
func TestRandomRunsCatchMistakes(t *testing.T) {
	cases := map[string]func(*plan){
		"owner counts leases as returned before they ran out": func(p *plan) {
			p.mutateAsk = func(request *granter.Request) { request.Answered = 0 }
		},
		"owner forgets leases early": func(p *plan) { p.granter.Margin = -p.granter.Lifetime },
		"new owner does not wait":    func(p *plan) { p.sinceCut = p.granter.Lifetime + actingLease },
		"lifetime counts from the receipt": func(p *plan) {
			p.mutate = func(answer *granter.Answer, age time.Duration) { answer.Lifetime += age }
		},
		"lifetime on the asker is longer": func(p *plan) {
			p.mutate = func(answer *granter.Answer, _ time.Duration) { answer.Lifetime += 500 * time.Millisecond }
		},
		"asker takes what it asked for ahead and did not get": func(p *plan) {
			ahead := map[uint64]int{}
			p.mutateAsk = func(request *granter.Request) { ahead[request.Sequence] = request.Want }
			p.mutate = func(answer *granter.Answer, _ time.Duration) {
				answer.Granted = max(answer.Granted, ahead[answer.Sequence])
			}
		},
		"use is reported before the run": func(p *plan) { p.spendSoon = true },
		"use is reported as older than it is": func(p *plan) {
			p.mutateAsk = func(request *granter.Request) {
				for i := range request.Reports {
					request.Reports[i].UsedAge += time.Second
				}
			}
		},
	}
	for name, mutate := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= randomRuns; seed++ {
				p := faulty(seed)
				mutate(&p)
				if violations := newWorld(p).run().violations(); len(violations) > 0 {
					t.Logf("caught by seed %d: %v", seed, violations[0])
					return
				}
			}
			t.Errorf("not caught by any of %d seeds", randomRuns)
		})
	}
}
