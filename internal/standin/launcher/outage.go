// The network's side of a host whose daemon does not run.

package launcher

import (
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
)

// Refuse makes the network refuse connections to a daemon, as the host of a
// process that has ended does, or takes them again. Open connections are reset
// when it begins. Without an interrupter the operating system does it all.
func (f *Fleet) Refuse(d *Daemon, refuse bool) error {
	if f.Interrupter == nil {
		return nil
	}
	fault := interrupter.Fault{Kind: interrupter.Pass, Delay: f.Plan.CallerDelay}
	if refuse {
		fault.Kind = interrupter.Cut
	}
	for _, prefix := range []string{linkPeer, linkData, linkCaller} {
		if err := f.Interrupter.Link(prefix+d.Host).Set(interrupter.Both, fault); err != nil {
			return err
		}
	}
	return nil
}
