package follower_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/linker"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// outage disturbs the store until a time, at which it is in order again.
type outage func(f *fleet, end time.Time)

// outages are the ways in which the store is out of order.
var outages = map[string]outage{
	"silent":            throughout(storeMode(emulator.Silent)),
	"responds with 503": throughout(storeMode(emulator.Busy)),
	"responds with 429": throughout(storeMode(emulator.Limited)),
	"resets":            throughout(storeMode(emulator.Resetting)),
	"unreachable":       throughout(func(f *fleet, disturbed bool) { f.network.Silence(storeHost, disturbed) }),
	"slow": throughout(func(f *fleet, disturbed bool) {
		f.store.SetDelay(storeResponse)
		if disturbed {
			f.store.SetDelay(time.Duration(200+f.random.IntN(1800)) * time.Millisecond)
		}
	}),
	"flapping": func(f *fleet, end time.Time) {
		for time.Now().Before(end) {
			f.store.SetMode(emulator.Silent)
			f.sleepUntil(end, 400, 2900)
			f.store.SetMode(emulator.Serving)
			f.sleepUntil(end, 20, 1500)
		}
	},
}

// throughout returns the outage in which the store is disturbed all the time.
func throughout(disturb func(f *fleet, disturbed bool)) outage {
	return func(f *fleet, end time.Time) {
		disturb(f, true)
		time.Sleep(time.Until(end))
		disturb(f, false)
	}
}

// storeMode returns the disturbance in which the store is in a mode.
func storeMode(mode emulator.Mode) func(f *fleet, disturbed bool) {
	return func(f *fleet, disturbed bool) {
		if disturbed {
			f.store.SetMode(mode)
			return
		}
		f.store.SetMode(emulator.Serving)
	}
}

// sleepUntil sleeps for a random number of milliseconds, but not beyond the end.
func (f *fleet) sleepUntil(end time.Time, least, most int) {
	time.Sleep(min(time.Duration(least+f.random.IntN(most-least))*time.Millisecond, time.Until(end)))
}

// recovery is an outage of the store, what happens to the daemons meanwhile, and the
// changes that are acknowledged after it.
type recovery struct {
	outage  outage
	restart time.Duration // when half of the daemons start anew, before the end of the outage; 0 if none does
	burst   bool          // the changes follow each other at once, otherwise with pauses
}

func (r recovery) play(f *fleet) recoveryResult {
	var restarted []*fleetHost
	if r.restart > 0 {
		restarted = f.someHosts(0.55)
	}
	end := time.Now().Add(time.Duration(7000+f.random.IntN(4000)) * time.Millisecond)
	f.running.Go(func() { f.restartHosts(restarted, end.Add(-r.restart-3*time.Second), end.Add(-r.restart)) })
	r.outage(f, end)
	f.registerAnew(restarted)
	f.sleepUntil(end.Add(time.Second), 0, 1000)
	first := f.version + 1
	for i := range 5 {
		f.publish()
		if r.burst && i < 4 {
			time.Sleep(40 * time.Millisecond)
			continue
		}
		time.Sleep(time.Duration(500+f.random.IntN(1500)) * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	var result recoveryResult
	result.check(f, first, end)
	return result
}

type recoveryResult struct {
	last time.Duration // from the end of the outage until the first change was in force on the last daemon
	late []string      // daemons on which a change was in force too late
}

// check compares since when the versions from first on are in force with the bound.
func (r *recoveryResult) check(f *fleet, first uint64, end time.Time) {
	for _, h := range f.hosts {
		for version := first; version <= f.version; version++ {
			since, startedAt, ok := h.knows(version)
			bound := latest(f.acked[version].Add(f.size.applyWithin), end.Add(f.size.undisturbedWindow), startedAt.Add(f.size.undisturbedWindow))
			if !ok {
				since = time.Now()
			}
			if version == first {
				r.last = max(r.last, since.Sub(end))
			}
			if since.After(bound) {
				r.late = append(r.late, fmt.Sprintf("%s, which started %v before the end of the outage: version %d in force %v after its acknowledgement, %v after the outage",
					h.ip, end.Sub(startedAt), version, since.Sub(f.acked[version]), since.Sub(end)))
			}
		}
	}
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// trafficSince returns the connections that were opened and the bytes that were sent between
// availability zones since some traffic was counted. The store is in no zone.
func trafficSince(f *fleet, before linker.Traffic) (connections, bytes int) {
	now := f.network.Traffic()
	for path, count := range now.Connections {
		connections += count - before.Connections[path]
	}
	for path, count := range now.Bytes {
		if path.From != path.To && path.From != "" && path.To != "" {
			bytes += count - before.Bytes[path]
		}
	}
	return connections, bytes
}

// someHosts draws a share of the hosts.
func (f *fleet) someHosts(share float64) []*fleetHost {
	hosts := slices.Clone(f.hosts)
	f.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:int(share*float64(len(hosts)))]
}

// restartHosts ends the daemons of hosts at a time and starts them at another, each up to
// 0.9 s after that.
func (f *fleet) restartHosts(hosts []*fleetHost, stopAt, startAt time.Time) {
	time.Sleep(time.Until(stopAt))
	for _, h := range hosts {
		h.stop()
	}
	time.Sleep(time.Until(startAt))
	for _, h := range hosts {
		f.running.Go(func() {
			time.Sleep(time.Duration(h.random.IntN(900)) * time.Millisecond)
			if f.ctx.Err() == nil {
				h.start()
			}
		})
	}
}

// registerAnew lets the backend servers of hosts register under new ids, within a heartbeat.
func (f *fleet) registerAnew(hosts []*fleetHost) {
	for _, h := range hosts {
		delay := time.Duration(f.random.Int64N(int64(heartbeatInterval)))
		f.running.Go(func() {
			time.Sleep(delay)
			f.store.DeleteServer(h.entry().ID)
			h.generation++
			f.store.PutServer(h.entry())
		})
	}
}

const restartInOutage = "daemons restart in the outage"

// What happens to the daemons, and which changes follow an outage.
var (
	restarts = map[string]time.Duration{
		"daemons live on":                  0,
		"daemons restart in the outage":    4300 * time.Millisecond,
		"daemons start as the outage ends": 300 * time.Millisecond,
	}
	bursts = map[string]bool{"changes in a burst": true, "changes with pauses": false}
)

// TestChangesAreInForceSoonAfterStoreReturns guards against daemons that learn of changes
// too late after an outage of the store, as those did that waited for a call which the
// outage had swallowed.
func TestChangesAreInForceSoonAfterStoreReturns(t *testing.T) {
	if raceDetector { // seven times as slow
		testRecoveries(t, smallFleet, 1, false)
		return
	}
	testRecoveries(t, smallFleet, 4, true)
}

// testRecoveries plays each outage, with all that may happen to the daemons and all changes
// or with one of each.
func testRecoveries(t *testing.T, size fleetSize, seeds uint64, all bool) {
	t.Helper()
	for outageName, outage := range outages {
		t.Run(outageName, func(t *testing.T) {
			for restartName, restart := range restarts {
				for burstName, burst := range bursts {
					if !all && (restart != restarts[restartInOutage] || !burst) {
						continue
					}
					t.Run(restartName+", "+burstName, func(t *testing.T) {
						parallel(t)
						last := time.Duration(0)
						for seed := range seeds {
							runFleet(t, size, seed, func(t *testing.T, f *fleet) {
								result := recovery{outage: outage, restart: restart, burst: burst}.play(f)
								last = max(last, result.last)
								for _, late := range result.late {
									t.Errorf("seed %d: %s", seed, late)
								}
							})
						}
						t.Logf("first change in force on the last daemon %v after the outage", last)
					})
				}
			}
		})
	}
}

// TestLiveHostsAnswerInOutage guards against daemons that take a live host for silent, and ask
// others for 4 s, since two questions to it were on one connection and the first one waited.
func TestLiveHostsAnswerInOutage(t *testing.T) {
	runFleet(t, smallFleet, 1, func(t *testing.T, f *fleet) {
		outages["silent"](f, time.Now().Add(10*time.Second))
		for _, h := range f.hosts {
			h.mu.Lock()
			for _, line := range h.silences {
				t.Errorf("%s: %s", h.ip, line)
			}
			h.mu.Unlock()
		}
	})
}

// TestPriceOfOutage prints what a minute without a fault and a minute of each outage cost.
func TestPriceOfOutage(t *testing.T) {
	printPrices(t, smallFleet)
}

func printPrices(t *testing.T, size fleetSize) {
	t.Helper()
	played := maps.Clone(outages)
	played["none"] = func(_ *fleet, end time.Time) { time.Sleep(time.Until(end)) }
	for name, outage := range played {
		if (raceDetector || size.daemons > smallFleet.daemons) && name != "silent" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			parallel(t)
			runFleet(t, size, 1, func(t *testing.T, f *fleet) {
				calls, traffic := f.store.Calls(), f.network.Traffic()
				outage(f, time.Now().Add(time.Minute))
				connections, bytes := trafficSince(f, traffic)
				t.Logf("%d daemons, %s: %d calls to the store, %d new connections, %d bytes between zones", size.daemons, name, f.store.Calls()-calls, connections, bytes)
			})
		})
	}
}
