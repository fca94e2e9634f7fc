// Claims: a restarted owner asks for the return of what its predecessor may have
// handed over.

package placer

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Claim requests that the second host of a resource hand it back.
type Claim struct {
	Resource    string `msgpack:"t"`
	Host        string `msgpack:"h"`
	Incarnation uint64 `msgpack:"i"`
}

// ClaimAnswer is the answer to a Claim. If neither Wait nor Held is set, the second
// host did not hold the resource.
type ClaimAnswer struct {
	Wait        bool    `msgpack:"w,omitempty"` // the claim must be repeated later
	Held        bool    `msgpack:"h,omitempty"` // the resource was held and is handed back
	Level       float64 `msgpack:"l,omitempty"` // what the answering host could still grant
	Outstanding float64 `msgpack:"u,omitempty"` // what was granted, and neither used nor returned
}

// claimKey identifies an answered claim.
type claimKey struct {
	resource string
	host     string
}

// rememberedAnswer is the last answer to a claim. A repeated claim gets the same
// answer.
type rememberedAnswer struct {
	incarnation uint64
	at          flow.Time
	answer      ClaimAnswer
}

// PendingClaims returns the hosts to which a claim for the resource must be sent now
// before this process can hold it. There are none while it could not hold the
// resource for another reason, because a claim ends the handover under which the
// second host serves the resource meanwhile.
func (p *Placer) PendingClaims(now flow.Time, resource string, grantLifetime time.Duration) []string {
	if now < p.claimsFrom() || p.handoversExpired(now, grantLifetime) {
		return nil
	}
	placed := p.placementOf(resource)
	if !placed.owned || now < placed.since.Add(grantLifetime+p.settings.Margin) {
		return nil
	}
	var hosts []string
	for i := range p.versions {
		second, needed := p.claimNeeded(now, i, resource, grantLifetime)
		if _, done := p.answeredClaims[claimKey{resource, second}]; needed && !done {
			hosts = append(hosts, second)
		}
	}
	return hosts
}

// NewClaim returns this process's claim for a resource.
func (p *Placer) NewClaim(resource string) Claim {
	return Claim{Resource: resource, Host: p.settings.Host, Incarnation: p.settings.Incarnation}
}

// ObserveClaimAnswer takes a host's answer to a claim that was sent at sentAt. It
// reports whether the answer hands back a level, which the caller then takes over.
// It is false for a repeated answer.
func (p *Placer) ObserveClaimAnswer(now, sentAt flow.Time, host, resource string, answer ClaimAnswer) bool {
	if answer.Wait || sentAt < p.claimsFrom() {
		return false
	}
	key := claimKey{resource, host}
	if _, done := p.answeredClaims[key]; done {
		return false
	}
	p.answeredClaims[key] = now
	return answer.Held
}

// claimsFrom returns the time from which a handover of a predecessor can no longer
// be accepted.
func (p *Placer) claimsFrom() flow.Time {
	return p.settings.Started.Add(p.settings.LeaseTimeout + p.settings.Margin)
}

// handoversExpired reports whether everything that a predecessor handed over has
// expired.
func (p *Placer) handoversExpired(now flow.Time, grantLifetime time.Duration) bool {
	return now >= p.settings.Started.Add(p.settings.HandoverLifetime+grantLifetime+p.settings.Margin)
}

// claimNeeded returns the second host of a resource in one version, and whether a
// predecessor of this process may have handed the resource over to it.
func (p *Placer) claimNeeded(now flow.Time, i int, resource string, grantLifetime time.Duration) (string, bool) {
	v := &p.versions[i]
	if v.newerAt != flow.Never && now >= v.newerAt.Add(p.settings.LeaseTimeout+grantLifetime+p.settings.Margin) {
		return "", false
	}
	owner, second := v.ranking.FirstTwo(resource)
	return second, owner == p.settings.Host && second != ""
}

// predecessorEndedAt returns the time after which nobody grants because of a
// handover of a predecessor. It is false while a needed claim is not answered.
func (p *Placer) predecessorEndedAt(now flow.Time, resource string, grantLifetime time.Duration) (flow.Time, bool) {
	latest := flow.Never
	over := p.handoversExpired(now, grantLifetime)
	for i := range p.versions {
		second, needed := p.claimNeeded(now, i, resource, grantLifetime)
		if !needed {
			continue
		}
		at, done := p.answeredClaims[claimKey{resource, second}]
		if !done && !over {
			return flow.Never, false
		}
		if !done {
			at = p.settings.Started.Add(p.settings.HandoverLifetime)
		}
		latest = max(latest, at)
	}
	return latest, true
}

// AnswerClaim answers a claim. Level and outstanding are this host's current state
// of the resource, zero if it has none. When Held is set in the answer, this host no
// longer holds the resource, and the caller must drop its state before it sends the
// answer.
func (p *Placer) AnswerClaim(now flow.Time, claim Claim, grantLifetime time.Duration, level, outstanding float64) ClaimAnswer {
	if now < p.settings.Started.Add(grantLifetime+p.settings.Margin) {
		return ClaimAnswer{Wait: true}
	}
	if owner, _ := p.Owner(claim.Resource); owner != claim.Host {
		return ClaimAnswer{Wait: true}
	}
	if known, found := p.claimAnswers[claim.Resource]; found && known.incarnation == claim.Incarnation {
		return known.answer
	}
	answer := ClaimAnswer{}
	known, found := p.accepted[claim.Resource]
	if found && !known.ended && known.handover.FromHost == claim.Host && known.handover.FromIncarnation != claim.Incarnation {
		known.ended = true
		answer = ClaimAnswer{Held: true, Level: level, Outstanding: outstanding}
		p.claimAnswers[claim.Resource] = rememberedAnswer{incarnation: claim.Incarnation, at: now, answer: answer}
	}
	return answer
}
