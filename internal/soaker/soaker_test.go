package soaker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/explainer"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// startTestDeployment starts a small deployment with callers.
func startTestDeployment(t *testing.T, hosts int) *deployment {
	t.Helper()
	return startTestDeploymentWithCallers(t, hosts, callersPerHost)
}

// startTestDeploymentWithCallers starts a small deployment with the given number of
// callers for each host.
func startTestDeploymentWithCallers(t *testing.T, hosts, callersPerDaemon int) *deployment {
	t.Helper()
	return startTestDeploymentOf(t, hosts, callersPerDaemon, "-race")
}

// startTestDeploymentOf starts a small deployment of daemons that are built with a flag.
func startTestDeploymentOf(t *testing.T, hosts, callersPerDaemon int, flag string) *deployment {
	t.Helper()
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "coltsfootflow")
	out, err := exec.Command("go", "build", flag, "-o", program, "../../cmd/coltsfootflow").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithCancel(context.Background())
	dep, err := startDeployment(ctx, Options{Program: program, Folder: t.TempDir(), Seed: 1, Hosts: hosts})
	is.NoErr(err)
	var callers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		callers.Wait()
		dep.close()
		dep.links.Wait()
		if t.Failed() {
			for _, log := range dep.logs {
				content, _ := os.ReadFile(log.Name())
				t.Logf("%s\n%s", log.Name(), content)
			}
		}
	})
	is.NoErr(dep.awaitReady(ctx))
	dep.startCallers(ctx, &callers, callersPerDaemon)
	return dep
}

// awaitReadyHost waits until a host's daemon is ready, and returns how long that took.
func awaitReadyHost(t *testing.T, dep *deployment, host int, within time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for !isReady(dep.hosts[host].privateIP) {
		if time.Since(began) > within {
			t.Fatalf("host %d is not ready %v after its start", host, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// A daemon that is killed and restarted while the store does not answer becomes ready: it
// gets the configuration from a daemon that offers it a request.
func TestDaemonStartsWhileStoreIsUnavailable(t *testing.T) {
	for name, mode := range map[string]emulator.Mode{"silent": emulator.Silent, "busy": emulator.Busy} {
		t.Run(name, func(t *testing.T) {
			dep := startTestDeployment(t, 4)
			dep.store.SetMode(mode)
			time.Sleep(300 * time.Millisecond)
			dep.hosts[1].daemon.kill()
			is.New(t).NoErr(dep.hosts[1].daemon.start())
			t.Logf("ready after %v", awaitReadyHost(t, dep, 1, 5*time.Second))
		})
	}
}

// A serving daemon shows its status and its metrics to operators.
func TestOperatorPagesOfServingDaemon(t *testing.T) {
	is := is.New(t)
	dep := startTestDeployment(t, 2)
	time.Sleep(time.Second)
	get := func(path string) string {
		response, err := http.Get("http://" + address(dep.hosts[0].privateIP, portOperator) + path)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		is.Equal(response.StatusCode, http.StatusOK)
		content, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return string(content)
	}
	var status struct {
		Version uint64 `json:"version"`
		AgeMs   int64  `json:"age-ms"`
		Hosts   int    `json:"hosts"`
	}
	is.NoErr(json.Unmarshal([]byte(get("/status")), &status))
	is.Equal(status.Version, uint64(2))
	is.Equal(status.Hosts, 2)
	is.True(status.AgeMs < 5000)
	metrics := get("/metrics")
	for _, name := range []string{"requests", "request-latency-ms", "route-latency-ms", "admissions", "server-latency-ms", "search-offers", "search-time-ms"} {
		is.True(strings.Contains(metrics, strings.ReplaceAll(name, "-", "_")) || strings.Contains(metrics, name))
	}
}

// A running daemon applies a changed settings file, with and without a signal. An invalid
// file changes nothing.
func TestSettingsFileReload(t *testing.T) {
	is := is.New(t)
	dep := startTestDeployment(t, 2)
	rewrite := func(old, replacement string) {
		content, err := os.ReadFile(dep.hosts[0].daemon.config)
		is.NoErr(err)
		changed := strings.Replace(string(content), old, replacement, 1)
		is.True(changed != string(content))
		is.NoErr(os.WriteFile(dep.hosts[0].daemon.config, []byte(changed), 0o600))
	}
	awaitCaller := func(service string) {
		for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			runs := dep.runs.all()
			if len(runs) > 0 && slices.ContainsFunc(runs[max(0, len(runs)-20):], func(r run) bool { return r.caller == service }) {
				return
			}
			if time.Since(began) > 5*time.Second {
				t.Fatalf("no request runs with caller service %q", service)
			}
		}
	}
	awaitCaller("stock")
	rewrite(`"service": "stock"`, `"service": "shop"`)
	awaitCaller("shop") // the daemon polls the file
	rewrite(`"service": "shop"`, `"service": "shop", "nonsense": 1`)
	dep.hosts[0].daemon.signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	awaitCaller("shop") // it keeps its settings
	rewrite(`"service": "shop", "nonsense": 1`, `"service": "counter"`)
	dep.hosts[0].daemon.signal(syscall.SIGHUP)
	awaitCaller("counter")
}

// A daemon that gets a reload signal during its planned stop goes on with the stop, and
// exits cleanly.
func TestReloadSignalDuringStop(t *testing.T) {
	is := is.New(t)
	dep := startTestDeployment(t, 2)
	stopping := dep.hosts[0].daemon
	stopping.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	stopping.signal(syscall.SIGHUP)
	is.True(stopping.wait(stopGrace))
	is.Equal(stopping.exitStatus(), cleanExit)
}

// A daemon that stops still forwards the complete response that it gets half a second
// before the end of its grace period.
func TestStopWaitsForRunningRequest(t *testing.T) {
	is := is.New(t)
	dep := startTestDeploymentWithCallers(t, 2, 0)
	hangBookings(dep)
	stopping := dep.hosts[0].daemon
	stopping.signal(syscall.SIGTERM)
	time.Sleep(stopGrace - hangTime - 500*time.Millisecond)
	response := sendBooking(t, dep, "late-1", 2*hangTime)
	is.Equal(response.StatusCode, http.StatusOK)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), responseBody("late-1"))
	is.True(stopping.wait(stopGrace))
	is.Equal(stopping.exitStatus(), cleanExit)
}

// hangBookings makes the server of the bookings respond only after hangTime, and all routes
// wait for that long.
func hangBookings(dep *deployment) {
	dep.mu.Lock()
	for i := range dep.configuration.Routes {
		dep.configuration.Routes[i].Timeout = 2 * hangTime
	}
	dep.publish()
	dep.mu.Unlock()
	time.Sleep(time.Second) // until the daemons apply the configuration
	dep.hosts[1].backend.setMode(modeHang)
}

// A daemon that stops passes on no request that comes late in its grace period, since it
// would be cut at the end: neither one behind a request that still runs, nor one whose head
// or body comes in pieces.
func TestStopPassesOnNoLateRequest(t *testing.T) {
	is := is.New(t)
	dep := startTestDeploymentWithCallers(t, 2, 0)
	hangBookings(dep)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address(dep.hosts[0].privateIP, portCaller))
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dep.hosts[0].backend.setMode(modeHang)
	head := func(request, id string) string {
		return fmt.Sprintf("%s HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: 9000\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			request, dep.names.RequestID, id, dep.names.TimeLeft, dep.names.Key, dep.keysInUse()[1])
	}
	kept := dial()
	pieces := map[string]net.Conn{}
	late := map[string]string{
		"head":           head("POST /book/x", "head"),
		"body":           strings.Replace(head("POST /book/x", "body"), "Length: 0\r\n\r\n", "Length: 4\r\n\r\nlate", 1),
		"body in chunks": strings.Replace(head("POST /book/x", "chunks"), "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n", 1),
	}
	cutAt := func(name string) int {
		if name == "head" {
			return 30
		}
		return len(late[name]) - 2
	}
	for name := range late {
		pieces[name] = dial()
	}
	_, err := io.WriteString(kept, head("GET /read/x", "early"))
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	stopping := dep.hosts[0].daemon
	began := time.Now()
	stopping.signal(syscall.SIGTERM)
	at := func(elapsed time.Duration) { time.Sleep(time.Until(began.Add(elapsed))) }

	at(2 * time.Second)
	for name, conn := range pieces {
		_, err = io.WriteString(conn, late[name][:cutAt(name)])
		is.NoErr(err)
	}
	at(3200 * time.Millisecond)
	_, err = io.WriteString(kept, head("POST /book/x", "behind"))
	is.NoErr(err)
	for name, conn := range pieces {
		_, err = io.WriteString(conn, late[name][cutAt(name):])
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Close)
	}
	is.True(time.Since(began) < 3700*time.Millisecond) // at once

	reader := bufio.NewReader(kept)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(response.Close)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	is.True(stopping.wait(stopGrace))
	for _, r := range dep.runs.all() {
		is.Equal(r.id, "early")
	}
}

// sendBooking sends a request that may run only once to the daemon of the first host, and
// returns the response.
func sendBooking(t *testing.T, dep *deployment, id string, timeLeft time.Duration) *http.Response {
	t.Helper()
	return sendBookingTo(t, dep, 0, id, timeLeft)
}

// sendBookingTo sends such a request to the daemon of a host.
func sendBookingTo(t *testing.T, dep *deployment, host int, id string, timeLeft time.Duration) *http.Response {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address(dep.hosts[host].privateIP, portCaller))
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		dep.names.RequestID, id, dep.names.TimeLeft, timeLeft.Milliseconds(), dep.names.Key, dep.keysInUse()[1])
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return response
}

// A daemon goes on serving after the reader of its log output has closed the pipe.
func TestDaemonServesWithoutLogReader(t *testing.T) {
	is := is.New(t)
	dep := startTestDeploymentWithCallers(t, 2, 0)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	d := dep.hosts[0].daemon
	d.kill()
	d.log = writer
	is.NoErr(d.start())
	awaitReadyHost(t, dep, 0, 5*time.Second)
	is.NoErr(writer.Close())
	is.NoErr(reader.Close())
	for i := range 3 { // each request writes log lines
		is.Equal(sendBooking(t, dep, fmt.Sprint("unread-", i), callerDeadline).StatusCode, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	d.signal(syscall.SIGTERM)
	is.True(d.wait(stopGrace))
	is.Equal(d.exitStatus(), cleanExit)
}

// The daemons' logs alone explain the cause of three kinds of failed requests.
func TestLogsExplainFailedRequests(t *testing.T) {
	cases := map[string]struct {
		fault  func(dep *deployment)
		status int
		runs   int
		want   []string // parts of the outcome that the logs explain
	}{
		"refused without running": {func(dep *deployment) {
			dep.store.PutServer(dep.hosts[1].backend.serverEntry(true))
			time.Sleep(time.Second)
		}, http.StatusServiceUnavailable, 0, []string{"no-capacity", "it did not run"}},
		"failed after it ran": {func(dep *deployment) {
			dep.hosts[1].backend.setMode(modeReset)
		}, http.StatusBadGateway, 1, []string{"server-failed", "it may have run"}},
		"no answer in time": {func(dep *deployment) {
			dep.hosts[1].backend.setMode(modeHang)
		}, http.StatusGatewayTimeout, 1, []string{"timeout", "it may have run", "in time"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dep := startTestDeploymentWithCallers(t, 2, 0)
			tc.fault(dep)
			response := sendBooking(t, dep, "failed-1", callerDeadline)
			is.Equal(response.StatusCode, tc.status)
			is.Equal(len(dep.runs.all()), tc.runs)
			time.Sleep(200 * time.Millisecond) // until the log lines are written

			var lines []explainer.Line
			for _, log := range dep.logs {
				file, err := os.Open(log.Name())
				is.NoErr(err)
				found, err := explainer.Read(file, "failed-1")
				is.NoErr(err)
				_ = file.Close()
				lines = append(lines, found...)
			}
			outcome := explainer.Outcome("failed-1", lines)
			t.Log(outcome)
			for _, part := range tc.want {
				is.True(strings.Contains(outcome, part))
			}
		})
	}
}
