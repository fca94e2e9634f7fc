// The owner's side of customers' rates.

package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

var (
	errNoLease      = flow.NotOwner("the daemon does not hold its lease")
	errNotOwner     = flow.NotOwner("the daemon is not the owner")
	errOtherCut     = errors.New("the rate is cut in another way in the revision in force here")
	errOldRequest   = errors.New("a newer request was taken already")
	errNoSuchRecord = errors.New("there is no such record")
)

// ratePrefix begins the names of shares of rates.
const ratePrefix = "rate/"

// rateThing names a share of a customer's rate for the placement of ownership.
func rateThing(key granter.Key) string {
	return fmt.Sprintf("%s%s/%d/%d", ratePrefix, key.Customer, key.Shares, key.Share)
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
func CutOf(index *indexer.Index, settings parser.Settings, customer string) (leaser.ShareLayout, bool) {
	rate, ok := index.RateOf(customer)
	if !ok {
		return leaser.ShareLayout{}, false
	}
	limit := granter.RegionRate(rate, settings.Region, index.Regions())
	shares := 1
	if settings.Behaviour.RateSplit == parser.RateSplitLeased {
		shares = granter.ShareCount(limit, settings.Rate.Shares)
	}
	return leaser.ShareLayout{Limit: limit, Shares: shares}, true
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
	thing := rateThing(key)
	tenure, held := c.placer.Holds(now, thing, c.grantLife())
	if !held {
		c.claim(now, thing, &key)
		return granter.Tenure{}, errNotOwner
	}
	return c.withLimit(now, key, tenure)
}

// withLimit completes a tenure in a share by the share's limit and by the time
// from which its cut is in force.
func (c *Controller) withLimit(now flow.Time, key granter.Key, tenure placer.Tenure) (granter.Tenure, error) {
	cut, ok := CutOf(c.index, c.Settings, key.Customer)
	if !ok {
		return granter.Tenure{}, errNoSuchRecord
	}
	if cut.Shares != key.Shares || key.Share < 0 || key.Share >= cut.Shares {
		return granter.Tenure{}, errOtherCut
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
	appliedAt, applied := c.prover.AppliedAt(revision)
	if !applied {
		return flow.Never, false
	}
	return appliedAt.Add(c.Settings.Lease.Timeout), true
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
