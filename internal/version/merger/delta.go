// This file defines the data that daemons exchange to update each other's
// records.

package merger

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// Request asks a peer for a delta.
type Request struct {
	From flow.Revision `msgpack:"f"`           // revision up to which the requester has all it needs
	Full bool          `msgpack:"u,omitempty"` // true within a full transfer
}

// Delta is one part of the changes from one revision of the configuration to
// another. Its entries are sorted by the revision of their latest version.
//
// The last part of a transfer makes the receiver complete up to To. An earlier
// part only moves the revision that the receiver requests next, since a later
// change of a record may hide an earlier one.
type Delta struct {
	From flow.Revision `msgpack:"f"`
	To   flow.Revision `msgpack:"t"` // revision up to which the sender is complete
	Last bool          `msgpack:"l,omitempty"`

	// Cursor is the From of the next request after a part that is not the last.
	Cursor flow.Revision `msgpack:"c,omitempty"`

	// Full marks a transfer that starts at revision 0 and contains every record.
	// The receiver removes the records that are absent from it.
	Full bool `msgpack:"u,omitempty"`

	// Horizon is the revision up to which the sender may have purged tombstones.
	Horizon flow.Revision `msgpack:"h,omitempty"`

	Entries []DeltaEntry `msgpack:"e,omitempty"`
}

// DeltaEntry is the state of one record at the sender.
type DeltaEntry struct {
	Latest   flow.RawRecord  `msgpack:"l"`
	LastGood *flow.RawRecord `msgpack:"g,omitempty"` // last good version if the sender cannot parse Latest
}

// Change is a change of the record in force. Old and New are both nil if a
// record was created and deleted without being seen, and only its tombstone was
// received. A Change with an empty ID means that any changes up to Revision may
// have been missed.
type Change struct {
	ID       flow.RecordID
	Revision flow.Revision // of the change, or an upper bound if the change was missed
	Old      flow.Record   // nil if none was in force
	New      flow.Record   // nil if none is in force any more
}

// Fault describes a record whose latest version is malformed and not in force.
type Fault struct {
	ID               flow.RecordID
	Revision         flow.Revision // of the latest version
	LastGoodRevision flow.Revision // of the version in force; 0 if there is none
	ParseError       string
	Since            flow.Time // when the daemon received the first malformed version in a row
}

// FullDelta returns the whole configuration at a revision as one delta. It is
// for a reader of the platform, whose listing contains no tombstones. A daemon
// that merges it can answer requests from below that revision only with full
// deltas, so a reader should first ask its peers and read the list only if none
// can answer.
func FullDelta(revision flow.Revision, records []flow.RawRecord) Delta {
	delta := Delta{To: revision, Last: true, Full: true, Horizon: revision}
	for _, raw := range records {
		delta.Entries = append(delta.Entries, DeltaEntry{Latest: raw})
	}
	return delta
}

// WatchDelta returns all changes in (from, to] as one delta, for a reader of
// the platform.
func WatchDelta(from, to flow.Revision, records []flow.RawRecord) Delta {
	delta := Delta{From: from, To: to, Last: true}
	for _, raw := range records {
		delta.Entries = append(delta.Entries, DeltaEntry{Latest: raw})
	}
	return delta
}
