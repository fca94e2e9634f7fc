// The deployment: hosts, their daemons and backend servers, the store, and the
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

// The ports, the same on all hosts.
const (
	portCaller = 21000 + iota
	portData
	portPeer
	portOperator
	portReadiness
	portBackend
	portStore
)

// The bounds that the daemons are given, as the deployments have them.
const (
	stopGrace    = 6 * time.Second
	configBound  = 2 * time.Second
	drainBound   = 2 * time.Second
	zoneOutBound = 5 * time.Second
	touchWindow  = 3 * time.Second // without disturbance before a bound counts
	rateWindow   = 5 * time.Second
	rateOverage  = 0.25
	rateSlack    = 20
)

// host is one host of the deployment.
type host struct {
	zone    string
	public  string // IP number by which other hosts reach it
	private string // IP number that its daemon listens on, behind the links
	daemon  *daemon
	backend *backend
}

// world is the deployment.
type world struct {
	options Options
	names   flow.HeaderNames
	store   *emulator.Store
	links   *interrupter.Interrupter
	hosts   []*host
	ledger  *ledger
	book    *book
	logs    []*os.File
	nextID  atomic.Int64

	mu            sync.Mutex
	configuration flow.Configuration
	keys          []string // in force
	keyCounter    int
	facts         facts
	diary         []string
}

// note writes what was done into the diary of the soak.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.diary = append(w.diary, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
}

// build starts everything but the callers.
func build(ctx context.Context, options Options) (*world, error) {
	w := &world{options: options, names: platform.HeaderNames, ledger: &ledger{}, book: &book{}}
	w.facts.begin()
	block := 20 + os.Getpid()%200 // keeps soaks that run at once apart
	storeAddress := fmt.Sprintf("127.%d.1.1:%d", block, portStore)
	accepting, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return nil, flow.Wrap("listen-store", storeAddress, err)
	}
	w.store = emulator.Start(accepting)
	if w.links, err = interrupter.New(ctx, interrupter.Options{Seed: options.Seed}); err != nil {
		return nil, err
	}
	w.configure()
	for i := range options.Hosts {
		if err := w.addHost(block, i, storeAddress); err != nil {
			return nil, err
		}
	}
	for _, h := range w.hosts {
		if err := h.daemon.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// services are the services of the hosts, in turn.
var services = []string{"stock", "ledger"}

func (w *world) addHost(block, i int, storeAddress string) error {
	h := &host{
		zone:    []string{"zone-a", "zone-b"}[i/2%2],
		public:  fmt.Sprintf("127.%d.2.%d", block, 10+i),
		private: fmt.Sprintf("127.%d.3.%d", block, 10+i),
	}
	for _, link := range []interrupter.LinkOptions{
		{Name: linkName("data", i), Address: address(h.public, portData), Target: address(h.private, portData)},
		{Name: linkName("peer", i), Address: address(h.public, portPeer), Target: address(h.private, portPeer)},
		{Name: linkName("store", i), Address: address(h.private, portStore), Target: storeAddress},
	} {
		if _, err := w.links.Add(link); err != nil {
			return err
		}
	}
	service := services[i%len(services)]
	var err error
	h.backend, err = startBackend(w.names, w.ledger, address(h.public, portBackend), h.zone, service, fmt.Sprintf("server-%d-0", i))
	if err != nil {
		return err
	}
	w.store.PutServer(h.backend.entry(false))
	log, err := os.Create(filepath.Join(w.options.Folder, fmt.Sprintf("host-%d.log", i)))
	if err != nil {
		return flow.Wrap("create-log", w.options.Folder, err)
	}
	w.logs = append(w.logs, log)
	config, err := w.writeSettings(h, i, service)
	if err != nil {
		return err
	}
	h.daemon = &daemon{program: w.options.Program, config: config, log: log}
	w.hosts = append(w.hosts, h)
	return nil
}

func linkName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (w *world) writeSettings(h *host, i int, service string) (string, error) {
	content, err := json.MarshalIndent(map[string]any{
		"host":              fmt.Sprintf("host-%d", i),
		"availability-zone": h.zone,
		"service":           service,
		"backend-server":    h.backend.address,
		"caller-address":    address(h.private, portCaller),
		"data-address":      address(h.private, portData),
		"peer-address":      address(h.private, portPeer),
		"operator-address":  address(h.private, portOperator),
		"readiness-address": address(h.private, portReadiness),
		"store":             address(h.private, portStore),
		"secret":            "the secret of a soak",
		"stop-grace":        stopGrace.String(),
		"rate-overage":      rateOverage,
		"rate-slack":        rateSlack,
		"log-level":         "debug",
		"log-lines":         5000,
	}, "", "  ")
	if err != nil {
		return "", flow.Wrap("write-settings", h.public, err)
	}
	path := filepath.Join(w.options.Folder, fmt.Sprintf("host-%d.hujson", i))
	return path, flow.Wrap("write-settings", path, os.WriteFile(path, content, 0o600))
}

// configure publishes the first configuration.
func (w *world) configure() {
	route := func(name string, idempotent bool, parts ...flow.Part) flow.RouteRule {
		return flow.RouteRule{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Split: parts, Idempotent: idempotent,
			Attempts: 2, Timeout: callerDeadline, TargetLatency: callerDeadline / 3, Priority: 1,
		}
	}
	w.configuration = flow.Configuration{
		Version: 1,
		Routes: []flow.RouteRule{
			route("read", true, flow.Part{Service: "stock", Weight: 1}),
			route("book", false, flow.Part{Service: "ledger", Weight: 1}),
			route("mixed", true, flow.Part{Service: "stock", Weight: 1}, flow.Part{Service: "ledger", Weight: 1}),
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
	for i := range w.configuration.Customers {
		w.addKey(i)
	}
	w.publish()
}

// addKey gives a customer another key. It is called with the lock held, or
// before there are callers.
func (w *world) addKey(customer int) {
	w.keyCounter++
	c := &w.configuration.Customers[customer]
	key := fmt.Sprintf("key-%s-%d", c.Name, w.keyCounter)
	c.Keys = append(c.Keys, key)
	w.keys = append(w.keys, key)
	w.facts.keyOf(key, c.Name)
}

// publish publishes the configuration as it is now.
func (w *world) publish() {
	w.configuration.Version++
	w.store.PutConfiguration(&w.configuration)
}

// keysInUse returns the keys that callers use: also ones withdrawn lately.
func (w *world) keysInUse() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.keys...)
}

// close ends everything.
func (w *world) close() {
	for _, h := range w.hosts {
		h.daemon.kill()
		_ = h.backend.server.Close()
	}
	w.store.Close()
	for _, log := range w.logs {
		_ = log.Close()
	}
}
