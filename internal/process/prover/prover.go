// The state of a prover, its inputs from the configuration and the platform, and its
// status.

package prover

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// DefaultLeaseTimeout is the default age at which a proof stops being valid.
const DefaultLeaseTimeout = 3 * time.Second

const (
	// versionsKept is the number of member list versions that are kept.
	versionsKept = 64
	// revisionsKept is the number of applied revisions whose time is kept.
	revisionsKept = 256
)

// Settings are the settings of a Prover.
type Settings struct {
	Host          string        // name of this host
	Incarnation   uint64        // random number drawn when the process starts
	Started       flow.Time     // when the process started
	LeaseTimeout  time.Duration // age at which a proof stops being valid; the same in the whole region
	ProofRequired bool          // without a valid proof the process does not act
	Fanout        int           // peers contacted in each heartbeat interval
	Random        *rand.Rand    // chooses peers
}

// Prover holds the proofs of one process. It is not safe for concurrent use.
type Prover struct {
	settings Settings

	applied      flow.Revision
	highest      flow.Revision
	behindAt     flow.Time // when a revision above the applied one first became known
	peerAnswered bool      // whether a peer has answered

	provenAt flow.Time // every revision that existed at this time is applied
	pending  proof     // newest proof of a revision that is not applied yet

	versions         []Version         // oldest first
	appliedRevisions []appliedRevision // oldest first
	members          MemberList
	aliveAt          []flow.Time // newest liveness proof of each host of members
	peers            map[string]*peer
}

// proof is the evidence that no revision newer than the given one existed at a time.
type proof struct {
	revision flow.Revision
	at       flow.Time // flow.Never if there is no proof
}

// appliedRevision is a revision with the time at which it came into force.
type appliedRevision struct {
	revision flow.Revision
	at       flow.Time
}

// New returns a Prover for a process that starts.
func New(settings Settings) *Prover {
	return &Prover{
		settings: settings,
		behindAt: flow.Never,
		provenAt: flow.Never,
		pending:  proof{at: flow.Never},
		peers:    map[string]*peer{},
	}
}

// SetMembers takes the member list of a newly applied configuration. GapBefore says
// that other hosts may have known lists between the previous one and this one,
// because more than one host changed since.
func (p *Prover) SetMembers(now flow.Time, list MemberList, gapBefore bool) {
	if len(p.versions) > 0 && p.versions[len(p.versions)-1].List.ID() == list.ID() {
		return
	}
	if len(p.versions) == versionsKept {
		p.versions = slices.Delete(p.versions, 0, 1)
	}
	p.versions = append(p.versions, Version{List: list, AppliedAt: now, GapBefore: gapBefore || len(p.versions) == 0})
	aliveAt := make([]flow.Time, len(list.Names))
	for i, name := range list.Names {
		aliveAt[i] = flow.Never
		if before := position(p.members.Names, name); before >= 0 {
			aliveAt[i] = p.aliveAt[before]
		}
	}
	p.members, p.aliveAt = list, aliveAt
	p.forgetPeers()
}

// SetApplied takes the revision that is in force here and the highest revision that
// the caller knows of. Lower values than before have no effect.
func (p *Prover) SetApplied(now flow.Time, applied, highest flow.Revision) {
	if applied > p.applied {
		p.applied = applied
		p.recordApplied(now)
	}
	p.noteHighest(now, max(highest, p.applied))
	if p.applied == p.highest {
		p.behindAt = flow.Never
	}
	if p.pending.at != flow.Never && p.pending.revision <= p.applied {
		p.prove(p.pending)
		p.pending.at = flow.Never
	}
}

func (p *Prover) recordApplied(now flow.Time) {
	if len(p.appliedRevisions) == revisionsKept {
		p.appliedRevisions = slices.Delete(p.appliedRevisions, 0, 1)
	}
	p.appliedRevisions = append(p.appliedRevisions, appliedRevision{revision: p.applied, at: now})
}

// noteHighest takes note that a revision exists.
func (p *Prover) noteHighest(now flow.Time, revision flow.Revision) {
	p.highest = max(p.highest, revision)
	if p.applied < p.highest && p.behindAt == flow.Never {
		p.behindAt = now
	}
}

// Prove takes the platform's answer to a request that was sent at sentAt: nothing
// newer than the revision existed at that time.
func (p *Prover) Prove(now, sentAt flow.Time, revision flow.Revision) {
	p.noteHighest(now, revision)
	p.prove(proof{revision: revision, at: sentAt})
}

func (p *Prover) prove(given proof) {
	switch {
	case given.revision < p.applied:
		// The proof is about older data than is applied, so it does not show currency.
	case given.revision > p.applied:
		if given.at > p.pending.at {
			p.pending = given
		}
	default:
		p.provenAt = max(p.provenAt, given.at)
	}
}

// Versions returns the versions of the member list that came into force here, oldest
// first. The slice must not be modified.
func (p *Prover) Versions() []Version { return p.versions }

// AppliedAt returns when a revision came into force here, or a later time if that is
// longer ago than is recorded. It is false while the revision is not in force.
func (p *Prover) AppliedAt(revision flow.Revision) (flow.Time, bool) {
	for _, entry := range p.appliedRevisions {
		if entry.revision >= revision {
			return entry.at, true
		}
	}
	return flow.Never, false
}

// Reason says why a process acts or does not act, in kebab case.
type Reason string

// The reasons.
const (
	ReasonActing          Reason = "acting"
	ReasonNoConfiguration Reason = "no-configuration" // no configuration is known yet
	ReasonStarting        Reason = "starting"         // no peer has answered yet
	ReasonRevisionBehind  Reason = "revision-behind"  // a newer revision is known than the one in force
	ReasonNoProof         Reason = "no-proof"         // the newest proof of currency is no longer valid
)

// Status is the state of the proofs at a time.
type Status struct {
	Acting     bool
	Reason     Reason
	LeaseUntil flow.Time     // the process may act before this time without a newer proof; flow.Never when it may not act
	ProvenAt   flow.Time     // time of the newest proof of currency; flow.Never without one
	Applied    flow.Revision // revision in force here
	Highest    flow.Revision // highest known revision
	Hosts      int           // listed hosts
	HostsAlive int           // listed hosts with a liveness proof younger than LeaseTimeout, and this host
}

// unlimitedLease is the end of the lease of a process that needs no proof to act.
const unlimitedLease = flow.Time(1 << 60)

// Status returns the state of the proofs.
func (p *Prover) Status(now flow.Time) Status {
	status := Status{
		LeaseUntil: flow.Never,
		ProvenAt:   p.provenAt,
		Applied:    p.applied,
		Highest:    p.highest,
		Hosts:      len(p.members.Names),
		Reason:     p.reason(now),
	}
	for i, at := range p.aliveAt {
		if p.members.Names[i] == p.settings.Host || at.Add(p.settings.LeaseTimeout).After(now) {
			status.HostsAlive++
		}
	}
	if status.Reason != ReasonActing {
		return status
	}
	status.Acting = true
	status.LeaseUntil = unlimitedLease
	if p.settings.ProofRequired {
		status.LeaseUntil = p.provenAt.Add(p.settings.LeaseTimeout)
	}
	return status
}

func (p *Prover) reason(now flow.Time) Reason {
	switch {
	case p.applied == 0:
		return ReasonNoConfiguration
	case !p.peerAnswered && len(p.members.Names) > 1 && now.Before(p.settings.Started.Add(p.settings.LeaseTimeout)):
		return ReasonStarting
	case p.behind(now):
		return ReasonRevisionBehind
	case p.settings.ProofRequired && !p.Proven(now):
		return ReasonNoProof
	}
	return ReasonActing
}

// behind reports whether a newer revision is known and may still arrive. The host
// that announced it may be gone for good, so a process that needs no proof waits for
// LeaseTimeout only.
func (p *Prover) behind(now flow.Time) bool {
	if p.applied == p.highest {
		return false
	}
	return p.settings.ProofRequired || now.Before(p.behindAt.Add(p.settings.LeaseTimeout))
}

// Proven reports whether there is a valid proof that the revision in force is
// current.
func (p *Prover) Proven(now flow.Time) bool {
	return now.Before(p.provenAt.Add(p.settings.LeaseTimeout))
}
