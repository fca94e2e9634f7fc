// Schedules: the request rate of a customer over time, and the random arrivals that
// follow it.

package caller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Shape is how a rate changes over time.
type Shape string

// The shapes.
const (
	// Constant does not change the rate.
	Constant Shape = "constant"
	// Bursty multiplies the rate by Factor for Length at the start of each
	// Period.
	Bursty Shape = "bursty"
	// Step multiplies the rate by Factor for Length, beginning at Start.
	Step Shape = "step"
)

// Schedule is a customer's rate over time.
type Schedule struct {
	Rate   float64       // requests per second
	Shape  Shape         // empty for Constant
	Factor float64       // of Bursty and Step
	Start  time.Duration // of Step, since the start of the run
	Length time.Duration // of Bursty and Step; 0 for a Step without end
	Period time.Duration // of Bursty
}

func (s Schedule) check() error {
	known := []Shape{"", Constant, Bursty, Step}
	switch {
	case !slices.Contains(known, s.Shape):
		return flow.Wrap("check-schedule", "", fmt.Errorf("unknown shape %q; allowed: %q", s.Shape, known[1:]))
	case s.Rate < 0 || s.Factor < 0:
		return flow.Wrap("check-schedule", "", fmt.Errorf("rate %v and times %v must not be negative", s.Rate, s.Factor))
	case s.Shape == Bursty && s.Period <= 0:
		return flow.Wrap("check-schedule", "", fmt.Errorf("bursts require a period above 0"))
	}
	return nil
}

// rateAt returns the rate at a time since the start of the run.
func (s Schedule) rateAt(elapsed time.Duration) float64 {
	if s.multiplied(elapsed) {
		return s.Rate * s.Factor
	}
	return s.Rate
}

// multiplied reports whether Factor applies at a time since the start of the run.
func (s Schedule) multiplied(elapsed time.Duration) bool {
	switch s.Shape {
	case Bursty:
		return elapsed%s.Period < s.Length
	case Step:
		return elapsed >= s.Start && (s.Length == 0 || elapsed < s.Start+s.Length)
	default:
		return false
	}
}

func (s Schedule) maxRate() float64 {
	if s.Shape == Bursty || s.Shape == Step {
		return max(s.Rate, s.Rate*s.Factor)
	}
	return s.Rate
}

// next draws the next arrival after a time from a Poisson process whose rate
// follows the schedule. It returns false if there is none before end. It thins a
// process with the maximum rate (Lewis and Shedler, 1979).
func (s Schedule) next(random *rand.Rand, after, end time.Duration) (time.Duration, bool) {
	maxRate := s.maxRate()
	if maxRate == 0 {
		return 0, false
	}
	for after < end {
		after += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if random.Float64()*maxRate < s.rateAt(after) {
			return after, after < end
		}
	}
	return 0, false
}
