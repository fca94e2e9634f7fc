// What direct answers show about one peer: its process and its clock.

package prover

import (
	"maps"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

type peer struct {
	incarnation uint64
	answeredAt  flow.Time     // when the newest answered request was sent
	minAhead    time.Duration // lower bound of how far the peer's clock is ahead of the local one
}

func (p *Prover) peerOf(host string) *peer {
	known, found := p.peers[host]
	if !found {
		known = &peer{answeredAt: flow.Never}
		p.peers[host] = known
	}
	return known
}

// forgetPeers drops hosts that are not in the newest member list. One that still
// answers is added again by its next answer.
func (p *Prover) forgetPeers() {
	maps.DeleteFunc(p.peers, func(host string, _ *peer) bool { return position(p.members.Names, host) < 0 })
}

// observe takes an answer. An answer to an older request changes nothing, so that a
// previous incarnation does not reappear.
func (p *peer) observe(now, sentAt flow.Time, answer *Answer) {
	if sentAt < p.answeredAt {
		return
	}
	minAhead := answer.Now.Sub(now)
	if answer.Incarnation != p.incarnation || minAhead > p.minAhead {
		p.minAhead = minAhead
	}
	p.incarnation = answer.Incarnation
	p.answeredAt = sentAt
}

// PeerClock returns a time that the host's clock has reached for certain, and the
// incarnation of the process whose clock it is. It is false for a host that never
// answered.
func (p *Prover) PeerClock(now flow.Time, host string) (flow.Time, uint64, bool) {
	known, found := p.peers[host]
	if !found || known.answeredAt == flow.Never {
		return 0, 0, false
	}
	return now.Add(known.minAhead), known.incarnation, true
}
