// Package allower holds customers to their rates over all hosts together.
//
// Each customer has one owner, by rendezvous hashing over the listed hosts. The
// owner keeps a token bucket and every daemon asks it for each request. A daemon
// that does not reach the owner asks the deputy, and one that reaches neither
// admits by a bucket of its own. A new owner does not know what the one before it
// has admitted. What is admitted without the owner, and at first by a new one, stays
// within the overage that the rate tolerates, however many daemons are cut off.
//
// The buckets are state machines: no input, output or clock.
package allower

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Rate is what a bucket holds and how fast it fills.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Bucket is a token bucket.
type Bucket struct {
	rate  Rate
	level float64
	at    flow.Time
}

// SetRate changes the rate. What the bucket holds beyond the new burst is lost.
func (b *Bucket) SetRate(now flow.Time, rate Rate) {
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, rate.Burst)
}

// Take takes one token, or tells when there will be one.
func (b *Bucket) Take(now flow.Time) (ok bool, retryAfter time.Duration) {
	b.fill(now)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	if b.rate.PerSecond <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.level) / b.rate.PerSecond * float64(time.Second))
}

func (b *Bucket) fill(now flow.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(max(b.rate.Burst, 1), b.level+passed.Seconds()*b.rate.PerSecond)
		b.at = now
	}
}

// Buckets are the buckets of one daemon, by customer.
type Buckets struct {
	buckets map[string]*Bucket
}

// NewBuckets returns no buckets.
func NewBuckets() *Buckets { return &Buckets{buckets: map[string]*Bucket{}} }

// Start makes a customer's bucket with a level if there is none. It fills before it
// is drawn on.
func (b *Buckets) Start(now flow.Time, customer string, rate Rate, level float64) {
	if _, known := b.buckets[customer]; !known {
		b.buckets[customer] = &Bucket{rate: rate, level: min(level, rate.Burst), at: now}
	}
}

// Take takes a token of a customer's bucket. One that was not started is empty.
func (b *Buckets) Take(now flow.Time, customer string, rate Rate) (ok bool, retryAfter time.Duration) {
	b.Start(now, customer, rate, 0)
	bucket := b.buckets[customer]
	if bucket.rate != rate {
		bucket.SetRate(now, rate)
	}
	return bucket.Take(now)
}

// Sweep forgets the buckets that were not used for a time.
func (b *Buckets) Sweep(now flow.Time, after time.Duration) {
	for customer, bucket := range b.buckets {
		if now.Sub(bucket.at) > after {
			delete(b.buckets, customer)
		}
	}
}

// The parts of the tolerated overage, which is a share of the rate and a number
// of requests beside it.
const (
	// deputyShare is what the deputy of an owner admits together for all daemons
	// that cannot reach the owner.
	deputyShare = 0.7
	// aloneShare is what all daemons that reach neither admit together.
	aloneShare = 0.2
	// firstShare is what a new owner admits before its bucket has filled: the rest.
	firstShare = 1 - deputyShare - aloneShare
)

// NewOwnerLevel is the level at which the bucket of a new owner starts.
func NewOwnerLevel(rate Rate, overage, slack float64) float64 {
	return (rate.Burst*overage + slack) * firstShare
}

// DeputyRate is the rate at which a deputy admits while others may still reach the
// owner.
func DeputyRate(rate Rate, overage, slack float64) Rate {
	return Rate{PerSecond: rate.PerSecond * overage * deputyShare, Burst: (rate.Burst*overage + slack) * deputyShare}
}

// StandaloneRate is the rate at which one of a number of daemons admits by itself.
func StandaloneRate(rate Rate, overage, slack float64, daemons int) Rate {
	share := aloneShare / float64(max(daemons, 1))
	return Rate{PerSecond: rate.PerSecond * overage * share, Burst: (rate.Burst*overage + slack) * share}
}

// The parts of a retry budget. What is left covers the calls that repeated
// requests make again, and the busiest seconds of daemons that come together.
const (
	// retryShare is the part of the share of requests that daemons spend.
	retryShare = 0.72
	// localSlack is the part of the slack that is dealt out evenly to them.
	localSlack = 0.08
	// pooledSlack is the part of the slack that the owner of a service deals out
	// to whoever has used up its own.
	pooledSlack = 0.64
)

// RetryBudget is a retry budget over all daemons.
type RetryBudget struct {
	Share  float64 // retries as a share of the requests for a service
	Slack  float64 // retries in a window beyond it
	Window time.Duration
}

// Local returns the part of one of a number of daemons: a share of its own
// requests, and retries in the window beyond it.
func (b RetryBudget) Local(daemons int) (share, slack float64) {
	return b.Share * retryShare, b.Slack * localSlack / float64(max(daemons, 1))
}

// Pool returns the rate of the bucket that a service's owner deals out. No window
// gets more of it than the pooled part of the slack.
func (b RetryBudget) Pool() Rate {
	pooled := b.Slack * pooledSlack
	return Rate{PerSecond: pooled / 2 / b.Window.Seconds(), Burst: pooled / 2}
}
