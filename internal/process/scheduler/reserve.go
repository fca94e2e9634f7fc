// Room for calls of running requests.

package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// minCallLoad is the mean number of slots busy with calls below which none is
	// reserved for them.
	minCallLoad = 0.05
	// blockedMultiple is the multiple of its route's mean for which a running request may
	// wait for calls until it counts as blocked.
	blockedMultiple = 2
	// blockedTime is how long a slot stays reserved for calls after all slots were blocked.
	blockedTime = 30 * time.Second
)

// SetCallReserve sets the maximum share of the slots, from 0 to 1, that is reserved for
// calls of running requests. 0 reserves none.
func (s *Scheduler) SetCallReserve(share float64) { s.callReserve = share }

// Reserved is the number of free slots that only calls may take, as of the last entry.
func (s *Scheduler) Reserved() int { return min(s.reserved, max(s.freeSlots(), 0)) }

// updateReserved computes how many of the free slots only calls may take. Reserved slots
// are idle at times, so slots are reserved only if a call would otherwise wait longer for
// the end of another request than it runs itself: in simulations, reserving them on every
// called service served fewer requests in time. If requests have blocked all slots while a call
// waited, one slot stays reserved in any case: servers that call each other could else hold all
// their slots for requests that wait for each other's.
func (s *Scheduler) updateReserved(now flow.Time) {
	s.reserved = 0
	if s.callReserve <= 0 || s.slots < 2 {
		return
	}
	if s.blocked(now) {
		s.blockedUntil = now.Add(blockedTime)
	}
	load := 0.0
	for r, l := range s.loads {
		if r.call {
			load += l.decayed(now)
		}
	}
	wanted := 0
	if load >= minCallLoad && s.slotInterval(now) > s.meanCall {
		wanted = int(math.Ceil(load))
	}
	if now.Before(s.blockedUntil) {
		wanted = max(wanted, 1)
	}
	calls := 0
	for _, r := range s.running {
		if r.entry.Call {
			calls++
		}
	}
	most := int(s.callReserve * float64(s.slots))
	s.reserved = max(min(wanted, most)-calls, 0)
}

// blocked reports whether a call waits while all slots are held, for much longer than usual,
// by other requests.
func (s *Scheduler) blocked(now flow.Time) bool {
	if s.freeSlots() > 0 || !slices.ContainsFunc(s.queue, func(e Entry) bool { return e.Call }) {
		return false
	}
	for _, r := range s.running {
		if r.entry.Call || now.Sub(r.started) < blockedMultiple*s.MeanDuration(r.entry.Route) {
			return false
		}
	}
	return true
}

// slotInterval is the expected time between two ends of running requests other than calls,
// if all slots had such requests. A request that has run for longer than its route's mean,
// perhaps since it waits for a call itself, counts with that time.
func (s *Scheduler) slotInterval(now flow.Time) time.Duration {
	var sum time.Duration
	count := 0
	for _, r := range s.running {
		if !r.entry.Call {
			sum += max(s.MeanDuration(r.entry.Route), now.Sub(r.started))
			count++
		}
	}
	return sum / time.Duration(max(count, 1)*s.slots)
}

// recordCall includes the duration of a call in the mean of calls.
func (s *Scheduler) recordCall(duration time.Duration) {
	if s.meanCall == 0 {
		s.meanCall = duration
		return
	}
	s.meanCall += time.Duration(durationWeight * float64(duration-s.meanCall))
}

// slotsFor is the number of free slots that an entry may take.
func (s *Scheduler) slotsFor(entry Entry) int {
	if entry.Call {
		return s.freeSlots()
	}
	return s.freeSlots() - s.reserved
}

// startsAtOnce reports whether a new entry may take a free slot before those that wait.
func (s *Scheduler) startsAtOnce(entry Entry) bool {
	if s.slotsFor(entry) <= 0 {
		return false
	}
	for _, queued := range s.queue {
		if s.slotsFor(queued) > 0 {
			return false
		}
	}
	return true
}
