// Success and latency by customer.

package assessor

import (
	"slices"
	"strings"
	"time"
)

// Customer holds the measures of one customer.
type Customer struct {
	Name              string    `json:"customer"`
	Sent              int       `json:"sent"`
	Succeeded         int       `json:"succeeded"`
	Excused           int       `json:"refused-outside-rate"` // justly refused for the rate; not counted in SuccessShare
	RefusedWithinRate int       `json:"refused-inside-rate"`  // refused for the rate although Bucket admits them; 0 for a customer above its rate
	Allowed           int       `json:"allowed"`              // requests that Bucket admits
	AboveRate         bool      `json:"above-rate"`
	SuccessShare      float64   `json:"success-share"`    // of the requests that are not excused
	AllowedShare      float64   `json:"share-of-allowed"` // successes divided by Allowed, at most 1
	Latency           Quantiles `json:"latency"`          // of successes
	latencies         []time.Duration
	counted           int
}

// Customers returns the measures of each customer, sorted by name. The requests
// must have been marked by MarkWithinRate, which also returns aboveRate.
func Customers(requests []Request, aboveRate map[string]bool) []Customer {
	byName := map[string]*Customer{}
	for _, r := range requests {
		c, ok := byName[r.Customer]
		if !ok {
			c = &Customer{Name: r.Customer, AboveRate: aboveRate[r.Customer]}
			byName[r.Customer] = c
		}
		c.add(r)
	}
	customers := make([]Customer, 0, len(byName))
	for _, c := range byName {
		c.computeShares()
		customers = append(customers, *c)
	}
	slices.SortFunc(customers, func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
	return customers
}

func (c *Customer) add(r Request) {
	c.Sent++
	if r.WithinRate {
		c.Allowed++
	}
	if r.Excused {
		c.Excused++
		return
	}
	c.counted++
	if r.RefusedForRate {
		c.RefusedWithinRate++
	}
	if r.Success {
		c.Succeeded++
		c.latencies = append(c.latencies, r.Latency)
	}
}

func (c *Customer) computeShares() {
	c.SuccessShare = share(c.Succeeded, c.counted)
	c.AllowedShare = min(1, share(c.Succeeded, c.Allowed))
	c.Latency = QuantilesOf(c.latencies)
}

// share returns part divided by whole, and 1 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// Worst holds the worst and the median customer by success share and by latency.
type Worst struct {
	ShareCustomer   string  // with the lowest success share
	Share           float64 // success share of ShareCustomer
	MedianShare     float64 // median success share of all customers
	P99Customer     string  // with the highest 99th percentile of latency
	P99Millis       float64 // 99th percentile of P99Customer
	MedianP99Millis float64 // median 99th percentile of all customers
}

// WorstOf returns the worst and the median customer, or the zero Worst without customers.
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
	worst.MedianShare, worst.MedianP99Millis = median(shares), median(latencies)
	return worst
}

// median returns the middle value, or the upper one of two. It sorts values.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
