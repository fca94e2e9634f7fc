// Requests from arrival to end: they are offered to servers and queued as the daemon does.

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

// request is a request of a caller, or a call that a running request makes.
type request struct {
	id            uint64
	kind          *RequestKind
	ingress       *ingress
	customer      int
	start         flow.Time
	deadline      flow.Time
	resends       int                          // earlier requests of the caller that this one repeats
	onEnd         func(now flow.Time, ok bool) // of a call; nil for a request of a caller
	search        *selector.Search             // for the slot of the next attempt
	plan          []selector.Offer             // offers that are still to be made
	tried         map[string]bool              // IDs of the servers that it reached
	offers        int                          // since the last attempt
	attempts      int                          // number of these servers on which it may have run
	isRetry       bool                         // the next attempt takes a token of the retry budget
	calledByRetry bool                         // it is a call that a retry makes, which no daemon knows
	repeatsWork   bool                         // its latest arrival was not its first, or it is such a call
	cancel        func(now flow.Time)          // removes it from the server where it waits
	running       []*attempt                   // two while a second send overtakes an overdue run
	searching     bool                         // a slot for another attempt is being looked for
	ended         bool
	shedAt        flow.Time // when a backend server last turned it away; 0 if none did
}

// startRequest starts a request of a caller.
func (sim *simulation) startRequest(now flow.Time, kind *RequestKind, customer, resends int) {
	r := sim.newRequest(now, kind, sim.drawIngress(now, kind), now.Add(kind.Deadline.AsDuration()))
	r.customer, r.resends = customer, resends
	if leaving := sim.pattern.activeTrouble(now, LeaveEarly, kind.Service); leaving != nil && sim.workRandom.Float64() < leaving.Share {
		sim.Schedule(now.Add(time.Duration(leaving.Factor*float64(kind.Target.AsDuration()))), func(now flow.Time) { sim.abandonRequest(now, r) })
	}
	if !sim.takeRateToken(now, r) {
		sim.endRequest(now, r, outcomeOverRate)
		return
	}
	sim.countRequest(now, r)
	sim.offerByNewPlan(now, r)
}

func (sim *simulation) newRequest(now flow.Time, kind *RequestKind, from *ingress, deadline flow.Time) *request {
	sim.lastID++
	return &request{
		id: sim.lastID, kind: kind, ingress: from, start: now, deadline: deadline,
		search: &selector.Search{Repeatable: selector.Repeatable(kind.Idempotent, kind.Attempts, 0)}, tried: map[string]bool{},
	}
}

// takeRateToken takes a token of the customer's rate, and reports whether there was one.
func (sim *simulation) takeRateToken(now flow.Time, r *request) bool {
	if sim.pattern.RateFactor <= 0 {
		return true
	}
	usual := 0.0
	for _, kind := range sim.pattern.Kinds {
		usual += kind.PerSecond / float64(sim.pattern.Customers)
	}
	rate := ratelimiter.Rate{PerSecond: usual * sim.pattern.RateFactor, Burst: usual * sim.pattern.RateFactor}
	customer := strconv.Itoa(r.customer)
	sim.rates.Ensure(now, customer, rate, rate.Burst)
	ok, _ := sim.rates.Take(now, customer, rate)
	return ok
}

// abandonRequest ends a request whose caller has left.
func (sim *simulation) abandonRequest(now flow.Time, r *request) {
	if r.ended {
		return
	}
	if r.kind.Idempotent {
		sim.cancelAttempts(now, r)
	}
	sim.endRequest(now, r, outcomeLeft)
}

// cancelAttempts removes a request from the servers where it waits or runs.
func (sim *simulation) cancelAttempts(now flow.Time, r *request) {
	if r.cancel != nil {
		r.cancel(now)
		r.cancel = nil
	}
	for len(r.running) > 0 {
		a := r.running[0]
		a.cancelled = true
		sim.finishAttempt(now, a, flow.VerdictCancelled)
	}
}

// endRequest records the outcome of a request, unless it has ended before.
func (sim *simulation) endRequest(now flow.Time, r *request, o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	if o == outcomeAnswered {
		sim.cancelAttempts(now, r)
	}
	ok := o == outcomeAnswered
	if o == outcomeRefused && r.shedAt > 0 {
		sim.recorder.refusals = append(sim.recorder.refusals, refusal{start: r.start, end: now, shedAt: r.shedAt, reached: len(r.tried)})
	}
	if o == outcomeRefused || o == outcomeFailed {
		sim.recorder.unserved[r.kind.Service] = append(sim.recorder.unserved[r.kind.Service], r.start)
	}
	if r.onEnd != nil {
		r.onEnd(now, ok)
		return
	}
	sim.counters.add(r, now, o)
	repeat := sim.pattern.activeTrouble(now, RepeatAtOnce, r.kind.Service)
	if !ok && o != outcomeLeft && repeat != nil && r.resends < int(repeat.Factor) && float64(r.id%100) < 100*repeat.Share {
		sim.startRequest(now, r.kind, r.customer, r.resends+1)
	}
}

// offerByNewPlan offers a request by a new plan. It ends the request if the plan has no
// offers that were not made yet, or if the search has reached its maximum of plans.
func (sim *simulation) offerByNewPlan(now flow.Time, r *request) {
	r.searching = true
	r.plan = sim.policy.plan(r.ingress.selector, sim.workRandom, now, selector.Query{
		Candidates:      sim.candidates(now, r.kind.Service, r.ingress),
		Tried:           r.tried,
		Repeatable:      r.repeatable(),
		RetryBudgetLeft: true, // the owner's pool is not known to an ingress here
		Bytes:           float64(r.kind.Body + r.kind.Response),
		LargeResponse:   r.kind.Response > largeResponse,
		Search:          r.search,
	})
	if !r.search.RecordPlan(r.plan) {
		sim.endSearch(now, r)
		return
	}
	sim.offerToNext(now, r)
}

// endSearch ends a search without a slot, and the request unless it still runs.
func (sim *simulation) endSearch(now flow.Time, r *request) {
	r.searching = false
	if len(r.running) == 0 {
		sim.endRequest(now, r, r.finalOutcome(outcomeRefused))
	}
}

// finalOutcome returns the outcome of a request without a response: failed if it may have
// run, or else the given one.
func (r *request) finalOutcome(o outcome) outcome {
	if r.attempts > 0 {
		return outcomeFailed
	}
	return o
}

func (r *request) repeatable() bool {
	return selector.Repeatable(r.kind.Idempotent, r.kind.Attempts, r.attempts)
}

// offerToNext makes the next offer of the plan, or a new plan if there is none left.
func (sim *simulation) offerToNext(now flow.Time, r *request) {
	if r.ended {
		return
	}
	if len(r.plan) == 0 || r.plan[0].Replan {
		sim.offerByNewPlan(now, r)
		return
	}
	offer := r.plan[0]
	r.plan = r.plan[1:]
	s := sim.serverOf(offer.Server)
	sim.countOffer(r, s)
	roundTrip := roundTrip(r, s)
	sim.Schedule(now+roundTrip, func(now flow.Time) { sim.offerAtServer(now, r, s, offer) })
}

// offerAtServer decides, beside the server, on an offer.
func (sim *simulation) offerAtServer(now flow.Time, r *request, s *server, offer selector.Offer) {
	estimatorRequest := estimator.Request{Repeatable: r.repeatable(), Trial: offer.Trial, Forced: offer.Forced}
	switch {
	case r.ended:
		return
	case !sim.reachable(now, s):
		r.ingress.selector.MarkAbsent(now, s.entry.ID)
		sim.offerToNext(now, r)
		return
	case !sim.policy.noEjection && !s.breaker.Admit(now, estimatorRequest):
		sim.reportLoad(now, r, s)
		sim.offerToNext(now, r)
		return
	}
	decision := s.queue.Offer(now, scheduler.Entry{
		ID: r.id, Route: r.kind.Name, Customer: strconv.Itoa(r.customer), Call: r.onEnd != nil, IsRetry: r.isRetry,
		Priority: r.kind.Priority, Urgency: r.kind.Priority,
		Target: r.start.Add(r.kind.Target.AsDuration()), Deadline: r.deadline, MayWait: offer.MayWait,
	})
	switch decision {
	case scheduler.DecisionStarted:
		sim.startAttempt(now, r, s)
	case scheduler.DecisionQueued:
		s.queued[r.id] = queuedRequest{r, offer.Forced}
		r.cancel = func(flow.Time) {
			s.queue.Withdraw(r.id)
			delete(s.queued, r.id)
		}
		sim.advanceQueue(now, s)
	case scheduler.DecisionBusy, scheduler.DecisionTooLate:
		sim.reportLoad(now, r, s)
		sim.offerToNext(now, r)
	}
}

// redirectQueued offers the requests in the queue of a server that became suspected to
// other servers.
func (sim *simulation) redirectQueued(now flow.Time, s *server) {
	for _, id := range slices.Sorted(maps.Keys(s.queued)) {
		if queued := s.queued[id]; !queued.forced {
			s.queue.Withdraw(id)
			delete(s.queued, id)
			sim.reportLoad(now, queued.request, s)
			sim.offerToNext(now, queued.request)
		}
	}
}

// reportLoad passes the load of a server to the ingress of a request, as in the daemon's
// responses.
func (sim *simulation) reportLoad(now flow.Time, r *request, s *server) {
	r.ingress.profiler.Report(r.kind.Name, s.entry.ID, s.profiler.OwnLimit(r.kind.Name, s.entry.ID))
	r.ingress.selector.UpdateLoad(now, s.entry.ID, flow.ServerLoad{
		FreeSlots: s.queue.FreeSlots(), QueueWait: s.queue.ExpectedWait(), GrayProbability: sim.grayProbability(now, s), Overdue: s.overdue,
		MeanDuration: s.queue.MeanRunning(),
	})
}
