package receiver

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewRetrier returns the step that retries a failed attempt at another backend
// server if package retrier allows it. A 5xx status other than 501 counts as a
// failure if the request is idempotent. When retries end, the last such
// response is passed on.
func NewRetrier(parts *Parts) endpoint.Middleware {
	budgets := &retryBudgets{services: map[string]*serviceBudget{}}
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			budgets.countRequest(parts.Clock.Now(), exchange)
			var last outcome // the one to report so far
			for {
				response, err := next(ctx, request)
				last = last.supersededBy(outcome{response, err})
				reason, failed := failureReason(exchange, response, err)
				if !failed || exchange.Attempts == 0 || ctx.Err() != nil {
					return last.response, parts.refusalForCaller(last.err)
				}
				giveUp := budgets.decideRetry(parts.Clock.Now(), exchange, parts.newFailure(exchange, reason))
				if giveUp != retrier.GiveUpNone {
					parts.Log.V(1).Info("failed attempt is not retried", "step", "retry", "request", exchange.ID, "reason", string(reason), "cause", string(giveUp))
					return last.response, parts.refusalForCaller(last.err)
				}
			}
		}
	}
}

// refusalForCaller returns the error to report to the caller. The state of another
// daemon, that it is stopping or holds no lease, is not the state of this one: a caller
// that is told of it leaves this daemon for another.
func (p *Parts) refusalForCaller(err error) error {
	refusal, ok := flow.AsRefusal(err)
	if !ok || refusal.Peer == p.Host {
		return err
	}
	switch refusal.Reason {
	case flow.ReasonStopping, flow.ReasonNoLease, flow.ReasonZoneOut:
		return &flow.Refusal{
			Reason: flow.ReasonNoCapacity, Step: refusal.Step, Peer: refusal.Peer,
			Detail: string(refusal.Reason) + ": " + refusal.Detail, RetryAfter: refusal.RetryAfter,
		}
	}
	return err
}

// outcome is the result of an attempt.
type outcome struct {
	response any
	err      error
}

// supersededBy returns the outcome to report to the caller after a later
// attempt: the later one, unless that attempt certainly did not run and an
// earlier one may have run. A response that is superseded is closed.
func (o outcome) supersededBy(later outcome) outcome {
	if refusal, ok := flow.AsRefusal(later.err); ok && refusal.NotRun() && o.mayHaveRun() {
		return o
	}
	if answer, ok := o.response.(*responder.Response); ok && answer != nil {
		answer.Close()
	}
	return later
}

// mayHaveRun reports whether a backend server may have run the attempt.
func (o outcome) mayHaveRun() bool {
	if o.err == nil {
		return o.response != nil
	}
	refusal, ok := flow.AsRefusal(o.err)
	return !ok || !refusal.NotRun()
}

// failureReason returns the reason why an attempt failed, and whether it
// failed.
func failureReason(exchange *Exchange, response any, err error) (flow.Reason, bool) {
	if err != nil {
		refusal, ok := flow.AsRefusal(err)
		if !ok {
			return "", false
		}
		return refusal.Reason, true
	}
	answer := response.(*responder.Response)
	if exchange.Idempotent && answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusNotImplemented {
		return flow.ReasonServerFailed, true
	}
	return "", false
}

func (p *Parts) newFailure(exchange *Exchange, reason flow.Reason) retrier.Failure {
	return retrier.Failure{
		Reason:         reason,
		Idempotent:     exchange.Idempotent,
		Attempts:       exchange.Attempts,
		MaxAttempts:    p.MaxAttempts,
		TimeLeft:       exchange.Deadline.Sub(p.Clock.Now()),
		UntriedServers: countUntriedServers(exchange),
	}
}

// countUntriedServers returns the number of backend servers that accept new requests
// and were not tried yet.
func countUntriedServers(exchange *Exchange) int {
	count := 0
	for _, entry := range exchange.Snapshot.Index.Servers(exchange.Route.Service) {
		if entry.AcceptsNewRequests() && !slices.Contains(exchange.Tried, entry.Server.Name) {
			count++
		}
	}
	return count
}

// retryBudgets are the retry budgets of all services. They are safe for
// concurrent use.
type retryBudgets struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget is the retry budget of a service, with the configured share
// that it was created for.
type serviceBudget struct {
	share  float64
	budget *retrier.SharedBudget
}

// countRequest counts a new request towards the budget.
func (b *retryBudgets) countRequest(now flow.Time, exchange *Exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(exchange).CountRequest(now, exchange.Customer)
}

// decideRetry returns why a failed attempt is not retried, or
// retrier.GiveUpNone if it is.
func (b *retryBudgets) decideRetry(now flow.Time, exchange *Exchange, failure retrier.Failure) retrier.GiveUp {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgetOf(exchange)
	return retrier.Decide(now, failure, func(now flow.Time, notRun bool) bool {
		return budget.Withdraw(now, exchange.Customer, notRun)
	})
}

// budgetOf returns the budget of the request's service, and replaces it if the
// configured share has changed. The mutex must be held.
func (b *retryBudgets) budgetOf(exchange *Exchange) *retrier.SharedBudget {
	share := 0.0
	if service, ok := exchange.Snapshot.Index.Service(exchange.Route.Service); ok {
		share = service.RetryBudget
	}
	known, ok := b.services[exchange.Route.Service]
	if !ok || known.share != share {
		known = &serviceBudget{share: share, budget: retrier.NewSharedBudget(retrier.Options{Share: share})}
		b.services[exchange.Route.Service] = known
	}
	return known.budget
}
