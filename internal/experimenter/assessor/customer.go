// How each customer was served.

package assessor

import (
	"slices"
	"strings"
	"time"
)

// Customer is how one customer was served.
type Customer struct {
	Name          string    `json:"customer"`
	Sent          int       `json:"sent"`
	Succeeded     int       `json:"succeeded"`
	Excused       int       `json:"refused-outside-rate"` // refusals over the rate that are not held against the fleet
	RefusedInside int       `json:"refused-inside-rate"`  // refused for the rate although the reference bucket admits them; 0 for a customer above its rate
	Allowed       int       `json:"allowed"`              // requests that the reference bucket admits
	Above         bool      `json:"above-rate"`
	SuccessShare  float64   `json:"success-share"`    // of the requests that are not excused
	AllowedShare  float64   `json:"share-of-allowed"` // successes as a share of Allowed, at most 1
	Latency       Quantiles `json:"latency"`          // of successes
	latencies     []time.Duration
	counted       int
}

// Customers returns how each customer was served, by name, from requests that
// were marked by MarkInside.
func Customers(requests []Request, above map[string]bool) []Customer {
	byName := map[string]*Customer{}
	for _, r := range requests {
		c, ok := byName[r.Customer]
		if !ok {
			c = &Customer{Name: r.Customer, Above: above[r.Customer]}
			byName[r.Customer] = c
		}
		c.add(r)
	}
	customers := make([]Customer, 0, len(byName))
	for _, c := range byName {
		c.finish()
		customers = append(customers, *c)
	}
	slices.SortFunc(customers, func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
	return customers
}

func (c *Customer) add(r Request) {
	c.Sent++
	if r.Inside {
		c.Allowed++
	}
	if r.Excuse {
		c.Excused++
		return
	}
	c.counted++
	if r.RateDeny {
		c.RefusedInside++
	}
	if r.Success {
		c.Succeeded++
		c.latencies = append(c.latencies, r.Latency)
	}
}

func (c *Customer) finish() {
	c.SuccessShare = share(c.Succeeded, c.counted)
	c.AllowedShare = min(1, share(c.Succeeded, c.Allowed))
	c.Latency = QuantilesOf(c.latencies)
}

// share returns a part of a whole, and 1 for a part of nothing.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// -----------------------------------------------------------------------------

// Worst compares the worst-served customer with the median one.
type Worst struct {
	ShareCustomer string  // with the lowest success share
	Share         float64 // its success share
	MedianShare   float64 // of the median customer
	P99Customer   string  // with the highest 99th percentile of latency
	P99Millis     float64
	MedianP99     float64 // milliseconds, of the median customer
}

// WorstOf finds the worst-served customer; the zero Worst when there is none.
func WorstOf(customers []Customer) Worst {
	if len(customers) == 0 {
		return Worst{}
	}
	worst := Worst{Share: 2}
	var shares, latencies []float64
	for _, c := range customers {
		shares = append(shares, c.SuccessShare)
		latencies = append(latencies, c.Latency.P99Millis)
		if c.SuccessShare < worst.Share {
			worst.Share, worst.ShareCustomer = c.SuccessShare, c.Name
		}
		if c.Latency.P99Millis > worst.P99Millis {
			worst.P99Millis, worst.P99Customer = c.Latency.P99Millis, c.Name
		}
	}
	worst.MedianShare, worst.MedianP99 = median(shares), median(latencies)
	return worst
}

// median returns the middle value, the upper one of two.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
