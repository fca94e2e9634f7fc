// What is held of one record. There are hundreds of thousands, so that an
// entry is small: bodies are packed, parsed forms live in the index only, and
// what only faulty records need lies in a table of its own.

package merger

import (
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// entry is the latest version of one record.
type entry struct {
	name     string
	body     string // packed
	revision flow.Revision
	sequence uint32 // number of the last full sequence that held the record
	kind     uint16 // index into the merger's kinds
	deleted  bool
	faulty   bool // the latest version is not well-formed; see fault
}

// version is one version of a record.
type version struct {
	revision flow.Revision
	deleted  bool
	body     string // packed
}

// fault is what is held of a record whose latest version is bad.
type fault struct {
	problem string
	since   flow.Time
	good    version // last good version; revision 0 for none
}

// take merges one version of a record into its entry. It returns the parsed
// form when that version is now in force.
func (m *Merger) take(now flow.Time, e *entry, raw flow.RawRecord) flow.Record {
	if raw.Revision > e.revision {
		return m.takeLatest(now, e, raw)
	}
	if raw.Revision < e.revision && e.faulty {
		return m.takeGood(e, raw)
	}
	return nil
}

// takeLatest makes raw the latest version.
func (m *Merger) takeLatest(now flow.Time, e *entry, raw flow.RawRecord) flow.Record {
	record, err := parse(raw)
	if err == nil {
		delete(m.faults, e)
	} else {
		m.noteFault(now, e, err)
	}
	m.countTombstone(e.deleted, raw.Deleted)
	e.revision = raw.Revision
	e.deleted = raw.Deleted
	e.faulty = err != nil
	e.body = pack(raw.Body)
	m.order.add(e)
	return record
}

// noteFault records that the next version of e is bad, and keeps the last good
// version.
func (m *Merger) noteFault(now flow.Time, e *entry, err error) {
	held, faulty := m.faults[e]
	if !faulty {
		held = &fault{since: now, good: version{revision: e.revision, deleted: e.deleted, body: e.body}}
		m.faults[e] = held
	}
	held.problem = err.Error()
}

// takeGood makes raw the last good version of a faulty record when it is later
// than the one that is held.
func (m *Merger) takeGood(e *entry, raw flow.RawRecord) flow.Record {
	held := m.faults[e]
	if raw.Revision <= held.good.revision {
		return nil
	}
	record, err := parse(raw)
	if err != nil {
		return nil
	}
	held.good = version{revision: raw.Revision, deleted: raw.Deleted, body: pack(raw.Body)}
	return record
}

// inForce returns the version that is in force. A deleted version, or one of
// revision 0, means that the record is not there.
func (m *Merger) inForce(e *entry) version {
	if e.faulty {
		return m.faults[e].good
	}
	return version{revision: e.revision, deleted: e.deleted, body: e.body}
}

// record parses a version that is known to be good; it is nil when the record
// is not there.
func (m *Merger) record(e *entry, v version) flow.Record {
	if v.revision == 0 || v.deleted {
		return nil
	}
	record, err := parse(m.raw(e, v))
	if err != nil {
		return nil
	}
	return record
}

// raw returns a version as it was published.
func (m *Merger) raw(e *entry, v version) flow.RawRecord {
	return flow.RawRecord{
		Kind:     m.kinds[e.kind],
		Name:     e.name,
		Revision: v.revision,
		Deleted:  v.deleted,
		Body:     unpack(v.body),
	}
}

// parse parses a version; a tombstone is well-formed and parses to nil.
func parse(raw flow.RawRecord) (flow.Record, error) {
	if raw.Deleted {
		return nil, nil
	}
	return parser.ParseRecord(raw)
}
