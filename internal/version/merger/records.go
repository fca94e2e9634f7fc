// The table of entries: pages of small rows without pointers, and a hash table
// with open addressing that finds them by kind and name.

package merger

import (
	"hash/maphash"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// seed makes the places in hash tables differ from process to process.
var seed = maphash.MakeSeed()

const (
	entryPage  = 256 // entries of a page
	firstSlots = 16  // of the hash table; a power of two

	// The part of the slots that may be taken.
	loadNumerator   = 3
	loadDenominator = 4

	// kindFactor spreads the kinds that share a name over the slots.
	kindFactor = 0x9e3779b97f4a7c15
)

// recordNumber is the number of an entry.
type recordNumber uint32

// noRecord is the number of no entry.
const noRecord recordNumber = 0

type records struct {
	pages []*[entryPage]entry
	last  recordNumber   // the highest number that was ever given
	free  []recordNumber // numbers of entries that were removed
	count int            // entries, tombstones among them
	slots []recordNumber // the hash table; its size is a power of two
	texts texts
}

// at returns the entry of a number. The pointer is good until the entry is
// removed.
func (r *records) at(number recordNumber) *entry {
	return &r.pages[number/entryPage][number%entryPage]
}

// name returns the name of a record.
func (r *records) name(e *entry) string { return string(r.texts.at(e.place()).name) }

// body returns the packed body of a record.
func (r *records) body(e *entry) string { return string(r.texts.at(e.place()).body) }

// add makes an entry for a record that has none. It has no text until setBody.
func (r *records) add(kind uint16, name string) recordNumber {
	r.grow()
	number := r.newNumber()
	*r.at(number) = entry{bits: kind}
	r.insert(number, hashOf(kind, name))
	r.count++
	return number
}

func (r *records) newNumber() recordNumber {
	if count := len(r.free); count > 0 {
		number := r.free[count-1]
		r.free = r.free[:count-1]
		return number
	}
	r.last++
	if int(r.last/entryPage) == len(r.pages) {
		r.pages = append(r.pages, new([entryPage]entry))
	}
	return r.last
}

// setBody replaces the packed body of the record of a name.
func (r *records) setBody(e *entry, name, body string) {
	held := text{name: name, body: body}
	if e.revision == 0 {
		e.setPlace(r.texts.add(held))
		return
	}
	e.setPlace(r.texts.replace(e.place(), held))
}

// remove forgets a record.
func (r *records) remove(number recordNumber) {
	e := r.at(number)
	r.erase(number, hashOf(e.kind(), r.name(e)))
	r.texts.drop(e.place())
	*e = entry{}
	r.free = append(r.free, number)
	r.count--
}

// reclaim copies the texts when the dead bytes among them are worth it.
func (r *records) reclaim() {
	if !r.texts.wasteful() {
		return
	}
	var fresh texts
	for number := noRecord + 1; number <= r.last; number++ {
		if e := r.at(number); e.revision > 0 {
			e.setPlace(fresh.add(text{name: r.name(e), body: r.body(e)}))
		}
	}
	r.texts = fresh
}

// -----------------------------------------------------------------------------

func hashOf(kind uint16, name string) uint64 {
	return maphash.String(seed, name) ^ (uint64(kind)+1)*kindFactor
}

// find returns the number of a record, or noRecord.
func (r *records) find(kind uint16, name string) recordNumber {
	if r.count == 0 {
		return noRecord
	}
	for slot := r.slotOf(hashOf(kind, name)); ; slot = r.after(slot) {
		number := r.slots[slot]
		if number == noRecord {
			return noRecord
		}
		e := r.at(number)
		if e.kind() == kind && string(r.texts.at(e.place()).name) == name {
			return number
		}
	}
}

func (r *records) slotOf(hash uint64) int { return int(hash & uint64(len(r.slots)-1)) }

func (r *records) after(slot int) int { return (slot + 1) & (len(r.slots) - 1) }

// insert puts a number into the first empty slot from that of its hash on.
func (r *records) insert(number recordNumber, hash uint64) {
	slot := r.slotOf(hash)
	for r.slots[slot] != noRecord {
		slot = r.after(slot)
	}
	r.slots[slot] = number
}

// erase takes a number out, and inserts again what lies behind it up to the
// next empty slot, so that no search ends too early.
func (r *records) erase(number recordNumber, hash uint64) {
	slot := r.slotOf(hash)
	for r.slots[slot] != number {
		slot = r.after(slot)
	}
	r.slots[slot] = noRecord
	for slot = r.after(slot); r.slots[slot] != noRecord; slot = r.after(slot) {
		moved := r.slots[slot]
		r.slots[slot] = noRecord
		r.insertAgain(moved)
	}
}

func (r *records) insertAgain(number recordNumber) {
	e := r.at(number)
	r.insert(number, hashOf(e.kind(), r.name(e)))
}

// grow makes room in the hash table for one more record.
func (r *records) grow() {
	if (r.count+1)*loadDenominator <= len(r.slots)*loadNumerator {
		return
	}
	old := r.slots
	r.slots = make([]recordNumber, max(firstSlots, 2*len(old)))
	for _, number := range old {
		if number != noRecord {
			r.insertAgain(number)
		}
	}
}

// -----------------------------------------------------------------------------

// The bits of an entry above its kind.
const (
	deletedBit = 1 << 15
	faultyBit  = 1 << 14
	kindMask   = faultyBit - 1
)

// entry is the latest version of one record. It holds no pointer. One that is
// not in use has revision 0.
type entry struct {
	revision flow.Revision
	page     uint32 // of the text
	sequence uint32 // number of the last full sequence that held the record
	position uint32 // of the record in the order
	offset   uint16 // of the text
	bits     uint16 // index into the merger's kinds, deletedBit, faultyBit
}

func (e *entry) kind() uint16 { return e.bits & kindMask }

func (e *entry) deleted() bool { return e.bits&deletedBit != 0 }

// faulty reports whether the latest version is not well-formed; see fault.
func (e *entry) faulty() bool { return e.bits&faultyBit != 0 }

func (e *entry) place() place { return place{page: e.page, offset: e.offset} }

func (e *entry) setPlace(p place) { e.page, e.offset = p.page, p.offset }

// setState notes what the latest version is.
func (e *entry) setState(deleted, faulty bool) {
	e.bits &= kindMask
	if deleted {
		e.bits |= deletedBit
	}
	if faulty {
		e.bits |= faultyBit
	}
}
