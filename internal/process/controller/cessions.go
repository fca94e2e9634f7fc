// Cessions and claims: the hand-over of what this host owns when it stops or
// when the list moves it, and its return after a restart.

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

// grantOf returns for how long what an owner of a thing granted may be used.
func (c *Controller) grantOf(thing string) time.Duration {
	switch {
	case strings.HasPrefix(thing, ratePrefix):
		return c.grantLife()
	case strings.HasPrefix(thing, servicePrefix):
		return ejectionLifetime
	}
	return 0
}

// cedeAll hands what this host owns to the hosts that come next.
func (c *Controller) cedeAll(now flow.Time) {
	c.cedeIf(now, func(string) bool { return true })
}

// cedeMoved hands on what the newest member list gives to another host.
func (c *Controller) cedeMoved(now flow.Time) {
	c.cedeIf(now, func(thing string) bool {
		owner, _ := c.placer.Owner(thing)
		return owner != c.Settings.Host
	})
}

// cedeIf hands on the shares of rates in use, and the shards of the memory of
// idempotency keys, for which wanted is true.
func (c *Controller) cedeIf(now flow.Time, wanted func(thing string) bool) {
	for _, key := range c.granter.Keys() {
		if wanted(rateThing(key)) {
			c.cedeShare(now, key)
		}
	}
	for shard := range memoryShards {
		if thing := memoryThing(shard); wanted(thing) {
			c.cedeMemory(now, thing)
		}
	}
}

// memoryBytesCeded bounds the answers that go along with one shard of the
// memory, in bytes.
const memoryBytesCeded = 1 << 20

// Handed is what goes along with a cession or comes back with a claim.
type Handed struct {
	Share  *granter.State      `msgpack:"s,omitempty"` // of a share of a rate
	Memory *deduplicator.State `msgpack:"m,omitempty"` // of a shard of the memory of idempotency keys
}

// CedeRequest hands over one thing.
type CedeRequest struct {
	Cession placer.Handover `msgpack:"c"`
	Handed  Handed          `msgpack:"h"`
}

// CedeAnswer says what became of a cession.
type CedeAnswer struct {
	Acceptance placer.Acceptance `msgpack:"a"`
}

// cedeShare hands on one share of a rate.
func (c *Controller) cedeShare(now flow.Time, key granter.Key) {
	thing := rateThing(key)
	held, ok := c.placer.CanHandOver(now, thing, c.grantOf(thing))
	if !ok {
		return
	}
	tenure, err := c.withLimit(now, key, held)
	if err != nil {
		return
	}
	c.cede(now, thing, func(cession placer.Handover) Handed {
		state := c.granter.Cede(now, key, tenure, cession.Version.Revision)
		return Handed{Share: &state}
	})
}

// cedeMemory hands on one shard of the memory of idempotency keys.
func (c *Controller) cedeMemory(now flow.Time, thing string) {
	tenure, ok := c.placer.CanHandOver(now, thing, c.grantOf(thing))
	if !ok {
		return
	}
	since, carried := c.carried[thing]
	if !carried {
		since = time.Now().Add(-now.Sub(tenure.Since)).UnixMilli()
	}
	c.cede(now, thing, func(placer.Handover) Handed { return c.takeMemory(thing, since) })
}

// takeMemory takes a shard out of the memory.
func (c *Controller) takeMemory(thing string, since int64) Handed {
	state := c.memory.Cede(func(customer string, key deduplicator.Key) bool {
		return idempotencyThing(customer, key) == thing
	}, memoryBytesCeded)
	state.Since = since
	delete(c.carried, thing)
	return Handed{Memory: &state}
}

// cede hands a thing to the host that comes next, if that is possible, with what
// take returns of it. The cession is sent once; when it is lost, the thing moves
// with the list.
func (c *Controller) cede(now flow.Time, thing string, take func(placer.Handover) Handed) {
	if !c.mayAct(now) {
		return
	}
	cession, ok := c.placer.HandOver(now, thing, c.grantOf(thing), func(host string) (flow.Time, uint64, bool) {
		return c.prover.PeerClock(now, host)
	})
	if !ok {
		return
	}
	request := CedeRequest{Cession: cession, Handed: take(cession)}
	if host, ok := c.index.Host(cession.ToHost); ok {
		c.sendCession(host, request)
	}
}

func (c *Controller) sendCession(host *flow.Host, request CedeRequest) {
	c.start(heartbeatTimeout, func(ctx context.Context) {
		var answer CedeAnswer
		if err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallCede, request, &answer); err != nil {
			c.Log.Error(err, "cession was not answered", "step", "cede", "peer", host.Name, "thing", request.Cession.Resource)
		}
	})
}

func (c *Controller) answerCede(ctx context.Context, request any) (any, error) {
	var asked CedeRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	var answer CedeAnswer
	return &answer, c.answerOn(ctx, func() error {
		answer.Acceptance = c.adopt(c.Clock.Now(), asked)
		return nil
	})
}

// adopt takes over a thing that its owner ceded.
func (c *Controller) adopt(now flow.Time, asked CedeRequest) placer.Acceptance {
	if c.stopping || !c.fits(asked.Cession.Resource, asked.Handed) {
		return placer.HandoverRefused
	}
	acceptance := c.placer.Accept(now, asked.Cession)
	if acceptance == placer.HandoverAccepted {
		c.take(now, asked.Cession.Resource, asked.Handed, asked.Cession.Version.Revision)
	}
	return acceptance
}

// fits reports whether what was handed over belongs to the thing, and to the
// cut in force here when it is a share of a rate.
func (c *Controller) fits(thing string, handed Handed) bool {
	if handed.Share == nil {
		return handed.Memory != nil && strings.HasPrefix(thing, memoryPrefix)
	}
	key := keyOf(handed.Share)
	cut, ok := CutOf(c.index, c.Settings, key.Customer)
	return ok && rateThing(key) == thing && cut.Shares == key.Shares && key.Share < cut.Shares
}

func keyOf(state *granter.State) granter.Key {
	return granter.Key{Customer: state.Customer, Share: state.Share, Shares: state.Shares}
}

// take goes on with what was handed over.
func (c *Controller) take(now flow.Time, thing string, handed Handed, revision flow.Revision) {
	if handed.Memory != nil {
		c.memory.Adopt(*handed.Memory)
		c.carried[thing] = handed.Memory.Since
		return
	}
	key := keyOf(handed.Share)
	cut, ok := CutOf(c.index, c.Settings, key.Customer)
	if !ok {
		return
	}
	c.granter.Drop(key)
	c.granter.Adopt(now, granter.ShareLimit(cut.Limit, key.Share, key.Shares), revision, *handed.Share)
}

// -----------------------------------------------------------------------------

// ClaimRequest asks for a thing back that a predecessor of the asker's process
// may have ceded.
type ClaimRequest struct {
	Claim placer.Claim `msgpack:"c"`
	Share *granter.Key `msgpack:"k,omitempty"` // when the thing is a share of a rate
}

// ClaimAnswer answers a ClaimRequest.
type ClaimAnswer struct {
	Answer placer.ClaimAnswer `msgpack:"a"`
	Handed Handed             `msgpack:"h"` // what is handed back, if anything
}

// claim asks the hosts back that may hold a thing by a cession of this
// process's predecessor.
func (c *Controller) claim(now flow.Time, thing string, share *granter.Key) {
	if c.claiming[thing] > 0 {
		return
	}
	for _, name := range c.placer.PendingClaims(now, thing, c.grantOf(thing)) {
		if host, ok := c.index.Host(name); ok {
			c.claiming[thing]++
			c.sendClaim(now, host, ClaimRequest{Claim: c.placer.NewClaim(thing), Share: share})
		}
	}
}

func (c *Controller) sendClaim(sentAt flow.Time, host *flow.Host, request ClaimRequest) {
	c.start(heartbeatTimeout, func(ctx context.Context) {
		var answer ClaimAnswer
		err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallClaim, request, &answer)
		if err != nil {
			c.Log.V(1).Info("claim was not answered", "step", "claim", "peer", host.Name, "cause", err.Error())
		}
		c.post(c.ctx, func() {
			c.claimEnded(request.Claim.Resource)
			if err == nil {
				c.observeClaim(sentAt, host.Name, request, answer)
			}
		})
	})
}

func (c *Controller) claimEnded(thing string) {
	c.claiming[thing]--
	if c.claiming[thing] == 0 {
		delete(c.claiming, thing)
	}
}

// observeClaim takes the answer to a claim, and takes the thing back if it was
// held.
func (c *Controller) observeClaim(sentAt flow.Time, host string, request ClaimRequest, answer ClaimAnswer) {
	now := c.Clock.Now()
	thing := request.Claim.Resource
	back := c.placer.ObserveClaimAnswer(now, sentAt, host, thing, answer.Answer)
	if back && c.fits(thing, answer.Handed) {
		c.take(now, thing, answer.Handed, handedBackRevision)
	}
}

// handedBackRevision marks the state of a share that comes back with a claim,
// not with a version of the list.
const handedBackRevision = 0

func (c *Controller) answerClaim(ctx context.Context, request any) (any, error) {
	var asked ClaimRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	var answer ClaimAnswer
	return &answer, c.answerOn(ctx, func() error {
		answer = c.handBack(c.Clock.Now(), asked)
		return nil
	})
}

// handBack answers a claim, giving up the thing if it is held by a cession.
func (c *Controller) handBack(now flow.Time, asked ClaimRequest) ClaimAnswer {
	thing := asked.Claim.Resource
	if asked.Share != nil && rateThing(*asked.Share) != thing {
		return ClaimAnswer{Answer: placer.ClaimAnswer{Wait: true}}
	}
	held, holds := c.placer.Holds(now, thing, c.grantOf(thing))
	answer := ClaimAnswer{Answer: c.placer.AnswerClaim(now, asked.Claim, c.grantOf(thing), 0, 0)}
	if !answer.Answer.Held || !holds {
		return answer
	}
	if since, carried := c.carried[thing]; carried {
		answer.Handed = c.takeMemory(thing, since)
	}
	if asked.Share != nil {
		if tenure, err := c.withLimit(now, *asked.Share, held); err == nil {
			state := c.granter.Cede(now, *asked.Share, tenure, handedBackRevision)
			answer.Handed.Share = &state
		}
	}
	return answer
}

// claimAhead claims the shards of the memory that only wait for a claim, before
// anybody asks for them. Everything else is claimed when it is asked for.
func (c *Controller) claimAhead(now flow.Time) {
	if !c.mayAct(now) {
		return
	}
	for shard := range memoryShards {
		thing := memoryThing(shard)
		if _, held := c.placer.Holds(now, thing, c.grantOf(thing)); !held {
			c.claim(now, thing, nil)
		}
	}
}
