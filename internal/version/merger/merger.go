// The Merger and the way of a delta into it and out of it.

package merger

import (
	"sort"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TombstoneLimit is the number of tombstones that a daemon keeps. Whoever
// missed more deletions than these needs a full delta.
const TombstoneLimit = 32768

// kindLimit is the number of kinds that a Merger tells apart.
const kindLimit = kindMask + 1

// entryOverhead is what an entry of a delta takes besides names and bodies, in
// bytes.
const entryOverhead = 32

// Merger is the store of records of one daemon. It is not safe for use by many
// goroutines; the caller does the locking.
type Merger struct {
	kinds          []flow.Kind
	kindNumbers    map[flow.Kind]uint16
	records        records
	faults         map[recordNumber]*fault
	order          order
	tombstones     int
	tombstoneLimit int

	applied  flow.Revision
	highest  flow.Revision
	horizon  flow.Revision // tombstones up to here are forgotten
	sequence sequence
}

// New returns an empty Merger that keeps up to tombstoneLimit tombstones.
func New(tombstoneLimit int) *Merger {
	m := &Merger{
		kindNumbers:    make(map[flow.Kind]uint16),
		faults:         make(map[recordNumber]*fault),
		tombstoneLimit: tombstoneLimit,
	}
	m.order.records = &m.records
	return m
}

// Applied returns the revision up to which the store is complete.
func (m *Merger) Applied() flow.Revision { return m.applied }

// Highest returns the highest revision heard of by whatever way.
func (m *Merger) Highest() flow.Revision { return m.highest }

// ObserveRevision notes that a revision exists.
func (m *Merger) ObserveRevision(revision flow.Revision) { m.highest = max(m.highest, revision) }

// Len returns the number of records held, tombstones not among them.
func (m *Merger) Len() int { return m.records.count - m.tombstones }

// Raw returns the latest version of a record, and false when none is held.
func (m *Merger) Raw(id flow.RecordID) (flow.RawRecord, bool) {
	number := m.find(id)
	if number == noRecord {
		return flow.RawRecord{}, false
	}
	return raw(id, m.latest(number)), true
}

// FaultCount returns the number of records whose latest version is bad.
func (m *Merger) FaultCount() int { return len(m.faults) }

// Faults returns up to limit records whose latest version is bad, those with
// the highest revisions first.
func (m *Merger) Faults(limit int) []Fault {
	faults := make([]Fault, 0, len(m.faults))
	for number, held := range m.faults {
		good := held.good.revision
		if held.good.deleted {
			good = 0
		}
		faults = append(faults, Fault{
			ID:           m.idOf(number),
			Revision:     m.records.at(number).revision,
			LastGoodRevision: good,
			ParseError:      held.problem,
			Since:        held.since,
		})
	}
	sort.Slice(faults, func(i, j int) bool {
		if faults[i].Revision != faults[j].Revision {
			return faults[i].Revision > faults[j].Revision
		}
		return faults[i].ID.Name < faults[j].ID.Name
	})
	return faults[:min(limit, len(faults))]
}

// -----------------------------------------------------------------------------

// Merge takes a delta in and returns what it changed in force. A delta whose
// To lies below Applied changes nothing.
func (m *Merger) Merge(now flow.Time, delta Delta) []Change {
	m.ObserveRevision(delta.To)
	if delta.To < m.applied {
		return nil
	}
	accepted := m.accept(delta)
	var changes []Change
	for _, item := range delta.Entries {
		m.ObserveRevision(item.Latest.Revision)
		change, changed := m.mergeEntry(now, item, accepted && delta.Full)
		if changed {
			changes = append(changes, change)
		}
	}
	if accepted {
		changes = append(changes, m.advance(delta)...)
	}
	m.order.compact()
	m.records.reclaim()
	return changes
}

// mergeEntry takes one entry in. Present marks the record as one that the full
// sequence under way holds.
func (m *Merger) mergeEntry(now flow.Time, item DeltaEntry, present bool) (Change, bool) {
	number := m.findOrAdd(item.Latest)
	if number == noRecord {
		return Change{}, false
	}
	if present {
		m.records.at(number).sequence = m.sequence.number
	}
	before := m.inForce(number)
	current := m.take(now, number, item.Latest)
	if item.LastGood != nil && item.LastGood.ID() == item.Latest.ID() {
		if good := m.take(now, number, *item.LastGood); good != nil {
			current = good
		}
	}
	after := m.inForce(number)
	if after.revision == before.revision {
		return Change{}, false
	}
	old := record(item.Latest.ID(), before)
	if after.deleted {
		current = nil
	}
	return Change{ID: item.Latest.ID(), Revision: after.revision, Old: old, New: current}, true
}

// findOrAdd returns the number of a record, or noRecord when there shall be no
// entry: a record that is not held, and whose revision is one up to which the
// store is complete, was deleted since.
func (m *Merger) findOrAdd(raw flow.RawRecord) recordNumber {
	if number := m.find(raw.ID()); number != noRecord {
		return number
	}
	if raw.Revision <= m.applied || raw.Kind == "" || raw.Name == "" {
		return noRecord
	}
	kind, ok := m.kindNumber(raw.Kind)
	if !ok {
		return noRecord
	}
	return m.records.add(kind, raw.Name)
}

func (m *Merger) find(id flow.RecordID) recordNumber {
	kind, ok := m.kindNumbers[id.Kind]
	if !ok {
		return noRecord
	}
	return m.records.find(kind, id.Name)
}

// kindNumber returns the number of a kind, known to this program or not.
func (m *Merger) kindNumber(kind flow.Kind) (uint16, bool) {
	number, ok := m.kindNumbers[kind]
	if ok {
		return number, true
	}
	if len(m.kinds) == kindLimit {
		return 0, false
	}
	number = uint16(len(m.kinds))
	m.kinds = append(m.kinds, flow.Kind(strings.Clone(string(kind))))
	m.kindNumbers[m.kinds[number]] = number
	return number, true
}

// remove forgets a record altogether.
func (m *Merger) remove(number recordNumber) {
	e := m.records.at(number)
	m.countTombstone(e.deleted(), false)
	delete(m.faults, number)
	m.order.remove(e)
	m.records.remove(number)
}

// -----------------------------------------------------------------------------

func (m *Merger) countTombstone(before, after bool) {
	if before {
		m.tombstones--
	}
	if after {
		m.tombstones++
	}
}

// tombstoneSlack is the share of the limit by which tombstones may exceed it,
// so that they are dropped in bulk.
const tombstoneSlack = 8

// trimTombstones drops the oldest tombstones beyond the limit and raises the
// horizon over them. Tombstones above Applied stay: they are what keeps an
// older version of their record away.
func (m *Merger) trimTombstones() {
	if m.tombstones <= m.tombstoneLimit+m.tombstoneLimit/tombstoneSlack {
		return
	}
	for _, number := range m.order.sorted() {
		if number == noRecord {
			continue
		}
		e := m.records.at(number)
		if m.tombstones <= m.tombstoneLimit || e.revision > m.applied {
			return
		}
		if e.deleted() {
			m.horizon = e.revision
			m.remove(number)
		}
	}
}

// -----------------------------------------------------------------------------

// Delta returns the answer to a request, in a part of about limitBytes at most.
// A store that holds records above Applied is in the midst of a sequence itself
// and answers with an empty part that is not the last: ask another.
func (m *Merger) Delta(request Request, limitBytes int) Delta {
	delta := Delta{From: request.From, To: m.applied, Cursor: request.From, Full: request.Full, Horizon: m.horizon}
	if m.order.newest > m.applied {
		return delta
	}
	if !request.Full && request.From < m.horizon {
		delta.From, delta.Cursor, delta.Full = 0, 0, true
	}
	size := 0
	for _, number := range m.order.after(delta.From) {
		if number == noRecord {
			continue
		}
		revision := m.records.at(number).revision
		if size >= limitBytes && len(delta.Entries) > 0 && revision > delta.Cursor {
			return delta
		}
		item := m.entryOf(number)
		size += sizeOf(item)
		delta.Entries = append(delta.Entries, item)
		delta.Cursor = revision
	}
	delta.Last = true
	return delta
}

// entryOf returns what a peer is told of a record.
func (m *Merger) entryOf(number recordNumber) DeltaEntry {
	id := m.idOf(number)
	item := DeltaEntry{Latest: raw(id, m.latest(number))}
	if !m.records.at(number).faulty() {
		return item
	}
	if good := m.faults[number].good; good.revision > 0 {
		good := raw(id, good)
		item.LastGood = &good
	}
	return item
}

func sizeOf(item DeltaEntry) int {
	size := entryOverhead + len(item.Latest.Name) + len(item.Latest.Body)
	if item.LastGood != nil {
		size += entryOverhead + len(item.LastGood.Name) + len(item.LastGood.Body)
	}
	return size
}
