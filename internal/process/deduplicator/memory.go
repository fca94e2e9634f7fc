// The memory of the keys within the window, and the decisions on requests.

package deduplicator

import (
	"container/heap"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The defaults of Options.
const (
	DefaultWindow           = 2 * time.Minute
	DefaultClockSkew        = 5 * time.Second
	DefaultOwnerSkew        = 500 * time.Millisecond
	DefaultMaxEntries       = 100_000
	DefaultMaxBytes         = 64 << 20
	DefaultMaxCustomerShare = 0.25
)

const (
	// MaxBodyBytes bounds the body of a stored answer.
	MaxBodyBytes = 4 << 10
	// MaxHeaderBytes bounds the header of a stored answer.
	MaxHeaderBytes = 4 << 10
	// entryOverheadBytes is the approximate size of an entry without the
	// customer's name and the answer.
	entryOverheadBytes = 256
	// maxHorizonSpeed bounds the speed of the horizon relative to the monotonic
	// clock, so that one jump of the wall clock does not make every key too old.
	maxHorizonSpeed = 2
)

// Options configure a Memory. Zero values select the defaults.
type Options struct {
	Window           time.Duration // for which a key is remembered after its creation
	ClockSkew        time.Duration // how far a caller's wall clock may be ahead of the owner's
	OwnerSkew        time.Duration // bound of the difference between the wall clocks of two owners
	MaxEntries       int           // keys that are remembered at most
	MaxBytes         int           // approximate size at most
	MaxCustomerShare float64       // fraction of MaxEntries and MaxBytes that one customer may use
}

// Decision is what to do with a request.
type Decision int

// The decisions.
const (
	// DecisionRun lets the request run. Finish or Abandon must follow.
	DecisionRun Decision = iota
	// DecisionRunning means that a request with the key may still be running.
	DecisionRunning
	// DecisionFinished means that a request with the key has finished. The reply
	// carries its answer.
	DecisionFinished
	// DecisionUsed means that a request with the key may have run, and that its
	// answer is unknown or not stored.
	DecisionUsed
	// DecisionTooOld means that the key was created before the horizon or the
	// start of the tenure, so that an earlier run may have been forgotten.
	DecisionTooOld
	// DecisionInvalid means that the key was created further in the future than
	// the clock skew allows.
	DecisionInvalid
	// DecisionMismatch means that the customer used the key for a different
	// request.
	DecisionMismatch
	// DecisionFull means that the memory, or the customer's share of it, is
	// full. The request was not run.
	DecisionFull
)

// String returns the name of the decision in kebab case.
func (d Decision) String() string {
	names := [...]string{"run", "running", "finished", "used", "too-old", "invalid", "mismatch", "full"}
	if d < 0 || int(d) >= len(names) {
		return "unknown"
	}
	return names[d]
}

// Digest is a hash of the method, path and body of a request. Requests with the
// same digest count as the same request.
type Digest [32]byte

// Request asks whether a request with an idempotency key may run. Times are on
// the owner's wall clock, in milliseconds since 1970.
type Request struct {
	WallMillis        int64 // now
	TenureStartMillis int64 // from when on no earlier owner of the key could run it
	Customer          string
	Key               Key
	Digest            Digest
}

// Answer is the complete response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Reply is the decision on a Request.
type Reply struct {
	Decision Decision
	Run      uint64 // identifies this run to Finish and Abandon; only with DecisionRun
	Answer   Answer // only with DecisionFinished
}

// Counts are the totals since the start, and the current size.
type Counts struct {
	Decisions [DecisionFull + 1]uint64 // by Decision
	NotStored uint64                   // answers that were too large, or for which there was no room
	Entries   int
	Bytes     int // approximate
}

// Memory remembers the keys within the window.
type Memory struct {
	options        Options
	entries        map[entryID]*entry
	oldest         creationHeap
	usage          map[string]customerUsage
	horizon        int64 // keys created before this, in milliseconds since 1970, are too old
	horizonMovedAt flow.Time
	lastRun        uint64
	counts         Counts
}

type entryID struct {
	customer string
	key      Key
}

type entryStatus int

const (
	statusRunning  entryStatus = iota
	statusUsed                 // may have run, without a stored answer
	statusFinished             // has run, with a stored answer
)

type entry struct {
	id     entryID
	digest Digest
	status entryStatus
	run    uint64
	answer Answer
	bytes  int
	index  int // in the heap
}

// customerUsage is what one customer uses of the memory.
type customerUsage struct {
	entries, bytes int
}

// New returns an empty memory.
func New(options Options) *Memory {
	if options.Window == 0 {
		options.Window = DefaultWindow
	}
	if options.ClockSkew == 0 {
		options.ClockSkew = DefaultClockSkew
	}
	if options.OwnerSkew == 0 {
		options.OwnerSkew = DefaultOwnerSkew
	}
	if options.MaxEntries == 0 {
		options.MaxEntries = DefaultMaxEntries
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.MaxCustomerShare == 0 {
		options.MaxCustomerShare = DefaultMaxCustomerShare
	}
	return &Memory{options: options, entries: map[entryID]*entry{}, usage: map[string]customerUsage{}}
}

// Begin decides whether a request with a key may run.
func (m *Memory) Begin(now flow.Time, request Request) Reply {
	m.advanceHorizon(now, request.WallMillis)
	reply := m.decide(request)
	m.counts.Decisions[reply.Decision]++
	return reply
}

func (m *Memory) decide(request Request) Reply {
	id := entryID{request.Customer, request.Key}
	if e, ok := m.entries[id]; ok {
		return e.reply(request.Digest)
	}
	created := request.Key.CreatedMillis()
	skew := m.options.ClockSkew.Milliseconds()
	switch {
	case created > request.WallMillis+skew:
		return Reply{Decision: DecisionInvalid}
	case created < m.horizon || created <= request.TenureStartMillis+skew+m.options.OwnerSkew.Milliseconds():
		return Reply{Decision: DecisionTooOld}
	case !m.hasRoomForEntry(request.Customer, entryOverheadBytes+len(request.Customer)):
		return Reply{Decision: DecisionFull}
	}
	m.lastRun++
	m.add(&entry{id: id, digest: request.Digest, run: m.lastRun, bytes: entryOverheadBytes + len(request.Customer)})
	return Reply{Decision: DecisionRun, Run: m.lastRun}
}

func (e *entry) reply(digest Digest) Reply {
	if e.digest != digest {
		return Reply{Decision: DecisionMismatch}
	}
	switch e.status {
	case statusRunning:
		return Reply{Decision: DecisionRunning}
	case statusFinished:
		return Reply{Decision: DecisionFinished, Answer: e.answer}
	}
	return Reply{Decision: DecisionUsed}
}

// Finish records the end of a run with its answer, or nil when the outcome is
// unknown. The answer must not be changed afterwards. One that is too large, or
// for which there is no room, is not stored. A call for any run but the key's
// last has no effect.
func (m *Memory) Finish(_ flow.Time, customer string, key Key, run uint64, answer *Answer) {
	e, ok := m.findRunning(customer, key, run)
	if !ok {
		return
	}
	e.status = statusUsed
	if answer == nil {
		return
	}
	size := headerBytes(answer.Header)
	if size > MaxHeaderBytes || len(answer.Body) > MaxBodyBytes || !m.hasRoom(customer, 0, size+len(answer.Body)) {
		m.counts.NotStored++
		return
	}
	e.status = statusFinished
	e.answer = *answer
	m.grow(e, size+len(answer.Body))
}

// Abandon forgets a run that certainly did not take place, so that the caller
// may repeat the request with its key. A call for any run but the key's last has
// no effect.
func (m *Memory) Abandon(_ flow.Time, customer string, key Key, run uint64) {
	e, ok := m.findRunning(customer, key, run)
	if !ok {
		return
	}
	heap.Remove(&m.oldest, e.index)
	m.remove(e)
}

// Counts returns the current counts.
func (m *Memory) Counts() Counts {
	counts := m.counts
	counts.Entries = len(m.entries)
	return counts
}

// findRunning returns the entry of a run that has not ended.
func (m *Memory) findRunning(customer string, key Key, run uint64) (*entry, bool) {
	e, ok := m.entries[entryID{customer, key}]
	if !ok || e.run != run || e.status != statusRunning {
		return nil, false
	}
	return e, true
}

// advanceHorizon moves the horizon towards the start of the window, and forgets
// the keys created before it.
func (m *Memory) advanceHorizon(now flow.Time, wallMillis int64) {
	start := wallMillis - m.options.Window.Milliseconds()
	if m.horizon == 0 {
		m.horizon = start
	} else {
		limit := m.horizon + maxHorizonSpeed*now.Sub(m.horizonMovedAt).Milliseconds()
		m.horizon = max(m.horizon, min(start, limit))
	}
	m.horizonMovedAt = now
	for len(m.oldest) > 0 && m.oldest[0].createdMillis() < m.horizon {
		m.remove(heap.Pop(&m.oldest).(*entry))
	}
}

func (e *entry) createdMillis() int64 { return e.id.key.CreatedMillis() }

func (m *Memory) hasRoomForEntry(customer string, size int) bool {
	return m.hasRoom(customer, 1, size)
}

// hasRoom reports whether the memory, and the customer's share of it, have room
// for so many more entries and bytes.
func (m *Memory) hasRoom(customer string, entries, size int) bool {
	used := m.usage[customer]
	return len(m.entries)+entries <= m.options.MaxEntries &&
		m.counts.Bytes+size <= m.options.MaxBytes &&
		float64(used.entries+entries) <= m.options.MaxCustomerShare*float64(m.options.MaxEntries) &&
		float64(used.bytes+size) <= m.options.MaxCustomerShare*float64(m.options.MaxBytes)
}

func (m *Memory) add(e *entry) {
	m.entries[e.id] = e
	heap.Push(&m.oldest, e)
	size := e.bytes
	e.bytes = 0
	m.grow(e, size)
	used := m.usage[e.id.customer]
	used.entries++
	m.usage[e.id.customer] = used
}

// grow adds to the size of an entry, and to the totals.
func (m *Memory) grow(e *entry, size int) {
	e.bytes += size
	m.counts.Bytes += size
	used := m.usage[e.id.customer]
	used.bytes += size
	m.usage[e.id.customer] = used
}

// remove removes an entry that is no longer in the heap.
func (m *Memory) remove(e *entry) {
	delete(m.entries, e.id)
	m.grow(e, -e.bytes)
	used := m.usage[e.id.customer]
	used.entries--
	m.usage[e.id.customer] = used
	if used.entries == 0 {
		delete(m.usage, e.id.customer)
	}
}

func headerBytes(header http.Header) int {
	size := 0
	for field, values := range header {
		for _, value := range values {
			size += len(field) + len(value)
		}
	}
	return size
}

// creationHeap is a heap of entries with the key that was created first on top.
type creationHeap []*entry

// Len returns the number of entries.
func (h creationHeap) Len() int { return len(h) }

// Less orders by creation time.
func (h creationHeap) Less(i, j int) bool { return h[i].createdMillis() < h[j].createdMillis() }

// Swap swaps two entries.
func (h creationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends an entry.
func (h *creationHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry.
func (h *creationHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
