package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// minTimeLeft is the minimum time until the deadline for another offer or
	// attempt.
	minTimeLeft = 30 * time.Millisecond
	// largeResponseSize is the mean size of a route's responses, in bytes, above
	// which it is better to wait a little for a server of the own zone than to
	// transfer the response from another zone.
	largeResponseSize = 24 << 10
	// responseSizeWeight is the weight of a new response in that mean.
	responseSizeWeight = 0.3
)

// attemptResult is the result of one attempt. Exactly one of response and refusal
// is set.
type attemptResult struct {
	response      *http.Response // of any status
	refusal       *flow.Refusal  // set if there is no response
	mayHaveRun    bool           // the request may have run
	reachedServer bool           // the request reached the backend server, whether or not it ran
}

// dispatch makes attempts at the request until one succeeds or no further attempt
// is allowed.
func (d *Dispatcher) dispatch(ctx context.Context, ex *exchange) *flow.Refusal {
	d.countRequest(ex)
	if refusal := d.refuseEarly(ex); refusal != nil {
		return refusal
	}
	tried := map[string]bool{}
	var last attemptResult // result of the last attempt
	for {
		result, attempted := d.attemptOnce(ctx, ex, tried)
		if !attempted {
			break
		}
		discard(last.response)
		last = result
		ex.isRetry = ex.isRetry || result.reachedServer
		if !d.mayRetry(ctx, ex, result) {
			break
		}
	}
	if last.response != nil {
		ex.response = last.response
		return nil
	}
	if last.refusal != nil {
		return last.refusal
	}
	if ctx.Err() != nil {
		return d.newRefusal(flow.ReasonCancelled, stepDispatch, "the caller has left")
	}
	if d.stopped.Err() != nil {
		return d.newRefusal(flow.ReasonStopping, stepDispatch, "the daemon stops before the request has a slot")
	}
	return d.noServerRefusal(ex)
}

func discard(response *http.Response) {
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
}

// attemptOnce finds a server with a free slot and runs the request there. It returns
// false if no server accepts the request, or if the request has reached a server
// before and the retry budget is used up.
func (d *Dispatcher) attemptOnce(ctx context.Context, ex *exchange, tried map[string]bool) (attemptResult, bool) {
	attempt, server := d.findSlot(ctx, ex, tried)
	if attempt == nil {
		return attemptResult{}, false
	}
	// The retry is taken only now that there is a slot, because during an overload
	// most searches find none.
	if ex.isRetry && !d.takeRetry(ctx, ex) {
		attempt.Abandon()
		d.countInFlight(server, -1)
		return attemptResult{}, false
	}
	ex.lastServer = server.ID
	result := d.run(ctx, ex, server, attempt)
	tried[server.ID] = true
	if result.mayHaveRun {
		ex.possibleRuns++
	}
	return result, true
}

// findSlot makes the offers of a plan. It then makes new plans, with the load that
// the daemons reported meanwhile, as long as they hold offers not made before. It
// returns nil if no server grants a slot.
func (d *Dispatcher) findSlot(ctx context.Context, ex *exchange, tried map[string]bool) (*transporter.Attempt, *flow.ServerEntry) {
	search := selector.Search{Repeatable: ex.repeatable()}
	for {
		plan := d.plan(ex, tried)
		if !search.RecordPlan(plan) {
			return nil, nil
		}
		attempt, server := d.offerInTurn(ctx, ex, plan)
		if attempt == nil {
			continue
		}
		if d.mayGoTo(ex, server) {
			return attempt, server
		}
		// The allowed regions have changed since the offer.
		attempt.Abandon()
		d.countInFlight(server, -1)
	}
}

// repeatable reports whether the request may run on a server that is suspected of
// failing.
func (ex *exchange) repeatable() bool {
	return selector.Repeatable(ex.route.Idempotent, ex.route.MaxAttempts, ex.possibleRuns)
}

// isLastRun reports whether no further attempt may follow one that may have run.
func (ex *exchange) isLastRun() bool {
	return !ex.route.Idempotent || ex.possibleRuns+1 >= max(ex.route.MaxAttempts, 1)
}

// plan returns the offers to make, in order.
func (d *Dispatcher) plan(ex *exchange, tried map[string]bool) []selector.Offer {
	catalog := d.Catalog()
	var candidates []selector.Candidate
	allowed, _ := d.allowedServers(ex, catalog)
	for _, server := range allowed {
		candidates = append(candidates, selector.Candidate{Server: server, SameZone: server.Zone == d.Zone})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	return d.selector.Plan(now, selector.Query{
		Candidates:      candidates,
		Tried:           tried,
		Repeatable:      ex.repeatable(),
		RetryBudgetLeft: d.retryBudget(ex.service).HasRetry(now),
		LargeResponse:   d.responseSizes[ex.route.Name] > largeResponseSize,
	})
}

// run runs the request on a server that granted it a slot.
func (d *Dispatcher) run(ctx context.Context, ex *exchange, server *flow.ServerEntry, attempt *transporter.Attempt) attemptResult {
	parent := ctx
	if !ex.route.Idempotent {
		// The request may already have had an effect, so it runs to its end even
		// if the caller disconnects.
		parent = context.WithoutCancel(ctx)
	}
	runCtx, expiry := d.withDeadline(parent, ex)
	defer context.AfterFunc(d.aborted, expiry.Cancel)()
	attempt.SetContext(runCtx)
	attempt.Patient = ex.isLastRun()
	answer, err := attempt.Run(runCtx, d.newRequest(ex))
	if err != nil {
		d.countInFlight(server, -1)
		result := d.recordFailure(runCtx, ex, server, attempt, err)
		expiry.Cancel()
		return result
	}
	d.updateLoad(server, attempt.Load)
	result := d.readResponse(runCtx, expiry, ex, answer)
	d.countInFlight(server, -1)
	return result
}

func (d *Dispatcher) newOffer(ex *exchange, offer selector.Offer) *transporter.Offer {
	now := d.Clock.Now()
	customer := ""
	if ex.customer != nil {
		customer = ex.customer.Name
	}
	return &transporter.Offer{
		ID:           ex.id,
		Server:       offer.Server.ID,
		Route:        ex.route.Name,
		Customer:     customer,
		Call:         ex.isCall,
		Priority:     d.priority(ex),
		Urgency:      ex.route.Priority,
		MayWait:      offer.MayWait,
		Repeatable:   ex.repeatable(),
		IsRetry:      ex.isRetry,
		Trial:        offer.Trial,
		Forced:       offer.Forced,
		TimeToTarget: ex.started.Add(ex.route.TargetLatency).Sub(now),
		TimeLeft:     ex.deadline.Sub(now),
	}
}

func (d *Dispatcher) newRequest(ex *exchange) *transporter.Request {
	return &transporter.Request{
		Method: ex.request.Method,
		Target: ex.request.URL.RequestURI(),
		Host:   ex.request.Host,
		Header: d.forwardedHeader(ex.request),
		Caller: d.Service(),
		Body:   ex.body,
	}
}

// updateLoad records the load that a daemon reported for its server.
func (d *Dispatcher) updateLoad(server *flow.ServerEntry, load transporter.Load) {
	d.updateSelector(func(s *selector.Selector) {
		now := d.Clock.Now()
		s.UpdateLoad(now, server.ID, load)
		d.refuser.Report(now, server.ID, load)
	})
}

// updateSelector changes the selector while it holds the lock.
func (d *Dispatcher) updateSelector(change func(*selector.Selector)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.selector)
}

// countInFlight counts an offer or a request to a server as in flight if delta is
// positive, and ends that otherwise.
func (d *Dispatcher) countInFlight(server *flow.ServerEntry, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if delta > 0 {
		d.selector.BeginRequest(d.Clock.Now(), server.ID)
		return
	}
	d.selector.EndRequest(d.Clock.Now(), server.ID)
}

// recordRefusedOffer updates the selector after an offer that was not granted.
func (d *Dispatcher) recordRefusedOffer(ctx context.Context, ex *exchange, server *flow.ServerEntry, err error) {
	var refused *transporter.RefusedError
	if !errors.As(err, &refused) || ctx.Err() != nil || d.stopped.Err() != nil {
		return
	}
	now := d.Clock.Now()
	switch {
	case refused.Load == nil:
		d.Log.Info("daemon is out of reach", "request", ex.id, "step", string(refused.Refusal.Step), "peer", refused.Refusal.Peer,
			"server", server.ID, "cause", refused.Refusal.Detail)
		d.updateSelector(func(s *selector.Selector) {
			if refused.Absent {
				s.MarkAbsent(now, server.ID)
			} else {
				s.MarkUnreachable(now, server.ID)
			}
		})
		return
	case refused.Refusal.Reason == flow.ReasonLeaving, refused.Refusal.Reason == flow.ReasonStopping:
		d.updateSelector(func(s *selector.Selector) { s.MarkAbsent(now, server.ID) })
		return
	}
	d.updateLoad(server, *refused.Load)
	if ex.retryAfter < 0 || refused.Load.QueueWait < ex.retryAfter {
		ex.retryAfter = refused.Load.QueueWait
	}
}

// recordFailure returns the result of an attempt without a response, and updates
// the selector.
func (d *Dispatcher) recordFailure(ctx context.Context, ex *exchange, server *flow.ServerEntry, attempt *transporter.Attempt, err error) attemptResult {
	refusal, ok := flow.AsRefusal(err)
	if !ok {
		refusal = d.newRefusal(flow.ReasonServerFailed, stepDispatch, err.Error())
	}
	switch {
	case expirer.Expired(ctx):
		refusal = &flow.Refusal{Reason: flow.ReasonTimeout, Step: refusal.Step, Peer: refusal.Peer, Detail: "the answer did not come in time"}
	case d.aborted.Err() != nil:
		refusal.Detail = "the daemon stops: " + refusal.Detail
	case ctx.Err() != nil:
		refusal.Detail = "the caller has left"
	}
	now := d.Clock.Now()
	d.updateSelector(func(s *selector.Selector) {
		switch refusal.Reason {
		case flow.ReasonServerShed:
			s.MarkShed(now, server.ID)
		case flow.ReasonLeaving:
			s.MarkGone(now, server.ID)
		case flow.ReasonUnreachable:
			s.MarkUnreachable(now, server.ID)
		default:
			s.UpdateLoad(now, server.ID, attempt.Load)
		}
	})
	d.Log.Info("attempt failed", "request", ex.id, "server", server.ID, "peer", refusal.Peer, "reason", string(refusal.Reason),
		"cause", refusal.Detail, "reached", ex.possibleRuns, "left-ms", ex.deadline.Sub(now).Milliseconds())
	notRun := refusal.NotRun()
	return attemptResult{refusal: refusal, mayHaveRun: !notRun, reachedServer: refusal.Reason != flow.ReasonUnreachable && refusal.Reason != flow.ReasonRegionUnavailable}
}

// readResponse reads a response up to responder.BufferLimit. A longer one, or one of
// unknown length, is streamed.
func (d *Dispatcher) readResponse(ctx context.Context, expiry *expirer.Expiry, ex *exchange, answer *transporter.Answer) attemptResult {
	response := &http.Response{StatusCode: answer.Status, Header: answer.Header, ContentLength: answer.Length, Body: answer.Body}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	if answer.Length > responder.BufferLimit || answer.Length < 0 {
		expiry.RemoveDeadline()
		response.Body = &cancelingBody{ReadCloser: answer.Body, cancel: expiry.Cancel}
		return attemptResult{response: response, mayHaveRun: true, reachedServer: true}
	}
	content, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		refusal := d.newRefusal(flow.ReasonAnswerShort, stepDispatch, err.Error())
		if expirer.Expired(ctx) {
			refusal.Reason = flow.ReasonTimeout
		}
		expiry.Cancel()
		return attemptResult{refusal: refusal, mayHaveRun: true, reachedServer: true}
	}
	expiry.Cancel()
	d.recordResponseSize(ex.route.Name, len(content))
	response.Body = io.NopCloser(bytes.NewReader(content))
	response.ContentLength = int64(len(content))
	if responder.HasNoBody(ex.request.Method, answer.Status) {
		response.Body = http.NoBody
	}
	return attemptResult{response: response, mayHaveRun: true, reachedServer: true}
}

// recordResponseSize updates the moving average of the size of a route's responses.
func (d *Dispatcher) recordResponseSize(route string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responseSizes[route] += responseSizeWeight * (float64(size) - d.responseSizes[route])
}

// cancelingBody is a response body whose Close cancels the context of its attempt.
type cancelingBody struct {
	io.ReadCloser
	cancel func()
}

// Close cancels the attempt's context and closes the body.
func (b *cancelingBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// countRequest counts a request for the retry budget of its service. It is not known
// which request on the backend server makes a call, so a random share of the calls,
// equal to the server's share of retries, is counted as retries.
func (d *Dispatcher) countRequest(ex *exchange) {
	retryShare := 0.0
	if ex.isCall {
		retryShare = d.RetryShare()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	budget := d.retryBudget(ex.service)
	budget.CountRequest(now)
	if d.Random.Float64() < retryShare {
		budget.CountRetry(now)
	}
}

// retryBudget returns this daemon's part of the retry budget of a service. A daemon
// that is no longer listed may still spend its part, so the budget is divided by the
// maximum number of daemons ever known. The caller must hold the lock.
func (d *Dispatcher) retryBudget(service string) *retrier.Budget {
	if known := len(d.Catalog().Hosts()); known > d.maxDaemons {
		d.maxDaemons = known
		for _, budget := range d.retryBudgets {
			budget.SetOptions(d.RetryBudget(known))
		}
	}
	budget, ok := d.retryBudgets[service]
	if !ok {
		budget = retrier.NewBudget(d.RetryBudget(d.maxDaemons))
		d.retryBudgets[service] = budget
	}
	return budget
}

// mayRetry reports whether another attempt may follow an attempt.
func (d *Dispatcher) mayRetry(ctx context.Context, ex *exchange, result attemptResult) bool {
	if result.response != nil && result.response.StatusCode < http.StatusInternalServerError {
		return false
	}
	now := d.Clock.Now()
	switch {
	case ctx.Err() != nil, d.stopped.Err() != nil, ex.deadline.Sub(now) < minTimeLeft:
		return false
	case result.mayHaveRun && (!ex.route.Idempotent || ex.possibleRuns >= max(ex.route.MaxAttempts, 1)):
		return false
	case !result.reachedServer:
		return true
	}
	if d.hasOwnRetry(ex.service, now) || d.Allowance.HasRetry(ex.service) {
		return true
	}
	d.logBudgetExhausted(ex)
	return false
}

// takeRetry takes a retry from the daemon's own part of the retry budget or, if that is
// used up, from the pool of the service. Every further attempt at a request that has
// reached a backend server needs one, whether or not it ran there.
func (d *Dispatcher) takeRetry(ctx context.Context, ex *exchange) bool {
	if d.takeOwnRetry(ex.service) || d.Allowance.Retry(ctx, ex.service) {
		return true
	}
	d.logBudgetExhausted(ex)
	return false
}

// hasOwnRetry reports whether a retry is left in this daemon's own part of a budget.
func (d *Dispatcher) hasOwnRetry(service string, now flow.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(service).HasRetry(now)
}

// takeOwnRetry takes a retry from that part, if one is left.
func (d *Dispatcher) takeOwnRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudget(service).Withdraw(d.Clock.Now(), false)
}

func (d *Dispatcher) logBudgetExhausted(ex *exchange) {
	d.Log.Info("retry budget is used up", "request", ex.id, "service", ex.service)
}
