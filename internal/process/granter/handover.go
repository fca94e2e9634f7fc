// Handover of a bucket from one owner to the next, which then need not wait until
// all leases of the former owner have expired.

package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Export returns the bucket's level and its outstanding leases. The bucket must
// not grant anything afterwards. HandOver adds the key and the revision.
func (b *Bucket) Export(now flow.Time) BucketState {
	b.Advance(now)
	state := BucketState{Level: b.levelAmount()}
	for key, ing := range b.ingresses {
		for _, l := range ing.leases {
			if l.closed {
				continue
			}
			state.Leases = append(state.Leases, LeaseState{
				Ingress:     key.host,
				Incarnation: key.incarnation,
				Sequence:    l.sequence,
				Granted:     l.granted,
				Used:        l.used,
				Returned:    l.returned,
				Remaining:   l.expiry.Sub(now),
			})
		}
	}
	slices.SortFunc(state.Leases, compareLeases)
	return state
}

// Import returns a bucket with the state that another owner exported. Nothing
// accrues for the time in transit, and the remaining lifetimes of the leases
// start at now.
func Import(now flow.Time, state BucketState, limit Limit, settings Settings) *Bucket {
	b := NewBucket(now, now+1, limit, settings)
	b.freshUntil = flow.Never
	for _, leased := range state.Leases {
		l := &lease{
			sequence: leased.Sequence,
			granted:  leased.Granted,
			used:     leased.Used,
			returned: leased.Returned,
			expiry:   now.Add(leased.Remaining + time.Millisecond),
		}
		ing := b.ingressOf(Request{Ingress: leased.Ingress, Incarnation: leased.Incarnation})
		ing.sequence = max(ing.sequence, l.sequence)
		ing.lastSeen = now
		ing.leases = append(ing.leases, l)
		b.expiring = append(b.expiring, l)
		b.outstanding += l.left()
	}
	slices.SortFunc(b.expiring, func(x, y *lease) int { return cmp.Compare(x.expiry, y.expiry) })
	b.total = min(state.Level+b.outstandingAmount(), max(b.burstAmount(), b.outstandingAmount()))
	return b
}

func compareLeases(x, y LeaseState) int {
	return cmp.Or(
		cmp.Compare(x.Ingress, y.Ingress),
		cmp.Compare(x.Incarnation, y.Incarnation),
		cmp.Compare(x.Sequence, y.Sequence),
	)
}

func compareKeys(x, y Key) int {
	return cmp.Or(
		cmp.Compare(x.Customer, y.Customer),
		cmp.Compare(x.Shares, y.Shares),
		cmp.Compare(x.Share, y.Share),
	)
}
