// Offering a request to backend servers until it has its answer.

package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/courier"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// leastTime is the time that must be left for another attempt.
	leastTime = 30 * time.Millisecond
	// largeAnswerSize is the mean size of a route's answers, in bytes, from which they
	// are better waited for a little than brought from another zone.
	largeAnswerSize = 24 << 10
	// sizeWeight is the weight of a new answer in that mean.
	sizeWeight = 0.3
)

// end is what one attempt came to.
type end struct {
	response *http.Response // a whole answer, of whatever status
	refusal  *flow.Refusal  // without an answer
	ran      bool           // it may have run
	arrived  bool           // it reached the backend server, run or not
}

// dispatch offers the request to servers until one answers.
func (d *Dispatcher) dispatch(ctx context.Context, ex *exchange) *flow.Refusal {
	d.count(ex)
	tried := map[string]bool{}
	var failure end // the last attempt that may be tried again
	for {
		result, ran := d.tryOnce(ctx, ex, tried)
		if !ran {
			break
		}
		discard(failure.response)
		failure = result
		ex.isRetry = ex.isRetry || result.arrived
		if !d.mayRetry(ctx, ex, result) {
			break
		}
	}
	if failure.response != nil {
		ex.response = failure.response
		return nil
	}
	if failure.refusal != nil {
		return failure.refusal
	}
	if ctx.Err() != nil {
		return d.refusal(flow.ReasonCancelled, stepDispatch, "the caller has left")
	}
	if d.stopping.Err() != nil {
		return d.refusal(flow.ReasonStopping, stepDispatch, "the daemon stops before the request has a slot")
	}
	return d.refusal(flow.ReasonNoCapacity, stepDispatch, "no backend server takes the request")
}

func discard(response *http.Response) {
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
}

// tryOnce finds a server with a slot, and runs the request there. It is false when no
// server takes the request, or when it has reached one before and no retry is left.
func (d *Dispatcher) tryOnce(ctx context.Context, ex *exchange, tried map[string]bool) (end, bool) {
	granted, server := d.seekSlot(ctx, ex, tried)
	if granted == nil {
		return end{}, false
	}
	// Drawn with the slot in hand: most searches in an overload find none.
	if ex.isRetry && !d.drawRetry(ctx, ex) {
		granted.Abandon()
		d.sent(server, -1)
		return end{}, false
	}
	ex.last = server.ID
	result := d.run(ctx, ex, server, granted)
	tried[server.ID] = true
	if result.ran {
		ex.reached++
	}
	return result, true
}

// seekSlot seeks a slot by a plan, and by another one as long as what was heard on the way
// leads to offers that were not made yet.
func (d *Dispatcher) seekSlot(ctx context.Context, ex *exchange, tried map[string]bool) (*courier.Attempt, *flow.ServerEntry) {
	search := selector.Search{Repeatable: ex.repeatable()}
	for {
		plan := d.plan(ex, tried)
		if !search.RecordPlan(plan) {
			return nil, nil
		}
		if granted, server := d.seek(ctx, ex, plan); granted != nil {
			return granted, server
		}
	}
}

// repeatable reports whether a request may be used to try a suspected server.
func (ex *exchange) repeatable() bool {
	return selector.Repeatable(ex.route.Idempotent, ex.route.MaxAttempts, ex.reached)
}

func (d *Dispatcher) plan(ex *exchange, tried map[string]bool) []selector.Offer {
	catalog := d.Catalog()
	var candidates []selector.Candidate
	for _, server := range catalog.Servers(ex.service) {
		candidates = append(candidates, selector.Candidate{Server: server, SameZone: server.Zone == d.Zone})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	return d.selector.Plan(now, selector.Query{
		Candidates:      candidates,
		Tried:           tried,
		Repeatable:      ex.repeatable(),
		RetryBudgetLeft: d.budget(ex.service).HasRetry(now),
		LargeResponse:   d.sizes[ex.route.Name] > largeAnswerSize,
	})
}

// run runs the request on a server that has a slot for it.
func (d *Dispatcher) run(ctx context.Context, ex *exchange, server *flow.ServerEntry, attempt *courier.Attempt) end {
	running := ctx
	if !ex.route.Idempotent {
		// It is left to finish when the caller leaves, since it may have had an
		// effect already.
		running = context.WithoutCancel(ctx)
	}
	bounded, expiry := d.boundedBy(running, ex)
	defer context.AfterFunc(d.ending, expiry.Cancel)()
	attempt.Follow(bounded)
	answer, err := attempt.Run(bounded, d.requestOf(ex))
	if err != nil {
		d.sent(server, -1)
		result := d.failed(bounded, ex, server, attempt, err)
		expiry.Cancel()
		return result
	}
	d.heard(server, attempt.Load)
	result := d.collect(bounded, expiry, ex, answer)
	d.sent(server, -1)
	return result
}

func (d *Dispatcher) offerOf(ex *exchange, offer selector.Offer) *courier.Offer {
	now := d.Clock.Now()
	customer := ""
	if ex.customer != nil {
		customer = ex.customer.Name
	}
	return &courier.Offer{
		ID:         ex.id,
		Server:     offer.Server.ID,
		Route:      ex.route.Name,
		Customer:   customer,
		Call:       ex.call,
		Priority:   d.priority(ex),
		Urgency:    ex.route.Priority,
		MayWait:    offer.MayWait,
		Repeatable: ex.repeatable(),
		IsRetry:    ex.isRetry,
		Trial:      offer.Trial,
		Forced:     offer.Forced,
		ToTarget:   ex.began.Add(ex.route.TargetLatency).Sub(now),
		Left:       ex.deadline.Sub(now),
	}
}

func (d *Dispatcher) requestOf(ex *exchange) *courier.Request {
	return &courier.Request{
		Method: ex.request.Method,
		Target: ex.request.URL.RequestURI(),
		Host:   ex.request.Host,
		Header: d.forwardedHeader(ex.request),
		Caller: d.Service(),
		Body:   ex.body,
	}
}

// heard takes what a daemon said of its server.
func (d *Dispatcher) heard(server *flow.ServerEntry, load courier.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.UpdateLoad(d.Clock.Now(), server.ID, load.Free, load.Wait, load.Gray)
}

func (d *Dispatcher) sent(server *flow.ServerEntry, by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if by > 0 {
		d.selector.BeginRequest(d.Clock.Now(), server.ID)
		return
	}
	d.selector.EndRequest(d.Clock.Now(), server.ID)
}

// heardRefusal learns from an offer that was not granted.
func (d *Dispatcher) heardRefusal(ctx context.Context, ex *exchange, server *flow.ServerEntry, err error) {
	var refused *courier.Refused
	if !errors.As(err, &refused) || ctx.Err() != nil || d.stopping.Err() != nil {
		return
	}
	now := d.Clock.Now()
	switch {
	case refused.Load == nil:
		d.Log.Info("daemon is out of reach", "request", ex.id, "step", string(refused.Refusal.Step), "peer", refused.Refusal.Peer,
			"server", server.ID, "cause", refused.Refusal.Detail)
		d.mu.Lock()
		if refused.Absent {
			d.selector.MarkAbsent(now, server.ID)
		} else {
			d.selector.MarkUnreachable(now, server.ID)
		}
		d.mu.Unlock()
		return
	case refused.Refusal.Reason == flow.ReasonLeaving, refused.Refusal.Reason == flow.ReasonStopping:
		d.mu.Lock()
		d.selector.MarkAbsent(now, server.ID)
		d.mu.Unlock()
		return
	}
	d.heard(server, *refused.Load)
	if ex.wait < 0 || refused.Load.Wait < ex.wait {
		ex.wait = refused.Load.Wait
	}
}

// failed classifies an attempt without an answer.
func (d *Dispatcher) failed(ctx context.Context, ex *exchange, server *flow.ServerEntry, attempt *courier.Attempt, err error) end {
	refusal, ok := flow.AsRefusal(err)
	if !ok {
		refusal = d.refusal(flow.ReasonServerFailed, stepDispatch, err.Error())
	}
	switch {
	case expirer.Expired(ctx):
		refusal = &flow.Refusal{Reason: flow.ReasonTimeout, Step: refusal.Step, Peer: refusal.Peer, Detail: "the answer did not come in time"}
	case d.ending.Err() != nil:
		refusal.Detail = "the daemon stops: " + refusal.Detail
	case ctx.Err() != nil:
		refusal.Detail = "the caller has left"
	}
	now := d.Clock.Now()
	d.mu.Lock()
	switch refusal.Reason {
	case flow.ReasonServerShed:
		d.selector.MarkShed(now, server.ID)
	case flow.ReasonLeaving:
		d.selector.MarkGone(now, server.ID)
	case flow.ReasonUnreachable:
		d.selector.MarkUnreachable(now, server.ID)
	default:
		d.selector.UpdateLoad(now, server.ID, attempt.Load.Free, attempt.Load.Wait, attempt.Load.Gray)
	}
	d.mu.Unlock()
	d.Log.Info("attempt failed", "request", ex.id, "server", server.ID, "peer", refusal.Peer, "reason", string(refusal.Reason),
		"cause", refusal.Detail, "reached", ex.reached, "left-ms", ex.deadline.Sub(now).Milliseconds())
	notRun := refusal.NotRun()
	return end{refusal: refusal, ran: !notRun, arrived: refusal.Reason != flow.ReasonUnreachable}
}

// collect reads an answer up to a bound. A longer one is passed on as it comes.
func (d *Dispatcher) collect(ctx context.Context, expiry *expirer.Expiry, ex *exchange, answer *courier.Answer) end {
	response := &http.Response{StatusCode: answer.Status, Header: answer.Header, ContentLength: answer.Length, Body: answer.Body}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	if answer.Length > answerer.BufferSize || answer.Length < 0 {
		expiry.Lift()
		response.Body = &endedBody{ReadCloser: answer.Body, end: expiry.Cancel}
		return end{response: response, ran: true, arrived: true}
	}
	content, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		refusal := d.refusal(flow.ReasonAnswerShort, stepDispatch, err.Error())
		if expirer.Expired(ctx) {
			refusal.Reason = flow.ReasonTimeout
		}
		expiry.Cancel()
		return end{refusal: refusal, ran: true, arrived: true}
	}
	expiry.Cancel()
	d.learnSize(ex.route.Name, len(content))
	response.Body = io.NopCloser(bytes.NewReader(content))
	response.ContentLength = int64(len(content))
	if answerer.NoBody(ex.request.Method, answer.Status) {
		response.Body = http.NoBody
	}
	return end{response: response, ran: true, arrived: true}
}

// learnSize keeps the mean size of a route's answers.
func (d *Dispatcher) learnSize(route string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sizes[route] += sizeWeight * (float64(size) - d.sizes[route])
}

// endedBody ends the context of an attempt with its answer.
type endedBody struct {
	io.ReadCloser
	end func()
}

// Close ends the attempt.
func (b *endedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

// -----------------------------------------------------------------------------

// count counts a request for the retry budget of its service. Which request of the
// backend server makes a call is not known, so a share of the calls counts as retries.
func (d *Dispatcher) count(ex *exchange) {
	retryShare := 0.0
	if ex.call {
		retryShare = d.RetryShare()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	budget := d.budget(ex.service)
	budget.CountRequest(now)
	if d.Random.Float64() < retryShare {
		budget.CountRetry(now)
	}
}

// budget returns this daemon's part of the budget of a service. A daemon that is
// not listed any more may still spend its own part, so the parts are cut by the
// most daemons that were ever known. It is called with the lock held.
func (d *Dispatcher) budget(service string) *retrier.Budget {
	if known := len(d.Catalog().Hosts()); known > d.daemons {
		d.daemons = known
		for _, budget := range d.budgets {
			budget.SetOptions(d.Budget(known))
		}
	}
	budget, ok := d.budgets[service]
	if !ok {
		budget = retrier.NewBudget(d.Budget(d.daemons))
		d.budgets[service] = budget
	}
	return budget
}

// mayRetry reports whether an attempt may be followed by another.
func (d *Dispatcher) mayRetry(ctx context.Context, ex *exchange, result end) bool {
	if result.response != nil && result.response.StatusCode < http.StatusInternalServerError {
		return false
	}
	now := d.Clock.Now()
	switch {
	case ctx.Err() != nil, d.stopping.Err() != nil, ex.deadline.Sub(now) < leastTime:
		return false
	case result.ran && (!ex.route.Idempotent || ex.reached >= max(ex.route.MaxAttempts, 1)):
		return false
	case !result.arrived:
		return true
	}
	d.mu.Lock()
	own := d.budget(ex.service).HasRetry(now)
	d.mu.Unlock()
	if own || d.Allowance.HasRetry(ex.service) {
		return true
	}
	d.logNoRetry(ex)
	return false
}

// drawRetry takes a retry of a request that has reached a backend server, run or not,
// out of the daemon's own part of the retry budget, and else out of the service's pool.
func (d *Dispatcher) drawRetry(ctx context.Context, ex *exchange) bool {
	d.mu.Lock()
	own := d.budget(ex.service).Withdraw(d.Clock.Now(), false)
	d.mu.Unlock()
	if own || d.Allowance.Retry(ctx, ex.service) {
		return true
	}
	d.logNoRetry(ex)
	return false
}

func (d *Dispatcher) logNoRetry(ex *exchange) {
	d.Log.Info("retry budget is used up", "request", ex.id, "service", ex.service)
}
