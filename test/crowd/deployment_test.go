// Package crowd tests daemons against crowds of callers that send or leave unread more
// bytes than a host has memory for. The daemons are real sidecar processes on loopback
// addresses, beside the emulator of the store and backend servers of this package. The
// tests check bounds on memory and descriptors, no times. They run alone (.ci/test).
package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// Ports, which are the same on all hosts.
const (
	portCaller = 22000 + iota
	portData
	portPeer
	portOperator
	portReadiness
	portBackend
	portStore
)

const (
	hosts       = 2
	slots       = 12
	apiKey      = "key-crowd"
	startLimit  = 20 * time.Second
	largeAnswer = 900 << 10 // below the size up to which daemons hold whole responses
)

var (
	program string
	names   = platform.HeaderNames
	started atomic.Int64 // deployments of this process
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "coltsfootflow-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "coltsfootflow")
	// Without the race detector, which multiplies the memory of a process.
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/coltsfootflow").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a store, and hosts with a daemon and a backend server each.
type deployment struct {
	daemons [hosts]*exec.Cmd
	ended   [hosts]chan struct{}
	ips     [hosts]string
	number  atomic.Int64 // of the last request
}

// startDeployment starts a deployment whose daemons may use the given memory, and whose
// callers may send bodies up to a limit.
func startDeployment(t *testing.T, memory string, bodyLimit int) *deployment {
	t.Helper()
	is := is.New(t)
	block := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 100+started.Add(1))
	listen := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		return listener
	}
	storeAddress := fmt.Sprintf("%s.1:%d", block, portStore)
	store := emulator.Start(listen(storeAddress))
	t.Cleanup(store.Close)
	store.PutConfiguration(&flow.Configuration{
		Version: 1,
		Routes: []flow.RouteRule{{
			Name: "all", Host: "crowd.example", PathPrefix: "/", Split: []flow.WeightedService{{Service: "scans", Weight: 1}},
			MaxAttempts: 2, Timeout: 15 * time.Second, TargetLatency: 5 * time.Second, Priority: 1,
		}},
		Services:  []flow.ServiceRule{{Name: "scans", HealthPath: "/health"}},
		Customers: []flow.CustomerRule{{Name: "crowd", Priority: -1, Keys: []string{apiKey}}},
		Limits:    flow.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: bodyLimit, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	dep := &deployment{}
	for i := range hosts {
		ip := fmt.Sprintf("%s.%d", block, 10+i)
		dep.ips[i] = ip
		id := fmt.Sprintf("server-%d", i)
		address := fmt.Sprintf("%s:%d", ip, portBackend)
		server := &http.Server{Handler: backend(id), ReadHeaderTimeout: time.Second}
		listener := listen(address)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		store.PutServer(flow.ServerEntry{ID: id, Service: "scans", Address: address, Host: ip, Zone: "zone-a", Slots: slots, StartedUnixMs: time.Now().UnixMilli()})
		settings, err := json.Marshal(map[string]any{
			"host": fmt.Sprintf("host-%d", i), "availability-zone": "zone-a", "service": "scans", "backend-server": address,
			"caller-address":    fmt.Sprintf("%s:%d", ip, portCaller),
			"data-address":      fmt.Sprintf("%s:%d", ip, portData),
			"peer-address":      fmt.Sprintf("%s:%d", ip, portPeer),
			"operator-address":  fmt.Sprintf("%s:%d", ip, portOperator),
			"readiness-address": fmt.Sprintf("%s:%d", ip, portReadiness),
			"store":             storeAddress, "secret": "the secret of a crowd", "memory": memory, "log-level": "debug",
		})
		is.NoErr(err)
		path := filepath.Join(t.TempDir(), "settings.hujson")
		is.NoErr(os.WriteFile(path, settings, 0o600))
		dep.start(t, i, path)
	}
	for i, ip := range dep.ips {
		for began := time.Now(); !isReady(ip); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > startLimit {
				t.Fatalf("host %d is not ready", i)
			}
		}
	}
	time.Sleep(time.Second) // until both daemons know both servers
	return dep
}

// start starts the daemon of a host, and ends it with the test.
func (dep *deployment) start(t *testing.T, i int, settings string) {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.New(t).NoErr(err)
	command := exec.Command(program, "sidecar", "--config", settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	is.New(t).NoErr(command.Start())
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	dep.daemons[i], dep.ended[i] = command, ended
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
		if content, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("host %d, end of its log:\n%s", i, content[max(0, len(content)-6000):])
		}
	})
}

func isReady(ip string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", ip, portReadiness, platform.ReadyPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// backend is a backend server. It reads the whole body, answers with its length, and on
// some paths reads slowly or answers at length.
func backend(id string) http.Handler {
	large := strings.Repeat("0123456789abcde\n", largeAnswer/16)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(names.ExpectedServer) != id {
			w.Header().Set(names.ServerID, id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var body io.Reader = r.Body
		if strings.HasPrefix(r.URL.Path, "/slow/") {
			body = &slowReader{body}
		}
		length, err := io.Copy(io.Discard, body)
		if err != nil {
			return
		}
		answer := strconv.FormatInt(length, 10)
		if strings.HasPrefix(r.URL.Path, "/large/") {
			answer = large
		}
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Seal, "seal of "+id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
	})
}

// slowReader reads about 160 KiB a second.
type slowReader struct{ from io.Reader }

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return s.from.Read(p[:min(len(p), 16<<10)])
}

// head returns the head of a request, with further header lines.
func (dep *deployment) head(method, path, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: crowd.example\r\n%s: id-%d\r\n%s: 15000\r\n%s: %s\r\n%s\r\n",
		method, path, names.RequestID, dep.number.Add(1), names.TimeLeft, names.Key, apiKey, lines)
}

func (dep *deployment) dial() (net.Conn, error) {
	return net.Dial("tcp", net.JoinHostPort(dep.ips[0], strconv.Itoa(portCaller)))
}

// call sends one request to the daemon of the first host, and returns the response's
// status and body.
func (dep *deployment) call(head string, body io.Reader) (int, string, error) {
	conn, err := dep.dial()
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, "", err
	}
	if _, err := io.Copy(conn, body); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// watch follows the memory and the descriptors of all daemons, and returns a function that
// ends this and returns the largest values.
func (dep *deployment) watch() (stop func() (memory, descriptors int)) {
	var watching sync.WaitGroup
	end := make(chan struct{})
	memory, descriptors := 0, 0
	watching.Go(func() {
		for {
			for _, daemon := range dep.daemons {
				memory = max(memory, memoryOf(daemon.Process.Pid))
				entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", daemon.Process.Pid))
				descriptors = max(descriptors, len(entries))
			}
			select {
			case <-time.After(5 * time.Millisecond):
			case <-end:
				return
			}
		}
	})
	return func() (int, int) {
		close(end)
		watching.Wait()
		return memory, descriptors
	}
}

// memoryOf returns the memory of a process in bytes, without its program's file and the
// kernel's buffers, and 0 if it has ended.
func memoryOf(pid int) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib << 10
		}
	}
	return 0
}
