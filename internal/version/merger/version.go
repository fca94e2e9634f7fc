// This file merges versions into the row of one record. There are hundreds of
// thousands of records, so a row is small: bodies are packed, parsed records
// exist only in the index, and what only malformed records need is in a
// separate map.

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

// faultState is the additional state of a record whose latest version is
// malformed.
type faultState struct {
	parseError string
	since      flow.Time
	lastGood   version // revision 0 if there is none
}

// mergeVersion merges one version into the row of its record. It returns the
// parsed record if that version is now in force.
func (m *Merger) mergeVersion(now flow.Time, number recordNumber, raw flow.RawRecord) flow.Record {
	row := m.records.at(number)
	if raw.Revision > row.revision {
		return m.setLatest(now, number, raw)
	}
	if raw.Revision < row.revision && row.faulty() {
		return m.setLastGood(number, raw)
	}
	return nil
}

// setLatest makes raw the latest version.
func (m *Merger) setLatest(now flow.Time, number recordNumber, raw flow.RawRecord) flow.Record {
	row := m.records.at(number)
	record, err := parse(raw)
	if err == nil {
		delete(m.faults, number)
	} else {
		m.recordFault(now, number, err)
	}
	m.updateTombstoneCount(row.deleted(), raw.Deleted)
	m.records.setBody(row, raw.Name, pack(raw.ID(), raw.Body))
	m.revisionOrder.remove(row)
	row.revision = raw.Revision
	row.setState(raw.Deleted, err != nil)
	m.revisionOrder.add(number, row)
	return record
}

// recordFault records that the next version of a record is malformed. At the
// first malformed version in a row it keeps the current version as the last
// good one.
func (m *Merger) recordFault(now flow.Time, number recordNumber, err error) {
	state, known := m.faults[number]
	if !known {
		state = &faultState{since: now, lastGood: m.latest(number)}
		m.faults[number] = state
	}
	state.parseError = err.Error()
}

// setLastGood makes raw the last good version of a malformed record if it
// parses and is newer than the one stored.
func (m *Merger) setLastGood(number recordNumber, raw flow.RawRecord) flow.Record {
	state := m.faults[number]
	if raw.Revision <= state.lastGood.revision {
		return nil
	}
	record, err := parse(raw)
	if err != nil {
		return nil
	}
	state.lastGood = version{revision: raw.Revision, deleted: raw.Deleted, body: pack(raw.ID(), raw.Body)}
	return record
}

// latest returns the latest version, or one with revision 0 if there is none
// yet.
func (m *Merger) latest(number recordNumber) version {
	row := m.records.at(number)
	if row.revision == 0 {
		return version{}
	}
	return version{revision: row.revision, deleted: row.deleted(), body: m.records.body(row)}
}

// inForce returns the version that is in force. If it is deleted or has
// revision 0, no record is in force.
func (m *Merger) inForce(number recordNumber) version {
	if m.records.at(number).faulty() {
		return m.faults[number].lastGood
	}
	return m.latest(number)
}

// parseGood parses a version that has parsed before. It returns nil if the
// version is a tombstone or missing.
func parseGood(id flow.RecordID, v version) flow.Record {
	if v.revision == 0 || v.deleted {
		return nil
	}
	record, err := parse(toRaw(id, v))
	if err != nil {
		return nil
	}
	return record
}

// idOf returns the ID of a record.
func (m *Merger) idOf(number recordNumber) flow.RecordID {
	row := m.records.at(number)
	return flow.RecordID{Kind: m.kinds[row.kindIndex()], Name: m.records.name(row)}
}

// toRaw returns a version as it was published.
func toRaw(id flow.RecordID, v version) flow.RawRecord {
	return flow.RawRecord{
		Kind:     id.Kind,
		Name:     id.Name,
		Revision: v.revision,
		Deleted:  v.deleted,
		Body:     unpack(id, v.body),
	}
}

// parse parses a version. A tombstone is well-formed and yields nil.
func parse(raw flow.RawRecord) (flow.Record, error) {
	if raw.Deleted {
		return nil, nil
	}
	return parser.ParseRecord(raw)
}
