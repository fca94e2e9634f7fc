package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
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
	// sizeWeight is the weight of a new response or body in the mean size of a route.
	sizeWeight = 0.3
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
	if refusal := d.countRequest(ex); refusal != nil {
		return refusal
	}
	d.recordSize(d.bodySizes, ex.route.Name, ex.body.Len())
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
		if refusal := d.checkStatus(ex, last.response); refusal != nil {
			discard(last.response)
			return refusal
		}
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
	d.reportLimit(ex, server, attempt.Load)
	result := d.runUntilAnswered(ctx, ex, server, attempt, tried)
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
		plan := d.plan(ex, tried, &search)
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

// plan returns the offers to make, in order. The search has the offers made before.
func (d *Dispatcher) plan(ex *exchange, tried map[string]bool, search *selector.Search) []selector.Offer {
	catalog := d.Catalog()
	var candidates []selector.Candidate
	allowed, _ := d.allowedServers(ex, catalog)
	region := catalog.RegionOf(d.Zone)
	for _, server := range allowed {
		candidates = append(candidates, selector.Candidate{Server: server, SameZone: server.Zone == d.Zone, OtherRegion: catalog.RegionOf(server.Zone) != region})
	}
	hasRetry := d.Allowance.HasRetry(ex.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	before := d.selector.Spilling(ex.service)
	plan := d.selector.Plan(now, selector.Query{
		Candidates:      candidates,
		Tried:           tried,
		Repeatable:      ex.repeatable(),
		RetryBudgetLeft: hasRetry,
		LargeResponse:   d.responseSizes[ex.route.Name] > largeResponseSize,
		Bytes:           d.bodySizes[ex.route.Name] + d.responseSizes[ex.route.Name],
		Search:          search,
	})
	if spilling := d.selector.Spilling(ex.service); spilling != before {
		d.Log.Info("choice between regions changed", "service", ex.service, "spilling", spilling)
	}
	return plan
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
	if catalog := d.Catalog(); catalog.RegionOf(server.Zone) != catalog.RegionOf(d.Zone) {
		d.Observer.SentToRegion(catalog.RegionOf(server.Zone))
	}
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
		OverdueAfter: d.knownLimit(ex, offer),
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
		Pieces: ex.body,
	}
}

// updateLoad records the load that a daemon reported for its server.
func (d *Dispatcher) updateLoad(server *flow.ServerEntry, load transporter.Load) {
	d.updateSelector(func(s *selector.Selector) {
		s.UpdateLoad(d.Clock.Now(), server.ID, load)
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
	case errors.Is(context.Cause(ctx), errOvertaken):
		// What the daemon reported at the grant is older than what is known of the server since.
		return attemptResult{refusal: &flow.Refusal{Reason: refusal.Reason, Step: refusal.Step, Peer: refusal.Peer, Detail: errOvertaken.Error()}, mayHaveRun: true, reachedServer: true}
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

// readResponse reads a response up to responder.BufferLimit. A longer one, one of unknown
// length, or one that finds no room in the budget, is streamed. One of unknown length may
// have no end, so it keeps the deadline of its request.
func (d *Dispatcher) readResponse(ctx context.Context, expiry *expirer.Expiry, ex *exchange, answer *transporter.Answer) attemptResult {
	response := &http.Response{StatusCode: answer.Status, Header: answer.Header, ContentLength: answer.Length, Body: answer.Body}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	if err := validator.CheckFields(answer.Status, answer.Header); err != nil {
		// A daemon of an earlier version passes such a response on.
		_ = answer.Body.Close()
		expiry.Cancel()
		return attemptResult{refusal: d.newRefusal(flow.ReasonAnswerMalformed, stepDispatch, err.Error()), mayHaveRun: true, reachedServer: true}
	}
	if answer.Length > responder.BufferLimit || answer.Length < 0 || !d.Budget.Take(answer.Length, true) {
		if answer.Length >= 0 {
			if d.Catalog().HasRegions() {
				d.recordSize(d.responseSizes, ex.route.Name, answer.Length)
			}
			expiry.RemoveDeadline()
		}
		response.Body = &cancelingBody{ReadCloser: answer.Body, cancel: expiry.Cancel}
		return attemptResult{response: response, mayHaveRun: true, reachedServer: true}
	}
	content, err := readWhole(answer)
	_ = answer.Body.Close()
	if err != nil {
		d.Budget.Release(answer.Length)
		refusal := d.newRefusal(flow.ReasonAnswerShort, stepDispatch, err.Error())
		if expirer.Expired(ctx) {
			refusal.Reason = flow.ReasonTimeout
		}
		expiry.Cancel()
		return attemptResult{refusal: refusal, mayHaveRun: true, reachedServer: true}
	}
	expiry.Cancel()
	d.recordSize(d.responseSizes, ex.route.Name, int64(len(content)))
	response.Body = d.Budget.Hold(content, answer.Length)
	response.ContentLength = int64(len(content))
	if responder.HasNoBody(ex.request.Method, answer.Status) {
		_ = response.Body.Close()
		response.Body = http.NoBody
	}
	return attemptResult{response: response, mayHaveRun: true, reachedServer: true}
}

// readWhole reads the body of a response of known length, in a buffer of that length.
func readWhole(answer *transporter.Answer) ([]byte, error) {
	content := make([]byte, answer.Length)
	if _, err := io.ReadFull(answer.Body, content); err != nil {
		return nil, err
	}
	if n, err := answer.Body.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return content, nil
}

// recordSize updates the moving average of a route's sizes of bodies or responses.
func (d *Dispatcher) recordSize(sizes map[string]float64, route string, size int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sizes[route] += sizeWeight * (float64(size) - sizes[route])
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

// countRequest counts a request for the retry budget of its service. Calls of the host's backend
// server add nothing to the budget, and count as retries if a retry may have made them. Such a
// call is refused if the budget is used up.
func (d *Dispatcher) countRequest(ex *exchange) *flow.Refusal {
	if !ex.isCall {
		d.Allowance.CountRequest(ex.service)
		return nil
	}
	charge, run := d.Charger.ChargeCall(ex.service)
	switch charge {
	case retrier.ChargeRetry:
		if !d.Allowance.HasRetry(ex.service) {
			d.Charger.CallRefused(run, ex.service)
			d.logBudgetExhausted(ex)
			return d.newRefusal(flow.ReasonNoCapacity, stepDispatch, "a retry may have made the call, and the retry budget is used up")
		}
		ex.isRetry = true
	case retrier.ChargeLater:
		d.Allowance.CountRetry(ex.service)
	case retrier.ChargeNone:
	}
	return nil
}

// recordOutage records whether a backend server turned a request away.
func (d *Dispatcher) recordOutage(service string, result attemptResult, load transporter.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	outage, ok := d.outages[service]
	if !ok {
		outage = &retrier.Outage{}
		d.outages[service] = outage
	}
	switch {
	case result.refusal != nil && result.refusal.Reason == flow.ReasonServerShed:
		outage.TurnedAway(d.Clock.Now(), load.DrainTime)
	case result.mayHaveRun:
		outage.Answered()
	}
}

// outageWait returns the time until a service that turns requests away is likely to take them.
func (d *Dispatcher) outageWait(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if outage, ok := d.outages[service]; ok {
		return outage.RetryAfter(d.Clock.Now())
	}
	return 0
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
	if d.Allowance.HasRetry(ex.service) {
		return true
	}
	d.logBudgetExhausted(ex)
	return false
}

// takeRetry takes a retry from the budget of the service. Every further attempt at a
// request that has reached a backend server needs one, whether or not it ran there.
func (d *Dispatcher) takeRetry(ctx context.Context, ex *exchange) bool {
	granted := d.Allowance.Retry(ctx, ex.service)
	d.Observer.Retried(ex.service, granted)
	if granted {
		return true
	}
	d.logBudgetExhausted(ex)
	return false
}

func (d *Dispatcher) logBudgetExhausted(ex *exchange) {
	d.Log.Info("retry budget is used up", "request", ex.id, "service", ex.service)
}
