// Cessions: an owner hands a thing to the second host before its own tenure
// ends by the list.

package placer

import (
	"maps"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Cession hands a thing to another host. It is sent as often as needed; only
// the first one that arrives counts.
type Cession struct {
	Thing           string        `msgpack:"t"`
	FromHost        string        `msgpack:"f"`
	FromIncarnation uint64        `msgpack:"i"`
	ToHost          string        `msgpack:"o"`
	ToIncarnation   uint64        `msgpack:"j"`
	Version         prover.ListID `msgpack:"v"`           // of the list in which it is made
	AcceptBefore    flow.Time     `msgpack:"a"`           // on the receiver's clock
	NotAfter        flow.Time     `msgpack:"n"`           // on the receiver's clock; the thing is not held from then on
	Level           float64       `msgpack:"l,omitempty"` // what the owner could still grant
	Outstanding     float64       `msgpack:"u,omitempty"` // what was granted, and neither used nor returned
}

// Acceptance says what became of a cession.
type Acceptance int

// The acceptances.
const (
	// CessionRefused means that the thing is not held.
	CessionRefused Acceptance = iota
	// CessionAccepted means that the thing is held from now on, with the level
	// and the outstanding grants of the cession.
	CessionAccepted
	// CessionRepeated means that the same cession was accepted before.
	CessionRepeated
)

// record is a cession that this process accepted.
type record struct {
	cession    Cession
	acceptedAt flow.Time
	ended      bool // handed back
}

// -----------------------------------------------------------------------------

// Cede gives up a thing in favour of its second host. ClockOf is the prover's
// PeerClock at now. The caller stops acting as owner before it calls Cede, and
// fills in Level and Outstanding. It is false when this host does not hold the
// thing in a way that can be handed on, or does not know the second host's
// clock; the thing then moves with the list.
func (p *Placer) Cede(now flow.Time, thing string, grant time.Duration, clockOf func(host string) (flow.Time, uint64, bool)) (Cession, bool) {
	newest := p.widelyKnown(now)
	if _, held := p.Cedable(now, thing, grant); !held {
		return Cession{}, false
	}
	_, second := p.entries[newest].ranking.FirstTwo(thing)
	peerNow, incarnation, known := clockOf(second)
	if !known {
		return Cession{}, false
	}
	p.ceded[thing] = now
	if known, found := p.records[thing]; found {
		known.ended = true // it came by a cession before it came by the list
	}
	return Cession{
		Thing:           thing,
		FromHost:        p.settings.Host,
		FromIncarnation: p.settings.Incarnation,
		ToHost:          second,
		ToIncarnation:   incarnation,
		Version:         p.entries[newest].id,
		AcceptBefore:    peerNow.Add(p.settings.LeaseTime),
		NotAfter:        peerNow.Add(p.settings.MaxCession),
	}, true
}

// widelyKnown returns the newest version that everyone who acts knows, or -1.
func (p *Placer) widelyKnown(now flow.Time) int {
	for i := len(p.entries) - 1; i >= 0; i-- {
		if now >= p.entries[i].appliedAt.Add(p.settings.LeaseTime+p.settings.Margin) {
			return i
		}
	}
	return -1
}

// Cedable returns the tenure that Cede would hand on. When a newer list gives
// the thing to the second host, Holds is false already and Cedable is still
// true.
func (p *Placer) Cedable(now flow.Time, thing string, grant time.Duration) (Tenure, bool) {
	newest := p.widelyKnown(now)
	if _, ceded := p.ceded[thing]; ceded || newest < 0 {
		return Tenure{}, false
	}
	placed := p.placementUpTo(thing, newest)
	if !placed.owned || now < placed.since.Add(grant+p.settings.Margin) {
		return Tenure{}, false
	}
	clearedAt, cleared := p.clearedAt(now, thing, grant)
	_, second := p.entries[newest].ranking.FirstTwo(thing)
	if !cleared || second == "" || !p.newerGive(newest, thing, p.settings.Host, second) {
		return Tenure{}, false
	}
	return Tenure{Since: max(placed.since, clearedAt)}, true
}

// newerGive reports whether every version after the given one gives the thing
// to one of two hosts.
func (p *Placer) newerGive(after int, thing, host, other string) bool {
	for i := after + 1; i < len(p.entries); i++ {
		owner := p.entries[i].ranking.Owner(thing)
		if owner != host && owner != other {
			return false
		}
	}
	return true
}

// -----------------------------------------------------------------------------

// Accept takes a cession. Once it is accepted, Holds is true for the thing.
func (p *Placer) Accept(now flow.Time, cession Cession) Acceptance {
	known, found := p.records[cession.Thing]
	if found && known.cession.FromIncarnation == cession.FromIncarnation {
		if known.ended {
			return CessionRefused
		}
		return CessionRepeated
	}
	if !p.acceptable(now, &cession) {
		return CessionRefused
	}
	p.records[cession.Thing] = &record{cession: cession, acceptedAt: now}
	return CessionAccepted
}

func (p *Placer) acceptable(now flow.Time, cession *Cession) bool {
	if cession.ToHost != p.settings.Host || cession.ToIncarnation != p.settings.Incarnation {
		return false
	}
	if now >= cession.AcceptBefore || now >= cession.NotAfter {
		return false
	}
	i := p.indexOf(cession.Version)
	if i < 0 {
		return false
	}
	owner, second := p.entries[i].ranking.FirstTwo(cession.Thing)
	if owner != cession.FromHost || second != p.settings.Host {
		return false
	}
	return p.newerGive(i, cession.Thing, p.settings.Host, p.settings.Host)
}

// holdsCeded reports whether a cession is in force.
func (p *Placer) holdsCeded(now flow.Time, thing string) (Tenure, bool) {
	known, found := p.records[thing]
	if !found || known.ended || now >= known.cession.NotAfter {
		return Tenure{}, false
	}
	i := p.indexOf(known.cession.Version)
	if i < 0 || !p.newerGive(i, thing, p.settings.Host, p.settings.Host) {
		return Tenure{}, false
	}
	return Tenure{Since: known.acceptedAt, Ceded: true}, true
}

// prune forgets cessions of which nothing can be left: the longest life of a
// cession after its end is more than the longest grant.
func (p *Placer) prune(now flow.Time) {
	maps.DeleteFunc(p.records, func(_ string, r *record) bool {
		return now >= r.cession.NotAfter.Add(p.settings.MaxCession)
	})
	maps.DeleteFunc(p.handed, func(_ string, h handedBack) bool {
		return now >= h.at.Add(p.settings.MaxCession)
	})
	maps.DeleteFunc(p.ceded, func(_ string, at flow.Time) bool {
		return now >= at.Add(p.settings.MaxCession+p.settings.Retention)
	})
}
