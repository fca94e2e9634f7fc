// Small fleets of real processes: what a daemon uses when nobody calls, what a
// request costs at the ingress and at admission, how long a change takes, and
// what a daemon with a whole configuration uses.

package measurer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// folder holds the program under measurement.
var folder string

func TestMain(m *testing.M) {
	os.Exit(runBenchmarks(m))
}

func runBenchmarks(m *testing.M) int {
	var err error
	if folder, err = os.MkdirTemp("", "coltsfootflow-measure-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	return m.Run()
}

// program builds the program under measurement once and returns its path.
var program = sync.OnceValues(func() (string, error) {
	path := filepath.Join(folder, "coltsfootflow")
	out, err := exec.Command("go", "build", "-o", path, "github.com/coltsfootflow/coltsfootflow/cmd/coltsfootflow").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

// startTimeout bounds the start of a fleet.
const startTimeout = 60 * time.Second

// startFleet starts a fleet that ends with the benchmark.
func startFleet(b *testing.B, plan launcher.Plan) *launcher.Fleet {
	b.Helper()
	path, err := program()
	if err != nil {
		b.Fatal(err)
	}
	fleet, err := launcher.Start(context.Background(), launcher.Options{Program: path, Plan: plan, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Close)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := fleet.AwaitActing(ctx); err != nil {
		b.Fatal(err)
	}
	return fleet
}

func usageOf(b *testing.B, d *launcher.Daemon) launcher.Usage {
	b.Helper()
	usage, err := d.Usage()
	if err != nil {
		b.Fatal(err)
	}
	return usage
}

// BenchmarkIdleFleet reports what a daemon uses while nobody calls, by the hosts,
// the peers asked in a round, and the backend servers on each host.
func BenchmarkIdleFleet(b *testing.B) {
	const watched = 15 * time.Second
	cases := []struct{ hosts, fanout, services int }{{9, 3, 1}, {27, 3, 1}, {54, 3, 1}, {27, 1, 1}, {27, 8, 1}, {9, 3, 8}}
	for _, tc := range cases {
		b.Run(fmt.Sprintf("hosts=%d,fanout=%d,services=%d", tc.hosts, tc.fanout, tc.services), func(b *testing.B) {
			hosts := tc.hosts
			plan := launcher.SmallPlan(hosts)
			plan.Settings = map[string]any{"heartbeat-fanout": tc.fanout}
			for i := 1; i < tc.services; i++ { // each has a backend server on each host
				service := plan.Services[0]
				service.Name = fmt.Sprintf("service-%d", i)
				plan.Services = append(plan.Services, service)
			}
			for b.Loop() {
				fleet := startFleet(b, plan)
				time.Sleep(8 * time.Second) // until the start is over
				before := make([]time.Duration, hosts)
				for i, d := range fleet.Daemons {
					before[i] = usageOf(b, d).CPU
				}
				time.Sleep(watched)
				var used, resident []float64
				for i, d := range fleet.Daemons {
					usage := usageOf(b, d)
					used = append(used, (usage.CPU-before[i]).Seconds()/watched.Seconds()*100)
					resident = append(resident, float64(usage.ResidentBytes)/1e6)
				}
				fleet.Close()
				b.ReportMetric(middle(used), "percent-of-a-core")
				b.ReportMetric(slices.Max(used), "percent-worst")
				b.ReportMetric(middle(resident), "resident-MB")
			}
		})
	}
}

// BenchmarkRequest reports the processor time of a request at its ingress, on a
// host without backend servers, and at admission, on the host of the only one;
// and the latency through both beside that of the backend server alone.
func BenchmarkRequest(b *testing.B) {
	const lasts = 10 * time.Second
	for _, rate := range []float64{100, 200, 400} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			for b.Loop() {
				plan := launcher.SmallPlan(3)
				plan.Services[0].Servers = 1
				plan.Services[0].Server = server.Options{Slots: 64, ServiceTime: 5 * time.Millisecond, ConnectionCost: -1}
				fleet := startFleet(b, plan)
				admission, ingress := fleet.Daemons[0], fleet.Daemons[1]
				load(b, ingress.Addresses.Caller, rate, 8*time.Second) // until rates are granted and the limit has grown
				idle := idleUsage(b, admission, ingress)
				before := []launcher.Usage{usageOf(b, admission), usageOf(b, ingress)}
				through := load(b, ingress.Addresses.Caller, rate, lasts)
				after := []launcher.Usage{usageOf(b, admission), usageOf(b, ingress)}
				direct := load(b, fleet.Servers[0].Addr(), rate, lasts)
				fleet.Close()
				if through.Total.Results[caller.Answered] < through.Total.Sent {
					b.Logf("of %d requests not all were answered: %v, reasons %v", through.Total.Sent, through.Total.Results, through.Total.Reasons)
				}
				requests := float64(through.Total.Sent)
				cost := func(i int) float64 {
					return float64((after[i].CPU - before[i].CPU - idle[i]*time.Duration(lasts/time.Second)).Microseconds()) / requests
				}
				b.ReportMetric(cost(1), "us-ingress/request")
				b.ReportMetric(cost(0), "us-admission/request")
				b.ReportMetric(through.Total.Latency.P50Millis-direct.Total.Latency.P50Millis, "ms-added-p50")
				b.ReportMetric(through.Total.Latency.P99Millis-direct.Total.Latency.P99Millis, "ms-added-p99")
				b.ReportMetric(through.Total.Latency.P99Millis, "ms-p99")
				b.ReportMetric(float64(through.Total.Results[caller.Answered]), "answered")
				b.ReportMetric(requests, "sent")
			}
		})
	}
}

// idleUsage returns the processor time a second of daemons without traffic.
func idleUsage(b *testing.B, daemons ...*launcher.Daemon) []time.Duration {
	b.Helper()
	const watched = 5
	var idle []time.Duration
	for _, d := range daemons {
		idle = append(idle, -usageOf(b, d).CPU)
	}
	time.Sleep(watched * time.Second)
	for i, d := range daemons {
		idle[i] = (idle[i] + usageOf(b, d).CPU) / watched
	}
	return idle
}

func load(b *testing.B, address string, rate float64, lasts time.Duration) caller.Summary {
	b.Helper()
	callers, err := caller.New(caller.Options{
		Ingresses: []string{address},
		Duration:  lasts,
		Seed:      1,
		Customers: []caller.Customer{{
			Name: "shop", Key: launcher.KeyOf("shop"), Schedule: caller.Schedule{Rate: rate},
			ReadPath: "/ledger/wheels", WritePath: "/ledger/swaps", Writes: 0.2,
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	summary, err := callers.Run(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	return summary
}

// BenchmarkInForce reports the time from publishing a change until every daemon
// of a real fleet says that it applies it, and until every one says that it is
// settled. Asking all of them is part of it.
func BenchmarkInForce(b *testing.B) {
	const changes = 15
	for _, hosts := range []int{9, 27, 54} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				fleet := startFleet(b, launcher.SmallPlan(hosts))
				var applied, settled []float64
				for i := range changes {
					record := launcher.Record(flow.KindCustomer, fmt.Sprintf("new-%d", i), 1, nil)
					published := time.Now()
					revision := fleet.Platform.Publish(record)
					awaitAll(b, fleet, func(a, _ flow.Revision) bool { return a >= revision })
					applied = append(applied, float64(time.Since(published).Milliseconds()))
					awaitAll(b, fleet, func(_, s flow.Revision) bool { return s >= revision })
					settled = append(settled, float64(time.Since(published).Milliseconds()))
				}
				fleet.Close()
				b.ReportMetric(middle(applied), "ms-applied")
				b.ReportMetric(slices.Max(applied), "ms-applied-worst")
				b.ReportMetric(middle(settled), "ms-settled")
				b.ReportMetric(slices.Max(settled), "ms-settled-worst")
			}
		})
	}
}

// awaitAll asks all daemons until each has reached what is wanted.
func awaitAll(b *testing.B, fleet *launcher.Fleet, reached func(applied, settled flow.Revision) bool) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, d := range fleet.Daemons {
		for {
			status, err := d.Status(ctx)
			if err == nil && reached(status.Revision.Applied, status.Revision.Settled) {
				break
			}
			if ctx.Err() != nil {
				b.Fatal(err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// platform serves a fixed configuration page by page.
type platform struct {
	records chan []flow.RawRecord // holds the configuration once it is known
}

// pageBytes bounds the bodies of a page.
const pageBytes = 700 << 10 // about a megabyte of JSON

// ServeHTTP answers reads and watches; a watch without news ends at once.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	records := <-p.records
	p.records <- records
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after >= len(records) {
		time.Sleep(time.Second)
		after = len(records)
	}
	end, size := after, 0
	for end < len(records) && size < pageBytes {
		size += len(records[end].Body) + 100
		end++
	}
	page := reader.Page{Revision: flow.Revision(end), Records: records[after:end], More: end < len(records)}
	_ = json.NewEncoder(w).Encode(page)
}

// wholeFleet starts the daemons of a plan, has them read a configuration from a
// platform that is given to them in place of the launcher's, and waits until
// all apply it.
func wholeFleet(b *testing.B, plan launcher.Plan, records []flow.RawRecord) (fleet *launcher.Fleet, revision flow.Revision) {
	b.Helper()
	path, err := program()
	if err != nil {
		b.Fatal(err)
	}
	p := &platform{records: make(chan []flow.RawRecord, 1)}
	serving := httptest.NewServer(p)
	b.Cleanup(serving.CloseClientConnections)
	plan.Settings["platform"] = []string{serving.URL}
	fleet, err = launcher.Start(context.Background(), launcher.Options{Program: path, Plan: plan})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Close)
	for _, d := range fleet.Daemons {
		for _, own := range []flow.RawRecord{plan.ZoneRecord(d.Zone, flow.ZoneIn), fleet.HostRecord(d, flow.MemberLive)} {
			own.Revision = flow.Revision(len(records) + 1)
			records = append(records, own)
		}
	}
	p.records <- records
	return fleet, flow.Revision(len(records))
}

// awaitRevision waits until a daemon applies a revision, and acts if asked for,
// and returns the most memory that it was seen to use.
func awaitRevision(b *testing.B, d *launcher.Daemon, revision flow.Revision, acting bool) (most int64) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		status, err := d.Status(ctx)
		if err == nil && status.Revision.Applied >= revision && (status.Lease.Acting || !acting) {
			return most
		}
		if ctx.Err() != nil {
			b.Fatalf("%s has applied %d of %d: %v", d.Host, status.Revision.Applied, revision, err)
		}
		most = max(most, usageOf(b, d).ResidentBytes)
		time.Sleep(20 * time.Millisecond)
	}
}

// BenchmarkWholeDaemon reports what one daemon uses that reads a whole
// configuration from the platform: the time until it applies it, the processor
// time until then, and its memory at its most and 15 s later.
func BenchmarkWholeDaemon(b *testing.B) {
	for name, part := range parts {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				plan := launcher.SmallPlan(1)
				plan.Settings = map[string]any{}
				began := time.Now()
				fleet, revision := wholeFleet(b, plan, targetSizes.part(part).records())
				d := fleet.Daemons[0]
				most := awaitRevision(b, d, revision, false)
				took, used := time.Since(began), usageOf(b, d).CPU
				time.Sleep(15 * time.Second)
				usage := usageOf(b, d)
				fleet.Close()
				b.ReportMetric(float64(revision), "records")
				b.ReportMetric(took.Seconds(), "s-applied")
				b.ReportMetric(used.Seconds(), "cpu-s")
				b.ReportMetric(float64(max(most, usage.ResidentBytes))/1e6, "resident-MB-most")
				b.ReportMetric(float64(usage.ResidentBytes)/1e6, "resident-MB")
			}
		})
	}
}

// BenchmarkWholeRestart reports the time that a daemon takes after its restart
// to fetch a whole configuration from a peer and to act, and the processor time
// that this costs both.
func BenchmarkWholeRestart(b *testing.B) {
	for name, part := range parts {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				seeds := []string{"127.0.0.1:1"} // changed below, before the restart
				plan := launcher.SmallPlan(3)
				plan.Settings = map[string]any{"seeds": seeds}
				fleet, revision := wholeFleet(b, plan, targetSizes.part(part).records())
				for _, d := range fleet.Daemons {
					awaitRevision(b, d, revision, true)
				}
				peer, restarted := fleet.Daemons[0], fleet.Daemons[2]
				seeds[0] = fleet.PeerAddress(peer)
				time.Sleep(3 * time.Second)
				restarted.Kill()
				before, began := usageOf(b, peer).CPU, time.Now()
				if err := restarted.Start(context.Background()); err != nil {
					b.Fatal(err)
				}
				awaitRevision(b, restarted, revision, false)
				applied := time.Since(began)
				awaitRevision(b, restarted, revision, true)
				acting := time.Since(began)
				b.ReportMetric(applied.Seconds(), "s-applied")
				b.ReportMetric(acting.Seconds(), "s-acting")
				b.ReportMetric(usageOf(b, restarted).CPU.Seconds(), "cpu-s")
				b.ReportMetric((usageOf(b, peer).CPU - before).Seconds(), "cpu-s-peer")
				fleet.Close()
			}
		})
	}
}
