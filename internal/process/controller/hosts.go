// The state of other hosts: which have no recent proof, and what changed between
// two member lists that were applied.

package controller

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// hostChanges counts the changes of host records since a member list was
// applied. One revision may arrive in several deltas.
type hostChanges struct {
	count int
	hash  uint64 // of the host names of the list
}

// record counts the host changes of a delta.
func (h *hostChanges) record(changes []merger.Change) {
	for _, change := range changes {
		if change.ID.Kind == flow.KindHost {
			h.count++
		}
	}
}

// finish starts a new count for the list that is applied. It reports whether
// other daemons may have applied lists between this one and the one before:
// several hosts changed, or one changed and the list is still the same.
func (h *hostChanges) finish(list indexer.MemberList) bool {
	unseen := h.count > 1 || (h.count == 1 && h.hash == list.Hash)
	h.count, h.hash = 0, list.Hash
	return unseen
}

// unprovedAge is the age of the newest liveness proof of a host, direct or
// relayed, from which ingresses send it no work. In a healthy region of any size,
// relayed proofs are younger.
const unprovedAge = 1500 * time.Millisecond

// unprovedHosts returns the hosts without a recent proof, or nil when there are
// none. This host needs no proof. All other hosts may be unproved at once: any
// number can fail, and a daemon that receives no heartbeat answers would get no
// responses from them either.
func unprovedHosts(hosts []string, own string, ageOf func(host string) (time.Duration, bool)) map[string]bool {
	var unproved map[string]bool
	for _, host := range hosts {
		age, known := ageOf(host)
		if host == own || (known && age < unprovedAge) {
			continue
		}
		if unproved == nil {
			unproved = map[string]bool{}
		}
		unproved[host] = true
	}
	return unproved
}
