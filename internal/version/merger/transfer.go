// Large deltas come in parts, from one sender or from several. This file
// decides when the parts that were received make the store complete.
//
// A part says: as of To, every record whose latest revision lies in
// (From, Cursor] is among the entries. The next part may come from another
// sender if that one is complete up to To at least: a record that changed since
// then has a revision above the cursor there, so that the next part holds it. A
// sender that lags behind To could miss a record that the first sender held
// back, since its change lay above the cursor.

package merger

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// sequence is a run of parts that is not finished.
type sequence struct {
	active bool
	full   bool
	cursor flow.Revision // what to ask for next
	base   flow.Revision // To of the first part
	to     flow.Revision // To of the latest part
	number uint32        // of the latest full sequence
}

// NextRequest returns what to ask a peer for.
func (m *Merger) NextRequest() Request {
	if m.sequence.active {
		return Request{From: m.sequence.cursor, Full: m.sequence.full}
	}
	return Request{From: m.applied}
}

// reach returns the revision up to which the part d moves the cursor.
func (d Delta) reach() flow.Revision { return min(d.Cursor, d.To) }

// continues reports whether the part d follows on the sequence under way. In a
// full sequence the sender must remember every tombstone since the first part:
// a record of that part may have been deleted since.
func (s *sequence) continues(d Delta) bool {
	if !s.active || s.full != d.Full || d.From > s.cursor || d.To < s.to {
		return false
	}
	return !d.Full || d.Horizon <= s.base
}

// accept decides whether the part d counts towards completeness, and begins a
// sequence when it is the first part of one.
func (m *Merger) accept(d Delta) bool {
	if !d.Full && d.Horizon > d.From {
		return false
	}
	if m.sequence.continues(d) {
		return true
	}
	if d.Full {
		return m.acceptFull(d)
	}
	if d.From > m.applied {
		return false
	}
	if d.Last {
		return true
	}
	if m.sequence.active || d.reach() <= m.applied {
		return false
	}
	m.sequence = sequence{active: true, base: d.To, to: d.To, number: m.sequence.number}
	return true
}

// acceptFull decides on a part of a full sequence that does not follow on the
// sequence under way. It begins a new one at revision 0. It gives the one under
// way up when the sender has forgotten tombstones that it needs.
func (m *Merger) acceptFull(d Delta) bool {
	if d.To <= m.applied || (m.sequence.full && d.To < m.sequence.to) {
		return false
	}
	if d.From > 0 {
		if m.sequence.full && d.Horizon > m.sequence.base {
			m.abandon()
		}
		return false
	}
	m.sequence = sequence{active: true, full: true, base: d.To, to: d.To, number: m.sequence.number + 1}
	return true
}

// advance moves the sequence on by the accepted part d.
func (m *Merger) advance(d Delta) []Change {
	if !d.Last {
		m.moveCursor(d)
		return nil
	}
	if d.To <= m.applied {
		return nil
	}
	var changes []Change
	if d.Full {
		changes = append(m.dropAbsent(d.To), Change{Revision: d.To})
		m.horizon = max(m.horizon, d.Horizon)
	}
	m.applied = d.To
	if m.sequence.full || m.sequence.cursor <= m.applied {
		m.abandon()
	}
	m.trimTombstones()
	return changes
}

func (m *Merger) moveCursor(d Delta) {
	if d.reach() > m.sequence.cursor {
		m.sequence.cursor = d.reach()
		m.sequence.to = d.To
	}
}

// abandon ends the sequence under way.
func (m *Merger) abandon() {
	m.sequence = sequence{number: m.sequence.number}
}

// dropAbsent drops every record that the full sequence up to to does not hold.
func (m *Merger) dropAbsent(to flow.Revision) []Change {
	var changes []Change
	for number := noRecord + 1; number <= m.records.last; number++ {
		e := m.records.at(number)
		if e.revision == 0 || e.sequence == m.sequence.number || e.revision > to {
			continue
		}
		if old := record(m.idOf(number), m.inForce(number)); old != nil {
			changes = append(changes, Change{ID: old.ID(), Revision: to, Old: old})
		}
		m.remove(number)
	}
	return changes
}
