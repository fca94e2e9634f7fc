// Package scheduler decides which requests run, wait or are refused at one
// backend server.
//
// The server runs as many requests at once as it has slots. Waiting requests
// are ordered by priority, which is most urgent at 0. Within a priority, calls
// made by running requests go first, because a slot elsewhere is held until
// they end. Then come more urgent routes, requests that can still meet their
// target, the customer with the fewest requests running, and the order of
// arrival. A route whose requests start far less often than others goes first. A request that would be answered too late is refused on arrival, and
// one that becomes late in the queue is removed.
//
// A Scheduler does no input or output and reads no clock: the caller passes the
// time. It is not safe for concurrent use.
//
// It is a part of the sidecar that package supervisor runs. The daemon that
// package runner runs has package admitter instead.
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
	// defaultDuration is the assumed mean of a route before its first response.
	defaultDuration = 300 * time.Millisecond
	// targetOverrunShare is the share of the time between target and deadline by
	// which a request may be expected to overrun its target when it is queued. In an overload
	// the queue is as long as this allows, so that a larger share makes more responses late:
	// with 0.15, 0.751 instead of 0.775 were in time in the simulated overload of shared
	// services.
	targetOverrunShare = 0.05
	// finishMargin is the time that must remain between a request's expected end
	// and its deadline.
	finishMargin = 30 * time.Millisecond
	// loadTimeConstant is the time constant with which admitted load decays.
	loadTimeConstant = 2 * time.Second
	// minRemainingShare is the share of the slots that less urgent requests are
	// assumed to get at least.
	minRemainingShare = 0.1
	// coldBurst is the number of requests that a cold server may start at once.
	coldBurst = 4
	// maxQueued bounds the queue.
	maxQueued = 256
)

// Entry is a request that asks to run.
type Entry struct {
	ID       uint64 // increases with arrival
	Route    string
	Customer string
	Call     bool      // made by a running request
	IsRetry  bool      // an earlier attempt has reached a server
	Priority int       // of the customer or of the route; 0 is the most urgent
	Urgency  int       // of the route, among requests of one priority; 0 is the most urgent
	Target   flow.Time // a later response is worth less to the caller
	Deadline flow.Time
	MayWait  bool // may be queued; otherwise the entry needs a free slot
}

// Decision is what a Scheduler decides about an entry.
type Decision int

// The decisions.
const (
	// DecisionStarted means that the entry has a slot.
	DecisionStarted Decision = iota
	// DecisionQueued means that the entry waits for a slot.
	DecisionQueued
	// DecisionBusy means that no slot is free and the entry may not wait.
	DecisionBusy
	// DecisionTooLate means that the response would come too late, or that the
	// queue is full.
	DecisionTooLate
)

// Scheduler schedules the requests of one backend server.
type Scheduler struct {
	slots         int
	running       map[uint64]runningEntry
	runningCounts map[string]int // by customer
	queue         []Entry
	displaced     []Entry                  // removed from the full queue, and not yet returned by Advance
	meanDurations map[string]time.Duration // by route
	loads         map[rank]*load           // decaying load of the entries started or queued

	samples map[sampleKey]sample // of new requests
	served  servedCounts

	callReserve float64       // maximum share of the slots that is reserved for calls
	reserved    int           // free slots that only calls may take
	meanCall    time.Duration // smoothed mean duration of the calls

	blockedUntil flow.Time // a slot is reserved for calls until then, since all slots were blocked

	coldUntil flow.Time
	coldRate  float64 // requests a second while cold
	tokens    float64
	tokensAt  flow.Time
}

type runningEntry struct {
	entry   Entry
	started flow.Time
}

// New returns a Scheduler for a server with the given number of slots, at least
// one.
func New(slots int) *Scheduler {
	return &Scheduler{
		slots:         max(slots, 1),
		running:       map[uint64]runningEntry{},
		runningCounts: map[string]int{},
		meanDurations: map[string]time.Duration{},
		loads:         map[rank]*load{},
		samples:       map[sampleKey]sample{},
		served:        servedCounts{routes: map[string]*servedCount{}},
		coldUntil:     flow.Never,
		blockedUntil:  flow.Never,
	}
}

// SetSlots changes the number of slots, at least one.
func (s *Scheduler) SetSlots(slots int) { s.slots = max(slots, 1) }

// SetCold limits starts to perSecond until the given time, which never moves
// back.
func (s *Scheduler) SetCold(now, until flow.Time, perSecond float64) {
	if until.After(s.coldUntil) && !s.cold(now) {
		s.tokens, s.tokensAt = 1, now
	}
	s.coldUntil, s.coldRate = max(until, s.coldUntil), perSecond
}

func (s *Scheduler) cold(now flow.Time) bool { return s.coldRate > 0 && now.Before(s.coldUntil) }

// Offer starts, queues or refuses a new entry.
func (s *Scheduler) Offer(now flow.Time, entry Entry) Decision {
	if !entry.Deadline.After(now) {
		return DecisionTooLate
	}
	s.updateReserved(now)
	s.recordSample(now, entry)
	if entry.MayWait {
		s.served.add(now, entry, 1, 0)
	}
	if s.startsAtOnce(entry) && s.takeColdToken(now) {
		s.addLoad(now, entry)
		s.start(now, entry)
		return DecisionStarted
	}
	if !entry.MayWait {
		return DecisionBusy
	}
	if s.tooLateToQueue(now, entry) || len(s.queue) >= maxQueued && !s.displaceLast(now, entry) {
		return DecisionTooLate
	}
	s.addLoad(now, entry)
	s.queue = append(s.queue, entry)
	return DecisionQueued
}

// displaceLast removes the entry that would start last from the queue, unless that is the
// given new one. It reports whether it removed one.
func (s *Scheduler) displaceLast(now flow.Time, entry Entry) bool {
	last := slices.MaxFunc(s.queue, func(a, b Entry) int { return s.compare(now, a, b) })
	if !s.goesBefore(now, entry, last) {
		return false
	}
	s.Withdraw(last.ID)
	s.displaced = append(s.displaced, last)
	return true
}

// rank holds the fields that order entries first.
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

// load is a mean number of busy slots, which decays exponentially.
type load struct {
	slots float64
	at    flow.Time
}

// addLoad adds the expected work of an entry that was started or queued.
func (s *Scheduler) addLoad(now flow.Time, entry Entry) {
	l, ok := s.loads[entry.rank()]
	if !ok {
		l = &load{at: now}
		s.loads[entry.rank()] = l
	}
	l.slots = l.decayed(now) + s.MeanDuration(entry.Route).Seconds()/loadTimeConstant.Seconds()
	l.at = now
}

func (l *load) decayed(now flow.Time) float64 {
	return l.slots * math.Exp(-float64(now.Sub(l.at))/float64(loadTimeConstant))
}

// remainingShare is the share of the slots that more urgent requests leave for
// an entry, if they keep arriving at the recent rate.
func (s *Scheduler) remainingShare(now flow.Time, entry Entry) float64 {
	if s.served.starves(entry) {
		return 1
	}
	used := 0.0
	for r, l := range s.loads {
		if r.compare(entry.rank()) < 0 {
			used += l.decayed(now)
		}
	}
	return max(1-used/float64(s.slots), minRemainingShare)
}

// tooLateToQueue reports whether the response to an entry would come so late
// that the entry should not take a place in the queue.
func (s *Scheduler) tooLateToQueue(now flow.Time, entry Entry) bool {
	return s.lateness(now, entry) > 0
}

// lateness is the time by which the response to an entry would come too late to queue the
// entry, or at most 0.
func (s *Scheduler) lateness(now flow.Time, entry Entry) time.Duration {
	wait := time.Duration(float64(s.expectedWait(now, entry)) / s.remainingShare(now, entry))
	finish := now.Add(wait + s.MeanDuration(entry.Route) + finishMargin)
	latest := entry.Deadline
	if entry.Target.Before(entry.Deadline) && !entry.Call {
		latest = entry.Target.Add(time.Duration(targetOverrunShare * float64(entry.Deadline.Sub(entry.Target))))
	}
	return finish.Sub(latest)
}

// expectedWait is the time that an entry would wait behind the queued entries
// that go before it.
func (s *Scheduler) expectedWait(now flow.Time, entry Entry) time.Duration {
	ahead := 0
	for _, queued := range s.queue {
		if !s.goesBefore(now, entry, queued) {
			ahead++
		}
	}
	return s.waitBehind(ahead, s.slotsFor(entry))
}

// waitBehind is the time that an entry would wait behind a number of others, with a number
// of free slots that it may take.
func (s *Scheduler) waitBehind(ahead, free int) time.Duration {
	turns := float64(ahead+1-free) / float64(s.slots)
	if turns <= 0 {
		return 0
	}
	return time.Duration(turns * float64(s.meanRunning()))
}

// ExpectedWait is the time that a new entry would wait behind the whole queue.
func (s *Scheduler) ExpectedWait() time.Duration {
	return s.waitBehind(len(s.queue), s.slotsFor(Entry{}))
}

// meanRunning is the mean expected duration of the running entries.
func (s *Scheduler) meanRunning() time.Duration {
	if len(s.running) == 0 {
		return defaultDuration
	}
	var sum time.Duration
	for _, r := range s.running {
		sum += s.MeanDuration(r.entry.Route)
	}
	return sum / time.Duration(len(s.running))
}

// MeanDuration is the smoothed mean time that the server takes for a route.
func (s *Scheduler) MeanDuration(route string) time.Duration {
	if mean, ok := s.meanDurations[route]; ok {
		return mean
	}
	return defaultDuration
}

func (s *Scheduler) freeSlots() int { return s.slots - len(s.running) }

// FreeSlots is the number of free slots for new entries other than calls, in excess of the
// waiting entries.
func (s *Scheduler) FreeSlots() int { return max(s.slotsFor(Entry{})-len(s.queue), 0) }

// Queued is the number of waiting entries.
func (s *Scheduler) Queued() int { return len(s.queue) }

// Running is the number of running entries.
func (s *Scheduler) Running() int { return len(s.running) }

// RetryShare is the share of retries among the running entries.
func (s *Scheduler) RetryShare() float64 {
	retries := 0
	for _, r := range s.running {
		if r.entry.IsRetry {
			retries++
		}
	}
	return float64(retries) / float64(max(len(s.running), 1))
}

// Finish ends a running entry. A positive duration is that of a successful
// response and updates the mean of its route; others leave the mean unchanged.
func (s *Scheduler) Finish(id uint64, duration time.Duration) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if s.runningCounts[r.entry.Customer]--; s.runningCounts[r.entry.Customer] <= 0 {
		delete(s.runningCounts, r.entry.Customer)
	}
	if duration <= 0 {
		return
	}
	if r.entry.Call {
		s.recordCall(duration)
	}
	mean, known := s.meanDurations[r.entry.Route]
	if !known {
		s.meanDurations[r.entry.Route] = duration
		return
	}
	s.meanDurations[r.entry.Route] = mean + time.Duration(durationWeight*float64(duration-mean))
}

// Withdraw removes an entry from the queue, and reports whether it was there.
func (s *Scheduler) Withdraw(id uint64) bool {
	before := len(s.queue)
	s.queue = slices.DeleteFunc(s.queue, func(e Entry) bool { return e.ID == id })
	return len(s.queue) < before
}

// Advance starts queued entries while slots are free. It returns those, and the
// entries removed from the queue because they would be answered too late, or because
// Offer queued more urgent ones in their place.
func (s *Scheduler) Advance(now flow.Time) (started, tooLate []Entry) {
	tooLate, s.displaced = s.displaced, nil
	for len(s.queue) > 0 {
		s.updateReserved(now)
		best := -1
		for i := range s.queue {
			if s.slotsFor(s.queue[i]) > 0 && (best < 0 || s.goesBefore(now, s.queue[i], s.queue[best])) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		entry := s.queue[best]
		if s.missesDeadline(now, entry) {
			s.queue = slices.Delete(s.queue, best, best+1)
			tooLate = append(tooLate, entry)
			continue
		}
		if !s.takeColdToken(now) {
			break
		}
		s.queue = slices.Delete(s.queue, best, best+1)
		s.start(now, entry)
		started = append(started, entry)
	}
	return started, append(tooLate, s.evictLate(now)...)
}

// evictLate removes the queued entries that are no longer expected to start in
// time, because more urgent requests may have arrived after they were queued.
func (s *Scheduler) evictLate(now flow.Time) (tooLate []Entry) {
	if len(s.queue) == 0 {
		return nil
	}
	inOrder := slices.Clone(s.queue)
	slices.SortFunc(inOrder, func(a, b Entry) int { return s.compare(now, a, b) })
	for ahead, entry := range inOrder {
		wait := time.Duration(float64(s.waitBehind(ahead, s.slotsFor(entry))) / s.remainingShare(now, entry))
		if s.missesDeadline(now, entry) || now.Add(wait+finishMargin).After(entry.Deadline) {
			tooLate = append(tooLate, entry)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(queued Entry) bool {
		return slices.ContainsFunc(tooLate, func(e Entry) bool { return e.ID == queued.ID })
	})
	return tooLate
}

// missesDeadline reports whether an entry would miss its deadline even if it
// started now and took only half of its route's mean. finishMargin must remain.
func (s *Scheduler) missesDeadline(now flow.Time, entry Entry) bool {
	least := min(s.MeanDuration(entry.Route)/2, entry.Deadline.Sub(now)+finishMargin)
	return now.Add(least + finishMargin).After(entry.Deadline)
}

// missesTarget reports whether an entry is expected to miss its target even if it started
// now.
func (s *Scheduler) missesTarget(now flow.Time, entry Entry) bool {
	return now.Add(s.MeanDuration(entry.Route)).After(entry.Target)
}

// compare is negative when a goes before b.
func (s *Scheduler) compare(now flow.Time, a, b Entry) int {
	if starvesA, starvesB := s.served.starves(a), s.served.starves(b); starvesA != starvesB {
		if starvesA {
			return -1
		}
		return 1
	}
	if order := a.rank().compare(b.rank()); order != 0 {
		return order
	}
	if lateA, lateB := s.missesTarget(now, a), s.missesTarget(now, b); lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	if order := s.runningCounts[a.Customer] - s.runningCounts[b.Customer]; order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID) // order of arrival
}

func (s *Scheduler) goesBefore(now flow.Time, a, b Entry) bool { return s.compare(now, a, b) < 0 }

func (s *Scheduler) start(now flow.Time, entry Entry) {
	s.running[entry.ID] = runningEntry{entry: entry, started: now}
	s.runningCounts[entry.Customer]++
	if !entry.MayWait {
		s.served.add(now, entry, 1, 0) // counted only here, since such offers find no slot at many servers
	}
	s.served.add(now, entry, 0, 1)
}

// Overdue returns the ids of the entries that have run for longer than a
// multiple of their route's mean and longer than atLeast, in ascending order.
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

// takeColdToken takes a token from the token bucket of a cold server, and is
// false when there is none. A warm server needs no tokens.
func (s *Scheduler) takeColdToken(now flow.Time) bool {
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

// TokenWait is the time, from the last attempt to take a token, until a cold
// server may start its next request. It is 0 when the server is warm or a token
// is left.
func (s *Scheduler) TokenWait(now flow.Time) time.Duration {
	if !s.cold(now) || s.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - s.tokens) / s.coldRate * float64(time.Second))
}
