// The retry budget of each service: requests are counted by each daemon, and reported to the
// owner of the budget when a retry is drawn.

package supervisor

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// CountRequest implements dispatcher.Allowance.
func (a *allowance) CountRequest(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retryLedger(service).CountRequest(a.clock.Now())
}

// CountRetry implements dispatcher.Allowance.
func (a *allowance) CountRetry(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retryLedger(service).CountRetry(a.clock.Now())
}

// Retry implements dispatcher.Allowance. It requests a retry from the owner of the budget. If
// that does not answer, it takes one of the share of the requests that were not reported.
func (a *allowance) Retry(ctx context.Context, service string) bool {
	owner, _ := a.catalog().OwnerOf(retryResource(service))
	if owner == a.host {
		granted, after := a.takeRetry(service, a.takeCounts(service))
		a.noteEmptyPool(service, granted, after)
		return granted
	}
	if owner == "" || !a.mayCall(owner) {
		return a.takeUnreported(service)
	}
	var counts []ratelimiter.RetryCount
	if a.answers(owner) {
		counts = a.takeCounts(service)
	}
	answer, err := a.callOwner(ctx, owner, DrawRequest{RetryService: service, Counts: counts})
	if err != nil {
		if flow.IsNotOwner(err) || errors.Is(err, syscall.ECONNREFUSED) {
			a.returnCounts(service, counts) // the owner has certainly not recorded them
		}
		return a.takeUnreported(service)
	}
	a.noteEmptyPool(service, answer.Granted, time.Duration(answer.RetryAfterMs)*time.Millisecond)
	return answer.Granted
}

// HasRetry implements dispatcher.Allowance. It makes no call.
func (a *allowance) HasRetry(service string) bool {
	owner, _ := a.catalog().OwnerOf(retryResource(service))
	reachable := owner != "" && (owner == a.host || a.mayCall(owner))
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !reachable {
		return a.retryLedger(service).HasRetry(now)
	}
	until, empty := a.poolEmptyUntil[service]
	return !empty || !now.Before(until)
}

// answers reports whether a daemon has answered the last call. To one that has not, requests are
// not reported: they would be lost with each call.
func (a *allowance) answers(peer string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, silent := a.silent[peer]
	return !silent
}

// noteEmptyPool records until when an owner has no retry of a service.
func (a *allowance) noteEmptyPool(service string, granted bool, after time.Duration) {
	if granted {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.poolEmptyUntil[service] = a.clock.Now().Add(after)
}

// takeRetry records reported requests of a service and takes a retry from its budget. While
// this host may not use the slack, it grants a share of the requests alone.
func (a *allowance) takeRetry(service string, counts []ratelimiter.RetryCount) (granted bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	pool := a.retryPool(now, service)
	pool.Report(now, counts)
	if !a.updateClaims(now, a.catalog()) || !a.claims.Holds(retryResource(service)) {
		return pool.TakeShare(now), claimInterval
	}
	return pool.Take(now)
}

// takeCounts removes the requests that are to be reported, and the retries that were taken of
// their share.
func (a *allowance) takeCounts(service string) []ratelimiter.RetryCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryLedger(service).Take(a.clock.Now())
}

// returnCounts takes back what was not reported.
func (a *allowance) returnCounts(service string, counts []ratelimiter.RetryCount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retryLedger(service).Add(a.clock.Now(), counts)
}

// takeUnreported takes a retry of the share of the requests that were not reported.
func (a *allowance) takeUnreported(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryLedger(service).Withdraw(a.clock.Now())
}

// retryLedger returns the ledger of a service. The caller holds the mutex.
func (a *allowance) retryLedger(service string) *ratelimiter.Ledger {
	ledger, known := a.retryLedgers[service]
	if !known {
		ledger = ratelimiter.NewLedger(a.retries)
		a.retryLedgers[service] = ledger
	}
	return ledger
}

// retryPool returns the retry pool of a service. The caller holds the mutex.
func (a *allowance) retryPool(now flow.Time, service string) *ratelimiter.RetryPool {
	pool, known := a.retryPools[service]
	if !known {
		pool = ratelimiter.NewRetryPool(now, a.retries, 0)
		a.retryPools[service] = pool
	}
	return pool
}

// sweepRetries forgets services that are no longer listed. The caller holds the mutex.
func (a *allowance) sweepRetries(now flow.Time) {
	services := a.catalog().Services()
	unlisted := func(service string) bool { return services[service] == nil }
	maps.DeleteFunc(a.retryPools, func(service string, _ *ratelimiter.RetryPool) bool { return unlisted(service) })
	maps.DeleteFunc(a.retryLedgers, func(service string, _ *ratelimiter.Ledger) bool { return unlisted(service) })
	maps.DeleteFunc(a.poolEmptyUntil, func(_ string, until flow.Time) bool { return now.After(until) })
}
