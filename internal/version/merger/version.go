// How the versions of one record are merged into its entry. There are hundreds
// of thousands of records, so that an entry is small: bodies are packed, parsed
// forms live in the index only, and what only faulty records need lies in a
// table of its own.

package merger

import (
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

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
func (m *Merger) take(now flow.Time, number recordNumber, raw flow.RawRecord) flow.Record {
	e := m.records.at(number)
	if raw.Revision > e.revision {
		return m.takeLatest(now, number, raw)
	}
	if raw.Revision < e.revision && e.faulty() {
		return m.takeGood(number, raw)
	}
	return nil
}

// takeLatest makes raw the latest version.
func (m *Merger) takeLatest(now flow.Time, number recordNumber, raw flow.RawRecord) flow.Record {
	e := m.records.at(number)
	record, err := parse(raw)
	if err == nil {
		delete(m.faults, number)
	} else {
		m.noteFault(now, number, err)
	}
	m.countTombstone(e.deleted(), raw.Deleted)
	m.records.setBody(e, raw.Name, pack(raw.ID(), raw.Body))
	m.order.remove(e)
	e.revision = raw.Revision
	e.setState(raw.Deleted, err != nil)
	m.order.add(number, e)
	return record
}

// noteFault records that the next version of e is bad, and keeps the last good
// version.
func (m *Merger) noteFault(now flow.Time, number recordNumber, err error) {
	held, faulty := m.faults[number]
	if !faulty {
		held = &fault{since: now, good: m.latest(number)}
		m.faults[number] = held
	}
	held.problem = err.Error()
}

// takeGood makes raw the last good version of a faulty record when it is later
// than the one that is held.
func (m *Merger) takeGood(number recordNumber, raw flow.RawRecord) flow.Record {
	held := m.faults[number]
	if raw.Revision <= held.good.revision {
		return nil
	}
	record, err := parse(raw)
	if err != nil {
		return nil
	}
	held.good = version{revision: raw.Revision, deleted: raw.Deleted, body: pack(raw.ID(), raw.Body)}
	return record
}

// latest returns the latest version; it has revision 0 when there is none yet.
func (m *Merger) latest(number recordNumber) version {
	e := m.records.at(number)
	if e.revision == 0 {
		return version{}
	}
	return version{revision: e.revision, deleted: e.deleted(), body: m.records.body(e)}
}

// inForce returns the version that is in force. A deleted version, or one of
// revision 0, means that the record is not there.
func (m *Merger) inForce(number recordNumber) version {
	if m.records.at(number).faulty() {
		return m.faults[number].good
	}
	return m.latest(number)
}

// record parses a version that is known to be good; it is nil when the record
// is not there.
func record(id flow.RecordID, v version) flow.Record {
	if v.revision == 0 || v.deleted {
		return nil
	}
	record, err := parse(raw(id, v))
	if err != nil {
		return nil
	}
	return record
}

// idOf returns the identity of a record.
func (m *Merger) idOf(number recordNumber) flow.RecordID {
	e := m.records.at(number)
	return flow.RecordID{Kind: m.kinds[e.kind()], Name: m.records.name(e)}
}

// raw returns a version as it was published.
func raw(id flow.RecordID, v version) flow.RawRecord {
	return flow.RawRecord{
		Kind:     id.Kind,
		Name:     id.Name,
		Revision: v.revision,
		Deleted:  v.deleted,
		Body:     unpack(id, v.body),
	}
}

// parse parses a version; a tombstone is well-formed and parses to nil.
func parse(raw flow.RawRecord) (flow.Record, error) {
	if raw.Deleted {
		return nil, nil
	}
	return parser.ParseRecord(raw)
}
