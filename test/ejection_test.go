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
	// ejectionServers is the number of backend servers of the judged service.
	ejectionServers = 8
	// ejectionFloor is the share of them that ejection must leave.
	ejectionFloor = 0.5
	// ejectionWarmUp is how long a fleet works soundly before a fault comes.
	ejectionWarmUp = 4 * time.Second
	// noticeWithin bounds the time until a gray failure is acted upon.
	noticeWithin = 15 * time.Second
	// returnWithin bounds the time until a server that got better is back.
	returnWithin = 15 * time.Second
	// watchInterval is the time between two looks at the gates.
	watchInterval = 50 * time.Millisecond
)

// ejectionPlan is a fleet of four hosts with eight backend servers.
func ejectionPlan() launcher.Plan {
	plan := launcher.SmallPlan(4)
	plan.Services[0].Servers = ejectionServers
	plan.Services[0].Floor = ejectionFloor
	plan.Services[0].Server = server.Options{Slots: 6, ServiceTime: 20 * time.Millisecond, Jitter: 20 * time.Millisecond, ConnectionCost: -1}
	return plan
}

// gateWatch looks at the gates of all backend servers all the time.
type gateWatch struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	states map[string]string      // by backend server
	since  map[string][]time.Time // by backend server, when it was seen ejected anew
	most   int                    // ejected at once
}

func watchGates(t *testing.T, fleet *launcher.Fleet) *gateWatch {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &gateWatch{cancel: cancel, states: map[string]string{}, since: map[string][]time.Time{}}
	w.done.Go(func() {
		for ctx.Err() == nil {
			w.look(ctx, fleet)
			time.Sleep(watchInterval)
		}
	})
	t.Cleanup(w.stop)
	return w
}

func (w *gateWatch) stop() {
	w.cancel()
	w.done.Wait()
}

func (w *gateWatch) look(ctx context.Context, fleet *launcher.Fleet) {
	for _, d := range fleet.Daemons {
		status, err := d.Status(ctx)
		if err != nil {
			continue
		}
		w.mu.Lock()
		for _, s := range status.Servers {
			if s.State == "ejected" && w.states[s.Name] != "ejected" {
				w.since[s.Name] = append(w.since[s.Name], time.Now())
			}
			w.states[s.Name] = s.State
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ejected := 0
	for _, state := range w.states {
		if state == "ejected" {
			ejected++
		}
	}
	w.most = max(w.most, ejected)
}

func (w *gateWatch) state(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.states[name]
}

// ejections returns how often each backend server was ejected.
func (w *gateWatch) ejections() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for name, times := range w.since {
		counts[name] = len(times)
	}
	return counts
}

// awaitState waits until a gate is in a state and returns how long
// that took; it is false when it did not come.
func (w *gateWatch) awaitState(name, state string, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within {
		if w.state(name) == state {
			return time.Since(began).Round(time.Millisecond), true
		}
		time.Sleep(watchInterval)
	}
	return within, false
}

func setFault(t *testing.T, s *launcher.Server, fault server.Fault) {
	t.Helper()
	if err := s.SetFault(fault); err != nil {
		t.Fatal(err)
	}
}

// ejectionLoad is enough work for every backend server to be judged by.
func ejectionLoad(t *testing.T, fleet *launcher.Fleet) *launcher.Load {
	t.Helper()
	return startLoad(t, caller.Options{
		Customers: []caller.Customer{traffic("shop", 140, caller.Spread)}, Ingresses: fleet.Ingresses(), Duration: time.Minute,
	})
}

// -----------------------------------------------------------------------------

// A backend server that is slow, or that fails real work while it calls itself
// healthy, is ejected, no other is, and it is back soon after it got better.
// Where ingresses choose by latency, a slow one may get too little work to be
// judged by; then it is enough that it gets little.
func TestGrayServersAreEjected(t *testing.T) {
	t.Parallel()
	slow := server.Fault{Kind: server.FaultSlow, Factor: 5}
	failing := server.Fault{Kind: server.FaultFailing, Share: 0.3}
	cases := map[string]struct {
		fault  server.Fault
		picker string
	}{
		"slow, chosen in turn":       {slow, "round-robin"},
		"slow, chosen by latency":    {slow, "two-choices"},
		"failing, chosen in turn":    {failing, "round-robin"},
		"failing, chosen by latency": {failing, "two-choices"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := ejectionPlan()
			plan.Settings = map[string]any{"picker": tc.picker}
			fleet := startFleet(t, plan, false)
			gray := fleet.Servers[2]
			watch := watchGates(t, fleet)
			load := ejectionLoad(t, fleet)
			time.Sleep(ejectionWarmUp)
			setFault(t, gray, tc.fault)
			began := time.Now()
			detected, ejected := watch.awaitState(gray.Name, "ejected", noticeWithin)
			time.Sleep(2 * time.Second)
			share := shareOfWork(fleet, gray, time.Now().Add(-2*time.Second))
			setFault(t, gray, server.Fault{})
			cleared := time.Now()
			back, returned := watch.awaitState(gray.Name, "serving", returnWithin)
			during := startedBetween(stopLoad(t, load), began, cleared)
			watch.stop()
			counts := watch.ejections()
			delete(counts, gray.Name)
			figure(t, "%s: ejected=%t after %v, then %.2f of a fair share of the work; back=%t %v after it got better; false ejections %v; told: %s",
				name, ejected, detected, share, returned, back, counts, tally(during))
			if !ejected && (tc.picker == "round-robin" || share > 0.25) {
				t.Errorf("it was not ejected within %v and gets %.2f of a fair share of the work", noticeWithin, share)
			}
			if !returned {
				t.Errorf("it was not back within %v", returnWithin)
			}
			if len(counts) > 0 {
				t.Errorf("sound servers were ejected: %v", counts)
			}
		})
	}
}

// shareOfWork returns what a backend server got since then, in fair shares.
func shareOfWork(fleet *launcher.Fleet, of *launcher.Server, since time.Time) float64 {
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

// A service that is slow as a whole, and one whose load rises, ejects nobody.
func TestServiceSlowAsAWholeEjectsNobody(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, ejectionPlan(), false)
	watch := watchGates(t, fleet)
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
	watch.stop()
	records := stopLoad(t, load)
	figure(t, "all alike slow and then failing: ejections %v; told: %s", watch.ejections(), tally(records))
	if len(watch.ejections()) > 0 {
		t.Errorf("servers were ejected though all are alike: %v", watch.ejections())
	}
}

// Ejection never leaves fewer than the floor, whatever share of the servers is
// bad.
func TestEjectionKeepsTheFloor(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, ejectionPlan(), false)
	watch := watchGates(t, fleet)
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
	watch.stop()
	records := stopLoad(t, load)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	figure(t, "five of eight bad: most ejected at once %d, ejected %v; told: %s", watch.most, slices.Sorted(maps.Keys(watch.since)), tally(records))
	if watch.most > ejectionServers-ejectionServers*ejectionFloor {
		t.Errorf("%d of %d servers were ejected at once", watch.most, ejectionServers)
	}
}

// A server that flaps in and out of health is ejected for longer each time, and
// no other is.
func TestFlappingServer(t *testing.T) {
	t.Parallel()
	for _, picker := range []string{"round-robin", "two-choices"} {
		t.Run(picker, func(t *testing.T) {
			t.Parallel()
			plan := ejectionPlan()
			plan.Settings = map[string]any{"picker": picker}
			fleet := startFleet(t, plan, false)
			flapping := fleet.Servers[4]
			watch := watchGates(t, fleet)
			load := ejectionLoad(t, fleet)
			time.Sleep(ejectionWarmUp)
			began := time.Now()
			setFault(t, flapping, server.Fault{Kind: server.FaultFailing, Period: 2 * time.Second})
			time.Sleep(13 * time.Second)
			watch.stop()
			during := startedBetween(stopLoad(t, load), began, time.Now())
			counts := watch.ejections()
			hit := 0
			for _, entry := range flapping.Journal() {
				if entry.Fault == server.FaultFailing {
					hit++
				}
			}
			own := counts[flapping.Name]
			delete(counts, flapping.Name)
			figure(t, "flapping every 2s for 13s, %s: ejected %d times, %d requests failed there, false ejections %v; told: %s",
				picker, own, hit, counts, tally(during))
			if own == 0 && hit > len(during)/(2*ejectionServers) {
				t.Errorf("it was not ejected, and %d of %d requests failed there", hit, len(during))
			}
			if len(counts) > 0 {
				t.Errorf("sound servers were ejected: %v", counts)
			}
		})
	}
}
