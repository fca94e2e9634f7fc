// Faults of the network, as an interrupter can put them on each direction of a
// link.

package interrupter

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Direction is one way along a link, or both.
type Direction string

// The directions.
const (
	// Forward is from the one who dials to the target.
	Forward Direction = "forward"
	// Backward is from the target to the one who dials.
	Backward Direction = "backward"
	// Both is both ways.
	Both Direction = "both"
)

// Kind names a fault.
type Kind string

// The faults.
const (
	// Pass lets everything through.
	Pass Kind = "pass"
	// Cut refuses new connections and resets those that are open. It holds for
	// the whole link, whatever its direction.
	Cut Kind = "cut"
	// Swallow drops bytes while connections stay open, like a one-way loss of
	// all packets that never heals. A connection that lost bytes stays silent
	// in that direction even after the fault is gone, since a stream with a
	// hole in it cannot occur.
	Swallow Kind = "swallow"
	// Hold keeps bytes back until the fault is gone, like a loss of all packets
	// that heals while the senders still retransmit.
	Hold Kind = "hold"
	// Truncate closes a connection after Bytes have passed.
	Truncate Kind = "truncate"
	// Reset resets a connection after Bytes have passed.
	Reset Kind = "reset"
)

// Fault is what one direction of a link suffers. Delay and Jitter go with
// every kind that lets bytes through.
type Fault struct {
	Kind   Kind
	Delay  time.Duration
	Jitter time.Duration // bound of what is added to Delay at random
	Bytes  int64         // of Truncate and Reset, for each connection from when the fault came
}

// String returns the fault as a line for people.
func (f Fault) String() string {
	return fmt.Sprintf("%s delay=%v jitter=%v bytes=%d", f.Kind, f.Delay, f.Jitter, f.Bytes)
}

// RegisterFlags adds the fault's flags to a flag set.
func (f *Fault) RegisterFlags(flags *flag.FlagSet) {
	flags.StringVar((*string)(&f.Kind), "kind", string(Pass), "fault: pass, cut, swallow, hold, truncate or reset")
	flags.DurationVar(&f.Delay, "delay", 0, "delay of what passes")
	flags.DurationVar(&f.Jitter, "jitter", 0, "bound of what is added to the delay at random")
	flags.Int64Var(&f.Bytes, "bytes", 0, "bytes that pass before truncate or reset")
}

func (f Fault) check() error {
	known := []Kind{Pass, Cut, Swallow, Hold, Truncate, Reset}
	if !slices.Contains(known, f.Kind) {
		return flow.Wrap("set-fault", "", fmt.Errorf("unknown fault %q, want one of %q", f.Kind, known))
	}
	return nil
}

func (d Direction) check() error {
	known := []Direction{Forward, Backward, Both}
	if !slices.Contains(known, d) {
		return flow.Wrap("set-fault", "", fmt.Errorf("unknown direction %q, want one of %q", d, known))
	}
	return nil
}
