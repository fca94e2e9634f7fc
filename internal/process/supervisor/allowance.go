// Rates and retries that all daemons share: token buckets kept by one owner host
// each, and the calls to these owners.

package supervisor

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// ownerTimeout bounds a call to an owner or a deputy, which answers within
	// one round trip.
	ownerTimeout = 120 * time.Millisecond
	// ownerBackoff is how long an owner or a deputy that did not answer is not
	// called again.
	ownerBackoff = time.Second
)

type allowanceParts struct {
	host      string
	peerPort  string
	overage   float64          // tolerated excess over a rate, as a share of it
	slack     float64          // tolerated excess in requests, on top of that share
	retryRate ratelimiter.Rate // of the retry pool of each service
	dialer    *dialer.Dialer
	clock     flow.Clock
	catalog   func() *cataloger.Catalog
	log       logr.Logger
}

// allowance implements dispatcher.Allowance. It keeps the token buckets that
// this host owns, and requests tokens of the others from their owners. The mutex
// guards all buckets and maps.
type allowance struct {
	allowanceParts

	mu             sync.Mutex
	ownedBuckets   *ratelimiter.Buckets
	deputyBuckets  *ratelimiter.Buckets // as deputy of owners that other daemons cannot reach
	localBuckets   *ratelimiter.Buckets // of this daemon alone, when it reaches neither owner nor deputy
	retryPools     *ratelimiter.Buckets // by service
	backoffUntil   map[string]flow.Time // by host: daemons that did not answer and are not called before this time
	poolEmptyUntil map[string]flow.Time // services whose retry pool is empty until this time, as its owner said
}

func newAllowance(parts allowanceParts) *allowance {
	return &allowance{
		allowanceParts: parts,
		ownedBuckets:   ratelimiter.NewBuckets(),
		deputyBuckets:  ratelimiter.NewBuckets(),
		localBuckets:   ratelimiter.NewBuckets(),
		retryPools:     ratelimiter.NewBuckets(),
		backoffUntil:   map[string]flow.Time{},
		poolEmptyUntil: map[string]flow.Time{},
	}
}

// DrawRequest requests one token of a customer's rate, or of a service's retry
// pool, from the owner.
type DrawRequest struct {
	Customer     string `msgpack:"c"`
	Deputy       bool   `msgpack:"d,omitempty"` // the receiver grants as deputy, because the owner did not answer
	RetryService string `msgpack:"r,omitempty"` // set instead of Customer: the service whose retry pool is drawn on
}

// DrawAnswer says whether a token was granted, and otherwise after how many
// milliseconds one will be available.
type DrawAnswer struct {
	Granted      bool  `msgpack:"g"`
	RetryAfterMs int64 `msgpack:"r"`
}

// Take implements dispatcher.Allowance. It requests a token from the owner, then
// from the deputy, and if neither answers draws on a small bucket of this daemon
// alone.
func (a *allowance) Take(ctx context.Context, customer *flow.CustomerRule) (bool, time.Duration) {
	catalog := a.catalog()
	owner, deputy := catalog.OwnerOf(customer.Name)
	if owner == a.host || owner == "" {
		return a.takeAsOwner(customer)
	}
	if granted, after, ok := a.requestToken(ctx, owner, DrawRequest{Customer: customer.Name}); ok {
		return granted, after
	}
	if deputy == a.host {
		return a.takeAsDeputy(customer)
	}
	if deputy != "" {
		if granted, after, ok := a.requestToken(ctx, deputy, DrawRequest{Customer: customer.Name, Deputy: true}); ok {
			return granted, after
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := ratelimiter.StandaloneRate(rateOf(customer), a.overage, a.slack, len(catalog.Hosts()))
	now := a.clock.Now()
	a.localBuckets.Ensure(now, customer.Name, rate, rate.Burst)
	return a.localBuckets.Take(now, customer.Name, rate)
}

func rateOf(customer *flow.CustomerRule) ratelimiter.Rate {
	return ratelimiter.Rate{PerSecond: customer.PerSecond, Burst: customer.Burst}
}

// requestToken requests a token from another daemon. ok is false when the daemon
// did not answer or is still in backoff.
func (a *allowance) requestToken(ctx context.Context, peer string, request DrawRequest) (granted bool, after time.Duration, ok bool) {
	if !a.mayCall(peer) {
		return false, 0, false
	}
	callContext, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var answer DrawAnswer
	if err := a.dialer.Call(callContext, peer+":"+a.peerPort, messenger.CallDraw, request, &answer); err != nil {
		a.backOff(ctx, peer, request.Customer+request.RetryService, err)
		return false, 0, false
	}
	return answer.Granted, time.Duration(answer.RetryAfterMs) * time.Millisecond, true
}

// takeAsDeputy takes a token of a customer whose owner the requesting daemon
// cannot reach.
func (a *allowance) takeAsDeputy(customer *flow.CustomerRule) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := ratelimiter.DeputyRate(rateOf(customer), a.overage, a.slack)
	now := a.clock.Now()
	a.deputyBuckets.Ensure(now, customer.Name, rate, rate.Burst)
	return a.deputyBuckets.Take(now, customer.Name, rate)
}

// mayCall reports whether a daemon is not in backoff.
func (a *allowance) mayCall(peer string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, backingOff := a.backoffUntil[peer]
	return !backingOff || !a.clock.Now().Before(until)
}

// backOff starts the backoff of a daemon that did not answer, unless the request
// itself has ended.
func (a *allowance) backOff(ctx context.Context, peer, resource string, cause error) {
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backoffUntil[peer] = a.clock.Now().Add(ownerBackoff)
	a.log.Info("owner does not answer", "step", "draw", "peer", peer, "thing", resource, "cause", cause.Error())
}

// takeAsOwner takes a token of a customer whose rate this host owns.
func (a *allowance) takeAsOwner(customer *flow.CustomerRule) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ensureBucket(now, customer)
	return a.ownedBuckets.Take(now, customer.Name, rateOf(customer))
}

// ensureBucket creates the bucket of a customer that this host owns, if there
// is none. The caller holds the mutex.
func (a *allowance) ensureBucket(now flow.Time, customer *flow.CustomerRule) {
	rate := rateOf(customer)
	a.ownedBuckets.Ensure(now, customer.Name, rate, ratelimiter.NewOwnerLevel(rate, a.overage, a.slack))
}

// Retry implements dispatcher.Allowance. When the pool's owner does not answer,
// no retry is granted.
func (a *allowance) Retry(ctx context.Context, service string) bool {
	owner, _ := a.catalog().OwnerOf(retryResource(service))
	var granted bool
	var after time.Duration
	if owner == a.host {
		granted, after = a.takeRetry(service)
	} else if answer, wait, ok := a.requestToken(ctx, owner, DrawRequest{RetryService: service}); ok {
		granted, after = answer, wait
	}
	if !granted {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.poolEmptyUntil[service] = a.clock.Now().Add(after)
	}
	return granted
}

// HasRetry implements dispatcher.Allowance. It makes no call.
func (a *allowance) HasRetry(service string) bool {
	owner, _ := a.catalog().OwnerOf(retryResource(service))
	if owner != a.host && !a.mayCall(owner) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	until, empty := a.poolEmptyUntil[service]
	return !empty || !a.clock.Now().Before(until)
}

// retryResource names a service's retry pool for the choice of its owner.
func retryResource(service string) string { return "retry/" + service }

// takeRetry takes a token out of the retry pool of a service that this host
// owns.
func (a *allowance) takeRetry(service string) (granted bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryPools.Take(a.clock.Now(), service, a.retryRate)
}

// refresh creates the buckets and retry pools that this host owns by a new
// catalog, so that they fill before they are first drawn on.
func (a *allowance) refresh(catalog *cataloger.Catalog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, customer := range catalog.Customers() {
		if owner, _ := catalog.OwnerOf(customer.Name); owner == a.host && customer.PerSecond > 0 {
			a.ensureBucket(now, customer)
		}
	}
	for _, service := range catalog.Services() {
		if owner, _ := catalog.OwnerOf(retryResource(service.Name)); owner == a.host {
			a.retryPools.Ensure(now, service.Name, a.retryRate, 0)
		}
	}
}

func (a *allowance) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ownedBuckets.Sweep(now, idleExpiry)
	a.deputyBuckets.Sweep(now, idleExpiry)
	a.localBuckets.Sweep(now, idleExpiry)
	a.retryPools.Sweep(now, idleExpiry)
	maps.DeleteFunc(a.poolEmptyUntil, func(_ string, until flow.Time) bool { return now.After(until) })
}

// endpoints returns the handlers of the calls that other daemons may make.
func (a *allowance) endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{messenger.CallDraw: a.handleDraw}
}

func (a *allowance) handleDraw(_ context.Context, message any) (any, error) {
	var request DrawRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	catalog := a.catalog()
	if request.RetryService != "" {
		if owner, _ := catalog.OwnerOf(retryResource(request.RetryService)); owner != a.host {
			return nil, flow.NotOwnerError("the daemon is not the owner of the service's retries")
		}
		granted, retryAfter := a.takeRetry(request.RetryService)
		return &DrawAnswer{Granted: granted, RetryAfterMs: retryAfter.Milliseconds()}, nil
	}
	customer := catalog.Customer(request.Customer)
	owner, deputy := catalog.OwnerOf(request.Customer)
	take := a.takeAsOwner
	switch {
	case customer == nil:
		return nil, flow.NotOwnerError("the customer is not known")
	case owner == a.host:
	case request.Deputy && deputy == a.host:
		take = a.takeAsDeputy
	default:
		return nil, flow.NotOwnerError("the daemon is not the owner of the customer's rate")
	}
	granted, retryAfter := take(customer)
	return &DrawAnswer{Granted: granted, RetryAfterMs: retryAfter.Milliseconds()}, nil
}
