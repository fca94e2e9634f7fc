// Granter is the table of the buckets that this host owns and that are in use.

package granter

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Key identifies a share of a customer's rate. When the number of shares changes,
// every share gets another key and a new bucket.
type Key struct {
	Customer string
	Share    int
	Shares   int
}

// KeyOf returns the key of the share that a request is for.
func KeyOf(request Request) Key {
	return Key{request.Customer, request.Share, request.Shares}
}

// Tenure is a host's ownership of a share: what is needed to create its bucket.
// While Since lies in the future, the caller should answer requests by saying that
// it does not act as the owner yet. Ingresses then report that the rate is
// unavailable, and not that the customer is over it. After TakeOver, Since is the
// time of the takeover.
type Tenure struct {
	Since flow.Time // from this time, no lease of another owner can be used
	Limit Limit     // of the share
}

// Granter holds the buckets in use. Sweep drops buckets that are full and idle;
// the next request creates them again. It is not safe for concurrent use: the
// caller locks it. Before each call, the caller makes sure that at the same now
// this host owns the share and acts as its owner.
type Granter struct {
	settings Settings
	buckets  map[Key]*Bucket
}

// New returns an empty Granter.
func New(settings Settings) *Granter {
	return &Granter{settings: settings, buckets: map[Key]*Bucket{}}
}

// Len returns the number of buckets in memory.
func (g *Granter) Len() int { return len(g.buckets) }

// Grant answers a request from the bucket of its share. It returns false when the
// request is older than one already accepted.
func (g *Granter) Grant(now flow.Time, tenure Tenure, request Request) (Answer, bool) {
	return g.bucket(now, KeyOf(request), tenure).Grant(now, request)
}

// SetLimit changes the limit of a share from before to tenure.Limit. When a
// customer's limit changes, it must be called for every share that this host
// owns, even if the bucket is not in memory: a bucket created later would start as
// full as the new burst allows. Tokens granted under a higher limit stay usable
// until their leases expire.
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

// Sweep drops idle buckets, and in the others the ingresses that sent no request
// lately.
// Calling it once a second is often enough.
func (g *Granter) Sweep(now flow.Time) {
	for key, b := range g.buckets {
		if b.Idle(now) {
			delete(g.buckets, key)
		}
	}
}

// Drop removes the bucket of a share that this host no longer owns.
func (g *Granter) Drop(key Key) { delete(g.buckets, key) }

// HandOver removes the bucket of a share from the table and returns its state for
// the next owner. Afterwards this host must not answer requests for the share. A
// bucket that is not in memory is created first, so that the next owner gets
// its level.
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

// TakeOver creates the bucket of a share from the state that the former owner
// handed over. It returns false and changes nothing when the state belongs to
// another revision than the one that made this host the owner, or when the bucket
// is already in use, because the message came late or twice.
func (g *Granter) TakeOver(now flow.Time, limit Limit, revision flow.Revision, state BucketState) bool {
	key := Key{state.Customer, state.Share, state.Shares}
	if _, ok := g.buckets[key]; ok || state.Revision != revision {
		return false
	}
	g.buckets[key] = Import(now, state, limit, g.settings)
	return true
}

// Keys returns the sorted keys of the buckets in memory.
func (g *Granter) Keys() []Key {
	keys := make([]Key, 0, len(g.buckets))
	for key := range g.buckets {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
