//go:build review

// Package rig3 runs a small deployment for the scripts of the third review: sidecars as
// separate processes, each behind loopback proxies, with stand-ins for the store, the
// backend servers and the callers.
package rig3

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// Exit statuses of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the disruption is to be caused.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record of a case in its folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, began: time.Now()}, err
}

// Printf writes a line with the seconds since the start.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, arguments ...any) {
	r.Printf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Host is a host with its sidecar and its backend server.
type Host struct {
	Index     int
	Zone      string
	Region    string
	Service   string
	PublicIP  string // by which other hosts and the store know it
	PrivateIP string // on which its sidecar listens, behind the proxies
	Server    *http.Server
	Entry     flow.ServerEntry
	process   *exec.Cmd
	done      chan struct{}
}

// Options describe a deployment.
type Options struct {
	Hosts         []*Host // zone, region and service are set
	Configuration *flow.Configuration
	Slots         int
	Handler       func(h *Host) http.Handler // of the backend servers
	Settings      map[string]any             // that differ from the usual ones
	ServerWindow  int                        // bytes that the kernel takes for a server that doesn't read; 0 for its default
}

// Rig is a running deployment.
type Rig struct {
	Options
	Store  *emulator.Store
	Record *Record
	Folder string

	base  int // first port
	block int // second number of the addresses
	mu    sync.Mutex
	side  func(host string) int // side of the partition that a host is on; nil without a partition
	ended chan struct{}         // closed when the partition ends
}

// StoreName is the name of the store among the sides of a partition.
const StoreName = "store"

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

func (r *Rig) address(ip string, port int) string { return ip + ":" + strconv.Itoa(r.base+port) }

// Caller returns the address at which a host's sidecar takes requests of callers.
func (r *Rig) Caller(h *Host) string { return r.address(h.PrivateIP, portCaller) }

// ServerAddress returns the address of a host's backend server.
func (r *Rig) ServerAddress(h *Host) string { return r.address(h.PublicIP, portServer) }

// Start starts a deployment and waits until every sidecar is ready and serves.
func Start(program string, record *Record, options Options) (*Rig, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Options: options, Record: record, Folder: folder}
	var listener net.Listener
	for try := 0; ; try++ {
		r.block, r.base = 20+rand.IntN(200), 20000+rand.IntN(1200)*10
		listener, err = net.Listen("tcp", r.address(fmt.Sprintf("127.%d.1.1", r.block), portStore))
		if err == nil {
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	r.Store = emulator.Start(listener)
	r.Store.PutConfiguration(options.Configuration)
	for i, h := range r.Hosts {
		h.Index = i
		h.PublicIP, h.PrivateIP = fmt.Sprintf("127.%d.2.%d", r.block, 10+i), fmt.Sprintf("127.%d.3.%d", r.block, 10+i)
		if err := r.startHost(h, listener.Addr().String()); err != nil {
			return r, err
		}
	}
	for _, h := range r.Hosts {
		if err := r.StartSidecar(program, h); err != nil {
			return r, err
		}
	}
	return r, r.awaitReady(10 * time.Second)
}

func (r *Rig) startHost(h *Host, store string) error {
	for _, port := range []int{portData, portPeer} {
		if err := r.proxyPeers(h, port); err != nil {
			return err
		}
	}
	if err := r.proxyStore(h, store); err != nil {
		return err
	}
	listener, err := r.listenServer(h)
	if err != nil {
		return err
	}
	h.Server = &http.Server{Handler: r.Handler(h), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = h.Server.Serve(listener) }()
	h.Entry = flow.ServerEntry{
		ID: fmt.Sprintf("i-%d", h.Index), Service: h.Service, Address: r.ServerAddress(h), Zone: h.Zone,
		Slots: r.Slots, StartedUnixMs: time.Now().UnixMilli(),
	}
	r.Store.PutServer(h.Entry)
	return r.writeSettings(h)
}

// listenServer listens at the address of a host's server. Its connections inherit the window.
func (r *Rig) listenServer(h *Host) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if r.ServerWindow == 0 {
			return nil
		}
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.ServerWindow)
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp", r.ServerAddress(h))
}

func (r *Rig) settingsPath(h *Host) string {
	return filepath.Join(r.Folder, fmt.Sprintf("host-%d.hujson", h.Index))
}

// writeSettings writes what deploy/settings.hujson renders to, with the bounds of the sheets.
func (r *Rig) writeSettings(h *Host) error {
	zones := map[string]string{}
	for _, other := range r.Hosts {
		zones[other.Zone] = other.Region
	}
	settings := map[string]any{
		"host": fmt.Sprintf("sidecar-%d", h.Index), "availability-zone": h.Zone, "zones": zones, "service": h.Service,
		"backend-server": r.ServerAddress(h), "caller-address": r.Caller(h), "data-address": r.address(h.PrivateIP, portData),
		"readiness-address": r.address(h.PrivateIP, portReady), "peer-address": r.address(h.PrivateIP, portPeer),
		"operator-address": r.address(h.PrivateIP, portOperator), "store": r.address(h.PrivateIP, portStore),
		"secret": "coltsfootflow/review", "retry-share": 0.2, "retry-slack": 58, "retry-window": "10s", "rate-overage": 0.25,
		"rate-slack": 20, "apply-within": "2s", "first-start": "true", "cut-off-servers": "use", "stop-grace": "6s",
		"memory": "284MiB", "log-level": "debug",
	}
	for name, value := range r.Settings {
		settings[name] = value
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(r.settingsPath(h), content, 0o600)
}

// StartSidecar starts the sidecar of a host with the command of the deploy file.
func (r *Rig) StartSidecar(program string, h *Host) error {
	log, err := os.OpenFile(filepath.Join(r.Folder, fmt.Sprintf("host-%d.log", h.Index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command(program, "sidecar", "--config", r.settingsPath(h))
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	process, done := h.process, make(chan struct{})
	h.done = done
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the sidecar of a host.
func (r *Rig) Signal(h *Host, signal os.Signal) { _ = h.process.Process.Signal(signal) }

// Ended reports whether the sidecar of a host has ended.
func (r *Rig) Ended(h *Host) bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

func (r *Rig) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	client := &http.Client{Timeout: time.Second}
	for _, h := range r.Hosts {
		for {
			response, err := client.Get("http://" + r.address(h.PrivateIP, portReady) + platform.ReadyPath)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("the sidecar of host %d is not ready", h.Index)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all lists are known, and owners hold what they own
	return nil
}

// Stop ends everything that was started.
func (r *Rig) Stop() {
	for _, h := range r.Hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Signal(syscall.SIGCONT)
			_ = h.process.Process.Kill()
			<-h.done
		}
		if h.Server != nil {
			_ = h.Server.Close()
		}
	}
	r.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.Folder)
	}
}

// Main runs a case: its folder is the argument. The case returns whether the rule held.
func Main(run func(ctx context.Context, program string, record *Record) (held bool, err error)) {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	held, err := run(ctx, "target/coltsfootflow", record)
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		os.Exit(NotRun)
	case !held:
		record.Say("RESULT: the rule was broken")
		os.Exit(Broken)
	}
	record.Say("RESULT: the rule held")
	os.Exit(Held)
}

// Names of the platform's headers.
var (
	HeaderID       = platform.HeaderNames.RequestID
	HeaderDeadline = platform.HeaderNames.TimeLeft
	HeaderKey      = platform.HeaderNames.Key
	HeaderTenant   = platform.HeaderNames.Customer
	HeaderExpect   = platform.HeaderNames.ExpectedServer
	HeaderInstance = platform.HeaderNames.ServerID
	HeaderSeal     = platform.HeaderNames.Seal
)

// Accept answers health checks, and requests that are for another server, as the pages say.
// It reports whether the request is to be run.
func Accept(w http.ResponseWriter, request *http.Request, h *Host) bool {
	w.Header().Set(HeaderInstance, h.Entry.ID)
	if strings.HasPrefix(request.URL.Path, "/health") {
		return false
	}
	w.Header().Set(HeaderID, request.Header.Get(HeaderID))
	if expected := request.Header.Get(HeaderExpect); expected != "" && expected != h.Entry.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.Header().Set(HeaderSeal, "seal-of-"+request.Header.Get(HeaderID))
	return true
}

// NewID returns the id of a new attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a caller got.
type Answer struct {
	Status int
	Body   []byte
	Took   time.Duration
	Err    error
}

// Call sends a request to a sidecar and reads the answer.
func Call(ctx context.Context, client *http.Client, method, address, host, path, key string, deadline time.Duration, body io.Reader) (string, Answer) {
	id := NewID()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return id, Answer{Err: err}
	}
	request.Host = host
	request.Header.Set(HeaderID, id)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(HeaderKey, key)
	}
	response, err := client.Do(request)
	if err != nil {
		return id, Answer{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return id, Answer{Status: response.StatusCode, Body: content, Took: time.Since(began), Err: err}
}
