// A large delta is transferred in parts, from one or several senders. This file
// decides when the received parts make the store complete.
//
// A part states: as of To, every record whose latest revision is in (From,
// Cursor] is among the entries. The next part may come from another sender if
// that one is complete at least up to To: a record changed since then has a
// revision above the cursor there, so the next part contains it. A sender that
// lags behind To could omit a record that the first sender left for a later
// part because its latest change was above the cursor.

package merger

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// transfer is a series of parts that is not complete yet.
type transfer struct {
	active bool
	full   bool
	cursor flow.Revision // From of the next request
	base   flow.Revision // To of the first part
	to     flow.Revision // To of the latest part
	number uint32        // of the latest full transfer
}

// NextRequest returns the next request to send to a peer.
func (m *Merger) NextRequest() Request {
	if m.transfer.active {
		return Request{From: m.transfer.cursor, Full: m.transfer.full}
	}
	return Request{From: m.applied}
}

// coveredUpTo returns the revision to which the part d may move the cursor.
func (d Delta) coveredUpTo() flow.Revision { return min(d.Cursor, d.To) }

// isContinuedBy reports whether the part d continues the transfer. In a full
// transfer the sender must still have every tombstone since the first part,
// because a record in that part may have been deleted since.
func (t *transfer) isContinuedBy(d Delta) bool {
	if !t.active || t.full != d.Full || d.From > t.cursor || d.To < t.to {
		return false
	}
	return !d.Full || d.Horizon <= t.base
}

// acceptPart reports whether the part d counts towards completeness. It starts
// a transfer if d is the first part of one.
func (m *Merger) acceptPart(d Delta) bool {
	if !d.Full && d.Horizon > d.From {
		return false
	}
	if m.transfer.isContinuedBy(d) {
		return true
	}
	if d.Full {
		return m.acceptFullPart(d)
	}
	if d.From > m.applied {
		return false
	}
	if d.Last {
		return true
	}
	if m.transfer.active || d.coveredUpTo() <= m.applied {
		return false
	}
	m.transfer = transfer{active: true, base: d.To, to: d.To, number: m.transfer.number}
	return true
}

// acceptFullPart decides on a part of a full transfer that does not continue
// the current transfer. A part from revision 0 starts a new transfer. The
// current transfer ends if the sender has purged tombstones that it needs.
func (m *Merger) acceptFullPart(d Delta) bool {
	if d.To <= m.applied || (m.transfer.full && d.To < m.transfer.to) {
		return false
	}
	if d.From > 0 {
		if m.transfer.full && d.Horizon > m.transfer.base {
			m.endTransfer()
		}
		return false
	}
	m.transfer = transfer{active: true, full: true, base: d.To, to: d.To, number: m.transfer.number + 1}
	return true
}

// advance applies the accepted part d to the state of the transfer and, if it
// is the last part, to Applied.
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
		changes = append(m.removeAbsent(d.To), Change{Revision: d.To})
		m.horizon = max(m.horizon, d.Horizon)
	}
	m.applied = d.To
	if m.transfer.full || m.transfer.cursor <= m.applied {
		m.endTransfer()
	}
	m.purgeTombstones()
	return changes
}

func (m *Merger) moveCursor(d Delta) {
	if d.coveredUpTo() > m.transfer.cursor {
		m.transfer.cursor = d.coveredUpTo()
		m.transfer.to = d.To
	}
}

// endTransfer ends the current transfer, complete or not. It keeps the number,
// so that the next full transfer has a different one.
func (m *Merger) endTransfer() {
	m.transfer = transfer{number: m.transfer.number}
}

// removeAbsent removes every record that is missing from the full transfer up
// to a revision.
func (m *Merger) removeAbsent(upTo flow.Revision) []Change {
	var changes []Change
	for number := noRecord + 1; number <= m.records.highestNumber; number++ {
		row := m.records.at(number)
		if row.revision == 0 || row.lastTransfer == m.transfer.number || row.revision > upTo {
			continue
		}
		if old := parseGood(m.idOf(number), m.inForce(number)); old != nil {
			changes = append(changes, Change{ID: old.ID(), Revision: upTo, Old: old})
		}
		m.remove(number)
	}
	return changes
}
