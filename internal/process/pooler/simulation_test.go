// A deterministic simulation of one customer's rate limiting: hosts with ingress
// sources and share owners, clocks that differ, and messages that are late, lost
// and duplicated. The seed determines the whole run.

package pooler_test

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/checker"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const customer = "pram-shop"

type faults struct {
	loss, repeat, late, pause float64       // probability for each message or request
	lateRuns                  time.Duration // in every other span of this length, requests run as late as their tokens allow
	maxDelay                  time.Duration // longest extra delay, and longest pause
	slowdown                  time.Duration // extra delay of all messages in every third second
	moveInterval              time.Duration // mean time between moves of a share to another owner; 0 for none
	restartInterval           time.Duration // mean time between restarts of a daemon; 0 for none
}

type scenario struct {
	seed            int64
	hosts           int
	limit           granter.Limit
	shares          int
	split           bool
	granter         granter.Settings
	pooler          pooler.Settings
	faults          faults
	arrivals        func(rng *rand.Rand, now time.Duration) (wait time.Duration, host int)
	length          time.Duration
	loseOwner       bool // the owner of share 0 does not answer for 8 s of the run
	mutateRequest   func(*granter.Request)
	mutateAnswer    func(*granter.Answer, time.Duration)
	shorterTakeover time.Duration // subtracted from the wait of a new owner
	reportUseEarly  bool          // tokens are marked as used before their requests run
}

const (
	staleOwnership  = 500 * time.Millisecond // a former owner may go on acting for this time after a move
	minMoveInterval = 2 * time.Second        // between moves of a share
	serviceTime     = 25 * time.Millisecond
	networkDelay    = 1400 * time.Microsecond
	maxDrift        = 1000 // parts per million
)

type event struct {
	at time.Duration
	do func()
}

type host struct {
	name          string
	incarnation   uint64
	offset, drift int64
	pausedUntil   time.Duration
	source        pooler.Source
	granter       *granter.Granter
	tenure        map[int]granter.Tenure
	due           time.Duration
	waiting       map[pooler.Ticket]arrival
}

type arrival struct {
	at         time.Duration
	withinRate bool // would be admitted by a single token bucket for all hosts
}

type ownership struct {
	owner, former int
	movedAt       time.Duration
	handedOver    bool
	revision      flow.Revision
}

type tally struct {
	requests, withinRate, admitted, refused, refusedWithinRate, unavailable, messages int
	waited                                                                            time.Duration
}

type simulation struct {
	scenario
	rng            *rand.Rand
	arrivalRNG     *rand.Rand // a separate generator, so that all kinds of source see the same requests
	now            time.Duration
	queue          []event
	hosts          []*host
	shares         []ownership
	counter        pooler.Counter
	admissions     []checker.Admission
	referenceLevel float64
	refilledAt     time.Duration
	tally          tally
}

func newSimulation(sc scenario) *simulation {
	s := &simulation{scenario: sc, rng: rand.New(rand.NewSource(sc.seed)), arrivalRNG: rand.New(rand.NewSource(-sc.seed)), referenceLevel: float64(sc.limit.Burst)}
	for i := range sc.hosts {
		h := &host{
			name:    string(rune('a' + i)),
			offset:  s.rng.Int63n(1e9),
			drift:   s.rng.Int63n(2*maxDrift) - maxDrift,
			granter: granter.New(sc.granter),
			tenure:  map[int]granter.Tenure{},
		}
		s.start(h)
		if sc.split {
			h.source = pooler.NewStaticSplit(s.local(h), flow.Never, sc.limit, i, sc.hosts)
		}
		s.hosts = append(s.hosts, h)
	}
	for index := range sc.shares {
		s.shares = append(s.shares, ownership{owner: index % sc.hosts, former: index % sc.hosts})
		s.hosts[index%sc.hosts].tenure[index] = granter.Tenure{Since: flow.Never, Limit: granter.ShareLimit(sc.limit, index, sc.shares)}
	}
	return s
}

// start gives a host a new ingress process.
func (s *simulation) start(h *host) {
	h.incarnation++
	h.waiting = map[pooler.Ticket]arrival{}
	h.source = pooler.NewPool(pooler.PoolConfig{
		Customer: customer, Host: h.name, Incarnation: h.incarnation,
		Shares: s.scenario.shares, FirstShare: int(h.name[0]) % s.scenario.shares, Limit: s.limit,
	}, s.pooler, &s.counter)
}

func (s *simulation) run() *simulation {
	s.arrive()
	s.after(time.Second, s.sweep)
	if s.faults.restartInterval > 0 {
		s.at(s.faults.restartInterval, s.restart)
	}
	if s.faults.moveInterval > 0 {
		s.at(s.faults.moveInterval/2, s.move)
	}
	for s.now < s.length {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.now = next.at
		next.do()
	}
	return s
}

func (s *simulation) violations() []checker.RateViolation {
	return checker.CheckRate(s.admissions, []flow.Rate{{
		Customer: customer, PerSecond: s.limit.PerSecond(), Burst: s.limit.Burst,
	}})
}

func (s *simulation) local(h *host) flow.Time {
	micros := s.now.Microseconds()
	return flow.Time((micros + micros*h.drift/1e6 + h.offset) / 1000)
}

func (s *simulation) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// at schedules an event after those that are already due at the same time.
func (s *simulation) at(t time.Duration, do func()) {
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > t })
	s.queue = slices.Insert(s.queue, i, event{t, do})
}

func (s *simulation) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

func (s *simulation) randomDelay() time.Duration {
	return time.Duration(s.rng.Int63n(int64(s.faults.maxDelay) + 1))
}

// send delivers a message to a host, subject to network faults.
func (s *simulation) send(to *host, do func()) {
	s.tally.messages++
	copies := 1
	if s.chance(s.faults.loss) {
		copies = 0
	}
	if s.chance(s.faults.repeat) {
		copies++
	}
	for range copies {
		delay := networkDelay + time.Duration(s.rng.Int63n(int64(200*time.Microsecond)))
		if s.chance(s.faults.late) {
			delay += s.randomDelay()
		}
		if s.now/time.Second%3 == 2 {
			delay += s.faults.slowdown
		}
		s.after(delay, func() { s.whenAwake(to, do) })
	}
}

// whenAwake runs do once the host is not paused. The host may pause first.
func (s *simulation) whenAwake(h *host, do func()) {
	if s.chance(s.faults.pause) {
		h.pausedUntil = max(h.pausedUntil, s.now+s.randomDelay())
	}
	if s.now < h.pausedUntil {
		s.at(h.pausedUntil, do)
		return
	}
	do()
}

func (s *simulation) ownerLost(index int) bool {
	return s.loseOwner && index == s.shares[0].owner && s.now > 4*time.Second && s.now < 12*time.Second
}

func (s *simulation) arrive() {
	wait, index := s.arrivals(s.arrivalRNG, s.now)
	s.after(wait, func() {
		s.arrive()
		s.whenAwake(s.hosts[index], func() { s.draw(s.hosts[index]) })
	})
}

// takeReference takes a token from the reference, a single token bucket for all
// hosts, and reports whether there was one.
func (s *simulation) takeReference() bool {
	gained := s.limit.PerSecond() * (s.now - s.refilledAt).Seconds()
	s.referenceLevel = min(s.referenceLevel+gained, float64(s.limit.Burst))
	s.refilledAt = s.now
	if s.referenceLevel < 1 {
		return false
	}
	s.referenceLevel--
	return true
}

func (s *simulation) draw(h *host) {
	a := arrival{s.now, s.takeReference()}
	s.tally.requests++
	if a.withinRate {
		s.tally.withinRate++
	}
	decision := h.source.Draw(s.local(h))
	s.dispatch(h, decision.Requests)
	if decision.Wait {
		h.waiting[decision.Ticket] = a
	} else {
		s.decide(h, a, decision)
	}
	s.schedule(h)
}

func (s *simulation) decide(h *host, a arrival, decision pooler.Decision) {
	if decision.Taken {
		s.tally.waited += s.now - a.at
		s.forward(h, decision.Token)
		return
	}
	s.tally.refused++
	if a.withinRate {
		s.tally.refusedWithinRate++
	}
	if decision.Reason == flow.ReasonRateUnavailable {
		s.tally.unavailable++
	}
}

// forward runs a request, sometimes late, unless its token has expired.
func (s *simulation) forward(h *host, token pooler.Token) {
	delay := networkDelay
	if s.chance(s.faults.late) {
		delay += s.randomDelay()
	}
	if s.reportUseEarly {
		h.source.MarkUsed(s.local(h), token, 0)
	}
	reportLost := s.chance(s.faults.loss)
	if left := token.NotAfter.Sub(s.local(h)) - time.Millisecond; s.faults.lateRuns > 0 && s.now/s.faults.lateRuns%2 == 0 {
		delay = max(left-left/(1e6/maxDrift/2), 0)
	}
	s.after(delay, func() {
		if !s.local(h).Before(token.NotAfter) || s.chance(s.faults.loss) {
			s.whenAwake(h, func() { s.apply(h, h.source.Return(s.local(h), token)) })
			return
		}
		s.admissions = append(s.admissions, checker.Admission{Customer: customer, AtNanos: int64(s.now)})
		s.tally.admitted++
		if reportLost || s.reportUseEarly {
			return
		}
		s.after(serviceTime, func() {
			s.whenAwake(h, func() { h.source.MarkUsed(s.local(h), token, serviceTime-time.Millisecond); s.schedule(h) })
		})
	})
}

func (s *simulation) apply(h *host, effects pooler.Effects) {
	s.dispatch(h, effects.Requests)
	for _, decided := range effects.Decided {
		a := h.waiting[decided.Ticket]
		delete(h.waiting, decided.Ticket)
		s.decide(h, a, decided.Decision)
	}
	s.schedule(h)
}

// schedule calls Tick when it is due.
func (s *simulation) schedule(h *host) {
	now := s.local(h)
	due := s.now + h.source.Due(now).Sub(now)
	if h.due > s.now && h.due <= due {
		return
	}
	h.due = due
	s.at(due, func() {
		if h.due == due {
			s.whenAwake(h, func() { s.apply(h, h.source.Tick(s.local(h))) })
		}
	})
}

func (s *simulation) dispatch(from *host, requests []granter.Request) {
	for _, request := range requests {
		if s.mutateRequest != nil {
			s.mutateRequest(&request)
		}
		sentAt := s.now
		to := s.knownOwner(request.Share)
		s.send(s.hosts[to], func() { s.serve(from, to, sentAt, request) })
	}
}

// knownOwner returns the host to which an ingress sends a request: for some time
// after a move, this is the new owner for some requests and the former for others.
func (s *simulation) knownOwner(share int) int {
	o := s.shares[share]
	if s.now < o.movedAt+staleOwnership && s.rng.Intn(2) == 0 {
		return o.former
	}
	return o.owner
}

// serve lets an owner answer. The owner may pause between reading its clock and
// using that time.
func (s *simulation) serve(from *host, to int, sentAt time.Duration, request granter.Request) {
	if s.ownerLost(to) {
		return
	}
	o := &s.shares[request.Share]
	h := s.hosts[to]
	now := s.local(h)
	acting := to == o.owner || (to == o.former && s.now < o.movedAt+staleOwnership)
	movedAt := o.movedAt
	s.whenAwake(h, func() {
		tenure, known := h.tenure[request.Share]
		handedOver := to != o.owner && o.handedOver || o.movedAt != movedAt && o.handedOver
		if !acting || !known || handedOver || now.Before(tenure.Since) {
			s.send(from, func() { s.apply(from, from.source.Misdirected(s.local(from), request.Share, request.Sequence)) })
			return
		}
		answer, ok := h.granter.Grant(now, tenure, request)
		if !ok {
			return
		}
		s.send(from, func() {
			if s.mutateAnswer != nil {
				s.mutateAnswer(&answer, s.now-sentAt)
			}
			s.apply(from, from.source.Answered(s.local(from), answer))
		})
	})
}

func (s *simulation) sweep() {
	s.after(time.Second, s.sweep)
	for _, h := range s.hosts {
		h.granter.Sweep(s.local(h))
	}
}

// restart makes a daemon lose its memory. The shares that it owns grant nothing
// until every lease that it may have granted has expired.
func (s *simulation) restart() {
	s.after(s.faults.restartInterval/2+time.Duration(s.rng.Int63n(int64(s.faults.restartInterval))), s.restart)
	h := s.hosts[s.rng.Intn(len(s.hosts))]
	s.start(h)
	h.granter = granter.New(s.granter)
	for share, tenure := range h.tenure {
		tenure.Since = max(tenure.Since, s.local(h).Add(s.granter.Lifetime+s.granter.Margin)+5)
		h.tenure[share] = tenure
	}
}

// move gives a share to another owner, with or without a handover.
func (s *simulation) move() {
	s.after(s.faults.moveInterval/2+time.Duration(s.rng.Int63n(int64(s.faults.moveInterval))), s.move)
	index := s.rng.Intn(len(s.shares))
	o := &s.shares[index]
	if s.now < o.movedAt+minMoveInterval {
		return
	}
	oldOwner, next := s.hosts[o.owner], s.rng.Intn(len(s.hosts))
	if next == o.owner {
		return
	}
	key := granter.Key{Customer: customer, Share: index, Shares: len(s.shares)}
	limit := granter.ShareLimit(s.limit, index, len(s.shares))
	oldTenure := oldOwner.tenure[index]
	*o = ownership{owner: next, former: o.owner, movedAt: s.now, handedOver: s.rng.Intn(2) == 0, revision: o.revision + 1}
	longestLease := staleOwnership + s.granter.Lifetime + s.granter.Margin - s.shorterTakeover
	h := s.hosts[next]
	h.granter.Drop(key)
	h.tenure[index] = granter.Tenure{Since: s.local(h).Add(longestLease) + 5, Limit: limit}
	if !o.handedOver || s.local(oldOwner).Before(oldTenure.Since) {
		o.handedOver = false
		return
	}
	revision := o.revision
	incarnation := h.incarnation
	state := oldOwner.granter.HandOver(s.local(oldOwner), key, oldTenure, revision)
	s.send(h, func() {
		if s.shares[index].revision == revision && h.incarnation == incarnation && h.granter.TakeOver(s.local(h), limit, revision, state) {
			h.tenure[index] = granter.Tenure{Since: s.local(h), Limit: limit}
		}
	})
}
