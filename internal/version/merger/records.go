// recordTable stores the records in pages of small rows without pointers, and
// finds them by kind and name through a hash table with open addressing.

package merger

import (
	"hash/maphash"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// hashSeed makes the slots of the hash table differ between processes.
var hashSeed = maphash.MakeSeed()

const (
	rowsPerPage  = 256 // rows in a page
	initialSlots = 16  // initial size of the hash table; a power of two

	// The largest load factor of the hash table.
	maxLoadNumerator   = 3
	maxLoadDenominator = 4

	// kindMultiplier spreads records of different kinds with the same name over
	// the hash table.
	kindMultiplier = 0x9e3779b97f4a7c15
)

// recordNumber is the index of a row.
type recordNumber uint32

// noRecord marks an empty slot, a gap, or that there is no such record.
const noRecord recordNumber = 0

type recordTable struct {
	pages         []*[rowsPerPage]recordRow
	highestNumber recordNumber   // highest number ever assigned
	free          []recordNumber // numbers of removed rows
	count         int            // rows in use, including tombstones
	slots         []recordNumber // hash table; its size is a power of two
	arena         arena
}

// at returns a row by its number. The pointer is valid until the row is
// removed.
func (r *recordTable) at(number recordNumber) *recordRow {
	return &r.pages[number/rowsPerPage][number%rowsPerPage]
}

func (r *recordTable) name(row *recordRow) string { return string(r.arena.at(row.location()).name) }

// body returns the packed body of a record.
func (r *recordTable) body(row *recordRow) string { return string(r.arena.at(row.location()).body) }

// add adds a row for a record that has none. The row has no text until setBody
// is called and its revision is set.
func (r *recordTable) add(kind uint16, name string) recordNumber {
	r.growIfFull()
	number := r.newNumber()
	*r.at(number) = recordRow{bits: kind}
	r.insertNumber(number, hashOf(kind, name))
	r.count++
	return number
}

func (r *recordTable) newNumber() recordNumber {
	if count := len(r.free); count > 0 {
		number := r.free[count-1]
		r.free = r.free[:count-1]
		return number
	}
	r.highestNumber++
	if int(r.highestNumber/rowsPerPage) == len(r.pages) {
		r.pages = append(r.pages, new([rowsPerPage]recordRow))
	}
	return r.highestNumber
}

// setBody replaces the packed body of a record.
func (r *recordTable) setBody(row *recordRow, name, body string) {
	stored := recordText{name: name, body: body}
	if row.revision == 0 {
		row.setLocation(r.arena.add(stored))
		return
	}
	row.setLocation(r.arena.replace(row.location(), stored))
}

func (r *recordTable) remove(number recordNumber) {
	row := r.at(number)
	r.eraseNumber(number, hashOf(row.kindIndex(), r.name(row)))
	r.arena.markDead(row.location())
	*row = recordRow{}
	r.free = append(r.free, number)
	r.count--
}

// compactArena copies all texts to a new arena if enough of the old one is
// dead.
func (r *recordTable) compactArena() {
	if !r.arena.needsCompaction() {
		return
	}
	var fresh arena
	for number := noRecord + 1; number <= r.highestNumber; number++ {
		if row := r.at(number); row.revision > 0 {
			row.setLocation(fresh.add(recordText{name: r.name(row), body: r.body(row)}))
		}
	}
	r.arena = fresh
}

func hashOf(kind uint16, name string) uint64 {
	return maphash.String(hashSeed, name) ^ (uint64(kind)+1)*kindMultiplier
}

// find returns the number of a record, or noRecord.
func (r *recordTable) find(kind uint16, name string) recordNumber {
	if r.count == 0 {
		return noRecord
	}
	for slot := r.slotOf(hashOf(kind, name)); ; slot = r.nextSlot(slot) {
		number := r.slots[slot]
		if number == noRecord {
			return noRecord
		}
		row := r.at(number)
		if row.kindIndex() == kind && string(r.arena.at(row.location()).name) == name {
			return number
		}
	}
}

func (r *recordTable) slotOf(hash uint64) int { return int(hash & uint64(len(r.slots)-1)) }

func (r *recordTable) nextSlot(slot int) int { return (slot + 1) & (len(r.slots) - 1) }

// insertNumber puts a number into the first empty slot at or after that of its
// hash.
func (r *recordTable) insertNumber(number recordNumber, hash uint64) {
	slot := r.slotOf(hash)
	for r.slots[slot] != noRecord {
		slot = r.nextSlot(slot)
	}
	r.slots[slot] = number
}

// eraseNumber removes a number and reinserts the numbers that follow up to the
// next empty slot, so that lookups for them do not stop at the slot that became
// empty.
func (r *recordTable) eraseNumber(number recordNumber, hash uint64) {
	slot := r.slotOf(hash)
	for r.slots[slot] != number {
		slot = r.nextSlot(slot)
	}
	r.slots[slot] = noRecord
	for slot = r.nextSlot(slot); r.slots[slot] != noRecord; slot = r.nextSlot(slot) {
		moved := r.slots[slot]
		r.slots[slot] = noRecord
		r.reinsert(moved)
	}
}

func (r *recordTable) reinsert(number recordNumber) {
	row := r.at(number)
	r.insertNumber(number, hashOf(row.kindIndex(), r.name(row)))
}

// growIfFull doubles the hash table if it has no room for one more record.
func (r *recordTable) growIfFull() {
	if (r.count+1)*maxLoadDenominator <= len(r.slots)*maxLoadNumerator {
		return
	}
	old := r.slots
	r.slots = make([]recordNumber, max(initialSlots, 2*len(old)))
	for _, number := range old {
		if number != noRecord {
			r.reinsert(number)
		}
	}
}

// Layout of recordRow.bits: the kind index and, above it, two flags.
const (
	deletedBit = 1 << 15
	faultyBit  = 1 << 14
	kindMask   = faultyBit - 1
)

// recordRow is the latest version of one record. It contains no pointer, so the
// garbage collector does not scan it. An unused row has revision 0.
type recordRow struct {
	revision     flow.Revision
	arenaPage    uint32 // of the text
	lastTransfer uint32 // number of the last full transfer that contained the record
	position     uint32 // in the revisionOrder
	arenaOffset  uint16 // of the text
	bits         uint16 // index into Merger.kinds, deletedBit, faultyBit
}

func (row *recordRow) kindIndex() uint16 { return row.bits & kindMask }

func (row *recordRow) deleted() bool { return row.bits&deletedBit != 0 }

// faulty reports whether the latest version is malformed; see faultState.
func (row *recordRow) faulty() bool { return row.bits&faultyBit != 0 }

func (row *recordRow) location() location {
	return location{page: row.arenaPage, offset: row.arenaOffset}
}

func (row *recordRow) setLocation(to location) { row.arenaPage, row.arenaOffset = to.page, to.offset }

// setState sets the flags of the latest version.
func (row *recordRow) setState(deleted, faulty bool) {
	row.bits &= kindMask
	if deleted {
		row.bits |= deletedBit
	}
	if faulty {
		row.bits |= faultyBit
	}
}
