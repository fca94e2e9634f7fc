// Failures that tests put on whole hosts, and what is needed to tell their
// effects.

package launcher

import (
	"cmp"
	"slices"
	"syscall"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// Way is a direction across the border of hosts that are cut off.
type Way string

// The ways.
const (
	// Outward is what the hosts send to all others.
	Outward Way = "outward"
	// Inward is what all others send to the hosts.
	Inward Way = "inward"
)

// CutOff loses everything that goes one way between some hosts and all others.
// The hosts still reach each other, the platform and their callers.
func (f *Fleet) CutOff(way Way, hosts ...*Daemon) error {
	return f.acrossBorder(hosts, func(inner, outer *Daemon) error {
		if way == Outward {
			return f.Disturb(inner, outer, interrupter.Swallow)
		}
		return f.Disturb(outer, inner, interrupter.Swallow)
	})
}

// Rejoin takes all faults between some hosts and all others away.
func (f *Fleet) Rejoin(hosts ...*Daemon) error {
	return f.acrossBorder(hosts, f.Heal)
}

func (f *Fleet) acrossBorder(hosts []*Daemon, do func(inner, outer *Daemon) error) error {
	for _, inner := range hosts {
		for _, outer := range f.Daemons {
			if slices.Contains(hosts, outer) {
				continue
			}
			if err := do(inner, outer); err != nil {
				return err
			}
		}
	}
	return nil
}

// Seed gives every daemon the others as seeds, from its next start on.
func (f *Fleet) Seed() {
	for _, d := range f.Daemons {
		seeds := []string{}
		for _, other := range f.Daemons {
			if other != d {
				seeds = append(seeds, f.PeerAddress(other))
			}
		}
		d.Set("seeds", seeds)
	}
}

// Journal returns what all backend servers ran, in the order of its starts.
func (f *Fleet) Journal() []server.Entry {
	var entries []server.Entry
	for _, s := range f.Servers {
		entries = append(entries, s.Journal()...)
	}
	slices.SortStableFunc(entries, func(a, b server.Entry) int { return cmp.Compare(a.Start, b.Start) })
	return entries
}

// -----------------------------------------------------------------------------

// Set puts a setting in force for the daemon's next start.
func (d *Daemon) Set(setting string, value any) { d.settings[setting] = value }

// Terminate asks the process for a planned stop without waiting for its end.
func (d *Daemon) Terminate() { d.signal(syscall.SIGTERM) }

// Wait waits for the end of the process. The error is that of the process.
func (d *Daemon) Wait() error {
	d.wait()
	return d.result
}
