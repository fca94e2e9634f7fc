// A table is an immutable map from names to nodes that is cut into shards, so
// that a changed copy shares all shards but those that differ.

package indexer

import "maps"

// The numbers of shards of tables.
const (
	someShards = 64 // for hosts, services and routes
	oneShard   = 1  // for availability zones
)

// table holds nodes of one type; the methods of Index know which.
type table struct {
	shards []map[string]any
}

func newTable(shards int) table {
	return table{shards: make([]map[string]any, shards)}
}

// get returns the node of a name, or nil.
func (t table) get(name string) any {
	return t.shards[t.shardOf(name)][name]
}

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func (t table) shardOf(name string) int {
	if len(t.shards) == oneShard {
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

// -----------------------------------------------------------------------------

// tableEdit is a copy of a table in the making. It copies a shard when the
// first of its nodes changes.
type tableEdit struct {
	table
	owned []bool
}

func (t table) edit() *tableEdit {
	return &tableEdit{table: t}
}

// set gives a name its node; nil removes the name.
func (e *tableEdit) set(name string, node any) {
	shard := e.own(e.shardOf(name))
	if node == nil {
		delete(shard, name)
		return
	}
	shard[name] = node
}

// node is what a table holds; one that is empty is not kept.
type node interface{ empty() bool }

// store gives a name its node, or removes the name when the node is empty.
func (e *tableEdit) store(name string, n node) {
	if n.empty() {
		e.set(name, nil)
		return
	}
	e.set(name, n)
}

// own returns a shard that may be changed.
func (e *tableEdit) own(number int) map[string]any {
	if e.owned == nil {
		e.shards = append([]map[string]any(nil), e.shards...)
		e.owned = make([]bool, len(e.shards))
	}
	if !e.owned[number] {
		e.shards[number] = maps.Clone(e.shards[number])
		e.owned[number] = true
	}
	if e.shards[number] == nil {
		e.shards[number] = make(map[string]any)
	}
	return e.shards[number]
}
