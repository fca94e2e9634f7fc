// Handovers: an owner passes a resource to the second host before its own tenure
// ends by the member list.

package placer

import (
	"maps"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Handover passes a resource to another host. It may be sent repeatedly; only the
// first one that arrives takes effect.
type Handover struct {
	Resource        string        `msgpack:"t"`
	FromHost        string        `msgpack:"f"`
	FromIncarnation uint64        `msgpack:"i"`
	ToHost          string        `msgpack:"o"`
	ToIncarnation   uint64        `msgpack:"j"`
	Version         prover.ListID `msgpack:"v"`           // of the member list in which it is made
	AcceptBefore    flow.Time     `msgpack:"a"`           // on the receiver's clock
	NotAfter        flow.Time     `msgpack:"n"`           // on the receiver's clock; the resource is no longer held from then on
	Level           float64       `msgpack:"l,omitempty"` // what the owner could still grant
	Outstanding     float64       `msgpack:"u,omitempty"` // what was granted, and neither used nor returned
}

// Acceptance is the receiver's decision on a handover.
type Acceptance int

// The decisions.
const (
	// HandoverRefused means that the resource is not held.
	HandoverRefused Acceptance = iota
	// HandoverAccepted means that the resource is held from now on, with the level
	// and the outstanding grants of the handover.
	HandoverAccepted
	// HandoverRepeated means that the same handover was accepted before.
	HandoverRepeated
)

// acceptedHandover is a handover that this process accepted.
type acceptedHandover struct {
	handover   Handover
	acceptedAt flow.Time
	ended      bool // handed back or handed on
}

// HandOver gives up a resource in favour of its second host. ClockOf is the prover's
// PeerClock at now. The caller must stop acting as owner before it calls HandOver,
// and fills in Level and Outstanding. It is false when CanHandOver is, or when the
// second host's clock is unknown; the resource then moves with the member list.
func (p *Placer) HandOver(now flow.Time, resource string, grantLifetime time.Duration, clockOf func(host string) (flow.Time, uint64, bool)) (Handover, bool) {
	newest := p.newestSettled(now)
	if _, held := p.CanHandOver(now, resource, grantLifetime); !held {
		return Handover{}, false
	}
	_, second := p.versions[newest].ranking.FirstTwo(resource)
	peerNow, incarnation, known := clockOf(second)
	if !known {
		return Handover{}, false
	}
	p.handedOver[resource] = now
	if known, found := p.accepted[resource]; found {
		known.ended = true // it came by a handover before it came by the list
	}
	return Handover{
		Resource:        resource,
		FromHost:        p.settings.Host,
		FromIncarnation: p.settings.Incarnation,
		ToHost:          second,
		ToIncarnation:   incarnation,
		Version:         p.versions[newest].id,
		AcceptBefore:    peerNow.Add(p.settings.LeaseTimeout),
		NotAfter:        peerNow.Add(p.settings.HandoverLifetime),
	}, true
}

// newestSettled returns the index of the newest version that every acting host
// knows, or -1.
func (p *Placer) newestSettled(now flow.Time) int {
	for i := len(p.versions) - 1; i >= 0; i-- {
		if now >= p.versions[i].appliedAt.Add(p.settings.LeaseTimeout+p.settings.Margin) {
			return i
		}
	}
	return -1
}

// CanHandOver returns the tenure that HandOver would end, and whether the resource
// can be handed over. When a newer list assigns the resource to the second host,
// Holds is already false while CanHandOver is still true.
func (p *Placer) CanHandOver(now flow.Time, resource string, grantLifetime time.Duration) (Tenure, bool) {
	newest := p.newestSettled(now)
	if _, handedOver := p.handedOver[resource]; handedOver || newest < 0 {
		return Tenure{}, false
	}
	placed := p.placementUpTo(resource, newest)
	if !placed.owned || now < placed.since.Add(grantLifetime+p.settings.Margin) {
		return Tenure{}, false
	}
	predecessorEndedAt, claimsSettled := p.predecessorEndedAt(now, resource, grantLifetime)
	_, second := p.versions[newest].ranking.FirstTwo(resource)
	if !claimsSettled || second == "" || !p.newerOwnersAre(newest, resource, p.settings.Host, second) {
		return Tenure{}, false
	}
	return Tenure{Since: max(placed.since, predecessorEndedAt)}, true
}

// newerOwnersAre reports whether every version after the given one assigns the
// resource to one of two hosts.
func (p *Placer) newerOwnersAre(after int, resource, host, other string) bool {
	for i := after + 1; i < len(p.versions); i++ {
		owner := p.versions[i].ranking.Owner(resource)
		if owner != host && owner != other {
			return false
		}
	}
	return true
}

// Accept takes a handover. Once it is accepted, Holds is true for the resource.
func (p *Placer) Accept(now flow.Time, handover Handover) Acceptance {
	known, found := p.accepted[handover.Resource]
	if found && known.handover.FromIncarnation == handover.FromIncarnation {
		if known.ended {
			return HandoverRefused
		}
		return HandoverRepeated
	}
	if !p.acceptable(now, &handover) {
		return HandoverRefused
	}
	p.accepted[handover.Resource] = &acceptedHandover{handover: handover, acceptedAt: now}
	return HandoverAccepted
}

func (p *Placer) acceptable(now flow.Time, handover *Handover) bool {
	if handover.ToHost != p.settings.Host || handover.ToIncarnation != p.settings.Incarnation {
		return false
	}
	if now >= handover.AcceptBefore || now >= handover.NotAfter {
		return false
	}
	i := p.indexOf(handover.Version)
	if i < 0 {
		return false
	}
	owner, second := p.versions[i].ranking.FirstTwo(handover.Resource)
	if owner != handover.FromHost || second != p.settings.Host {
		return false
	}
	return p.newerOwnersAre(i, handover.Resource, p.settings.Host, p.settings.Host)
}

// holdsByHandover returns the tenure of a handover that is in force.
func (p *Placer) holdsByHandover(now flow.Time, resource string) (Tenure, bool) {
	known, found := p.accepted[resource]
	if !found || known.ended || now >= known.handover.NotAfter {
		return Tenure{}, false
	}
	i := p.indexOf(known.handover.Version)
	if i < 0 || !p.newerOwnersAre(i, resource, p.settings.Host, p.settings.Host) {
		return Tenure{}, false
	}
	return Tenure{Since: known.acceptedAt, ByHandover: true}, true
}

// prune forgets handovers that can no longer have any effect: HandoverLifetime,
// which is waited for after the end of a handover, is longer than the longest grant
// lifetime.
func (p *Placer) prune(now flow.Time) {
	maps.DeleteFunc(p.accepted, func(_ string, accepted *acceptedHandover) bool {
		return now >= accepted.handover.NotAfter.Add(p.settings.HandoverLifetime)
	})
	maps.DeleteFunc(p.claimAnswers, func(_ string, answer rememberedAnswer) bool {
		return now >= answer.at.Add(p.settings.HandoverLifetime)
	})
	maps.DeleteFunc(p.handedOver, func(_ string, at flow.Time) bool {
		return now >= at.Add(p.settings.HandoverLifetime+p.settings.Retention)
	})
}
