// The network of a host whose daemon is not running.

package launcher

import (
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
)

// RefuseConnections makes the network refuse connections to a daemon, like a host
// whose process has ended, or accept them again. Open connections are reset when
// refusing begins. Without an interrupter it does nothing, because the operating
// system refuses connections itself. It returns an error if a link can't listen
// again.
func (f *Fleet) RefuseConnections(d *Daemon, refuse bool) error {
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
