// The requests that figures are made of.

package assessor

import (
	"cmp"
	"slices"
	"time"
)

// Request is one request of a customer as its sender saw it end.
type Request struct {
	Customer string
	Service  string
	At       time.Duration // intended start, from the start of the measured time; negative before it
	Latency  time.Duration // from the intended start to the end of the answer
	Success  bool          // a backend server's whole answer came, with status 2xx
	RateDeny bool          // refused because of the customer's rate, whether over it or because it could not be drawn on
	Reason   string        // why there was no success; empty for success

	Inside bool // the reference bucket admits it
	Excuse bool // a refusal that is not held against the fleet
}

// Rate is the rate of one customer.
type Rate struct {
	PerSecond float64
	Burst     int
}

// aboveShare is the share of a customer's requests that its reference bucket
// refuses, from which the customer counts as above its rate. Which requests of
// such a customer are refused is a matter of chance, so that they are judged
// by their number alone.
const aboveShare = 0.01

// MarkInside sorts requests by their intended start, runs the reference bucket
// of each customer over them, and marks each as inside the rate or excused. It
// returns the customers that were above their rates in the measured time.
func MarkInside(requests []Request, rates map[string]Rate) (above map[string]bool) {
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	buckets := map[string]*Bucket{}
	for customer, rate := range rates {
		buckets[customer] = NewBucket(rate.PerSecond, rate.Burst)
	}
	sent, outside := map[string]int{}, map[string]int{}
	for i := range requests {
		r := &requests[i]
		bucket, ok := buckets[r.Customer]
		r.Inside = !ok || bucket.Admit(r.At)
		if r.At < 0 {
			continue
		}
		sent[r.Customer]++
		if !r.Inside {
			outside[r.Customer]++
		}
	}
	above = map[string]bool{}
	for customer, count := range outside {
		above[customer] = float64(count) > aboveShare*float64(sent[customer])
	}
	for i := range requests {
		r := &requests[i]
		r.Excuse = r.RateDeny && (!r.Inside || above[r.Customer])
	}
	return above
}

// Measured returns the requests that were to start from the start of the
// measured time on.
func Measured(requests []Request) []Request {
	return slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return r.At < 0 })
}
