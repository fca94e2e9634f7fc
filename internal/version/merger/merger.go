package merger

import (
	"sort"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TombstoneLimit is the number of tombstones that a daemon keeps. A peer that
// missed more deletions than that needs a full delta.
const TombstoneLimit = 32768

// maxKinds is the number of record kinds that fit into a recordRow.
const maxKinds = kindMask + 1

// entryOverheadBytes is the estimated size of a delta entry without its names
// and bodies.
const entryOverheadBytes = 32

// Merger is the record store of one daemon. It is not safe for concurrent use;
// the caller must lock.
type Merger struct {
	kinds          []flow.Kind
	kindIndexes    map[flow.Kind]uint16
	records        recordTable
	faults         map[recordNumber]*faultState
	revisionOrder  revisionOrder
	tombstones     int
	tombstoneLimit int

	applied  flow.Revision
	highest  flow.Revision
	horizon  flow.Revision // tombstones up to this revision may have been purged
	transfer transfer
}

// New returns an empty Merger that keeps up to tombstoneLimit tombstones.
func New(tombstoneLimit int) *Merger {
	m := &Merger{
		kindIndexes:    make(map[flow.Kind]uint16),
		faults:         make(map[recordNumber]*faultState),
		tombstoneLimit: tombstoneLimit,
	}
	m.revisionOrder.records = &m.records
	return m
}

// Applied returns the revision up to which the store is complete.
func (m *Merger) Applied() flow.Revision { return m.applied }

// Highest returns the highest revision known to exist, from deltas or from
// ObserveRevision.
func (m *Merger) Highest() flow.Revision { return m.highest }

// ObserveRevision records that a revision exists.
func (m *Merger) ObserveRevision(revision flow.Revision) { m.highest = max(m.highest, revision) }

// Len returns the number of records, not counting tombstones.
func (m *Merger) Len() int { return m.records.count - m.tombstones }

// Raw returns the latest version of a record, which may be a tombstone or
// malformed. It returns false if the store has none.
func (m *Merger) Raw(id flow.RecordID) (flow.RawRecord, bool) {
	number := m.find(id)
	if number == noRecord {
		return flow.RawRecord{}, false
	}
	return toRaw(id, m.latest(number)), true
}

// FaultCount returns the number of records whose latest version is malformed.
func (m *Merger) FaultCount() int { return len(m.faults) }

// Faults returns up to limit records whose latest version is malformed, highest
// revision first.
func (m *Merger) Faults(limit int) []Fault {
	faults := make([]Fault, 0, len(m.faults))
	for number, state := range m.faults {
		lastGood := state.lastGood.revision
		if state.lastGood.deleted {
			lastGood = 0
		}
		faults = append(faults, Fault{
			ID:               m.idOf(number),
			Revision:         m.records.at(number).revision,
			LastGoodRevision: lastGood,
			ParseError:       state.parseError,
			Since:            state.since,
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

// Merge merges a delta into the store and returns the resulting changes of what
// is in force. It ignores a delta whose To is below Applied, except that the
// revision counts for Highest.
func (m *Merger) Merge(now flow.Time, delta Delta) []Change {
	m.ObserveRevision(delta.To)
	if delta.To < m.applied {
		return nil
	}
	accepted := m.acceptPart(delta)
	var changes []Change
	for _, entry := range delta.Entries {
		m.ObserveRevision(entry.Latest.Revision)
		change, changed := m.mergeEntry(now, entry, accepted && delta.Full)
		if changed {
			changes = append(changes, change)
		}
	}
	if accepted {
		changes = append(changes, m.advance(delta)...)
	}
	m.revisionOrder.compactIfSparse()
	m.records.compactArena()
	return changes
}

// mergeEntry merges one entry of a delta. If listed is true, the record is
// marked as part of the current full transfer.
func (m *Merger) mergeEntry(now flow.Time, entry DeltaEntry, listed bool) (Change, bool) {
	number := m.findOrAdd(entry.Latest)
	if number == noRecord {
		return Change{}, false
	}
	if listed {
		m.records.at(number).lastTransfer = m.transfer.number
	}
	before := m.inForce(number)
	record := m.mergeVersion(now, number, entry.Latest)
	if entry.LastGood != nil && entry.LastGood.ID() == entry.Latest.ID() {
		if good := m.mergeVersion(now, number, *entry.LastGood); good != nil {
			record = good
		}
	}
	after := m.inForce(number)
	if after.revision == before.revision {
		return Change{}, false
	}
	old := parseGood(entry.Latest.ID(), before)
	if after.deleted {
		record = nil
	}
	return Change{ID: entry.Latest.ID(), Revision: after.revision, Old: old, New: record}, true
}

// findOrAdd returns the number of a record and adds the record if necessary. It
// returns noRecord for an unknown record with a revision up to Applied: the
// store is complete up to there, so the record has been deleted since.
func (m *Merger) findOrAdd(raw flow.RawRecord) recordNumber {
	if number := m.find(raw.ID()); number != noRecord {
		return number
	}
	if raw.Revision <= m.applied || raw.Kind == "" || raw.Name == "" {
		return noRecord
	}
	kind, ok := m.kindIndex(raw.Kind)
	if !ok {
		return noRecord
	}
	return m.records.add(kind, raw.Name)
}

func (m *Merger) find(id flow.RecordID) recordNumber {
	kind, ok := m.kindIndexes[id.Kind]
	if !ok {
		return noRecord
	}
	return m.records.find(kind, id.Name)
}

// kindIndex returns the index of a kind and adds the kind if necessary. Kinds
// that this program does not know are stored too. It returns false once
// maxKinds kinds are stored.
func (m *Merger) kindIndex(kind flow.Kind) (uint16, bool) {
	index, ok := m.kindIndexes[kind]
	if ok {
		return index, true
	}
	if len(m.kinds) == maxKinds {
		return 0, false
	}
	index = uint16(len(m.kinds))
	m.kinds = append(m.kinds, flow.Kind(strings.Clone(string(kind))))
	m.kindIndexes[m.kinds[index]] = index
	return index, true
}

// remove deletes a record from the store without leaving a tombstone.
func (m *Merger) remove(number recordNumber) {
	row := m.records.at(number)
	m.updateTombstoneCount(row.deleted(), false)
	delete(m.faults, number)
	m.revisionOrder.remove(row)
	m.records.remove(number)
}

func (m *Merger) updateTombstoneCount(wasTombstone, isTombstone bool) {
	if wasTombstone {
		m.tombstones--
	}
	if isTombstone {
		m.tombstones++
	}
}

// tombstoneSlackDivisor lets the tombstones exceed the limit by an eighth, so
// that they are purged in batches.
const tombstoneSlackDivisor = 8

// purgeTombstones removes the oldest tombstones beyond the limit and raises the
// horizon accordingly. It keeps tombstones above Applied, because only they
// keep an older version of their record from being added again.
func (m *Merger) purgeTombstones() {
	if m.tombstones <= m.tombstoneLimit+m.tombstoneLimit/tombstoneSlackDivisor {
		return
	}
	for _, number := range m.revisionOrder.sorted() {
		if number == noRecord {
			continue
		}
		row := m.records.at(number)
		if m.tombstones <= m.tombstoneLimit || row.revision > m.applied {
			return
		}
		if row.deleted() {
			m.horizon = row.revision
			m.remove(number)
		}
	}
}

// Delta answers a request with one part of about limitBytes at most. If the
// store holds records above Applied, it is in the middle of a transfer itself
// and returns an empty part that is not the last, so that the requester asks
// another peer.
func (m *Merger) Delta(request Request, limitBytes int) Delta {
	delta := Delta{From: request.From, To: m.applied, Cursor: request.From, Full: request.Full, Horizon: m.horizon}
	if m.revisionOrder.highest > m.applied {
		return delta
	}
	if !request.Full && request.From < m.horizon {
		delta.From, delta.Cursor, delta.Full = 0, 0, true
	}
	size := 0
	for _, number := range m.revisionOrder.after(delta.From) {
		if number == noRecord {
			continue
		}
		revision := m.records.at(number).revision
		if size >= limitBytes && len(delta.Entries) > 0 && revision > delta.Cursor {
			return delta
		}
		entry := m.deltaEntry(number)
		size += entrySize(entry)
		delta.Entries = append(delta.Entries, entry)
		delta.Cursor = revision
	}
	delta.Last = true
	return delta
}

// deltaEntry returns the entry for a record in a delta to a peer.
func (m *Merger) deltaEntry(number recordNumber) DeltaEntry {
	id := m.idOf(number)
	entry := DeltaEntry{Latest: toRaw(id, m.latest(number))}
	if !m.records.at(number).faulty() {
		return entry
	}
	if good := m.faults[number].lastGood; good.revision > 0 {
		good := toRaw(id, good)
		entry.LastGood = &good
	}
	return entry
}

func entrySize(entry DeltaEntry) int {
	size := entryOverheadBytes + len(entry.Latest.Name) + len(entry.Latest.Body)
	if entry.LastGood != nil {
		size += entryOverheadBytes + len(entry.LastGood.Name) + len(entry.LastGood.Body)
	}
	return size
}
