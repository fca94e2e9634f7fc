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

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/claimer"
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

// peerCaller makes calls to other daemons. It is a dialer.Dialer.
type peerCaller interface {
	Call(ctx context.Context, address string, call messenger.Call, request, answer any) error
}

type allowanceParts struct {
	host     string
	peerPort string
	overage  float64                 // tolerated excess over a rate, as a share of it
	slack    float64                 // tolerated excess in requests, on top of that share
	retries  ratelimiter.RetryBudget // of each service
	dialer   peerCaller
	clock    flow.Clock
	catalog  func() *cataloger.Catalog
	inTouch  func() bool // whether this host may act as an owner or deputy
	log      logr.Logger
}

// allowance implements dispatcher.Allowance. It keeps the token buckets that
// this host owns, and requests tokens of the others from their owners. While this
// host may not use a bucket in full, because it is out of touch or another host may
// still use it, it grants less. The mutex guards all buckets and maps.
type allowance struct {
	allowanceParts

	startedAt flow.Time

	mu             sync.Mutex
	ownedBuckets   *ratelimiter.Buckets
	deputyBuckets  *ratelimiter.Buckets              // as deputy of owners that other daemons cannot reach
	localBuckets   *ratelimiter.Buckets              // of this daemon alone, when it reaches neither owner nor deputy
	retryPools     map[string]*ratelimiter.RetryPool // by service, of which this host is or was the owner
	retryLedgers   map[string]*ratelimiter.Ledger    // by service: requests that are not reported to its owner yet
	backoffUntil   map[string]flow.Time              // by host: daemons that did not answer and are not called before this time
	silent         map[string]silence                // by host: daemons that did not answer the last call
	deputyOf       map[string]flow.Time              // by owner: when this host last granted in its place
	claims         *claimer.Claims
	outOfTouch     bool                 // logged last
	claimedBy      *cataloger.Catalog   // by which the owned resources are claimed; nil if they must be claimed anew
	owners         map[string]string    // by resource: its owner by that catalog
	refreshed      chan struct{}        // wakes keepClaims
	poolEmptyUntil map[string]flow.Time // services whose retry pool is empty until this time, as its owner said
}

func newAllowance(parts allowanceParts) *allowance {
	return &allowance{
		allowanceParts: parts,
		startedAt:      parts.clock.Now(),
		ownedBuckets:   ratelimiter.NewBuckets(),
		deputyBuckets:  ratelimiter.NewBuckets(),
		localBuckets:   ratelimiter.NewBuckets(),
		retryPools:     map[string]*ratelimiter.RetryPool{},
		retryLedgers:   map[string]*ratelimiter.Ledger{},
		backoffUntil:   map[string]flow.Time{},
		silent:         map[string]silence{},
		deputyOf:       map[string]flow.Time{},
		refreshed:      make(chan struct{}, 1),
		claims:         claimer.New(),
		outOfTouch:     true,
		poolEmptyUntil: map[string]flow.Time{},
	}
}

// DrawRequest requests one token of a customer's rate, or of a service's retry
// pool, from the owner.
type DrawRequest struct {
	Customer     string                   `msgpack:"c"`
	Deputy       bool                     `msgpack:"d,omitempty"` // the receiver grants as deputy, because the owner did not answer
	RetryService string                   `msgpack:"r,omitempty"` // set instead of Customer: the service whose retry pool is drawn on
	Counts       []ratelimiter.RetryCount `msgpack:"q,omitempty"` // requests for that service that the sender has not reported before
}

// DrawAnswer says whether a token was granted, and otherwise after how many
// milliseconds one will be available.
type DrawAnswer struct {
	Granted      bool  `msgpack:"g"`
	RetryAfterMs int64 `msgpack:"r"`
}

// Take implements dispatcher.Allowance. It requests a token from the owner, then
// from the deputy, and if neither grants or refuses it, draws on a small bucket of this
// daemon alone.
func (a *allowance) Take(ctx context.Context, customer *flow.CustomerRule) (bool, time.Duration) {
	catalog := a.catalog()
	owner, deputy := catalog.OwnerOf(customer.Name)
	if owner == a.host {
		if granted, after, ok := a.takeAsOwner(catalog, customer); ok {
			return granted, after
		}
		return a.takeStandalone(catalog, customer)
	}
	if granted, after, ok := a.requestToken(ctx, owner, DrawRequest{Customer: customer.Name}); ok {
		return granted, after
	}
	if deputy == a.host {
		if granted, after, ok := a.takeAsDeputy(owner, customer); ok {
			return granted, after
		}
	} else if granted, after, ok := a.requestToken(ctx, deputy, DrawRequest{Customer: customer.Name, Deputy: true}); ok {
		return granted, after
	}
	return a.takeStandalone(catalog, customer)
}

// takeStandalone takes a token of the small bucket of this daemon alone.
func (a *allowance) takeStandalone(catalog *cataloger.Catalog, customer *flow.CustomerRule) (bool, time.Duration) {
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
	if peer == "" || !a.mayCall(peer) {
		return false, 0, false
	}
	answer, err := a.callOwner(ctx, peer, request)
	return answer.Granted, time.Duration(answer.RetryAfterMs) * time.Millisecond, err == nil
}

// callOwner makes a call to an owner or a deputy.
func (a *allowance) callOwner(ctx context.Context, peer string, request DrawRequest) (DrawAnswer, error) {
	callContext, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var answer DrawAnswer
	if err := a.dialer.Call(callContext, peer+":"+a.peerPort, messenger.CallDraw, request, &answer); err != nil {
		a.backOff(ctx, peer, request.Customer+request.RetryService, err)
		return DrawAnswer{}, err
	}
	a.mu.Lock()
	a.noteAnswer(peer)
	a.mu.Unlock()
	return answer, nil
}

// takeAsDeputy takes a token of a customer whose owner the requesting daemon
// cannot reach. ok is false if this daemon is out of touch: another one may have
// replaced it.
func (a *allowance) takeAsDeputy(owner string, customer *flow.CustomerRule) (granted bool, after time.Duration, ok bool) {
	if !a.inTouch() {
		return false, 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.deputyOf[owner] = now
	granted, after = a.takeAtDeputyRate(now, customer)
	return granted, after, true
}

// takeAtDeputyRate takes a token from the deputy's bucket. The caller holds the mutex.
func (a *allowance) takeAtDeputyRate(now flow.Time, customer *flow.CustomerRule) (bool, time.Duration) {
	return a.deputyBuckets.Take(now, customer.Name, ratelimiter.DeputyRate(rateOf(customer), a.overage, a.slack))
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
	now := a.clock.Now()
	a.backoffUntil[peer] = now.Add(ownerBackoff)
	if !flow.IsNotOwner(cause) {
		a.noteFailure(now, peer)
	}
	a.log.Info("owner does not answer", "step", "draw", "peer", peer, "thing", resource, "cause", cause.Error())
}

// takeAsOwner takes a token of a customer whose rate this host owns. While another
// host may still use the bucket, it grants at the deputy's rate. ok is false if this
// daemon is out of touch.
func (a *allowance) takeAsOwner(catalog *cataloger.Catalog, customer *flow.CustomerRule) (granted bool, after time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if !a.updateClaims(now, catalog) {
		return false, 0, false
	}
	if a.claims.Holds(rateResource(customer.Name)) {
		rate := rateOf(customer)
		a.ownedBuckets.Ensure(now, customer.Name, rate, ratelimiter.NewOwnerLevel(rate, a.overage, a.slack)) // it is dropped when idle
		granted, after = a.ownedBuckets.Take(now, customer.Name, rate)
	} else {
		granted, after = a.takeAtDeputyRate(now, customer)
	}
	return granted, after, true
}

func (a *allowance) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.ownedBuckets.Sweep(now, idleExpiry)
	a.localBuckets.Sweep(now, idleExpiry)
	a.sweepRetries(now)
	maps.DeleteFunc(a.silent, func(_ string, s silence) bool { return now.Sub(s.lastFailure) > idleExpiry })
}

// endpoints returns the handlers of the calls that other daemons may make.
func (a *allowance) endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{messenger.CallDraw: a.handleDraw, messenger.CallClaim: a.handleClaim}
}

func (a *allowance) handleDraw(_ context.Context, message any) (any, error) {
	var request DrawRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	answer, err := a.draw(request)
	if err != nil {
		return nil, err
	}
	return &answer, nil
}

// draw grants or refuses a token to another daemon. The error is a flow.NotOwnerError if
// this daemon may not decide.
func (a *allowance) draw(request DrawRequest) (DrawAnswer, error) {
	catalog := a.catalog()
	if request.RetryService != "" {
		if owner, _ := catalog.OwnerOf(retryResource(request.RetryService)); owner != a.host {
			return DrawAnswer{}, flow.NotOwnerError("the daemon is not the owner of the service's retries")
		}
		granted, retryAfter := a.takeRetry(request.RetryService, request.Counts)
		return DrawAnswer{Granted: granted, RetryAfterMs: retryAfter.Milliseconds()}, nil
	}
	customer := catalog.Customer(request.Customer)
	if customer == nil {
		return DrawAnswer{}, flow.NotOwnerError("the customer is not known")
	}
	var granted, ok bool
	var retryAfter time.Duration
	owner, deputy := catalog.OwnerOf(request.Customer)
	switch {
	case owner == a.host:
		granted, retryAfter, ok = a.takeAsOwner(catalog, customer)
	case request.Deputy && deputy == a.host:
		granted, retryAfter, ok = a.takeAsDeputy(owner, customer)
	default:
		return DrawAnswer{}, flow.NotOwnerError("the daemon is not the owner of the customer's rate")
	}
	if !ok {
		return DrawAnswer{}, flow.NotOwnerError("the daemon is out of touch")
	}
	return DrawAnswer{Granted: granted, RetryAfterMs: retryAfter.Milliseconds()}, nil
}
