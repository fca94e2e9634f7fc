// The records that a publisher holds, as a state machine without input or
// output: the newest version of each record, tombstones included, in the order
// of their revisions.

package publisher

import (
	"bytes"
	"maps"
	"slices"
	"sort"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// recordOverheadBytes is the JSON around a record's name and body in a page.
const recordOverheadBytes = 100

// store is not safe for use by many goroutines.
type store struct {
	revision flow.Revision
	latest   map[flow.RecordID]flow.RawRecord
	records  []flow.RawRecord // by growing revision; superseded ones among them
}

func newStore() *store { return &store{latest: map[flow.RecordID]flow.RawRecord{}} }

// put gives a record the next revision in place of its older version.
func (s *store) put(record flow.RawRecord) {
	s.revision++
	record.Revision = s.revision
	s.latest[record.ID()] = record
	s.records = append(s.records, record)
	if len(s.records) > 2*len(s.latest) {
		s.records = slices.DeleteFunc(s.records, s.superseded)
	}
}

// superseded reports whether a newer version of the record is held.
func (s *store) superseded(record flow.RawRecord) bool {
	return s.latest[record.ID()].Revision != record.Revision
}

func (s *store) find(id flow.RecordID) (flow.RawRecord, bool) {
	record, ok := s.latest[id]
	return record, ok
}

// replace puts the records that differ from what is held and, when complete,
// deletes those that are held and not given.
func (s *store) replace(records []flow.RawRecord, complete bool) {
	given := map[flow.RecordID]bool{}
	for _, record := range records {
		given[record.ID()] = true
		held, ok := s.find(record.ID())
		if !ok || held.Deleted || !bytes.Equal(held.Body, record.Body) {
			s.put(flow.RawRecord{Kind: record.Kind, Name: record.Name, Body: record.Body})
		}
	}
	if !complete {
		return
	}
	for _, held := range slices.Clone(s.records) {
		if s.superseded(held) {
			continue
		}
		if !given[held.ID()] && !held.Deleted {
			s.put(flow.RawRecord{Kind: held.Kind, Name: held.Name, Deleted: true})
		}
	}
}

// page returns the changes after a revision, up to limitBytes but at least one.
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

// snapshot returns a copy that later changes of s leave alone.
func (s *store) snapshot() *store {
	return &store{revision: s.revision, latest: maps.Clone(s.latest), records: slices.Clone(s.records)}
}

// encodedBytes bounds the size of a record in a page, whose bodies are base64.
func encodedBytes(record flow.RawRecord) int {
	return recordOverheadBytes + len(record.Kind) + len(record.Name) + (len(record.Body)+2)/3*4
}
