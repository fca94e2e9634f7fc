// The estimate of how much of a share the customer uses. A customer that is well
// under its rate may prefetch tokens and report their use late.

package granter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// ampleLevelPart is the part of the burst from which on the level is ample.
	ampleLevelPart = 0.75
	// prefetchReservePart is the part of the burst that cannot be prefetched.
	prefetchReservePart = 0.7
	// wellUnderRatePart is the part of its rate up to which a customer is well
	// under it.
	wellUnderRatePart = 0.75
	// assumedUsagePart is the part of its rate that a customer is assumed to use
	// before its usage has been observed.
	assumedUsagePart = 0.65
	// minUsageAveraging is the shortest time constant of the usage average.
	minUsageAveraging = 5 * time.Second
)

// usage is an exponentially decaying count of the tokens that were granted and
// not returned.
type usage struct {
	tokens float64
	at     flow.Time
}

func (u *usage) add(now flow.Time, tokens int, averaging time.Duration) {
	if u.tokens != 0 && u.at.Before(now) {
		u.tokens *= math.Exp(-float64(now.Sub(u.at)) / float64(averaging))
	}
	u.tokens = max(u.tokens+float64(tokens), 0)
	u.at = max(u.at, now)
}

// ample reports whether the customer is well under its rate and the level is
// high, counting the tokens held by ing itself. Reports of use may then come late
// without any ingress running short of tokens.
func (b *Bucket) ample(ing *ingress) bool {
	held := int64(ing.outstanding()) * nanotokensPerToken
	return b.wellUnderRate() && float64(b.levelAmount()+held) >= ampleLevelPart*float64(b.burstAmount())
}

// wellUnderRate reports whether the customer is well under its rate, and its burst
// large enough to spare some tokens for the lifetime of a lease.
func (b *Bucket) wellUnderRate() bool {
	if b.limit.Burst < minShareBurst || b.limit.refillTime() < b.settings.Lifetime {
		return false
	}
	return b.usage.tokens <= wellUnderRatePart*b.limit.PerSecond()*b.usageAveraging().Seconds()
}

// prefetch returns how many of the wanted tokens may be prefetched at a level.
func (b *Bucket) prefetch(want, level int) int {
	if !b.wellUnderRate() {
		return 0
	}
	spare := level - int(math.Ceil(prefetchReservePart*float64(b.limit.Burst)))
	return max(min(want, spare), 0)
}

// usageAveraging returns the time constant of the usage average: the time in
// which the burst accrues.
func (b *Bucket) usageAveraging() time.Duration { return max(b.limit.refillTime(), minUsageAveraging) }
