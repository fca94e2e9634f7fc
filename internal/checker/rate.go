// Check of the customers' rates.

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
	AtNanos  int64 // on one clock for all hosts
}

// RateViolation is the window in which a customer exceeded its rate by the most. It
// is an error.
type RateViolation struct {
	Customer  string
	FromNanos int64   // time of the first admission in the window
	ToNanos   int64   // time of the last admission in the window
	Count     int     // admissions in the window, both ends included
	Allowed   float64 // admissions that the burst and the rate allow in the window
}

// Error describes the violation.
func (v RateViolation) Error() string {
	window := time.Duration(v.ToNanos - v.FromNanos)
	return fmt.Sprintf("check-rate: %s: %d admissions in %v, %.3f allowed", v.Customer, v.Count, window, v.Allowed)
}

// countTolerance covers rounding errors of floating-point sums.
const countTolerance = 1e-6 // admissions

// CheckRate verifies for each customer that no window contains more admissions
// than its burst plus its rate times the length of the window. It returns the
// worst window of each customer that violates this, ordered by customer. A customer
// without a rate must not have any. The admissions may be in any order.
func CheckRate(admissions []Admission, rates []flow.Rate) []RateViolation {
	byCustomer := map[string][]int64{}
	for _, admission := range admissions {
		byCustomer[admission.Customer] = append(byCustomer[admission.Customer], admission.AtNanos)
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

// worstWindow finds the window with the largest excess over what is allowed. As in
// the maximum subarray problem, the worst window that ends at admission i either
// starts at i or extends the worst window that ends at i-1.
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
			worst.FromNanos = times[first]
			worst.ToNanos = at
			worst.Count = i - first + 1
		}
	}
	window := time.Duration(worst.ToNanos - worst.FromNanos)
	worst.Allowed += rate.PerSecond * window.Seconds()
	return worst
}
