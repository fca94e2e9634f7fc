package prover_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// fleetOf returns the provers of n hosts that know of no fault, with proofs of
// each other, without the cost of a first start in which all meet all.
func fleetOf(n, fanout int) []*prover.Prover {
	list := prover.NewMemberList(1, hostNames(n))
	fleet := make([]*prover.Prover, n)
	for i := range fleet {
		fleet[i] = prover.New(prover.Settings{
			Host: list.Names[i], Incarnation: 1, Started: -10 * second, LeaseTime: prover.DefaultLeaseTime,
			Fanout: fanout, Random: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		fleet[i].SetMembers(0, list)
		fleet[i].SetApplied(0, 1, 1)
	}
	return fleet
}

// TestAgeOfTheQuorumProof measures the exchange alone: how old the oldest
// proof is on which the lease rests, and what the exchange costs.
func TestAgeOfTheQuorumProof(t *testing.T) {
	cases := map[string]struct {
		hosts, fanout int
		dead          int     // hosts that never answer, after the first start
		lost          float64 // share of exchanges lost
		below         time.Duration
	}{
		"27 hosts, 3 peers":  {hosts: 27, fanout: 3, below: time.Second},
		"675 hosts, 2 peers": {hosts: 675, fanout: 2, below: 2 * time.Second},
		"675 hosts, 3 peers": {hosts: 675, fanout: 3, below: 1500 * time.Millisecond},
		"675 hosts, 3 peers, a third dead, 30% exchanges lost": {hosts: 675, fanout: 3, dead: 225, lost: 0.3, below: prover.DefaultLeaseTime},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ages, bytesPerSecond := measureExchange(t, tc.hosts, tc.fanout, tc.dead, tc.lost)
			slices.Sort(ages)
			p999 := ages[len(ages)*999/1000]
			t.Logf("age of the quorum proof: p50 %v, p99.9 %v, worst %v; %.1f KB/s in and out for each host; %d samples",
				ages[len(ages)/2], p999, ages[len(ages)-1], bytesPerSecond/1000, len(ages))
			is.True(p999 < tc.below)
		})
	}
}

const (
	measureWarmUp = 20 // rounds
	measureRounds = 20
)

// measureExchange returns samples of the age of the oldest needed proof, taken
// just before each host's own round, and the bytes that a host sends and
// receives a second, encoded but without framing.
func measureExchange(t *testing.T, hosts, fanout, dead int, lost float64) ([]time.Duration, float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(hosts), uint64(fanout)))
	fleet := fleetOf(hosts, fanout)
	phases := random.Perm(hosts)
	byName := map[string]int{}
	for i, name := range hostNames(hosts) {
		byName[name] = i
	}
	isDead := func(i, round int) bool { return round >= measureWarmUp/2 && i%3 == 0 && i/3 < dead }
	var ages []time.Duration
	exchanges, encoded := 0, 0
	for round := range measureWarmUp + measureRounds {
		for turn := range hosts {
			i := phases[turn]
			if isDead(i, round) {
				continue
			}
			now := flow.Time(round*250 + turn*250/hosts)
			status := fleet[i].Status(now)
			if round >= measureWarmUp {
				// The lease ends a lease time after the oldest needed proof.
				ages = append(ages, now.Sub(status.LeaseUntil)+prover.DefaultLeaseTime)
				if !status.Acting {
					ages[len(ages)-1] = 2 * prover.DefaultLeaseTime
				}
			}
			for _, target := range fleet[i].Targets(now) {
				j := byName[target]
				if isDead(j, round) || random.Float64() < lost {
					continue
				}
				request := fleet[i].Request(now)
				answer := fleet[j].Answer(now+1, request)
				fleet[i].Observe(now+2, now, answer)
				exchanges++
				if round >= measureWarmUp && exchanges%100 == 0 {
					encoded += encodedSize(t, request) + encodedSize(t, answer)
				}
			}
		}
	}
	sampled := float64(exchanges) * measureRounds / (measureWarmUp + measureRounds) / 100
	perExchange := float64(encoded) / sampled
	perSecond := 2 * float64(fanout) * float64(time.Second/prover.DefaultInterval)
	return ages, perExchange * perSecond
}

func encodedSize(t *testing.T, message any) int {
	t.Helper()
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// -----------------------------------------------------------------------------

func benchmarkPair(n int) (a, b *prover.Prover, now flow.Time) {
	fleet := fleetOf(n, 3)
	now = flow.Time(0)
	for range 12 {
		now += 250
		for i, p := range fleet {
			p.Status(now)
			for k := range 3 {
				exchange(now, p, fleet[(i*7+k*31+int(now))%n], 1)
			}
		}
	}
	return fleet[0], fleet[1], now
}

func BenchmarkAnswer(b *testing.B) {
	for name, n := range map[string]int{"27": 27, "675": 675} {
		b.Run(name, func(b *testing.B) {
			asker, answerer, now := benchmarkPair(n)
			request := asker.Request(now)
			b.ReportAllocs()
			for b.Loop() {
				answerer.Answer(now, request)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	for name, n := range map[string]int{"27": 27, "675": 675} {
		b.Run(name, func(b *testing.B) {
			asker, answerer, now := benchmarkPair(n)
			answer := answerer.Answer(now, asker.Request(now))
			b.ReportAllocs()
			for b.Loop() {
				now++ // every proof is newer than the one before
				asker.Observe(now+1, now, answer)
			}
		})
	}
}

func BenchmarkStatus(b *testing.B) {
	for name, n := range map[string]int{"27": 27, "675": 675} {
		b.Run(name, func(b *testing.B) {
			p, _, now := benchmarkPair(n)
			b.ReportAllocs()
			for b.Loop() {
				p.Status(now)
			}
		})
	}
}
