package follower_test

import (
	"context"
	"slices"
	"testing"
	"time"
)

// servers returns how many backend servers a host's daemon offers requests to.
func (h *fleetHost) servers() int { return len(h.running().Catalog().Servers("stock")) }

// TestHostsThatAreCutOffUseTheirOwnServers cuts a third of the hosts off from the store, so
// that their entries expire. It guards against a third of the servers standing idle while
// the callers of their hosts crowd onto the others, against use of these servers by daemons
// that are not cut off, and against their use after the store has answered again.
func TestHostsThatAreCutOffUseTheirOwnServers(t *testing.T) {
	cases := map[string]struct {
		healthy  bool // by the health checks of the servers
		returned bool // the servers register again
	}{
		"servers are healthy and return": {true, true},
		"servers are healthy and leave":  {true, false},
		"servers are about to leave":     {false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			size := smallFleet
			size.serverHealthy = func(context.Context) bool { return tc.healthy }
			runFleet(t, size, 3, func(t *testing.T, f *fleet) {
				cut := f.someHosts(0.35)
				others := len(f.hosts) - len(cut)
				f.network.Cut(addresses(cut), []string{storeHost}, true)
				time.Sleep(4500 * time.Millisecond)
				for _, h := range cut {
					f.store.DeleteServer(h.entry().ID)
				}
				expect := func(when string, atCut, atOthers int) {
					for _, h := range f.hosts {
						want := atOthers
						if slices.Contains(cut, h) {
							want = atCut
						}
						if h.servers() != want {
							t.Errorf("%s: %s offers requests to %d servers, not %d", when, h.ip, h.servers(), want)
						}
					}
				}
				time.Sleep(3 * time.Second)
				if tc.healthy {
					expect("cut off", len(f.hosts), others)
				} else {
					expect("cut off", others, others)
				}
				f.network.Cut(addresses(cut), []string{storeHost}, false)
				if tc.returned {
					time.Sleep(time.Second)
					for _, h := range cut {
						f.store.PutServer(h.entry())
					}
					others = len(f.hosts)
				}
				time.Sleep(2500 * time.Millisecond)
				expect("three seconds after the return", others, others)
			})
		})
	}
}
