// Settings of the pools.

package drawer

import "time"

// Settings tune the pools of one ingress.
type Settings struct {
	Horizon      time.Duration // demand for which tokens are held in stock
	Averaging    time.Duration // over which demand is averaged
	FarHorizon   time.Duration // demand for which tokens are held in stock while the customer is well under its rate
	FarAveraging time.Duration // over which demand is averaged for that
	WaitLimit    time.Duration // a request waits no longer for tokens
	DryWait      time.Duration // a request waits when a dry share is worth asking again within this time, so that a short shortage refuses nobody
	OverWait     time.Duration // the same while the customer keeps being over its rate
	OverMemory   time.Duration // a customer that was refused as over its rate within this time keeps being over it
	MaxWaiting   int           // requests that may wait at once
	DryLimit     time.Duration // longest memory of a share that had too little
	HedgeAfter   time.Duration // an owner silent for so long is not waited for; others are asked
	AskTimeout   time.Duration // an owner silent for so long counts as away, unless it was slow before
	AskLimit     time.Duration // a slow owner that is silent for so long counts as away
	AwayFirst    time.Duration // an owner that is away is asked again after this time, then after twice the time, and so on
	AwayLimit    time.Duration // longest time between attempts to ask an owner that is away
	ReportDelay  time.Duration // used and returned tokens are reported within this time, or sooner for small bursts
	IdleAfter    time.Duration // a pool without demand for so long is forgotten
}

// DefaultSettings returns the settings for hosts in one region.
func DefaultSettings() Settings {
	return Settings{
		Horizon:      100 * time.Millisecond,
		Averaging:    200 * time.Millisecond,
		FarHorizon:   750 * time.Millisecond,
		FarAveraging: 2 * time.Second,
		WaitLimit:    250 * time.Millisecond,
		DryWait:      200 * time.Millisecond,
		OverWait:     30 * time.Millisecond,
		OverMemory:   time.Second,
		MaxWaiting:   1024,
		DryLimit:     250 * time.Millisecond,
		HedgeAfter:   10 * time.Millisecond,
		AskTimeout:   100 * time.Millisecond,
		AskLimit:     300 * time.Millisecond,
		AwayFirst:    50 * time.Millisecond,
		AwayLimit:    400 * time.Millisecond,
		ReportDelay:  100 * time.Millisecond,
		IdleAfter:    2 * time.Second,
	}
}

const (
	leaseReserve = 4 // a lease's tokens are returned in the last part of its life: one in so many
	stockExcess  = 2 // a stock this many times the target is cut back to the target
)
