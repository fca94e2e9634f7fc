// The step that repeats attempts.

package receiver

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// NewRetrier returns the step that repeats an attempt at another backend server
// when package retrier says so. An error status of the backend server counts as
// a failure when the request is idempotent; the last such answer is passed on.
func NewRetrier(parts *Parts) endpoint.Middleware {
	budgets := &budgets{services: map[string]*budget{}}
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			budgets.request(parts.Clock.Now(), call)
			var last outcome
			for {
				response, err := next(ctx, request)
				last = last.then(outcome{response, err})
				reason, failed := failureOf(call, response, err)
				if !failed || call.Attempts == 0 || ctx.Err() != nil {
					return last.response, last.err
				}
				gaveUp := budgets.decide(parts.Clock.Now(), call, parts.failure(call, reason))
				if gaveUp != retrier.GiveUpNone {
					parts.Log.V(1).Info("attempt not repeated", "step", "retry", "request", call.ID, "reason", string(reason), "cause", string(gaveUp))
					return last.response, last.err
				}
			}
		}
	}
}

// outcome is how an attempt ended.
type outcome struct {
	response any
	err      error
}

// then returns what to tell the caller after a later attempt: how that one
// ended, unless it certainly did not run and an earlier one may have.
func (o outcome) then(later outcome) outcome {
	if refusal, ok := flow.AsRefusal(later.err); ok && refusal.NotRun() && o.mayHaveRun() {
		return o
	}
	if answer, ok := o.response.(*answerer.Answer); ok && answer != nil {
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

// failureOf returns why an attempt failed, if it did.
func failureOf(call *Call, response any, err error) (flow.Reason, bool) {
	if err != nil {
		refusal, ok := flow.AsRefusal(err)
		if !ok {
			return "", false
		}
		return refusal.Reason, true
	}
	answer := response.(*answerer.Answer)
	if call.Idempotent && answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusNotImplemented {
		return flow.ReasonServerFailed, true
	}
	return "", false
}

func (p *Parts) failure(call *Call, reason flow.Reason) retrier.Failure {
	return retrier.Failure{
		Reason:         reason,
		Idempotent:     call.Idempotent,
		Attempts:       call.Attempts,
		MaxAttempts:    p.Attempts,
		TimeLeft:       call.Deadline.Sub(p.Clock.Now()),
		UntriedServers: untried(call),
	}
}

// untried counts the backend servers that take new work and were not tried.
func untried(call *Call) int {
	count := 0
	for _, entry := range call.Snapshot.Index.Servers(call.Route.Service) {
		if entry.AcceptsNewRequests() && !slices.Contains(call.Tried, entry.Server.Name) {
			count++
		}
	}
	return count
}

// -----------------------------------------------------------------------------

// budgets are the retry budgets of all services. They are safe for use by many
// goroutines.
type budgets struct {
	mu       sync.Mutex
	services map[string]*budget
}

// budget is the budget of a service and the share that it was made for.
type budget struct {
	share  float64
	budget *retrier.SharedBudget
}

// request counts the first attempt of a request.
func (b *budgets) request(now flow.Time, call *Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(call).CountRequest(now, call.Customer)
}

// decide returns why an attempt is not repeated, if so.
func (b *budgets) decide(now flow.Time, call *Call, failure retrier.Failure) retrier.GiveUp {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.of(call)
	return retrier.Decide(now, failure, func(now flow.Time, cheap bool) bool {
		return budget.Withdraw(now, call.Customer, cheap)
	})
}

// of returns the budget of the call's service. The caller holds the lock.
func (b *budgets) of(call *Call) *retrier.SharedBudget {
	share := 0.0
	if service, ok := call.Snapshot.Index.Service(call.Route.Service); ok {
		share = service.RetryBudget
	}
	known, ok := b.services[call.Route.Service]
	if !ok || known.share != share {
		known = &budget{share: share, budget: retrier.NewSharedBudget(retrier.Options{Share: share})}
		b.services[call.Route.Service] = known
	}
	return known.budget
}
