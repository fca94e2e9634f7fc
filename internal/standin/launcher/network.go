// The network between the processes of a fleet: the interrupter's links, and the
// faults between two daemons.

package launcher

import (
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
)

// The prefixes of the names of the links to a daemon; the host's name follows.
const (
	linkPeer   = "peer:"
	linkData   = "data:"
	linkCaller = "caller:"
)

// addLinks adds a link for each of a daemon's addresses except the operator's.
func (f *Fleet) addLinks(d *Daemon) error {
	if f.Interrupter == nil {
		return nil
	}
	targets := map[string]string{
		linkPeer:   d.Addresses.Peer,
		linkData:   d.Addresses.Data,
		linkCaller: d.Addresses.Caller,
	}
	for prefix, target := range targets {
		link, err := f.Interrupter.Add(interrupter.LinkOptions{Name: prefix + d.Host, Target: target})
		if err != nil {
			return err
		}
		if err := f.setDelays(link, d); err != nil {
			return err
		}
	}
	return nil
}

// setDelays sets the delay of a link to a daemon: for each daemon that connects
// over it the delay between their availability zones, for all others the delay of
// callers.
func (f *Fleet) setDelays(link *interrupter.Link, to *Daemon) error {
	if err := link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass, Delay: f.Plan.CallerDelay}); err != nil {
		return err
	}
	for _, from := range f.Daemons {
		if err := link.SetFrom(from.IP, interrupter.Both, f.baseline(from, to)); err != nil {
			return err
		}
	}
	return nil
}

// baseline returns the state of the network between two daemons without a fault.
func (f *Fleet) baseline(from, to *Daemon) interrupter.Fault {
	fault := interrupter.Fault{Kind: interrupter.Pass}
	if from.Zone != to.Zone {
		fault.Delay = f.Plan.ZoneDelay
	}
	return fault
}

// InjectFault sets a fault on everything that one daemon sends to another, in
// requests and in responses, but not on the opposite direction. It returns an error
// if the kind is unknown. The fleet must have an interrupter.
func (f *Fleet) InjectFault(from, to *Daemon, kind interrupter.Kind) error {
	fault := f.baseline(from, to)
	fault.Kind = kind
	for _, prefix := range []string{linkPeer, linkData} {
		if err := f.Interrupter.Link(prefix+to.Host).SetFrom(from.IP, interrupter.Forward, fault); err != nil {
			return err
		}
		if err := f.Interrupter.Link(prefix+from.Host).SetFrom(to.IP, interrupter.Backward, fault); err != nil {
			return err
		}
	}
	return nil
}

// ClearFaults removes all faults between two daemons, in both directions. It
// returns an error if a fault can't be removed.
func (f *Fleet) ClearFaults(a, b *Daemon) error {
	for _, pair := range [][2]*Daemon{{a, b}, {b, a}} {
		if err := f.InjectFault(pair[0], pair[1], interrupter.Pass); err != nil {
			return err
		}
	}
	return nil
}

// SilenceOpen permanently drops all bytes of the connections of other daemons to a
// daemon that are currently open. New connections work.
func (f *Fleet) SilenceOpen(d *Daemon) {
	for _, prefix := range []string{linkPeer, linkData} {
		f.Interrupter.Link(prefix + d.Host).SilenceOpen()
	}
}

// PeerAddress returns the ip:port at which other daemons open control connections
// to a daemon.
func (f *Fleet) PeerAddress(d *Daemon) string {
	return f.linkAddress(linkPeer+d.Host, d.Addresses.Peer)
}

// DataAddress returns the ip:port to which other daemons forward requests for a
// daemon's backend servers.
func (f *Fleet) DataAddress(d *Daemon) string {
	return f.linkAddress(linkData+d.Host, d.Addresses.Data)
}

// CallerAddress returns the ip:port at which callers reach a daemon.
func (f *Fleet) CallerAddress(d *Daemon) string {
	return f.linkAddress(linkCaller+d.Host, d.Addresses.Caller)
}

// linkAddress returns the address of a link, or the direct address without an
// interrupter.
func (f *Fleet) linkAddress(name, direct string) string {
	if f.Interrupter == nil {
		return direct
	}
	return f.Interrupter.Link(name).Addr()
}
