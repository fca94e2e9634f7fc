package follower_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/platform/emulator"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestLoadReportsReachAllHosts guards against hosts that go on offering requests to a server
// that others know to fail. A server becomes suspected, and all hosts that can must know of it
// in time, whatever else is out of order.
func TestLoadReportsReachAllHosts(t *testing.T) {
	cases := map[string]struct {
		disturb            func(f *fleet)
		after              time.Duration // from the disturbance to the suspicion
		ownZone, elsewhere time.Duration // within which all hosts know
	}{
		"all is in order":           {func(*fleet) {}, 0, 400 * time.Millisecond, 1200 * time.Millisecond},
		"the store is silent":       {func(f *fleet) { f.store.SetMode(emulator.Silent) }, 4 * time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond},
		"the zone loses the store":  {func(f *fleet) { f.network.Cut(addresses(f.readers("zone-1")), []string{storeHost}, true) }, 4 * time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond},
		"first readers were killed": {func(f *fleet) { f.readers("zone-0")[0].stop(); f.readers("zone-1")[0].stop() }, 4 * time.Second, 600 * time.Millisecond, 1200 * time.Millisecond},
		"first reader dies with it": {func(f *fleet) { f.readers("zone-1")[0].stop() }, 0, 2 * time.Second, 2800 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			runFleet(t, smallFleet, 3, func(t *testing.T, f *fleet) {
				tc.disturb(f)
				time.Sleep(tc.after)
				server := f.readers("zone-1")[4]
				server.setLoad(flow.ServerLoad{FreeSlots: 2, GrayProbability: 0.9})
				for passed := time.Duration(0); passed < 4*time.Second; passed += 100 * time.Millisecond {
					time.Sleep(100 * time.Millisecond)
					for _, h := range f.hosts {
						within := tc.elsewhere
						if h.zone == server.zone {
							within = tc.ownZone
						}
						if h.running() == nil || passed+100*time.Millisecond < within {
							continue
						}
						if got, ok := h.knowsLoad(server); !ok || got.Load.GrayProbability < 0.8 || got.Silent {
							t.Errorf("%s in %s does not know of the suspicion after %v: %+v", h.ip, h.zone, passed, got)
							return
						}
					}
				}
			})
		})
	}
}

// TestSilentHostIsKnown guards against offers to a host that nobody reaches, and against a
// host that still counts as silent after it has come back.
func TestSilentHostIsKnown(t *testing.T) {
	parallel(t)
	runFleet(t, smallFleet, 4, func(t *testing.T, f *fleet) {
		cut := f.readers("zone-1")[3]
		others := slices.DeleteFunc(slices.Clone(f.hosts), func(h *fleetHost) bool { return h == cut })
		check := func(when string, want bool) {
			for _, h := range others {
				if got, ok := h.knowsLoad(cut); got.Silent != want || h.zone == cut.zone && !ok {
					t.Errorf("%s: %s in %s knows %+v", when, h.ip, h.zone, got)
				}
			}
		}
		check("before", false)
		f.network.Cut([]string{cut.ip}, addresses(others), true)
		time.Sleep(3500 * time.Millisecond)
		check("while cut off", true)
		for _, h := range others {
			if got, _ := h.knowsLoad(others[0]); got.Silent {
				t.Errorf("%s believes that %s is silent", h.ip, others[0].ip)
			}
		}
		f.network.Cut([]string{cut.ip}, addresses(others), false)
		time.Sleep(7 * time.Second) // it waits before it asks those again that did not answer
		check("afterwards", false)
	})
}
