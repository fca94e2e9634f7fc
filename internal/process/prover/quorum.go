// Quorums: the one count that acting, joining, settling and the change of
// lists share.

package prover

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// vote says which proofs count.
type vote int

const (
	// voteActing counts proofs of members, the own process included.
	voteActing vote = iota
	// voteJoining counts proofs of members other than the own process.
	voteJoining
	// voteFirstStart counts proofs of processes that are not full members, the
	// own process included.
	voteFirstStart
	// voteHolding counts proofs of members that held a revision and the view,
	// the own process included.
	voteHolding
)

// readQuorum is the number of hosts of a list that must be proved for acting
// and joining. It meets every settle quorum in at least one host.
func readQuorum(hosts int) int { return (hosts + 1) / 2 }

// settleQuorum is the number of hosts of a list that must hold a revision for
// it to be settled.
func settleQuorum(hosts int) int { return hosts/2 + 1 }

// quorumTime returns the time of the oldest of the k newest proofs that count,
// or flow.Never when fewer count. The revision matters for voteHolding only.
func (p *Prover) quorumTime(now flow.Time, v *version, k int, kind vote, revision flow.Revision) flow.Time {
	p.scratch = p.scratch[:0]
	for _, i := range v.positions {
		if at := p.voteTime(now, i, kind, revision); at != flow.Never {
			p.scratch = append(p.scratch, at)
		}
	}
	if k == 0 || len(p.scratch) < k {
		return flow.Never
	}
	slices.Sort(p.scratch)
	return p.scratch[len(p.scratch)-k]
}

// voteTime returns the time of the proof of one host, or flow.Never when it
// does not count.
func (p *Prover) voteTime(now flow.Time, i int, kind vote, revision flow.Revision) flow.Time {
	standing, at := p.proofs[i].standing, p.proofs[i].at
	known, knownAt := p.proofs[i].known, p.proofs[i].knownAt
	if i == p.self {
		standing, at, known, knownAt = p.standing, now, p.applied, now
	}
	counts := false
	switch kind {
	case voteActing:
		counts = standing != StandingJoining
	case voteJoining:
		counts = standing != StandingJoining && i != p.self
	case voteFirstStart:
		counts = standing != StandingMember
	case voteHolding:
		counts, at = standing != StandingJoining && known >= revision, knownAt
	}
	if !counts {
		return flow.Never
	}
	return at
}

// fresh reports whether a proof made at the given time still counts.
func (p *Prover) fresh(now, at flow.Time) bool {
	return now < at.Add(p.settings.LeaseTime)
}

// -----------------------------------------------------------------------------

// newestActive returns the position of the newest active version, or -1.
func (p *Prover) newestActive() int {
	for i := len(p.versions) - 1; i >= 0; i-- {
		if p.versions[i].phase == PhaseActive {
			return i
		}
	}
	return -1
}

// activeTime returns the oldest quorumTime of all active versions, or
// flow.Never when there is none. The function quorum gives the quorum of a
// list of so many hosts.
func (p *Prover) activeTime(now flow.Time, quorum func(hosts int) int, kind vote, revision flow.Revision) flow.Time {
	oldest := now
	active := false
	for i := range p.versions {
		v := &p.versions[i]
		if v.phase != PhaseActive {
			continue
		}
		active = true
		oldest = min(oldest, p.quorumTime(now, v, quorum(len(v.positions)), kind, revision))
	}
	if !active {
		return flow.Never
	}
	return oldest
}

// held reports whether a settle quorum of every active version is known to
// hold the revision and the own view.
func (p *Prover) held(now flow.Time, revision flow.Revision) bool {
	return p.fresh(now, p.activeTime(now, settleQuorum, voteHolding, revision))
}
