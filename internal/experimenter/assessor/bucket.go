// The token bucket that tells which refused requests were within the customer's rate.

package assessor

import "time"

// Bucket is a token bucket with one customer's rate and burst. It is the
// reference for a fleet: one bucket, consulted without delay, is the best that
// a distributed rate limiter can achieve. It is not safe for concurrent use.
type Bucket struct {
	perSecond float64
	burst     float64
	level     float64
	started   bool
	lastAt    time.Duration // of the last request, once started
}

// NewBucket returns a full bucket.
func NewBucket(perSecond float64, burst int) *Bucket {
	return &Bucket{perSecond: perSecond, burst: float64(burst), level: float64(burst)}
}

// levelTolerance absorbs rounding errors of floating-point sums.
const levelTolerance = 1e-9 // tokens

// Admit takes one token and reports whether one was left. The time at counts
// from any fixed origin, may be negative, and must not go backward.
func (b *Bucket) Admit(at time.Duration) bool {
	if b.started {
		b.level = min(b.burst, b.level+b.perSecond*(at-b.lastAt).Seconds())
	}
	b.started, b.lastAt = true, at
	if b.level < 1-levelTolerance {
		return false
	}
	b.level--
	return true
}
