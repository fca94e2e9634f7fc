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
const kindLimit = 1 << 16

// entryOverhead is what an entry of a delta takes besides names and bodies, in
// bytes.
const entryOverhead = 32

// Merger is the store of records of one daemon. It is not safe for use by many
// goroutines; the caller does the locking.
type Merger struct {
	kinds          []flow.Kind
	kindNumbers    map[flow.Kind]uint16
	names          []map[string]*entry // by kind
	faults         map[*entry]*fault
	order          order
	records        int // entries, tombstones among them
	tombstones     int
	tombstoneLimit int

	applied  flow.Revision
	highest  flow.Revision
	horizon  flow.Revision // tombstones up to here are forgotten
	sequence sequence
}

// New returns an empty Merger that keeps up to tombstoneLimit tombstones.
func New(tombstoneLimit int) *Merger {
	return &Merger{
		kindNumbers:    make(map[flow.Kind]uint16),
		faults:         make(map[*entry]*fault),
		tombstoneLimit: tombstoneLimit,
	}
}

// Applied returns the revision up to which the store is complete.
func (m *Merger) Applied() flow.Revision { return m.applied }

// Highest returns the highest revision heard of by whatever way.
func (m *Merger) Highest() flow.Revision { return m.highest }

// Heard notes that a revision exists.
func (m *Merger) Heard(revision flow.Revision) { m.highest = max(m.highest, revision) }

// Len returns the number of records held, tombstones not among them.
func (m *Merger) Len() int { return m.records - m.tombstones }

// Raw returns the latest version of a record, and false when none is held.
func (m *Merger) Raw(id flow.RecordID) (flow.RawRecord, bool) {
	e := m.find(id)
	if e == nil {
		return flow.RawRecord{}, false
	}
	return m.raw(e, version{revision: e.revision, deleted: e.deleted, body: e.body}), true
}

// FaultCount returns the number of records whose latest version is bad.
func (m *Merger) FaultCount() int { return len(m.faults) }

// Faults returns up to limit records whose latest version is bad, those with
// the highest revisions first.
func (m *Merger) Faults(limit int) []Fault {
	faults := make([]Fault, 0, len(m.faults))
	for e, held := range m.faults {
		id := flow.RecordID{Kind: m.kinds[e.kind], Name: e.name}
		good := held.good.revision
		if held.good.deleted {
			good = 0
		}
		faults = append(faults, Fault{ID: id, Revision: e.revision, GoodRevision: good, Problem: held.problem, Since: held.since})
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
	m.Heard(delta.To)
	if delta.To < m.applied {
		return nil
	}
	accepted := m.accept(delta)
	var changes []Change
	for _, item := range delta.Entries {
		m.Heard(item.Latest.Revision)
		change, changed := m.mergeEntry(now, item, accepted && delta.Full)
		if changed {
			changes = append(changes, change)
		}
	}
	if accepted {
		changes = append(changes, m.advance(delta)...)
	}
	m.order.compact(m.records)
	return changes
}

// mergeEntry takes one entry in. Present marks the record as one that the full
// sequence under way holds.
func (m *Merger) mergeEntry(now flow.Time, item Entry, present bool) (Change, bool) {
	e := m.findOrAdd(item.Latest)
	if e == nil {
		return Change{}, false
	}
	if present {
		e.sequence = m.sequence.number
	}
	before := m.inForce(e)
	record := m.take(now, e, item.Latest)
	if item.Good != nil && item.Good.ID() == item.Latest.ID() {
		if good := m.take(now, e, *item.Good); good != nil {
			record = good
		}
	}
	after := m.inForce(e)
	if after.revision == before.revision {
		return Change{}, false
	}
	old := m.record(e, before)
	if after.deleted {
		record = nil
	}
	return Change{ID: item.Latest.ID(), Revision: after.revision, Old: old, New: record}, true
}

// findOrAdd returns the entry of a record, or nil when there shall be none: a
// record that is not held, and whose revision is one up to which the store is
// complete, was deleted since.
func (m *Merger) findOrAdd(raw flow.RawRecord) *entry {
	if e := m.find(raw.ID()); e != nil {
		return e
	}
	if raw.Revision <= m.applied || raw.Kind == "" || raw.Name == "" {
		return nil
	}
	kind, ok := m.kindNumber(raw.Kind)
	if !ok {
		return nil
	}
	e := &entry{name: strings.Clone(raw.Name), kind: kind}
	m.names[kind][e.name] = e
	m.records++
	return e
}

func (m *Merger) find(id flow.RecordID) *entry {
	kind, ok := m.kindNumbers[id.Kind]
	if !ok {
		return nil
	}
	return m.names[kind][id.Name]
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
	m.names = append(m.names, make(map[string]*entry))
	m.kindNumbers[m.kinds[number]] = number
	return number, true
}

// remove forgets a record altogether.
func (m *Merger) remove(e *entry) {
	m.countTombstone(e.deleted, false)
	delete(m.names[e.kind], e.name)
	delete(m.faults, e)
	e.revision = 0
	m.records--
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
	for _, item := range m.order.sorted() {
		if m.tombstones <= m.tombstoneLimit || item.revision > m.applied {
			return
		}
		if !item.stale() && item.entry.deleted {
			m.horizon = item.revision
			m.remove(item.entry)
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
	for _, item := range m.order.after(delta.From) {
		if item.stale() {
			continue
		}
		if size >= limitBytes && len(delta.Entries) > 0 && item.revision > delta.Cursor {
			return delta
		}
		entry := m.entryOf(item.entry)
		size += sizeOf(entry)
		delta.Entries = append(delta.Entries, entry)
		delta.Cursor = item.revision
	}
	delta.Last = true
	return delta
}

// entryOf returns what a peer is told of a record.
func (m *Merger) entryOf(e *entry) Entry {
	item := Entry{Latest: m.raw(e, version{revision: e.revision, deleted: e.deleted, body: e.body})}
	if !e.faulty {
		return item
	}
	if good := m.faults[e].good; good.revision > 0 {
		raw := m.raw(e, good)
		item.Good = &raw
	}
	return item
}

func sizeOf(item Entry) int {
	size := entryOverhead + len(item.Latest.Name) + len(item.Latest.Body)
	if item.Good != nil {
		size += entryOverhead + len(item.Good.Name) + len(item.Good.Body)
	}
	return size
}
