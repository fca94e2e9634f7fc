// Usage estimates what a customer uses of a share, so that the owner can be
// generous with a customer that is well under its rate.

package granter

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// amplePart: a level of this part of the burst is ample.
	ampleLevelPart = 0.75
	// keptPart is the part of the burst that is not lent for a longer time.
	prefetchReservePart = 0.7
	// modestPart: a customer that uses this part of its rate is well under it.
	wellUnderRatePart = 0.75
	// unknownPart is the part of its rate that a customer is taken to use while
	// nothing is known.
	assumedUsagePart = 0.65
	// leastAveraging is the shortest time over which usage is averaged.
	minUsageAveraging = 5 * time.Second
)

// usage is an exponentially weighted count of the tokens that were granted
// lately and not returned.
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

// ample reports whether the customer is well under its rate and the level high,
// but for what the asker itself holds. Then nobody misses tokens whose use is
// known late.
func (b *Bucket) ample(a *ingress) bool {
	held := int64(a.outstanding()) * nanotokensPerToken
	return b.wellUnderRate() && float64(b.levelAmount()+held) >= ampleLevelPart*float64(b.burstAmount())
}

// modest reports whether the customer is well under its rate, and its burst
// large enough that some tokens can be spared while a lease lives.
func (b *Bucket) wellUnderRate() bool {
	if b.limit.Burst < minShareBurst || b.limit.refillTime() < b.settings.Lifetime {
		return false
	}
	return b.usage.tokens <= wellUnderRatePart*b.limit.PerSecond()*b.usageAveraging().Seconds()
}

// ahead returns how many tokens may be lent for a longer time, of a level.
func (b *Bucket) prefetch(want, level int) int {
	if !b.wellUnderRate() {
		return 0
	}
	spare := level - int(math.Ceil(prefetchReservePart*float64(b.limit.Burst)))
	return max(min(want, spare), 0)
}

// averaging is the time over which usage is averaged: that in which the burst
// accrues.
func (b *Bucket) usageAveraging() time.Duration { return max(b.limit.refillTime(), minUsageAveraging) }
