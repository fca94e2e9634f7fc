// A small network in memory: ingresses with sources, owners with granters,
// clocks that differ, and messages that are late, lost and repeated. One
// customer only; everything follows from the seed.

package drawer_test

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/checker"
	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const customer = "pram-shop"

type faults struct {
	loss, repeat, late, pause float64       // probabilities of each message or request
	hold                      time.Duration // requests of every other such span run in the last moment of their permits
	latest                    time.Duration // longest delay and pause
	slow                      time.Duration // delay of all messages in every third second
	moves                     time.Duration // mean time between moves of a share; 0 for none
	restarts                  time.Duration // mean time between restarts of a daemon; 0 for none
}

type plan struct {
	seed      int64
	hosts     int
	limit     granter.Limit
	shares    int
	split     bool
	granter   granter.Settings
	drawer    drawer.Settings
	faults    faults
	arrivals  func(rng *rand.Rand, now time.Duration) (wait time.Duration, host int)
	length    time.Duration
	lostHost  bool // the owner of share 0 is lost for 8 s of the run
	mutateAsk func(*granter.Request)
	mutate    func(*granter.Answer, time.Duration)
	sinceCut  time.Duration // taken off the wait of a new owner
	spendSoon bool          // reports a use before the request has run
}

const (
	actingLease  = 500 * time.Millisecond // how long an owner acts on old knowledge
	settledAfter = 2 * time.Second        // a share does not move again before
	service      = 25 * time.Millisecond
	oneWay       = 1400 * time.Microsecond
	driftLimit   = 1000 // parts in a million
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
	source        drawer.Source
	granter       *granter.Granter
	tenure        map[int]granter.Tenure
	due           time.Duration
	waiting       map[drawer.Ticket]arrival
}

type arrival struct {
	at     time.Duration
	inside bool // a single bucket for all hosts takes it
}

type ownership struct {
	owner, former int
	movedAt       time.Duration
	ceded         bool
	revision      flow.Revision
}

type tally struct {
	requests, inside, admitted, refused, refusedInside, unavailable, messages int
	waited                                                                    time.Duration
}

type world struct {
	plan
	rng        *rand.Rand
	callers    *rand.Rand // of its own, so that all sources get the same requests
	now        time.Duration
	queue      []event
	hosts      []*host
	shares     []ownership
	counter    drawer.Counter
	admissions []checker.Admission
	reference  float64
	refilledAt time.Duration
	tally      tally
}

func newWorld(p plan) *world {
	w := &world{plan: p, rng: rand.New(rand.NewSource(p.seed)), callers: rand.New(rand.NewSource(-p.seed)), reference: float64(p.limit.Burst)}
	for i := range p.hosts {
		h := &host{
			name:    string(rune('a' + i)),
			offset:  w.rng.Int63n(1e9),
			drift:   w.rng.Int63n(2*driftLimit) - driftLimit,
			granter: granter.New(p.granter),
			tenure:  map[int]granter.Tenure{},
		}
		w.start(h)
		if p.split {
			h.source = drawer.NewSplit(w.local(h), flow.Never, p.limit, i, p.hosts)
		}
		w.hosts = append(w.hosts, h)
	}
	for s := range p.shares {
		w.shares = append(w.shares, ownership{owner: s % p.hosts, former: s % p.hosts})
		w.hosts[s%p.hosts].tenure[s] = granter.Tenure{Since: flow.Never, Limit: granter.ShareLimit(p.limit, s, p.shares)}
	}
	return w
}

// start gives a host a new process of the ingress.
func (w *world) start(h *host) {
	h.incarnation++
	h.waiting = map[drawer.Ticket]arrival{}
	h.source = drawer.NewPool(drawer.Identity{
		Customer: customer, Host: h.name, Incarnation: h.incarnation,
		Shares: w.plan.shares, Home: int(h.name[0]) % w.plan.shares, Limit: w.limit,
	}, w.drawer, &w.counter)
}

func (w *world) run() *world {
	w.arrive()
	w.after(time.Second, w.sweep)
	if w.faults.restarts > 0 {
		w.at(w.faults.restarts, w.restart)
	}
	if w.faults.moves > 0 {
		w.at(w.faults.moves/2, w.move)
	}
	for w.now < w.length {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = next.at
		next.do()
	}
	return w
}

func (w *world) violations() []checker.RateViolation {
	return checker.CheckRate(w.admissions, []flow.Rate{{
		Customer: customer, PerSecond: w.limit.PerSecond(), Burst: w.limit.Burst,
	}})
}

// -----------------------------------------------------------------------------

func (w *world) local(h *host) flow.Time {
	micros := w.now.Microseconds()
	return flow.Time((micros + micros*h.drift/1e6 + h.offset) / 1000)
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// at puts an event behind those that are due at the same time.
func (w *world) at(t time.Duration, do func()) {
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at > t })
	w.queue = slices.Insert(w.queue, i, event{t, do})
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) long() time.Duration { return time.Duration(w.rng.Int63n(int64(w.faults.latest) + 1)) }

// send carries a message to a host with the faults of the network.
func (w *world) send(to *host, do func()) {
	w.tally.messages++
	copies := 1
	if w.chance(w.faults.loss) {
		copies = 0
	}
	if w.chance(w.faults.repeat) {
		copies++
	}
	for range copies {
		delay := oneWay + time.Duration(w.rng.Int63n(int64(200*time.Microsecond)))
		if w.chance(w.faults.late) {
			delay += w.long()
		}
		if w.now/time.Second%3 == 2 {
			delay += w.faults.slow
		}
		w.after(delay, func() { w.awake(to, do) })
	}
}

// awake runs do when the host is not paused; it may fall asleep first.
func (w *world) awake(h *host, do func()) {
	if w.chance(w.faults.pause) {
		h.pausedUntil = max(h.pausedUntil, w.now+w.long())
	}
	if w.now < h.pausedUntil {
		w.at(h.pausedUntil, do)
		return
	}
	do()
}

func (w *world) lost(index int) bool {
	return w.lostHost && index == w.shares[0].owner && w.now > 4*time.Second && w.now < 12*time.Second
}

// -----------------------------------------------------------------------------

func (w *world) arrive() {
	wait, index := w.arrivals(w.callers, w.now)
	w.after(wait, func() {
		w.arrive()
		w.awake(w.hosts[index], func() { w.draw(w.hosts[index]) })
	})
}

// inside takes a token from the reference: one bucket for all hosts.
func (w *world) inside() bool {
	gained := w.limit.PerSecond() * (w.now - w.refilledAt).Seconds()
	w.reference = min(w.reference+gained, float64(w.limit.Burst))
	w.refilledAt = w.now
	if w.reference < 1 {
		return false
	}
	w.reference--
	return true
}

func (w *world) draw(h *host) {
	a := arrival{w.now, w.inside()}
	w.tally.requests++
	if a.inside {
		w.tally.inside++
	}
	decision := h.source.Draw(w.local(h))
	w.dispatch(h, decision.Ask)
	if decision.Wait {
		h.waiting[decision.Ticket] = a
	} else {
		w.decide(h, a, decision)
	}
	w.schedule(h)
}

func (w *world) decide(h *host, a arrival, decision drawer.Decision) {
	if decision.Taken {
		w.tally.waited += w.now - a.at
		w.forward(h, decision.Token)
		return
	}
	w.tally.refused++
	if a.inside {
		w.tally.refusedInside++
	}
	if decision.Reason == flow.ReasonRateUnavailable {
		w.tally.unavailable++
	}
}

// forward runs a request, late at times; its permit ends with the token.
func (w *world) forward(h *host, token drawer.Token) {
	delay := oneWay
	if w.chance(w.faults.late) {
		delay += w.long()
	}
	if w.spendSoon {
		h.source.Spent(w.local(h), token, 0)
	}
	silent := w.chance(w.faults.loss)
	if left := token.NotAfter.Sub(w.local(h)) - time.Millisecond; w.faults.hold > 0 && w.now/w.faults.hold%2 == 0 {
		delay = max(left-left/(1e6/driftLimit/2), 0)
	}
	w.after(delay, func() {
		if !w.local(h).Before(token.NotAfter) || w.chance(w.faults.loss) {
			w.awake(h, func() { w.apply(h, h.source.GiveBack(w.local(h), token)) })
			return
		}
		w.admissions = append(w.admissions, checker.Admission{Customer: customer, AtNanos: int64(w.now)})
		w.tally.admitted++
		if silent || w.spendSoon {
			return
		}
		w.after(service, func() {
			w.awake(h, func() { h.source.Spent(w.local(h), token, service-time.Millisecond); w.schedule(h) })
		})
	})
}

func (w *world) apply(h *host, effects drawer.Effects) {
	w.dispatch(h, effects.Ask)
	for _, decided := range effects.Decided {
		a := h.waiting[decided.Ticket]
		delete(h.waiting, decided.Ticket)
		w.decide(h, a, decided.Decision)
	}
	w.schedule(h)
}

// schedule calls Tick when it is due.
func (w *world) schedule(h *host) {
	now := w.local(h)
	due := w.now + h.source.Due(now).Sub(now)
	if h.due > w.now && h.due <= due {
		return
	}
	h.due = due
	w.at(due, func() {
		if h.due == due {
			w.awake(h, func() { w.apply(h, h.source.Tick(w.local(h))) })
		}
	})
}

// -----------------------------------------------------------------------------

func (w *world) dispatch(from *host, asks []granter.Request) {
	for _, request := range asks {
		if w.mutateAsk != nil {
			w.mutateAsk(&request)
		}
		sentAt := w.now
		to := w.ownerSeen(request.Share)
		w.send(w.hosts[to], func() { w.serve(from, to, sentAt, request) })
	}
}

// ownerSeen returns the owner as an ingress knows it: after a move, some know
// the new one and some the former.
func (w *world) ownerSeen(share int) int {
	o := w.shares[share]
	if w.now < o.movedAt+actingLease && w.rng.Intn(2) == 0 {
		return o.former
	}
	return o.owner
}

// serve lets an owner answer. It reads its clock, and may sleep before it goes
// on with what it read.
func (w *world) serve(from *host, to int, sentAt time.Duration, request granter.Request) {
	if w.lost(to) {
		return
	}
	o := &w.shares[request.Share]
	h := w.hosts[to]
	now := w.local(h)
	acting := to == o.owner || (to == o.former && w.now < o.movedAt+actingLease)
	movedAt := o.movedAt
	w.awake(h, func() {
		tenure, known := h.tenure[request.Share]
		ceded := to != o.owner && o.ceded || o.movedAt != movedAt && o.ceded
		if !acting || !known || ceded || now.Before(tenure.Since) {
			w.send(from, func() { w.apply(from, from.source.Misdirected(w.local(from), request.Share, request.Sequence)) })
			return
		}
		answer, ok := h.granter.Grant(now, tenure, request)
		if !ok {
			return
		}
		w.send(from, func() {
			if w.mutate != nil {
				w.mutate(&answer, w.now-sentAt)
			}
			w.apply(from, from.source.Answered(w.local(from), answer))
		})
	})
}

func (w *world) sweep() {
	w.after(time.Second, w.sweep)
	for _, h := range w.hosts {
		h.granter.Sweep(w.local(h))
	}
}

// restart makes a daemon lose its memory. What it owned waits until its own
// longest grant has run out.
func (w *world) restart() {
	w.after(w.faults.restarts/2+time.Duration(w.rng.Int63n(int64(w.faults.restarts))), w.restart)
	h := w.hosts[w.rng.Intn(len(w.hosts))]
	w.start(h)
	h.granter = granter.New(w.granter)
	for share, tenure := range h.tenure {
		tenure.Since = max(tenure.Since, w.local(h).Add(w.granter.Lifetime+w.granter.Margin)+5)
		h.tenure[share] = tenure
	}
}

// move gives a share to another owner, with a hand-over or without.
func (w *world) move() {
	w.after(w.faults.moves/2+time.Duration(w.rng.Int63n(int64(w.faults.moves))), w.move)
	index := w.rng.Intn(len(w.shares))
	o := &w.shares[index]
	if w.now < o.movedAt+settledAfter {
		return
	}
	old, next := w.hosts[o.owner], w.rng.Intn(len(w.hosts))
	if next == o.owner {
		return
	}
	key := granter.Key{Customer: customer, Share: index, Shares: len(w.shares)}
	limit := granter.ShareLimit(w.limit, index, len(w.shares))
	former := old.tenure[index]
	*o = ownership{owner: next, former: o.owner, movedAt: w.now, ceded: w.rng.Intn(2) == 0, revision: o.revision + 1}
	longest := actingLease + w.granter.Lifetime + w.granter.Margin - w.sinceCut
	h := w.hosts[next]
	h.granter.Drop(key)
	h.tenure[index] = granter.Tenure{Since: w.local(h).Add(longest) + 5, Limit: limit}
	if !o.ceded || w.local(old).Before(former.Since) {
		o.ceded = false
		return
	}
	revision := o.revision
	incarnation := h.incarnation
	state := old.granter.Cede(w.local(old), key, former, revision)
	w.send(h, func() {
		if w.shares[index].revision == revision && h.incarnation == incarnation && h.granter.Adopt(w.local(h), limit, revision, state) {
			h.tenure[index] = granter.Tenure{Since: w.local(h), Limit: limit}
		}
	})
}
