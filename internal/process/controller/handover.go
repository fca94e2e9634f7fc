// Handover of what this host owns to the second host, when this host stops or when a
// new member list moves it, and its return after a restart. The messages between
// daemons call a handover cede, and the request for the return claim.

package controller

import (
	"context"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// grantLifetime returns for how long what an owner of the resource granted may
// be used. It is 0 for idempotency keys.
func (c *Controller) grantLifetime(resource string) time.Duration {
	switch {
	case strings.HasPrefix(resource, ratePrefix):
		return c.tokenGrantLifetime()
	case strings.HasPrefix(resource, servicePrefix):
		return ejectionLifetime
	}
	return 0
}

// handOverAll hands over everything that this host owns.
func (c *Controller) handOverAll(now flow.Time) {
	c.handOverMatching(now, func(string) bool { return true })
}

// handOverMoved hands over what the newest member list assigns to another host.
func (c *Controller) handOverMoved(now flow.Time) {
	c.handOverMatching(now, func(resource string) bool {
		owner, _ := c.placer.Owner(resource)
		return owner != c.Settings.Host
	})
}

// handOverMatching hands over the shares of rates in use, and the shards of the
// idempotency keys, for which selected is true.
func (c *Controller) handOverMatching(now flow.Time, selected func(resource string) bool) {
	for _, key := range c.granter.Keys() {
		if selected(rateResource(key)) {
			c.handOverShare(now, key)
		}
	}
	for shard := range memoryShards {
		if resource := memoryResource(shard); selected(resource) {
			c.handOverMemoryShard(now, resource)
		}
	}
}

// handoverAnswerBytes bounds the stored responses that are sent along with one
// shard of the idempotency keys, in bytes.
const handoverAnswerBytes = 1 << 20

// HandoverState is the state of a resource that is sent with a handover or with
// the answer to a claim.
type HandoverState struct {
	Share  *granter.BucketState `msgpack:"s,omitempty"` // set for a share of a rate
	Memory *deduplicator.State  `msgpack:"m,omitempty"` // set for a shard of the idempotency keys
}

// HandoverRequest hands over one resource.
type HandoverRequest struct {
	Handover placer.Handover `msgpack:"c"`
	State    HandoverState   `msgpack:"h"`
}

// HandoverAnswer says whether the receiver accepted the handover.
type HandoverAnswer struct {
	Acceptance placer.Acceptance `msgpack:"a"`
}

// handOverShare hands over one share of a rate.
func (c *Controller) handOverShare(now flow.Time, key granter.Key) {
	resource := rateResource(key)
	tenure, ok := c.placer.CanHandOver(now, resource, c.grantLifetime(resource))
	if !ok {
		return
	}
	shareTenure, err := c.withShareLimit(now, key, tenure)
	if err != nil {
		return
	}
	c.handOver(now, resource, func(handover placer.Handover) HandoverState {
		state := c.granter.HandOver(now, key, shareTenure, handover.Version.Revision)
		return HandoverState{Share: &state}
	})
}

// handOverMemoryShard hands over one shard of the idempotency keys.
func (c *Controller) handOverMemoryShard(now flow.Time, resource string) {
	tenure, ok := c.placer.CanHandOver(now, resource, c.grantLifetime(resource))
	if !ok {
		return
	}
	since, inherited := c.inheritedSince[resource]
	if !inherited {
		since = time.Now().Add(-now.Sub(tenure.Since)).UnixMilli()
	}
	c.handOver(now, resource, func(placer.Handover) HandoverState { return c.exportMemoryShard(resource, since) })
}

// exportMemoryShard removes a shard of the idempotency keys from the memory and
// returns it.
func (c *Controller) exportMemoryShard(resource string, since int64) HandoverState {
	state := c.memory.HandOver(func(customer string, key deduplicator.Key) bool {
		return keyResource(customer, key) == resource
	}, handoverAnswerBytes)
	state.TenureStartMillis = since
	delete(c.inheritedSince, resource)
	return HandoverState{Memory: &state}
}

// handOver hands a resource over to its second host, if that is possible, with
// the state that export returns for it. The request is sent once; when it is
// lost, the resource moves with the member list.
func (c *Controller) handOver(now flow.Time, resource string, export func(placer.Handover) HandoverState) {
	if !c.mayAct(now) {
		return
	}
	handover, ok := c.placer.HandOver(now, resource, c.grantLifetime(resource), func(host string) (flow.Time, uint64, bool) {
		return c.prover.PeerClock(now, host)
	})
	if !ok {
		return
	}
	request := HandoverRequest{Handover: handover, State: export(handover)}
	if host, ok := c.index.Host(handover.ToHost); ok {
		c.sendHandover(host, request)
	}
}

func (c *Controller) sendHandover(host *flow.Host, request HandoverRequest) {
	c.startCall(heartbeatTimeout, func(ctx context.Context) {
		var answer HandoverAnswer
		if err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallCede, request, &answer); err != nil {
			c.Log.Error(err, "handover request failed", "step", "cede", "peer", host.Name, "thing", request.Handover.Resource)
		}
	})
}

func (c *Controller) handleHandover(ctx context.Context, message any) (any, error) {
	var request HandoverRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	var answer HandoverAnswer
	return &answer, c.runOnControl(ctx, func() error {
		answer.Acceptance = c.acceptHandover(c.Clock.Now(), request)
		return nil
	})
}

// acceptHandover takes over a resource from its owner, unless this daemon is
// stopping or the state does not fit the resource.
func (c *Controller) acceptHandover(now flow.Time, request HandoverRequest) placer.Acceptance {
	if c.stopping || !c.stateFits(request.Handover.Resource, request.State) {
		return placer.HandoverRefused
	}
	acceptance := c.placer.Accept(now, request.Handover)
	if acceptance == placer.HandoverAccepted {
		c.importState(now, request.Handover.Resource, request.State, request.Handover.Version.Revision)
	}
	return acceptance
}

// stateFits reports whether the state belongs to the resource and, for a share
// of a rate, to the number of shares in force here.
func (c *Controller) stateFits(resource string, state HandoverState) bool {
	if state.Share == nil {
		return state.Memory != nil && strings.HasPrefix(resource, memoryPrefix)
	}
	key := shareKey(state.Share)
	layout, ok := ShareLayoutOf(c.index, c.Settings, key.Customer)
	return ok && rateResource(key) == resource && layout.Shares == key.Shares && key.Share < layout.Shares
}

func shareKey(state *granter.BucketState) granter.Key {
	return granter.Key{Customer: state.Customer, Share: state.Share, Shares: state.Shares}
}

// importState makes this host continue with the state of a resource that was
// handed over or handed back.
func (c *Controller) importState(now flow.Time, resource string, state HandoverState, revision flow.Revision) {
	if state.Memory != nil {
		c.memory.TakeOver(*state.Memory)
		c.inheritedSince[resource] = state.Memory.TenureStartMillis
		return
	}
	key := shareKey(state.Share)
	layout, ok := ShareLayoutOf(c.index, c.Settings, key.Customer)
	if !ok {
		return
	}
	c.granter.Drop(key)
	c.granter.TakeOver(now, granter.ShareLimit(layout.Limit, key.Share, key.Shares), revision, *state.Share)
}

// ClaimRequest asks for the return of a resource that an earlier process on the
// requesting host may have handed over.
type ClaimRequest struct {
	Claim placer.Claim `msgpack:"c"`
	Share *granter.Key `msgpack:"k,omitempty"` // set when the resource is a share of a rate
}

// ClaimAnswer answers a ClaimRequest.
type ClaimAnswer struct {
	Answer placer.ClaimAnswer `msgpack:"a"`
	State  HandoverState      `msgpack:"h"` // what is handed back; empty otherwise
}

// sendClaims claims a resource from the hosts that may hold it because an
// earlier process on this host handed it over.
func (c *Controller) sendClaims(now flow.Time, resource string, share *granter.Key) {
	if c.pendingClaims[resource] > 0 {
		return
	}
	for _, name := range c.placer.PendingClaims(now, resource, c.grantLifetime(resource)) {
		if host, ok := c.index.Host(name); ok {
			c.pendingClaims[resource]++
			c.sendClaim(now, host, ClaimRequest{Claim: c.placer.NewClaim(resource), Share: share})
		}
	}
}

func (c *Controller) sendClaim(sentAt flow.Time, host *flow.Host, request ClaimRequest) {
	c.startCall(heartbeatTimeout, func(ctx context.Context) {
		var answer ClaimAnswer
		err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallClaim, request, &answer)
		if err != nil {
			c.Log.V(1).Info("claim request failed", "step", "claim", "peer", host.Name, "cause", err.Error())
		}
		c.enqueue(c.ctx, func() {
			c.claimDone(request.Claim.Resource)
			if err == nil {
				c.applyClaimAnswer(sentAt, host.Name, request, answer)
			}
		})
	})
}

func (c *Controller) claimDone(resource string) {
	c.pendingClaims[resource]--
	if c.pendingClaims[resource] == 0 {
		delete(c.pendingClaims, resource)
	}
}

// applyClaimAnswer records the answer to a claim, and imports the state if the
// resource is handed back.
func (c *Controller) applyClaimAnswer(sentAt flow.Time, host string, request ClaimRequest, answer ClaimAnswer) {
	now := c.Clock.Now()
	resource := request.Claim.Resource
	handedBack := c.placer.ObserveClaimAnswer(now, sentAt, host, resource, answer.Answer)
	if handedBack && c.stateFits(resource, answer.State) {
		c.importState(now, resource, answer.State, handedBackRevision)
	}
}

// handedBackRevision marks the state of a share that was handed back after a
// claim, and not moved by a version of the member list.
const handedBackRevision = 0

func (c *Controller) handleClaim(ctx context.Context, message any) (any, error) {
	var request ClaimRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	var answer ClaimAnswer
	return &answer, c.runOnControl(ctx, func() error {
		answer = c.handBack(c.Clock.Now(), request)
		return nil
	})
}

// handBack answers a claim. It gives the resource up if this host holds it
// because of a handover.
func (c *Controller) handBack(now flow.Time, request ClaimRequest) ClaimAnswer {
	resource := request.Claim.Resource
	if request.Share != nil && rateResource(*request.Share) != resource {
		return ClaimAnswer{Answer: placer.ClaimAnswer{Wait: true}}
	}
	tenure, held := c.placer.Holds(now, resource, c.grantLifetime(resource))
	answer := ClaimAnswer{Answer: c.placer.AnswerClaim(now, request.Claim, c.grantLifetime(resource), 0, 0)}
	if !answer.Answer.Held || !held {
		return answer
	}
	if since, inherited := c.inheritedSince[resource]; inherited {
		answer.State = c.exportMemoryShard(resource, since)
	}
	if request.Share != nil {
		if shareTenure, err := c.withShareLimit(now, *request.Share, tenure); err == nil {
			state := c.granter.HandOver(now, *request.Share, shareTenure, handedBackRevision)
			answer.State.Share = &state
		}
	}
	return answer
}

// claimMemoryShards claims the shards of the idempotency keys that this host
// would hold but for an unanswered claim, before a request needs them. Other
// resources are claimed when they are first requested.
func (c *Controller) claimMemoryShards(now flow.Time) {
	if !c.mayAct(now) {
		return
	}
	for shard := range memoryShards {
		resource := memoryResource(shard)
		if _, held := c.placer.Holds(now, resource, c.grantLifetime(resource)); !held {
			c.sendClaims(now, resource, nil)
		}
	}
}
