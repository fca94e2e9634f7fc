// The order of the records by the revision of their latest version. It is a
// sorted list that changes append to; an item is stale once its record has a
// later revision, and stale items are removed in bulk.

package merger

import (
	"cmp"
	"slices"
	"sort"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// staleSlack is the number of stale items that are always tolerated.
const staleSlack = 1024

type order struct {
	items    []orderItem
	unsorted bool
	newest   flow.Revision // the highest revision that was ever added
}

type orderItem struct {
	revision flow.Revision
	entry    *entry
}

func (i orderItem) stale() bool { return i.entry.revision != i.revision }

// add notes the current revision of an entry.
func (o *order) add(e *entry) {
	if e.revision < o.newest {
		o.unsorted = true
	}
	o.newest = max(o.newest, e.revision)
	o.items = append(o.items, orderItem{revision: e.revision, entry: e})
}

// compact removes the stale items when they outnumber the records.
func (o *order) compact(records int) {
	if len(o.items) > 2*records+staleSlack {
		o.items = slices.DeleteFunc(o.items, orderItem.stale)
	}
}

// sorted returns all items in order, stale ones among them.
func (o *order) sorted() []orderItem {
	if o.unsorted {
		slices.SortFunc(o.items, func(a, b orderItem) int { return cmp.Compare(a.revision, b.revision) })
		o.unsorted = false
	}
	return o.items
}

// after returns the items with a revision above from.
func (o *order) after(from flow.Revision) []orderItem {
	items := o.sorted()
	first := sort.Search(len(items), func(i int) bool { return items[i].revision > from })
	return items[first:]
}
