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

// fleetCase is a region whose exchange is measured.
type fleetCase struct {
	hosts, fanout int
	dead          int     // hosts that never answer, after the first start
	lost          float64 // share of exchanges lost
}

var fleetCases = map[string]fleetCase{
	"27 hosts, 3 peers":  {hosts: 27, fanout: 3},
	"675 hosts, 2 peers": {hosts: 675, fanout: 2},
	"675 hosts, 3 peers": {hosts: 675, fanout: 3},
	"675 hosts, 3 peers, a third dead, 30% of exchanges lost": {hosts: 675, fanout: 3, dead: 225, lost: 0.3},
}

func TestLeaseHoldsWithAThirdOfTheHostsDeadAndLostExchanges(t *testing.T) {
	is := is.New(t)
	measured := measureExchange(t, fleetCases["675 hosts, 3 peers, a third dead, 30% of exchanges lost"], 6)
	is.True(measured.age(0.999) < prover.DefaultLeaseTime)
}

// BenchmarkAgeOfTheQuorumProof measures the exchange alone: how old the oldest
// proof is on which the lease rests, and what the exchange costs.
func BenchmarkAgeOfTheQuorumProof(b *testing.B) {
	for name, region := range fleetCases {
		b.Run(name, func(b *testing.B) {
			var measured measurement
			for b.Loop() {
				measured = measureExchange(b, region, 40)
			}
			b.ReportMetric(measured.age(0.5).Seconds(), "s-p50")
			b.ReportMetric(measured.age(0.999).Seconds(), "s-p99.9")
			b.ReportMetric(measured.age(1).Seconds(), "s-worst")
			b.ReportMetric(measured.bytesPerSecond, "B/s-each-host")
		})
	}
}

// measurement holds the samples of the age of the oldest needed proof, sorted,
// and the bytes that a host sends and receives a second when no exchange is
// lost, encoded but without framing.
type measurement struct {
	ages           []time.Duration
	bytesPerSecond float64
}

func (m measurement) age(quantile float64) time.Duration {
	return m.ages[min(int(float64(len(m.ages))*quantile), len(m.ages)-1)]
}

const (
	dyingRound    = 8                                                                // from when hosts are dead
	measuredRound = dyingRound + int(prover.DefaultLeaseTime/prover.DefaultInterval) // from when the age is measured
)

// measureExchange lets every host ask its targets in each round, at its own
// moment of the round. A sample is taken just before a host asks.
func measureExchange(t testing.TB, region fleetCase, rounds int) measurement {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(region.hosts), uint64(region.fanout)))
	fleet := fleetOf(region.hosts, region.fanout)
	order := random.Perm(region.hosts)
	byName := map[string]int{}
	for i, name := range hostNames(region.hosts) {
		byName[name] = i
	}
	isDead := func(i, round int) bool { return round >= dyingRound && i%3 == 0 && i/3 < region.dead }
	measured := measurement{}
	for round := range measuredRound + rounds {
		for turn, i := range order {
			if isDead(i, round) {
				continue
			}
			now := flow.Time(round*250 + turn*250/region.hosts)
			if status := fleet[i].Status(now); round >= measuredRound {
				age := 2 * prover.DefaultLeaseTime
				if status.Acting { // the lease ends a lease time after the oldest needed proof
					age = now.Sub(status.LeaseUntil) + prover.DefaultLeaseTime
				}
				measured.ages = append(measured.ages, age)
			}
			for _, target := range fleet[i].Targets(now) {
				j := byName[target]
				if !isDead(j, round) && random.Float64() >= region.lost {
					exchange(now, fleet[i], fleet[j], 2)
				}
			}
		}
	}
	slices.Sort(measured.ages)
	request := fleet[1].Request(0)
	size := encodedSize(t, request) + encodedSize(t, fleet[2].Answer(flow.Time(measuredRound*250), request))
	perSecond := 2 * region.fanout * int(time.Second/prover.DefaultInterval)
	measured.bytesPerSecond = float64(size * perSecond)
	return measured
}

func encodedSize(t testing.TB, message any) int {
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
