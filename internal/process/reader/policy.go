// The policy that decides which daemons watch or read the platform.

package reader

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// assumedFleet is the number of daemons that a daemon assumes while it knows no
	// member list.
	assumedFleet = 2700
	// startBurstFactor is by how much the fleet may exceed its budget of calls for a
	// short time while no daemon knows a member list.
	startBurstFactor = 10
	// eagerOneIn gives the share of daemons, one in eagerOneIn on average, that read
	// page after page without a delay.
	eagerOneIn = 100
	// peerPatience is how long a daemon without a valid proof waits for its peers
	// before it reads from the platform itself.
	peerPatience = time.Second
)

// View is what a daemon knows when it decides whether to read.
type View struct {
	Self      string
	Zone      string
	Hosts     []string               // live hosts of the daemon's availability zone
	Reachable func(host string) bool // whether there is a recent liveness proof of a host
	Applied   flow.Revision
	Proven    bool // whether there is a valid proof that the configuration is current
}

// Policy decides when one daemon watches or reads the platform. It is not safe for
// concurrent use; the caller must hold a lock.
type Policy struct {
	readers        int
	callsPerSecond int
	random         *rand.Rand
	eager          bool
	readAt         flow.Time // time of the next read by a daemon that does not watch; flow.Never when none is scheduled
}

// NewPolicy returns the policy of a daemon in a fleet with readersPerZone watching
// daemons in each availability zone. All other daemons together make at most
// callsPerSecond calls a second.
func NewPolicy(readersPerZone, callsPerSecond int, random *rand.Rand) *Policy {
	return &Policy{
		readers:        readersPerZone,
		callsPerSecond: callsPerSecond,
		random:         random,
		eager:          random.IntN(eagerOneIn) == 0,
		readAt:         flow.Never,
	}
}

// ShouldWatch reports whether the daemon is one of the watching daemons of its zone.
func (p *Policy) ShouldWatch(view View) bool {
	resource := "reader/" + view.Zone
	var reachable []string
	for _, host := range view.Hosts {
		if host == view.Self || view.Reachable(host) {
			reachable = append(reachable, host)
		}
	}
	for _, host := range ranker.New(reachable).Ranked(resource, p.readers) {
		if host == view.Self {
			return true
		}
	}
	return false
}

// ShouldRead reports whether a daemon should read now because it receives no valid
// proof from its peers. Fleet is the number of hosts that it knows. ShouldRead is
// true once for each read that is due.
func (p *Policy) ShouldRead(now flow.Time, view View, fleet int) bool {
	if view.Proven {
		p.readAt = flow.Never
		return false
	}
	if p.readAt == flow.Never {
		p.readAt = now.Add(p.readDelay(fleet))
		return false
	}
	if now.Before(p.readAt) {
		return false
	}
	p.readAt = now.Add(p.startWindow() + p.readDelay(fleet))
	return true
}

// ScheduleNextPage schedules the next read after a page that is not the last. A few
// daemons of a large fleet read on at once; the others leave their peers time to get
// ahead of them.
func (p *Policy) ScheduleNextPage(now flow.Time) {
	if p.eager {
		p.readAt = now
		return
	}
	p.readAt = now.Add(p.randomUpTo(p.startWindow()))
}

// readDelay returns the delay before a daemon reads for itself. Its random part
// keeps the calls of a fleet in which every daemon reads for itself below the
// budget.
func (p *Policy) readDelay(fleet int) time.Duration {
	if fleet == 0 {
		return p.randomUpTo(p.startWindow())
	}
	window := time.Duration(fleet) * time.Second / time.Duration(p.callsPerSecond)
	return peerPatience + p.randomUpTo(max(window, time.Second))
}

// startWindow returns the time over which daemons that know no hosts spread their
// reads.
func (p *Policy) startWindow() time.Duration {
	return assumedFleet * time.Second / time.Duration(startBurstFactor*p.callsPerSecond)
}

func (p *Policy) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}
