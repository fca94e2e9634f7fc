// What the simulations share: regions of hosts with their provers of currency.

package measurer

import (
	"context"
	"math/rand/v2"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// runFullTime is the stop condition of a simulation that only its time limit ends.
func runFullTime() bool { return false }

// regionParameter is the number of hosts in a region.
var regionParameter = Parameter{"hosts", "hosts of the region", 2, 2700}

// regionSizes are the default sizes of regions.
var regionSizes = []Size{{"hosts": 27}, {"hosts": 135}, {"hosts": 675}}

// memberList returns a list of members with the names of some hosts.
func memberList(hosts int) prover.MemberList {
	names := make([]string, hosts)
	for i := range names {
		names[i] = hostName(i)
	}
	return prover.NewMemberList(1, names)
}

// newProvers returns the provers of a region's hosts, which start together at time 0
// with revision 1.
func newProvers(hosts, fanout int) []*prover.Prover {
	list := memberList(hosts)
	provers := make([]*prover.Prover, hosts)
	for i := range provers {
		provers[i] = prover.New(prover.Settings{
			Host: list.Names[i], Incarnation: 1<<60 + uint64(i), LeaseTimeout: prover.DefaultLeaseTimeout,
			ProofRequired: true, Fanout: fanout, Random: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		provers[i].SetMembers(0, list, false)
		provers[i].SetApplied(0, 1, 1)
	}
	return provers
}

// warmUp exchanges heartbeats for so many rounds that every host knows the liveness
// age of every other, and returns the time of the last round.
func warmUp(ctx context.Context, provers []*prover.Prover) (flow.Time, error) {
	const rounds, exchanges = 60, 3
	now := flow.Time(0)
	for range rounds {
		if err := ctx.Err(); err != nil {
			return now, err
		}
		now += heartbeatIntervalMillis
		for i, p := range provers {
			p.Prove(now, now, 1)
			for k := range exchanges {
				other := provers[(i*7+k*31+int(now)/heartbeatIntervalMillis+1)%len(provers)]
				if other != p {
					p.Observe(now+2, now, other.Answer(now+1))
				}
			}
		}
	}
	return now, nil
}
