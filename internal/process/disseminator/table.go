// Package disseminator spreads load reports of backend servers among the daemons: what
// each daemon says about its own server, and which servers others found out of reach.
//
// A Table holds the newest report of each server with its age. Daemons exchange the
// changes of their tables on the fetches that they send anyway (package follower), so
// that an ingress knows of a suspected, full or silent server before it offers it a
// request. A Table is a state machine without I/O or a clock, and not safe for
// concurrent use; an Exchange is the table of a running daemon.
package disseminator

import (
	"container/list"
	"hash/fnv"
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// silenceAfter is the time without a report from a daemon after which its server counts
	// as silent. A daemon reports at least every 400 ms, or 600 ms while it changes the
	// daemon that it reports to.
	silenceAfter = 1500 * time.Millisecond
	// hintStep is how much newer a hint must be than the known one. A hint that comes back from
	// another daemon seems newer by its time on the way.
	hintStep = 100 * time.Millisecond
	// silenceInterval is the time between two looks for silent servers.
	silenceInterval = 100 * time.Millisecond
	// collectGap is the time between two reports of a daemon up to which it reports to this one
	// alone. While the store is out of order, daemons ask several others in turn.
	collectGap = time.Second
	// pauseGap is the time between two calls of Advance from which the process counts as
	// paused. What it did not hear meanwhile proves nothing.
	pauseGap = 500 * time.Millisecond
	// refreshInterval is the time after which an unchanged report of the same zone is passed
	// on again, so that its receivers know its age.
	refreshInterval = time.Second
	// relayWindow is how long a report that came from its own daemon is passed on in
	// requests, to daemons that did not get it directly.
	relayWindow = time.Second
	// maxReportAge is how long a report is kept.
	maxReportAge = time.Minute
	// orderExpiry is the age from which a report is replaced by one of a lower sequence. The
	// clock of a host that restarts may have gone back.
	orderExpiry = 5 * time.Second
	// maxEntries limits the servers in a table.
	maxEntries = 30_000
	// bytesPerSecond limits what a daemon passes on to all that ask it. It leaves a quarter
	// of the 26 KB/s that a daemon may send for control to everything else.
	bytesPerSecond = 20_000
	// bytesPerReport is the usual size of an encoded report.
	bytesPerReport = 24
	// readerWindow is how long a daemon that asked for changes counts as reader of the table.
	readerWindow = time.Second
	// burst is the time for which unused bytes may be saved up.
	burst = time.Second
	// significantWait and significantGray are the changes that are worth passing on.
	significantWait = 100 * time.Millisecond
	significantGray = 0.1
)

// Key identifies a backend server in 48 bits, which is shorter than its id.
type Key uint64

// KeyOf returns the key of a server id.
func KeyOf(server string) Key {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(server))
	return Key(hash.Sum64() >> 16)
}

// Report is what is known of one backend server. At least one of HasLoad and Unreached is
// set.
type Report struct {
	Server   Key
	Own      bool // its sender is the daemon beside the server
	HasLoad  bool
	Sequence uint64 // orders the reports of one server
	Age      time.Duration
	Load     flow.ServerLoad
	Silent   bool // no newer report has reached the daemon that collects those of the server's zone
	// Unreached is set if a daemon of this zone could not reach the server's daemon.
	Unreached    bool
	UnreachedAge time.Duration
}

// Origin says from where a report came.
type Origin int

// The origins of reports.
const (
	OriginSelf   Origin = iota // this daemon
	OriginServer               // the daemon beside the server, in the same zone
	OriginZone                 // another daemon of the same zone
	OriginRemote               // a daemon of another zone
)

// entry is the state of one server.
type entry struct {
	key         Key
	hasLoad     bool
	sequence    uint64
	measuredAt  flow.Time // not earlier than the load was measured; see measuredAt
	load        flow.ServerLoad
	silent      bool
	remote      bool          // the server is known from other zones only
	directAt    flow.Time     // newest report from the server's own daemon
	directGap   time.Duration // between the two newest of them
	unreachedAt flow.Time
	noted       bool // this daemon itself found it out of reach
	version     uint64
	told        told // what was passed on last
	pending     bool // waits to be passed on
	element     *list.Element

	remoteVersion uint64 // version at which it last mattered to other zones
	toldRemote    told   // what was passed on to them last
}

// Table holds the newest report of each server.
type Table struct {
	entries    map[Key]*entry
	order      *list.List // of entries by version, the newest last
	pending    *list.List // of entries that wait for bytes to be passed on
	version    uint64     // of the newest change
	urgent     uint64     // version of the newest change that is passed on at once
	readers    map[string]flow.Time
	tokens     float64 // reports that may be passed on to each reader
	advancedAt flow.Time
	resumedAt  flow.Time // from here on the daemon has listened without a pause
	checkedAt  flow.Time // for silent servers
	sweptAt    flow.Time
	local      int // servers of the same zone that are not silent
}

// New returns an empty table.
func New(now flow.Time) *Table {
	return &Table{
		entries: map[Key]*entry{}, order: list.New(), pending: list.New(), readers: map[string]flow.Time{},
		advancedAt: now, resumedAt: now, checkedAt: now, sweptAt: now,
	}
}

// Version returns the version of the newest change.
func (t *Table) Version() uint64 { return t.version }

// Urgent returns the version of the newest change that should be passed on at once: a
// suspicion or a silence began or ended.
func (t *Table) Urgent() uint64 { return t.urgent }

// Local returns the number of servers of the same zone that are not silent.
func (t *Table) Local() int { return t.local }

// Merge takes a report into the table if it is newer than what the table has.
func (t *Table) Merge(now flow.Time, r Report, origin Origin) {
	e, ok := t.entries[r.Server]
	if !ok {
		if len(t.entries) >= maxEntries {
			return
		}
		e = &entry{key: r.Server, remote: origin == OriginRemote, directAt: flow.Never, unreachedAt: flow.Never, measuredAt: flow.Never}
		// A server of which nothing was passed on counts as usable.
		e.told = told{load: flow.ServerLoad{FreeSlots: 1, GrayProbability: estimator.Prior}, at: flow.Never}
		e.toldRemote = e.told
		t.entries[r.Server] = e
	}
	if origin == OriginServer || origin == OriginSelf && r.HasLoad {
		e.directGap, e.directAt, e.remote = now.Sub(e.directAt), now, false
	}
	if origin == OriginZone && !r.Silent {
		e.remote = e.remote && r.HasLoad && e.hasLoad && r.Sequence <= e.sequence
	}
	urgent := t.mergeLoad(now, e, r)
	if at := now.Add(-r.UnreachedAge); r.Unreached && origin != OriginRemote && at.Sub(e.unreachedAt) > hintStep {
		// A hint is passed on again only once it has become old, and with the next answers:
		// during a partition there are many.
		if at.Sub(e.unreachedAt) > silenceAfter && !urgent {
			t.tokens--
			t.passOn(now, e)
		}
		e.unreachedAt, e.noted = at, origin == OriginSelf
	}
	switch {
	case urgent:
		t.tokens--
		t.passOn(now, e)
		t.urgent = t.version
	case !e.pending && t.significant(now, e):
		e.pending = true
		t.pending.PushBack(e)
	}
}

// mergeLoad takes the load of a report, and reports whether a suspicion or a silence began
// or ended.
func (t *Table) mergeLoad(now flow.Time, e *entry, r Report) (urgent bool) {
	if !r.HasLoad {
		return false
	}
	if e.hasLoad && r.Sequence <= e.sequence && now.Sub(e.measuredAt) < orderExpiry {
		begins := r.Sequence == e.sequence && r.Silent && !e.silent
		e.silent = e.silent || begins
		return begins
	}
	suspected := e.hasLoad && e.suspected(now)
	wasSilent := e.silent
	e.measuredAt = measuredAt(now, e, r)
	e.hasLoad, e.sequence, e.load, e.silent = true, r.Sequence, r.Load, r.Silent
	return e.suspected(now) != suspected || e.silent != wasSilent
}

// measuredAt returns an upper bound of the time of a report on the clock of this process.
// The report may have been on its way for long, in a connection that had stalled; the time
// between two reports of one daemon on its own clock shows that. A thousandth and more is
// added for clocks of different speed.
func measuredAt(now flow.Time, e *entry, r Report) flow.Time {
	at := now.Add(-r.Age)
	if !e.hasLoad || r.Sequence <= e.sequence || r.Sequence-e.sequence > uint64(maxReportAge/time.Millisecond) {
		return at
	}
	passed := flow.Time(r.Sequence - e.sequence)
	return min(at, e.measuredAt+passed+passed/512+1)
}

func (e *entry) suspected(now flow.Time) bool { return suspected(e.load, now.Sub(e.measuredAt)) }

func suspected(load flow.ServerLoad, age time.Duration) bool {
	return estimator.DecayToPrior(load.GrayProbability, age) > estimator.SuspectThreshold
}

// told is what was passed on of a server, and when.
type told struct {
	load   flow.ServerLoad
	silent bool
	at     flow.Time
}

// differs reports whether receivers of what was told expect something else of a server than
// they should: whether it is silent, suspected or full, or how much so.
func (e *entry) differs(now flow.Time, t told) bool {
	full, toldFull := e.load.FreeSlots <= 0, t.load.FreeSlots <= 0
	isSuspected, toldSuspected := e.suspected(now), suspected(t.load, now.Sub(t.at))
	if e.silent != t.silent || full != toldFull || isSuspected != toldSuspected {
		return true
	}
	gray := estimator.DecayToPrior(t.load.GrayProbability, now.Sub(t.at))
	if isSuspected && (math.Abs(gray-e.load.GrayProbability) > significantGray || (e.load.TrialIn > 0) != (t.load.TrialIn > 0)) {
		return true
	}
	wait := e.load.QueueWait - t.load.QueueWait
	return full && max(wait, -wait) > max(significantWait, t.load.QueueWait/2)
}

// significant reports whether the load of a server is worth passing on.
func (t *Table) significant(now flow.Time, e *entry) bool {
	switch {
	case !e.hasLoad:
		return false
	case e.differs(now, e.told):
		return true
	case e.remote:
		return false // of other zones only what differs from a usable server matters
	}
	free := e.load.FreeSlots - e.told.load.FreeSlots
	return max(free, -free) > 1 || e.load.AdmitRank != e.told.load.AdmitRank || now.Sub(e.told.at) >= refreshInterval
}

// passOn gives an entry a new version, so that it is part of the next answers.
func (t *Table) passOn(now flow.Time, e *entry) {
	t.version++
	e.version, e.told = t.version, told{e.load, e.silent, now}
	if e.hasLoad && e.differs(now, e.toldRemote) {
		e.remoteVersion, e.toldRemote = t.version, e.told
	}
	if e.element == nil {
		e.element = t.order.PushBack(e)
		return
	}
	t.order.MoveToBack(e.element)
}

// CountReader counts a daemon that asks for changes. The bytes that may be passed on are
// divided among all readers.
func (t *Table) CountReader(now flow.Time, reader string) { t.readers[reader] = now }

// Advance passes on what was waiting, finds silent servers and forgets old reports. It must
// be called more often than pauseGap.
func (t *Table) Advance(now flow.Time) {
	passed := now.Sub(t.advancedAt)
	t.advancedAt = now
	if passed > pauseGap {
		t.resumedAt = now
	}
	perSecond := float64(bytesPerSecond) / bytesPerReport / float64(max(len(t.readers), 1))
	saved := max(perSecond*burst.Seconds(), 1)
	t.tokens = min(max(t.tokens, -saved)+perSecond*passed.Seconds(), saved)
	for t.tokens >= 1 && t.pending.Len() > 0 {
		e := t.pending.Remove(t.pending.Front()).(*entry)
		e.pending = false
		if t.entries[e.key] == e && t.significant(now, e) {
			t.tokens--
			t.passOn(now, e)
		}
	}
	if now.Sub(t.checkedAt) >= silenceInterval {
		t.checkedAt = now
		t.findSilent(now)
	}
	if now.Sub(t.sweptAt) >= time.Second {
		t.sweptAt = now
		t.sweep(now)
	}
}

// findSilent marks the servers whose own daemon reported to this one and has stopped.
func (t *Table) findSilent(now flow.Time) {
	t.local = 0
	for _, e := range t.entries {
		if e.remote || !e.hasLoad || e.silent {
			continue
		}
		t.local++
		if e.directAt == flow.Never || e.directGap > collectGap || now.Sub(e.measuredAt) <= silenceAfter || now.Sub(max(e.directAt, t.resumedAt)) <= silenceAfter {
			continue
		}
		e.silent = true
		t.tokens--
		t.passOn(now, e)
		t.urgent = t.version
	}
}

func (t *Table) sweep(now flow.Time) {
	for key, e := range t.entries {
		if now.Sub(max(e.measuredAt, e.unreachedAt)) > maxReportAge {
			delete(t.entries, key)
			if e.element != nil {
				t.order.Remove(e.element)
			}
		}
	}
	for reader, at := range t.readers {
		if now.Sub(at) > readerWindow {
			delete(t.readers, reader)
		}
	}
}

// Audience says to whom changes are passed on.
type Audience int

// The audiences of changes.
const (
	AudienceZone   Audience = iota // a daemon of the same zone that asks: everything
	AudienceRemote                 // a daemon of another zone: what matters there of the servers of this zone
	AudienceSource                 // the daemon that this one asks: what came from here
)

// Changes returns the reports that changed after a version, at most limit, the oldest
// changes first, and the version up to which they are complete.
func (t *Table) Changes(now flow.Time, after uint64, audience Audience, limit int) ([]Report, uint64) {
	if after > t.version {
		after = 0
	}
	first := t.order.Back()
	for first != nil && first.Value.(*entry).version > after {
		first = first.Prev()
	}
	if first == nil {
		first = t.order.Front()
	} else {
		first = first.Next()
	}
	since := after
	var reports []Report
	for element := first; element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if !e.isFor(now, since, audience) {
			continue
		}
		if len(reports) == limit {
			return reports, after
		}
		reports, after = append(reports, e.report(now, audience)), e.version
	}
	return reports, t.version
}

func (e *entry) isFor(now flow.Time, after uint64, audience Audience) bool {
	switch audience {
	case AudienceRemote:
		return !e.remote && e.remoteVersion > after
	case AudienceSource:
		return now.Sub(e.directAt) <= relayWindow || e.noted && now.Sub(e.unreachedAt) <= relayWindow
	case AudienceZone:
	}
	return true
}

// report returns the report of an entry. Reachability depends on the path, so that hints
// stay in their zone.
func (e *entry) report(now flow.Time, audience Audience) Report {
	r := Report{Server: e.key, HasLoad: e.hasLoad, Sequence: e.sequence, Load: e.load, Silent: e.silent}
	if e.hasLoad {
		r.Age = max(now.Sub(e.measuredAt), 0)
	}
	if unreached := now.Sub(e.unreachedAt); audience != AudienceRemote && unreached <= maxReportAge {
		r.Unreached, r.UnreachedAge = true, max(unreached, 0)
	}
	return r
}

// Get returns what is known of a server.
func (t *Table) Get(now flow.Time, server Key) (Report, bool) {
	e, ok := t.entries[server]
	if !ok {
		return Report{}, false
	}
	return e.report(now, AudienceZone), true
}
