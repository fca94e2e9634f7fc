// Versions of the member list of a region.

package prover

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// MemberList is one version of the list of hosts in a region. It is made by
// NewMemberList.
type MemberList struct {
	Names    []string      // sorted, without duplicates
	Revision flow.Revision // that last changed the list
	Hash     uint64        // of the names
}

// NewMemberList returns the list of the named hosts as of a revision. It keeps a
// sorted copy of names.
func NewMemberList(revision flow.Revision, names []string) MemberList {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return MemberList{Names: sorted, Revision: revision, Hash: hashNames(sorted)}
}

// ID returns the identity of the list.
func (l MemberList) ID() ListID { return ListID{Revision: l.Revision, Hash: l.Hash} }

func hashNames(names []string) uint64 {
	digest := fnv.New64a()
	for _, name := range names {
		_, _ = digest.Write([]byte(name)) // a hash.Hash never returns an error
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// position returns the index of a host in a sorted list, or -1.
func position(names []string, host string) int {
	i, found := slices.BinarySearch(names, host)
	if !found {
		return -1
	}
	return i
}

// ListID identifies a version of the member list. It contains a hash besides the
// revision because processes that support different record schemas may read
// different lists from one revision.
type ListID struct {
	Revision flow.Revision `msgpack:"r"`
	Hash     uint64        `msgpack:"h"`
}

// Compare orders versions by revision, then by hash.
func (id ListID) Compare(other ListID) int {
	return cmp.Or(cmp.Compare(id.Revision, other.Revision), cmp.Compare(id.Hash, other.Hash))
}

// Version is a version of the member list with the time at which it came into force
// here.
type Version struct {
	List      MemberList
	AppliedAt flow.Time
	GapBefore bool // whether other hosts may have known versions between this one and the previous one
}
