// The prover itself: what it keeps, and how the caller tells it of the
// configuration and of the platform's answers.

package prover

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// DefaultLeaseTimeout is the default age from which a proof is no longer young.
const DefaultLeaseTimeout = 3 * time.Second

const (
	// versionsKept is the number of versions of the list that are remembered.
	versionsKept = 64
	// revisionsKept is the number of applied revisions whose time is remembered.
	revisionsKept = 256
)

// Settings are the settings of a Prover.
type Settings struct {
	Host         string        // own name
	Incarnation  uint64        // drawn at random when the process starts
	Started      flow.Time     // when the process started
	LeaseTimeout time.Duration // age from which a proof is no longer young; the same in the whole region
	Required     bool          // without a young proof the process does not act
	Fanout       int           // peers asked each interval
	Random       *rand.Rand    // chooses peers
}

// Prover holds the proofs of one process. It is not safe for use by many
// goroutines.
type Prover struct {
	settings Settings

	applied  flow.Revision
	highest  flow.Revision
	behindAt flow.Time // when a revision above the applied one was first heard of
	met      bool      // a peer has answered

	provenAt flow.Time // everything that existed at this time is applied
	pending  proof     // of a revision that is not applied yet

	versions []Version // oldest first
	steps    []step    // applied revisions, oldest first
	roster   MemberList
	heard    []flow.Time // newest proof of each host of roster
	peers    map[string]*peer
}

// proof tells that nothing newer than a revision existed at a time.
type proof struct {
	revision flow.Revision
	at       flow.Time // flow.Never without a proof
}

// step is one growth of the applied revision.
type step struct {
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

// SetMembers takes the list of a newly applied configuration. There is a gap
// before it when more than one host changed since the last one: others may have
// known lists in between.
func (p *Prover) SetMembers(now flow.Time, list MemberList, gapBefore bool) {
	if len(p.versions) > 0 && p.versions[len(p.versions)-1].List.ID() == list.ID() {
		return
	}
	if len(p.versions) == versionsKept {
		p.versions = slices.Delete(p.versions, 0, 1)
	}
	p.versions = append(p.versions, Version{List: list, AppliedAt: now, GapBefore: gapBefore || len(p.versions) == 0})
	heard := make([]flow.Time, len(list.Names))
	for i, name := range list.Names {
		heard[i] = flow.Never
		if before := position(p.roster.Names, name); before >= 0 {
			heard[i] = p.heard[before]
		}
	}
	p.roster, p.heard = list, heard
	p.forgetPeers()
}

// SetApplied tells which revision is in force here and which is the highest
// that the caller has heard of. Both only grow.
func (p *Prover) SetApplied(now flow.Time, applied, highest flow.Revision) {
	if applied > p.applied {
		p.applied = applied
		p.noteStep(now)
	}
	p.hear(now, max(highest, p.applied))
	if p.applied == p.highest {
		p.behindAt = flow.Never
	}
	if p.pending.at != flow.Never && p.pending.revision <= p.applied {
		p.prove(p.pending)
		p.pending.at = flow.Never
	}
}

func (p *Prover) noteStep(now flow.Time) {
	if len(p.steps) == revisionsKept {
		p.steps = slices.Delete(p.steps, 0, 1)
	}
	p.steps = append(p.steps, step{revision: p.applied, at: now})
}

// hear notes that a revision exists.
func (p *Prover) hear(now flow.Time, revision flow.Revision) {
	p.highest = max(p.highest, revision)
	if p.applied < p.highest && p.behindAt == flow.Never {
		p.behindAt = now
	}
}

// Prove takes an answer of the platform: when it was asked, nothing newer than
// the revision existed.
func (p *Prover) Prove(now, asked flow.Time, revision flow.Revision) {
	p.hear(now, revision)
	p.prove(proof{revision: revision, at: asked})
}

func (p *Prover) prove(given proof) {
	switch {
	case given.revision < p.applied:
		// It is older than what is known, so it is not current.
	case given.revision > p.applied:
		if given.at > p.pending.at {
			p.pending = given
		}
	default:
		p.provenAt = max(p.provenAt, given.at)
	}
}

// Versions returns the versions of the list that came into force here, oldest
// first. The slice is not to be changed.
func (p *Prover) Versions() []Version { return p.versions }

// AppliedAt returns when a revision came into force here, or a later time when
// that is long ago. It is false while it is not in force.
func (p *Prover) AppliedAt(revision flow.Revision) (flow.Time, bool) {
	for _, s := range p.steps {
		if s.revision >= revision {
			return s.at, true
		}
	}
	return flow.Never, false
}

// -----------------------------------------------------------------------------

// Reason says why a process acts or does not, in kebab case.
type Reason string

// The reasons.
const (
	ReasonActing          Reason = "acting"
	ReasonNoConfiguration Reason = "no-configuration" // nothing was learned yet
	ReasonStarting        Reason = "starting"         // no peer has answered yet
	ReasonRevisionBehind  Reason = "revision-behind"  // a newer revision is known than the one in force here
	ReasonNoProof         Reason = "no-proof"         // the newest proof of currency is too old
)

// Status is the state of the proofs.
type Status struct {
	Acting     bool
	Reason     Reason
	LeaseUntil flow.Time     // the process may act before this time without asking again; flow.Never when it may not
	ProvenAt   flow.Time     // of the newest proof of currency; flow.Never without one
	Applied    flow.Revision // in force here
	Highest    flow.Revision // heard of
	Hosts      int           // listed
	HostsAlive int           // of these, proved within the lease time, the own one included
}

// forever ends the lease of a process that needs no proof to act.
const forever = flow.Time(1 << 60)

// Status returns the state of the proofs.
func (p *Prover) Status(now flow.Time) Status {
	status := Status{
		LeaseUntil: flow.Never,
		ProvenAt:   p.provenAt,
		Applied:    p.applied,
		Highest:    p.highest,
		Hosts:      len(p.roster.Names),
		Reason:     p.reason(now),
	}
	for i, at := range p.heard {
		if p.roster.Names[i] == p.settings.Host || at.Add(p.settings.LeaseTimeout).After(now) {
			status.HostsAlive++
		}
	}
	if status.Reason != ReasonActing {
		return status
	}
	status.Acting = true
	status.LeaseUntil = forever
	if p.settings.Required {
		status.LeaseUntil = p.provenAt.Add(p.settings.LeaseTimeout)
	}
	return status
}

func (p *Prover) reason(now flow.Time) Reason {
	switch {
	case p.applied == 0:
		return ReasonNoConfiguration
	case !p.met && len(p.roster.Names) > 1 && now.Before(p.settings.Started.Add(p.settings.LeaseTimeout)):
		return ReasonStarting
	case p.behind(now):
		return ReasonRevisionBehind
	case p.settings.Required && !p.Proven(now):
		return ReasonNoProof
	}
	return ReasonActing
}

// behind reports whether a newer revision is known and may still be on its way.
// Who told of it may be gone for good: without a need of proof the process then
// serves on.
func (p *Prover) behind(now flow.Time) bool {
	if p.applied == p.highest {
		return false
	}
	return p.settings.Required || now.Before(p.behindAt.Add(p.settings.LeaseTimeout))
}

// Proven reports whether there is a young proof that everything is applied that
// was published.
func (p *Prover) Proven(now flow.Time) bool {
	return now.Before(p.provenAt.Add(p.settings.LeaseTimeout))
}
