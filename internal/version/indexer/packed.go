// packedTable is an immutable table for kinds with about a hundred thousand
// records. The rows of a bucket are stored in one string, so a row takes little
// more than its own bytes and the garbage collector follows one pointer for
// several rows. A changed copy shares all unchanged buckets.

package indexer

import (
	"encoding/binary"
	"hash/maphash"
	"math"
	"math/bits"
	"strings"
)

// Dimensions of a packedTable.
const (
	groupCount  = 128 // groups of a table
	bucketCount = 128 // buckets of a group
)

// hashSeed makes the buckets of the rows differ between processes.
var hashSeed = maphash.MakeSeed()

// packedTable stores rows by key. Several rows may have the same key.
type packedTable struct {
	groups *[groupCount]*bucketGroup
}

// bucketGroup is an array of buckets. The rows of a bucket are sorted by key
// and name.
type bucketGroup [bucketCount]string

// packedRow is one row. Its strings share the memory of the bucket.
type packedRow struct {
	key   string
	name  string // distinguishes rows with the same key
	value string
}

// bucketOf returns the indexes of a key's group and of its bucket in the group.
func bucketOf(key string) (group, bucket uint64) {
	hash := maphash.String(hashSeed, key)
	return hash % groupCount, hash / groupCount % bucketCount
}

// bucket returns the bucket that holds all rows with the given key.
func (t packedTable) bucket(key string) string {
	if t.groups == nil {
		return ""
	}
	group, bucket := bucketOf(key)
	buckets := t.groups[group]
	if buckets == nil {
		return ""
	}
	return buckets[bucket]
}

// find returns the first row with the given key, and the rows of the bucket
// after it.
func (t packedTable) find(key string) (row packedRow, rest string, found bool) {
	for rest = t.bucket(key); rest != ""; {
		row, rest = nextRow(rest)
		if row.key == key {
			return row, rest, true
		}
	}
	return packedRow{}, "", false
}

// nextRow returns the first row of a bucket and the bucket after it. A row is
// encoded as the lengths of its three strings, followed by the strings.
func nextRow(bucket string) (row packedRow, rest string) {
	key, bucket := readUvarint(bucket)
	name, bucket := readUvarint(bucket)
	length, bucket := readUvarint(bucket)
	name += key
	length += name
	return packedRow{key: bucket[:key], name: bucket[key:name], value: bucket[name:length]}, bucket[length:]
}

func (r packedRow) compare(key, name string) int {
	if order := strings.Compare(r.key, key); order != 0 {
		return order
	}
	return strings.Compare(r.name, name)
}

// packedTableBuilder builds a changed copy of a packedTable. It copies a group
// at the first change in it.
type packedTableBuilder struct {
	packedTable
	copied *[groupCount]bool // nil before the first change
}

func (t packedTable) builder() *packedTableBuilder {
	return &packedTableBuilder{packedTable: t}
}

// set adds a row, or replaces the one with the same key and name.
func (b *packedTableBuilder) set(row packedRow) {
	bucket := b.writableBucket(row.key)
	before, after := splitBucket(*bucket, row.key, row.name)
	packed := make([]byte, 0, len(before)+row.size()+len(after))
	packed = append(packed, before...)
	packed = row.append(packed)
	packed = append(packed, after...)
	*bucket = string(packed)
}

// remove removes the row with the given key and name.
func (b *packedTableBuilder) remove(key, name string) {
	bucket := b.writableBucket(key)
	before, after := splitBucket(*bucket, key, name)
	*bucket = before + after
}

// writableBucket returns the bucket of a key in a group that may be changed.
func (b *packedTableBuilder) writableBucket(key string) *string {
	group, bucket := bucketOf(key)
	if b.copied == nil {
		b.copyGroups()
	}
	if !b.copied[group] {
		b.copied[group] = true
		b.groups[group] = cloneGroup(b.groups[group])
	}
	return &b.groups[group][bucket]
}

func (b *packedTableBuilder) copyGroups() {
	b.copied = new([groupCount]bool)
	groups := new([groupCount]*bucketGroup)
	if b.groups != nil {
		*groups = *b.groups
	}
	b.groups = groups
}

func cloneGroup(group *bucketGroup) *bucketGroup {
	clone := new(bucketGroup)
	if group != nil {
		*clone = *group
	}
	return clone
}

// splitBucket returns the rows that sort before and after a key and name.
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

// size returns an upper bound of the encoded size of the row, in bytes.
func (r packedRow) size() int {
	return 3*binary.MaxVarintLen32 + len(r.key) + len(r.name) + len(r.value)
}

func (r packedRow) append(packed []byte) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(r.key)))
	packed = binary.AppendUvarint(packed, uint64(len(r.name)))
	packed = binary.AppendUvarint(packed, uint64(len(r.value)))
	packed = append(packed, r.key...)
	packed = append(packed, r.name...)
	return append(packed, r.value...)
}

// appendString appends a string, preceded by its length.
func appendString(packed []byte, value string) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(value)))
	return append(packed, value...)
}

func readString(packed string) (value, rest string) {
	length, rest := readUvarint(packed)
	return rest[:length], rest[length:]
}

// readUvarint decodes what binary.AppendUvarint appended.
func readUvarint(packed string) (value uint64, rest string) {
	if packed[0] < 0x80 {
		return uint64(packed[0]), packed[1:]
	}
	return readLongUvarint(packed)
}

func readLongUvarint(packed string) (value uint64, rest string) {
	const groupBits = 7
	for i := 0; ; i++ {
		c := packed[i]
		value |= uint64(c&0x7f) << (groupBits * i)
		if c < 0x80 {
			return value, packed[i+1:]
		}
	}
}

// appendFloat appends a float. It reverses the bytes of the float's bits, so
// that a number with few digits takes few bytes.
func appendFloat(packed []byte, value float64) []byte {
	return binary.AppendUvarint(packed, bits.ReverseBytes64(math.Float64bits(value)))
}

func readFloat(packed string) (value float64, rest string) {
	reversed, rest := readUvarint(packed)
	return math.Float64frombits(bits.ReverseBytes64(reversed)), rest
}
