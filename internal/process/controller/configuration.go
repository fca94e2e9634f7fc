// The configuration: reading it from the platform, merging it, and bringing it
// into force on this host.

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
	// watchesPerLease is the number of watches of the platform within the age that a
	// proof may have.
	watchesPerLease = 6
	// readRetry is the least wait after a read that failed; as much again is
	// added at random.
	readRetry = time.Second
)

var errStopped = errors.New("the daemon has stopped")

// read starts the reads of the platform that are due.
func (c *Controller) read(now flow.Time) {
	view := reader.View{
		Self:      c.Settings.Host,
		Zone:      c.Settings.AvailabilityZone,
		Hosts:     c.hostsOfOwnZone(),
		Reachable: func(host string) bool { return c.provedWithin(now, host) },
		Applied:   c.merger.Applied(),
		Proven:    c.prover.Proven(now),
	}
	if c.duty.ShouldWatch(view) && !c.watching && !c.stopping {
		c.watching = true
		c.watch()
	}
	if c.duty.ShouldRead(now, view, len(c.index.HostsOfRegion(c.Settings.Region))) && !c.reading {
		c.reading = true
		c.readOnce()
	}
}

func (c *Controller) hostsOfOwnZone() []string {
	var hosts []string
	for _, name := range c.index.HostsOfRegion(c.Settings.Region) {
		if host, ok := c.index.Host(name); ok && host.AvailabilityZone == c.Settings.AvailabilityZone {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// provedWithin reports whether a host was proved alive within the lease time.
func (c *Controller) provedWithin(now flow.Time, host string) bool {
	age, ok := c.prover.LivenessAge(now, host)
	return ok && age <= c.Settings.Lease.Timeout
}

// watch waits for one change at the platform. The round after it starts the
// next watch, if the daemon is still a reader.
func (c *Controller) watch() {
	after := c.merger.Next().From
	pause := readRetry + time.Duration(c.Random.Int64N(int64(readRetry)))
	c.start(readTimeout, func(ctx context.Context) {
		asked := c.Clock.Now()
		page, err := c.Reader.Watch(ctx, after, c.watchTime())
		if err != nil {
			c.logRead(err)
			flow.Sleep(c.ctx, pause)
		}
		c.post(c.ctx, func() {
			c.watching = false
			if err != nil {
				return
			}
			c.mergePage(asked, after, page)
			c.read(c.Clock.Now())
		})
	})
}

// readOnce reads all pages that are due, without watching.
func (c *Controller) readOnce() {
	after := c.merger.Next().From
	c.start(readTimeout, func(ctx context.Context) {
		asked := c.Clock.Now()
		page, err := c.Reader.Read(ctx, after)
		if err != nil {
			c.logRead(err)
		}
		c.post(c.ctx, func() {
			c.reading = false
			if err != nil {
				return
			}
			c.mergePage(asked, after, page)
			if page.More {
				c.duty.ScheduleNextPage(c.Clock.Now())
			}
		})
	})
}

func (c *Controller) logRead(err error) {
	if c.ctx.Err() == nil {
		c.Log.Error(err, "the platform could not be read", "step", "read-platform")
	}
}

// watchTime is how long a watch of the platform waits: its end is the proof that
// nothing has changed, so it has to be well below the age that a proof may have.
func (c *Controller) watchTime() time.Duration {
	return min(c.Settings.Lease.Timeout/watchesPerLease, reader.WatchTimeout)
}

// mergePage takes a page that the platform was asked for at a time.
func (c *Controller) mergePage(asked flow.Time, after flow.Revision, page reader.Page) {
	now := c.Clock.Now()
	delta := merger.WatchDelta(after, page.Revision, page.Records)
	if page.More {
		delta.Last = false
		delta.Cursor = page.Last()
	}
	c.merge(now, delta)
	if !page.More {
		c.prover.Prove(now, asked, page.Revision)
	}
	c.publish(now)
}

// -----------------------------------------------------------------------------

// merge takes a delta and brings what it changes into force.
func (c *Controller) merge(now flow.Time, delta merger.Delta) {
	before := c.merger.Applied()
	changes := c.merger.Merge(now, delta)
	applied := c.merger.Applied()
	if len(changes) == 0 && applied == before {
		return
	}
	old := c.index
	c.index = c.index.Apply(changes, applied)
	c.hosts.changed(changes)
	c.ratesChanged(now, old, changes)
	if applied == before {
		return
	}
	if c.baseline == 0 {
		c.baseline = applied
	}
	c.Log.V(1).Info("configuration applied", "revision", applied, "changes", len(changes))
	c.rememberAddresses()
	members := c.index.MemberList(c.Settings.Region)
	c.prover.SetMembers(now, prover.NewMemberList(members.Revision, members.Names), c.hosts.applied(members))
	c.prover.SetApplied(now, applied, c.merger.Highest())
	c.placer.Update(now, c.prover.Versions())
	c.cedeMoved(now)
	c.placeSenders(now)
	c.serviceShrunk(now)
	c.setAllServing(now)
	c.watchZone(now)
}

// placeSenders gives every backend server of this host a sender, and tells the
// gates which may take new work.
func (c *Controller) placeSenders(now flow.Time) {
	c.renewing = false
	senders := make(map[string]*sender.Sender, len(c.senders))
	for _, entry := range c.index.ServersOfHost(c.Settings.Host) {
		s := c.senderOf(entry)
		if s == nil {
			continue
		}
		senders[entry.Server.Name] = s
		c.setServing(now, s, entry)
	}
	for name, s := range c.senders {
		if _, kept := senders[name]; !kept {
			s.Close()
		}
	}
	c.senders = senders
}

// senderOf returns the sender of a backend server. When more of its record
// changed than its state, the sender is replaced, but not before all that runs
// under the old record has ended: two gates would let too much through.
func (c *Controller) senderOf(entry indexer.ServerEntry) *sender.Sender {
	old := c.senders[entry.Server.Name]
	if old != nil && (old.Server() == *entry.Server || old.Adopt(*entry.Server)) {
		return old
	}
	if old != nil && !old.Idle() {
		c.renewing = true
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
		c.Log.Error(err, "backend server has no limiter", "step", "place-senders", "peer", entry.Server.Name)
		return nil
	}
	return sender.New(*entry.Server, limit, c.Clock)
}

// setServing moves a gate into the state that the configuration and the
// ejections ask for.
func (c *Controller) setServing(now flow.Time, s *sender.Sender, entry indexer.ServerEntry) {
	state := admitter.StateServing
	if held, ok := c.ejected[entry.Server.Name]; ok && now.Before(held.until) {
		state = admitter.StateEjected
	}
	if s.Server() != *entry.Server {
		state = admitter.StateDraining // until it can be replaced
	}
	if !entry.TakesNewWork() {
		state = admitter.StateLeaving
	}
	s.SetState(state)
}

// watchZone notes since when the own availability zone is out of service.
func (c *Controller) watchZone(now flow.Time) {
	zone, ok := c.index.Zone(c.Settings.AvailabilityZone)
	out := ok && zone.State == flow.ZoneOut
	switch {
	case !out:
		c.zoneOut = flow.Never
	case c.zoneOut == flow.Never:
		c.zoneOut = now
		c.Log.Info("availability zone is out of service", "zone", zone.Name)
	}
}
