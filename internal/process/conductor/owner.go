// The owners of customers' rates and of services' pools of retries, and the way
// to them.

package conductor

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
	// ownerTimeout bounds a call to the owner of a customer's rate, which answers
	// within a round trip.
	ownerTimeout = 120 * time.Millisecond
	// ownerPause is how long an owner that did not answer is not asked again.
	ownerPause = time.Second
)

type ownerParts struct {
	host     string
	peerPort string
	overage  float64          // share of the rate that is tolerated beyond it
	slack    float64          // requests that are tolerated beside that share
	retries  ratelimiter.Rate // of the retries of a service that its owner deals out
	dialer   *dialer.Dialer
	clock    flow.Clock
	catalog  func() *cataloger.Catalog
	log      logr.Logger
}

// owner keeps the buckets of the customers that this host owns, and asks other
// owners for tokens.
type owner struct {
	ownerParts

	mu      sync.Mutex
	owned   *ratelimiter.Buckets
	deputed *ratelimiter.Buckets // for owners that others do not reach
	alone   *ratelimiter.Buckets // for this daemon only
	pools   *ratelimiter.Buckets // of retries, by service
	paused  map[string]flow.Time // owners that are not asked before a time
	empty   map[string]flow.Time // until when a service's pool holds no retry, as its owner said
}

func newOwner(parts ownerParts) *owner {
	return &owner{
		ownerParts: parts,
		owned:      ratelimiter.NewBuckets(),
		deputed:    ratelimiter.NewBuckets(),
		alone:      ratelimiter.NewBuckets(),
		pools:      ratelimiter.NewBuckets(),
		paused:     map[string]flow.Time{},
		empty:      map[string]flow.Time{},
	}
}

// DrawRequest asks the owner for one token of a customer's rate, or of a
// service's pool of retries.
type DrawRequest struct {
	Customer string `msgpack:"c"`
	Deputy   bool   `msgpack:"d,omitempty"` // the owner does not answer the asker
	Retry    string `msgpack:"r,omitempty"` // instead of a customer: the service of which a retry is asked
}

// DrawAnswer says whether there was one.
type DrawAnswer struct {
	Granted      bool  `msgpack:"g"`
	RetryAfterMs int64 `msgpack:"r"`
}

// Take implements dispatcher.Allowance.
func (o *owner) Take(ctx context.Context, customer *flow.CustomerRule) (bool, time.Duration) {
	catalog := o.catalog()
	owner, deputy := catalog.OwnerOf(customer.Name)
	if owner == o.host || owner == "" {
		return o.grant(customer)
	}
	if granted, after, ok := o.ask(ctx, owner, DrawRequest{Customer: customer.Name}); ok {
		return granted, after
	}
	if deputy == o.host {
		return o.grantAsDeputy(customer)
	}
	if deputy != "" {
		if granted, after, ok := o.ask(ctx, deputy, DrawRequest{Customer: customer.Name, Deputy: true}); ok {
			return granted, after
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	rate := ratelimiter.StandaloneRate(rateOf(customer), o.overage, o.slack, len(catalog.Hosts()))
	now := o.clock.Now()
	o.alone.Ensure(now, customer.Name, rate, rate.Burst)
	return o.alone.Take(now, customer.Name, rate)
}

func rateOf(customer *flow.CustomerRule) ratelimiter.Rate {
	return ratelimiter.Rate{PerSecond: customer.PerSecond, Burst: customer.Burst}
}

// ask asks another daemon for a token. It is not ok when there is no answer.
func (o *owner) ask(ctx context.Context, name string, request DrawRequest) (granted bool, after time.Duration, ok bool) {
	if !o.mayAsk(name) {
		return false, 0, false
	}
	asking, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var answer DrawAnswer
	if err := o.dialer.Call(asking, name+":"+o.peerPort, messenger.CallDraw, request, &answer); err != nil {
		o.pause(ctx, name, request.Customer+request.Retry, err)
		return false, 0, false
	}
	return answer.Granted, time.Duration(answer.RetryAfterMs) * time.Millisecond, true
}

// grantAsDeputy takes a token of a customer whose owner others do not reach.
func (o *owner) grantAsDeputy(customer *flow.CustomerRule) (bool, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rate := ratelimiter.DeputyRate(rateOf(customer), o.overage, o.slack)
	now := o.clock.Now()
	o.deputed.Ensure(now, customer.Name, rate, rate.Burst)
	return o.deputed.Take(now, customer.Name, rate)
}

func (o *owner) mayAsk(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, paused := o.paused[name]
	return !paused || !o.clock.Now().Before(until)
}

func (o *owner) pause(ctx context.Context, name, thing string, cause error) {
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paused[name] = o.clock.Now().Add(ownerPause)
	o.log.Info("owner does not answer", "step", "draw", "peer", name, "thing", thing, "cause", cause.Error())
}

// grant takes a token of a customer whose rate this host owns.
func (o *owner) grant(customer *flow.CustomerRule) (bool, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.start(now, customer)
	return o.owned.Take(now, customer.Name, rateOf(customer))
}

// start makes the bucket of a customer that this host owns, if there is none. The
// caller holds the lock.
func (o *owner) start(now flow.Time, customer *flow.CustomerRule) {
	rate := rateOf(customer)
	o.owned.Ensure(now, customer.Name, rate, ratelimiter.NewOwnerLevel(rate, o.overage, o.slack))
}

// Retry implements dispatcher.Allowance.
func (o *owner) Retry(ctx context.Context, service string) bool {
	owner, _ := o.catalog().OwnerOf(retryThing(service))
	var granted bool
	var after time.Duration
	if owner == o.host {
		granted, after = o.grantRetry(service)
	} else if answer, wait, ok := o.ask(ctx, owner, DrawRequest{Retry: service}); ok {
		granted, after = answer, wait
	}
	if !granted {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.empty[service] = o.clock.Now().Add(after)
	}
	return granted
}

// HasRetry implements dispatcher.Allowance.
func (o *owner) HasRetry(service string) bool {
	owner, _ := o.catalog().OwnerOf(retryThing(service))
	if owner != o.host && !o.mayAsk(owner) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	until, empty := o.empty[service]
	return !empty || !o.clock.Now().Before(until)
}

// retryThing names the retries of a service for the order of hosts.
func retryThing(service string) string { return "retry/" + service }

// grantRetry takes a retry out of the pool of a service that this host owns.
func (o *owner) grantRetry(service string) (granted bool, retryAfter time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pools.Take(o.clock.Now(), service, o.retries)
}

// refresh makes the buckets of the customers that this host owns.
func (o *owner) refresh(catalog *cataloger.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for _, customer := range catalog.Customers() {
		if owner, _ := catalog.OwnerOf(customer.Name); owner == o.host && customer.PerSecond > 0 {
			o.start(now, customer)
		}
	}
	for _, service := range catalog.Services() {
		if owner, _ := catalog.OwnerOf(retryThing(service.Name)); owner == o.host {
			o.pools.Ensure(now, service.Name, o.retries, 0)
		}
	}
}

func (o *owner) sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	o.owned.Sweep(now, forgetAfter)
	o.deputed.Sweep(now, forgetAfter)
	o.alone.Sweep(now, forgetAfter)
	o.pools.Sweep(now, forgetAfter)
	maps.DeleteFunc(o.empty, func(_ string, until flow.Time) bool { return now.After(until) })
}

// endpoints returns the calls that other daemons may make.
func (o *owner) endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{messenger.CallDraw: o.answerDraw}
}

func (o *owner) answerDraw(_ context.Context, request any) (any, error) {
	var asked DrawRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	catalog := o.catalog()
	if asked.Retry != "" {
		if owner, _ := catalog.OwnerOf(retryThing(asked.Retry)); owner != o.host {
			return nil, flow.NotOwner("the daemon is not the owner of the service's retries")
		}
		granted, retryAfter := o.grantRetry(asked.Retry)
		return &DrawAnswer{Granted: granted, RetryAfterMs: retryAfter.Milliseconds()}, nil
	}
	customer := catalog.Customer(asked.Customer)
	owner, deputy := catalog.OwnerOf(asked.Customer)
	grant := o.grant
	switch {
	case customer == nil:
		return nil, flow.NotOwner("the customer is not known")
	case owner == o.host:
	case asked.Deputy && deputy == o.host:
		grant = o.grantAsDeputy
	default:
		return nil, flow.NotOwner("the daemon is not the owner of the customer's rate")
	}
	granted, retryAfter := grant(customer)
	return &DrawAnswer{Granted: granted, RetryAfterMs: retryAfter.Milliseconds()}, nil
}
