package follower_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// readers returns the hosts of a zone in the order in which they read the store.
func (f *fleet) readers(zone string) []*fleetHost {
	byIP := map[string]*fleetHost{}
	var hosts []string
	for _, h := range f.hosts {
		if h.zone == zone {
			byIP[h.ip] = h
			hosts = append(hosts, h.ip)
		}
	}
	var ranked []*fleetHost
	for _, ip := range ranker.New(hosts).Ranked("reader", len(hosts)) {
		ranked = append(ranked, byIP[ip])
	}
	return ranked
}

func addresses(hosts []*fleetHost) (ips []string) {
	for _, h := range hosts {
		ips = append(ips, h.ip)
	}
	return ips
}

// TestChangesAreInForceWhileHostsAreCutOff cuts hosts off from the store, or ends their
// daemons, while changes follow each other. All other daemons must be in time throughout.
func TestChangesAreInForceWhileHostsAreCutOff(t *testing.T) {
	store := []string{storeHost}
	cutStore := func(hosts func(f *fleet) []*fleetHost) func(f *fleet) []*fleetHost {
		return func(f *fleet) []*fleetHost {
			cut := hosts(f)
			f.network.Cut(addresses(cut), store, true)
			return cut
		}
	}
	zoneReaders := func(count int) func(f *fleet) []*fleetHost {
		return func(f *fleet) (hosts []*fleetHost) {
			for _, zone := range []string{"zone-0", "zone-1", "zone-2", "zone-3"} {
				hosts = append(hosts, f.readers(zone)[:count]...)
			}
			return hosts
		}
	}
	cases := map[string]func(f *fleet) (disturbed []*fleetHost){
		"first reader of each zone loses the store": cutStore(zoneReaders(1)),
		"two readers of each zone lose the store":   cutStore(zoneReaders(2)),
		"three readers of a zone lose the store":    cutStore(func(f *fleet) []*fleetHost { return f.readers("zone-0")[:3] }),
		"a zone loses the store":                    cutStore(func(f *fleet) []*fleetHost { return f.readers("zone-0") }),
		"a third of the hosts loses the store":      cutStore(func(f *fleet) []*fleetHost { return f.someHosts(0.35) }),
		"three zones lose the store": cutStore(func(f *fleet) []*fleetHost {
			return slices.Concat(f.readers("zone-0"), f.readers("zone-1"), f.readers("zone-2"))
		}),
		"two readers lose the store and other zones": func(f *fleet) []*fleetHost {
			cut := f.readers("zone-0")[:2]
			f.network.Cut(addresses(cut), store, true)
			f.network.Cut(addresses(cut), addresses(slices.Concat(f.readers("zone-1"), f.readers("zone-2"), f.readers("zone-3"))), true)
			return cut
		},
		"two readers are cut off": func(f *fleet) []*fleetHost {
			cut := f.readers("zone-0")[:2]
			f.network.Cut(addresses(cut), append(addresses(f.hosts), storeHost), true)
			return cut
		},
		"first reader of each zone ends": func(f *fleet) []*fleetHost {
			ended := zoneReaders(1)(f)
			for _, h := range ended {
				h.stop()
			}
			return ended
		},
		"two readers of each zone end": func(f *fleet) []*fleetHost {
			ended := zoneReaders(2)(f)
			for _, h := range ended {
				h.stop()
			}
			return ended
		},
		"two zones do not reach each other": func(f *fleet) []*fleetHost {
			f.network.Cut(addresses(f.readers("zone-0")), addresses(f.readers("zone-1")), true)
			return nil
		},
	}
	seeds := uint64(2)
	if raceDetector {
		seeds = 1
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			for seed := range seeds {
				runFleet(t, smallFleet, seed, func(t *testing.T, f *fleet) {
					f.sleepUntil(time.Now().Add(time.Hour), 0, 1000)
					disturbed := disturb(f)
					first := f.version + 1
					for range 40 {
						f.publish()
						f.sleepUntil(time.Now().Add(time.Hour), 10, 500)
					}
					time.Sleep(3 * time.Second)
					latest := time.Duration(0)
					for _, h := range f.hosts {
						if slices.Contains(disturbed, h) {
							continue
						}
						for version := first; version <= f.version; version++ {
							since, _, ok := h.knows(version)
							if !ok {
								since = time.Now()
							}
							if latest = max(latest, since.Sub(f.acked[version])); since.Sub(f.acked[version]) > f.size.applyWithin {
								t.Errorf("seed %d: %s: version %d in force %v after its acknowledgement", seed, h.ip, version, since.Sub(f.acked[version]))
							}
						}
					}
					t.Logf("the last of the others was %v late", latest)
				})
			}
		})
	}
}

// TestRelayedProofsDoNotBecomeYounger guards against a zone that acts on as the owner of rates
// while it is cut off, since its hosts take the proofs that they relay to each other for newer
// than they are.
func TestRelayedProofsDoNotBecomeYounger(t *testing.T) {
	const precision = 10 * time.Millisecond
	cases := map[string]struct{ hosts, stall int }{ // the longest stall between the hosts in ms
		"two hosts":               {2, 1},
		"two hosts with stalls":   {2, 300},
		"a zone":                  {7, 1},
		"a zone with stalls":      {7, 300},
		"a zone, and long stalls": {7, 550},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			for seed := range uint64(2) {
				runFleet(t, smallFleet, seed, func(t *testing.T, f *fleet) {
					zone := f.readers("zone-0")[:tc.hosts]
					others := []string{storeHost}
					for _, h := range f.hosts {
						if !slices.Contains(zone, h) {
							others = append(others, h.ip)
						}
					}
					f.sleepUntil(time.Now().Add(time.Hour), 0, 1000)
					f.network.Cut(addresses(zone), others, true)
					cutAt := time.Now()
					f.running.Go(func() {
						for f.ctx.Err() == nil {
							f.network.Cut(addresses(zone), addresses(zone), true)
							f.sleepUntil(time.Now().Add(time.Hour), tc.stall*2/3, tc.stall+1)
							f.network.Cut(addresses(zone), addresses(zone), false)
							f.sleepUntil(time.Now().Add(time.Hour), 20, 300)
						}
					})
					younger, inTouchFor := time.Duration(0), time.Duration(0)
					for time.Since(cutAt) < 8*time.Second {
						time.Sleep(20 * time.Millisecond)
						for _, h := range zone {
							one := h.running()
							younger = max(younger, time.Since(cutAt)-one.Age())
							if one.InTouch() {
								inTouchFor = time.Since(cutAt)
							}
						}
					}
					if younger > precision || inTouchFor > flow.OwnerLease+precision {
						t.Errorf("seed %d: a proof was %v younger than the cut, a host in touch for %v", seed, younger, inTouchFor)
					}
				})
			}
		})
	}
}
