// One attempt of a request: its run on a server, and whether another one follows.

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

// attempt is a request that runs on a server.
type attempt struct {
	*request
	server  *server
	since   flow.Time
	stopped bool // its caller has left
}

// run runs a request that has a slot.
func (w *world) run(now flow.Time, r *request, s *server) {
	w.hear(now, r, s)
	if r.isRetry && !w.drawRetry(now, r) {
		s.queue.Finish(r.id, 0)
		w.advance(now, s)
		w.end(now, r, r.verdict(refused))
		return
	}
	w.audit.arrivals = append(w.audit.arrivals, arrival{at: now, server: s, again: r.isRetry || r.ofRetry, cold: now.Before(s.cold)})
	r.ingress.selector.BeginRequest(now, s.entry.ID)
	r.tried[s.entry.ID] = true
	if shedding := w.afflicted(now, Shed, s); shedding != nil && w.random.Float64() < shedding.Factor {
		w.turnAway(now, r, s)
		return
	}
	r.reached++
	a := &attempt{request: r, server: s, since: now}
	r.cancel = func(now flow.Time) {
		a.stopped = true
		w.finish(now, a, flow.VerdictCancelled)
	}
	length, ok := w.fate(now, r, s)
	if r.kind.Calls == "" || !ok || w.random.Float64() >= r.kind.CallShare {
		w.Schedule(min(now.Add(length), r.deadline+1), func(end flow.Time) { w.conclude(end, a, ok) })
		return
	}
	w.Schedule(now.Add(length/2), func(half flow.Time) {
		w.call(half, r, s, func(back flow.Time, ok bool) {
			if !ok {
				s.judge.CallFailed(back)
				w.conclude(back, a, false)
				return
			}
			w.Schedule(back.Add(length/2), func(end flow.Time) { w.conclude(end, a, true) })
		})
	})
}

// turnAway has a server refuse a request that came to it.
func (w *world) turnAway(now flow.Time, r *request, s *server) {
	s.queue.Finish(r.id, 0)
	r.ingress.selector.EndRequest(now, s.entry.ID)
	r.ingress.selector.MarkShed(now, s.entry.ID)
	w.advance(now, s)
	w.again(now, r, refused)
}

// fate is how long a request would run without a deadline or a call, and whether it would
// end well.
func (w *world) fate(now flow.Time, r *request, s *server) (length time.Duration, ok bool) {
	length = w.work(now, r, s)
	switch {
	case s.gray && w.random.Float64() < s.service.GrayFails:
		return s.service.GrayAfter.AsDuration(), false
	case w.random.Float64() < s.service.ErrorShare:
		return time.Duration(w.random.Float64() * float64(length)), false
	}
	return length, true
}

// conclude ends a run unless its caller has left before.
func (w *world) conclude(now flow.Time, a *attempt, ok bool) {
	verdict := flow.VerdictGood
	switch {
	case a.stopped:
		return
	case now.After(a.deadline):
		verdict = flow.VerdictTimeout
	case !ok:
		verdict = flow.VerdictFailed
	}
	w.finish(now, a, verdict)
}

// work is how long a server takes for a request.
func (w *world) work(now flow.Time, r *request, s *server) time.Duration {
	spread := r.kind.Spread
	length := float64(r.kind.Work.AsDuration()) * math.Exp(spread*w.random.NormFloat64()-spread*spread/2)
	if slow := w.afflicted(now, Slow, s); slow != nil {
		length *= slow.Factor
	}
	if now.Before(s.cold) {
		length *= coldFactor
	}
	return time.Duration(length)
}

// call makes the call of a running request.
func (w *world) call(now flow.Time, r *request, s *server, back func(now flow.Time, ok bool)) {
	kind := w.pattern.kind(r.kind.Calls)
	if r.ended || now.After(r.deadline) {
		back(now, false)
		return
	}
	c := w.begin(now, kind, s.host, min(r.deadline, now.Add(kind.Deadline.AsDuration())))
	c.customer, c.parent, c.ofRetry = r.customer, back, r.isRetry
	w.Schedule(c.deadline, func(now flow.Time) { w.end(now, c, failed) })
	w.count(now, c)
	if w.random.Float64() < s.queue.RetryShare() {
		w.budget(c).CountRetry(now)
	}
	w.seek(now, c)
}

// finish takes the end of a run as evidence, and ends the request or tries it again.
func (w *world) finish(now flow.Time, a *attempt, verdict flow.Verdict) {
	r, s, took := a.request, a.server, now.Sub(a.since)
	status := http.StatusOK
	if verdict == flow.VerdictFailed {
		status = http.StatusInternalServerError
	}
	evidence, says := estimator.EvidenceOf(verdict, took, s.queue.MeanDuration(r.kind.Name))
	if says && !s.judge.BlamesCall(now, verdict, status) {
		if suspect, changed := s.judge.Observe(now, a.since, evidence); suspect && changed && !w.policy.trustsAll {
			w.sendAway(now, s)
		}
	}
	good := time.Duration(0)
	if verdict == flow.VerdictGood {
		good = max(took, time.Millisecond)
	}
	s.queue.Finish(r.id, good)
	w.advance(now, s)
	r.cancel = nil
	r.ingress.selector.EndRequest(now, s.entry.ID)
	w.hear(now, r, s)
	if verdict == flow.VerdictGood {
		w.end(now, r, answered)
		return
	}
	w.again(now, r, failed)
}

// again seeks another server for a request whose attempt had no good end.
func (w *world) again(now flow.Time, r *request, e ending) {
	ran := e == failed
	if r.ended {
		return
	}
	if now.After(r.deadline) || ran && (!r.kind.Idempotent || r.reached >= r.kind.Attempts) {
		w.end(now, r, r.verdict(e))
		return
	}
	r.search, r.isRetry = &selector.Search{Repeatable: r.repeatable()}, true
	w.seek(now, r)
}

// -----------------------------------------------------------------------------

func (w *world) budget(r *request) *retrier.Budget {
	budget, ok := r.ingress.budgets[r.kind.Service]
	if !ok {
		share, slack := retryBudget.PerDaemon(len(w.ingresses))
		budget = retrier.NewBudget(retrier.Options{Share: share, MinPerSecond: -1, Slack: slack})
		r.ingress.budgets[r.kind.Service] = budget
	}
	return budget
}

// count counts a request for the retry budget of its service.
func (w *world) count(now flow.Time, r *request) {
	w.budget(r).CountRequest(now)
	w.audit.begun[r.kind.Service] = append(w.audit.begun[r.kind.Service], now)
}

// drawRetry takes a retry out of the daemon's own budget, or out of the pool.
func (w *world) drawRetry(now flow.Time, r *request) bool {
	if w.budget(r).Withdraw(now, false) {
		return true
	}
	ok, _ := w.retries.Take(now, r.kind.Service, retryBudget.PoolRate())
	return ok
}
