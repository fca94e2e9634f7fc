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
	attempts      int                          // number of these servers on which it may have run
	isRetry       bool                         // the next attempt takes a token of the retry budget
	calledByRetry bool                         // it is a call that a retry makes
	cancel        func(now flow.Time)          // removes it from the server where it waits or runs
	ended         bool
}

// startRequest starts a request of a caller.
func (sim *simulation) startRequest(now flow.Time, kind *RequestKind, customer, resends int) {
	r := sim.newRequest(now, kind, sim.ingresses[sim.workRandom.IntN(len(sim.ingresses))], now.Add(kind.Deadline.AsDuration()))
	r.customer, r.resends = customer, resends
	if leaving := sim.pattern.activeTrouble(now, LeaveEarly, kind.Service); leaving != nil && sim.workRandom.Float64() < leaving.Share {
		sim.Schedule(now.Add(time.Duration(leaving.Factor*float64(kind.Target.AsDuration()))), func(now flow.Time) { sim.abandonRequest(now, r) })
	}
	if !sim.takeRateToken(now, r) {
		sim.endRequest(now, r, outcomeOverRate)
		return
	}
	sim.countRequest(now, r)
	if sim.refusedEarly(now, r) {
		sim.endRequest(now, r, outcomeRefused)
		return
	}
	sim.offerByNewPlan(now, r)
}

// refusedEarly reports whether the ingress refuses a request before any offer.
func (sim *simulation) refusedEarly(now flow.Time, r *request) bool {
	var servers []*flow.ServerEntry
	for _, candidate := range sim.candidates(now, r.kind.Service, r.ingress.zone) {
		servers = append(servers, candidate.Server)
	}
	_, refuse := r.ingress.refuser.Decide(now, servers, flow.AdmissionRank(r.kind.Priority, r.kind.Priority))
	return refuse
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
	if r.cancel != nil && r.kind.Idempotent {
		r.cancel(now)
	}
	sim.endRequest(now, r, outcomeLeft)
}

// endRequest records the outcome of a request, unless it has ended before.
func (sim *simulation) endRequest(now flow.Time, r *request, o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	ok := o == outcomeAnswered
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
	r.plan = sim.policy.plan(r.ingress.selector, sim.workRandom, now, selector.Query{
		Candidates:      sim.candidates(now, r.kind.Service, r.ingress.zone),
		Tried:           r.tried,
		Repeatable:      r.repeatable(),
		RetryBudgetLeft: sim.daemonBudget(r).HasRetry(now),
	})
	if !r.search.RecordPlan(r.plan) {
		sim.endRequest(now, r, r.finalOutcome(outcomeRefused))
		return
	}
	sim.offerToNext(now, r)
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
	if len(r.plan) == 0 {
		sim.offerByNewPlan(now, r)
		return
	}
	offer := r.plan[0]
	r.plan = r.plan[1:]
	s := sim.serverOf(offer.Server)
	roundTrip := crossZoneRoundTrip
	if s.host.zone == r.ingress.zone {
		roundTrip = sameZoneRoundTrip
	}
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
	rank, drain := s.queue.Admission(now)
	load := flow.ServerLoad{
		FreeSlots: s.queue.FreeSlots(), QueueWait: s.queue.ExpectedWait(), GrayProbability: sim.grayProbability(now, s),
		AdmitRank: rank, DrainTime: drain,
	}
	r.ingress.selector.UpdateLoad(now, s.entry.ID, load)
	r.ingress.refuser.Report(now, s.entry.ID, load)
}
