// A report of use arrives later than the use. Meanwhile a full bucket may have
// lost tokens that would have fitted in, had the use been known at once. The
// overflow history records recent losses, so that a report that proves the age of
// a use can reclaim them: the level is then as if the use had been known in time.

package granter

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

const (
	overflowSlotMillis = 10  // length of a slot
	overflowSlots      = 128 // number of recent slots kept
)

// overflowHistory holds the nanotokens lost in each of the recent slots. It is nil
// in a Bucket that has lost nothing.
type overflowHistory struct {
	lost   [overflowSlots]int64
	newest int64 // slot number
}

func slotOf(t flow.Time) int64 { return int64(t) / overflowSlotMillis }

// add records a loss of nanotokens in every millisecond of [from, to).
func (o *overflowHistory) add(from, to flow.Time, perMillisecond int64) {
	oldest := flow.Time((slotOf(to) - overflowSlots + 1) * overflowSlotMillis)
	from = max(from, oldest, 0)
	for from < to {
		slot := slotOf(from)
		end := min(flow.Time((slot+1)*overflowSlotMillis), to)
		o.advance(slot)
		o.lost[slot%overflowSlots] += int64(end-from) * perMillisecond
		from = end
	}
}

func (o *overflowHistory) advance(slot int64) {
	first := max(o.newest+1, slot-overflowSlots+1)
	for i := first; i <= slot; i++ {
		o.lost[i%overflowSlots] = 0
	}
	o.newest = max(o.newest, slot)
}

// reclaim takes out up to want nanotokens that were lost at or after since, oldest
// first, and returns how many it found. Slots that begin before since don't count.
func (o *overflowHistory) reclaim(since flow.Time, want int64) int64 {
	first := slotOf(since + overflowSlotMillis - 1)
	first = max(first, o.newest-overflowSlots+1, 0)
	found := int64(0)
	for i := first; i <= o.newest && found < want; i++ {
		part := min(o.lost[i%overflowSlots], want-found)
		o.lost[i%overflowSlots] -= part
		found += part
	}
	return found
}
