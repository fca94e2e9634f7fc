// The division of a customer's rate among regions and shares. All daemons on one
// revision of the configuration must get the same limits, so these are integers
// and depend on nothing but the arguments.

package granter

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	microtokensPerToken = 1_000_000
	minShareBurst       = 8           // tokens; a burst is not divided into smaller shares
	maxRefillTime       = time.Minute // longest wait that matters
)

// Limit is the rate and the size of a token bucket.
type Limit struct {
	MicrotokensPerSecond int64 `msgpack:"r"`
	Burst                int   `msgpack:"b"` // tokens
}

// PerSecond returns the rate in tokens per second.
func (l Limit) PerSecond() float64 {
	return float64(l.MicrotokensPerSecond) / microtokensPerToken
}

// refillTime returns the time in which the burst accrues, or maxRefillTime when
// that is shorter or the burst never accrues.
func (l Limit) refillTime() time.Duration {
	if l.MicrotokensPerSecond <= 0 {
		return maxRefillTime
	}
	return min(time.Duration(float64(l.Burst)/l.PerSecond()*float64(time.Second)), maxRefillTime)
}

// RegionRate returns the part of a customer's rate that region may use. Without
// region shares, the rate is split evenly among regions, and the remaining tokens
// of the burst go to the first regions by name. With region shares, a region
// without one gets nothing, and shares that sum to more than 1 are scaled down.
func RegionRate(rate *flow.Rate, region string, regions []string) Limit {
	if len(rate.RegionShares) > 0 {
		return regionShare(rate, region)
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	index := slices.Index(sorted, region)
	if index < 0 {
		return Limit{}
	}
	whole := Limit{MicrotokensPerSecond: toMicrotokens(rate.PerSecond), Burst: max(rate.Burst, 0)}
	return ShareLimit(whole, index, len(sorted))
}

func regionShare(rate *flow.Rate, region string) Limit {
	names := make([]string, 0, len(rate.RegionShares))
	for name := range rate.RegionShares {
		names = append(names, name)
	}
	slices.Sort(names)
	sum := 0.0
	for _, name := range names {
		sum += max(rate.RegionShares[name], 0)
	}
	share := max(rate.RegionShares[region], 0) / max(sum, 1)
	if math.IsNaN(share) {
		return Limit{}
	}
	return Limit{
		MicrotokensPerSecond: toMicrotokens(rate.PerSecond * share),
		Burst:                int(float64(max(rate.Burst, 0)) * share),
	}
}

func toMicrotokens(perSecond float64) int64 {
	if !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return 0
	}
	return int64(perSecond * microtokensPerToken)
}

// ShareCount returns the number of shares into which a limit is divided: a power
// of two, at most maxShares, and 1 for small bursts. It does not depend on the
// number of hosts, since a change of the count moves every share of the customer.
func ShareCount(limit Limit, maxShares int) int {
	bound := min(maxShares, limit.Burst/minShareBurst)
	count := 1
	for count*2 <= bound {
		count *= 2
	}
	return count
}

// ShareLimit returns the limit of one share out of shares. The limits of all
// shares never sum to more than the whole.
func ShareLimit(whole Limit, share, shares int) Limit {
	if shares <= 1 {
		return whole
	}
	part := Limit{
		MicrotokensPerSecond: whole.MicrotokensPerSecond / int64(shares),
		Burst:                whole.Burst / shares,
	}
	if share < whole.Burst%shares {
		part.Burst++
	}
	return part
}
