// The kinds of token sources that the settings choose from.

package leaser

import (
	"hash/fnv"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// ShareLayout is a customer's rate in the region of this ingress and its division
// into shares.
type ShareLayout struct {
	Limit  granter.Limit // of the region
	Shares int           // number of shares
}

// LayoutLookup returns the share layout of a customer's rate, or false when the
// customer has no rate.
type LayoutLookup func(customer string) (ShareLayout, bool)

// leasedSources creates sources that lease tokens from the owners of shares.
type leasedSources struct {
	host        string
	incarnation uint64
	layoutOf    LayoutLookup
	pools       *pooler.Pooler
}

// NewLeasedSources returns Sources that lease tokens from the owners of shares.
// The host and the incarnation of its process identify this ingress.
func NewLeasedSources(host string, incarnation uint64, layoutOf LayoutLookup, settings pooler.Settings) Sources {
	return &leasedSources{
		host:        host,
		incarnation: incarnation,
		layoutOf:    layoutOf,
		pools:       pooler.New(settings),
	}
}

// Source returns the pool of a customer, and creates it if needed.
func (s *leasedSources) Source(_ flow.Time, customer string) (pooler.Source, bool) {
	layout, ok := s.layoutOf(customer)
	if !ok {
		return nil, false
	}
	return s.pools.Pool(pooler.PoolConfig{
		Customer:    customer,
		Host:        s.host,
		Incarnation: s.incarnation,
		Shares:      layout.Shares,
		FirstShare:  firstShareOf(s.host, customer, layout.Shares),
		Limit:       layout.Limit,
	}), true
}

// Find returns the pool of a customer, if there is one.
func (s *leasedSources) Find(customer string) (pooler.Source, bool) {
	pool, ok := s.pools.Find(customer)
	if !ok {
		return nil, false
	}
	return pool, true
}

// Sweep drops idle pools.
func (s *leasedSources) Sweep(now flow.Time) { s.pools.Sweep(now) }

// firstShareOf spreads the ingresses over the shares of a customer by a hash.
func firstShareOf(host, customer string, shares int) int {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(host + "/" + customer))
	return int(digest.Sum32() % uint32(max(shares, 1)))
}

// Position is an ingress's position among the ingresses of its region.
type Position struct {
	Index     int
	Ingresses int
}

// staticSources splits each rate into one fixed part per ingress.
type staticSources struct {
	layoutOf LayoutLookup
	position func() Position
	splits   map[string]*pooler.StaticSplit
}

// NewStaticSources returns Sources that split each rate into one fixed part per
// ingress of the region. They serve as the baseline in measurements of leased
// tokens.
func NewStaticSources(layoutOf LayoutLookup, position func() Position) Sources {
	return &staticSources{layoutOf: layoutOf, position: position, splits: map[string]*pooler.StaticSplit{}}
}

// Source returns this ingress's part of a customer's rate, and creates it if
// needed.
func (s *staticSources) Source(now flow.Time, customer string) (pooler.Source, bool) {
	if split, ok := s.splits[customer]; ok {
		return split, true
	}
	layout, ok := s.layoutOf(customer)
	if !ok {
		return nil, false
	}
	position := s.position()
	split := pooler.NewStaticSplit(now, now, layout.Limit, position.Index, max(position.Ingresses, 1))
	s.splits[customer] = split
	return split, true
}

// Find returns this ingress's part of a customer's rate, if there is one.
func (s *staticSources) Find(customer string) (pooler.Source, bool) {
	split, ok := s.splits[customer]
	if !ok {
		return nil, false
	}
	return split, true
}

// Sweep drops parts that are idle.
func (s *staticSources) Sweep(now flow.Time) {
	for customer, split := range s.splits {
		if split.Idle(now) {
			delete(s.splits, customer)
		}
	}
}
