// The check of rates.

package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Admission is one request that was admitted for a customer.
type Admission struct {
	Customer string
	At       int64 // nanoseconds on one clock for all hosts
}

// RateViolation is the window in which a customer got most above its rate. It
// is an error.
type RateViolation struct {
	Customer string
	From     int64 // nanoseconds; time of the window's first admission
	To       int64 // nanoseconds; time of the window's last admission
	Count    int   // admissions in the window, both ends included
	Allowed  float64
}

// Error describes the window.
func (v RateViolation) Error() string {
	window := time.Duration(v.To - v.From)
	return fmt.Sprintf("check-rate: %s: %d admissions in %v, %.3f allowed", v.Customer, v.Count, window, v.Allowed)
}

// countTolerance covers the rounding of floating point sums.
const countTolerance = 1e-6 // admissions

// CheckRate verifies for each customer that no window holds more admissions
// than its burst plus its rate times the length of the window. It returns the
// worst window of each customer for which one does, by customer. A customer
// without a rate may have no admissions. The admissions may come in any order.
func CheckRate(admissions []Admission, rates []flow.Rate) []RateViolation {
	byCustomer := map[string][]int64{}
	for _, admission := range admissions {
		byCustomer[admission.Customer] = append(byCustomer[admission.Customer], admission.At)
	}
	limits := map[string]flow.Rate{}
	for _, rate := range rates {
		limits[rate.Customer] = rate
	}
	var violations []RateViolation
	for customer, times := range byCustomer {
		slices.Sort(times)
		rate := limits[customer]
		worst := worstWindow(times, rate)
		worst.Customer = customer
		if float64(worst.Count) > worst.Allowed+countTolerance {
			violations = append(violations, worst)
		}
	}
	slices.SortFunc(violations, func(x, y RateViolation) int {
		if x.Customer < y.Customer {
			return -1
		}
		return 1
	})
	return violations
}

// worstWindow finds the window whose count exceeds what is allowed by most. The
// best first admission for a window that ends at i is either i itself or the
// best one for i-1, as in a maximum subarray.
func worstWindow(times []int64, rate flow.Rate) RateViolation {
	worst := RateViolation{Allowed: float64(rate.Burst)}
	worstExcess := 0.0
	excess := 0.0
	first := 0
	for i, at := range times {
		if i > 0 {
			excess -= rate.PerSecond * time.Duration(at-times[i-1]).Seconds()
		}
		if excess <= 0 {
			excess = 0
			first = i
		}
		excess++
		if excess > worstExcess {
			worstExcess = excess
			worst.From = times[first]
			worst.To = at
			worst.Count = i - first + 1
		}
	}
	window := time.Duration(worst.To - worst.From)
	worst.Allowed += rate.PerSecond * window.Seconds()
	return worst
}
