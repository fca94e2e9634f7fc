// The ledger of requests and retries that keeps the retry budget in every window.

package ratelimiter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// ledgerSlots is the number of slots in a window.
	ledgerSlots = 100
	// ledgerLength is the number of slots that are kept: those of the requests that count in
	// any window that still goes on.
	ledgerLength = 2 * ledgerSlots
	// retryDelaySlots is the time between a retry's entry and its arrival at a backend server,
	// and reportDelaySlots the time by which requests may be entered too late, in slots.
	retryDelaySlots  = 2
	reportDelaySlots = 3
	// ownWindowWeight is the weight of the requests in a window, against those in the window
	// that begins half a window earlier.
	ownWindowWeight = 0.4
)

// RetryCount is the number of requests and retries of one slot of a ledger.
type RetryCount struct {
	Age      int `msgpack:"a,omitempty"` // of the slot, in slots
	Requests int `msgpack:"q,omitempty"`
	Retries  int `msgpack:"r,omitempty"`
}

// Ledger records the requests of callers and the retries for one service, and allows a retry
// only if no window can hold more of them than a share of the requests.
//
// The retries in a window are at most the share of a weighted mean of the requests in that
// window and those in the window that begins half a window earlier. The mean is linear: when
// several ledgers each keep to it, and no request is in two of them, all retries together keep
// to the mean of all requests. This holds whatever the load of each daemon, and a daemon that
// restarts with an empty ledger has forgotten its requests along with its retries.
//
// Slots are widened by the delays above, so that the bound holds for arrivals at the backend
// servers in every sliding window and not only for those that begin with a slot.
type Ledger struct {
	share   float64
	slot    time.Duration
	slots   [ledgerLength]RetryCount
	current int64 // number of the current slot, counted from the clock's origin
}

// NewLedger returns an empty ledger of a budget.
func NewLedger(budget RetryBudget) *Ledger {
	return &Ledger{share: budget.Share, slot: max(budget.Window/ledgerSlots, time.Millisecond)}
}

// CountRequest records a request of a caller.
func (l *Ledger) CountRequest(now flow.Time) { l.at(now, 0).Requests++ }

// CountRetry records a retry that is made whether or not it is allowed.
func (l *Ledger) CountRetry(now flow.Time) { l.at(now, 0).Retries++ }

// HasRetry reports whether one more retry is allowed.
func (l *Ledger) HasRetry(now flow.Time) bool {
	l.at(now, 0)
	var requests, retries [ledgerLength + 1]int // sums of the slots before each one
	first := l.current - ledgerLength + 1
	for i := range int64(ledgerLength) {
		count := l.slots[index(first+i)]
		requests[i+1], retries[i+1] = requests[i]+count.Requests, retries[i]+count.Retries
	}
	between := func(from, to int64) float64 { // the requests from one slot to another
		from, to = max(from-first, 0), min(to-first+1, ledgerLength)
		if to <= from {
			return 0
		}
		return float64(requests[to] - requests[from])
	}
	for begin := l.current - (ledgerSlots + retryDelaySlots + 1); begin <= l.current; begin++ {
		from, to := begin+retryDelaySlots+1+reportDelaySlots, begin+retryDelaySlots+ledgerSlots-1
		const half = ledgerSlots / 2
		mean := ownWindowWeight*between(from, to) + (1-ownWindowWeight)*between(from-half, to-half)
		if float64(retries[ledgerLength]-retries[begin-first]+1) > l.share*mean {
			return false
		}
	}
	return true
}

// Withdraw records a retry if one more is allowed, and reports whether it was.
func (l *Ledger) Withdraw(now flow.Time) bool {
	if !l.HasRetry(now) {
		return false
	}
	l.at(now, 0).Retries++
	return true
}

// Take removes all entries and returns them.
func (l *Ledger) Take(now flow.Time) []RetryCount {
	l.at(now, 0)
	var counts []RetryCount
	for age := range ledgerLength {
		slot := &l.slots[index(l.current-int64(age))]
		if slot.Requests > 0 || slot.Retries > 0 {
			counts = append(counts, RetryCount{Age: age, Requests: slot.Requests, Retries: slot.Retries})
			*slot = RetryCount{}
		}
	}
	return counts
}

// Add records the entries of another ledger of the same budget. Those that are too old to count
// are dropped.
func (l *Ledger) Add(now flow.Time, counts []RetryCount) {
	l.at(now, 0)
	for _, count := range counts {
		if count.Age < 0 || count.Age >= ledgerLength || count.Requests < 0 || count.Retries < 0 {
			continue
		}
		slot := l.at(now, count.Age)
		slot.Requests += count.Requests
		slot.Retries += count.Retries
	}
}

// at returns the slot of an age, and clears those that have left the ledger.
func (l *Ledger) at(now flow.Time, age int) *RetryCount {
	number := int64(now.Sub(0) / l.slot)
	for previous := max(l.current, number-ledgerLength); previous < number; previous++ {
		l.slots[index(previous+1)] = RetryCount{}
	}
	l.current = max(l.current, number)
	return &l.slots[index(l.current-int64(age))]
}

// index returns the place of a slot. Slots before the clock's origin have negative numbers.
func index(number int64) int64 { return (number%ledgerLength + ledgerLength) % ledgerLength }
