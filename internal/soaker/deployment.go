// The deployment: hosts with their daemons and backend servers, the store, and the
// links between them.

package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// Ports, which are the same on all hosts.
const (
	portCaller = 21000 + iota
	portData
	portPeer
	portOperator
	portReadiness
	portBackend
	portStore
)

// Settings of the daemons and time limits of the guarantees, as in real deployments.
const (
	stopGrace         = 6 * time.Second
	maxConfigDelay    = 2 * time.Second
	maxDrainDelay     = 2 * time.Second
	maxZoneOutDelay   = 5 * time.Second
	undisturbedWindow = 3 * time.Second // without faults, after which the time limits apply
	rateWindow        = 5 * time.Second
	rateOverage       = 0.25
	rateSlack         = 20
)

// host is one host of the deployment.
type host struct {
	zone      string
	publicIP  string // address by which other hosts reach it
	privateIP string // address that its daemon listens on, behind the links
	daemon    *daemon
	backend   *backend
}

// deployment is the deployment under test.
type deployment struct {
	options        Options
	names          flow.HeaderNames
	store          *publisher
	links          *interrupter.Interrupter
	hosts          []*host
	runs           *runLog
	exchanges      *exchangeLog
	logs           []*os.File
	lastGeneration atomic.Int64 // generation of the last replacement of a backend server; part of its id

	publishing sync.Mutex // held while the configuration is published, and taken before mu

	mu            sync.Mutex
	configuration flow.Configuration
	keys          []string // that callers use
	keyCount      int
	history       history
	timeline      []string
}

// logf adds a line with the current time to the timeline of the soak.
func (dep *deployment) logf(format string, arguments ...any) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.timeline = append(dep.timeline, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
}

// startDeployment starts everything except the callers.
func startDeployment(ctx context.Context, options Options) (*deployment, error) {
	dep := &deployment{options: options, names: platform.HeaderNames, runs: &runLog{}, exchanges: &exchangeLog{}}
	dep.history.initialize()
	block := 20 + os.Getpid()%200 // so that concurrent soaks use different addresses
	storeAddress := fmt.Sprintf("127.%d.1.1:%d", block, portStore)
	listener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return nil, flow.Wrap("listen-store", storeAddress, err)
	}
	dep.store = newPublisher(emulator.Start(listener))
	if dep.links, err = interrupter.New(ctx, interrupter.Options{Seed: options.Seed}); err != nil {
		return nil, err
	}
	dep.publishInitialConfiguration()
	for i := range options.Hosts {
		if err := dep.addHost(block, i, storeAddress); err != nil {
			return nil, err
		}
	}
	for _, h := range dep.hosts {
		if err := h.daemon.start(); err != nil {
			return nil, err
		}
	}
	return dep, nil
}

// services are the services of the hosts, assigned round-robin.
var services = []string{"stock", "ledger"}

// addHost creates a host with its links, backend server and settings, without starting
// its daemon.
func (dep *deployment) addHost(block, i int, storeAddress string) error {
	h := &host{
		zone:      []string{"zone-a", "zone-b"}[i/2%2],
		publicIP:  fmt.Sprintf("127.%d.2.%d", block, 10+i),
		privateIP: fmt.Sprintf("127.%d.3.%d", block, 10+i),
	}
	for _, link := range []interrupter.LinkOptions{
		{Name: linkName("data", i), Address: address(h.publicIP, portData), Target: address(h.privateIP, portData)},
		{Name: linkName("peer", i), Address: address(h.publicIP, portPeer), Target: address(h.privateIP, portPeer)},
		{Name: linkName("store", i), Address: address(h.privateIP, portStore), Target: storeAddress},
	} {
		if _, err := dep.links.Add(link); err != nil {
			return err
		}
	}
	service := services[i%len(services)]
	var err error
	h.backend, err = startBackend(dep.names, dep.runs, address(h.publicIP, portBackend), h.zone, service, fmt.Sprintf("server-%d-0", i))
	if err != nil {
		return err
	}
	dep.store.PutServer(h.backend.serverEntry(false))
	log, err := os.Create(filepath.Join(dep.options.Folder, fmt.Sprintf("host-%d.log", i)))
	if err != nil {
		return flow.Wrap("create-log", dep.options.Folder, err)
	}
	dep.logs = append(dep.logs, log)
	config, err := dep.writeSettings(h, i, service)
	if err != nil {
		return err
	}
	h.daemon = &daemon{program: dep.options.Program, config: config, log: log}
	dep.hosts = append(dep.hosts, h)
	return nil
}

func linkName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// writeSettings writes the settings file of a host, and returns its path.
func (dep *deployment) writeSettings(h *host, i int, service string) (string, error) {
	content, err := json.MarshalIndent(map[string]any{
		"host":              fmt.Sprintf("host-%d", i),
		"availability-zone": h.zone,
		"service":           service,
		"backend-server":    h.backend.address,
		"caller-address":    address(h.privateIP, portCaller),
		"data-address":      address(h.privateIP, portData),
		"peer-address":      address(h.privateIP, portPeer),
		"operator-address":  address(h.privateIP, portOperator),
		"readiness-address": address(h.privateIP, portReadiness),
		"store":             address(h.privateIP, portStore),
		"secret":            "the secret of a soak",
		"stop-grace":        stopGrace.String(),
		"rate-overage":      rateOverage,
		"rate-slack":        rateSlack,
		"log-level":         "debug",
		"log-lines":         5000,
	}, "", "  ")
	if err != nil {
		return "", flow.Wrap("write-settings", h.publicIP, err)
	}
	path := filepath.Join(dep.options.Folder, fmt.Sprintf("host-%d.hujson", i))
	return path, flow.Wrap("write-settings", path, os.WriteFile(path, content, 0o600))
}

// publishInitialConfiguration publishes the first configuration.
func (dep *deployment) publishInitialConfiguration() {
	route := func(name string, idempotent bool, parts ...flow.WeightedService) flow.RouteRule {
		return flow.RouteRule{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Split: parts, Idempotent: idempotent,
			MaxAttempts: 2, Timeout: callerDeadline, TargetLatency: callerDeadline / 3, Priority: 1,
		}
	}
	dep.configuration = flow.Configuration{
		Version: 1,
		Routes: []flow.RouteRule{
			route("read", true, flow.WeightedService{Service: "stock", Weight: 1}),
			route("book", false, flow.WeightedService{Service: "ledger", Weight: 1}),
			route("mixed", true, flow.WeightedService{Service: "stock", Weight: 1}, flow.WeightedService{Service: "ledger", Weight: 1}),
		},
		Services: []flow.ServiceRule{
			{Name: "stock", HealthPath: "/health", ColdStart: time.Second, ColdPerSecond: 50},
			{Name: "ledger", HealthPath: "/health", ColdStart: time.Second, ColdPerSecond: 50},
		},
		Customers: []flow.CustomerRule{
			{Name: "shop", Priority: -1, PerSecond: 30, Burst: 30},
			{Name: "school", Priority: -1},
		},
	}
	for i := range dep.configuration.Customers {
		dep.addKey(i)
	}
	dep.publish()
}

// addKey gives a customer another key. The caller holds dep.mu, or no callers run yet.
func (dep *deployment) addKey(customer int) {
	dep.keyCount++
	c := &dep.configuration.Customers[customer]
	key := fmt.Sprintf("key-%s-%d", c.Name, dep.keyCount)
	c.Keys = append(c.Keys, key)
	dep.keys = append(dep.keys, key)
	dep.history.setKeyOwner(key, c.Name)
}

// publish publishes the current configuration as a new version.
func (dep *deployment) publish() {
	dep.configuration.Version++
	dep.store.PutConfiguration(&dep.configuration)
}

// keysInUse returns the keys that callers use, including recently withdrawn ones.
func (dep *deployment) keysInUse() []string {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return append([]string(nil), dep.keys...)
}

// close stops everything.
func (dep *deployment) close() {
	for _, h := range dep.hosts {
		h.daemon.kill()
		_ = h.backend.server.Close()
	}
	dep.store.Close()
	for _, log := range dep.logs {
		_ = log.Close()
	}
}
