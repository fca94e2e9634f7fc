// shardedTable is an immutable map from names to nodes. It is split into shards
// so that a changed copy shares all unchanged shards.

package indexer

import "maps"

// Numbers of shards of a shardedTable.
const (
	manyShards  = 64 // for hosts, services and routes
	singleShard = 1  // for availability zones
)

// shardedTable holds nodes of one type, to which the methods of Index convert them.
type shardedTable struct {
	shards []map[string]any
}

func newTable(shards int) shardedTable {
	return shardedTable{shards: make([]map[string]any, shards)}
}

// get returns the node with the given name, or nil.
func (t shardedTable) get(name string) any {
	return t.shards[t.shardOf(name)][name]
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func (t shardedTable) shardOf(name string) int {
	if len(t.shards) == singleShard {
		return 0
	}
	hash := hashName(fnvOffset, name)
	return int((hash ^ hash>>32) % uint64(len(t.shards)))
}

// hashName adds a name to an FNV-1a hash.
func hashName(hash uint64, name string) uint64 {
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return hash
}

// tableBuilder builds a changed copy of a shardedTable. It copies a shard at
// the first change in it.
type tableBuilder struct {
	shardedTable
	copied []bool
}

func (t shardedTable) builder() *tableBuilder {
	return &tableBuilder{shardedTable: t}
}

// set sets the node of a name. A nil node removes the name.
func (b *tableBuilder) set(name string, node any) {
	shard := b.writableShard(b.shardOf(name))
	if node == nil {
		delete(shard, name)
		return
	}
	shard[name] = node
}

// node is an element of a table. Empty nodes are not stored.
type node interface{ empty() bool }

// store sets the node of a name, or removes the name if the node is empty.
func (b *tableBuilder) store(name string, n node) {
	if n.empty() {
		b.set(name, nil)
		return
	}
	b.set(name, n)
}

// writableShard returns a shard that may be changed.
func (b *tableBuilder) writableShard(number int) map[string]any {
	if b.copied == nil {
		b.shards = append([]map[string]any(nil), b.shards...)
		b.copied = make([]bool, len(b.shards))
	}
	if !b.copied[number] {
		b.shards[number] = maps.Clone(b.shards[number])
		b.copied[number] = true
	}
	if b.shards[number] == nil {
		b.shards[number] = make(map[string]any)
	}
	return b.shards[number]
}
