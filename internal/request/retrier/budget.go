// The retry budget of a service, as a share of its recent requests.

package retrier

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	windowSlots  = 10 // in the sliding window
	slotDuration = time.Second

	defaultShare        = 0.1
	defaultNotRunShare  = 0.5
	defaultMinPerSecond = 0.5
)

// Options are the limits of a Budget. A zero share or rate stands for its default, and
// a negative one allows nothing.
type Options struct {
	Share        float64 // retries of requests that may have run, as a share of the requests in the window
	NotRunShare  float64 // retries of requests that did not run, as a share of the requests in the window
	MinPerSecond float64 // retries per second of each kind that are allowed even if the share is smaller
}

// Budget counts the requests and the retries of one service in a sliding window of ten
// seconds.
type Budget struct {
	options Options
	slots   [windowSlots]counts
	current int64 // number of the current slot, counted from the clock's origin
}

type counts struct {
	requests, retries, notRunRetries int
}

// NewBudget returns a Budget that has counted nothing.
func NewBudget(options Options) *Budget {
	b := &Budget{}
	b.SetOptions(options)
	return b
}

// SetOptions changes the limits and keeps the counts.
func (b *Budget) SetOptions(options Options) {
	options.Share = orDefault(options.Share, defaultShare)
	options.NotRunShare = orDefault(options.NotRunShare, defaultNotRunShare)
	options.MinPerSecond = orDefault(options.MinPerSecond, defaultMinPerSecond)
	b.options = options
}

func orDefault(value, defaultValue float64) float64 {
	if value == 0 {
		return defaultValue
	}
	return max(0, value)
}

// CountRequest counts a request. Call it for the first attempt only.
func (b *Budget) CountRequest(now flow.Time) {
	b.slot(now).requests++
}

// Withdraw takes one retry out of the budget, and reports whether there was one. notRun
// is true for a request that certainly did not run; its retries have their own share.
func (b *Budget) Withdraw(now flow.Time, notRun bool) bool {
	slot := b.slot(now)
	total := b.total()
	if notRun {
		if !b.allows(total.notRunRetries, total.requests, b.options.NotRunShare) {
			return false
		}
		slot.notRunRetries++
		return true
	}
	if !b.allows(total.retries, total.requests, b.options.Share) {
		return false
	}
	slot.retries++
	return true
}

// allows reports whether one more retry stays within the share of the requests or the
// minimum rate, whichever allows more.
func (b *Budget) allows(retries, requests int, share float64) bool {
	minRetries := b.options.MinPerSecond * windowSlots * slotDuration.Seconds()
	return float64(retries+1) <= max(minRetries, share*float64(requests))
}

// slot returns the current slot, and clears the slots that have left the window.
func (b *Budget) slot(now flow.Time) *counts {
	number := int64(now.Sub(0) / slotDuration)
	for previous := max(b.current, number-windowSlots); previous < number; previous++ {
		b.slots[(previous+1)%windowSlots] = counts{}
	}
	b.current = max(b.current, number)
	return &b.slots[b.current%windowSlots]
}

func (b *Budget) total() counts {
	var total counts
	for _, slot := range b.slots {
		total.requests += slot.requests
		total.retries += slot.retries
		total.notRunRetries += slot.notRunRetries
	}
	return total
}
