// Mutations: faults put between the decisions and the world, each of which
// takes away one rule of the design. The model check must find every one.

package modelchecker

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// mutation says which rules are taken away.
type mutation struct {
	smallReadQuorum bool // one host counts as proved whatever it says
	noRejoinWait    bool // a restarted process is a member as soon as it has a quorum
	proofsAtReceipt bool // proofs count from the arrival of the answer
	joinersCount    bool // joining processes count like members
	revisionUnheard bool // answers do not carry the highest revision
	oneList         bool // a new list is active at once, and alone
	dropsAtOnce     bool // older lists are dropped as soon as a newer one is active
	noLeaseWait     bool // a list is retired as soon as a newer one is settled
	noGrantWait     bool // grants of the last owner are not waited for
	noClaims        bool // a restarted owner does not ask back what was ceded
	lateCessions    bool // a cession may arrive at any time
}

func (m mutation) settings(proving *prover.Settings, placing *placer.Settings) {
	if m.noRejoinWait {
		proving.Started = proving.Started.Add(-2 * leaseTime)
	}
	if m.noLeaseWait {
		placing.LeaseTime = 0
	}
}

// look runs before a process looks at its own state.
func (m mutation) look(w *world, p *process) {
	versions := p.prover.Versions()
	if len(versions) == 0 {
		return
	}
	newest := versions[len(versions)-1]
	if m.smallReadQuorum {
		for _, name := range newest.List.Names {
			age, known := p.prover.AgeOf(w.local(p), name)
			if name != p.host && (!known || age >= leaseTime || age == 0) {
				p.prover.Observe(w.local(p), w.local(p), prover.Answer{
					From: name, Standing: prover.StandingMember, ViewHash: p.prover.Request(0).ViewHash,
				})
				break
			}
		}
	}
	alone := m.oneList && newest.Phase == prover.PhasePending || m.dropsAtOnce && newest.Phase == prover.PhaseActive
	if alone && len(versions) > 1 {
		view := []prover.ViewEntry{}
		for _, v := range versions {
			view = append(view, prover.ViewEntry{ID: v.List.ID(), Phase: prover.PhaseDropped})
		}
		view[len(view)-1].Phase = prover.PhaseActive
		p.prover.Observe(w.local(p), flow.Never, prover.Answer{From: "nobody", View: view})
	}
}

func (m mutation) request(request *prover.Request) {
	if m.revisionUnheard {
		request.Highest = 0
	}
}

// answer runs before a process takes an answer, and returns the time from
// which its proofs count.
func (m mutation) answer(w *world, p *process, sentAt flow.Time, answer *prover.Answer) flow.Time {
	if w.now < warmUp {
		return sentAt
	}
	if m.joinersCount {
		answer.Standing = prover.StandingMember
		for i := range answer.Ages {
			answer.Ages[i] &= 0x7f
		}
	}
	if m.revisionUnheard {
		answer.Highest = min(answer.Highest, p.applied.revision)
		answer.Applied = min(answer.Applied, p.applied.revision)
	}
	if m.proofsAtReceipt {
		return w.local(p)
	}
	return sentAt
}

func (m mutation) claims(w *world, p *process, thing string) []string {
	hosts := p.placer.Claims(w.local(p), thing, grantTime)
	if !m.noClaims {
		return hosts
	}
	for _, host := range hosts {
		p.placer.ObserveClaim(w.local(p), w.local(p), host, thing, placer.ClaimAnswer{})
	}
	return nil
}

func (m mutation) cession(cession *placer.Cession) {
	if m.lateCessions {
		cession.AcceptBefore = cession.NotAfter
	}
}

func (m mutation) holds(w *world, p *process, thing string) (placer.Tenure, bool) {
	grant := grantTime
	if m.noGrantWait {
		grant = time.Duration(0)
	}
	return p.placer.Holds(w.local(p), thing, grant)
}
