// Which calls of a backend server may have been made by a retry that it runs.

package retrier

import (
	"math/rand/v2"
	"slices"
)

// chargerSample is the number of runs over which calls are averaged.
const chargerSample = 1000

// Charge is what a call costs of the retry budget of its service.
type Charge int

// The charges of a call.
const (
	// ChargeNone is that of a call that no retry can have made, or that of a retry whose calls
	// have been paid for.
	ChargeNone Charge = iota
	// ChargeRetry is that of a call that counts as a retry, and is refused without one.
	ChargeRetry
	// ChargeLater is that of a call that counts as a retry, but is made without one: an earlier
	// call was refused in its place, and refusing more than one for each retry would fail the
	// requests of others.
	ChargeLater
)

// CallCharger finds the calls that count as retries because a retry may have made them. Which of
// the running requests makes a call is not known on a host. So each running retry is charged for
// as many calls of a service as a run makes on average, rounded up or down at random, whether it
// made them or another run did.
type CallCharger struct {
	random  *rand.Rand
	retries []*chargedRun // running ones, the oldest first
	runs    float64
	calls   map[string]float64 // by service
}

type chargedRun struct {
	id       uint64
	rounding float64        // above 0 and at most 1: the fraction of a call above which it counts
	charged  map[string]int // calls by service
	refused  map[string]int // those of them that were refused
}

// NewCallCharger returns a CallCharger without runs.
func NewCallCharger(random *rand.Rand) *CallCharger {
	return &CallCharger{random: random, calls: map[string]float64{}}
}

// Begin records the begin of a run.
func (c *CallCharger) Begin(id uint64, isRetry bool) {
	if c.runs++; c.runs > chargerSample {
		c.runs /= 2
		for service := range c.calls {
			c.calls[service] /= 2
		}
	}
	if isRetry {
		c.retries = append(c.retries, &chargedRun{id: id, rounding: 1 - c.random.Float64(), charged: map[string]int{}, refused: map[string]int{}})
	}
}

// End records the end of a run. It may be called for a run that did not begin.
func (c *CallCharger) End(id uint64) {
	c.retries = slices.DeleteFunc(c.retries, func(r *chargedRun) bool { return r.id == id })
}

// Charge records a call of a service, and returns what it costs and the retry that is charged.
func (c *CallCharger) Charge(service string) (charge Charge, run uint64) {
	c.calls[service]++
	mean := c.calls[service] / max(c.runs, 1)
	for _, retry := range c.retries {
		if retry.charged[service] < int(mean+1-retry.rounding) {
			retry.charged[service]++
			return ChargeRetry, retry.id
		}
	}
	for _, retry := range c.retries {
		if retry.refused[service] > 0 {
			retry.refused[service]--
			return ChargeLater, retry.id
		}
	}
	return ChargeNone, 0
}

// Refused records that a charged call did not arrive at any backend server: the retry may still
// make its own call.
func (c *CallCharger) Refused(run uint64, service string) {
	for _, retry := range c.retries {
		if retry.id == run {
			retry.refused[service]++
		}
	}
}
