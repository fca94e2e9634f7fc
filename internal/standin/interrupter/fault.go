// The network faults that can be set on each direction of a link.

package interrupter

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Direction is one direction of a link, or both.
type Direction string

// The directions.
const (
	// Forward is from the dialing side to the target.
	Forward Direction = "forward"
	// Backward is from the target to the dialing side.
	Backward Direction = "backward"
	// Both is both directions.
	Both Direction = "both"
)

// Kind names a fault.
type Kind string

// The faults.
const (
	// Pass forwards everything.
	Pass Kind = "pass"
	// Cut refuses new connections and resets the open ones. It affects the whole
	// link, whichever direction it is set on.
	Cut Kind = "cut"
	// Swallow drops bytes while connections stay open, like a permanent one-way
	// loss of all packets. A connection that lost bytes stays silent in that
	// direction even after the fault is removed, because TCP never delivers a
	// stream with a gap.
	Swallow Kind = "swallow"
	// Hold delays all bytes until the fault is removed, like a loss of all
	// packets that ends while the senders are still retransmitting.
	Hold Kind = "hold"
	// Truncate closes a connection after Bytes have passed.
	Truncate Kind = "truncate"
	// Reset resets a connection after Bytes have passed.
	Reset Kind = "reset"
)

// Fault is the fault of one direction of a link. Delay and Jitter apply to every
// kind that forwards bytes.
type Fault struct {
	Kind   Kind
	Delay  time.Duration
	Jitter time.Duration // upper bound of the random time added to Delay
	Bytes  int64         // of Truncate and Reset: limit per connection, counted from when the fault was set
}

// String describes the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s delay=%v jitter=%v bytes=%d", f.Kind, f.Delay, f.Jitter, f.Bytes)
}

// RegisterFlags adds the fault's flags to a flag set.
func (f *Fault) RegisterFlags(flags *flag.FlagSet) {
	flags.StringVar((*string)(&f.Kind), "kind", string(Pass), "fault: pass, cut, swallow, hold, truncate or reset")
	flags.DurationVar(&f.Delay, "delay", 0, "delay of the bytes that are forwarded")
	flags.DurationVar(&f.Jitter, "jitter", 0, "upper bound of the random time added to the delay")
	flags.Int64Var(&f.Bytes, "bytes", 0, "bytes that are forwarded before truncate or reset")
}

func (f Fault) check() error {
	known := []Kind{Pass, Cut, Swallow, Hold, Truncate, Reset}
	if !slices.Contains(known, f.Kind) {
		return flow.Wrap("set-fault", "", fmt.Errorf("unknown fault %q; allowed: %q", f.Kind, known))
	}
	return nil
}

func (d Direction) check() error {
	known := []Direction{Forward, Backward, Both}
	if !slices.Contains(known, d) {
		return flow.Wrap("set-fault", "", fmt.Errorf("unknown direction %q; allowed: %q", d, known))
	}
	return nil
}
