package merger_test

import (
	"cmp"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const wholeDelta = 1 << 20 // bytes

// good returns a version of a customer that parses.
func good(name string, revision flow.Revision) flow.RawRecord {
	body := fmt.Sprintf(`{"kind":"customer","name":"%s","schema":1,"description":"%d"}`, name, revision)
	return flow.RawRecord{Kind: flow.KindCustomer, Name: name, Revision: revision, Body: []byte(body)}
}

// malformed returns a version of a customer that does not parse.
func malformed(name string, revision flow.Revision) flow.RawRecord {
	raw := good(name, revision)
	raw.Body = []byte("{\t\"schema\": 99")
	return raw
}

// tombstone returns the deletion of a customer.
func tombstone(name string, revision flow.Revision) flow.RawRecord {
	return flow.RawRecord{Kind: flow.KindCustomer, Name: name, Revision: revision, Deleted: true}
}

// descriptions is what is in force, built from changes: the description of each
// customer, which good sets to the revision.
type descriptions map[string]string

func (d descriptions) apply(changes []merger.Change) error {
	for _, change := range changes {
		if got, want := d[change.ID.Name], description(change.Old); got != want {
			return fmt.Errorf("%s: Old is %q, but %q was in force", change.ID.Name, want, got)
		}
		if change.New == nil {
			delete(d, change.ID.Name)
		} else {
			d[change.ID.Name] = description(change.New)
		}
	}
	return nil
}

func description(record flow.Record) string {
	if customer, ok := record.(*flow.Customer); ok {
		return customer.Description
	}
	return ""
}

func watch(from, to flow.Revision, records ...flow.RawRecord) merger.Delta {
	return merger.WatchDelta(from, to, records)
}

// part returns a delta that is not the last of its transfer.
func part(from, cursor, to flow.Revision, records ...flow.RawRecord) merger.Delta {
	delta := merger.WatchDelta(from, to, records)
	delta.Last = false
	delta.Cursor = cursor
	return delta
}

func TestMerge(t *testing.T) {
	cases := map[string]struct {
		deltas     []merger.Delta
		tombstones int // limit
		applied    flow.Revision
		faults     int
		want       descriptions
	}{
		"deltas in order": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(1, 2, good("b", 2)), watch(2, 3, good("a", 3))},
			applied: 3, want: descriptions{"a": "3", "b": "2"},
		},
		"stale read of the platform changes nothing": {
			deltas:  []merger.Delta{watch(0, 3, good("b", 2), good("a", 3)), watch(0, 1, good("a", 1)), merger.FullDelta(1, []flow.RawRecord{good("a", 1)})},
			applied: 3, want: descriptions{"a": "3", "b": "2"},
		},
		"reordered deltas leave the store incomplete": {
			deltas:  []merger.Delta{watch(2, 3, good("a", 3)), watch(1, 2, good("b", 2)), watch(0, 1, good("a", 1))},
			applied: 1, want: descriptions{"a": "3", "b": "2"},
		},
		"reordered deltas, then one that covers all": {
			deltas:  []merger.Delta{watch(1, 3, good("a", 3)), watch(0, 1, good("a", 1)), watch(0, 3, good("b", 2), good("a", 3))},
			applied: 3, want: descriptions{"a": "3", "b": "2"},
		},
		"repeated deltas change nothing": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(0, 1, good("a", 1)), watch(1, 2, tombstone("a", 2)), watch(0, 1, good("a", 1))},
			applied: 2, want: descriptions{},
		},
		"the higher of two racing changes wins": {
			deltas:  []merger.Delta{watch(0, 0, good("a", 6)), watch(0, 0, good("a", 5)), watch(0, 6, good("a", 6))},
			applied: 6, want: descriptions{"a": "6"},
		},
		"delta above a gap does not count as complete": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(2, 3, good("a", 3))},
			applied: 1, want: descriptions{"a": "3"},
		},
		"full list removes absent records": {
			deltas:  []merger.Delta{watch(0, 2, good("a", 1), good("b", 2)), merger.FullDelta(4, []flow.RawRecord{good("a", 1)})},
			applied: 4, want: descriptions{"a": "1"},
		},
		"full list keeps a newer record": {
			deltas:  []merger.Delta{watch(0, 2, good("a", 1), good("b", 2)), watch(5, 6, good("b", 6)), merger.FullDelta(4, []flow.RawRecord{good("a", 1)})},
			applied: 4, want: descriptions{"a": "1", "b": "6"},
		},
		"removed record is not added again": {
			deltas:  []merger.Delta{watch(0, 2, good("a", 1), good("b", 2)), merger.FullDelta(4, nil), watch(4, 5, good("c", 5), good("b", 2))},
			applied: 5, want: descriptions{"c": "5"},
		},
		"full list of an applied revision removes nothing": {
			deltas:  []merger.Delta{watch(0, 2, good("a", 1), good("b", 2)), merger.FullDelta(2, nil)},
			applied: 2, want: descriptions{"a": "1", "b": "2"},
		},
		"good version after a malformed one": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(1, 2, malformed("a", 2)), watch(2, 3, good("a", 3))},
			applied: 3, want: descriptions{"a": "3"},
		},
		"last good version stays in force under malformed ones": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(1, 3, malformed("a", 2), malformed("a", 3), good("b", 3))},
			applied: 3, faults: 1, want: descriptions{"a": "1", "b": "3"},
		},
		"tombstone after a malformed version": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(1, 2, malformed("a", 2)), watch(2, 3, tombstone("a", 3))},
			applied: 3, want: descriptions{},
		},
		"malformed version after a tombstone": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), watch(1, 2, tombstone("a", 2)), watch(2, 3, malformed("a", 3))},
			applied: 3, faults: 1, want: descriptions{},
		},
		"late good version under a malformed latest": {
			deltas:  []merger.Delta{watch(0, 3, malformed("a", 3)), watch(0, 3, good("a", 2)), watch(0, 3, good("a", 1))},
			applied: 3, faults: 1, want: descriptions{"a": "2"},
		},
		"last good version sent along by a peer": {
			deltas: []merger.Delta{{To: 3, Last: true, Entries: []merger.DeltaEntry{
				{Latest: malformed("a", 3), LastGood: &flow.RawRecord{Kind: flow.KindCustomer, Name: "a", Revision: 2, Body: good("a", 2).Body}},
			}}},
			applied: 3, faults: 1, want: descriptions{"a": "2"},
		},
		"only the last part makes the store complete": {
			deltas:  []merger.Delta{part(0, 1, 3, good("a", 1)), part(1, 2, 3, good("b", 2))},
			applied: 0, want: descriptions{"a": "1", "b": "2"},
		},
		"second sender completes the transfer": {
			deltas:  []merger.Delta{part(0, 1, 3, good("a", 1)), watch(1, 4, good("c", 3), good("b", 4))},
			applied: 4, want: descriptions{"a": "1", "b": "4", "c": "3"},
		},
		"lagging second sender does not complete the transfer": {
			// The first sender left b for a later part, since it changed at 3; the
			// second has only b of revision 1, which is below the cursor.
			deltas:  []merger.Delta{part(0, 1, 3, good("a", 1)), watch(1, 2, good("c", 2))},
			applied: 0, want: descriptions{"a": "1", "c": "2"},
		},
		"delta of a lagging sender is ignored": {
			deltas:  []merger.Delta{watch(0, 3, good("a", 3)), watch(3, 2, good("b", 9))},
			applied: 3, want: descriptions{"a": "3"},
		},
		"delta from below the sender's horizon does not count": {
			deltas:  []merger.Delta{watch(0, 1, good("a", 1)), {From: 1, To: 5, Last: true, Horizon: 3}},
			applied: 1, want: descriptions{"a": "1"},
		},
		"third sender that purged a tombstone ends the full transfer": {
			// a was deleted at 5. The second sender has that tombstone but has not
			// sent it yet, and the third has purged it.
			deltas: []merger.Delta{
				{To: 3, Full: true, Cursor: 1, Entries: []merger.DeltaEntry{{Latest: good("a", 1)}}},
				{From: 1, To: 6, Full: true, Cursor: 2, Horizon: 3, Entries: []merger.DeltaEntry{{Latest: good("b", 2)}}},
				{From: 2, To: 7, Full: true, Last: true, Horizon: 6, Entries: []merger.DeltaEntry{{Latest: good("c", 7)}}},
			},
			applied: 0, want: descriptions{"a": "1", "b": "2", "c": "7"},
		},
		"tombstones above applied are never purged": {
			deltas:     []merger.Delta{watch(5, 7, tombstone("b", 6), tombstone("c", 7)), watch(0, 2, good("a", 2)), watch(2, 4, good("b", 4))},
			tombstones: 1, applied: 4, want: descriptions{"a": "2"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := merger.New(cmp.Or(tc.tombstones, merger.TombstoneLimit))
			got := descriptions{}
			for _, delta := range tc.deltas {
				is.NoErr(got.apply(m.Merge(0, delta)))
			}
			is.Equal(m.Applied(), tc.applied)
			is.Equal(got, tc.want)
			is.Equal(m.FaultCount(), tc.faults)
		})
	}
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	m := merger.New(merger.TombstoneLimit)
	m.Merge(10, watch(0, 1, good("a", 1)))
	m.Merge(20, watch(1, 2, malformed("a", 2)))
	m.Merge(30, watch(2, 4, malformed("a", 3), malformed("b", 4)))
	faults := m.Faults(5)
	is.Equal(len(faults), 2)
	is.True(faults[0].ParseError != "")
	is.Equal(faults[0].LastGoodRevision, flow.Revision(0))
	faults[1].ParseError = ""
	is.Equal(faults[1], merger.Fault{ID: good("a", 3).ID(), Revision: 3, LastGoodRevision: 1, Since: 20})
	is.Equal(len(m.Faults(1)), 1)
}

func TestHighestCountsEveryRevisionSeen(t *testing.T) {
	is := is.New(t)
	m := merger.New(merger.TombstoneLimit)
	m.Merge(0, watch(0, 2, good("a", 1)))
	is.Equal(m.Highest(), m.Applied())
	m.ObserveRevision(5)
	m.ObserveRevision(4)
	is.Equal(m.Highest(), flow.Revision(5))
	m.Merge(0, part(2, 3, 9, good("a", 3)))
	is.Equal(m.Highest(), flow.Revision(9))
	m.Merge(0, watch(20, 2, good("a", 21)))
	is.Equal(m.Highest(), flow.Revision(21))
	is.Equal(m.Applied(), flow.Revision(2))
}

// A sender sends only what changed after the requester's revision, with the
// last good version of a malformed record. It sends nothing while it is in the
// middle of a transfer itself.
func TestDeltaContainsWhatTheRequesterLacks(t *testing.T) {
	is := is.New(t)
	m := merger.New(merger.TombstoneLimit)
	m.Merge(0, watch(0, 3, good("a", 1), good("b", 2), good("c", 3)))
	m.Merge(0, watch(3, 5, malformed("b", 4), tombstone("a", 5)))
	old := good("b", 2)
	delta := m.Delta(merger.Request{From: 3}, wholeDelta)
	is.Equal(delta, merger.Delta{
		From: 3, To: 5, Last: true, Cursor: 5,
		Entries: []merger.DeltaEntry{{Latest: malformed("b", 4), LastGood: &old}, {Latest: tombstone("a", 5)}},
	})
	encoded, err := msgpack.Marshal(delta)
	is.NoErr(err)
	var decoded merger.Delta
	is.NoErr(msgpack.Unmarshal(encoded, &decoded))
	is.Equal(decoded, delta)

	m.Merge(0, part(5, 7, 9, good("d", 7)))
	is.Equal(m.Delta(merger.Request{From: 3}, wholeDelta), merger.Delta{From: 3, To: 5, Cursor: 3})
}

func TestPurgedTombstonesRequireAFullDelta(t *testing.T) {
	is := is.New(t)
	sender := merger.New(2)
	receiver := merger.New(2)
	first := watch(0, 4, good("a", 1), good("b", 2), good("c", 3), good("d", 4))
	sender.Merge(0, first)
	receiver.Merge(0, first)
	sender.Merge(0, watch(4, 8, tombstone("a", 5), tombstone("b", 6), tombstone("c", 7), good("e", 8)))

	delta := sender.Delta(receiver.NextRequest(), 1)
	is.True(delta.Full)
	is.Equal(delta.Horizon, flow.Revision(5))
	got := descriptions{"a": "1", "b": "2", "c": "3", "d": "4"}
	for parts := 0; receiver.Applied() < sender.Applied(); parts++ {
		is.True(parts < 5)
		is.Equal(receiver.Applied(), flow.Revision(4))
		is.NoErr(got.apply(receiver.Merge(0, sender.Delta(receiver.NextRequest(), 1))))
	}
	is.Equal(got, descriptions{"d": "4", "e": "8"})
	is.Equal(receiver.Delta(merger.Request{From: 4}, wholeDelta).Full, true)
	is.NoErr(got.apply(receiver.Merge(0, watch(4, 8, good("a", 1)))))
	is.Equal(got, descriptions{"d": "4", "e": "8"})
}
