// Requests, and which of them are within the rates of their customers.

package assessor

import (
	"cmp"
	"slices"
	"time"
)

// Request is one request of a customer with its result as seen by the caller.
type Request struct {
	Customer string
	Service  string
	At       time.Duration // intended start, from the start of the measured time; negative before it
	Latency  time.Duration // from the intended start to the end of the response
	Success  bool          // the complete response of a backend server arrived, with status 2xx

	// RefusedForRate is set for a request that was refused because it exceeds
	// the customer's rate, or because no token could be requested.
	RefusedForRate bool
	Reason         string // why the request did not succeed; empty for success

	WithinRate bool // Bucket admits the request
	Excused    bool // justly refused for the rate, so not a failure of the fleet
}

// Rate is the rate of one customer.
type Rate struct {
	PerSecond float64
	Burst     int
}

// aboveRateShare is the share of a customer's requests that do not fit its Bucket
// above which the customer counts as above its rate. Which requests of such a
// customer the fleet refuses is random, so only their number is assessed.
const aboveRateShare = 0.01

// MarkWithinRate sorts requests by their intended start, passes them through a
// Bucket for each customer, and sets WithinRate and Excused of each. It returns
// the customers that were above their rates in the measured time. Requests of a
// customer without a rate are all within it.
func MarkWithinRate(requests []Request, rates map[string]Rate) (aboveRate map[string]bool) {
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	buckets := map[string]*Bucket{}
	for customer, rate := range rates {
		buckets[customer] = NewBucket(rate.PerSecond, rate.Burst)
	}
	sent, exceeding := map[string]int{}, map[string]int{}
	for i := range requests {
		r := &requests[i]
		bucket, ok := buckets[r.Customer]
		r.WithinRate = !ok || bucket.Admit(r.At)
		if r.At < 0 {
			continue
		}
		sent[r.Customer]++
		if !r.WithinRate {
			exceeding[r.Customer]++
		}
	}
	aboveRate = map[string]bool{}
	for customer, count := range exceeding {
		aboveRate[customer] = float64(count) > aboveRateShare*float64(sent[customer])
	}
	for i := range requests {
		r := &requests[i]
		r.Excused = r.RefusedForRate && (!r.WithinRate || aboveRate[r.Customer])
	}
	return aboveRate
}

// Measured returns the requests whose intended start is in the measured time,
// or after it. It drops those of the warm-up.
func Measured(requests []Request) []Request {
	return slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return r.At < 0 })
}
