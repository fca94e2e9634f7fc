// The power of two choices.

package picker

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// loadWeight is how many times a whole concurrency limit in use adds a
	// server's latency to its cost.
	loadWeight = 1.0
	// zoneRatio is the cost over the other availability zones' at which the own
	// availability zone is clearly busier.
	zoneRatio = 2.0
	// zoneCost is added to the latency of a server in another availability zone.
	zoneCost = 3 * time.Millisecond
	// latencyUnknown stands for the latency of all servers when none is known.
	latencyUnknown = 10 * time.Millisecond
)

// twoChoices draws two servers of the own availability zone and two of the
// others, and takes the cheaper of the own unless it costs clearly more than
// the cheaper of the others. Drawing two rather than taking the cheapest of all
// keeps many ingresses from running to the same server (Mitzenmacher, The power
// of two choices in randomized load balancing).
type twoChoices struct {
	random *rand.Rand
}

func newTwoChoices(seed uint64) *twoChoices {
	return &twoChoices{random: rand.New(rand.NewPCG(seed, 0))}
}

// Pick returns the chosen candidate.
func (t *twoChoices) Pick(_ flow.Time, candidates []flow.Candidate) (int, bool) {
	indices := usable(candidates)
	if len(indices) == 0 {
		return 0, false
	}
	near, far := byZone(indices, candidates)
	usual := usualLatency(indices, candidates)
	if len(near) == 0 {
		return t.cheaper(far, candidates, usual), true
	}
	own := t.cheaper(near, candidates, usual)
	if len(far) == 0 {
		return own, true
	}
	other := t.cheaper(far, candidates, usual)
	if cost(candidates[own], usual) > zoneRatio*cost(candidates[other], usual) {
		return other, true
	}
	return own, true
}

// cheaper draws two of the indices, which must not be empty, and returns the
// one that costs less; the first drawn when they cost the same.
func (t *twoChoices) cheaper(indices []int, candidates []flow.Candidate, usual time.Duration) int {
	first := t.random.IntN(len(indices))
	if len(indices) == 1 {
		return indices[first]
	}
	second := t.random.IntN(len(indices) - 1)
	if second >= first {
		second++
	}
	a, b := indices[first], indices[second]
	if cost(candidates[b], usual) < cost(candidates[a], usual) {
		return b
	}
	return a
}

// -----------------------------------------------------------------------------

// cost is the expected wait at a candidate in nanoseconds, for comparison only.
func cost(c flow.Candidate, usual time.Duration) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = usual
	}
	if !c.SameZone {
		latency += zoneCost
	}
	return float64(latency) * float64(c.InFlight+1) * (1 + loadWeight*c.Load)
}

func byZone(indices []int, candidates []flow.Candidate) (near, far []int) {
	for _, i := range indices {
		if candidates[i].SameZone {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	return near, far
}

// usualLatency is the mean of the known latencies. A server of unknown latency
// is taken to be like the others.
func usualLatency(indices []int, candidates []flow.Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, i := range indices {
		if candidates[i].Latency > 0 {
			sum += candidates[i].Latency
			known++
		}
	}
	if known == 0 {
		return latencyUnknown
	}
	return sum / time.Duration(known)
}
