// Package scheduler decides at a backend server who runs, who waits and who is
// refused.
//
// The server runs as many requests at once as it has slots. The more urgent go
// first; among these the calls of other running requests, since a slot elsewhere
// waits for them; then the more urgent routes, the customer with the least in
// service, and the one that has waited longest. A request that would be answered too late is
// refused at once, and one that has become late in the queue is taken out.
//
// It is a state machine: no input, output or clock. It is not safe for use by
// many goroutines.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// durationWeight is the weight of a new duration in a route's mean.
	durationWeight = 0.1
	// firstDuration stands for the mean of a route before its first answer.
	firstDuration = 300 * time.Millisecond
	// lateShare is how much of the time between target and deadline a request may
	// be expected to use up when it is taken into the queue.
	lateShare = 0.15
	// finishMargin is the time that must be left after a request's expected end.
	finishMargin = 30 * time.Millisecond
	// loadMemory is the time constant with which the work that was taken in is
	// forgotten.
	loadMemory = 2 * time.Second
	// leastLeft is the least share of the slots that is taken to be left for what
	// is less urgent.
	leastLeft = 0.1
	// coldBurst is the number of requests that a cold server gets at once.
	coldBurst = 4
	// mostQueued bounds the queue.
	mostQueued = 256
)

// Entry is a request that asks to run.
type Entry struct {
	ID       uint64
	Route    string
	Customer string
	Call     bool      // made by a running request
	IsRetry  bool      // it has reached a server before
	Priority int       // of the customer, or of the route; 0 is the most urgent
	Urgency  int       // of the route, among requests of one priority; 0 is the most urgent
	Target   flow.Time // when its answer stops earning its full credit
	Deadline flow.Time
	MayWait  bool // otherwise it is refused unless a slot is free
}

// Decision is what becomes of an entry.
type Decision int

// The decisions.
const (
	// DecisionStarted means that the entry has a slot.
	DecisionStarted Decision = iota
	// DecisionQueued means that it is in the queue.
	DecisionQueued
	// DecisionBusy means that no slot is free and it may not wait.
	DecisionBusy
	// DecisionTooLate means that it would be answered too late.
	DecisionTooLate
)

// Scheduler schedules one backend server.
type Scheduler struct {
	slots     int
	running   map[uint64]running
	inService map[string]int // by customer
	queue     []Entry
	durations map[string]time.Duration // mean by route
	loads     map[rank]*load           // work that was taken in lately

	coldUntil flow.Time
	coldRate  float64 // requests a second while cold
	tokens    float64
	tokensAt  flow.Time
}

type running struct {
	entry   Entry
	started flow.Time
}

// New returns a Scheduler of a server with a number of slots.
func New(slots int) *Scheduler {
	return &Scheduler{
		slots:     max(slots, 1),
		running:   map[uint64]running{},
		inService: map[string]int{},
		durations: map[string]time.Duration{},
		loads:     map[rank]*load{},
		coldUntil: flow.Never,
	}
}

// SetSlots changes the number of slots.
func (s *Scheduler) SetSlots(slots int) { s.slots = max(slots, 1) }

// SetCold says until when the server is cold, and what it bears until then.
func (s *Scheduler) SetCold(now, until flow.Time, perSecond float64) {
	if until.After(s.coldUntil) && !s.cold(now) {
		s.tokens, s.tokensAt = 1, now
	}
	s.coldUntil, s.coldRate = max(until, s.coldUntil), perSecond
}

func (s *Scheduler) cold(now flow.Time) bool { return s.coldRate > 0 && now.Before(s.coldUntil) }

// Offer decides about a new entry.
func (s *Scheduler) Offer(now flow.Time, entry Entry) Decision {
	if !entry.Deadline.After(now) {
		return DecisionTooLate
	}
	if len(s.queue) == 0 && s.free() > 0 && s.takeToken(now) {
		s.take(now, entry)
		s.start(now, entry)
		return DecisionStarted
	}
	if !entry.MayWait {
		return DecisionBusy
	}
	if s.hopeless(now, entry) || len(s.queue) >= mostQueued {
		return DecisionTooLate
	}
	s.take(now, entry)
	s.queue = append(s.queue, entry)
	return DecisionQueued
}

// rank is what the order of entries depends on first.
type rank struct {
	priority int
	call     bool
	urgency  int
}

func (e Entry) rank() rank { return rank{priority: e.Priority, call: e.Call, urgency: e.Urgency} }

// compare is negative when r goes before other.
func (r rank) compare(other rank) int {
	switch {
	case r.priority != other.priority:
		return r.priority - other.priority
	case r.call != other.call && r.call:
		return -1
	case r.call != other.call:
		return 1
	}
	return r.urgency - other.urgency
}

// load is work in slots, decaying.
type load struct {
	slots float64
	at    flow.Time
}

// take notes the work of an entry that was taken in.
func (s *Scheduler) take(now flow.Time, entry Entry) {
	l, ok := s.loads[entry.rank()]
	if !ok {
		l = &load{at: now}
		s.loads[entry.rank()] = l
	}
	l.slots = l.now(now) + s.MeanDuration(entry.Route).Seconds()/loadMemory.Seconds()
	l.at = now
}

func (l *load) now(now flow.Time) float64 {
	return l.slots * math.Exp(-float64(now.Sub(l.at))/float64(loadMemory))
}

// left is the share of the slots that is left for an entry by what goes before
// it and goes on coming.
func (s *Scheduler) left(now flow.Time, entry Entry) float64 {
	used := 0.0
	for r, l := range s.loads {
		if r.compare(entry.rank()) < 0 {
			used += l.now(now)
		}
	}
	return max(1-used/float64(s.slots), leastLeft)
}

// hopeless reports whether an entry would be answered so late that its place is
// better left to others.
func (s *Scheduler) hopeless(now flow.Time, entry Entry) bool {
	wait := time.Duration(float64(s.waitOf(now, entry)) / s.left(now, entry))
	finish := now.Add(wait + s.MeanDuration(entry.Route) + finishMargin)
	latest := entry.Deadline
	if entry.Target.Before(entry.Deadline) && !entry.Call {
		latest = entry.Target.Add(time.Duration(lateShare * float64(entry.Deadline.Sub(entry.Target))))
	}
	return finish.After(latest)
}

// waitOf is how long an entry would wait behind those that go before it.
func (s *Scheduler) waitOf(now flow.Time, entry Entry) time.Duration {
	ahead := 0
	for _, queued := range s.queue {
		if !s.goesBefore(now, entry, queued) {
			ahead++
		}
	}
	return s.waitBehind(ahead)
}

// waitBehind is how long an entry would wait behind a number of others.
func (s *Scheduler) waitBehind(ahead int) time.Duration {
	turns := float64(ahead+1-s.free()) / float64(s.slots)
	if turns <= 0 {
		return 0
	}
	return time.Duration(turns * float64(s.meanRunning()))
}

// Wait is how long a request of middling urgency would wait now.
func (s *Scheduler) ExpectedWait() time.Duration { return s.waitBehind(len(s.queue)) }

// meanRunning is the mean duration of what is in service.
func (s *Scheduler) meanRunning() time.Duration {
	if len(s.running) == 0 {
		return firstDuration
	}
	var sum time.Duration
	for _, r := range s.running {
		sum += s.MeanDuration(r.entry.Route)
	}
	return sum / time.Duration(len(s.running))
}

// Duration is the mean time that the server takes for a route.
func (s *Scheduler) MeanDuration(route string) time.Duration {
	if mean, ok := s.durations[route]; ok {
		return mean
	}
	return firstDuration
}

func (s *Scheduler) free() int { return s.slots - len(s.running) }

// Free is the number of free slots that nobody waits for.
func (s *Scheduler) FreeSlots() int { return max(s.free()-len(s.queue), 0) }

// Queued is the number of entries that wait.
func (s *Scheduler) Queued() int { return len(s.queue) }

// Running is the number of entries in service.
func (s *Scheduler) Running() int { return len(s.running) }

// RetryShare is the share of the running entries that have reached a server before.
func (s *Scheduler) RetryShare() float64 {
	retries := 0
	for _, r := range s.running {
		if r.entry.IsRetry {
			retries++
		}
	}
	return float64(retries) / float64(max(len(s.running), 1))
}

// Finish ends an entry that ran. A positive duration is that of a good answer.
func (s *Scheduler) Finish(id uint64, duration time.Duration) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if s.inService[r.entry.Customer]--; s.inService[r.entry.Customer] <= 0 {
		delete(s.inService, r.entry.Customer)
	}
	if duration <= 0 {
		return
	}
	mean, known := s.durations[r.entry.Route]
	if !known {
		s.durations[r.entry.Route] = duration
		return
	}
	s.durations[r.entry.Route] = mean + time.Duration(durationWeight*float64(duration-mean))
}

// Withdraw takes an entry out of the queue, and reports whether it was there.
func (s *Scheduler) Withdraw(id uint64) bool {
	before := len(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(e Entry) bool { return e.ID == id })
	return len(s.queue) < before
}

// Next returns the entries that get a slot now, and those that have become
// hopeless.
func (s *Scheduler) Advance(now flow.Time) (started, hopeless []Entry) {
	for len(s.queue) > 0 && s.free() > 0 {
		best := 0
		for i := range s.queue {
			if s.goesBefore(now, s.queue[i], s.queue[best]) {
				best = i
			}
		}
		entry := s.queue[best]
		if s.tooLate(now, entry) {
			s.queue = slices.Delete(s.queue, best, best+1)
			hopeless = append(hopeless, entry)
			continue
		}
		if !s.takeToken(now) {
			break
		}
		s.queue = slices.Delete(s.queue, best, best+1)
		s.start(now, entry)
		started = append(started, entry)
	}
	return started, append(hopeless, s.evict(now)...)
}

// evict takes the entries out of the queue that would end after their deadline:
// more urgent work may have come since they were taken in.
func (s *Scheduler) evict(now flow.Time) (hopeless []Entry) {
	if len(s.queue) == 0 {
		return nil
	}
	inOrder := slices.Clone(s.queue)
	slices.SortFunc(inOrder, func(a, b Entry) int { return s.compare(now, a, b) })
	for ahead, entry := range inOrder {
		wait := time.Duration(float64(s.waitBehind(ahead)) / s.left(now, entry))
		if s.tooLate(now, entry) || now.Add(wait+finishMargin).After(entry.Deadline) {
			hopeless = append(hopeless, entry)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(queued Entry) bool {
		return slices.ContainsFunc(hopeless, func(e Entry) bool { return e.ID == queued.ID })
	})
	return hopeless
}

// tooLate reports whether an entry would not be answered before its deadline
// even if it ran now.
func (s *Scheduler) tooLate(now flow.Time, entry Entry) bool {
	least := min(s.MeanDuration(entry.Route)/2, entry.Deadline.Sub(now)+finishMargin)
	return now.Add(least + finishMargin).After(entry.Deadline)
}

// compare is negative when a runs before b.
func (s *Scheduler) compare(now flow.Time, a, b Entry) int {
	if order := a.rank().compare(b.rank()); order != 0 {
		return order
	}
	if lateA, lateB := now.After(a.Target), now.After(b.Target); lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	if order := s.inService[a.Customer] - s.inService[b.Customer]; order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID) // who came first
}

func (s *Scheduler) goesBefore(now flow.Time, a, b Entry) bool { return s.compare(now, a, b) < 0 }

func (s *Scheduler) start(now flow.Time, entry Entry) {
	s.running[entry.ID] = running{entry: entry, started: now}
	s.inService[entry.Customer]++
}

// Overdue returns the running entries that have taken longer than a multiple of
// their route's mean, at least a given time.
func (s *Scheduler) Overdue(now flow.Time, multiple float64, atLeast time.Duration) []uint64 {
	var ids []uint64
	for id, r := range s.running {
		limit := max(time.Duration(multiple*float64(s.MeanDuration(r.entry.Route))), atLeast)
		if now.Sub(r.started) > limit {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// takeToken takes one request out of what a cold server bears.
func (s *Scheduler) takeToken(now flow.Time) bool {
	if !s.cold(now) {
		return true
	}
	s.tokens = math.Min(coldBurst, s.tokens+now.Sub(s.tokensAt).Seconds()*s.coldRate)
	s.tokensAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// TokenWait is how long until a cold server bears the next request; 0 when
// tokens hold nothing up.
func (s *Scheduler) TokenWait(now flow.Time) time.Duration {
	if !s.cold(now) || s.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - s.tokens) / s.coldRate * float64(time.Second))
}
