// Network partitions between hosts, and other controls and observations that tests
// of failures need.

package launcher

import (
	"cmp"
	"slices"
	"syscall"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// Direction is a direction between partitioned hosts and all others.
type Direction string

// The directions.
const (
	// Outward is from the partitioned hosts to all others.
	Outward Direction = "outward"
	// Inward is from all others to the partitioned hosts.
	Inward Direction = "inward"
)

// Partition drops everything in one direction between some hosts and all others.
// The hosts still reach each other, the platform and their callers. It returns an
// error if a fault can't be set.
func (f *Fleet) Partition(direction Direction, hosts ...*Daemon) error {
	return f.forEachAcross(hosts, func(inner, outer *Daemon) error {
		if direction == Outward {
			return f.InjectFault(inner, outer, interrupter.Swallow)
		}
		return f.InjectFault(outer, inner, interrupter.Swallow)
	})
}

// HealPartition removes all faults between some hosts and all others. It returns an
// error if a fault can't be removed.
func (f *Fleet) HealPartition(hosts ...*Daemon) error {
	return f.forEachAcross(hosts, f.ClearFaults)
}

// forEachAcross calls do with each pair of a given host and a host that is not
// given, until it fails.
func (f *Fleet) forEachAcross(hosts []*Daemon, do func(inner, outer *Daemon) error) error {
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

// SetSeeds sets the setting "seeds" of each daemon to the addresses of all others;
// it takes effect at the next start.
func (f *Fleet) SetSeeds() {
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

// Journal returns the journal entries of all backend servers, sorted by start.
func (f *Fleet) Journal() []server.Entry {
	var entries []server.Entry
	for _, s := range f.Servers {
		entries = append(entries, s.Journal()...)
	}
	slices.SortStableFunc(entries, func(a, b server.Entry) int { return cmp.Compare(a.Start, b.Start) })
	return entries
}

// Set changes a setting of the daemon; it takes effect at the next start.
func (d *Daemon) Set(setting string, value any) { d.settings[setting] = value }

// Terminate requests a graceful stop of the process without waiting for its end.
func (d *Daemon) Terminate() { d.signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns its error.
func (d *Daemon) Wait() error {
	d.wait()
	return d.result
}
