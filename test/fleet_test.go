// Package test tests whole fleets: real coltsfootflow processes on loopback,
// with stand-ins for the platform, backend servers, callers and the network.
package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
)

// startTimeout bounds the time until every daemon of a new fleet serves.
const startTimeout = 40 * time.Second

// program is the path of the coltsfootflow binary under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "coltsfootflow-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "coltsfootflow")
	build := exec.Command("go", "build", "-race", "-o", program, "../cmd/coltsfootflow")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// hostsPerCore limits the hosts that run at once. Five fleets of five hosts kept
// six cores busy throughout, and requests timed out for lack of CPU time.
const hostsPerCore = 3.0

var (
	// hostSlots holds one element for each running host of all fleets.
	hostSlots = make(chan struct{}, int(hostsPerCore*float64(runtime.NumCPU())))
	// acquiring is held while a fleet waits for slots, so that two fleets cannot
	// deadlock with part of their slots each.
	acquiring sync.Mutex
)

// acquireHosts waits for the slots of so many hosts, at most all slots there are,
// and releases them when the test ends.
func acquireHosts(t *testing.T, count int) {
	t.Helper()
	count = min(count, cap(hostSlots))
	acquiring.Lock()
	defer acquiring.Unlock()
	for range count {
		hostSlots <- struct{}{}
	}
	t.Cleanup(func() {
		for range count {
			<-hostSlots
		}
	})
}

// startFleet starts a fleet and waits until every daemon serves every customer.
// A failing test prints the daemons' logs.
func startFleet(t *testing.T, plan launcher.Plan, interrupt bool) *launcher.Fleet {
	t.Helper()
	fleet := launchFleet(t, plan, interrupt)
	awaitFleet(t, fleet)
	return fleet
}

// launchFleet starts a fleet without waiting for its daemons to serve. It first
// waits for free host slots.
func launchFleet(t *testing.T, plan launcher.Plan, interrupt bool) *launcher.Fleet {
	t.Helper()
	acquireHosts(t, plan.Hosts)
	watchStalls(t)
	var logs bytes.Buffer
	fleet, err := launcher.Start(t.Context(), launcher.Options{
		Program:   program,
		Plan:      plan,
		Interrupt: interrupt,
		Log:       &logs,
		Seed:      1,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, logs.String())
	}
	t.Cleanup(func() {
		fleet.Close()
		if t.Failed() {
			t.Logf("logs of the daemons:\n%s", endOfLog(logs.Bytes()))
		}
	})
	return fleet
}

// awaitFleet waits until every daemon of a fleet serves every customer.
func awaitFleet(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := fleet.AwaitActing(ctx); err != nil {
		t.Fatal(err)
	}
	for _, customer := range fleet.Plan.Customers {
		for _, service := range fleet.Plan.Services {
			for _, ingress := range fleet.Ingresses() {
				awaitServed(ctx, t, ingress, "/"+service.Name+"/warm-up", launcher.KeyOf(customer.Name))
			}
		}
	}
}

// endOfLog returns the last part of a log.
func endOfLog(log []byte) []byte {
	const maxBytes = 20_000
	return log[max(0, len(log)-maxBytes):]
}

// awaitServed repeats a read until its status is 200.
func awaitServed(ctx context.Context, t *testing.T, ingress, path, key string) {
	t.Helper()
	for {
		reply := send(t, http.MethodGet, ingress, path, key)
		if reply.status == http.StatusOK {
			return
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("%s%s was not served: %+v", ingress, path, reply)
		}
	}
}

// reply is the outcome of a request at its caller.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// client opens a new connection for each request, so that tests do not depend on
// connections of earlier requests.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   15 * time.Second,
}

// send sends one request.
func send(t *testing.T, method, ingress, path, key string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+ingress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body, err: err}
}
