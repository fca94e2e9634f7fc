// Services: reports to the owner of a service, and the choice of a backend
// server.

package measurer

import (
	"context"
	"errors"
	"runtime"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/chooser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// floor is the share of a service's capacity that ejections leave.
	floor = 0.7
	// longBefore is a time since which owners have held what they own.
	longBefore flow.Time = -100_000
	// window is the time that a report covers, in milliseconds.
	window = 500
)

func report() Measurement {
	return Measurement{
		Name:       "report",
		Help:       "one window of one backend server: from the gate to the judgement of the service's owner, both ends",
		Parameters: []Parameter{{"servers", "backend servers of the service", 1, 1000}},
		Sizes:      []Size{{"servers": 4}, {"servers": 13}, {"servers": 52}},
		Times:      1000,
		Figures:    []Figure{requestSize, answerSize},
		Measure:    measureReport,
	}
}

// serverNames returns the names of some backend servers.
func serverNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = serverName(i)
	}
	return names
}

func measureReport(ctx context.Context, t *Trial) error {
	names := serverNames(t.Size["servers"])
	judge, err := ejector.New(ejector.NameRobust, ejector.Options{Since: longBefore})
	if err != nil {
		return err
	}
	judge.SetServers(0, names, floor)
	judging := startControl()
	defer close(judging)
	r := &reporting{names: names, gate: admitter.New(admitter.Options{Limiter: fixedLimit{}})}
	serve := func(_ context.Context, request any) (any, error) {
		var asked controller.ReportRequest
		if err := decode(request, &asked); err != nil {
			return nil, err
		}
		var answer controller.ReportAnswer
		judging.do(func() { answer.Ejections = judge.Report(r.now, asked.Host, asked.Reports) })
		return &answer, nil
	}
	return serveWhile(ctx, messenger.CallReport, serve, func(d *dialer.Dialer, address string) error {
		if err := r.repeat(ctx, t, d, address); err != nil {
			return err
		}
		return reportSizes(t, messenger.CallReport, r.request, &controller.ReportAnswer{})
	})
}

// reporting is the asking end of the reports of a service's backend servers, in
// turn.
type reporting struct {
	names   []string
	gate    *admitter.Gate
	turn    int
	now     flow.Time
	request controller.ReportRequest
}

// repeat reports windows, the first 40 of each backend server before the costs
// count.
func (r *reporting) repeat(ctx context.Context, t *Trial, d *dialer.Dialer, address string) error {
	const warmUp = 40
	call := func() error {
		r.next()
		var answer controller.ReportAnswer
		return d.Call(ctx, address, messenger.CallReport, r.request, &answer)
	}
	for range warmUp * len(r.names) {
		if err := call(); err != nil {
			return err
		}
	}
	return t.Repeat(ctx, call)
}

// next takes the next window from the gate.
func (r *reporting) next() {
	r.turn++
	r.now = flow.Time(r.turn * window / len(r.names))
	id := uint64(r.turn)
	r.gate.Arrive(r.now, admitter.Entry{ID: id, NotAfter: r.now + 1000})
	r.gate.Finish(r.now, id, flow.VerdictGood, 20*time.Millisecond)
	report := r.gate.Report(r.now)
	report.Server, report.Count = r.names[r.turn%len(r.names)], 11
	r.request = controller.ReportRequest{Service: "service-001", Host: hostName(0), Reports: []flow.ServerReport{report}}
}

type fixedLimit struct{}

// Limit returns a limit that is never reached.
func (fixedLimit) Limit(flow.Time) int { return 100 }

// Warming is false: the limit is always the same.
func (fixedLimit) Warming(flow.Time) bool { return false }

// Observe does nothing.
func (fixedLimit) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

// -----------------------------------------------------------------------------

func choose() Measurement {
	return Measurement{
		Name:       "choose",
		Help:       "the choice of a backend server by the number of the service's servers",
		Parameters: []Parameter{{"servers", "backend servers of the service", 1, 22000}},
		Sizes:      []Size{{"servers": 13}, {"servers": 52}, {"servers": 208}},
		Times:      1000,
		Figures:    allocations,
		Measure:    measureChoose,
	}
}

func measureChoose(ctx context.Context, t *Trial) error {
	servers := t.Size["servers"]
	index := indexOf(extent{regions: 4, zones: 15, hosts: servers, services: 1, servers: servers}.records())
	service, _ := index.Service("service-000")
	snapshot := &holder.Snapshot{Index: index, Region: "region-0"}
	c, err := chooser.New(chooser.Options{Clock: flow.NewMonotonicClock(), Picker: "two-choices", Seed: 1, Zone: "zone-00", Region: "region-0"})
	if err != nil {
		return err
	}
	return t.repeatAllocating(ctx, func() error {
		choice, ok := c.Choose(snapshot, service, chooser.Request{Idempotent: true})
		if !ok {
			return flow.Wrap("choose", "service-000", errors.New("no choice"))
		}
		choice.Answered(0.5)
		return nil
	})
}

// -----------------------------------------------------------------------------

// allocations are the figures of repeatAllocating.
var allocations = []Figure{
	{"allocated", "B/operation", "bytes allocated in an operation"},
	{"allocations", "1/operation", "objects allocated in an operation"},
}

// repeatAllocating does what Repeat does, and reports also what an operation
// allocates.
func (t *Trial) repeatAllocating(ctx context.Context, operate func() error) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := t.Repeat(ctx, operate)
	runtime.ReadMemStats(&after)
	t.Report("allocated", float64(after.TotalAlloc-before.TotalAlloc)/float64(t.Times))
	t.Report("allocations", float64(after.Mallocs-before.Mallocs)/float64(t.Times))
	return err
}
