// Gray faults: what a server does wrong with real work while its health
// endpoint says that all is well.

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
	// FaultNone is sound work.
	FaultNone FaultKind = "none"
	// FaultSlow multiplies the service time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultHalf runs the request, announces the whole answer's length, sends
	// half of it and closes the connection.
	FaultHalf FaultKind = "half"
	// FaultHalfChunked is FaultHalf with a chunked answer, which lacks its end.
	FaultHalfChunked FaultKind = "half-chunked"
	// FaultCrossed runs the request and answers with the ids and the body of
	// another.
	FaultCrossed FaultKind = "crossed"
	// FaultLate runs the request and answers Delay later on the same
	// connection, whether or not the caller still waits.
	FaultLate FaultKind = "late"
	// FaultFailing runs the request and answers 500.
	FaultFailing FaultKind = "failing"
	// FaultReset runs the request and resets the connection.
	FaultReset FaultKind = "reset"
	// FaultSilent takes the request and never answers.
	FaultSilent FaultKind = "silent"
)

// The defaults of a fault's numbers.
const (
	defaultFaultFactor = 10
	defaultFaultDelay  = 5 * time.Second
)

// Fault is a gray fault in force. Where Share is below one it hits that share
// of the requests; where Period is set it comes and goes, present in every
// second period, and the health endpoint comes and goes with it.
type Fault struct {
	Kind   FaultKind
	Factor float64       // of FaultSlow; 0 for 10
	Delay  time.Duration // of FaultLate; 0 for 5 s
	Share  float64       // of the requests that are hit; 0 for all
	Period time.Duration // of flapping; 0 for a fault that stays
}

// RegisterFlags adds the fault's flags to a flag set.
func (f *Fault) RegisterFlags(flags *flag.FlagSet) {
	flags.StringVar((*string)(&f.Kind), "fault", string(FaultNone), "gray fault: none, slow, half, half-chunked, crossed, late, failing, reset or silent")
	flags.Float64Var(&f.Factor, "fault-factor", defaultFaultFactor, "times the service time, of slow")
	flags.DurationVar(&f.Delay, "fault-delay", defaultFaultDelay, "delay of the answer, of late")
	flags.Float64Var(&f.Share, "fault-share", 1, "share of the requests that the fault hits")
	flags.DurationVar(&f.Period, "fault-period", 0, "time after which a flapping fault comes or goes; 0 for a fault that stays")
}

// check fills in the defaults and reports what is not known.
func (f *Fault) check() error {
	known := []FaultKind{
		FaultNone, FaultSlow, FaultHalf, FaultHalfChunked, FaultCrossed, FaultLate, FaultFailing, FaultReset, FaultSilent,
	}
	if f.Kind == "" {
		f.Kind = FaultNone
	}
	if !slices.Contains(known, f.Kind) {
		return flow.Wrap("set-fault", "", fmt.Errorf("unknown fault %q, want one of %q", f.Kind, known))
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

// present reports whether the fault is there after it has been in force for a
// time. A flapping fault begins present.
func (f *Fault) present(elapsed time.Duration) bool {
	if f.Kind == FaultNone {
		return false
	}
	return f.Period == 0 || (elapsed/f.Period)%2 == 0
}
