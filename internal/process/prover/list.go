// Member lists, and what a process knows of the sequence of lists. The fleet
// has no log of list changes: a process may skip versions, so that every
// process gossips the versions it knows and how far each has come.

package prover

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/internal/process/hasher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// MemberList is one version of the list of a region's hosts. Make it with
// NewMemberList.
type MemberList struct {
	Names    []string      `msgpack:"n"` // sorted, without duplicates
	Revision flow.Revision `msgpack:"r"` // the revision that made the list what it is
	Hash     uint64        `msgpack:"h"` // of the names
}

// NewMemberList returns the list of the named hosts as of a revision. It keeps
// a sorted copy of names.
func NewMemberList(revision flow.Revision, names []string) MemberList {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return MemberList{Names: sorted, Revision: revision, Hash: hashNames(sorted)}
}

// ID returns the identity of the list.
func (l MemberList) ID() ListID { return ListID{Revision: l.Revision, Hash: l.Hash} }

// Has reports whether the list names the host.
func (l MemberList) Has(host string) bool {
	_, found := slices.BinarySearch(l.Names, host)
	return found
}

func hashNames(names []string) uint64 {
	digest := fnv.New64a()
	for _, name := range names {
		_, _ = digest.Write([]byte(name)) // a hash.Hash never returns an error
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// ListID identifies a version of the list. The hash stands beside the revision
// because processes that understand different record schemas may read
// different lists out of one revision.
type ListID struct {
	Revision flow.Revision `msgpack:"r"`
	Hash     uint64        `msgpack:"h"`
}

// Compare orders versions by revision, then by hash.
func (id ListID) Compare(other ListID) int {
	return cmp.Or(cmp.Compare(id.Revision, other.Revision), cmp.Compare(id.Hash, other.Hash))
}

// -----------------------------------------------------------------------------

// Phase says how far a version of the list has come. A process never moves a
// version back to an earlier phase.
type Phase uint8

// The phases.
const (
	// PhasePending is a version that needs no quorum yet.
	PhasePending Phase = iota
	// PhaseActive is a version in which every quorum must be reached.
	PhaseActive
	// PhaseDropped is a version that has been replaced.
	PhaseDropped
)

// ViewEntry is what a process knows of one version of the list.
type ViewEntry struct {
	ID    ListID `msgpack:"i"`
	Phase Phase  `msgpack:"p"`
}

// Version is a version of the list with its contents, for status and for the
// placement of ownership.
type Version struct {
	List      MemberList
	Phase     Phase
	Settled   bool      // whether the list's revision was seen settled
	SettledAt flow.Time // when that was first seen
}

// hashView returns the hash of a view, by which two processes notice that they
// know the same.
func hashView(view []ViewEntry) uint64 {
	hash := uint64(viewHashSeed)
	for _, entry := range view {
		hash = hasher.Mix(hash ^ uint64(entry.ID.Revision))
		hash = hasher.Mix(hash ^ entry.ID.Hash)
		hash = hasher.Mix(hash ^ uint64(entry.Phase))
	}
	return hash
}

// viewHashSeed is the hash of the empty view.
const viewHashSeed = 0x9e3779b97f4a7c15
