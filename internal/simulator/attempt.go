// Attempts of requests: runs on backend servers, and retries.

package simulator

import (
	"math"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// attempt is the run of a request on a server.
type attempt struct {
	*request
	server    *server
	runStart  flow.Time
	cancelled bool // the caller has abandoned the request
}

// startAttempt runs a request that has a slot.
func (sim *simulation) startAttempt(now flow.Time, r *request, s *server) {
	if !r.found {
		r.found, r.searched = true, now.Sub(r.start)
	}
	sim.reportLoad(now, r, s)
	if r.isRetry && !sim.takeRetryToken(now, r) {
		s.queue.Finish(r.id, 0)
		sim.advanceQueue(now, s)
		sim.endRequest(now, r, r.finalOutcome(outcomeRefused))
		return
	}
	sim.recorder.arrivals = append(sim.recorder.arrivals, arrival{at: now, server: s, isRetry: r.isRetry || r.calledByRetry, cold: now.Before(s.coldUntil)})
	r.ingress.selector.BeginRequest(now, s.entry.ID)
	r.tried[s.entry.ID] = true
	if shedding := sim.troubleOf(now, Shed, s); shedding != nil && sim.workRandom.Float64() < shedding.Factor {
		sim.shedRequest(now, r, s)
		return
	}
	r.attempts++
	a := &attempt{request: r, server: s, runStart: now}
	r.cancel = func(now flow.Time) {
		a.cancelled = true
		sim.finishAttempt(now, a, flow.VerdictCancelled)
	}
	length, ok := sim.drawResult(now, r, s)
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
	if hang := sim.troubleOf(now, Hang, s); hang != nil && sim.workRandom.Float64() < hang.Factor {
		return r.deadline.Sub(now) + time.Millisecond, false
	}
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
	case now.After(a.deadline):
		verdict = flow.VerdictTimeout
	case !ok:
		verdict = flow.VerdictFailed
	}
	sim.finishAttempt(now, a, verdict)
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
	c.customer, c.onEnd, c.calledByRetry = r.customer, back, r.isRetry
	sim.Schedule(c.deadline, func(now flow.Time) { sim.endRequest(now, c, outcomeFailed) })
	sim.countRequest(now, c)
	if sim.workRandom.Float64() < s.queue.RetryShare() {
		sim.daemonBudget(c).CountRetry(now)
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
	if relevant && !s.overdue[r.id] && !s.breaker.BlamesCall(now, verdict, status) {
		sim.observe(now, s, a.runStart, evidence)
	}
	delete(s.overdue, r.id)
	goodDuration := time.Duration(0)
	if verdict == flow.VerdictGood {
		goodDuration = max(took, time.Millisecond)
	}
	s.queue.Finish(r.id, goodDuration)
	sim.advanceQueue(now, s)
	r.cancel = nil
	r.ingress.selector.EndRequest(now, s.entry.ID)
	sim.reportLoad(now, r, s)
	if verdict == flow.VerdictGood {
		sim.endRequest(now, r, outcomeAnswered)
		return
	}
	sim.retryOrEnd(now, r, outcomeFailed)
}

// observe passes evidence to the breaker of a server.
func (sim *simulation) observe(now flow.Time, s *server, began flow.Time, evidence estimator.Evidence) {
	if suspect, changed := s.breaker.Observe(now, began, evidence); suspect && changed && !sim.policy.noEjection {
		sim.redirectQueued(now, s)
	}
}

// recordOverdue counts each overdue run of a server as a failure once.
func (sim *simulation) recordOverdue(now flow.Time, s *server) {
	for _, id := range s.queue.Overdue(now, estimator.OverdueMultiple, estimator.MinOverdue) {
		if !s.overdue[id] {
			s.overdue[id] = true
			sim.observe(now, s, now, estimator.NoResponse)
		}
	}
}

// retryOrEnd offers a request whose attempt did not succeed to another server, or ends it.
func (sim *simulation) retryOrEnd(now flow.Time, r *request, o outcome) {
	mayHaveRun := o == outcomeFailed
	if r.ended {
		return
	}
	if now.After(r.deadline) || mayHaveRun && (!r.kind.Idempotent || r.attempts >= r.kind.Attempts) {
		sim.endRequest(now, r, r.finalOutcome(o))
		return
	}
	r.running = false
	r.search, r.isRetry = &selector.Search{Repeatable: r.repeatable()}, true
	sim.offerByNewPlan(now, r)
}

// daemonBudget returns the retry budget of a daemon for the service of a request.
func (sim *simulation) daemonBudget(r *request) *retrier.Budget {
	budget, ok := r.ingress.budgets[r.kind.Service]
	if !ok {
		share, slack := retryBudget.PerDaemon(len(sim.ingresses))
		budget = retrier.NewBudget(retrier.Options{Share: share, MinPerSecond: -1, Slack: slack})
		r.ingress.budgets[r.kind.Service] = budget
	}
	return budget
}

// countRequest counts a request for the retry budget of its service.
func (sim *simulation) countRequest(now flow.Time, r *request) {
	sim.daemonBudget(r).CountRequest(now)
	sim.recorder.started[r.kind.Service] = append(sim.recorder.started[r.kind.Service], now)
}

// takeRetryToken takes a retry from the daemon's own budget, or else from the shared one of
// the service.
func (sim *simulation) takeRetryToken(now flow.Time, r *request) bool {
	if sim.daemonBudget(r).Withdraw(now, false) {
		return true
	}
	ok, _ := sim.retries.Take(now, r.kind.Service, retryBudget.PoolRate())
	return ok
}
