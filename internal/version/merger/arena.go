// arena stores the names and packed bodies of all records in large pages,
// without a pointer per record. A text that grows is appended anew, and the
// bytes of its old copy are dead until compactArena reclaims them.

package merger

import (
	"encoding/binary"
	"math/bits"
)

const (
	sharedPageBytes = 64 << 10 // largest page that texts share
	firstPageBytes  = 1 << 10  // size of the first page
	largeTextBytes  = 4 << 10  // a larger text gets a page of its own

	// deadDivisor lets dead bytes reach a quarter of the live bytes, plus
	// sharedPageBytes, before they are reclaimed.
	deadDivisor = 4
)

type arena struct {
	pages      [][]byte
	openPage   int // index of the page to which small texts are appended
	totalBytes int // including dead bytes
	deadBytes  int
}

// recordText is the name and the packed body of a record.
type recordText struct {
	name, body string
}

// textView is a text that shares the memory of its page.
type textView struct {
	name, body []byte
}

// location is where a text starts in the arena.
type location struct {
	page   uint32
	offset uint16
}

func (a *arena) at(from location) textView {
	page := a.pages[from.page][from.offset:]
	nameLength, n := binary.Uvarint(page)
	bodyLength, k := binary.Uvarint(page[n:])
	page = page[n+k:]
	return textView{name: page[:nameLength], body: page[nameLength : nameLength+bodyLength]}
}

func (a *arena) add(text recordText) location {
	size := text.size()
	a.totalBytes += size
	number := a.pageWithRoom(size)
	at := location{page: uint32(number), offset: uint16(len(a.pages[number]))}
	a.pages[number] = text.append(a.pages[number])
	return at
}

// pageWithRoom returns the index of a page with room for a text of the given
// size.
func (a *arena) pageWithRoom(size int) int {
	if size > largeTextBytes {
		a.pages = append(a.pages, make([]byte, 0, size))
		return len(a.pages) - 1
	}
	if a.openPage == len(a.pages) || len(a.pages[a.openPage])+size > cap(a.pages[a.openPage]) {
		a.openPage = len(a.pages)
		a.pages = append(a.pages, make([]byte, 0, a.nextPageSize()))
	}
	return a.openPage
}

// nextPageSize returns the size of the next shared page. Pages grow with the
// stored bytes, so a small store takes little memory.
func (a *arena) nextPageSize() int { return min(max(a.totalBytes, firstPageBytes), sharedPageBytes) }

// replace stores a text in place of another, at the same location if it fits.
func (a *arena) replace(at location, text recordText) location {
	oldSize, size := a.at(at).size(), text.size()
	if size > oldSize {
		a.markDead(at)
		return a.add(text)
	}
	text.append(a.pages[at.page][:at.offset])
	a.deadBytes += oldSize - size
	return at
}

// markDead counts the bytes of a text as dead, and frees the page of a large
// text.
func (a *arena) markDead(at location) {
	size := a.at(at).size()
	a.deadBytes += size
	if size > largeTextBytes {
		a.pages[at.page] = nil
	}
}

// needsCompaction reports whether enough bytes are dead to copy the live texts.
func (a *arena) needsCompaction() bool {
	return a.deadBytes > (a.totalBytes-a.deadBytes)/deadDivisor+sharedPageBytes
}

// size returns the number of bytes that the text takes in a page.
func (t recordText) size() int {
	return lengthSize(len(t.name)) + lengthSize(len(t.body)) + len(t.name) + len(t.body)
}

func (v textView) size() int {
	return lengthSize(len(v.name)) + lengthSize(len(v.body)) + len(v.name) + len(v.body)
}

func (t recordText) append(page []byte) []byte {
	page = binary.AppendUvarint(page, uint64(len(t.name)))
	page = binary.AppendUvarint(page, uint64(len(t.body)))
	page = append(page, t.name...)
	return append(page, t.body...)
}

// lengthSize returns the number of bytes that binary.AppendUvarint uses for a
// length.
func lengthSize(length int) int {
	const groupBits = 7
	return (bits.Len(uint(length)|1) + groupBits - 1) / groupBits
}
