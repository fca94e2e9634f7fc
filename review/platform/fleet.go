//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the sidecar as the deploy file builds it, relative to the repository.
const program = "target/coltsfootflow"

// Ports, relative to the fleet's first one. They are the same on all hosts.
const (
	portCaller = iota
	portData
	portPeer
	portOperator
	portReady
	portServer
	portStore
	portCount
)

// startTimeout bounds the time until all daemons are ready.
const startTimeout = 20 * time.Second

// host is a host with a sidecar and a backend server.
type host struct {
	name    string
	zone    string
	service string
	public  string // address of the backend server, by which other hosts reach the daemon
	private string // address on which the daemon listens, behind the links
	server  *server
	command *exec.Cmd
}

// fleet is the deployment of a case.
type fleet struct {
	record *record
	store  *store
	links  *links
	block  string // first two bytes of all addresses
	port   int    // first port
	folder string // temporary
	hosts  []*host
	runs   runLog

	closing   sync.Once
	listeners []net.Listener
}

func newFleet(record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{
		record: record,
		store:  newStore(record),
		links:  newLinks(),
		block:  fmt.Sprintf("127.%d", 64+rand.IntN(150)),
		port:   20000 + portCount*rand.IntN(1200),
		folder: folder,
	}, nil
}

func (f *fleet) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, f.port+port) }

// listen opens a listener that close closes.
func (f *fleet) listen(ip string, port int) (net.Listener, error) {
	listener, err := net.Listen("tcp", f.address(ip, port))
	if err == nil {
		f.listeners = append(f.listeners, listener)
	}
	return listener, err
}

// addHost adds a host and starts its backend server. Its daemon is not started yet.
func (f *fleet) addHost(zone, service string) (*host, error) {
	number := 101 + len(f.hosts)
	h := &host{
		name:    fmt.Sprintf("sidecar-%s-%d", zone, number),
		zone:    zone,
		service: service,
		public:  fmt.Sprintf("%s.2.%d", f.block, number),
		private: fmt.Sprintf("%s.3.%d", f.block, number),
	}
	for _, port := range []int{portData, portPeer} {
		listener, err := f.listen(h.public, port)
		if err != nil {
			return nil, err
		}
		go f.links.forward(listener, h.public, f.address(h.private, port))
	}
	listener, err := f.listen(fmt.Sprintf("%s.4.%d", f.block, number), portStore)
	if err != nil {
		return nil, err
	}
	f.store.serve(listener, h.public)
	if listener, err = f.listen(h.public, portServer); err != nil {
		return nil, err
	}
	h.server = &server{fleet: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), host: h, born: time.Now().UnixMilli(), listener: listener, conns: map[net.Conn]bool{}}
	go h.server.serve(listener)
	f.links.hosts = append(f.links.hosts, h.public)
	f.hosts = append(f.hosts, h)
	return h, f.writeSettings(h, listener.Addr().String())
}

func (f *fleet) settingsPath(h *host) string { return filepath.Join(f.folder, h.name+".hujson") }

// writeSettings writes what the template of the deploy file gives for a small
// deployment.
func (f *fleet) writeSettings(h *host, server string) error {
	store := f.address(fmt.Sprintf("%s.4.%s", f.block, h.public[len(f.block)+3:]), portStore)
	content, err := json.MarshalIndent(map[string]any{
		"host":              h.name,
		"availability-zone": h.zone,
		"service":           h.service,
		"backend-server":    server,
		"caller-address":    f.address(h.private, portCaller),
		"data-address":      f.address(h.private, portData),
		"readiness-address": f.address(h.private, portReady),
		"peer-address":      f.address(h.private, portPeer),
		"operator-address":  f.address(h.private, portOperator),
		"store":             store,
		"secret":            "coltsfootflow/" + f.block,
		"retry-share":       0.2,
		"retry-slack":       62,
		"retry-window":      "10s",
		"rate-overage":      quotaOverage,
		"rate-slack":        quotaSlack,
		"apply-within":      "2s",
		"first-start":       "true",
		"stop-grace":        "6s",
		"memory":            "284MiB",
		"log-level":         "debug",
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsPath(h), content, 0o600)
}

// start publishes the configuration and the backend servers, starts the daemons and
// waits until they are ready.
func (f *fleet) start(configuration map[string]any) error {
	f.store.put("op/config", configuration)
	for _, h := range f.hosts {
		if err := f.startDaemon(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		f.publish(h)
	}
	deadline := time.Now().Add(startTimeout)
	for _, h := range f.hosts {
		for !f.isReady(h) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %v", h.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.logf("all daemons are ready")
	time.Sleep(4 * time.Second) // longer than the stable window of 3 s
	return nil
}

func (f *fleet) startDaemon(h *host) error {
	log, err := os.Create(filepath.Join(f.folder, h.name+".log"))
	if err != nil {
		return err
	}
	h.command = exec.Command(program, "sidecar", "--config", f.settingsPath(h))
	h.command.Stdout, h.command.Stderr = log, log
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	_ = log.Close()
	f.record.logf("%s starts: zone %s, service %s, server %s", h.name, h.zone, h.service, h.server.id)
	return nil
}

func (f *fleet) isReady(h *host) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.address(h.private, portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// publish writes the entry of a host's backend server, as the server does itself.
func (f *fleet) publish(h *host) {
	f.store.put("servers/"+h.server.id, map[string]any{
		"address":   f.address(h.public, portServer),
		"born":      h.server.born,
		"node_info": map[string]any{"service": h.service, "version": "v1", "zone": h.zone, "slots": slots},
		"status":    map[string]any{"state": "ready", "seq": 1, "cold_remaining_s": 0},
	})
}

// close ends all processes and listeners.
func (f *fleet) close() {
	f.closing.Do(func() {
		for _, h := range f.hosts {
			if h.command != nil && h.command.Process != nil {
				_ = h.command.Process.Kill()
				_ = h.command.Wait()
			}
		}
		f.store.close()
		for _, listener := range f.listeners {
			_ = listener.Close()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(f.folder)
		} else {
			f.record.logf("the logs of the daemons are in %s", f.folder)
		}
	})
}

// route returns a route of a configuration.
func route(prefix, kind, service string) map[string]any {
	return map[string]any{
		"host": hostName, "prefix": prefix, "kind": kind, "service": service, "timeout_s": 19,
		"target_latency_s": 2.5, "priority": 1, "max_attempts": 2, "allow_anonymous": false,
	}
}

// The names in the configuration.
const (
	hostName  = "jepu9.example"
	tenantKey = "6wsjnbanfqasnmgkcuyj"
)

// Bounds of the deployment, as in the site file of the cases.
const (
	slots        = 7
	quotaOverage = 0.25
	quotaSlack   = 20
	quotaWindow  = 5 * time.Second
	drainTime    = 2 * time.Second
	// bookingTime is how long a server works on a booking, and shortTime on a short request.
	bookingTime = 620 * time.Millisecond
	shortTime   = 160 * time.Millisecond
)

// configuration returns a configuration with one tenant. A rate of 0 means no limit.
func configuration(tenant string, rate float64, routes map[string]any, services ...string) map[string]any {
	described := map[string]any{}
	for _, service := range services {
		described[service] = map[string]any{
			"health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "cold_start_s": 3, "cold_per_s": 25,
		}
	}
	return map[string]any{
		"version": "r7", "routes": routes, "services": described,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants": map[string]any{
			tenant: map[string]any{"api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": rate, "burst": rate},
		},
	}
}
