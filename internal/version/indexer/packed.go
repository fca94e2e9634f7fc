// A packedTable is an immutable table for the kinds of record that there are a
// hundred thousand of. Its rows lie one after the other in the strings of its
// buckets, so that a row takes little more than its own bytes and the garbage
// collector has one pointer to follow for several rows. A changed copy shares
// all buckets but those that differ.

package indexer

import (
	"encoding/binary"
	"hash/maphash"
	"math"
	"math/bits"
	"strings"
)

// The sizes of a packedTable.
const (
	groupCount  = 128 // groups of a table
	bucketCount = 128 // buckets of a group
)

// seed makes the places of rows differ from process to process.
var seed = maphash.MakeSeed()

// packedTable holds rows by key; several rows may have the same key.
type packedTable struct {
	groups *[groupCount]*bucketGroup
}

// bucketGroup holds buckets; the rows of a bucket are sorted by key and name.
type bucketGroup [bucketCount]string

// packedRow is one row. Its strings share the memory of the bucket.
type packedRow struct {
	key  string
	name string // tells rows of one key apart
	rest string
}

// place returns the numbers of the group and the bucket of a key.
func place(key string) (group, bucket uint64) {
	hash := maphash.String(seed, key)
	return hash % groupCount, hash / groupCount % bucketCount
}

// bucket returns the rows of a bucket that holds all rows of a key.
func (t packedTable) bucket(key string) string {
	if t.groups == nil {
		return ""
	}
	group, bucket := place(key)
	held := t.groups[group]
	if held == nil {
		return ""
	}
	return held[bucket]
}

// find returns the first row of a key, and the rows of the bucket after it.
func (t packedTable) find(key string) (row packedRow, rest string, found bool) {
	for rest = t.bucket(key); rest != ""; {
		row, rest = nextRow(rest)
		if row.key == key {
			return row, rest, true
		}
	}
	return packedRow{}, "", false
}

// nextRow returns the first row of a bucket and the bucket behind it. A row is
// the lengths of its three texts and then the texts.
func nextRow(bucket string) (row packedRow, rest string) {
	key, bucket := cutNumber(bucket)
	name, bucket := cutNumber(bucket)
	length, bucket := cutNumber(bucket)
	name += key
	length += name
	return packedRow{key: bucket[:key], name: bucket[key:name], rest: bucket[name:length]}, bucket[length:]
}

func (r packedRow) compare(key, name string) int {
	if order := strings.Compare(r.key, key); order != 0 {
		return order
	}
	return strings.Compare(r.name, name)
}

// -----------------------------------------------------------------------------

// packedEdit is a copy of a packedTable in the making. It copies a group when
// the first of its rows changes.
type packedEdit struct {
	packedTable
	owned *[groupCount]bool // nil while nothing changed
}

func (t packedTable) edit() *packedEdit {
	return &packedEdit{packedTable: t}
}

// set puts a row in place of that with the same key and name.
func (e *packedEdit) set(row packedRow) {
	bucket := e.own(row.key)
	before, after := splitBucket(*bucket, row.key, row.name)
	packed := make([]byte, 0, len(before)+row.size()+len(after))
	packed = append(packed, before...)
	packed = row.append(packed)
	packed = append(packed, after...)
	*bucket = string(packed)
}

// remove takes the row of a key and a name out.
func (e *packedEdit) remove(key, name string) {
	bucket := e.own(key)
	before, after := splitBucket(*bucket, key, name)
	*bucket = before + after
}

// own returns the bucket of a key for changing.
func (e *packedEdit) own(key string) *string {
	group, bucket := place(key)
	if e.owned == nil {
		e.ownGroups()
	}
	if !e.owned[group] {
		e.owned[group] = true
		e.groups[group] = cloneGroup(e.groups[group])
	}
	return &e.groups[group][bucket]
}

func (e *packedEdit) ownGroups() {
	e.owned = new([groupCount]bool)
	groups := new([groupCount]*bucketGroup)
	if e.groups != nil {
		*groups = *e.groups
	}
	e.groups = groups
}

func cloneGroup(group *bucketGroup) *bucketGroup {
	clone := new(bucketGroup)
	if group != nil {
		*clone = *group
	}
	return clone
}

// splitBucket returns the rows that sort before and after a key and a name.
func splitBucket(bucket, key, name string) (before, after string) {
	rest := bucket
	for rest != "" {
		row, tail := nextRow(rest)
		order := row.compare(key, name)
		if order == 0 {
			return bucket[:len(bucket)-len(rest)], tail
		}
		if order > 0 {
			break
		}
		rest = tail
	}
	return bucket[:len(bucket)-len(rest)], rest
}

// -----------------------------------------------------------------------------

// size returns an upper bound of the bytes of a packed row.
func (r packedRow) size() int {
	return 3*binary.MaxVarintLen32 + len(r.key) + len(r.name) + len(r.rest)
}

func (r packedRow) append(packed []byte) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(r.key)))
	packed = binary.AppendUvarint(packed, uint64(len(r.name)))
	packed = binary.AppendUvarint(packed, uint64(len(r.rest)))
	packed = append(packed, r.key...)
	packed = append(packed, r.name...)
	return append(packed, r.rest...)
}

// appendText appends the length of a text and the text.
func appendText(packed []byte, text string) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(text)))
	return append(packed, text...)
}

func cutText(packed string) (text, rest string) {
	length, rest := cutNumber(packed)
	return rest[:length], rest[length:]
}

// cutNumber cuts what binary.AppendUvarint appended.
func cutNumber(packed string) (number uint64, rest string) {
	if packed[0] < 0x80 {
		return uint64(packed[0]), packed[1:]
	}
	return cutLongNumber(packed)
}

func cutLongNumber(packed string) (number uint64, rest string) {
	const groupBits = 7
	for i := 0; ; i++ {
		c := packed[i]
		number |= uint64(c&0x7f) << (groupBits * i)
		if c < 0x80 {
			return number, packed[i+1:]
		}
	}
}

// appendFloat appends a float. The bytes of its bits are reversed, so that a
// number of few digits takes few bytes.
func appendFloat(packed []byte, float float64) []byte {
	return binary.AppendUvarint(packed, bits.ReverseBytes64(math.Float64bits(float)))
}

func cutFloat(packed string) (float float64, rest string) {
	number, rest := cutNumber(packed)
	return math.Float64frombits(bits.ReverseBytes64(number)), rest
}
