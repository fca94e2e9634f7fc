// Duty decides which daemons hold a watch at the platform.

package reader

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// fleetUnknown is the number of daemons that a daemon reckons with while it
	// knows no list of hosts.
	fleetUnknown = 2700
	// startBurst is how many times its budget of calls the fleet may use for a
	// moment when nobody knows any list of hosts.
	startBurst = 10
	// eagerShare is of how many daemons one reads page after page at once.
	eagerShare = 100
	// patience is how long a daemon without a young proof waits for its peers
	// before it reads from the platform itself.
	patience = time.Second
)

// View is what a daemon knows when it decides whether to read.
type View struct {
	Self      string
	Zone      string
	Hosts     []string               // live hosts of the own availability zone
	Reachable func(host string) bool // whether a host was proved alive of late
	Applied   flow.Revision
	Proven    bool // whether there is a young proof that the configuration is current
}

// Duty is the reading duty of one daemon. The caller must lock it.
type Duty struct {
	readers        int
	callsPerSecond int
	random         *rand.Rand
	eager          bool
	lonelyAt       flow.Time // when to read without being on duty; flow.Never when not planned
}

// NewDuty returns the duty of a daemon in a fleet with a number of readers in
// each availability zone, in which daemons that are not on duty together make
// at most callsPerSecond calls.
func NewDuty(readersPerZone, callsPerSecond int, random *rand.Rand) *Duty {
	return &Duty{
		readers:        readersPerZone,
		callsPerSecond: callsPerSecond,
		random:         random,
		eager:          random.IntN(eagerShare) == 0,
		lonelyAt:       flow.Never,
	}
}

// Watches reports whether the daemon is one of the readers of its zone.
func (d *Duty) Watches(view View) bool {
	thing := "reader/" + view.Zone
	var reachable []string
	for _, host := range view.Hosts {
		if host == view.Self || view.Reachable(host) {
			reachable = append(reachable, host)
		}
	}
	for _, host := range ranker.New(reachable).Ranked(thing, d.readers) {
		if host == view.Self {
			return true
		}
	}
	return false
}

// ReadsAlone reports whether a daemon that is not on duty should read now,
// because it hears of no configuration from its peers. The fleet is the number
// of hosts that it knows. It reports true once for each read that is due.
func (d *Duty) ReadsAlone(now flow.Time, view View, fleet int) bool {
	if view.Proven {
		d.lonelyAt = flow.Never
		return false
	}
	if d.lonelyAt == flow.Never {
		d.lonelyAt = now.Add(d.delay(fleet))
		return false
	}
	if now.Before(d.lonelyAt) {
		return false
	}
	d.lonelyAt = now.Add(d.startWindow() + d.delay(fleet))
	return true
}

// PageFollows plans the next read after a page that others follow. Few daemons
// of a large fleet read on at once; the rest leave their peers time to get ahead
// of them.
func (d *Duty) PageFollows(now flow.Time) {
	if d.eager {
		d.lonelyAt = now
		return
	}
	d.lonelyAt = now.Add(d.upTo(d.startWindow()))
}

// delay is the wait before a read that nobody else seems to make. Random parts
// keep a fleet of daemons, all reading alone, below the budget of calls.
func (d *Duty) delay(fleet int) time.Duration {
	if fleet == 0 {
		return d.upTo(d.startWindow())
	}
	window := time.Duration(fleet) * time.Second / time.Duration(d.callsPerSecond)
	return patience + d.upTo(max(window, time.Second))
}

// startWindow is the time over which daemons that know no hosts spread a read.
func (d *Duty) startWindow() time.Duration {
	return fleetUnknown * time.Second / time.Duration(startBurst*d.callsPerSecond)
}

func (d *Duty) upTo(most time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(most)))
}
