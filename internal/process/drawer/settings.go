// Settings of the pools.

package drawer

import "time"

// Settings tune the pools of one ingress.
type Settings struct {
	StockHorizon      time.Duration // demand for which tokens are held in stock
	DemandAveraging    time.Duration // over which demand is averaged
	PrefetchHorizon   time.Duration // demand for which tokens are held in stock while the customer is well under its rate
	PrefetchAveraging time.Duration // over which demand is averaged for that
	MaxWait    time.Duration // a request waits no longer for tokens
	ExhaustedWait      time.Duration // a request waits when a dry share is worth asking again within this time, so that a short shortage refuses nobody
	OverRateWait     time.Duration // the same while the customer keeps being over its rate
	OverRateMemory   time.Duration // a customer that was refused as over its rate within this time keeps being over it
	MaxWaiting   int           // requests that may wait at once
	MaxExhausted     time.Duration // longest memory of a share that had too little
	HedgeAfter   time.Duration // an owner silent for so long is not waited for; others are asked
	OwnerTimeout   time.Duration // an owner silent for so long counts as away, unless it was slow before
	MaxOwnerTimeout     time.Duration // a slow owner that is silent for so long counts as away
	FirstBackoff    time.Duration // an owner that is away is asked again after this time, then after twice the time, and so on
	MaxBackoff    time.Duration // longest time between attempts to ask an owner that is away
	MaxReportDelay  time.Duration // used and returned tokens are reported within this time, or sooner for small bursts
	IdleAfter    time.Duration // a pool without demand for so long is forgotten
}

// DefaultSettings returns the settings for hosts in one region.
func DefaultSettings() Settings {
	return Settings{
		StockHorizon:      100 * time.Millisecond,
		DemandAveraging:    200 * time.Millisecond,
		PrefetchHorizon:   750 * time.Millisecond,
		PrefetchAveraging: 2 * time.Second,
		MaxWait:    250 * time.Millisecond,
		ExhaustedWait:      200 * time.Millisecond,
		OverRateWait:     30 * time.Millisecond,
		OverRateMemory:   time.Second,
		MaxWaiting:   1024,
		MaxExhausted:     250 * time.Millisecond,
		HedgeAfter:   10 * time.Millisecond,
		OwnerTimeout:   100 * time.Millisecond,
		MaxOwnerTimeout:     300 * time.Millisecond,
		FirstBackoff:    50 * time.Millisecond,
		MaxBackoff:    400 * time.Millisecond,
		MaxReportDelay:  100 * time.Millisecond,
		IdleAfter:    2 * time.Second,
	}
}

const (
	leaseReturnParts = 4 // a lease's tokens are returned in the last part of its life: one in so many
	stockExcessFactor  = 2 // a stock this many times the target is cut back to the target
)
