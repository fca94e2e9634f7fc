// Whether a daemon is in touch, so that it may act as the owner of a resource.

package follower

import (
	"context"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// inquiryInterval is the time between two rounds of inquiries.
	inquiryInterval = 500 * time.Millisecond
	// inquiryAge is the proof age from which the other zones are asked. A follower's proof
	// normally stays below it.
	inquiryAge = staleAge
	// zoneInterval is the time between two looks for zones to ask while this daemon reads
	// for its own.
	zoneInterval = 100 * time.Millisecond
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
		ask := f.state.InGrace(now) || f.state.Age(now) > inquiryAge && now.Sub(f.touchWanted) <= inquiryDemand ||
			f.turn && f.state.Keeps(now)
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
	for zone, hosts := range f.otherHosts() {
		peer, index := f.hostToInquire(zone, hosts)
		f.background.Go(func() {
			defer recoverer.Recover(f.Log, "follow", func() {})
			f.inquireOf(ctx, zone, peer, index, f.newFetchRequest(0, false))
		})
	}
}

// otherHosts returns all hosts but this one by zone, in the order in which they read the
// platform.
func (f *Follower) otherHosts() map[string][]string {
	catalog := f.Catalog()
	byZone := map[string][]string{}
	for _, host := range catalog.Hosts() {
		if host != f.Host {
			byZone[catalog.ZoneOf(host)] = append(byZone[catalog.ZoneOf(host)], host)
		}
	}
	for zone, hosts := range byZone {
		byZone[zone] = ranker.New(hosts).Ranked(readerResource, len(hosts))
	}
	return byZone
}

// hostToInquire returns the first host of a zone that has not failed to answer since all have,
// and its index, which grows with each failure.
func (f *Follower) hostToInquire(zone string, hosts []string) (host string, index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	index = f.inquired[zone]
	return hosts[index%len(hosts)], index
}

// inquireOf asks a host of a zone what it knows. A configuration that it announces is
// requested if the requester waits for it, if it has not come from elsewhere in time, or if
// the platform may have lost it in a restore.
func (f *Follower) inquireOf(ctx context.Context, zone, peer string, index int, request FetchRequest) {
	sentAt := f.Clock.Now()
	within := time.Duration(request.WaitMs)*time.Millisecond + peerAnswerMargin
	answer, err := f.call(ctx, peer, request, within)
	if err == nil && answer.Large {
		if f.keepsRestrictions() || zone != f.Zone && (request.Waiting || f.awaitsAnnounced()) {
			_, err = f.transfer(ctx, peer, request)
		}
	} else if err == nil {
		f.apply(ctx, peer, answer.Update, 0)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	f.knowledgeLog().Info("peer did not answer the fetch", "step", "inquire", "peer", peer, "cause", err.Error(), "waited-ms", f.sinceMs(sentAt))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inquired[zone] = index + 1
}

// awaitsAnnounced records that a configuration was announced, and reports whether it should
// have come from the source of this daemon by now.
func (f *Follower) awaitsAnnounced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.announcedAt == flow.Never {
		f.announcedAt = now
	}
	return now.Sub(f.announcedAt) > transferPatience
}

// readOtherZones waits for the news of one host of each other zone, while this daemon is to
// read the platform for its own zone and the platform does not answer it.
func (f *Follower) readOtherZones(ctx context.Context) {
	for flow.Sleep(ctx, zoneInterval) {
		if !f.readsForZone() {
			continue
		}
		for zone, hosts := range f.otherHosts() {
			if zone == f.Zone || !f.beginAsking(zone) {
				continue
			}
			peer, index := f.hostToInquire(zone, hosts)
			f.background.Go(func() {
				defer f.endAsking(zone)
				defer recoverer.Recover(f.Log, "follow", func() {})
				f.inquireOf(ctx, zone, peer, index, f.newFetchRequest(peerWatchWait, true))
			})
		}
	}
}

// readsForZone reports whether this daemon is the first of its zone that is to read the
// platform, and the platform does not answer it.
func (f *Follower) readsForZone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turn && f.rank == 0 && f.reading == readingLost
}

// beginAsking reports whether a zone may be asked: no answer of it is awaited.
func (f *Follower) beginAsking(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asking[zone] {
		return false
	}
	f.asking[zone] = true
	return true
}

func (f *Follower) endAsking(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.asking, zone)
}
