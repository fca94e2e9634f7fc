// The memory: what became of each key within the window.

package deduplicator

import (
	"container/heap"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The defaults of Options.
const (
	DefaultWindow    = 2 * time.Minute
	DefaultClockSkew = 5 * time.Second
	DefaultOwnerSkew = 500 * time.Millisecond
	DefaultEntries   = 100_000
	DefaultBytes     = 64 << 20
	DefaultShare     = 0.25
)

const (
	// MostBodyBytes bounds the body of an answer that is kept.
	MostBodyBytes = 4 << 10
	// MostHeaderBytes bounds the header of an answer that is kept.
	MostHeaderBytes = 4 << 10
	// entryBytes is what an entry takes besides its answer.
	entryBytes = 256
	// horizonSpeed is how many times as fast as the monotonic clock the horizon
	// may move, so that one leap of the wall clock does not make every key too
	// old.
	horizonSpeed = 2
)

// Options of a Memory. Zero values stand for the defaults.
type Options struct {
	Window    time.Duration // for which a key is remembered, from its making
	ClockSkew time.Duration // most that a maker's wall clock may be ahead of the owner's
	OwnerSkew time.Duration // bound of the difference between the wall clocks of two owners
	Entries   int           // most keys remembered
	Bytes     int           // most bytes remembered, about
	Share     float64       // most of Entries and Bytes that one customer may hold
}

// Decision says what to do with a request.
type Decision int

// The decisions.
const (
	// DecisionRun lets the request run. Finish or Abandon has to follow.
	DecisionRun Decision = iota
	// DecisionRunning means that a request with the key may still be running.
	DecisionRunning
	// DecisionFinished comes with the kept answer.
	DecisionFinished
	// DecisionUsed means that a request with the key may have run, and that its
	// answer is not known or not kept.
	DecisionUsed
	// DecisionTooOld means that the key was made before what is remembered.
	DecisionTooOld
	// DecisionInvalid means that the key was made in the future.
	DecisionInvalid
	// DecisionMismatch means that the key belongs to a different request of the
	// same customer.
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

// Digest is a hash of all that makes two requests the same: method, path and
// body.
type Digest [32]byte

// Begin is a request with an idempotency key.
type Begin struct {
	WallMillis  int64 // owner's wall clock, in milliseconds since 1970
	TenureSince int64 // owner's wall clock when no earlier owner of the key could run it any more, in milliseconds since 1970
	Customer    string
	Key         Key
	Digest      Digest
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Reply is the answer to a Begin.
type Reply struct {
	Decision Decision
	Run      uint64 // names this run to Finish and Abandon; only with DecisionRun
	Answer   Answer // only with DecisionFinished
}

// Counts are the sums since the start, and the present size.
type Counts struct {
	Decisions [DecisionFull + 1]uint64 // by Decision
	NotKept   uint64                   // answers that were too large to keep
	Entries   int
	Bytes     int
}

// Memory remembers keys.
type Memory struct {
	options Options
	entries map[name]*entry
	oldest  byMaking
	holding map[string]holding
	horizon int64 // keys made before this, in milliseconds since 1970, are too old
	moved   flow.Time
	runs    uint64
	counts  Counts
}

type name struct {
	customer string
	key      Key
}

type state int

const (
	stateRunning state = iota
	stateUsed
	stateFinished
)

type entry struct {
	name   name
	digest Digest
	state  state
	run    uint64
	answer Answer
	bytes  int
	index  int // in the heap
}

// holding is what one customer has in the memory.
type holding struct {
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
	if options.Entries == 0 {
		options.Entries = DefaultEntries
	}
	if options.Bytes == 0 {
		options.Bytes = DefaultBytes
	}
	if options.Share == 0 {
		options.Share = DefaultShare
	}
	return &Memory{options: options, entries: map[name]*entry{}, holding: map[string]holding{}}
}

// -----------------------------------------------------------------------------

// Begin decides whether a request with a key may run.
func (m *Memory) Begin(now flow.Time, begin Begin) Reply {
	m.move(now, begin.WallMillis)
	reply := m.decide(begin)
	m.counts.Decisions[reply.Decision]++
	return reply
}

func (m *Memory) decide(begin Begin) Reply {
	id := name{begin.Customer, begin.Key}
	if e, ok := m.entries[id]; ok {
		return e.reply(begin.Digest)
	}
	made := begin.Key.MadeMillis()
	skew := m.options.ClockSkew.Milliseconds()
	switch {
	case made > begin.WallMillis+skew:
		return Reply{Decision: DecisionInvalid}
	case made < m.horizon || made <= begin.TenureSince+skew+m.options.OwnerSkew.Milliseconds():
		return Reply{Decision: DecisionTooOld}
	case !m.hasRoom(begin.Customer, entryBytes+len(begin.Customer)):
		return Reply{Decision: DecisionFull}
	}
	m.runs++
	m.add(&entry{name: id, digest: begin.Digest, run: m.runs, bytes: entryBytes + len(begin.Customer)})
	return Reply{Decision: DecisionRun, Run: m.runs}
}

func (e *entry) reply(digest Digest) Reply {
	if e.digest != digest {
		return Reply{Decision: DecisionMismatch}
	}
	switch e.state {
	case stateRunning:
		return Reply{Decision: DecisionRunning}
	case stateFinished:
		return Reply{Decision: DecisionFinished, Answer: e.answer}
	}
	return Reply{Decision: DecisionUsed}
}

// Finish takes the end of a run: its answer, or nil when the outcome is unknown.
// The answer must not be changed afterwards; one that is too large is not kept. News of another run than the key's
// last changes nothing.
func (m *Memory) Finish(_ flow.Time, customer string, key Key, run uint64, answer *Answer) {
	e, ok := m.running(customer, key, run)
	if !ok {
		return
	}
	e.state = stateUsed
	if answer == nil {
		return
	}
	size := headerBytes(answer.Header)
	if size > MostHeaderBytes || len(answer.Body) > MostBodyBytes || !m.hasRoomFor(customer, 0, size+len(answer.Body)) {
		m.counts.NotKept++
		return
	}
	e.state = stateFinished
	e.answer = *answer
	m.grow(e, size+len(answer.Body))
}

// Abandon forgets a run that certainly did not take place, so that the caller
// may repeat the request with its key. News of another run than the key's last
// changes nothing.
func (m *Memory) Abandon(_ flow.Time, customer string, key Key, run uint64) {
	e, ok := m.running(customer, key, run)
	if !ok {
		return
	}
	heap.Remove(&m.oldest, e.index)
	m.drop(e)
}

// Counts returns the counts.
func (m *Memory) Counts() Counts {
	counts := m.counts
	counts.Entries = len(m.entries)
	return counts
}

// -----------------------------------------------------------------------------

// running returns the entry of a run that has not ended.
func (m *Memory) running(customer string, key Key, run uint64) (*entry, bool) {
	e, ok := m.entries[name{customer, key}]
	if !ok || e.run != run || e.state != stateRunning {
		return nil, false
	}
	return e, true
}

// move moves the horizon to the start of the window, and forgets what lies
// before it.
func (m *Memory) move(now flow.Time, wallMillis int64) {
	start := wallMillis - m.options.Window.Milliseconds()
	if m.horizon == 0 {
		m.horizon = start
	} else {
		most := m.horizon + horizonSpeed*now.Sub(m.moved).Milliseconds()
		m.horizon = max(m.horizon, min(start, most))
	}
	m.moved = now
	for len(m.oldest) > 0 && m.oldest[0].made() < m.horizon {
		m.drop(heap.Pop(&m.oldest).(*entry))
	}
}

func (e *entry) made() int64 { return e.name.key.MadeMillis() }

func (m *Memory) hasRoom(customer string, size int) bool {
	return m.hasRoomFor(customer, 1, size)
}

// hasRoomFor reports whether the memory and the customer's share of it have
// room for that much more.
func (m *Memory) hasRoomFor(customer string, entries, size int) bool {
	held := m.holding[customer]
	return len(m.entries)+entries <= m.options.Entries &&
		m.counts.Bytes+size <= m.options.Bytes &&
		float64(held.entries+entries) <= m.options.Share*float64(m.options.Entries) &&
		float64(held.bytes+size) <= m.options.Share*float64(m.options.Bytes)
}

func (m *Memory) add(e *entry) {
	m.entries[e.name] = e
	heap.Push(&m.oldest, e)
	size := e.bytes
	e.bytes = 0
	m.grow(e, size)
	held := m.holding[e.name.customer]
	held.entries++
	m.holding[e.name.customer] = held
}

// grow counts more bytes of an entry.
func (m *Memory) grow(e *entry, size int) {
	e.bytes += size
	m.counts.Bytes += size
	held := m.holding[e.name.customer]
	held.bytes += size
	m.holding[e.name.customer] = held
}

// drop forgets an entry that is no longer in the heap.
func (m *Memory) drop(e *entry) {
	delete(m.entries, e.name)
	m.grow(e, -e.bytes)
	held := m.holding[e.name.customer]
	held.entries--
	m.holding[e.name.customer] = held
	if held.entries == 0 {
		delete(m.holding, e.name.customer)
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

// -----------------------------------------------------------------------------

// byMaking is a heap of entries, the key made first on top.
type byMaking []*entry

// Len returns the count of entries.
func (h byMaking) Len() int { return len(h) }

// Less orders by the time of making.
func (h byMaking) Less(i, j int) bool { return h[i].made() < h[j].made() }

// Swap swaps two entries.
func (h byMaking) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends an entry.
func (h *byMaking) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop takes off the last entry.
func (h *byMaking) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
