// The configuration: reading it from the platform, merging it, and applying it on
// this host.

package controller

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// readTimeout bounds one read or watch of the platform.
	readTimeout = reader.WatchTimeout + 10*time.Second
	// watchesPerLease is the number of watches of the platform that fit into
	// the greatest allowed age of a proof.
	watchesPerLease = 6
	// watchRetryDelay is the minimum delay after a failed watch; a random delay
	// of up to the same length is added.
	watchRetryDelay = time.Second
)

var errStopped = errors.New("the daemon has stopped")

// startReads starts the reads of the platform that are due.
func (c *Controller) startReads(now flow.Time) {
	view := reader.View{
		Self:      c.Settings.Host,
		Zone:      c.Settings.AvailabilityZone,
		Hosts:     c.hostsInOwnZone(),
		Reachable: func(host string) bool { return c.provedAlive(now, host) },
		Applied:   c.merger.Applied(),
		Proven:    c.prover.Proven(now),
	}
	if c.readPolicy.ShouldWatch(view) && !c.watching && !c.stopping {
		c.watching = true
		c.startWatch()
	}
	if c.readPolicy.ShouldRead(now, view, len(c.index.HostsOfRegion(c.Settings.Region))) && !c.reading {
		c.reading = true
		c.startRead()
	}
}

func (c *Controller) hostsInOwnZone() []string {
	var hosts []string
	for _, name := range c.index.HostsOfRegion(c.Settings.Region) {
		if host, ok := c.index.Host(name); ok && host.AvailabilityZone == c.Settings.AvailabilityZone {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// provedAlive reports whether the newest proof that a host is alive is within
// the lease timeout.
func (c *Controller) provedAlive(now flow.Time, host string) bool {
	age, ok := c.prover.LivenessAge(now, host)
	return ok && age <= c.Settings.Lease.Timeout
}

// startWatch starts a watch that ends with the next change at the platform. Its
// result starts the next watch if the daemon still is a reader; after a failed
// watch, the next tick does.
func (c *Controller) startWatch() {
	after := c.merger.NextRequest().From
	pause := watchRetryDelay + time.Duration(c.Random.Int64N(int64(watchRetryDelay)))
	c.startCall(readTimeout, func(ctx context.Context) {
		sentAt := c.Clock.Now()
		page, err := c.Reader.Watch(ctx, after, c.watchDuration())
		if err != nil {
			c.logReadError(err)
			flow.Sleep(c.ctx, pause)
		}
		c.enqueue(c.ctx, func() {
			c.watching = false
			if err != nil {
				return
			}
			c.mergePage(sentAt, after, page)
			c.startReads(c.Clock.Now())
		})
	})
}

// startRead starts one read of the next page of changes, without watching. When
// more pages follow, it schedules the next read.
func (c *Controller) startRead() {
	after := c.merger.NextRequest().From
	c.startCall(readTimeout, func(ctx context.Context) {
		sentAt := c.Clock.Now()
		page, err := c.Reader.Read(ctx, after)
		if err != nil {
			c.logReadError(err)
		}
		c.enqueue(c.ctx, func() {
			c.reading = false
			if err != nil {
				return
			}
			c.mergePage(sentAt, after, page)
			if page.More {
				c.readPolicy.ScheduleNextPage(c.Clock.Now())
			}
		})
	})
}

func (c *Controller) logReadError(err error) {
	if c.ctx.Err() == nil {
		c.Log.Error(err, "the platform could not be read", "step", "read-platform")
	}
}

// watchDuration returns how long a watch of the platform waits. A watch that
// ends proves that nothing has changed, so it must end well before the greatest
// allowed age of a proof.
func (c *Controller) watchDuration() time.Duration {
	return min(c.Settings.Lease.Timeout/watchesPerLease, reader.WatchTimeout)
}

// mergePage merges a page of the platform whose request was sent at sentAt.
func (c *Controller) mergePage(sentAt flow.Time, after flow.Revision, page reader.Page) {
	now := c.Clock.Now()
	delta := merger.WatchDelta(after, page.Revision, page.Records)
	if page.More {
		delta.Last = false
		delta.Cursor = page.Last()
	}
	c.merge(now, delta)
	if !page.More {
		c.prover.Prove(now, sentAt, page.Revision)
	}
	c.publish(now)
}

// merge merges a delta and applies its changes.
func (c *Controller) merge(now flow.Time, delta merger.Delta) {
	before := c.merger.Applied()
	changes := c.merger.Merge(now, delta)
	applied := c.merger.Applied()
	if len(changes) == 0 && applied == before {
		return
	}
	old := c.index
	c.index = c.index.Apply(changes, applied)
	c.hostChanges.record(changes)
	c.updateRates(now, old, changes)
	if applied == before {
		return
	}
	if c.firstRevision == 0 {
		c.firstRevision = applied
	}
	c.Log.V(1).Info("configuration applied", "revision", applied, "changes", len(changes))
	c.recordPeerAddresses()
	members := c.index.MemberList(c.Settings.Region)
	c.prover.SetMembers(now, prover.NewMemberList(members.Revision, members.Names), c.hostChanges.finish(members))
	c.prover.SetApplied(now, applied, c.merger.Highest())
	c.placer.Update(now, c.prover.Versions())
	c.handOverMoved(now)
	c.updateSenders(now)
	c.dropOutdatedEjections(now)
	c.updateAllGates(now)
	c.updateZoneState(now)
}

// updateSenders gives every backend server of this host a sender, and tells the
// admission gates which servers accept new requests.
func (c *Controller) updateSenders(now flow.Time) {
	c.replacementPending = false
	senders := make(map[string]*sender.Sender, len(c.senders))
	for _, entry := range c.index.ServersOfHost(c.Settings.Host) {
		s := c.senderFor(entry)
		if s == nil {
			continue
		}
		senders[entry.Server.Name] = s
		c.updateGate(now, s, entry)
	}
	for name, s := range c.senders {
		if _, kept := senders[name]; !kept {
			s.Close()
		}
	}
	c.senders = senders
}

// senderFor returns the sender of a backend server. When more of the record
// than its state has changed, the sender is replaced, but only after all
// requests under the old record have ended: two gates at once would admit too
// many requests.
func (c *Controller) senderFor(entry indexer.ServerEntry) *sender.Sender {
	old := c.senders[entry.Server.Name]
	if old != nil && (old.Server() == *entry.Server || old.Update(*entry.Server)) {
		return old
	}
	if old != nil && !old.Idle() {
		c.replacementPending = true
		return old
	}
	if old != nil {
		old.Close()
	}
	limit, err := limiter.New(c.Settings.Behaviour.Limiter, limiter.Options{
		Server:    entry.Server.Name,
		Slots:     entry.Server.Slots,
		ColdStart: entry.Server.ColdStart,
	})
	if err != nil {
		c.Log.Error(err, "limiter of a backend server could not be created", "step", "place-senders", "peer", entry.Server.Name)
		return nil
	}
	return sender.New(*entry.Server, limit, c.Clock)
}

// updateGate sets the state of an admission gate from the configuration and the
// ejections.
func (c *Controller) updateGate(now flow.Time, s *sender.Sender, entry indexer.ServerEntry) {
	state := admitter.StateServing
	if lease, ok := c.ejectionLeases[entry.Server.Name]; ok && now.Before(lease.until) {
		state = admitter.StateEjected
	}
	if s.Server() != *entry.Server {
		state = admitter.StateDraining // until the sender can be replaced
	}
	if !entry.AcceptsNewRequests() {
		state = admitter.StateLeaving
	}
	s.SetState(state)
}

// updateZoneState records since when the host's availability zone is out of
// service.
func (c *Controller) updateZoneState(now flow.Time) {
	zone, ok := c.index.Zone(c.Settings.AvailabilityZone)
	out := ok && zone.State == flow.ZoneOut
	switch {
	case !out:
		c.zoneOutSince = flow.Never
	case c.zoneOutSince == flow.Never:
		c.zoneOutSince = now
		c.Log.Info("availability zone is out of service", "zone", zone.Name)
	}
}
