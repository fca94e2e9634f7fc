// The network between the processes of a fleet.

package launcher

import (
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
)

// The links to a daemon, by what is reached over them.
const (
	linkPeer   = "peer:"
	linkData   = "data:"
	linkCaller = "caller:"
)

// link puts the interrupter in front of a daemon's addresses.
func (f *Fleet) link(d *Daemon) error {
	if f.Interrupter == nil {
		return nil
	}
	targets := map[string]string{
		linkPeer:   d.Addresses.Peer,
		linkData:   d.Addresses.Data,
		linkCaller: d.Addresses.Caller,
	}
	for prefix, target := range targets {
		if _, err := f.Interrupter.Add(interrupter.LinkOptions{Name: prefix + d.Host, Target: target}); err != nil {
			return err
		}
	}
	return nil
}

// PeerAddress returns the address at which other daemons reach the control
// connections of a daemon.
func (f *Fleet) PeerAddress(d *Daemon) string {
	return f.through(linkPeer+d.Host, d.Addresses.Peer)
}

// DataAddress returns the address at which other daemons reach the admission
// of a daemon.
func (f *Fleet) DataAddress(d *Daemon) string {
	return f.through(linkData+d.Host, d.Addresses.Data)
}

// CallerAddress returns the address at which callers reach a daemon.
func (f *Fleet) CallerAddress(d *Daemon) string {
	return f.through(linkCaller+d.Host, d.Addresses.Caller)
}

func (f *Fleet) through(name, direct string) string {
	if f.Interrupter == nil {
		return direct
	}
	return f.Interrupter.Link(name).Addr()
}
