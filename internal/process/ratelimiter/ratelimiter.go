// Package ratelimiter limits the request rate of each customer over all hosts
// together, and divides a retry budget among all daemons.
//
// Each customer has one owner among the listed hosts, chosen by rendezvous
// hashing. The owner keeps the customer's token bucket, and every daemon requests
// a token from it for each request. A daemon that cannot reach the owner turns to
// the deputy; one that reaches neither uses a standalone bucket of its own. A new
// owner does not know what the previous one has admitted. Requests admitted
// without the owner, and at first those admitted by a new owner, stay within the
// tolerated overage of the rate, however many daemons are cut off.
//
// Buckets do no input or output and read no clock: the caller passes the time.
// They are not safe for concurrent use.
//
// It is a part of the sidecar that package supervisor runs. The daemon that
// package runner runs has packages granter, leaser and pooler instead.
package ratelimiter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Rate is the refill rate and the size of a token bucket, in requests.
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

// SetRate changes the rate. Tokens in excess of the new burst are dropped.
func (b *Bucket) SetRate(now flow.Time, rate Rate) {
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, rate.Burst)
}

// Take takes one token. If there is none, retryAfter is the time until the next
// one, or a second if the bucket is never refilled.
func (b *Bucket) Take(now flow.Time) (ok bool, retryAfter time.Duration) {
	b.refill(now)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	if b.rate.PerSecond <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.level) / b.rate.PerSecond * float64(time.Second))
}

func (b *Bucket) refill(now flow.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(max(b.rate.Burst, 1), b.level+elapsed.Seconds()*b.rate.PerSecond)
		b.at = now
	}
}

// Buckets holds the buckets of one daemon by customer.
type Buckets struct {
	buckets map[string]*Bucket
}

// NewBuckets returns an empty Buckets.
func NewBuckets() *Buckets { return &Buckets{buckets: map[string]*Bucket{}} }

// Ensure creates the bucket of a customer with the given level, if there is none.
// The bucket refills from now on, even while it is not used.
func (b *Buckets) Ensure(now flow.Time, customer string, rate Rate, level float64) {
	if _, known := b.buckets[customer]; !known {
		b.buckets[customer] = &Bucket{rate: rate, level: min(level, rate.Burst), at: now}
	}
}

// Restart replaces the bucket of a customer by one with the given level.
func (b *Buckets) Restart(now flow.Time, customer string, rate Rate, level float64) {
	delete(b.buckets, customer)
	b.Ensure(now, customer, rate, level)
}

// Retain drops the buckets of all other customers.
func (b *Buckets) Retain(customers map[string]bool) {
	for customer := range b.buckets {
		if !customers[customer] {
			delete(b.buckets, customer)
		}
	}
}

// Level returns the level of the bucket of a customer, or 0 if there is none.
func (b *Buckets) Level(now flow.Time, customer string) float64 {
	bucket, known := b.buckets[customer]
	if !known {
		return 0
	}
	bucket.refill(now)
	return bucket.level
}

// Take takes a token from the bucket of a customer, as Bucket.Take does. It sets
// the rate of the bucket, and creates an empty one if there is none.
func (b *Buckets) Take(now flow.Time, customer string, rate Rate) (ok bool, retryAfter time.Duration) {
	b.Ensure(now, customer, rate, 0)
	bucket := b.buckets[customer]
	if bucket.rate != rate {
		bucket.SetRate(now, rate)
	}
	return bucket.Take(now)
}

// Sweep drops the buckets that have not been used for longer than maxIdle.
func (b *Buckets) Sweep(now flow.Time, maxIdle time.Duration) {
	for customer, bucket := range b.buckets {
		if now.Sub(bucket.at) > maxIdle {
			delete(b.buckets, customer)
		}
	}
}

// The parts of the tolerated overage, which is a share of the rate plus a slack,
// a fixed number of requests.
const (
	// deputyShare is the part that an owner's deputy admits for all daemons that
	// cannot reach the owner.
	deputyShare = 0.7
	// standaloneShare is the part that all daemons that reach neither owner nor
	// deputy admit together.
	standaloneShare = 0.2
	// newOwnerShare is the part that a new owner admits before its bucket has
	// refilled.
	newOwnerShare = 1 - deputyShare - standaloneShare
)

// NewOwnerLevel returns the initial level of the bucket at a new owner.
func NewOwnerLevel(rate Rate, overage, slack float64) float64 {
	return (rate.Burst*overage + slack) * newOwnerShare
}

// DeputyRate returns the rate at which a deputy admits requests while other
// daemons may still reach the owner.
func DeputyRate(rate Rate, overage, slack float64) Rate {
	return Rate{PerSecond: rate.PerSecond * overage * deputyShare, Burst: (rate.Burst*overage + slack) * deputyShare}
}

// StandaloneRate returns the rate at which one of the given number of daemons
// admits requests when it reaches neither owner nor deputy.
func StandaloneRate(rate Rate, overage, slack float64, daemons int) Rate {
	share := standaloneShare / float64(max(daemons, 1))
	return Rate{PerSecond: rate.PerSecond * overage * share, Burst: (rate.Burst*overage + slack) * share}
}
