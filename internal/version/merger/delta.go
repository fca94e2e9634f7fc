// The data that daemons exchange to bring each other up to date.

package merger

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// Request asks for a delta.
type Request struct {
	From flow.Revision `msgpack:"f"`           // revision up to which the asker holds what it needs
	Full bool          `msgpack:"u,omitempty"` // true within a full sequence
}

// Delta is one part of the way from one revision of the configuration to
// another. Its entries are sorted by the revision of their latest version.
//
// The last part of a sequence makes the receiver complete up to To. An earlier
// part only moves the revision that it asks for next, since a later change of
// a record may hide an earlier one of it.
type Delta struct {
	From flow.Revision `msgpack:"f"`
	To   flow.Revision `msgpack:"t"` // revision up to which the sender is complete
	Last bool          `msgpack:"l,omitempty"`

	// Cursor is the From to ask for next after a part that is not the last.
	Cursor flow.Revision `msgpack:"c,omitempty"`

	// Full marks a sequence that begins at revision 0 and holds every record
	// there is. The receiver drops what is absent from it.
	Full bool `msgpack:"u,omitempty"`

	// Horizon is the revision up to which the sender has forgotten tombstones.
	Horizon flow.Revision `msgpack:"h,omitempty"`

	Entries []DeltaEntry `msgpack:"e,omitempty"`
}

// DeltaEntry is what a sender holds of one record.
type DeltaEntry struct {
	Latest flow.RawRecord  `msgpack:"l"`
	LastGood   *flow.RawRecord `msgpack:"g,omitempty"` // last good version when Latest is bad for the sender
}

// Change is a change of what is in force. Old and New are both nil when a
// record came and went unseen, and only its tombstone was met. A Change with an
// empty ID says that changes up to Revision may have gone unseen altogether.
type Change struct {
	ID       flow.RecordID
	Revision flow.Revision // of the change, or an upper bound when the change itself was never seen
	Old      flow.Record   // nil when there was none in force
	New      flow.Record   // nil when there is none in force any more
}

// Fault says that the latest version of a record is not in force.
type Fault struct {
	ID           flow.RecordID
	Revision     flow.Revision // of the latest version
	LastGoodRevision flow.Revision // of the version in force; 0 for none
	ParseError      string
	Since        flow.Time // when the daemon met the first bad version in a row
}

// FullDelta returns the whole configuration at a revision as one delta, for a
// reader of the platform whose list holds no tombstones. Whoever merges it can
// answer requests from below that revision by full deltas only, so that a
// reader should ask its peers first and list when none can answer.
func FullDelta(revision flow.Revision, records []flow.RawRecord) Delta {
	delta := Delta{To: revision, Last: true, Full: true, Horizon: revision}
	for _, raw := range records {
		delta.Entries = append(delta.Entries, DeltaEntry{Latest: raw})
	}
	return delta
}

// WatchDelta returns all changes after a revision up to another as one delta,
// for a reader of the platform.
func WatchDelta(from, to flow.Revision, records []flow.RawRecord) Delta {
	delta := Delta{From: from, To: to, Last: true}
	for _, raw := range records {
		delta.Entries = append(delta.Entries, DeltaEntry{Latest: raw})
	}
	return delta
}
