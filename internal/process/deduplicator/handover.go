// A part of the memory can be handed over to the next owner, which then goes on
// as if it had remembered the keys all along.

package deduplicator

import (
	"cmp"
	"container/heap"
	"slices"
)

// State is a part of the memory on its way from one owner to the next.
type State struct {
	Horizon int64        `msgpack:"h"` // keys made before this may have been forgotten, in milliseconds since 1970
	Since   int64        `msgpack:"s"` // TenureSince of the owner that hands over
	Runs    uint64       `msgpack:"r"` // number of the last run; those of the next owner are higher
	Entries []StateEntry `msgpack:"e,omitempty"`
}

// StateEntry is what is remembered of one key.
type StateEntry struct {
	Customer string  `msgpack:"c"`
	Key      Key     `msgpack:"k"`
	Digest   Digest  `msgpack:"d"`
	Run      uint64  `msgpack:"r"`
	Running  bool    `msgpack:"n,omitempty"`
	Answer   *Answer `msgpack:"a,omitempty"` // nil when it is not known or not kept
}

// Cede takes the keys for which belongs is true out of the memory. Whoever
// cedes must not decide on such a key any more. Of the answers, the newest keys'
// go along up to limit bytes.
func (m *Memory) Cede(belongs func(customer string, key Key) bool, limit int) State {
	state := State{Horizon: m.horizon, Runs: m.runs}
	var ceded []*entry
	for id, e := range m.entries {
		if belongs(id.customer, id.key) {
			ceded = append(ceded, e)
		}
	}
	slices.SortFunc(ceded, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.made(), a.made()), cmp.Compare(a.name.customer, b.name.customer))
	})
	for _, e := range ceded {
		heap.Remove(&m.oldest, e.index)
		m.drop(e)
		item := StateEntry{Customer: e.name.customer, Key: e.name.key, Digest: e.digest, Run: e.run, Running: e.state == stateRunning}
		size := headerBytes(e.answer.Header) + len(e.answer.Body)
		if e.state == stateFinished && size <= limit {
			limit -= size
			item.Answer = &e.answer
		}
		state.Entries = append(state.Entries, item)
	}
	return state
}

// Adopt takes keys over that another owner ceded, whether or not there is room
// for them. A key that is known here already stays as it is.
func (m *Memory) Adopt(state State) {
	m.horizon = max(m.horizon, state.Horizon)
	m.runs = max(m.runs, state.Runs)
	for _, item := range state.Entries {
		id := name{item.Customer, item.Key}
		if _, known := m.entries[id]; known {
			continue
		}
		m.adoptEntry(id, item)
	}
}

func (m *Memory) adoptEntry(id name, item StateEntry) {
	e := &entry{name: id, digest: item.Digest, run: item.Run, bytes: entryBytes + len(item.Customer), state: stateUsed}
	if item.Running {
		e.state = stateRunning
	}
	if item.Answer != nil {
		e.state = stateFinished
		e.answer = *item.Answer
		e.bytes += headerBytes(e.answer.Header) + len(e.answer.Body)
	}
	m.add(e)
}
