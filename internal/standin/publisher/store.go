// The records of a publisher, as a state machine without input or output: the
// newest version of each record, including tombstones, by ascending revision.

package publisher

import (
	"bytes"
	"maps"
	"slices"
	"sort"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// recordOverheadBytes bounds the JSON around a record's name and body in a page.
const recordOverheadBytes = 100

// store is not safe for concurrent use.
type store struct {
	revision flow.Revision
	latest   map[flow.RecordID]flow.RawRecord
	records  []flow.RawRecord // by ascending revision, including superseded ones
}

func newStore() *store { return &store{latest: map[flow.RecordID]flow.RawRecord{}} }

// put stores a record with the next revision; it supersedes the older version.
func (s *store) put(record flow.RawRecord) {
	s.revision++
	record.Revision = s.revision
	s.latest[record.ID()] = record
	s.records = append(s.records, record)
	if len(s.records) > 2*len(s.latest) {
		s.records = slices.DeleteFunc(s.records, s.superseded)
	}
}

// superseded reports whether a newer version of the record is stored.
func (s *store) superseded(record flow.RawRecord) bool {
	return s.latest[record.ID()].Revision != record.Revision
}

func (s *store) find(id flow.RecordID) (flow.RawRecord, bool) {
	record, ok := s.latest[id]
	return record, ok
}

// replace stores the records that differ from the stored ones and, if complete is
// true, deletes stored records that are not given.
func (s *store) replace(records []flow.RawRecord, complete bool) {
	given := map[flow.RecordID]bool{}
	for _, record := range records {
		given[record.ID()] = true
		stored, ok := s.find(record.ID())
		if !ok || stored.Deleted || !bytes.Equal(stored.Body, record.Body) {
			s.put(flow.RawRecord{Kind: record.Kind, Name: record.Name, Body: record.Body})
		}
	}
	if !complete {
		return
	}
	for _, stored := range slices.Clone(s.records) {
		if s.superseded(stored) {
			continue
		}
		if !given[stored.ID()] && !stored.Deleted {
			s.put(flow.RawRecord{Kind: stored.Kind, Name: stored.Name, Deleted: true})
		}
	}
}

// page returns the changes after a revision, up to limitBytes but at least one if
// there is any.
func (s *store) page(after flow.Revision, limitBytes int) Page {
	first := sort.Search(len(s.records), func(i int) bool { return s.records[i].Revision > after })
	page := Page{Revision: s.revision, Records: []flow.RawRecord{}}
	size := 0
	for _, record := range s.records[first:] {
		if s.superseded(record) {
			continue
		}
		size += encodedBytes(record)
		if len(page.Records) > 0 && size > limitBytes {
			page.More = true
			page.Revision = page.Records[len(page.Records)-1].Revision
			break
		}
		page.Records = append(page.Records, record)
	}
	return page
}

// snapshot returns a copy that later changes of s do not affect.
func (s *store) snapshot() *store {
	return &store{revision: s.revision, latest: maps.Clone(s.latest), records: slices.Clone(s.records)}
}

// encodedBytes estimates the size of a record in a page, where bodies are base64.
func encodedBytes(record flow.RawRecord) int {
	return recordOverheadBytes + len(record.Kind) + len(record.Name) + (len(record.Body)+2)/3*4
}
