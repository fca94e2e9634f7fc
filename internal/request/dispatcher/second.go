// The second send of a request that an overdue run holds.

package dispatcher

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/profiler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// errOvertaken ends a run whose request another server has answered first.
var errOvertaken = errors.New("another server has answered first")

// attemptRun is a run of a request that goes on.
type attemptRun struct {
	server *flow.ServerEntry
	began  flow.Time
	late   bool // it is overdue
	cancel context.CancelCauseFunc
}

// runEnd is the end of a run.
type runEnd struct {
	run    *attemptRun
	result attemptResult
}

// runUntilAnswered runs the request on a server that granted it a slot. If the run is overdue and
// the request may run again, it is sent to another server as well. The first response counts, and
// the other run is cancelled.
func (d *Dispatcher) runUntilAnswered(ctx context.Context, ex *exchange, server *flow.ServerEntry, attempt *transporter.Attempt, tried map[string]bool) attemptResult {
	limit, known := d.overdueLimit(ex, server, attempt.Load)
	if !known {
		run := &attemptRun{server: server, began: d.Clock.Now()}
		result := d.run(ctx, ex, server, attempt)
		d.recordOutage(ex.service, result, attempt.Load)
		d.noteRunEnd(ex, runEnd{run, result})
		return result
	}
	ends := make(chan runEnd, 2)
	first := d.startRun(ctx, ex, server, attempt, ends)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case end := <-ends:
		d.noteRunEnd(ex, end)
		return end.result
	case <-timer.C:
	}
	first.late = true
	slow := d.noteOverdue(ex, first)
	if slow || ex.isLastRun() || ctx.Err() != nil || d.stopped.Err() != nil || ex.deadline.Sub(d.Clock.Now()) < minTimeLeft || !d.Allowance.HasRetry(ex.service) {
		end := <-ends
		d.noteRunEnd(ex, end)
		return end.result
	}
	return d.sendSecond(ctx, ex, first, ends, tried)
}

// sendSecond looks for another server while the first run goes on, and runs the request there too.
func (d *Dispatcher) sendSecond(ctx context.Context, ex *exchange, first *attemptRun, ends chan runEnd, tried map[string]bool) attemptResult {
	tried[first.server.ID] = true
	searchCtx, stopSearch := context.WithCancel(ctx)
	defer stopSearch()
	type slot struct {
		attempt *transporter.Attempt
		server  *flow.ServerEntry
	}
	found := make(chan slot, 1)
	search := *ex
	search.isRetry = true
	search.possibleRuns++ // by the first run
	own := maps.Clone(tried)
	go func() {
		defer recoverer.Recover(d.Log, string(stepDispatch), func() { found <- slot{} })
		attempt, server := d.findSlot(searchCtx, &search, own)
		found <- slot{attempt, server}
	}()
	abandon := func(s slot) {
		if s.attempt != nil {
			s.attempt.Abandon()
			d.countInFlight(s.server, -1)
		}
	}
	select {
	case end := <-ends:
		stopSearch()
		go func() { abandon(<-found) }()
		d.noteRunEnd(ex, end)
		return end.result
	case second := <-found:
		ex.offers = search.offers
		if second.attempt != nil && d.takeRetry(ctx, ex) {
			d.Log.Info("request is sent a second time", "request", ex.id, "service", ex.service, "route", ex.route.Name,
				"server", first.server.ID, "second", second.server.ID, "took-ms", d.Clock.Now().Sub(first.began).Milliseconds())
			tried[second.server.ID] = true
			ex.isRetry = true
			ex.possibleRuns++
			return d.firstResponse(ex, first, d.startRun(ctx, ex, second.server, second.attempt, ends), ends)
		}
		abandon(second)
		end := <-ends
		d.noteRunEnd(ex, end)
		return end.result
	}
}

// firstResponse returns the first good response of two runs and cancels the other run. Without
// one it returns the result of the run that ends last, since both may have run.
func (d *Dispatcher) firstResponse(ex *exchange, first, second *attemptRun, ends chan runEnd) attemptResult {
	end := <-ends
	d.noteRunEnd(ex, end)
	other := first
	if end.run == first {
		other = second
	}
	if answered(end.result) {
		other.cancel(errOvertaken)
		go func() {
			late := <-ends
			d.noteRunEnd(ex, late)
			discard(late.result.response)
		}()
		ex.lastServer = end.run.server.ID
		return end.result
	}
	last := <-ends
	d.noteRunEnd(ex, last)
	if last.result.response == nil && end.result.response != nil {
		last, end = end, last
	}
	discard(end.result.response)
	ex.lastServer = last.run.server.ID
	result := last.result
	result.mayHaveRun, result.reachedServer = result.mayHaveRun || end.result.mayHaveRun, true
	return result
}

// answered reports whether a run ended with a response that is passed on.
func answered(result attemptResult) bool {
	return result.response != nil && result.response.StatusCode < http.StatusInternalServerError
}

// startRun starts a run in the background. It works on a copy of the exchange.
func (d *Dispatcher) startRun(ctx context.Context, ex *exchange, server *flow.ServerEntry, attempt *transporter.Attempt, ends chan<- runEnd) *attemptRun {
	runCtx, cancel := context.WithCancelCause(ctx)
	run := &attemptRun{server: server, began: d.Clock.Now(), cancel: cancel}
	own := *ex
	go func() {
		defer recoverer.Recover(d.Log, string(stepDispatch), func() {
			refusal := d.newRefusal(flow.ReasonServerFailed, stepDispatch, recoverer.Cause)
			ends <- runEnd{run, attemptResult{refusal: refusal, mayHaveRun: true, reachedServer: true}}
		})
		result := d.run(runCtx, &own, server, attempt)
		endWith(result, func() { cancel(nil) })
		d.recordOutage(own.service, result, attempt.Load)
		ends <- runEnd{run, result}
	}()
	return run
}

// endWith ends the context of a run with its result, or with the response that is streamed.
// The context of the caller's connection would keep it until the connection is closed.
func endWith(result attemptResult, cancel func()) {
	if result.response != nil {
		if body, streamed := result.response.Body.(*cancelingBody); streamed {
			endRun := body.cancel
			body.cancel = func() {
				endRun()
				cancel()
			}
			return
		}
	}
	cancel()
}

// overdueLimit returns the time after which a run is overdue, which is shorter if the server is
// suspected. ok is false if too few runs are known or the request may run once only.
func (d *Dispatcher) overdueLimit(ex *exchange, server *flow.ServerEntry, load transporter.Load) (limit time.Duration, ok bool) {
	if !ex.route.Idempotent {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	limit, ok = d.profiler.Limit(ex.route.Name, server.ID)
	if load.GrayProbability > estimator.SuspectThreshold {
		limit /= profiler.SuspectDivisor
	}
	return limit, ok
}

// noteOverdue records that a run is overdue, and reports whether its service is slow as a whole.
func (d *Dispatcher) noteOverdue(ex *exchange, run *attemptRun) (slow bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.profiler.Overdue(ex.route.Name)
	d.selector.MarkOverdue(d.Clock.Now(), run.server.ID)
	return d.profiler.Slow(ex.route.Name)
}

// noteRunEnd records how long a run took.
func (d *Dispatcher) noteRunEnd(ex *exchange, end runEnd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.profiler.Ended(ex.route.Name, end.run.server.ID, d.Clock.Now().Sub(end.run.began), end.run.late, answered(end.result))
}

// reportLimit records from when on a run of a route is overdue at a server, as its daemon reports.
func (d *Dispatcher) reportLimit(ex *exchange, server *flow.ServerEntry, load transporter.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.profiler.Report(ex.route.Name, server.ID, load.OverdueAfter)
}

// knownLimit returns the limit that an offer carries, or 0.
func (d *Dispatcher) knownLimit(ex *exchange, offer selector.Offer) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit, _ := d.profiler.Limit(ex.route.Name, offer.Server.ID)
	return limit
}
