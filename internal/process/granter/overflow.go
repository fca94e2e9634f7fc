// A report of use comes later than the use. Meanwhile the bucket may have stood
// at its limit and lost what accrued, though with the use known at once there
// had been room for it. Overflow remembers what was lost lately, so that a
// report that proves the age of a use can claim it back: the bucket then stands
// as if it had known at the time.

package granter

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

const (
	overflowSlotMillis = 10  // milliseconds in one slot
	overflowSlots      = 128 // slots remembered
)

// overflow holds the nanotokens lost in each slot of the recent past. A nil
// overflow is empty.
type overflowHistory struct {
	lost   [overflowSlots]int64
	newest int64 // number of the newest slot
}

func slotOf(t flow.Time) int64 { return int64(t) / overflowSlotMillis }

// add records nanotokens lost in each millisecond from from until to.
func (o *overflowHistory) add(from, to flow.Time, each int64) {
	oldest := flow.Time((slotOf(to) - overflowSlots + 1) * overflowSlotMillis)
	from = max(from, oldest, 0)
	for from < to {
		slot := slotOf(from)
		end := min(flow.Time((slot+1)*overflowSlotMillis), to)
		o.advance(slot)
		o.lost[slot%overflowSlots] += int64(end-from) * each
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

// claim takes up to want nanotokens that were lost at or after since, oldest
// first, and returns how many it found.
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
