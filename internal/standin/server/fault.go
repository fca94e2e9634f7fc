// Gray faults: the server mishandles real requests while its health endpoint
// still reports that it is healthy.

package server

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// FaultKind names a gray fault.
type FaultKind string

// The faults.
const (
	// FaultNone is the absence of a fault.
	FaultNone FaultKind = "none"
	// FaultSlow multiplies the service time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultHalf runs the request, announces the full Content-Length, sends half
	// of the body and closes the connection.
	FaultHalf FaultKind = "half"
	// FaultHalfChunked is FaultHalf with a chunked response, which lacks its last
	// chunk.
	FaultHalfChunked FaultKind = "half-chunked"
	// FaultCrossed runs the request and responds with the ids and the body of
	// another request.
	FaultCrossed FaultKind = "crossed"
	// FaultLate runs the request and responds Delay later on the same
	// connection, whether or not the caller is still waiting.
	FaultLate FaultKind = "late"
	// FaultFailing runs the request and responds with status 500.
	FaultFailing FaultKind = "failing"
	// FaultReset runs the request and resets the connection.
	FaultReset FaultKind = "reset"
	// FaultSilent accepts the request and never responds.
	FaultSilent FaultKind = "silent"
)

// The defaults of a Fault.
const (
	defaultFaultFactor = 10
	defaultFaultDelay  = 5 * time.Second
)

// Fault is a gray fault. If Share is below one, it affects that share of the
// requests at random. If Period is set, the fault flaps: it is active in every
// other period, and the health endpoint reports unhealthy while it is.
type Fault struct {
	Kind   FaultKind
	Factor float64       // of FaultSlow; 0 for 10
	Delay  time.Duration // of FaultLate; 0 for 5 s
	Share  float64       // of the requests that are affected, 0 to 1; 0 for all
	Period time.Duration // of flapping; 0 for a permanent fault
}

// RegisterFlags adds the fault's flags to a flag set.
func (f *Fault) RegisterFlags(flags *flag.FlagSet) {
	flags.StringVar((*string)(&f.Kind), "fault", string(FaultNone), "gray fault: none, slow, half, half-chunked, crossed, late, failing, reset or silent")
	flags.Float64Var(&f.Factor, "fault-factor", defaultFaultFactor, "multiple of the service time, for slow")
	flags.DurationVar(&f.Delay, "fault-delay", defaultFaultDelay, "delay of the response, for late")
	flags.Float64Var(&f.Share, "fault-share", 1, "share of the requests that the fault affects")
	flags.DurationVar(&f.Period, "fault-period", 0, "time after which a flapping fault starts or stops; 0 for a permanent fault")
}

// check fills in the defaults and returns an error if the kind is unknown.
func (f *Fault) check() error {
	known := []FaultKind{
		FaultNone, FaultSlow, FaultHalf, FaultHalfChunked, FaultCrossed, FaultLate, FaultFailing, FaultReset, FaultSilent,
	}
	if f.Kind == "" {
		f.Kind = FaultNone
	}
	if !slices.Contains(known, f.Kind) {
		return flow.Wrap("set-fault", "", fmt.Errorf("unknown fault %q; allowed: %q", f.Kind, known))
	}
	if f.Factor == 0 {
		f.Factor = defaultFaultFactor
	}
	if f.Delay == 0 {
		f.Delay = defaultFaultDelay
	}
	if f.Share == 0 {
		f.Share = 1
	}
	return nil
}

// active reports whether the fault is active at a time since it was set. A
// flapping fault starts active.
func (f *Fault) active(elapsed time.Duration) bool {
	if f.Kind == FaultNone {
		return false
	}
	return f.Period == 0 || (elapsed/f.Period)%2 == 0
}
