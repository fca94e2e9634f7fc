// Package timekeeper keeps a lower bound of each other daemon's clock, so that an
// ingress can state on the receiver's clock until when a permit is valid.
//
// A peer reads its clock before it sends its response. When the response arrives, the
// peer's clock has therefore reached at least the time that was read. All clocks are
// assumed to run at the same rate for as long as a bound is kept.
package timekeeper

import (
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// boundTTL is how long a bound is used. Clocks whose rates differ by 100 parts per
// million drift apart by 6 ms in that time.
const boundTTL = time.Minute

// clockBound is a lower bound of a peer's clock.
type clockBound struct {
	incarnation uint64
	peerTime    flow.Time // reading of the peer's clock
	localTime   flow.Time // local time when the reading arrived
}

// Timekeeper keeps the bounds. It is safe for concurrent use.
type Timekeeper struct {
	mu    sync.RWMutex
	peers map[string]clockBound
}

// New returns a Timekeeper without any bounds.
func New() *Timekeeper {
	return &Timekeeper{peers: map[string]clockBound{}}
}

// Observe records a clock reading that has just arrived from a process of a host. It is
// ignored if a bound that is still in use for the same process is tighter.
func (t *Timekeeper) Observe(now flow.Time, host string, incarnation uint64, clock flow.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.peers[host]
	latest := clockBound{incarnation: incarnation, peerTime: clock, localTime: now}
	if ok && known.incarnation == incarnation && known.at(now) > clock && now.Sub(known.localTime) < boundTTL {
		return
	}
	t.peers[host] = latest
}

// Translate returns a time on the clock of a host that is certainly not later than the
// given local time, and the incarnation of the process whose clock it is. It returns
// false if the host has no bound that is still in use.
func (t *Timekeeper) Translate(now flow.Time, host string, local flow.Time) (flow.Time, uint64, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known, ok := t.peers[host]
	if !ok || now.Sub(known.localTime) >= boundTTL {
		return 0, 0, false
	}
	return known.at(local), known.incarnation, true
}

// Retain removes the bounds of all hosts for which listed is false.
func (t *Timekeeper) Retain(listed func(host string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host := range t.peers {
		if !listed(host) {
			delete(t.peers, host)
		}
	}
}

// at returns the lower bound of the peer's clock at a local time.
func (b clockBound) at(local flow.Time) flow.Time {
	return b.peerTime + (local - b.localTime)
}
