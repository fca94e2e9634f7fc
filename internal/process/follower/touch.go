// Whether a daemon is in touch, so that it may act as the owner of a resource.

package follower

import (
	"context"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// inquiryInterval is the time between two rounds of inquiries.
	inquiryInterval = 500 * time.Millisecond
	// inquiryAge is the proof age from which the other zones are asked. A follower's proof
	// normally stays below it.
	inquiryAge = staleAge
	// inquiryDemand is how long after a call of InTouch inquiries go on.
	inquiryDemand = 2 * time.Second
)

// InTouch reports whether no other daemon can have a newer list of hosts without this one
// knowing it, for at most flow.OwnerLease: the platform has answered this daemon or one
// that it heard from, or, while the platform answers none of them, hosts of zones with
// more than half of all hosts have.
func (f *Follower) InTouch() bool {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.touchWanted = now
	return f.state.Age(now) <= flow.OwnerLease || f.hearsMost(now)
}

// hearsMost reports whether hosts of zones with more than half of all hosts have answered
// recently. Each answer brings the newest proof that its sender knows, so that none of
// them has a newer one. The caller must hold the lock.
func (f *Follower) hearsMost(now flow.Time) bool {
	catalog := f.Catalog()
	sizes := map[string]int{}
	for _, host := range catalog.Hosts() {
		sizes[catalog.ZoneOf(host)]++
	}
	heard, most := 0, 0
	for zone, size := range sizes {
		at, ok := f.heardFrom[zone]
		if ok && now.Sub(at) <= flow.OwnerLease || zone == f.Zone && size == 1 {
			heard += size
		}
		most += size
	}
	return 2*heard > most
}

// noteHeard records that a host answered a request that was sent at a time.
func (f *Follower) noteHeard(host string, sentAt flow.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if zone := f.Catalog().ZoneOf(host); zone != "" {
		f.heardFrom[zone] = sentAt
	}
}

// keepInTouch asks the other zones while the platform does not answer.
func (f *Follower) keepInTouch(ctx context.Context) {
	for flow.Sleep(ctx, inquiryInterval) {
		now := f.Clock.Now()
		f.mu.Lock()
		ask := f.state.InGrace(now) || f.state.Age(now) > inquiryAge && now.Sub(f.touchWanted) <= inquiryDemand
		f.mu.Unlock()
		if ask {
			f.inquire(ctx)
		}
	}
}

// inquire asks one host of each zone what it knows. If the platform answered one of them
// while it answered no host of this zone, the answer says so: this zone was cut off, and
// the entries that were deleted meanwhile have not lapsed.
func (f *Follower) inquire(ctx context.Context) {
	catalog := f.Catalog()
	byZone := map[string][]string{}
	for _, host := range catalog.Hosts() {
		if host != f.Host {
			byZone[catalog.ZoneOf(host)] = append(byZone[catalog.ZoneOf(host)], host)
		}
	}
	request := FetchRequest{After: f.revision()}
	for zone, hosts := range byZone {
		f.mu.Lock()
		index := f.inquired[zone]
		f.mu.Unlock()
		peer := hosts[index%len(hosts)]
		f.transfers.Go(func() {
			defer recoverer.Recover(f.Log, "follow", func() {})
			sentAt := f.Clock.Now()
			answer, err := f.call(ctx, peer, request, peerAnswerMargin)
			if err != nil {
				f.mu.Lock()
				f.inquired[zone] = index + 1 // the next host of the zone
				f.mu.Unlock()
				return
			}
			answer.Update.Age += min(f.Clock.Now().Sub(sentAt), peerAnswerMargin)
			f.apply(ctx, peer, answer.Update, 0)
		})
	}
}
