// What follows from the proofs as time goes on: joining, the change of lists,
// the settled revision and the lease.

package prover

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Reason says why a process acts or does not, in kebab case.
type Reason string

// The reasons.
const (
	ReasonActing         Reason = "acting"
	ReasonListsUnknown   Reason = "lists-unknown"   // no member has told which lists are in force
	ReasonNoQuorum       Reason = "no-quorum"       // too few hosts proved within the lease time
	ReasonRevisionBehind Reason = "revision-behind" // a newer revision is known than the one in force here
)

// Status is the state of the lease.
type Status struct {
	Acting        bool
	Reason        Reason
	LeaseUntil    flow.Time // the process may act before this time without asking again; flow.Never when it may not
	Standing      Standing
	Applied       flow.Revision
	Highest       flow.Revision
	Settled       flow.Revision
	Members       int  // hosts of the newest active list
	ProvedMembers int  // of these, proved within the lease time and counting
	Lists         int  // active lists
	Listed        bool // whether the newest active list names the own host
}

// settledStep is one growth of the settled revision.
type settledStep struct {
	revision flow.Revision
	at       flow.Time
}

// settledStepsLength is the number of growths of the settled revision kept.
const settledStepsLength = 256

// Status brings the state up to now and returns it. Call it each round and
// after each answer that may matter.
func (p *Prover) Status(now flow.Time) Status {
	p.advance(now)
	status := Status{
		LeaseUntil: flow.Never,
		Standing:   p.standing,
		Applied:    p.applied,
		Highest:    p.highest,
		Settled:    p.settled,
	}
	p.describeMembers(now, &status)
	proved := p.activeTime(now, readQuorum, voteActing, 0)
	switch {
	case status.Lists == 0:
		status.Reason = ReasonListsUnknown
	case !p.fresh(now, proved):
		status.Reason = ReasonNoQuorum
	case p.applied < p.highest:
		status.Reason = ReasonRevisionBehind
	default:
		status.Reason = ReasonActing
		status.Acting = true
		status.LeaseUntil = proved.Add(p.settings.LeaseTime)
	}
	return status
}

func (p *Prover) describeMembers(now flow.Time, status *Status) {
	for i := range p.versions {
		if p.versions[i].phase == PhaseActive {
			status.Lists++
		}
	}
	newest := p.newestActive()
	if newest < 0 {
		return
	}
	v := &p.versions[newest]
	status.Members = len(v.positions)
	for _, i := range v.positions {
		status.Listed = status.Listed || i == p.self
		if p.fresh(now, p.voteTime(now, i, voteActing, 0)) {
			status.ProvedMembers++
		}
	}
}

// Settled returns the highest revision that is known to be settled: once the
// lease time has passed after that, no process of the region acts without it.
func (p *Prover) Settled(now flow.Time) flow.Revision {
	p.advance(now)
	return p.settled
}

// SettledAt returns when the revision was first seen settled here, or a later
// time when that is long ago. It is false when the revision was not seen
// settled.
func (p *Prover) SettledAt(revision flow.Revision) (flow.Time, bool) {
	for _, step := range p.settledSteps {
		if step.revision >= revision {
			return step.at, true
		}
	}
	return flow.Never, false
}

// -----------------------------------------------------------------------------

func (p *Prover) advance(now flow.Time) {
	p.join(now)
	p.activate(now)
	p.drop(now)
	p.settle(now)
}

// join raises the own standing.
func (p *Prover) join(now flow.Time) {
	switch p.standing {
	case StandingJoining:
		if p.mayRejoin(now) {
			p.standing = StandingMember
		} else if p.mayFound(now) {
			p.found()
		}
	case StandingFounding:
		if p.fresh(now, p.activeTime(now, readQuorum, voteActing, 0)) {
			p.standing = StandingMember
		}
	case StandingMember:
	}
}

// mayRejoin reports whether enough members were proved, late enough after the
// start, that everything a predecessor of this process was counted for has
// been heard of again.
func (p *Prover) mayRejoin(now flow.Time) bool {
	if now < p.settings.Started.Add(2*p.settings.LeaseTime) {
		return false
	}
	return p.fresh(now, p.activeTime(now, readQuorum, voteJoining, 0))
}

// mayFound reports whether more than half of the hosts are seen to start for
// the first time.
func (p *Prover) mayFound(now flow.Time) bool {
	if len(p.versions) == 0 {
		return false
	}
	newest := &p.versions[len(p.versions)-1]
	proved := p.activeTime(now, settleQuorum, voteFirstStart, 0)
	if p.newestActive() < 0 {
		proved = p.quorumTime(now, newest, settleQuorum(len(newest.positions)), voteFirstStart, 0)
	}
	if !p.fresh(now, proved) || proved < p.settings.Started {
		return false
	}
	return len(p.roster) == 1 || now >= p.settings.Started.Add(p.settings.FirstStartWait)
}

// found takes part in the fleet's first start, which makes the newest list the
// first active one.
func (p *Prover) found() {
	p.standing = StandingFounding
	if p.newestActive() >= 0 {
		return
	}
	p.versions[len(p.versions)-1].phase = PhaseActive
	p.reindex()
}

// -----------------------------------------------------------------------------

// activate makes the newest pending version active that a settle quorum of it
// and of every active version knows.
func (p *Prover) activate(now flow.Time) {
	newest := p.newestActive()
	if newest < 0 {
		return
	}
	for i := len(p.versions) - 1; i > newest; i-- {
		v := &p.versions[i]
		quorum := settleQuorum(len(v.positions))
		if p.held(now, v.list.Revision) && p.fresh(now, p.quorumTime(now, v, quorum, voteHolding, v.list.Revision)) {
			v.phase = PhaseActive
			p.reindex()
			return
		}
	}
}

// drop gives up all versions before the newest active one, once a settle
// quorum of every active version knows that it is active.
func (p *Prover) drop(now flow.Time) {
	newest := p.newestActive()
	if newest < 0 {
		return
	}
	older := p.versions[:newest]
	if !slices.ContainsFunc(older, func(v version) bool { return v.phase != PhaseDropped }) {
		return
	}
	if !p.held(now, 0) {
		return
	}
	for i := range older {
		older[i].phase = PhaseDropped
	}
	p.reindex()
}

// -----------------------------------------------------------------------------

// settle raises the settled revision, and notes which versions of the list are
// settled. A version counts only through hosts that are known to know it.
func (p *Prover) settle(now flow.Time) {
	if p.settled == p.applied && !slices.ContainsFunc(p.versions, p.unsettled) {
		return
	}
	settled := p.applied
	if !p.held(now, settled) {
		settled = p.heldByQuorum(now)
	}
	for i := range p.versions {
		if v := &p.versions[i]; p.unsettled(*v) && v.list.Revision <= settled {
			v.settled, v.settledAt = true, now
		}
	}
	if settled > p.settled {
		p.settled = settled
		p.noteSettled(now)
	}
}

// unsettled reports whether a version that has been applied here was not yet
// seen settled.
func (p *Prover) unsettled(v version) bool {
	return !v.settled && v.list.Revision <= p.applied
}

func (p *Prover) noteSettled(now flow.Time) {
	if len(p.settledSteps) == settledStepsLength {
		p.settledSteps = slices.Delete(p.settledSteps, 0, 1)
	}
	p.settledSteps = append(p.settledSteps, settledStep{revision: p.settled, at: now})
}

// heldByQuorum returns the highest revision that a settle quorum of every
// active version is known to hold.
func (p *Prover) heldByQuorum(now flow.Time) flow.Revision {
	if p.newestActive() < 0 {
		return 0
	}
	lowest := p.applied
	for i := range p.versions {
		v := &p.versions[i]
		if v.phase != PhaseActive {
			continue
		}
		p.revisions = p.revisions[:0]
		for _, j := range v.positions {
			if p.fresh(now, p.voteTime(now, j, voteHolding, 0)) {
				known := p.proofs[j].known
				if j == p.self {
					known = p.applied
				}
				p.revisions = append(p.revisions, known)
			}
		}
		quorum := settleQuorum(len(v.positions))
		if len(p.revisions) < quorum {
			return 0
		}
		slices.Sort(p.revisions)
		lowest = min(lowest, p.revisions[len(p.revisions)-quorum])
	}
	return lowest
}
