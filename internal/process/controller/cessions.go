// Cessions and claims: the hand-over of what this host owns when it stops or
// when the list moves it, and its return after a restart.

package controller

import (
	"context"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
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
	for _, key := range c.granter.Keys() {
		c.cede(now, key)
	}
}

// cedeMoved hands on what the newest member list gives to another host.
func (c *Controller) cedeMoved(now flow.Time) {
	for _, key := range c.granter.Keys() {
		if owner, _ := c.placer.Owner(rateThing(key)); owner != c.Settings.Host {
			c.cede(now, key)
		}
	}
}

// CedeRequest hands over one share of a rate.
type CedeRequest struct {
	Cession placer.Cession `msgpack:"c"`
	State   granter.State  `msgpack:"s"`
}

// CedeAnswer says what became of a cession.
type CedeAnswer struct {
	Acceptance placer.Acceptance `msgpack:"a"`
}

// cede hands one share to the host that comes next, if that is possible. The
// cession is sent once; when it is lost, the share moves with the list.
func (c *Controller) cede(now flow.Time, key granter.Key) {
	thing := rateThing(key)
	held, ok := c.placer.Cedable(now, thing, c.grantLife())
	if !ok || !c.mayAct(now) {
		return
	}
	tenure, err := c.withLimit(now, key, held)
	if err != nil {
		return
	}
	cession, ok := c.placer.Cede(now, thing, c.grantLife(), func(host string) (flow.Time, uint64, bool) {
		return c.prover.PeerClock(now, host)
	})
	if !ok {
		return
	}
	host, ok := c.index.Host(cession.ToHost)
	if !ok {
		return
	}
	state := c.granter.Cede(now, key, tenure, cession.Version.Revision)
	c.sendCession(host, CedeRequest{Cession: cession, State: state})
}

func (c *Controller) sendCession(host *flow.Host, request CedeRequest) {
	c.start(heartbeatTimeout, func(ctx context.Context) {
		var answer CedeAnswer
		if err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallCede, request, &answer); err != nil {
			c.Log.Error(err, "cession was not answered", "step", "cede", "peer", host.Name, "thing", request.Cession.Thing)
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

// adopt takes over a share that its owner ceded.
func (c *Controller) adopt(now flow.Time, asked CedeRequest) placer.Acceptance {
	key := granter.Key{Customer: asked.State.Customer, Share: asked.State.Share, Shares: asked.State.Shares}
	cut, ok := CutOf(c.index, c.Settings, key.Customer)
	if !ok || rateThing(key) != asked.Cession.Thing || cut.Shares != key.Shares || c.stopping {
		return placer.CessionRefused
	}
	acceptance := c.placer.Accept(now, asked.Cession)
	if acceptance != placer.CessionAccepted {
		return acceptance
	}
	limit := granter.ShareLimit(cut.Limit, key.Share, key.Shares)
	c.granter.Drop(key)
	c.granter.Adopt(now, limit, asked.Cession.Version.Revision, asked.State)
	return acceptance
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
	State  *granter.State     `msgpack:"s,omitempty"` // of the share when it is handed back
}

// claim asks the hosts back that may hold a thing by a cession of this
// process's predecessor.
func (c *Controller) claim(now flow.Time, thing string, share *granter.Key) {
	if c.claiming[thing] > 0 {
		return
	}
	for _, name := range c.placer.Claims(now, thing, c.grantOf(thing)) {
		if host, ok := c.index.Host(name); ok {
			c.claiming[thing]++
			c.sendClaim(now, host, ClaimRequest{Claim: c.placer.Claim(thing), Share: share})
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
			c.claimEnded(request.Claim.Thing)
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

// observeClaim takes the answer to a claim, and takes the share back if one was
// held.
func (c *Controller) observeClaim(sentAt flow.Time, host string, request ClaimRequest, answer ClaimAnswer) {
	now := c.Clock.Now()
	back := c.placer.ObserveClaim(now, sentAt, host, request.Claim.Thing, answer.Answer)
	if !back || answer.State == nil || request.Share == nil {
		return
	}
	cut, ok := CutOf(c.index, c.Settings, request.Share.Customer)
	if !ok || cut.Shares != request.Share.Shares {
		return
	}
	limit := granter.ShareLimit(cut.Limit, request.Share.Share, request.Share.Shares)
	c.granter.Drop(*request.Share)
	c.granter.Adopt(now, limit, answer.State.Revision, *answer.State)
}

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
	thing := asked.Claim.Thing
	if asked.Share != nil && rateThing(*asked.Share) != thing {
		return ClaimAnswer{Answer: placer.ClaimAnswer{Wait: true}}
	}
	held, holds := c.placer.Holds(now, thing, c.grantOf(thing))
	answer := ClaimAnswer{Answer: c.placer.AnswerClaim(now, asked.Claim, c.grantOf(thing), 0, 0)}
	if !answer.Answer.Held || !holds || asked.Share == nil {
		return answer
	}
	if tenure, err := c.withLimit(now, *asked.Share, held); err == nil {
		state := c.granter.Cede(now, *asked.Share, tenure, 0)
		answer.State = &state
	}
	return answer
}
