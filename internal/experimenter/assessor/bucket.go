// The reference that tells which refusals hit a customer inside its rate.

package assessor

import "time"

// Bucket is the token bucket of one customer's own rate and burst, in one
// place and without delay: the best that a fleet could do. It starts full and
// is not safe for use by many goroutines.
type Bucket struct {
	perSecond float64
	burst     float64
	level     float64
	started   bool
	at        time.Duration // of the last request, once started
}

// NewBucket returns a full bucket.
func NewBucket(perSecond float64, burst int) *Bucket {
	return &Bucket{perSecond: perSecond, burst: float64(burst), level: float64(burst)}
}

// levelTolerance covers the rounding of floating point sums.
const levelTolerance = 1e-9 // tokens

// Admit takes one token at a time, and reports whether there was one. Times
// are counted from any origin and must not fall.
func (b *Bucket) Admit(at time.Duration) bool {
	if b.started {
		b.level = min(b.burst, b.level+b.perSecond*(at-b.at).Seconds())
	}
	b.started, b.at = true, at
	if b.level < 1-levelTolerance {
		return false
	}
	b.level--
	return true
}
