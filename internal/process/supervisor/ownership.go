// Claims of the rates and retry pools that this host owns, and their release to the
// next owner.

package supervisor

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/claimer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// claimInterval is the time between two rounds of claims.
	claimInterval = 200 * time.Millisecond
	// maxFailureGap is the longest time between two failed calls to a daemon that has been
	// silent meanwhile.
	maxFailureGap = 2 * ownerBackoff
	// startPeriod is the time after the start of this process in which a host that refuses
	// connections counts as one whose daemon is not running: many may start at once.
	startPeriod = 10 * time.Second
	// deputyDemand is how long a deputy tries to reach an owner after others could not.
	deputyDemand = 2 * time.Second
)

// ClaimRequest asks a host that may have owned resources before to release them.
type ClaimRequest struct {
	Revision  flow.Revision `msgpack:"v"` // by whose list the sender owns the resources
	Resources []string      `msgpack:"r"`
}

// ClaimAnswer says which resources the host does not use any more, and which of them it
// used until now.
type ClaimAnswer struct {
	Released []string           `msgpack:"r"`
	Levels   map[string]float64 `msgpack:"l,omitempty"` // by resource that the host held: tokens left in its bucket
}

// Prefixes of the names of resources.
const (
	ratePrefix  = "rate/"
	retryPrefix = "retry/"
)

// silence is the time in which a daemon has not answered any call.
type silence struct{ firstFailure, lastFailure flow.Time }

// rateResource names a customer's rate among the claims. For the choice of its owner
// the customer's name stands alone.
func rateResource(customer string) string { return ratePrefix + customer }

// retryResource names a service's retry pool, also for the choice of its owner.
func retryResource(service string) string { return retryPrefix + service }

// updateClaims claims what this host owns by a catalog, and takes over what no other
// host uses any more. It reports whether the daemon is in touch. The caller holds the
// mutex.
func (a *allowance) updateClaims(now flow.Time, catalog *cataloger.Catalog) bool {
	inTouch := a.inTouch()
	a.noteTouch(inTouch)
	if !a.claims.Check(now, inTouch) {
		a.claimedBy = nil
	}
	if !inTouch {
		return false
	}
	if a.claimedBy != catalog {
		a.claimOwned(now, catalog)
		a.claimedBy = catalog
	}
	for host, resources := range a.claims.Awaited() {
		silent := a.silent[host]
		if silent.lastFailure.Sub(silent.firstFailure) > flow.OwnerLease && now.Sub(silent.lastFailure) <= maxFailureGap {
			for _, resource := range resources {
				a.claims.Released(host, resource, 0, false)
			}
		}
	}
	for _, settled := range a.claims.Settle(now) {
		a.startBucket(now, catalog, settled)
	}
	return true
}

// noteTouch logs when the daemon loses touch and when it is in touch again. The caller
// holds the mutex.
func (a *allowance) noteTouch(inTouch bool) {
	if inTouch == !a.outOfTouch {
		return
	}
	a.outOfTouch = !inTouch
	if inTouch {
		a.log.Info("in touch again; this daemon may grant as an owner")
		return
	}
	a.log.Info("out of touch; this daemon does not grant as an owner")
}

// claimOwned claims the resources that this host owns by a catalog, and drops the claims
// to all others.
func (a *allowance) claimOwned(now flow.Time, catalog *cataloger.Catalog) {
	owners := map[string]string{}
	claim := func(resource, ranked string) {
		owner, second := catalog.OwnerOf(ranked)
		owners[resource] = owner
		if owner == a.host {
			a.claims.Claim(now, resource, catalog.Revision, a.host, second, a.owners[resource])
		}
	}
	for _, customer := range catalog.Customers() {
		if customer.PerSecond > 0 {
			claim(rateResource(customer.Name), customer.Name)
		}
	}
	for _, service := range catalog.Services() {
		claim(retryResource(service.Name), retryResource(service.Name))
	}
	a.updateDeputyBuckets(now, catalog)
	for _, resource := range a.claims.Claimed() {
		if owners[resource] != a.host {
			a.claims.Drop(resource)
		}
	}
	a.owners = owners
}

// updateDeputyBuckets keeps the deputy's bucket of each customer of which this host is the
// owner or the deputy. It starts empty after a change of the list, since an earlier deputy may
// have granted all of the deputies' share shortly before.
func (a *allowance) updateDeputyBuckets(now flow.Time, catalog *cataloger.Catalog) {
	kept := map[string]bool{}
	start := 0.0
	if now.Sub(a.startedAt) < startPeriod {
		start = 1 // other daemons may be starting, too, so that owners are out of reach
	}
	for _, customer := range catalog.Customers() {
		owner, deputy := catalog.OwnerOf(customer.Name)
		if customer.PerSecond > 0 && (owner == a.host || deputy == a.host) {
			kept[customer.Name] = true
			rate := ratelimiter.DeputyRate(rateOf(customer), a.overage, a.slack)
			a.deputyBuckets.Ensure(now, customer.Name, rate, start*rate.Burst)
		}
	}
	a.deputyBuckets.Retain(kept)
}

// startBucket fills the bucket of a resource that this host has come to hold with what
// the previous owner left, or with little if that is not known.
func (a *allowance) startBucket(now flow.Time, catalog *cataloger.Catalog, settled claimer.Settled) {
	if service, ok := strings.CutPrefix(settled.Resource, retryPrefix); ok {
		a.retryPool(now, service).Restart(now, settled.Level)
		return
	}
	customer := catalog.Customer(strings.TrimPrefix(settled.Resource, ratePrefix))
	if customer == nil {
		return
	}
	rate, level := rateOf(customer), settled.Level
	if !settled.Handed {
		level = ratelimiter.NewOwnerLevel(rate, a.overage, a.slack)
	}
	a.ownedBuckets.Restart(now, customer.Name, rate, level)
}

// levelOf returns how many tokens are left of a resource that this host holds.
func (a *allowance) levelOf(now flow.Time, resource string) float64 {
	if service, ok := strings.CutPrefix(resource, retryPrefix); ok {
		return a.retryPool(now, service).Level(now)
	}
	return a.ownedBuckets.Level(now, strings.TrimPrefix(resource, ratePrefix))
}

// refresh claims the buckets and retry pools that this host owns by a new catalog, so that
// they fill before they are first drawn on.
func (a *allowance) refresh(catalog *cataloger.Catalog) {
	a.mu.Lock()
	a.updateClaims(a.clock.Now(), catalog)
	a.mu.Unlock()
	select {
	case a.refreshed <- struct{}{}:
	default:
	}
}

// keepClaims claims owned resources until ctx ends.
func (a *allowance) keepClaims(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-a.refreshed:
		case <-ctx.Done():
			return
		}
		a.claimRound(ctx)
	}
}

// claimRound asks the hosts that may still use what this host owns to release it. It also
// calls the owners for which this host is the deputy, so that it knows how long they have
// been silent when it replaces them.
func (a *allowance) claimRound(ctx context.Context) {
	catalog := a.catalog()
	a.mu.Lock()
	now := a.clock.Now()
	a.updateClaims(now, catalog)
	awaited := a.claims.Awaited()
	for owner, at := range a.deputyOf {
		if now.Sub(at) > deputyDemand {
			delete(a.deputyOf, owner)
		} else if _, known := awaited[owner]; !known {
			awaited[owner] = nil
		}
	}
	a.mu.Unlock()
	var calls sync.WaitGroup
	for host, resources := range awaited {
		calls.Go(func() {
			defer recoverer.Recover(a.log, "claim", func() {})
			a.claimFrom(ctx, host, ClaimRequest{Revision: catalog.Revision, Resources: resources})
		})
	}
	calls.Wait()
}

func (a *allowance) claimFrom(ctx context.Context, host string, request ClaimRequest) {
	callContext, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var answer ClaimAnswer
	err := a.dialer.Call(callContext, host+":"+a.peerPort, messenger.CallClaim, request, &answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if err != nil {
		a.noteFailure(now, host)
		if !errors.Is(err, syscall.ECONNREFUSED) || now.Sub(a.startedAt) > startPeriod {
			return
		}
		answer.Released = request.Resources
	} else {
		a.noteAnswer(host)
	}
	for _, resource := range request.Resources {
		if slices.Contains(answer.Released, resource) {
			level, handed := answer.Levels[resource]
			a.claims.Released(host, resource, level, handed)
		} else {
			a.claims.Refused(now, resource)
		}
	}
	a.updateClaims(now, a.catalog())
}

// noteFailure records that a host did not answer. The caller holds the mutex.
func (a *allowance) noteFailure(now flow.Time, host string) {
	silent, known := a.silent[host]
	if !known || now.Sub(silent.lastFailure) > maxFailureGap {
		silent.firstFailure = now
	}
	silent.lastFailure = now
	a.silent[host] = silent
}

// noteAnswer records that a host is not silent. The caller holds the mutex.
func (a *allowance) noteAnswer(host string) {
	delete(a.silent, host)
	delete(a.backoffUntil, host)
}

func (a *allowance) handleClaim(_ context.Context, message any) (any, error) {
	var request ClaimRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	answer := a.release(request)
	return &answer, nil
}

// release releases resources to a daemon that owns them by a newer list.
func (a *allowance) release(request ClaimRequest) ClaimAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	answer := ClaimAnswer{Levels: map[string]float64{}}
	for _, resource := range request.Resources {
		held, ok := a.claims.Release(resource, request.Revision, a.catalog().Revision)
		if !ok {
			continue
		}
		answer.Released = append(answer.Released, resource)
		if held {
			answer.Levels[resource] = a.levelOf(now, resource)
		}
	}
	return answer
}
