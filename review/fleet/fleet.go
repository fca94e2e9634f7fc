//go:build review

// Package fleet starts a small deployment for the scripts of the second review: the
// project's own sidecars as separate processes, its emulator of the platform's store, and
// backend servers that follow the platform's pages. Everything listens on loopback
// addresses.
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
	names "github.com/coltsfootflow/coltsfootflow/review/fleet/platform"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Names are the headers of the platform.
var Names = platform.HeaderNames

// Heartbeat is the time between two writes of a backend server to the store.
const Heartbeat = 1500 * time.Millisecond

// Record writes what was sent, answered and run, one line an event. It is safe for
// concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		Abort(err)
	}
	return &Record{file: file, began: time.Now()}
}

// Logf writes one line with the seconds since the start of the script.
func (r *Record) Logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, arguments...)...)
}

// Notef writes a line to the record and to standard output.
func (r *Record) Notef(format string, arguments ...any) {
	r.Logf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Abort ends a script that could not run.
func Abort(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(NotRun)
}

// Host is one host: a backend server and the daemon beside it.
type Host struct {
	Name     string
	IP       string // by which other hosts know it
	own      string // on which its daemon listens; another one where there are links
	Zone     string
	Service  string
	Server   *Server
	settings string
	log      *os.File
	process  *exec.Cmd
}

// Deployment is the deployment of one script.
type Deployment struct {
	Store  *emulator.Store
	Hosts  []*Host
	Record *Record

	folder       string
	storeAddress string
	callerPort   int
	memory       string
	version      uint64
	links        *links // nil if the hosts reach each other directly
	proxies      []net.Listener
}

// Options describe a deployment.
type Options struct {
	Record *Record
	Memory string // of a daemon, as its settings have it; "284MiB" by default
	Links  bool   // the ways between hosts, and to the store, can be cut
}

// New starts the store of a deployment without hosts.
func New(options Options) *Deployment {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		Abort(err)
	}
	d := &Deployment{Record: options.Record, folder: folder, memory: options.Memory}
	if options.Links {
		d.links = &links{cut: map[[2]string]bool{}}
	}
	if d.memory == "" {
		d.memory = "284MiB"
	}
	block := 20 + os.Getpid()%200
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:0", block))
	if err != nil {
		Abort(err)
	}
	d.storeAddress = listener.Addr().String()
	d.Store = emulator.Start(listener)
	d.callerPort = freePorts(block)
	return d
}

// The ports of a host, counted from that for callers.
const (
	portCaller = iota
	portData
	portPeer
	portOperator
	portReadiness
	portServer
	portStore // of the way to the store
	portCount
)

// freePorts returns the first of portCount ports that are free on the hosts' addresses.
func freePorts(block int) int {
search:
	for first := 21000; first < 29000; first += 10 {
		for host := range 16 {
			for port := range portCount {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.%d:%d", block, 10+host, first+port))
				if err != nil {
					continue search
				}
				_ = listener.Close()
			}
		}
		return first
	}
	Abort(fmt.Errorf("no free ports on 127.%d.2.10", block))
	return 0
}

// Publish publishes a configuration as the next version.
func (d *Deployment) Publish(configuration flow.Configuration) {
	d.version += 3
	configuration.Version = d.version
	if configuration.Limits == (flow.CallerLimits{}) {
		configuration.Limits = flow.CallerLimits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	}
	d.Store.PutConfiguration(&configuration)
	d.Record.Logf("operator: configuration r%d acknowledged", configuration.Version)
}

// AddHost adds a host with its backend server. The daemon is started by Start.
func (d *Deployment) AddHost(zone, service string, server *Server) *Host {
	block := strings.Split(d.storeAddress, ".")[1]
	h := &Host{Name: fmt.Sprintf("host-%d", len(d.Hosts)), IP: fmt.Sprintf("127.%s.2.%d", block, 10+len(d.Hosts)), Zone: zone, Service: service, Server: server}
	h.own = h.IP
	storeAddress := d.storeAddress
	if d.links != nil {
		h.own = strings.Replace(h.IP, ".2.", ".3.", 1)
		storeAddress = fmt.Sprintf("%s:%d", h.own, d.callerPort+portStore)
		d.addLink(h, storeAddress, d.storeAddress, true)
		for _, port := range []int{portData, portPeer} {
			d.addLink(h, fmt.Sprintf("%s:%d", h.IP, d.callerPort+port), d.address(h, port), false)
		}
	}
	server.Address, server.Zone, server.Service = fmt.Sprintf("%s:%d", h.IP, d.callerPort+portServer), zone, service
	server.Name = h.Name
	server.deployment = d
	var err error
	if h.log, err = os.Create(filepath.Join(d.folder, h.Name+".log")); err != nil {
		Abort(err)
	}
	h.settings = filepath.Join(d.folder, h.Name+".hujson")
	// The keys and values of deploy/settings.hujson, with the bounds of a small deployment.
	content, err := json.MarshalIndent(map[string]any{
		"host":              h.Name,
		"availability-zone": zone,
		"zones":             map[string]string{"zone-a": "east", "zone-b": "east", "zone-c": "east"},
		"service":           service,
		"backend-server":    server.Address,
		"caller-address":    d.address(h, portCaller),
		"data-address":      d.address(h, portData),
		"readiness-address": d.address(h, portReadiness),
		"peer-address":      d.address(h, portPeer),
		"operator-address":  d.address(h, portOperator),
		"store":             storeAddress,
		"secret":            "coltsfootflow/" + d.storeAddress,
		"retry-share":       0.2,
		"retry-slack":       62,
		"retry-window":      "10s",
		"rate-overage":      0.25,
		"rate-slack":        20,
		"apply-within":      "2s",
		"first-start":       "true",
		"cut-off-servers":   "use",
		"stop-grace":        "6s",
		"memory":            d.memory,
		"log-level":         "debug",
	}, "", "  ")
	if err != nil {
		Abort(err)
	}
	if err := os.WriteFile(h.settings, content, 0o600); err != nil {
		Abort(err)
	}
	d.Hosts = append(d.Hosts, h)
	return h
}

func (d *Deployment) addLink(h *Host, address, target string, toStore bool) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.Close()
		Abort(err)
	}
	d.proxies = append(d.proxies, listener)
	go d.links.forward(listener, h.IP, target, toStore)
}

func (d *Deployment) address(h *Host, port int) string {
	return fmt.Sprintf("%s:%d", h.own, d.callerPort+port)
}

// CallerAddress is where callers of a host send their requests.
func (d *Deployment) CallerAddress(h *Host) string { return d.address(h, portCaller) }

// StartDaemon starts the daemon of a host with the command of the deploy file.
func (d *Deployment) StartDaemon(h *Host) {
	h.process = exec.Command("target/coltsfootflow", "sidecar", "--config", h.settings)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		d.Close()
		Abort(err)
	}
	d.Record.Logf("%s: daemon started, process %d, callers at %s", h.Name, h.process.Process.Pid, d.CallerAddress(h))
}

// Signal sends a signal to the daemon of a host.
func (d *Deployment) Signal(h *Host, signal syscall.Signal) {
	d.Record.Logf("%s: %v sent to the daemon", h.Name, signal)
	_ = h.process.Process.Signal(signal)
}

// Pid returns the process id of a host's daemon.
func (h *Host) Pid() int { return h.process.Process.Pid }

// Wait waits until the daemon of a host has ended.
func (h *Host) Wait() { _ = h.process.Wait() }

// Start starts all servers and daemons and waits until every daemon is ready and knows all
// servers.
func (d *Deployment) Start() {
	for _, h := range d.Hosts {
		h.Server.Start()
	}
	for _, h := range d.Hosts {
		d.StartDaemon(h)
	}
	d.AwaitReady(20 * time.Second)
}

// AwaitReady waits until every daemon is ready and knows all hosts.
func (d *Deployment) AwaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, h := range d.Hosts {
		for !d.ready(h) {
			if time.Now().After(end) {
				d.Close()
				Abort(fmt.Errorf("%s did not become ready", h.Name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.Record.Logf("all daemons are ready")
}

func (d *Deployment) ready(h *Host) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.address(h, portReadiness) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	if response, err = client.Get("http://" + d.address(h, portOperator) + "/status"); err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Hosts int `json:"hosts"`
	}
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Hosts == len(d.Hosts)
}

// Close ends everything that the deployment has started.
func (d *Deployment) Close() {
	for _, proxy := range d.proxies {
		_ = proxy.Close()
	}
	for _, h := range d.Hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			_ = h.process.Wait()
		}
		h.Server.Crash()
		_ = h.log.Close()
	}
	d.Store.Close()
	_ = os.RemoveAll(d.folder)
}

// Server is a backend server. It registers itself in the store as the pages say.
type Server struct {
	ID      string
	Name    string // of its host
	Address string
	Zone    string
	Service string
	Slots   int
	Handler func(s *Server, w http.ResponseWriter, r *http.Request) // runs a request that has a slot

	deployment *Deployment
	slots      chan struct{}

	mu        sync.Mutex
	born      int64
	server    *http.Server
	coldUntil time.Time
	entry     flow.ServerEntry
	cutOff    bool // it does not reach the store
	stop      chan struct{}
}

// Start starts the server and its heartbeats.
func (s *Server) Start() {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		Abort(err)
	}
	s.mu.Lock()
	s.born, s.slots, s.stop = max(time.Now().UnixMilli(), s.born+1), make(chan struct{}, s.Slots), make(chan struct{})
	s.server = &http.Server{Handler: s}
	s.entry = flow.ServerEntry{}
	server, stop := s.server, s.stop
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go s.beat(stop)
}

// Crash closes the listener and all connections at once.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	close(s.stop)
	_ = s.server.Close()
	s.server = nil
}

// SetCold makes the server cold for a time from now.
func (s *Server) SetCold(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(span)
}

// ColdFor returns how long the server stays cold.
func (s *Server) ColdFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.coldUntil), 0)
}

// SetCutOff partitions the server from the store, or ends that. Its entry is removed after
// three heartbeats of silence.
func (s *Server) SetCutOff(cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff = cutOff
	if !cutOff {
		return
	}
	time.AfterFunc(3*Heartbeat, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.cutOff {
			s.entry = flow.ServerEntry{}
			s.deployment.Store.DeleteServer(s.ID)
			s.deployment.Record.Logf("store: the entry of %s is removed", s.ID)
		}
	})
}

// beat writes to the store every Heartbeat. The entry changes when more than the sequence
// number would change.
func (s *Server) beat(stop <-chan struct{}) {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		s.write()
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (s *Server) write() {
	cold := s.ColdFor().Round(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutOff {
		return
	}
	host, _, _ := net.SplitHostPort(s.Address)
	entry := flow.ServerEntry{ID: s.ID, Service: s.Service, Address: s.Address, Host: host, Zone: s.Zone, Slots: s.Slots, StartedUnixMs: s.born, ColdRemaining: cold}
	if entry == s.entry {
		return
	}
	s.entry = entry
	s.deployment.Store.PutServer(entry)
	s.deployment.Record.Logf("%s: server %s wrote its entry, cold for %d ms", s.Name, s.ID, cold.Milliseconds())
}

// ServeHTTP checks what every server checks, takes a slot and runs the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(Names.ServerID, s.ID)
		if cold := s.ColdFor(); cold > 0 {
			w.Header().Set(names.ColdHeader, fmt.Sprint(cold.Milliseconds()))
		}
		return
	}
	id := r.Header.Get(Names.RequestID)
	if r.Header.Get(Names.ExpectedServer) != s.ID {
		w.Header().Set(Names.ServerID, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.deployment.Record.Logf("%s: server %s got %s %s (%s)", s.Name, s.ID, r.Method, r.URL.Path, id)
	w.Header().Set(Names.RequestID, id)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set(Names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Handler(s, w, r)
}

// Seal is the value of the seal of a server's answers.
func (s *Server) Seal() string { return "3e1b.07." + s.ID }

// WriteBody writes a complete answer of a given length.
func (s *Server) WriteBody(w http.ResponseWriter, body []byte) {
	w.Header().Set(Names.Seal, s.Seal())
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// Route returns a route on the host review.example.
func Route(name, service string, idempotent bool) flow.RouteRule {
	return flow.RouteRule{
		Name: name, Host: "review.example", PathPrefix: "/" + name + "/", Split: []flow.WeightedService{{Service: service, Weight: 1}},
		Idempotent: idempotent, MaxAttempts: 2, Timeout: 8 * time.Second, TargetLatency: 2500 * time.Millisecond, Priority: 1,
	}
}

// Service returns a service as in the small deployments.
func Service(name string) flow.ServiceRule {
	return flow.ServiceRule{Name: name, HealthPath: "/health", MaxConnections: 390, ColdStart: 3 * time.Second, ColdPerSecond: 25}
}

// Key is the API key of the customer that Customers declares, who has no rate limit.
const Key = "6wsjnbanfqasnmgkcuyj"

// Customers returns the customers of a deployment.
func Customers() []flow.CustomerRule {
	return []flow.CustomerRule{{Name: "pulo780", Keys: []string{Key}, Priority: 1}}
}

// RequestHead returns the head of a caller's request up to and including the empty line.
func RequestHead(method, path, id string, left time.Duration, extra ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: review.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n",
		method, path, Names.RequestID, id, Names.TimeLeft, left.Milliseconds(), Names.Key, Key)
	for _, line := range extra {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// Disturbed reports whether the script is to bring the disruption about.
func Disturbed() bool { return os.Getenv("TROUBLE") != "0" }

// DrainAll reads everything.
func DrainAll(r io.Reader) { _, _ = io.Copy(io.Discard, r) }
