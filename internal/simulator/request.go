// One request from its arrival to its end: how it is offered to servers and queued, as the
// daemon does it.

package simulator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// request is one request of a caller, or a call of a running one.
type request struct {
	id       uint64
	kind     *Kind
	ingress  *ingress
	customer int
	began    flow.Time
	deadline flow.Time
	repeats  int                          // that came before, of the same caller
	parent   func(now flow.Time, ok bool) // nil for a caller's own
	search   *selector.Search             // for the slot of its next attempt
	plan     []selector.Offer             // servers that are still to be asked
	tried    map[string]bool              // servers that it reached
	reached  int                          // of these, on which it may have run
	isRetry  bool                         // its next attempt is drawn from the retry budget
	ofRetry  bool                         // it is a call of an attempt that was
	cancel   func(now flow.Time)          // takes it off the server where it waits or runs
	ended    bool
}

// arrive begins a request of a caller.
func (w *world) arrive(now flow.Time, kind *Kind, customer, repeats int) {
	r := w.begin(now, kind, w.ingresses[w.random.IntN(len(w.ingresses))], now.Add(kind.Deadline.AsDuration()))
	r.customer, r.repeats = customer, repeats
	if leaving := w.pattern.active(now, LeaveEarly, kind.Service); leaving != nil && w.random.Float64() < leaving.Share {
		w.Schedule(now.Add(time.Duration(leaving.Factor*float64(kind.Target.AsDuration()))), func(now flow.Time) { w.leave(now, r) })
	}
	if !w.draw(now, r) {
		w.end(now, r, overRate)
		return
	}
	w.count(now, r)
	w.seek(now, r)
}

func (w *world) begin(now flow.Time, kind *Kind, in *ingress, deadline flow.Time) *request {
	w.lastID++
	return &request{
		id: w.lastID, kind: kind, ingress: in, began: now, deadline: deadline,
		search: &selector.Search{Repeatable: selector.Repeatable(kind.Idempotent, kind.Attempts, 0)}, tried: map[string]bool{},
	}
}

// draw takes a token of the customer's rate.
func (w *world) draw(now flow.Time, r *request) bool {
	if w.pattern.RateShare <= 0 {
		return true
	}
	usual := 0.0
	for _, kind := range w.pattern.Kinds {
		usual += kind.PerSecond / float64(w.pattern.Customers)
	}
	rate := ratelimiter.Rate{PerSecond: usual * w.pattern.RateShare, Burst: usual * w.pattern.RateShare}
	customer := strconv.Itoa(r.customer)
	w.rates.Ensure(now, customer, rate, rate.Burst)
	ok, _ := w.rates.Take(now, customer, rate)
	return ok
}

// leave ends a request whose caller has gone.
func (w *world) leave(now flow.Time, r *request) {
	if r.ended {
		return
	}
	if r.cancel != nil && r.kind.Idempotent {
		r.cancel(now)
	}
	w.end(now, r, left)
}

// end notes what became of a request, once.
func (w *world) end(now flow.Time, r *request, e ending) {
	if r.ended {
		return
	}
	r.ended = true
	ok := e == answered
	if e == refused || e == failed {
		w.audit.unserved[r.kind.Service] = append(w.audit.unserved[r.kind.Service], r.began)
	}
	if r.parent != nil {
		r.parent(now, ok)
		return
	}
	w.tally.add(r, now, e)
	again := w.pattern.active(now, RepeatAtOnce, r.kind.Service)
	if !ok && e != left && again != nil && r.repeats < int(again.Factor) && float64(r.id%100) < 100*again.Share {
		w.arrive(now, r.kind, r.customer, r.repeats+1)
	}
}

// -----------------------------------------------------------------------------

// seek follows a plan in search of a slot, and another as long as it leads to offers that
// were not made yet.
func (w *world) seek(now flow.Time, r *request) {
	r.plan = w.policy.choice(r.ingress.selector, w.random, now, selector.Query{
		Candidates:      w.inService(now, r.kind.Service, r.ingress.zone),
		Tried:           r.tried,
		Repeatable:      r.repeatable(),
		RetryBudgetLeft: w.budget(r).HasRetry(now),
	})
	if !r.search.RecordPlan(r.plan) {
		w.end(now, r, r.verdict(refused))
		return
	}
	w.offerNext(now, r)
}

// verdict is how a request without an answer ends: refused, unless it may have run.
func (r *request) verdict(e ending) ending {
	if r.reached > 0 {
		return failed
	}
	return e
}

func (r *request) repeatable() bool {
	return selector.Repeatable(r.kind.Idempotent, r.kind.Attempts, r.reached)
}

// offerNext asks the next server of the plan.
func (w *world) offerNext(now flow.Time, r *request) {
	if r.ended {
		return
	}
	if len(r.plan) == 0 {
		w.seek(now, r)
		return
	}
	offer := r.plan[0]
	r.plan = r.plan[1:]
	s := w.serverOf(offer.Server)
	trip := otherZoneTrip
	if s.host.zone == r.ingress.zone {
		trip = zoneTrip
	}
	w.Schedule(now+trip, func(now flow.Time) { w.offer(now, r, s, offer) })
}

// offer is the decision beside the server.
func (w *world) offer(now flow.Time, r *request, s *server, offer selector.Offer) {
	asked := estimator.Request{Repeatable: r.repeatable(), Trial: offer.Trial, Forced: offer.Forced}
	switch {
	case r.ended:
		return
	case !w.reachable(now, s):
		r.ingress.selector.MarkAbsent(now, s.entry.ID)
		w.offerNext(now, r)
		return
	case !w.policy.trustsAll && !s.judge.Admit(now, asked):
		w.hear(now, r, s)
		w.offerNext(now, r)
		return
	}
	decision := s.queue.Offer(now, scheduler.Entry{
		ID: r.id, Route: r.kind.Name, Customer: strconv.Itoa(r.customer), Call: r.parent != nil, IsRetry: r.isRetry,
		Priority: r.kind.Priority, Urgency: r.kind.Priority,
		Target: r.began.Add(r.kind.Target.AsDuration()), Deadline: r.deadline, MayWait: offer.MayWait,
	})
	switch decision {
	case scheduler.DecisionStarted:
		w.run(now, r, s)
	case scheduler.DecisionQueued:
		s.waiting[r.id] = waiting{r, offer.Forced}
		r.cancel = func(flow.Time) {
			s.queue.Withdraw(r.id)
			delete(s.waiting, r.id)
		}
		w.advance(now, s)
	case scheduler.DecisionBusy, scheduler.DecisionTooLate:
		w.hear(now, r, s)
		w.offerNext(now, r)
	}
}

// sendAway has the requests seek another server that wait for one which turned out to
// fail.
func (w *world) sendAway(now flow.Time, s *server) {
	for _, id := range slices.Sorted(maps.Keys(s.waiting)) {
		if waits := s.waiting[id]; !waits.forced {
			s.queue.Withdraw(id)
			delete(s.waiting, id)
			w.hear(now, waits.request, s)
			w.offerNext(now, waits.request)
		}
	}
}

// hear tells the ingress of a request what the daemon says of its server.
func (w *world) hear(now flow.Time, r *request, s *server) {
	r.ingress.selector.UpdateLoad(now, s.entry.ID, s.queue.FreeSlots(), s.queue.ExpectedWait(), w.gray(now, s))
}
