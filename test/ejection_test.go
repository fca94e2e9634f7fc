package test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

const (
	// ejectionServers is the number of backend servers of the service under test.
	ejectionServers = 8
	// ejectionFloor is the share of the servers that must not be ejected.
	ejectionFloor = 0.5
	// ejectionWarmUp is the time for which a fleet runs without faults at first.
	ejectionWarmUp = 4 * time.Second
	// maxDetectionTime limits the time until a gray failure leads to ejection.
	maxDetectionTime = 15 * time.Second
	// maxReturnTime limits the time until a recovered server serves again.
	maxReturnTime = 15 * time.Second
	// gatePollInterval is the time between two polls of the admission gates.
	gatePollInterval = 50 * time.Millisecond
)

// ejectionPlan returns a plan of four hosts with eight backend servers.
func ejectionPlan() launcher.Plan {
	plan := launcher.SmallPlan(4)
	plan.Services[0].Servers = ejectionServers
	plan.Services[0].Floor = ejectionFloor
	plan.Services[0].Server = server.Options{Slots: 6, ServiceTime: 20 * time.Millisecond, Jitter: 20 * time.Millisecond, ConnectionCost: -1}
	return plan
}

// gateMonitor polls the states of the admission gates of all backend servers.
type gateMonitor struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu         sync.Mutex
	states     map[string]string      // by backend server
	ejectedAt  map[string][]time.Time // by backend server, times at which an ejection was first seen
	maxEjected int                    // servers ejected at the same time
}

func monitorGates(t *testing.T, fleet *launcher.Fleet) *gateMonitor {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	m := &gateMonitor{cancel: cancel, states: map[string]string{}, ejectedAt: map[string][]time.Time{}}
	m.done.Go(func() {
		for ctx.Err() == nil {
			m.poll(ctx, fleet)
			time.Sleep(gatePollInterval)
		}
	})
	t.Cleanup(m.stop)
	return m
}

func (m *gateMonitor) stop() {
	m.cancel()
	m.done.Wait()
}

func (m *gateMonitor) poll(ctx context.Context, fleet *launcher.Fleet) {
	for _, d := range fleet.Daemons {
		status, err := d.Status(ctx)
		if err != nil {
			continue
		}
		m.mu.Lock()
		for _, s := range status.Servers {
			if s.State == "ejected" && m.states[s.Name] != "ejected" {
				m.ejectedAt[s.Name] = append(m.ejectedAt[s.Name], time.Now())
			}
			m.states[s.Name] = s.State
		}
		m.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ejected := 0
	for _, state := range m.states {
		if state == "ejected" {
			ejected++
		}
	}
	m.maxEjected = max(m.maxEjected, ejected)
}

func (m *gateMonitor) state(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[name]
}

// ejections returns how often each backend server was ejected.
func (m *gateMonitor) ejections() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[string]int{}
	for name, times := range m.ejectedAt {
		counts[name] = len(times)
	}
	return counts
}

// awaitState waits until a gate is in a state, and returns how long that took. It
// returns false if the gate did not get there in time.
func (m *gateMonitor) awaitState(name, state string, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within {
		if m.state(name) == state {
			return time.Since(began).Round(time.Millisecond), true
		}
		time.Sleep(gatePollInterval)
	}
	return within, false
}

func setFault(t *testing.T, s *launcher.Server, fault server.Fault) {
	t.Helper()
	if err := s.SetFault(fault); err != nil {
		t.Fatal(err)
	}
}

// ejectionLoad starts enough traffic for every backend server to be assessed.
func ejectionLoad(t *testing.T, fleet *launcher.Fleet) *launcher.Load {
	t.Helper()
	return startLoad(t, caller.Options{
		Customers: []caller.Customer{traffic("shop", 140, caller.Spread)}, Ingresses: fleet.Ingresses(), Duration: time.Minute,
	})
}

// A backend server that is slow, or that fails requests while its health checks pass,
// is ejected; no other server is; and it serves again soon after it recovers. With a
// picker that prefers low latency, a slow server may get too few requests to be
// assessed. Then it only has to get few requests.
func TestGrayServersAreEjected(t *testing.T) {
	t.Parallel()
	slow := server.Fault{Kind: server.FaultSlow, Factor: 5}
	failing := server.Fault{Kind: server.FaultFailing, Share: 0.3}
	cases := map[string]struct {
		fault  server.Fault
		picker string
	}{
		"slow, round-robin":    {slow, "round-robin"},
		"slow, two-choices":    {slow, "two-choices"},
		"failing, round-robin": {failing, "round-robin"},
		"failing, two-choices": {failing, "two-choices"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := ejectionPlan()
			plan.Settings = map[string]any{"picker": tc.picker}
			fleet := startFleet(t, plan, false)
			gray := fleet.Servers[2]
			monitor := monitorGates(t, fleet)
			load := ejectionLoad(t, fleet)
			time.Sleep(ejectionWarmUp)
			setFault(t, gray, tc.fault)
			began := time.Now()
			detected, ejected := monitor.awaitState(gray.Name, "ejected", maxDetectionTime)
			time.Sleep(2 * time.Second)
			share := relativeLoad(fleet, gray, time.Now().Add(-2*time.Second))
			setFault(t, gray, server.Fault{})
			cleared := time.Now()
			back, returned := monitor.awaitState(gray.Name, "serving", maxReturnTime)
			during := startedBetween(stopLoad(t, load), began, cleared)
			monitor.stop()
			counts := monitor.ejections()
			delete(counts, gray.Name)
			logFigure(t, "%s: ejected=%t after %v, then %.2f of a fair share of the requests; back=%t %v after its recovery; false ejections %v; results: %s",
				name, ejected, detected, share, returned, back, counts, countResults(during))
			if !ejected && (tc.picker == "round-robin" || share > 0.25) {
				t.Errorf("the server was not ejected within %v and gets %.2f of a fair share of the requests", maxDetectionTime, share)
			}
			if !returned {
				t.Errorf("the server did not serve again within %v", maxReturnTime)
			}
			if len(counts) > 0 {
				t.Errorf("healthy servers were ejected: %v", counts)
			}
		})
	}
}

// relativeLoad returns the number of requests that a backend server got since a time,
// as a multiple of the mean of all servers.
func relativeLoad(fleet *launcher.Fleet, of *launcher.Server, since time.Time) float64 {
	all, own := 0, 0
	for _, s := range fleet.Servers {
		for _, entry := range s.Journal() {
			if entry.Start < since.UnixNano() {
				continue
			}
			all++
			if s == of {
				own++
			}
		}
	}
	return float64(own) * ejectionServers / float64(max(all, 1))
}

// A service whose servers are all slow, or all fail the same share of requests, has
// no server ejected.
func TestUniformFaultsEjectNoServer(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, ejectionPlan(), false)
	monitor := monitorGates(t, fleet)
	load := ejectionLoad(t, fleet)
	time.Sleep(ejectionWarmUp)
	for _, s := range fleet.Servers {
		setFault(t, s, server.Fault{Kind: server.FaultSlow, Factor: 5})
	}
	time.Sleep(6 * time.Second)
	for _, s := range fleet.Servers {
		setFault(t, s, server.Fault{Kind: server.FaultFailing, Share: 0.3})
	}
	time.Sleep(5 * time.Second)
	monitor.stop()
	records := stopLoad(t, load)
	logFigure(t, "all servers slow, then all failing: ejections %v; results: %s", monitor.ejections(), countResults(records))
	if len(monitor.ejections()) > 0 {
		t.Errorf("servers were ejected although all behave alike: %v", monitor.ejections())
	}
}

// Ejection never leaves fewer servers than the floor, however many are faulty.
func TestEjectionKeepsTheFloor(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, ejectionPlan(), false)
	monitor := monitorGates(t, fleet)
	load := ejectionLoad(t, fleet)
	time.Sleep(ejectionWarmUp)
	for i, s := range fleet.Servers {
		fault := server.Fault{Kind: server.FaultFailing, Share: 0.5}
		if i%2 == 1 {
			fault = server.Fault{Kind: server.FaultSlow, Factor: 8}
		}
		if i < 5 {
			setFault(t, s, fault)
		}
	}
	time.Sleep(11 * time.Second)
	monitor.stop()
	records := stopLoad(t, load)
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	logFigure(t, "five of eight faulty: at most %d ejected at once, ejected %v; results: %s", monitor.maxEjected, slices.Sorted(maps.Keys(monitor.ejectedAt)), countResults(records))
	if monitor.maxEjected > ejectionServers-ejectionServers*ejectionFloor {
		t.Errorf("%d of %d servers were ejected at once", monitor.maxEjected, ejectionServers)
	}
}

// A server that alternates between failing and healthy is ejected, for longer each
// time, or gets few requests while it fails. No other server is ejected.
func TestFlappingServerIsEjectedOrAvoided(t *testing.T) {
	t.Parallel()
	for _, picker := range []string{"round-robin", "two-choices"} {
		t.Run(picker, func(t *testing.T) {
			t.Parallel()
			plan := ejectionPlan()
			plan.Settings = map[string]any{"picker": picker}
			fleet := startFleet(t, plan, false)
			flapping := fleet.Servers[4]
			monitor := monitorGates(t, fleet)
			load := ejectionLoad(t, fleet)
			time.Sleep(ejectionWarmUp)
			began := time.Now()
			setFault(t, flapping, server.Fault{Kind: server.FaultFailing, Period: 2 * time.Second})
			time.Sleep(13 * time.Second)
			monitor.stop()
			during := startedBetween(stopLoad(t, load), began, time.Now())
			counts := monitor.ejections()
			failed := 0
			for _, entry := range flapping.Journal() {
				if entry.Fault == server.FaultFailing {
					failed++
				}
			}
			own := counts[flapping.Name]
			delete(counts, flapping.Name)
			logFigure(t, "flapping every 2s for 13s, %s: ejected %d times, %d requests failed on the server, false ejections %v; results: %s",
				picker, own, failed, counts, countResults(during))
			if own == 0 && failed > len(during)/(2*ejectionServers) {
				t.Errorf("the server was not ejected, and %d of %d requests failed on it", failed, len(during))
			}
			if len(counts) > 0 {
				t.Errorf("healthy servers were ejected: %v", counts)
			}
		})
	}
}
