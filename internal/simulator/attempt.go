// Attempts of requests: runs on backend servers, and retries.

package simulator

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/profiler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// attempt is the run of a request on a server.
type attempt struct {
	*request
	server      *server
	runStart    flow.Time
	cancelled   bool // the caller has abandoned the request, or another attempt has answered it
	hangs       bool // the server does not work on it
	overdue     bool // as its ingress judges
	overdueHere bool // as the daemon beside the server judges
}

// startAttempt runs a request that has a slot.
func (sim *simulation) startAttempt(now flow.Time, r *request, s *server) {
	sim.reportLoad(now, r, s)
	r.cancel, r.searching = nil, false
	if r.isRetry && !sim.takeRetryToken(now, r.ingress, r.kind.Service) {
		s.queue.Finish(r.id, 0)
		sim.advanceQueue(now, s)
		sim.endSearch(now, r)
		return
	}
	r.repeatsWork = len(r.tried) > 0 || r.calledByRetry
	sim.recorder.arrivals = append(sim.recorder.arrivals, arrival{at: now, server: s, isRetry: r.repeatsWork, cold: now.Before(s.coldUntil)})
	r.ingress.selector.BeginRequest(now, s.entry.ID)
	r.tried[s.entry.ID] = true
	if shedding := sim.troubleOf(now, Shed, s); shedding != nil && sim.workRandom.Float64() < shedding.Factor {
		sim.shedRequest(now, r, s)
		return
	}
	r.attempts++
	s.charger.Begin(r.id, r.isRetry)
	sim.countRun(r, s)
	a := &attempt{request: r, server: s, runStart: now}
	r.running = append(r.running, a)
	sim.awaitOverdue(now, a)
	length, ok := sim.drawResult(now, r, s)
	if hanging := sim.troubleOf(now, Hang, s); hanging != nil && sim.workRandom.Float64() < hanging.Factor {
		length, ok, a.hangs = hangTime, false, true
	}
	if r.kind.Calls == "" || !ok || sim.workRandom.Float64() >= r.kind.CallShare {
		sim.Schedule(min(now.Add(length), r.deadline+1), func(end flow.Time) { sim.endAttempt(end, a, ok) })
		return
	}
	sim.Schedule(now.Add(length/2), func(half flow.Time) {
		sim.startCall(half, r, s, func(back flow.Time, ok bool) {
			if !ok {
				s.breaker.CallFailed(back)
				sim.endAttempt(back, a, false)
				return
			}
			sim.Schedule(back.Add(length/2), func(end flow.Time) { sim.endAttempt(end, a, true) })
		})
	})
}

// shedRequest makes a server refuse a request that reached it.
func (sim *simulation) shedRequest(now flow.Time, r *request, s *server) {
	r.shedAt = now
	s.queue.Finish(r.id, 0)
	r.ingress.selector.EndRequest(now, s.entry.ID)
	r.ingress.selector.MarkShed(now, s.entry.ID)
	sim.advanceQueue(now, s)
	sim.retryOrEnd(now, r, outcomeRefused)
}

// drawResult draws how long a request would run without a deadline or a call, and whether
// it would succeed.
func (sim *simulation) drawResult(now flow.Time, r *request, s *server) (length time.Duration, ok bool) {
	length = sim.drawDuration(now, r, s)
	switch {
	case s.gray && sim.workRandom.Float64() < s.service.GrayFailShare:
		return s.service.GrayFailAfter.AsDuration(), false
	case sim.workRandom.Float64() < s.service.ErrorShare:
		return time.Duration(sim.workRandom.Float64() * float64(length)), false
	}
	return length, true
}

// endAttempt ends a run unless its caller has abandoned the request.
func (sim *simulation) endAttempt(now flow.Time, a *attempt, ok bool) {
	verdict := flow.VerdictGood
	switch {
	case a.cancelled:
		return
	case now.After(a.deadline), a.hangs:
		verdict = flow.VerdictTimeout
	case !ok:
		verdict = flow.VerdictFailed
	}
	sim.finishAttempt(now, a, verdict)
}

// awaitOverdue lets the daemon beside the server and the ingress act on a run when it is overdue.
func (sim *simulation) awaitOverdue(now flow.Time, a *attempt) {
	if sim.policy.waits {
		return
	}
	r, s, route := a.request, a.server, a.kind.Name
	running := func() bool { return slices.Contains(r.running, a) }
	usual, known := r.ingress.profiler.Limit(route, s.entry.ID)
	if known {
		wait := usual
		if s.breaker.Suspect(now) {
			wait /= profiler.SuspectDivisor
		}
		sim.Schedule(now.Add(wait), func(now flow.Time) {
			if running() {
				sim.sendSecond(now, a)
			}
		})
	}
	if own, ok := s.profiler.Limit(route, s.entry.ID); ok {
		usual, known = own, ok
	}
	if known {
		sim.Schedule(now.Add(profiler.EvidenceAfter(usual)), func(now flow.Time) {
			if running() {
				a.overdueHere = true
				s.overdue++
				s.profiler.Overdue(route)
				if suspect, changed := s.breaker.Observe(now, a.runStart, estimator.NoResponse); suspect && changed && !sim.policy.noEjection {
					sim.redirectQueued(now, s)
				}
			}
		})
	}
}

// sendSecond sends an idempotent request that an overdue run holds to another server as well.
func (sim *simulation) sendSecond(now flow.Time, a *attempt) {
	r := a.request
	a.overdue = true
	r.ingress.profiler.Overdue(r.kind.Name)
	r.ingress.selector.MarkOverdue(now, a.server.entry.ID)
	if r.ended || r.searching || len(r.running) > 1 || !r.kind.Idempotent || r.attempts >= r.kind.Attempts ||
		r.ingress.profiler.Slow(r.kind.Name) || !sim.hasRetry(now, r) {
		return
	}
	r.search, r.isRetry = &selector.Search{Repeatable: r.repeatable()}, true
	sim.offerByNewPlan(now, r)
}

// drawDuration draws the service time of a server for a request.
func (sim *simulation) drawDuration(now flow.Time, r *request, s *server) time.Duration {
	sigma := r.kind.WorkSigma
	length := float64(r.kind.Work.AsDuration()) * math.Exp(sigma*sim.workRandom.NormFloat64()-sigma*sigma/2)
	if slow := sim.troubleOf(now, Slow, s); slow != nil {
		length *= slow.Factor
	}
	if now.Before(s.coldUntil) {
		length *= coldFactor
	}
	return time.Duration(length)
}

// startCall makes the call of a running request. It calls back when the call has ended.
func (sim *simulation) startCall(now flow.Time, r *request, s *server, back func(now flow.Time, ok bool)) {
	kind := sim.pattern.kind(r.kind.Calls)
	if r.ended || now.After(r.deadline) {
		back(now, false)
		return
	}
	c := sim.newRequest(now, kind, s.host, min(r.deadline, now.Add(kind.Deadline.AsDuration())))
	c.customer, c.onEnd, c.calledByRetry = r.customer, back, r.repeatsWork
	sim.Schedule(c.deadline, func(now flow.Time) { sim.endRequest(now, c, outcomeFailed) })
	sim.countRequest(now, c)
	charge, run := s.charger.Charge(c.kind.Service)
	switch charge {
	case retrier.ChargeRetry:
		c.isRetry = true
		if !sim.hasRetry(now, c) {
			s.charger.Refused(run, c.kind.Service)
			sim.endRequest(now, c, outcomeRefused)
			return
		}
	case retrier.ChargeLater:
		sim.ledgerOf(c.ingress, c.kind.Service).CountRetry(now)
	case retrier.ChargeNone:
	}
	sim.offerByNewPlan(now, c)
}

// finishAttempt passes the end of a run to the estimator and the scheduler, and ends or
// retries the request.
func (sim *simulation) finishAttempt(now flow.Time, a *attempt, verdict flow.Verdict) {
	r, s, took := a.request, a.server, now.Sub(a.runStart)
	status := http.StatusOK
	if verdict == flow.VerdictFailed {
		status = http.StatusInternalServerError
	}
	evidence, relevant := estimator.EvidenceOf(verdict, took, s.queue.MeanDuration(r.kind.Name))
	if relevant && !a.overdueHere && !s.breaker.BlamesCall(now, verdict, status) {
		if suspect, changed := s.breaker.Observe(now, a.runStart, evidence); suspect && changed && !sim.policy.noEjection {
			sim.redirectQueued(now, s)
		}
	}
	goodDuration := time.Duration(0)
	if verdict == flow.VerdictGood {
		goodDuration = max(took, time.Millisecond)
	}
	s.queue.Finish(r.id, goodDuration)
	s.charger.End(r.id)
	sim.advanceQueue(now, s)
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if a.overdueHere {
		s.overdue--
	}
	s.profiler.Ended(r.kind.Name, s.entry.ID, took, a.overdueHere, verdict == flow.VerdictGood)
	r.ingress.profiler.Ended(r.kind.Name, s.entry.ID, took, a.overdue, verdict == flow.VerdictGood)
	r.ingress.selector.EndRequest(now, s.entry.ID)
	sim.reportLoad(now, r, s)
	if verdict == flow.VerdictGood {
		sim.countBytes(r, s, r.kind.Response+headBytes)
		if r.ingress.region == s.host.region {
			sim.endRequest(now, r, outcomeAnswered)
			return
		}
		// The request has travelled after the grant, and its response does now.
		sim.Schedule(now+crossRegionRoundTrip, func(now flow.Time) { sim.endRequest(now, r, outcomeAnswered) })
		return
	}
	sim.retryOrEnd(now, r, outcomeFailed)
}

// retryOrEnd offers a request whose attempt did not succeed to another server, or ends it.
func (sim *simulation) retryOrEnd(now flow.Time, r *request, o outcome) {
	mayHaveRun := o == outcomeFailed
	if r.ended || len(r.running) > 0 || r.searching {
		return
	}
	if now.After(r.deadline) || mayHaveRun && (!r.kind.Idempotent || r.attempts >= r.kind.Attempts) || !sim.hasRetry(now, r) {
		sim.endRequest(now, r, r.finalOutcome(o))
		return
	}
	r.search, r.isRetry = &selector.Search{Repeatable: r.repeatable()}, true
	sim.offerByNewPlan(now, r)
}

// ledgerOf returns the ledger of a daemon for a service.
func (sim *simulation) ledgerOf(daemon *ingress, service string) *ratelimiter.Ledger {
	ledger, ok := daemon.ledgers[service]
	if !ok {
		ledger = ratelimiter.NewLedger(sim.retryBudget)
		daemon.ledgers[service] = ledger
	}
	return ledger
}

// poolOf returns the retry pool of a service.
func (sim *simulation) poolOf(service string) *ratelimiter.RetryPool {
	pool, ok := sim.retries[service]
	if !ok {
		pool = ratelimiter.NewRetryPool(0, sim.retryBudget, 0)
		sim.retries[service] = pool
	}
	return pool
}

// countRequest counts a request for the retry budget of its service.
func (sim *simulation) countRequest(now flow.Time, r *request) {
	sim.recorder.started[r.kind.Service] = append(sim.recorder.started[r.kind.Service], now)
	if r.onEnd == nil {
		sim.ledgerOf(r.ingress, r.kind.Service).CountRequest(now)
		sim.recorder.sent[r.kind.Service] = append(sim.recorder.sent[r.kind.Service], now)
	}
}

// hasRetry reports whether the budget of a request's service may have a retry, as far as its
// ingress can tell.
func (sim *simulation) hasRetry(now flow.Time, r *request) bool {
	return !now.Before(r.ingress.poolEmptyUntil[r.kind.Service])
}

// takeRetryToken takes a retry from the budget of a service for a daemon. The owner of the
// budget answers at once.
func (sim *simulation) takeRetryToken(now flow.Time, daemon *ingress, service string) bool {
	pool := sim.poolOf(service)
	pool.Report(now, sim.ledgerOf(daemon, service).Take(now))
	ok, after := pool.Take(now)
	if !ok {
		daemon.poolEmptyUntil[service] = now.Add(after)
	}
	return ok
}
