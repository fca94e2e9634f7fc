// Rate limits of customers, on the side of the owner.

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
	errNoLease           = flow.NotOwnerError("the daemon does not hold its lease")
	errNotOwner          = flow.NotOwnerError("the daemon is not the owner")
	errLayoutMismatch    = errors.New("the rate is cut in another way in the revision in force here")
	errSupersededRequest = errors.New("a newer request was taken already")
	errRecordNotFound    = errors.New("there is no such record")
)

// ratePrefix begins the resource names of shares of rates.
const ratePrefix = "rate/"

// rateResource names a share of a customer's rate for the choice of its owner.
func rateResource(key granter.Key) string {
	return fmt.Sprintf("%s%s/%d/%d", ratePrefix, key.Customer, key.Shares, key.Share)
}

func granterSettings(settings parser.Settings) granter.Settings {
	s := granter.DefaultSettings()
	s.Lifetime = settings.Rate.TokenLifetime
	return s
}

// tokenGrantLifetime returns how long granted tokens may be used after the
// grant.
func (c *Controller) tokenGrantLifetime() time.Duration {
	s := granterSettings(c.Settings)
	return s.Lifetime + s.Margin
}

// ShareLayoutOf returns the region's limit of a customer's rate and the number of
// shares it is divided into, by an index. It is false when the customer has no
// rate.
func ShareLayoutOf(index *indexer.Index, settings parser.Settings, customer string) (leaser.ShareLayout, bool) {
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

func (c *Controller) handleDraw(ctx context.Context, message any) (any, error) {
	var request granter.Request
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	var answer granter.Answer
	return &answer, c.runOnControl(ctx, func() error {
		var err error
		answer, err = c.grantTokens(c.Clock.Now(), request)
		return err
	})
}

func (c *Controller) grantTokens(now flow.Time, request granter.Request) (granter.Answer, error) {
	if !c.mayAct(now) {
		return granter.Answer{}, errNoLease
	}
	key := granter.KeyOf(request)
	tenure, err := c.tenureOf(now, key)
	if err != nil {
		return granter.Answer{}, err
	}
	answer, ok := c.granter.Grant(now, tenure, request)
	if !ok {
		return granter.Answer{}, errSupersededRequest
	}
	return answer, nil
}

// tenureOf returns the tenure of this host in a share, or the reason why it has
// none.
func (c *Controller) tenureOf(now flow.Time, key granter.Key) (granter.Tenure, error) {
	resource := rateResource(key)
	tenure, held := c.placer.Holds(now, resource, c.tokenGrantLifetime())
	if !held {
		c.sendClaims(now, resource, &key)
		return granter.Tenure{}, errNotOwner
	}
	return c.withShareLimit(now, key, tenure)
}

// withShareLimit adds the limit of the share to a tenure. The tenure starts no
// earlier than the time from which no daemon grants by an earlier layout of the rate.
func (c *Controller) withShareLimit(now flow.Time, key granter.Key, tenure placer.Tenure) (granter.Tenure, error) {
	layout, ok := ShareLayoutOf(c.index, c.Settings, key.Customer)
	if !ok {
		return granter.Tenure{}, errRecordNotFound
	}
	if layout.Shares != key.Shares || key.Share < 0 || key.Share >= layout.Shares {
		return granter.Tenure{}, errLayoutMismatch
	}
	layoutSince, known := c.layoutSince(key.Customer)
	if !known || now < layoutSince.Add(c.tokenGrantLifetime()) {
		return granter.Tenure{}, errNotOwner
	}
	limit := granter.ShareLimit(layout.Limit, key.Share, key.Shares)
	return granter.Tenure{Since: max(tenure.Since, layoutSince), Limit: limit}, nil
}

// layoutSince returns the time from which no daemon grants tokens by an earlier
// layout of a customer's rate. It is false while that time is unknown.
func (c *Controller) layoutSince(customer string) (flow.Time, bool) {
	revision, changed := c.layoutRevisions[customer]
	if !changed {
		revision = c.firstRevision
	}
	appliedAt, applied := c.prover.AppliedAt(revision)
	if !applied {
		return flow.Never, false
	}
	return appliedAt.Add(c.Settings.Lease.Timeout), true
}

// updateRates applies changed rates to the buckets of this host.
func (c *Controller) updateRates(now flow.Time, old *indexer.Index, changes []merger.Change) {
	for _, change := range changes {
		if change.ID.Kind != flow.KindRate {
			continue
		}
		for _, customer := range customersOf(change) {
			c.updateRate(now, old, customer, change.Revision)
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

func (c *Controller) updateRate(now flow.Time, old *indexer.Index, customer string, revision flow.Revision) {
	before, had := ShareLayoutOf(old, c.Settings, customer)
	after, has := ShareLayoutOf(c.index, c.Settings, customer)
	if !had || !has || before.Shares != after.Shares {
		c.layoutRevisions[customer] = revision
		return
	}
	for share := range after.Shares {
		key := granter.Key{Customer: customer, Share: share, Shares: after.Shares}
		tenure, held := c.placer.Holds(now, rateResource(key), c.tokenGrantLifetime())
		if !held {
			continue
		}
		c.granter.SetLimit(now, key, granter.ShareLimit(before.Limit, share, before.Shares), granter.Tenure{
			Since: tenure.Since,
			Limit: granter.ShareLimit(after.Limit, share, after.Shares),
		})
	}
}

// pruneLayouts removes changes of layouts that are so old that even a bucket that
// was never drawn on is full by now.
func (c *Controller) pruneLayouts(now flow.Time) {
	for customer := range c.layoutRevisions {
		since, known := c.layoutSince(customer)
		if known && now.Sub(since) > c.tokenGrantLifetime()+c.bucketFillTime(customer) {
			delete(c.layoutRevisions, customer)
		}
	}
}

// bucketFillTime returns how long the empty buckets of a customer take to fill.
func (c *Controller) bucketFillTime(customer string) time.Duration {
	layout, ok := ShareLayoutOf(c.index, c.Settings, customer)
	if !ok || layout.Limit.MicrotokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(layout.Limit.Burst+layout.Shares) / layout.Limit.PerSecond()
	return time.Duration(seconds * float64(time.Second))
}
