// Services: reports to the owner of a service, choosing a backend server, and
// the memory of what is kept for each backend server and for the metrics.

package measurer_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/chooser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func rankingOf(hosts int) *placer.Ranking { return placer.NewRanking(listOf(hosts)) }

func serverName(i int) string { return fmt.Sprintf("server-%05d", i) }

// BenchmarkReport measures one window of one backend server: taking it from the
// gate, the call to the owner of the service, both ends, and the judgement.
func BenchmarkReport(b *testing.B) {
	for _, servers := range []int{4, 13, 52} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			judge, err := ejector.New(ejector.NameRobust, ejector.Options{Since: -100_000})
			if err != nil {
				b.Fatal(err)
			}
			names := make([]string, servers)
			for i := range names {
				names[i] = serverName(i)
			}
			judge.SetServers(0, names, 0.7)
			judging := startControl(b)
			now := flow.Time(0)
			address := serveCall(b, messenger.CallReport, func(_ context.Context, request any) (any, error) {
				var asked controller.ReportRequest
				if err := request.(listener.Request).Decode(&asked); err != nil {
					return nil, err
				}
				var answer controller.ReportAnswer
				judging.do(func() { answer.Ejections = judge.Report(now, asked.Host, asked.Reports) })
				return &answer, nil
			})
			d := newCaller(b)
			gate := admitter.New(admitter.Options{Limiter: fixedLimit{}})
			turn := 0
			request := controller.ReportRequest{}
			call := func() {
				turn++
				now = flow.Time(turn * 500 / servers)
				id := uint64(turn)
				gate.Arrive(now, admitter.Entry{ID: id, NotAfter: now + 1000})
				gate.Finish(now, id, flow.VerdictGood, 20*time.Millisecond)
				report := gate.Report(now)
				report.Server, report.Count = names[turn%servers], 11
				request = controller.ReportRequest{Service: "service-001", Host: hostName(0), Reports: []flow.ServerReport{report}}
				var answer controller.ReportAnswer
				if err := d.Call(context.Background(), address, messenger.CallReport, request, &answer); err != nil {
					b.Fatal(err)
				}
			}
			for range 40 * servers {
				call()
			}
			since := processorTime(b)
			for b.Loop() {
				call()
			}
			reportProcessor(b, since)
			b.ReportMetric(payloadSize(b, messenger.CallReport, false, request), "B/request")
			b.ReportMetric(payloadSize(b, messenger.CallReport, true, &controller.ReportAnswer{}), "B/answer")
		})
	}
}

type fixedLimit struct{}

// Limit returns a limit that is never reached.
func (fixedLimit) Limit(flow.Time) int { return 100 }

func (fixedLimit) Warming(flow.Time) bool { return false }

// Observe does nothing.
func (fixedLimit) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

// -----------------------------------------------------------------------------

// BenchmarkChoose measures the choice of a backend server by the number of the
// service's servers, and the memory of the view of one server.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{13, 52, 208} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			all := sizes{regions: 4, zones: 15, hosts: servers, services: 1, servers: servers}.records()
			revision := flow.Revision(len(all))
			index := indexer.Empty().Apply(merger.New(1).Merge(0, merger.WatchDelta(0, revision, all)), revision)
			service, _ := index.Service("service-000")
			snapshot := &holder.Snapshot{Index: index, Region: "region-0"}
			c, err := chooser.New(chooser.Options{Clock: flow.NewMonotonicClock(), Picker: "two-choices", Seed: 1, Zone: "zone-00", Region: "region-0"})
			if err != nil {
				b.Fatal(err)
			}
			since := processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				choice, ok := c.Choose(snapshot, service, chooser.Request{Idempotent: true})
				if !ok {
					b.Fatal("no choice")
				}
				choice.Answered(0.5)
			}
			reportProcessor(b, since)
		})
	}
}

// BenchmarkServed measures what the metrics take of one request.
func BenchmarkServed(b *testing.B) {
	m := reporter.NewMetrics(200)
	since := processorTime(b)
	b.ReportAllocs()
	turn := 0
	for b.Loop() {
		turn++
		m.Served(customerName(turn%200), "route-0001", "", 200, time.Millisecond)
		m.Admitted("server-00001", "", time.Millisecond)
	}
	reportProcessor(b, since)
}

// BenchmarkKept reports the memory of what a daemon keeps for each of many
// things.
func BenchmarkKept(b *testing.B) {
	const count = 500
	for b.Loop() {
		b.ReportMetric(kept(count, func() any {
			m := reporter.NewMetrics(count)
			for i := range count {
				m.Served(customerName(i), "", "", 200, time.Millisecond)
			}
			return m
		}), "B/customer-in-metrics")
		b.ReportMetric(kept(count, func() any {
			m := reporter.NewMetrics(1)
			for i := range count {
				m.Served("", fmt.Sprintf("route-%04d", i), "", 200, time.Millisecond)
			}
			return m
		}), "B/route-in-metrics")
		b.ReportMetric(kept(count, func() any {
			senders := make([]*sender.Sender, count)
			for i := range senders {
				limit, err := limiter.New("aimd", limiter.Options{Server: serverName(i), Slots: 7})
				if err != nil {
					b.Fatal(err)
				}
				senders[i] = sender.New(flow.BackendServer{Name: serverName(i), Slots: 7, Connections: 390}, limit, flow.NewMonotonicClock())
				senders[i].Report()
			}
			return senders
		}), "B/sender")
		b.ReportMetric(kept(count, func() any {
			judge, err := ejector.New(ejector.NameRobust, ejector.Options{})
			if err != nil {
				b.Fatal(err)
			}
			names := make([]string, count)
			for i := range names {
				names[i] = serverName(i)
			}
			judge.SetServers(0, names, 0.7)
			for window := range 50 {
				for _, name := range names {
					judge.Report(flow.Time(window*500), "host", []flow.ServerReport{{Server: name, Count: 10, Median: time.Millisecond}})
				}
			}
			return judge
		}), "B/judged-server")
	}
}

// kept returns the memory of each of count things.
func kept(count int, build func() any) float64 {
	before := liveMemory()
	things := build()
	held := liveMemory() - before
	runtime.KeepAlive(things)
	return held / float64(count)
}

// BenchmarkTextPage measures the page of metrics with some thousand histograms.
func BenchmarkTextPage(b *testing.B) {
	m := reporter.NewMetrics(200)
	for i := range 5700 {
		m.Served(customerName(i), fmt.Sprintf("route-%04d", i), "", 200, time.Millisecond)
	}
	written := counter(0)
	since := processorTime(b)
	for b.Loop() {
		written = 0
		if err := m.WriteText(&written); err != nil {
			b.Fatal(err)
		}
	}
	reportProcessor(b, since)
	b.ReportMetric(float64(written)/1e3, "kB/page")
}

type counter int

// Write counts bytes.
func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}
