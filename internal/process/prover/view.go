// The view: which versions of the list are known here and how far each has
// come. Views only grow, and merging two gives the least view above both, so
// that gossip brings every process to the same one.

package prover

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// translation maps positions in the roster of another view to own ones.
type translation struct {
	viewHash  uint64
	known     bool
	positions []int // -1 for hosts that are not in the own roster
}

func (p *Prover) indexOf(id ListID) int {
	return slices.IndexFunc(p.versions, func(v version) bool { return v.list.ID() == id })
}

func (p *Prover) learnedIndex(id ListID) int {
	return slices.IndexFunc(p.learned, func(l MemberList) bool { return l.ID() == id })
}

// listOf returns the contents of a version that is kept or was fetched.
func (p *Prover) listOf(id ListID) (MemberList, bool) {
	if i := p.indexOf(id); i >= 0 {
		return p.versions[i].list, true
	}
	if i := p.learnedIndex(id); i >= 0 {
		return p.learned[i], true
	}
	return MemberList{}, false
}

func (p *Prover) addVersion(list MemberList, phase Phase) {
	p.versions = append(p.versions, version{list: list, phase: phase, settledAt: flow.Never})
	slices.SortFunc(p.versions, func(a, b version) int { return a.list.ID().Compare(b.list.ID()) })
}

// trim forgets the oldest versions. The last dropped one stays, to tell what
// was forgotten.
func (p *Prover) trim() {
	for len(p.versions) > historyLength && p.versions[0].phase == PhaseDropped && p.versions[1].phase == PhaseDropped {
		p.versions = slices.Delete(p.versions, 0, 1)
	}
}

// forgotten reports whether whoever has a view has forgotten a version: it is
// dropped, or was never needed.
func forgotten(view []ViewEntry, id ListID) bool {
	return len(view) >= historyLength && view[0].Phase == PhaseDropped && id.Compare(view[0].ID) < 0
}

// -----------------------------------------------------------------------------

// mergeView takes over what the answerer knows of the lists. It returns the
// versions whose contents are missing, and false when the answer must not
// count as proof. An answer counts only once everything it names is known
// here: so whoever has a proof of a host, however indirect, also knows every
// version that the host knew.
func (p *Prover) mergeView(answer *Answer) (missing []ListID, ok bool) {
	if answer.ViewHash == p.viewHash {
		return nil, true
	}
	if len(answer.View) == 0 {
		// Either the answerer knows no list, or the own view has grown since
		// the request.
		return nil, answer.ViewHash == hashView(nil)
	}
	for _, entry := range answer.View {
		if _, found := p.listOf(entry.ID); !found && !forgotten(p.view, entry.ID) {
			missing = append(missing, entry.ID)
		}
	}
	if len(missing) > 0 {
		return missing, false
	}
	p.mergeEntries(answer.View)
	return nil, true
}

func (p *Prover) mergeEntries(view []ViewEntry) {
	changed := false
	for i := range p.versions {
		v := &p.versions[i]
		if v.phase != PhaseDropped && forgotten(view, v.list.ID()) {
			v.phase = PhaseDropped
			changed = true
		}
	}
	for _, entry := range view {
		i := p.indexOf(entry.ID)
		switch {
		case i >= 0 && entry.Phase > p.versions[i].phase:
			p.versions[i].phase = entry.Phase
			changed = true
		case i < 0 && !forgotten(p.view, entry.ID):
			list, _ := p.listOf(entry.ID)
			p.addVersion(list, entry.Phase)
			changed = true
		}
	}
	p.learned = slices.DeleteFunc(p.learned, func(l MemberList) bool { return p.indexOf(l.ID()) >= 0 })
	if changed {
		p.reindex()
	}
}

// reindex rebuilds everything that depends on the view. What other hosts knew
// was known under another view and is forgotten; that they were alive is kept.
func (p *Prover) reindex() {
	p.trim()
	p.view = make([]ViewEntry, len(p.versions))
	for i, v := range p.versions {
		p.view[i] = ViewEntry{ID: v.list.ID(), Phase: v.phase}
	}
	p.viewHash = hashView(p.view)
	p.translation = translation{}

	before, proofs := p.roster, p.proofs
	p.roster = p.rosterOf(p.view)
	p.proofs = make([]proof, len(p.roster))
	for i, name := range p.roster {
		p.proofs[i] = noProof
		if j, found := slices.BinarySearch(before, name); found {
			p.proofs[i].at, p.proofs[i].standing = proofs[j].at, proofs[j].standing
		}
	}
	p.self = position(p.roster, p.settings.Host)
	p.forgetPeers()
	for i := range p.versions {
		p.versions[i].positions = p.positionsOf(&p.versions[i])
	}
}

func (p *Prover) positionsOf(v *version) []int {
	if v.phase == PhaseDropped {
		return nil
	}
	positions := make([]int, len(v.list.Names))
	for i, name := range v.list.Names {
		positions[i] = position(p.roster, name)
	}
	return positions
}

// rosterOf returns the hosts of the versions of a view that are not dropped,
// sorted, or nil when the contents of one are not known.
func (p *Prover) rosterOf(view []ViewEntry) []string {
	var roster []string
	for _, entry := range view {
		if entry.Phase == PhaseDropped {
			continue
		}
		list, found := p.listOf(entry.ID)
		if !found {
			return nil
		}
		roster = append(roster, list.Names...)
	}
	slices.Sort(roster)
	return slices.Compact(roster)
}

// translate returns the own position of each host in the answerer's roster,
// or false when it cannot be told.
func (p *Prover) translate(answer *Answer) ([]int, bool) {
	if p.translation.known && p.translation.viewHash == answer.ViewHash {
		return p.translation.positions, true
	}
	roster := p.rosterOf(answer.View)
	if roster == nil {
		return nil, false
	}
	positions := make([]int, len(roster))
	for i, name := range roster {
		positions[i] = position(p.roster, name)
	}
	p.translation = translation{viewHash: answer.ViewHash, known: true, positions: positions}
	return positions, true
}

func position(roster []string, name string) int {
	i, found := slices.BinarySearch(roster, name)
	if !found {
		return -1
	}
	return i
}
