package follower_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/process/disseminator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/follower"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/linker"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

const (
	fleetPeerPort = "7000"
	fleetStore    = "10.200.0.1:8545"
	storeHost     = "10.200.0.1"
	storeResponse = 4 * time.Millisecond
	// heartbeatInterval is how often backend servers register.
	heartbeatInterval = 1500 * time.Millisecond
)

// fleetSize is a deployment with the bounds that hold for it.
type fleetSize struct {
	daemons, zones    int
	delay             time.Duration // one way
	applyWithin       time.Duration // from the acknowledgement of a change
	undisturbedWindow time.Duration // from the end of a disturbance; from then on applyWithin holds
}

var (
	smallFleet = fleetSize{27, 4, 1400 * time.Microsecond, 2 * time.Second, 3 * time.Second}
	largeFleet = fleetSize{353, 6, 500 * time.Microsecond, 3 * time.Second, 4 * time.Second}
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{}

// Now implements flow.Clock.
func (bubbleClock) Now() flow.Time { return flow.Time(time.Now().UnixMilli()) }

// fleet is a deployment of followers around a store in simulated time, on a network in
// memory. Its store publishes configurations whose versions count from 1.
type fleet struct {
	size    fleetSize
	random  *rand.Rand
	network *linker.Network
	store   *emulator.Store
	hosts   []*fleetHost
	version uint64
	acked   map[uint64]time.Time // by version

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// fleetHost is a host with its daemon and its backend server.
type fleetHost struct {
	fleet      *fleet
	ip, zone   string
	random     *rand.Rand
	generation int
	cancel     context.CancelFunc
	stopped    chan struct{}
	dialers    []*dialer.Dialer

	mu        sync.Mutex
	follower  *follower.Follower // nil while the daemon is down
	reports   *disseminator.Exchange
	load      flow.ServerLoad
	startedAt time.Time
	inForce   map[uint64]time.Time // by version: since when a configuration at least as new is in force in this run of the daemon
	silences  []string             // log lines about hosts that did not answer
}

// parallel lets a test of fleets run beside others, unless the race detector is on.
func parallel(t *testing.T) {
	t.Helper()
	if !raceDetector {
		t.Parallel()
	}
}

// runFleet runs a test on a fleet in simulated time, once all daemons know everything.
func runFleet(t *testing.T, size fleetSize, seed uint64, test func(t *testing.T, f *fleet)) {
	t.Helper()
	if raceDetector { // fails when the timers of a bubble run on several processors at once
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size, seed)
		defer f.close()
		test(t, f)
	})
}

func newFleet(t *testing.T, size fleetSize, seed uint64) *fleet {
	f := &fleet{size: size, random: rand.New(rand.NewPCG(seed, 7)), acked: map[uint64]time.Time{}}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	zones := map[string]string{}
	for i := range size.daemons {
		h := &fleetHost{fleet: f, ip: fmt.Sprintf("10.%d.%d.%d", 1+i%size.zones, i/200, 10+i%200), zone: fmt.Sprintf("zone-%d", i%size.zones), generation: 1}
		h.random = rand.New(rand.NewPCG(seed, uint64(100+i)))
		zones[h.ip] = h.zone
		f.hosts = append(f.hosts, h)
	}
	f.network = linker.New(size.delay, func(host string) string { return zones[host] })
	socket, err := f.network.Listen(fleetStore)
	if err != nil {
		t.Fatal(err)
	}
	f.store = emulator.Start(socket)
	f.store.SetDelay(storeResponse)
	for _, h := range f.hosts {
		f.store.PutServer(h.entry())
	}
	f.publish()
	for _, h := range f.hosts {
		h.start()
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	f.running.Go(func() { f.offerRequests(random) })
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		h.stop()
	}
	f.running.Wait()
	f.store.Close()
	f.network.Close()
	time.Sleep(5 * time.Second) // connections that are being opened run into their time limits
}

// publish publishes the next version of the configuration, which adds a route. It is
// acknowledged at once.
func (f *fleet) publish() uint64 {
	f.version++
	configuration := &flow.Configuration{Version: f.version, Services: []flow.ServiceRule{{Name: "stock"}}}
	for i := range f.version {
		configuration.Routes = append(configuration.Routes, flow.RouteRule{
			Name: fmt.Sprintf("route-%d", i), Host: "stock.example", PathPrefix: fmt.Sprintf("/%d/", i), Idempotent: true, MaxAttempts: 2,
			Split: []flow.WeightedService{{Service: "stock", Weight: 1}}, Timeout: 6 * time.Second, TargetLatency: 2 * time.Second,
		})
	}
	f.store.PutConfiguration(configuration)
	f.acked[f.version] = time.Now()
	return f.version
}

// offerRequests lets each daemon connect to others, as it does to offer them requests. So a
// daemon that has restarted hears of one.
func (f *fleet) offerRequests(random *rand.Rand) {
	for flow.Sleep(f.ctx, 100*time.Millisecond) {
		for range 1 + len(f.hosts)/20 {
			from, to := f.hosts[random.IntN(len(f.hosts))], f.hosts[random.IntN(len(f.hosts))]
			if one, other := from.running(), to.running(); from != to && one != nil && other != nil {
				if slices.Contains(one.Catalog().Hosts(), to.ip) {
					other.NotePeer(from.ip)
				}
			}
		}
	}
}

// entry returns the entry of the host's backend server.
func (h *fleetHost) entry() flow.ServerEntry {
	return flow.ServerEntry{
		ID: fmt.Sprintf("server-%s-%d", h.ip, h.generation), Service: "stock", Address: h.ip + ":8547", Host: h.ip, Zone: h.zone, Slots: 7,
		StartedUnixMs: int64(h.generation),
	}
}

// running returns the follower of the host, or nil while its daemon is down.
func (h *fleetHost) running() *follower.Follower {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.follower
}

// start starts the daemon of the host.
func (h *fleetHost) start() {
	f := h.fleet
	ctx, cancel := context.WithCancel(f.ctx)
	h.cancel, h.stopped = cancel, make(chan struct{})
	options := framer.Options{Self: framer.Identity{Host: h.ip}, Secret: []byte("sixteen characters"), MaxPayloadBytes: 1 << 20}
	log := funcr.New(h.noteLine, funcr.Options{})
	watches, calls := dialer.New(options, f.network.Host(h.ip)), dialer.New(options, f.network.Host(h.ip))
	h.dialers = []*dialer.Dialer{watches, calls}
	reports := disseminator.NewExchange(disseminator.Parts{
		Clock: bubbleClock{}, Own: h.ownLoad, Table: h.random.Uint64(), FirstSequence: uint64(time.Now().UnixMilli()), Log: logr.Discard(),
	})
	one := follower.New(follower.Parts{
		Host: h.ip, Zone: h.zone, PeerPort: fleetPeerPort, Platform: platform.NewStore(fleetStore, f.network.Host(h.ip), bubbleClock{}, logr.Discard()),
		Dialer: watches, Calls: calls, Clock: bubbleClock{}, Log: log, Random: rand.New(rand.NewPCG(h.random.Uint64(), 2)), ApplyWithin: f.size.applyWithin,
		OnChange: h.note, Reports: reports,
	})
	h.mu.Lock()
	h.reports = reports
	h.follower, h.startedAt, h.inForce = one, time.Now(), map[uint64]time.Time{}
	h.mu.Unlock()
	socket, err := f.network.Listen(net.JoinHostPort(h.ip, fleetPeerPort))
	if err != nil {
		panic(err) // cannot happen: the one of the run before was closed
	}
	var parts sync.WaitGroup
	parts.Go(func() { one.Run(ctx) })
	parts.Go(func() {
		_ = (&listener.Listener{Options: options, Endpoints: one.Endpoints(), Log: logr.Discard()}).Serve(ctx, socket)
	})
	parts.Go(func() {
		for flow.Sleep(ctx, 200*time.Millisecond) {
			one.InTouch() // as the owner of a resource does
		}
	})
	stopped := h.stopped
	go func() {
		parts.Wait()
		close(stopped)
	}()
}

// ownLoad returns the load of the host's backend server.
func (h *fleetHost) ownLoad() (server string, load flow.ServerLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry().ID, h.load
}

// setLoad sets the load of the host's backend server.
func (h *fleetHost) setLoad(load flow.ServerLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.load = load
}

// knowsLoad returns what the host has learned about the backend server of another.
func (h *fleetHost) knowsLoad(other *fleetHost) (report disseminator.Report, ok bool) {
	h.mu.Lock()
	reports := h.reports
	h.mu.Unlock()
	reports.View(func(view disseminator.View) { report, ok = view.Get(other.entry().ID) })
	return report, ok
}

// noteLine records a line of the log if it is about a host that did not answer.
func (h *fleetHost) noteLine(_, line string) {
	if strings.Contains(line, "peer did not answer") {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.silences = append(h.silences, line)
	}
}

// note records since when versions of the configuration are in force.
func (h *fleetHost) note(catalog *cataloger.Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for version := catalog.Version; version > 0; version-- {
		if _, known := h.inForce[version]; known {
			return
		}
		h.inForce[version] = time.Now()
	}
}

// stop ends the daemon of the host as a kill does.
func (h *fleetHost) stop() {
	if h.running() == nil {
		return
	}
	h.cancel()
	h.fleet.network.Reset(h.ip)
	for _, d := range h.dialers {
		d.Close()
	}
	<-h.stopped
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower = nil
}

// knows returns since when a version is in force on the host, and when its daemon started.
func (h *fleetHost) knows(version uint64) (since, startedAt time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok = h.inForce[version]
	return since, h.startedAt, ok
}
