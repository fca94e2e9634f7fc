// Handover of a part of the keys to the next owner, which continues as if it had
// remembered them from the start.

package deduplicator

import (
	"cmp"
	"container/heap"
	"slices"
)

// State is the part of a memory that is sent to the next owner.
type State struct {
	HorizonMillis     int64        `msgpack:"h"` // keys created before this, in milliseconds since 1970, may have been forgotten
	TenureStartMillis int64        `msgpack:"s"` // Request.TenureStartMillis of the owner that hands over; set by the caller of HandOver
	LastRun           uint64       `msgpack:"r"` // number of the last run; the next owner's runs get higher ones
	Entries           []StateEntry `msgpack:"e,omitempty"`
}

// StateEntry is what is remembered of one key.
type StateEntry struct {
	Customer string  `msgpack:"c"`
	Key      Key     `msgpack:"k"`
	Digest   Digest  `msgpack:"d"`
	Run      uint64  `msgpack:"r"`
	Running  bool    `msgpack:"n,omitempty"`
	Answer   *Answer `msgpack:"a,omitempty"` // nil when it is unknown, not stored, or beyond the limit of HandOver
}

// HandOver removes the keys for which selected is true from the memory and
// returns them. The caller must not decide on these keys any more. Stored answers
// are included up to answerBytes in total, those of the newest keys first.
func (m *Memory) HandOver(selected func(customer string, key Key) bool, answerBytes int) State {
	state := State{HorizonMillis: m.horizon, LastRun: m.lastRun}
	var removed []*entry
	for id, e := range m.entries {
		if selected(id.customer, id.key) {
			removed = append(removed, e)
		}
	}
	slices.SortFunc(removed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.createdMillis(), a.createdMillis()), cmp.Compare(a.id.customer, b.id.customer))
	})
	for _, e := range removed {
		heap.Remove(&m.oldest, e.index)
		m.remove(e)
		item := StateEntry{Customer: e.id.customer, Key: e.id.key, Digest: e.digest, Run: e.run, Running: e.status == statusRunning}
		size := headerBytes(e.answer.Header) + len(e.answer.Body)
		if e.status == statusFinished && size <= answerBytes {
			answerBytes -= size
			item.Answer = &e.answer
		}
		state.Entries = append(state.Entries, item)
	}
	return state
}

// TakeOver adds the keys that another owner handed over, even beyond the limits
// of the memory. Entries of keys that are already known here stay unchanged.
func (m *Memory) TakeOver(state State) {
	m.horizon = max(m.horizon, state.HorizonMillis)
	m.lastRun = max(m.lastRun, state.LastRun)
	for _, item := range state.Entries {
		id := entryID{item.Customer, item.Key}
		if _, known := m.entries[id]; known {
			continue
		}
		m.takeOverEntry(id, item)
	}
}

func (m *Memory) takeOverEntry(id entryID, item StateEntry) {
	e := &entry{id: id, digest: item.Digest, run: item.Run, bytes: entryOverheadBytes + len(item.Customer), status: statusUsed}
	if item.Running {
		e.status = statusRunning
	}
	if item.Answer != nil {
		e.status = statusFinished
		e.answer = *item.Answer
		e.bytes += headerBytes(e.answer.Header) + len(e.answer.Body)
	}
	m.add(e)
}
