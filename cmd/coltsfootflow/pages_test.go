package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/runner"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// comparePage compares a page with its content as generated from the code.
func comparePage(t *testing.T, name, want string) {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(pagesFolder, name)
	if *update {
		is.NoErr(os.WriteFile(path, []byte(want), 0o644))
	}
	written, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(written), want) // run: go test ./cmd/coltsfootflow -run Page -update
}

const refusalsHead = `# Refusals

You see: an answer with the header ` + "`Coltsfootflow-Reason`" + `. It was made by
coltsfootflow and not by a backend server. The header ` + "`Coltsfootflow-Outcome`" + `
says what is certain:

- ` + "`not-run`" + `: no backend server ran the request. It may be repeated, whatever it
  does.
- ` + "`unknown`" + `: it may have run. Repeat it only if it is idempotent, or with the same
  idempotency key; otherwise look up the state first.

The body is a problem document (RFC 9457) with the same reason, an advice and the
request id, by which the daemons' logs at level debug tell more. An answer without
the header is a backend server's own, whatever its status. A connection that
breaks without an answer, or in the midst of one, tells nothing: treat it as
` + "`unknown`" + `.

To find who is refused and why, look at the metric ` + "`requests`" + ` by customer and
outcome ([observing.md](observing.md)).

| Reason | Status | Outcome | What it says | What to do |
|---|---|---|---|---|
`

const refusalsTail = `
Refusals with status 503 carry ` + "`Retry-After`" + `, in seconds, and so does
` + "`over-rate`" + `. The reasons that concern forwarded requests only, such as
` + "`permit-late`" + ` or ` + "`leaving`" + `, reach a caller when no other attempt could be made:
the route's attempts, the service's retry budget or the time were used up.
`

// TestRefusalsPage compares the page of refusals with the table of reasons.
func TestRefusalsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(refusalsHead)
	for _, row := range flow.ReasonRows() {
		fmt.Fprintf(&page, "| `%s` | %d | `%s` | %s | %s |\n", row.Reason, row.Status, row.Outcome, row.Title, row.Advice)
	}
	page.WriteString(refusalsTail)
	comparePage(t, "refusals.md", page.String())
}

// TestMetricsPage compares the page of metrics with the table of metrics.
func TestMetricsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(metricsHead)
	for _, row := range slices.Concat(reporter.MetricRows(), reporter.SidecarMetricRows()) {
		labels := row.Labels
		if labels == "" {
			labels = "none"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", row.Name, labels, row.Meaning)
	}
	comparePage(t, "metrics.md", page.String())
}

const metricsHead = `# Metrics

Every daemon serves its metrics at its operator address: ` + "`/metrics`" + ` as text in the
format that Prometheus reads, ` + "`/metrics.json`" + ` as JSON. Counters count from the
start of the process. A histogram keeps 256 values, of which recent ones weigh
most, about the last minutes; its quantiles are 0.5, 0.9 and 0.99. A metric
appears with its first value.

| Metric | Labels | Meaning |
|---|---|---|
`

// TestMetricsAreOnThePage starts a daemon with one backend server, sends it a
// request and a call of another daemon, and compares the metrics that it serves with
// the table that the page is written from.
func TestMetricsAreOnThePage(t *testing.T) {
	is := is.New(t)
	operator := startServingDaemon(t)
	page := get(t, "http://"+operator+reporter.PathMetrics)
	var served []string
	for line := range strings.Lines(page) {
		served = append(served, metricWithLabels(line))
	}
	slices.Sort(served)
	var want []string
	for _, row := range reporter.MetricRows() {
		want = append(want, row.Name+"{"+row.Labels+"}")
	}
	slices.Sort(want)
	is.Equal(slices.Compact(served), want)
}

var labelName = regexp.MustCompile(`([a-z_]+)="`)

// metricWithLabels returns the name of a line's metric with the names of its labels.
func metricWithLabels(line string) string {
	name, _, _ := strings.Cut(strings.Fields(line)[0], "{")
	var labels []string
	for _, match := range labelName.FindAllStringSubmatch(line, -1) {
		labels = append(labels, match[1])
	}
	return name + "{" + strings.Join(labels, ", ") + "}"
}

// secret is the fleet's shared secret of the daemon under test.
const secret = "a secret for loopback only"

// startServingDaemon runs the only daemon of a region until the test ends. It returns
// the operator address once the daemon has served a request and refused a call.
func startServingDaemon(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	platform, err := publisher.New(t.Context(), publisher.Options{})
	is.NoErr(err)
	backend, err := server.New(t.Context(), server.Options{Name: "stock-1", ServiceTime: -1, ConnectionCost: -1})
	is.NoErr(err)
	peer, data := freeAddress(t), freeAddress(t)
	settings, faults := parser.ParseSettings("settings", fmt.Appendf(nil, `{
		"host": "host-1", "region": "north", "availability-zone": "north-a",
		"caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0",
		"data-address": %q, "peer-address": %q,
		"platform": ["http://%s"], "platform-calls-per-second": 2000, "secret": %q,
	}`, data, peer, platform.Addr(), secret))
	is.Equal(faults, nil)
	daemon, err := runner.New(settings, logr.Discard())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	t.Cleanup(func() { cancel(); is.NoErr(<-done) })
	platform.Publish(
		launcher.Record(flow.KindAvailabilityZone, "north-a", 1, map[string]any{"region": "north"}),
		launcher.Record(flow.KindHost, "host-1", 1, map[string]any{"availability-zone": "north-a", "peer-address": peer, "data-address": data}),
		launcher.Record(flow.KindService, "stock", 1, nil),
		launcher.Record(flow.KindRoute, "stock", 1, map[string]any{"service": "stock", "path-prefix": "/stock", "open": true, "idempotent": true}),
		launcher.ServerRecord("stock-1", "stock", "host-1", backend.Addr(), server.Options{Slots: 4}, flow.MemberLive),
	)
	awaitOK(t, "http://"+daemon.Addresses().Caller+"/stock/1")
	calls := dialer.New(framer.Options{Self: framer.Identity{Host: "test"}, Secret: []byte(secret), MaxPayloadBytes: 1 << 20}, nil)
	t.Cleanup(calls.Close)
	is.True(calls.Call(t.Context(), peer, messenger.CallDraw, struct{}{}, &struct{}{}) != nil)
	return daemon.Addresses().Operator
}

// freeAddress returns a loopback address that was just released; another process may
// take it before it is used.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// awaitOK repeats a request until its response has status 200.
func awaitOK(t *testing.T, url string) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s did not respond with 200: %v, %v", url, response, err)
		}
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(bytes.TrimSpace(content))
}
