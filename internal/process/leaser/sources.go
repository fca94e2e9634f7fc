// The sources of tokens that the settings choose among.

package leaser

import (
	"hash/fnv"

	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Cut is how a customer's rate is cut in the region of this ingress.
type Cut struct {
	Limit  granter.Limit // of the region
	Shares int
}

// Cutter returns the cut of a customer's rate, or false when it has none.
type Cutter func(customer string) (Cut, bool)

// leasedSources lease tokens from the owners of shares.
type leasedSources struct {
	host        string
	incarnation uint64
	cutter      Cutter
	pools       *drawer.Pooler
}

// NewLeasedSources returns Sources that lease tokens from the owners of shares,
// for the ingress of a host's process.
func NewLeasedSources(host string, incarnation uint64, cutter Cutter, settings drawer.Settings) Sources {
	return &leasedSources{
		host:        host,
		incarnation: incarnation,
		cutter:      cutter,
		pools:       drawer.New(settings),
	}
}

// Source returns the pool of a customer.
func (s *leasedSources) Source(_ flow.Time, customer string) (drawer.Source, bool) {
	cut, ok := s.cutter(customer)
	if !ok {
		return nil, false
	}
	return s.pools.Pool(drawer.PoolConfig{
		Customer:    customer,
		Host:        s.host,
		Incarnation: s.incarnation,
		Shares:      cut.Shares,
		FirstShare:  homeOf(s.host, customer, cut.Shares),
		Limit:       cut.Limit,
	}), true
}

// Find returns the pool of a customer, if it is kept.
func (s *leasedSources) Find(customer string) (drawer.Source, bool) {
	pool, ok := s.pools.Find(customer)
	if !ok {
		return nil, false
	}
	return pool, true
}

// Sweep forgets idle pools.
func (s *leasedSources) Sweep(now flow.Time) { s.pools.Sweep(now) }

// homeOf spreads the ingresses over the shares of a customer.
func homeOf(host, customer string, shares int) int {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(host + "/" + customer))
	return int(digest.Sum32() % uint32(max(shares, 1)))
}

// -----------------------------------------------------------------------------

// Part is an ingress's place among those of its region.
type Part struct {
	Index     int
	Ingresses int
}

// staticSources cut each rate into one fixed part for each ingress.
type staticSources struct {
	cutter Cutter
	part   func() Part
	splits map[string]*drawer.StaticSplit
}

// NewStaticSources returns Sources that cut each rate into one fixed part for
// each ingress of the region. They are the baseline of measurements.
func NewStaticSources(cutter Cutter, part func() Part) Sources {
	return &staticSources{cutter: cutter, part: part, splits: map[string]*drawer.StaticSplit{}}
}

// Source returns the fixed part of a customer's rate.
func (s *staticSources) Source(now flow.Time, customer string) (drawer.Source, bool) {
	if split, ok := s.splits[customer]; ok {
		return split, true
	}
	cut, ok := s.cutter(customer)
	if !ok {
		return nil, false
	}
	part := s.part()
	split := drawer.NewStaticSplit(now, now, cut.Limit, part.Index, max(part.Ingresses, 1))
	s.splits[customer] = split
	return split, true
}

// Find returns the fixed part of a customer's rate, if it is kept.
func (s *staticSources) Find(customer string) (drawer.Source, bool) {
	split, ok := s.splits[customer]
	if !ok {
		return nil, false
	}
	return split, true
}

// Sweep forgets parts that are full.
func (s *staticSources) Sweep(now flow.Time) {
	for customer, split := range s.splits {
		if split.Idle(now) {
			delete(s.splits, customer)
		}
	}
}
