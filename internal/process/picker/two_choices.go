// Load balancing by the power of two choices.

package picker

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// loadWeight is the share by which a server's cost rises when its whole
	// concurrency limit is in use.
	loadWeight = 1.0
	// crossZoneCostRatio is the ratio of cost between the own availability zone and
	// the others above which a request leaves the zone.
	crossZoneCostRatio = 2.0
	// crossZoneLatency is added to the latency of a server in another availability
	// zone.
	crossZoneLatency = 3 * time.Millisecond
	// defaultLatency is assumed of all servers when no latency is known.
	defaultLatency = 10 * time.Millisecond
)

// twoChoices draws two servers of its own availability zone and two of the others.
// It picks the cheaper one of its own zone unless that costs much more than the
// cheaper of the others. Drawing two, rather than picking the cheapest of all,
// keeps many ingresses from herding to the same server (Mitzenmacher, The power of
// two choices in randomized load balancing).
type twoChoices struct {
	random *rand.Rand
}

func newTwoChoices(seed uint64) *twoChoices {
	return &twoChoices{random: rand.New(rand.NewPCG(seed, 0))}
}

// Pick returns the picked candidate.
func (t *twoChoices) Pick(_ flow.Time, candidates []flow.Candidate) (int, bool) {
	indices := eligible(candidates)
	if len(indices) == 0 {
		return 0, false
	}
	sameZone, otherZone := splitByZone(indices, candidates)
	fallback := meanLatency(indices, candidates)
	if len(sameZone) == 0 {
		return t.cheaperOfTwo(otherZone, candidates, fallback), true
	}
	own := t.cheaperOfTwo(sameZone, candidates, fallback)
	if len(otherZone) == 0 {
		return own, true
	}
	other := t.cheaperOfTwo(otherZone, candidates, fallback)
	if cost(candidates[own], fallback) > crossZoneCostRatio*cost(candidates[other], fallback) {
		return other, true
	}
	return own, true
}

// cheaperOfTwo draws two of the indices, which must not be empty, and returns the
// one that costs less, or the first when they cost the same.
func (t *twoChoices) cheaperOfTwo(indices []int, candidates []flow.Candidate, fallback time.Duration) int {
	first := t.random.IntN(len(indices))
	if len(indices) == 1 {
		return indices[first]
	}
	second := t.random.IntN(len(indices) - 1)
	if second >= first {
		second++
	}
	a, b := indices[first], indices[second]
	if cost(candidates[b], fallback) < cost(candidates[a], fallback) {
		return b
	}
	return a
}

// cost returns the expected wait at a candidate in nanoseconds, for comparison
// only. The fallback stands for an unknown latency.
func cost(c flow.Candidate, fallback time.Duration) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = fallback
	}
	if !c.SameZone {
		latency += crossZoneLatency
	}
	return float64(latency) * float64(c.InFlight+1) * (1 + loadWeight*c.Load)
}

func splitByZone(indices []int, candidates []flow.Candidate) (sameZone, otherZone []int) {
	for _, i := range indices {
		if candidates[i].SameZone {
			sameZone = append(sameZone, i)
		} else {
			otherZone = append(otherZone, i)
		}
	}
	return sameZone, otherZone
}

// meanLatency returns the mean of the known latencies. A server of unknown latency
// is assumed to be like the others.
func meanLatency(indices []int, candidates []flow.Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, i := range indices {
		if candidates[i].Latency > 0 {
			sum += candidates[i].Latency
			known++
		}
	}
	if known == 0 {
		return defaultLatency
	}
	return sum / time.Duration(known)
}
