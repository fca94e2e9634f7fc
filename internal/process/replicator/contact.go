// Contact with the platform, by which an outage of the platform is told from a daemon's
// own loss of contact.

package replicator

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// contact records when the platform is known to have answered this daemon or one that it
// heard from. The zero value is not usable; use newContact.
type contact struct {
	since flow.Time // begin of the newest span without an interruption
	until flow.Time // end of that span: the newest proof of currency

	interruptedAt flow.Time // end of the span before
	restoredAt    flow.Time // when this daemon heard of the newest span; Never if nothing was interrupted
}

func newContact() contact {
	return contact{since: flow.Never, until: flow.Never, interruptedAt: flow.Never, restoredAt: flow.Never}
}

// add adds a span of contact. Spans join unless an outage of the platform fits between
// them.
func (c *contact) add(now, since, until flow.Time) {
	switch {
	case c.until == flow.Never:
		c.since, c.until = since, until
	case since.Sub(c.until) >= flow.MinOutage:
		c.interruptedAt, c.restoredAt = c.until, now
		c.since, c.until = since, until
	case c.since.Sub(until) < flow.MinOutage:
		c.since, c.until = min(c.since, since), max(c.until, until)
	}
	if c.since.Sub(c.interruptedAt) < flow.MinOutage {
		c.interruptedAt, c.restoredAt = flow.Never, flow.Never // the platform answered other daemons meanwhile
	}
}
