// The order of the records by the revision of their latest version. It is a
// sorted list of their numbers that changes append to. Where a record stood
// before, a gap remains; gaps are closed in bulk.

package merger

import (
	"cmp"
	"slices"
	"sort"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// gapShare is the share of the records that the gaps may reach.
	gapShare = 4
	// gapSlack is the number of gaps that are always tolerated.
	gapSlack = 1024
)

type order struct {
	records  *records
	items    []recordNumber // noRecord for a gap
	gaps     int
	unsorted bool
	newest   flow.Revision // the highest revision that was ever added
}

// add appends a record that is not in the order.
func (o *order) add(number recordNumber, e *entry) {
	if e.revision < o.newest {
		o.unsorted = true
	}
	o.newest = max(o.newest, e.revision)
	e.position = uint32(len(o.items))
	o.items = append(o.items, number)
}

// remove leaves a gap in place of a record; one of revision 0 is not there.
func (o *order) remove(e *entry) {
	if e.revision > 0 {
		o.items[e.position] = noRecord
		o.gaps++
	}
}

// compact closes the gaps when there are many.
func (o *order) compact() {
	if o.gaps > o.records.count/gapShare+gapSlack {
		o.close()
	}
}

func (o *order) close() {
	o.items = slices.DeleteFunc(o.items, func(number recordNumber) bool { return number == noRecord })
	o.gaps = 0
	o.renumber()
}

func (o *order) renumber() {
	for i, number := range o.items {
		o.records.at(number).position = uint32(i)
	}
}

// sorted returns all items in order, gaps among them.
func (o *order) sorted() []recordNumber {
	if o.unsorted {
		o.close()
		slices.SortFunc(o.items, func(a, b recordNumber) int { return cmp.Compare(o.revision(a), o.revision(b)) })
		o.renumber()
		o.unsorted = false
	}
	return o.items
}

func (o *order) revision(number recordNumber) flow.Revision { return o.records.at(number).revision }

// after returns the items with a revision above from, gaps among them.
func (o *order) after(from flow.Revision) []recordNumber {
	items := o.sorted()
	first := sort.Search(len(items), func(i int) bool { return o.above(items[i:], from) })
	return items[first:]
}

// above reports whether the first record of items has a revision above from;
// it has when there is none.
func (o *order) above(items []recordNumber, from flow.Revision) bool {
	for _, number := range items {
		if number != noRecord {
			return o.revision(number) > from
		}
	}
	return true
}
