// Granter is the table of the buckets that this host owns and that are in use.

package granter

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Key names a share of a customer's rate under one cut. A bucket of another cut
// is another bucket, whose owner starts anew.
type Key struct {
	Customer string
	Share    int
	Shares   int
}

// KeyOf returns the key of the share that a request asks for.
func KeyOf(request Request) Key {
	return Key{request.Customer, request.Share, request.Shares}
}

// Tenure is what an owner knows of a share without having its bucket. A caller
// whose Since is still to come does better to answer that it does not act:
// ingresses then say that the rate is unavailable, and not that the customer is
// over it. After Adopt, Since is the time of adoption.
type Tenure struct {
	Since flow.Time // from when on this host is the only one whose grants can be used
	Limit Limit     // of the share
}

// Granter holds the buckets in use. Buckets that are full and idle are
// forgotten by Sweep and created anew when they are asked for. The caller
// locks it, and makes sure before each call, by the same now, that this host
// acts and owns the share.
type Granter struct {
	settings Settings
	buckets  map[Key]*Bucket
}

// New returns a Granter without buckets.
func New(settings Settings) *Granter {
	return &Granter{settings: settings, buckets: map[Key]*Bucket{}}
}

// Len returns the number of buckets in memory.
func (g *Granter) Len() int { return len(g.buckets) }

// Grant answers a request by the bucket of its share. It returns false when
// the request is older than one already taken.
func (g *Granter) Grant(now flow.Time, tenure Tenure, request Request) (Answer, bool) {
	return g.bucket(now, KeyOf(request), tenure).Grant(now, request)
}

// SetLimit changes the limit of a share from before to tenure.Limit. It must
// be called for every share that this host owns when its customer's limit
// changes, also when the bucket is not in memory: a bucket created later would
// start as full as the new burst allows. Tokens granted under a higher limit
// stay usable until their leases run out.
func (g *Granter) SetLimit(now flow.Time, key Key, before Limit, tenure Tenure) {
	limit := tenure.Limit
	tenure.Limit = before
	g.bucket(now, key, tenure).SetLimit(now, limit)
}

func (g *Granter) bucket(now flow.Time, key Key, tenure Tenure) *Bucket {
	b, ok := g.buckets[key]
	if !ok {
		b = NewBucket(now, tenure.Since, tenure.Limit, g.settings)
		g.buckets[key] = b
	}
	return b
}

// Sweep forgets idle buckets, and the askers of others that were not heard
// lately. Once a second is often enough.
func (g *Granter) Sweep(now flow.Time) {
	for key, b := range g.buckets {
		if b.Idle(now) {
			delete(g.buckets, key)
		}
	}
}

// Drop forgets a share that this host does not own any more.
func (g *Granter) Drop(key Key) { delete(g.buckets, key) }

// -----------------------------------------------------------------------------

// Cede takes a share out of the table for the next owner. From now on this host
// must not answer for the share. A bucket that is not in memory is created
// first, so that the next owner learns its level.
func (g *Granter) HandOver(now flow.Time, key Key, tenure Tenure, revision flow.Revision) BucketState {
	b := g.bucket(now, key, tenure)
	delete(g.buckets, key)
	state := b.Export(now)
	state.Customer = key.Customer
	state.Share = key.Share
	state.Shares = key.Shares
	state.Revision = revision
	return state
}

// Adopt takes a share over from the owner that ceded it. It returns false, and
// changes nothing, when the state belongs to another revision than the one that
// made this host the owner, or when the bucket is already at work, since the
// message came late or twice.
func (g *Granter) TakeOver(now flow.Time, limit Limit, revision flow.Revision, state BucketState) bool {
	key := Key{state.Customer, state.Share, state.Shares}
	if _, ok := g.buckets[key]; ok || state.Revision != revision {
		return false
	}
	g.buckets[key] = Import(now, state, limit, g.settings)
	return true
}

// Keys returns the keys of the buckets in memory in a fixed order.
func (g *Granter) Keys() []Key {
	keys := make([]Key, 0, len(g.buckets))
	for key := range g.buckets {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
