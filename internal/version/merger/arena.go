// The names and packed bodies of all records, in large pages without a pointer
// for each record. A text that grows moves to the end and leaves dead bytes
// behind, which are reclaimed in bulk.

package merger

import (
	"encoding/binary"
	"math/bits"
)

const (
	pageSize  = 64 << 10 // most bytes of a page that texts share
	firstPage = 1 << 10  // bytes of the first page
	largeText = 4 << 10  // bytes; a larger text has a page of its own

	// deadShare is the share of the live bytes that the dead ones may reach
	// before they are reclaimed.
	deadShare = 4
)

type texts struct {
	pages [][]byte
	open  int // number of the page that small texts are added to
	size  int // bytes of all texts, dead ones among them
	dead  int
}

// text is the name and the packed body of a record.
type text struct {
	name, body string
}

// view is a text as it lies in its page.
type view struct {
	name, body []byte
}

// place says where a text begins.
type place struct {
	page   uint32
	offset uint16
}

// at returns the text that begins at a place.
func (t *texts) at(p place) view {
	page := t.pages[p.page][p.offset:]
	nameLength, n := binary.Uvarint(page)
	bodyLength, k := binary.Uvarint(page[n:])
	page = page[n+k:]
	return view{name: page[:nameLength], body: page[nameLength : nameLength+bodyLength]}
}

// add appends a text.
func (t *texts) add(added text) place {
	size := added.size()
	t.size += size
	number := t.pageFor(size)
	p := place{page: uint32(number), offset: uint16(len(t.pages[number]))}
	t.pages[number] = added.append(t.pages[number])
	return p
}

// pageFor returns the number of a page with room for a text of a size.
func (t *texts) pageFor(size int) int {
	if size > largeText {
		t.pages = append(t.pages, make([]byte, 0, size))
		return len(t.pages) - 1
	}
	if t.open == len(t.pages) || len(t.pages[t.open])+size > cap(t.pages[t.open]) {
		t.open = len(t.pages)
		t.pages = append(t.pages, make([]byte, 0, t.newPageSize()))
	}
	return t.open
}

// newPageSize returns the size of the next page for texts that share one. Pages
// grow with what is held, so that a small store takes little.
func (t *texts) newPageSize() int { return min(max(t.size, firstPage), pageSize) }

// replace puts a text in the place of another.
func (t *texts) replace(p place, by text) place {
	free, size := t.at(p).size(), by.size()
	if size > free {
		t.drop(p)
		return t.add(by)
	}
	by.append(t.pages[p.page][:p.offset])
	t.dead += free - size
	return p
}

// drop makes the bytes of a text dead.
func (t *texts) drop(p place) {
	size := t.at(p).size()
	t.dead += size
	if size > largeText {
		t.pages[p.page] = nil
	}
}

// wasteful reports whether the dead bytes are worth reclaiming.
func (t *texts) wasteful() bool {
	return t.dead > (t.size-t.dead)/deadShare+pageSize
}

// -----------------------------------------------------------------------------

// size returns the bytes that a text takes in a page.
func (t text) size() int {
	return lengthSize(len(t.name)) + lengthSize(len(t.body)) + len(t.name) + len(t.body)
}

func (v view) size() int {
	return lengthSize(len(v.name)) + lengthSize(len(v.body)) + len(v.name) + len(v.body)
}

func (t text) append(page []byte) []byte {
	page = binary.AppendUvarint(page, uint64(len(t.name)))
	page = binary.AppendUvarint(page, uint64(len(t.body)))
	page = append(page, t.name...)
	return append(page, t.body...)
}

// lengthSize returns the bytes that binary.AppendUvarint takes for a length.
func lengthSize(length int) int {
	const groupBits = 7
	return (bits.Len(uint(length)|1) + groupBits - 1) / groupBits
}
