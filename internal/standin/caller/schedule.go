// Schedules: how many requests a customer sends at each moment, and the random
// arrivals drawn from that.

package caller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Shape names how a rate changes with time.
type Shape string

// The shapes.
const (
	// Constant keeps the rate.
	Constant Shape = "constant"
	// Bursty multiplies the rate by Times for Length at the start of every
	// Period.
	Bursty Shape = "bursty"
	// Step multiplies the rate by Times for Length from Start on.
	Step Shape = "step"
)

// Schedule is a customer's rate over time.
type Schedule struct {
	Rate   float64 // requests a second
	Shape  Shape   // empty for Constant
	Times  float64
	Start  time.Duration // of Step
	Length time.Duration // of Bursty and Step; 0 of Step for one without end
	Period time.Duration // of Bursty
}

func (s Schedule) check() error {
	known := []Shape{"", Constant, Bursty, Step}
	switch {
	case !slices.Contains(known, s.Shape):
		return flow.Wrap("check-schedule", "", fmt.Errorf("unknown shape %q, want one of %q", s.Shape, known[1:]))
	case s.Rate < 0 || s.Times < 0:
		return flow.Wrap("check-schedule", "", fmt.Errorf("rate %v and times %v must not be negative", s.Rate, s.Times))
	case s.Shape == Bursty && s.Period <= 0:
		return flow.Wrap("check-schedule", "", fmt.Errorf("bursts need a period"))
	}
	return nil
}

// at returns the rate after a time.
func (s Schedule) at(elapsed time.Duration) float64 {
	if s.raised(elapsed) {
		return s.Rate * s.Times
	}
	return s.Rate
}

func (s Schedule) raised(elapsed time.Duration) bool {
	switch s.Shape {
	case Bursty:
		return elapsed%s.Period < s.Length
	case Step:
		return elapsed >= s.Start && (s.Length == 0 || elapsed < s.Start+s.Length)
	default:
		return false
	}
}

func (s Schedule) max() float64 {
	if s.Shape == Bursty || s.Shape == Step {
		return max(s.Rate, s.Rate*s.Times)
	}
	return s.Rate
}

// next draws the arrival after a time from a Poisson process whose rate
// follows the schedule, and false when there is none before end. It thins a
// process of the highest rate (Lewis and Shedler, 1979).
func (s Schedule) next(random *rand.Rand, after, end time.Duration) (time.Duration, bool) {
	highest := s.max()
	if highest == 0 {
		return 0, false
	}
	for after < end {
		after += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if random.Float64()*highest < s.at(after) {
			return after, after < end
		}
	}
	return 0, false
}
