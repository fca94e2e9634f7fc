// Package timekeeper keeps lower bounds of the clocks of other daemons, so that
// an ingress can say on the receiver's clock until when a permit holds.
//
// A clock that was read by the peer before its answer arrived has reached at
// least that time at the arrival. Rates of clocks are taken to be equal for as
// long as a bound is kept.
package timekeeper

import (
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// keep is how long a bound is used. Clocks that differ by 100 parts in a
// million drift apart by 6 ms in it.
const keep = time.Minute

type bound struct {
	incarnation uint64
	clock       flow.Time // of the peer ...
	receivedAt  flow.Time // ... at this time of the own clock, or later
}

// Timekeeper keeps the bounds. It is safe for use by many goroutines.
type Timekeeper struct {
	mu    sync.RWMutex
	peers map[string]bound
}

// New returns a Timekeeper that knows no peer.
func New() *Timekeeper {
	return &Timekeeper{peers: map[string]bound{}}
}

// Observe takes a clock reading that arrived from a host's process.
func (t *Timekeeper) Observe(now flow.Time, host string, incarnation uint64, clock flow.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.peers[host]
	fresh := bound{incarnation: incarnation, clock: clock, receivedAt: now}
	if ok && known.incarnation == incarnation && known.at(now) > clock && now.Sub(known.receivedAt) < keep {
		return
	}
	t.peers[host] = fresh
}

// Translate returns a time on the clock of a host that is certainly not later
// than the given time on the own clock, and the incarnation whose clock it is.
// It is false when nothing recent is known of the host.
func (t *Timekeeper) Translate(now flow.Time, host string, own flow.Time) (flow.Time, uint64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known, ok := t.peers[host]
	if !ok || now.Sub(known.receivedAt) >= keep {
		return 0, 0, false
	}
	return known.at(own), known.incarnation, true
}

// Retain forgets all hosts but those for which listed is true.
func (t *Timekeeper) Retain(listed func(host string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host := range t.peers {
		if !listed(host) {
			delete(t.peers, host)
		}
	}
}

// at returns the lower bound of the peer's clock at a time of the own clock.
func (b bound) at(own flow.Time) flow.Time {
	return b.clock + (own - b.receivedAt)
}
