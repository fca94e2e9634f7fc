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

// startWorld starts a small deployment with callers.
func startWorld(t *testing.T, hosts int) *world {
	t.Helper()
	return startQuietWorld(t, hosts, callersPerHost)
}

// startQuietWorld starts a small deployment with so many callers of each host.
func startQuietWorld(t *testing.T, hosts, callersOfEach int) *world {
	t.Helper()
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "coltsfootflow")
	out, err := exec.Command("go", "build", "-race", "-o", program, "../../cmd/coltsfootflow").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w, err := build(ctx, Options{Program: program, Folder: t.TempDir(), Seed: 1, Hosts: hosts})
	is.NoErr(err)
	var callers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		callers.Wait()
		w.close()
		w.links.Wait()
		if t.Failed() {
			for _, log := range w.logs {
				content, _ := os.ReadFile(log.Name())
				t.Logf("%s\n%s", log.Name(), content)
			}
		}
	})
	is.NoErr(w.awaitReady(ctx))
	w.startCallers(ctx, &callers, callersOfEach)
	return w
}

// awaitServing waits until a host's daemon is ready, and returns how long it
// took.
func awaitServing(t *testing.T, w *world, host int, within time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for !isReady(w.hosts[host].private) {
		if time.Since(began) > within {
			t.Fatalf("host %d is not ready %v after its start", host, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// TestStartWhileTheStoreIsAway kills a daemon and starts it again while the
// store does not answer: it learns everything from a daemon that offers it a
// request.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	for name, mode := range map[string]emulator.Mode{"silent": emulator.Silent, "busy": emulator.Busy} {
		t.Run(name, func(t *testing.T) {
			w := startWorld(t, 4)
			w.store.SetMode(mode)
			time.Sleep(300 * time.Millisecond)
			w.hosts[1].daemon.kill()
			is.New(t).NoErr(w.hosts[1].daemon.start())
			t.Logf("ready after %v", awaitServing(t, w, 1, 5*time.Second))
		})
	}
}

// TestOperatorPages reads the status and the metrics of a daemon that serves.
func TestOperatorPages(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 2)
	time.Sleep(time.Second)
	get := func(path string) string {
		response, err := http.Get("http://" + address(w.hosts[0].private, portOperator) + path)
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
	for _, name := range []string{"requests", "request-latency-ms", "route-latency-ms", "admissions", "server-latency-ms"} {
		is.True(strings.Contains(metrics, strings.ReplaceAll(name, "-", "_")) || strings.Contains(metrics, name))
	}
}

// TestReload changes the settings file of a running daemon: without a signal, and
// with one. A broken file changes nothing.
func TestReload(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 2)
	rewrite := func(old, replacement string) {
		content, err := os.ReadFile(w.hosts[0].daemon.config)
		is.NoErr(err)
		changed := strings.Replace(string(content), old, replacement, 1)
		is.True(changed != string(content))
		is.NoErr(os.WriteFile(w.hosts[0].daemon.config, []byte(changed), 0o600))
	}
	awaitCaller := func(service string) {
		for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			runs := w.ledger.all()
			if len(runs) > 0 && slices.ContainsFunc(runs[max(0, len(runs)-20):], func(r run) bool { return r.caller == service }) {
				return
			}
			if time.Since(began) > 5*time.Second {
				t.Fatalf("nothing runs as from %q", service)
			}
		}
	}
	awaitCaller("stock")
	rewrite(`"service": "stock"`, `"service": "shop"`)
	awaitCaller("shop") // the file is looked at
	rewrite(`"service": "shop"`, `"service": "shop", "nonsense": 1`)
	w.hosts[0].daemon.signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	awaitCaller("shop") // it goes on with what it had
	rewrite(`"service": "shop", "nonsense": 1`, `"service": "counter"`)
	w.hosts[0].daemon.signal(syscall.SIGHUP)
	awaitCaller("counter")
}

// TestReloadDuringAStop tells a daemon that stops that its settings have changed: it
// goes on with its stop, and answers what is under way.
func TestReloadDuringAStop(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 2)
	stopping := w.hosts[0].daemon
	stopping.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	stopping.signal(syscall.SIGHUP)
	is.True(stopping.wait(stopGrace))
	is.Equal(stopping.ending(), endedWell)
}

// TestStopLetsWorkEnd has a daemon stop that waits for an answer until half a second
// before the end of its grace time: it is passed on whole.
func TestStopLetsWorkEnd(t *testing.T) {
	is := is.New(t)
	w := startQuietWorld(t, 2, 0)
	w.mu.Lock()
	for i := range w.configuration.Routes {
		w.configuration.Routes[i].Timeout = 2 * hangTime
	}
	w.publish()
	w.mu.Unlock()
	time.Sleep(time.Second) // until it is in force
	w.hosts[1].backend.setMode(hanging)
	stopping := w.hosts[0].daemon
	stopping.signal(syscall.SIGTERM)
	time.Sleep(stopGrace - hangTime - 500*time.Millisecond)
	response := ask(t, w, "late-1", 2*hangTime)
	is.Equal(response.StatusCode, http.StatusOK)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), bodyOf("late-1"))
	is.True(stopping.wait(stopGrace))
	is.Equal(stopping.ending(), endedWell)
}

// ask sends a request that may run once to the daemon of the first host, and returns
// its answer.
func ask(t *testing.T, w *world, id string, timeLeft time.Duration) *http.Response {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address(w.hosts[0].private, portCaller))
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		w.names.RequestID, id, w.names.TimeLeft, timeLeft.Milliseconds(), w.names.Key, w.keysInUse()[1])
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return response
}

// TestLogsWithoutAReader closes the other end of a daemon's output: it serves on.
func TestLogsWithoutAReader(t *testing.T) {
	is := is.New(t)
	w := startQuietWorld(t, 2, 0)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	d := w.hosts[0].daemon
	d.kill()
	d.log = writer
	is.NoErr(d.start())
	awaitServing(t, w, 0, 5*time.Second)
	is.NoErr(writer.Close())
	is.NoErr(reader.Close())
	for i := range 3 { // each of them is logged
		is.Equal(ask(t, w, fmt.Sprint("unread-", i), callerDeadline).StatusCode, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	d.signal(syscall.SIGTERM)
	is.True(d.wait(stopGrace))
	is.Equal(d.ending(), endedWell)
}

// TestExplainFailures plays three kinds of failed request against real processes,
// and looks for their causes with nothing but the daemons' logs.
func TestExplainFailures(t *testing.T) {
	cases := map[string]struct {
		fault  func(w *world)
		status int
		runs   int
		want   []string // parts of the outcome that the logs tell
	}{
		"refused without running": {func(w *world) {
			w.store.PutServer(w.hosts[1].backend.entry(true))
			time.Sleep(time.Second)
		}, http.StatusServiceUnavailable, 0, []string{"no-capacity", "it did not run"}},
		"failed after it ran": {func(w *world) {
			w.hosts[1].backend.setMode(resetting)
		}, http.StatusBadGateway, 1, []string{"server-failed", "it may have run"}},
		"no answer in time": {func(w *world) {
			w.hosts[1].backend.setMode(hanging)
		}, http.StatusGatewayTimeout, 1, []string{"timeout", "it may have run", "in time"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := startQuietWorld(t, 2, 0)
			tc.fault(w)
			response := ask(t, w, "failed-1", callerDeadline)
			is.Equal(response.StatusCode, tc.status)
			is.Equal(len(w.ledger.all()), tc.runs)
			time.Sleep(200 * time.Millisecond) // until the lines are written

			var lines []explainer.Line
			for _, log := range w.logs {
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
