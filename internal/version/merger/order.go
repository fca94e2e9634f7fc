// revisionOrder lists the records by the revision of their latest version. It
// is a sorted slice of record numbers to which changes are appended. The
// previous position of a changed record becomes a gap, and gaps are removed in
// batches.

package merger

import (
	"cmp"
	"slices"
	"sort"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// gapDivisor lets gaps reach a quarter of the number of records.
	gapDivisor = 4
	// toleratedGaps is the number of gaps that is always tolerated.
	toleratedGaps = 1024
)

type revisionOrder struct {
	records  *recordTable
	numbers  []recordNumber // noRecord for a gap
	gaps     int
	unsorted bool
	highest  flow.Revision // highest revision ever added
}

// add appends a record that is not in the order.
func (o *revisionOrder) add(number recordNumber, row *recordRow) {
	if row.revision < o.highest {
		o.unsorted = true
	}
	o.highest = max(o.highest, row.revision)
	row.position = uint32(len(o.numbers))
	o.numbers = append(o.numbers, number)
}

// remove replaces a record by a gap. A row with revision 0 is not in the order.
func (o *revisionOrder) remove(row *recordRow) {
	if row.revision > 0 {
		o.numbers[row.position] = noRecord
		o.gaps++
	}
}

// compactIfSparse removes the gaps if there are too many.
func (o *revisionOrder) compactIfSparse() {
	if o.gaps > o.records.count/gapDivisor+toleratedGaps {
		o.removeGaps()
	}
}

func (o *revisionOrder) removeGaps() {
	o.numbers = slices.DeleteFunc(o.numbers, func(number recordNumber) bool { return number == noRecord })
	o.gaps = 0
	o.updatePositions()
}

func (o *revisionOrder) updatePositions() {
	for i, number := range o.numbers {
		o.records.at(number).position = uint32(i)
	}
}

// sorted returns all records in order, including gaps.
func (o *revisionOrder) sorted() []recordNumber {
	if o.unsorted {
		o.removeGaps()
		slices.SortFunc(o.numbers, func(a, b recordNumber) int { return cmp.Compare(o.revision(a), o.revision(b)) })
		o.updatePositions()
		o.unsorted = false
	}
	return o.numbers
}

func (o *revisionOrder) revision(number recordNumber) flow.Revision {
	return o.records.at(number).revision
}

// after returns the records with a revision above from, including gaps.
func (o *revisionOrder) after(from flow.Revision) []recordNumber {
	numbers := o.sorted()
	first := sort.Search(len(numbers), func(i int) bool { return o.startsAbove(numbers[i:], from) })
	return numbers[first:]
}

// startsAbove reports whether the first record in numbers has a revision above
// from. It returns true if there is no record.
func (o *revisionOrder) startsAbove(numbers []recordNumber, from flow.Revision) bool {
	for _, number := range numbers {
		if number != noRecord {
			return o.revision(number) > from
		}
	}
	return true
}
