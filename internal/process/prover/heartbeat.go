// The heartbeat exchange: the choice of peers, the request, the answer, and what an
// answer proves.

package prover

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Targets returns the hosts to contact in this round, chosen at random from all listed
// hosts, also those that never answered. While no list is known there are none, and
// the caller uses its seeds.
func (p *Prover) Targets() []string {
	names := p.members.Names
	others := len(names)
	if position(names, p.settings.Host) >= 0 {
		others--
	}
	wanted := min(p.settings.Fanout, others)
	targets := make([]string, 0, wanted)
	for len(targets) < wanted {
		name := names[p.settings.Random.IntN(len(names))]
		if name != p.settings.Host && !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	return targets
}

// Request returns the request to send now. The caller passes the time of sending to
// Observe.
func (p *Prover) Request() Request {
	return Request{
		From:        p.settings.Host,
		Incarnation: p.settings.Incarnation,
		Highest:     p.highest,
	}
}

// Answer returns the answer to a request. Revisions named in a request change
// nothing here: a process that stopped acting because of a one-way message would
// pause at every change until a request of its own was answered.
func (p *Prover) Answer(now flow.Time) Answer {
	answer := Answer{
		From:         p.settings.Host,
		Incarnation:  p.settings.Incarnation,
		Now:          now,
		Applied:      p.applied,
		Highest:      p.highest,
		ProofAgeMs:   -1,
		ListHash:     p.members.Hash,
		LivenessAges: make([]byte, len(p.aliveAt)),
	}
	if p.provenAt != flow.Never {
		answer.ProofAgeMs = now.Sub(p.provenAt).Milliseconds() + 1
	}
	for i, at := range p.aliveAt {
		answer.LivenessAges[i] = encodeAge(now, at)
	}
	return answer
}

// Observe takes the answer to a request that was sent at sentAt. Late, repeated and
// reordered answers are harmless. It returns the highest known revision, for the
// merge of the configuration.
func (p *Prover) Observe(now, sentAt flow.Time, answer Answer) flow.Revision {
	p.noteHighest(now, max(answer.Highest, answer.Applied))
	if answer.From == p.settings.Host {
		return p.highest
	}
	p.peerAnswered = true
	p.peerOf(answer.From).observe(now, sentAt, &answer)
	if i := position(p.members.Names, answer.From); i >= 0 {
		p.aliveAt[i] = max(p.aliveAt[i], sentAt)
	}
	if answer.ProofAgeMs >= 0 {
		p.prove(proof{revision: answer.Applied, at: sentAt - flow.Time(answer.ProofAgeMs)})
	}
	if answer.ListHash == p.members.Hash && len(answer.LivenessAges) == len(p.aliveAt) {
		for i, steps := range answer.LivenessAges {
			if steps < noAge {
				p.aliveAt[i] = max(p.aliveAt[i], sentAt-ageStep*flow.Time(steps))
			}
		}
	}
	return p.highest
}

// LivenessAge returns the age of the newest liveness proof of a host, direct or
// relayed. It is false when there is none.
func (p *Prover) LivenessAge(now flow.Time, host string) (time.Duration, bool) {
	i := position(p.members.Names, host)
	if i < 0 || p.aliveAt[i] == flow.Never {
		return 0, false
	}
	return now.Sub(p.aliveAt[i]), true
}
