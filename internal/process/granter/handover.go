// A bucket can be handed over from a leaving owner to the next one, which then
// need not wait until all leases of the former have run out.

package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Export returns the bucket's level and what is outstanding. The bucket must
// grant nothing afterwards.
func (b *Bucket) Export(now flow.Time) BucketState {
	b.Advance(now)
	state := BucketState{Level: b.levelAmount()}
	for key, a := range b.ingresses {
		for _, l := range a.leases {
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

// Import returns the bucket that another owner exported. What accrued on the
// way is left out, and the remaining lifetimes start at the arrival.
func Import(now flow.Time, state BucketState, limit Limit, settings Settings) *Bucket {
	b := NewBucket(now, now+1, limit, settings)
	b.freshUntil = flow.Never
	for _, from := range state.Leases {
		l := &lease{
			sequence: from.Sequence,
			granted:  from.Granted,
			used:     from.Used,
			returned: from.Returned,
			expiry:   now.Add(from.Remaining + time.Millisecond),
		}
		a := b.ingressOf(Request{Ingress: from.Ingress, Incarnation: from.Incarnation})
		a.sequence = max(a.sequence, l.sequence)
		a.lastSeen = now
		a.leases = append(a.leases, l)
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
