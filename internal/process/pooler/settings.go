// Settings of the token pools.

package pooler

import "time"

// Settings tune the pools of one ingress.
type Settings struct {
	StockHorizon      time.Duration // tokens are stocked for the demand expected within this time
	DemandAveraging   time.Duration // time constant of the demand average behind StockHorizon
	PrefetchHorizon   time.Duration // longer stock horizon, used while the customer is well under its rate
	PrefetchAveraging time.Duration // time constant of the demand average behind PrefetchHorizon
	MaxWait           time.Duration // longest wait of a request for a token
	ExhaustedWait     time.Duration // a request waits if an exhausted share may be tried again within this time, so that a short shortage causes no refusals
	OverRateWait      time.Duration // replaces ExhaustedWait while the customer stays over its rate
	OverRateMemory    time.Duration // a customer counts as over its rate for this time after a refusal for that reason
	MaxWaiting        int           // most requests of one customer that wait at once
	MaxExhausted      time.Duration // a share that had too few tokens is tried again after this time at the latest
	HedgeAfter        time.Duration // other owners are tried when an owner has not answered for this long
	OwnerTimeout      time.Duration // response timeout, for an owner that was not slow before
	MaxOwnerTimeout   time.Duration // longest response timeout, for an owner that was slow before
	FirstBackoff      time.Duration // delay before an owner is tried again after a failure; doubles with each failure
	MaxBackoff        time.Duration // longest delay after a failure
	MaxReportDelay    time.Duration // used and returned tokens are reported within this time, sooner for small bursts
	IdleAfter         time.Duration // a pool without requests for this long can be dropped
}

// DefaultSettings returns settings for hosts within one region.
func DefaultSettings() Settings {
	return Settings{
		StockHorizon:      100 * time.Millisecond,
		DemandAveraging:   200 * time.Millisecond,
		PrefetchHorizon:   750 * time.Millisecond,
		PrefetchAveraging: 2 * time.Second,
		MaxWait:           250 * time.Millisecond,
		ExhaustedWait:     200 * time.Millisecond,
		OverRateWait:      30 * time.Millisecond,
		OverRateMemory:    time.Second,
		MaxWaiting:        1024,
		MaxExhausted:      250 * time.Millisecond,
		HedgeAfter:        10 * time.Millisecond,
		OwnerTimeout:      100 * time.Millisecond,
		MaxOwnerTimeout:   300 * time.Millisecond,
		FirstBackoff:      50 * time.Millisecond,
		MaxBackoff:        400 * time.Millisecond,
		MaxReportDelay:    100 * time.Millisecond,
		IdleAfter:         2 * time.Second,
	}
}

const (
	leaseReturnParts  = 4 // unused tokens are returned in the last 1/leaseReturnParts of a lease's lifetime
	stockExcessFactor = 2 // stock beyond this multiple of its target is returned down to the target
)
