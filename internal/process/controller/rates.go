// The owner's side of customers' rates.

package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

var (
	errNoLease      = errors.New("the daemon does not hold its lease")
	errNotOwner     = errors.New("the daemon is not the owner")
	errOtherCut     = errors.New("the rate is cut in another way in the revision in force here")
	errOldRequest   = errors.New("a newer request was taken already")
	errNoSuchRecord = errors.New("there is no such record")
)

// rateThing names a share of a customer's rate for the placement of ownership.
func rateThing(key granter.Key) string {
	return fmt.Sprintf("rate/%s/%d/%d", key.Customer, key.Shares, key.Share)
}

func granterSettings(settings parser.Settings) granter.Settings {
	s := granter.DefaultSettings()
	s.Lifetime = settings.Rate.TokenLifetime
	return s
}

// grantLife is how long a grant of tokens may be used after it was made.
func (c *Controller) grantLife() time.Duration {
	s := granterSettings(c.Settings)
	return s.Lifetime + s.Margin
}

// CutOf returns how a customer's rate is cut in a region, by an index.
func CutOf(index *indexer.Index, settings parser.Settings, customer string) (leaser.Cut, bool) {
	rate, ok := index.RateOf(customer)
	if !ok {
		return leaser.Cut{}, false
	}
	limit := granter.RegionRate(rate, settings.Region, index.Regions())
	shares := 1
	if settings.Behaviour.RateSplit == parser.RateSplitLeased {
		shares = granter.ShareCount(limit, settings.Rate.Shares)
	}
	return leaser.Cut{Limit: limit, Shares: shares}, true
}

// -----------------------------------------------------------------------------

func (c *Controller) answerDraw(ctx context.Context, request any) (any, error) {
	var asked granter.Request
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	var answer granter.Answer
	return &answer, c.answerOn(ctx, func() error {
		var err error
		answer, err = c.grant(c.Clock.Now(), asked)
		return err
	})
}

func (c *Controller) grant(now flow.Time, asked granter.Request) (granter.Answer, error) {
	if !c.mayAct(now) {
		return granter.Answer{}, errNoLease
	}
	key := granter.KeyOf(asked)
	tenure, err := c.tenureOf(now, key)
	if err != nil {
		return granter.Answer{}, err
	}
	answer, ok := c.granter.Grant(now, tenure, asked)
	if !ok {
		return granter.Answer{}, errOldRequest
	}
	return answer, nil
}

// tenureOf returns the tenure of this host in a share, or why it has none.
func (c *Controller) tenureOf(now flow.Time, key granter.Key) (granter.Tenure, error) {
	cut, ok := CutOf(c.index, c.Settings, key.Customer)
	if !ok {
		return granter.Tenure{}, errNoSuchRecord
	}
	if cut.Shares != key.Shares || key.Share < 0 || key.Share >= cut.Shares {
		return granter.Tenure{}, errOtherCut
	}
	thing := rateThing(key)
	tenure, held := c.placer.Holds(now, thing, c.grantLife())
	if !held {
		c.claim(now, key)
		return granter.Tenure{}, errNotOwner
	}
	cutSince, known := c.cutSince(key.Customer)
	if !known || now < cutSince.Add(c.grantLife()) {
		return granter.Tenure{}, errNotOwner
	}
	limit := granter.ShareLimit(cut.Limit, key.Share, key.Shares)
	return granter.Tenure{Since: max(tenure.Since, cutSince), Limit: limit}, nil
}

// cutSince returns the time from which nobody grants by an earlier cut of a
// customer's rate. It is false while that cannot be told.
func (c *Controller) cutSince(customer string) (flow.Time, bool) {
	revision, changed := c.cuts[customer]
	if !changed {
		revision = c.baseline
	}
	settledAt, settled := c.prover.SettledAt(revision)
	if !settled {
		return flow.Never, false
	}
	return settledAt.Add(c.Settings.Lease.Timeout), true
}

// ratesChanged brings changed rates into force at the buckets of this host.
func (c *Controller) ratesChanged(now flow.Time, old *indexer.Index, changes []merger.Change) {
	for _, change := range changes {
		if change.ID.Kind != flow.KindRate {
			continue
		}
		for _, customer := range customersOf(change) {
			c.rateChanged(now, old, customer, change.Revision)
		}
	}
}

func customersOf(change merger.Change) []string {
	var customers []string
	for _, record := range []flow.Record{change.Old, change.New} {
		if rate, ok := record.(*flow.Rate); ok && rate != nil {
			customers = append(customers, rate.Customer)
		}
	}
	return customers
}

func (c *Controller) rateChanged(now flow.Time, old *indexer.Index, customer string, revision flow.Revision) {
	before, had := CutOf(old, c.Settings, customer)
	after, has := CutOf(c.index, c.Settings, customer)
	if !had || !has || before.Shares != after.Shares {
		c.cuts[customer] = revision
		return
	}
	for share := range after.Shares {
		key := granter.Key{Customer: customer, Share: share, Shares: after.Shares}
		tenure, held := c.placer.Holds(now, rateThing(key), c.grantLife())
		if !held {
			continue
		}
		c.granter.SetLimit(now, key, granter.ShareLimit(before.Limit, share, before.Shares), granter.Tenure{
			Since: tenure.Since,
			Limit: granter.ShareLimit(after.Limit, share, after.Shares),
		})
	}
}

// forgetCuts drops the changes of cuts after which a bucket that was never
// drawn on is full by now.
func (c *Controller) forgetCuts(now flow.Time) {
	for customer := range c.cuts {
		since, known := c.cutSince(customer)
		if known && now.Sub(since) > c.grantLife()+c.fillTime(customer) {
			delete(c.cuts, customer)
		}
	}
}

// fillTime is how long the empty buckets of a customer take to fill.
func (c *Controller) fillTime(customer string) time.Duration {
	cut, ok := CutOf(c.index, c.Settings, customer)
	if !ok || cut.Limit.MicrotokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(cut.Limit.Burst+cut.Shares) / cut.Limit.PerSecond()
	return time.Duration(seconds * float64(time.Second))
}

// -----------------------------------------------------------------------------

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

// cede hands one share to the host that comes next, if that is possible. The
// cession is sent once; when it is lost, the share moves with the list.
func (c *Controller) cede(now flow.Time, key granter.Key) {
	tenure, err := c.tenureOf(now, key)
	if err != nil || !c.mayAct(now) {
		return
	}
	thing := rateThing(key)
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
	request := CedeRequest{Cession: cession, State: state}
	c.start(heartbeatTimeout, func(ctx context.Context) {
		var answer CedeAnswer
		if err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallCede, request, &answer); err != nil {
			c.Log.Error(err, "cession was not answered", "step", "cede", "peer", host.Name, "thing", thing)
		}
	})
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

// ClaimRequest asks for a share back that a predecessor of the asker's process
// may have ceded.
type ClaimRequest struct {
	Claim placer.Claim `msgpack:"c"`
	Key   granter.Key  `msgpack:"k"`
}

// ClaimAnswer answers a ClaimRequest.
type ClaimAnswer struct {
	Answer placer.ClaimAnswer `msgpack:"a"`
	State  *granter.State     `msgpack:"s,omitempty"` // of the share when it is handed back
}

// claim asks the hosts back that may hold a share by a cession of this
// process's predecessor.
func (c *Controller) claim(now flow.Time, key granter.Key) {
	thing := rateThing(key)
	for _, name := range c.placer.Claims(now, thing, c.grantLife()) {
		host, ok := c.index.Host(name)
		if !ok || c.claiming[thing] {
			continue
		}
		c.claiming[thing] = true
		c.sendClaim(now, host, ClaimRequest{Claim: c.placer.Claim(thing), Key: key})
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
			delete(c.claiming, request.Claim.Thing)
			if err == nil {
				c.observeClaim(sentAt, host.Name, request, answer)
			}
		})
	})
}

// observeClaim takes the answer to a claim, and takes the share back if it was
// held.
func (c *Controller) observeClaim(sentAt flow.Time, host string, request ClaimRequest, answer ClaimAnswer) {
	now := c.Clock.Now()
	back := c.placer.ObserveClaim(now, sentAt, host, request.Claim.Thing, answer.Answer)
	cut, ok := CutOf(c.index, c.Settings, request.Key.Customer)
	if !back || answer.State == nil || !ok || cut.Shares != request.Key.Shares {
		return
	}
	limit := granter.ShareLimit(cut.Limit, request.Key.Share, request.Key.Shares)
	c.granter.Drop(request.Key)
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

// handBack answers a claim, giving up the share if it is held by a cession.
func (c *Controller) handBack(now flow.Time, asked ClaimRequest) ClaimAnswer {
	if rateThing(asked.Key) != asked.Claim.Thing {
		return ClaimAnswer{Answer: placer.ClaimAnswer{Wait: true}}
	}
	tenure, err := c.tenureOf(now, asked.Key)
	answer := ClaimAnswer{Answer: c.placer.AnswerClaim(now, asked.Claim, c.grantLife(), 0, 0)}
	if answer.Answer.Held && err == nil {
		state := c.granter.Cede(now, asked.Key, tenure, 0)
		answer.State = &state
	}
	return answer
}
