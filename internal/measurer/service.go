// Services: reports to the owner of a service, and the choice of a backend server.

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
	// capacityFloor is the share of a service's capacity that ejections must leave.
	capacityFloor = 0.7
	// ownedSince is the start of the owners' tenure, long before the measurement.
	ownedSince flow.Time = -100_000
	// windowMillis is the time that a report covers.
	windowMillis = 500
)

func reportMeasurement() Measurement {
	return Measurement{
		Name:       "report",
		Help:       "one report on one backend server, from the admission gate to the ejector of the service's owner, both ends",
		Parameters: []Parameter{{"servers", "backend servers of the service", 1, 1000}},
		Sizes:      []Size{{"servers": 4}, {"servers": 13}, {"servers": 52}},
		Operations: 1000,
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
	serverEjector, err := ejector.New(ejector.NameRobust, ejector.Options{Since: ownedSince})
	if err != nil {
		return err
	}
	serverEjector.SetServers(0, names, capacityFloor)
	ownerLoop := startControlLoop()
	defer close(ownerLoop)
	r := &windowReporter{names: names, gate: admitter.New(admitter.Options{Limiter: fixedLimit{}})}
	serve := func(_ context.Context, request any) (any, error) {
		var received controller.ReportRequest
		if err := decodeBody(request, &received); err != nil {
			return nil, err
		}
		var answer controller.ReportAnswer
		ownerLoop.do(func() { answer.Ejections = serverEjector.Report(r.now, received.Host, received.Reports) })
		return &answer, nil
	}
	return withListener(ctx, messenger.CallReport, serve, func(d *dialer.Dialer, address string) error {
		if err := r.repeat(ctx, t, d, address); err != nil {
			return err
		}
		return reportFrameSizes(t, messenger.CallReport, r.request, &controller.ReportAnswer{})
	})
}

// windowReporter sends the reports on a service's backend servers, in turn.
type windowReporter struct {
	names   []string
	gate    *admitter.Gate
	turn    int
	now     flow.Time
	request controller.ReportRequest
}

// repeat sends reports. The first 40 on each backend server are the warm-up and are
// not measured.
func (r *windowReporter) repeat(ctx context.Context, t *Trial, d *dialer.Dialer, address string) error {
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

// next makes the next report from the gate.
func (r *windowReporter) next() {
	r.turn++
	r.now = flow.Time(r.turn * windowMillis / len(r.names))
	id := uint64(r.turn)
	r.gate.Arrive(r.now, admitter.Entry{ID: id, NotAfter: r.now + 1000})
	r.gate.Finish(r.now, id, flow.VerdictGood, 20*time.Millisecond)
	report := r.gate.Report(r.now)
	report.Server, report.Count = r.names[r.turn%len(r.names)], 11
	r.request = controller.ReportRequest{Service: "service-001", Host: hostName(0), Reports: []flow.ServerReport{report}}
}

type fixedLimit struct{}

// Limit returns a limit above what the measurement uses.
func (fixedLimit) Limit(flow.Time) int { return 100 }

// Warming returns false: the limit is fixed.
func (fixedLimit) Warming(flow.Time) bool { return false }

// Observe ignores the result: the limit is fixed.
func (fixedLimit) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

func chooseMeasurement() Measurement {
	return Measurement{
		Name:       "choose",
		Help:       "the choice of a backend server, by the number of the service's servers",
		Parameters: []Parameter{{"servers", "backend servers of the service", 1, 22000}},
		Sizes:      []Size{{"servers": 13}, {"servers": 52}, {"servers": 208}},
		Operations: 1000,
		Figures:    allocations,
		Measure:    measureChoose,
	}
}

func measureChoose(ctx context.Context, t *Trial) error {
	servers := t.Size["servers"]
	index := newIndex(recordCounts{regions: 4, zones: 15, hosts: servers, services: 1, servers: servers}.records())
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

// allocations are the figures of repeatAllocating.
var allocations = []Figure{
	{"allocated", "B/operation", "bytes allocated in an operation"},
	{"allocations", "1/operation", "objects allocated in an operation"},
}

// repeatAllocating is Repeat that also reports the allocations of an operation.
func (t *Trial) repeatAllocating(ctx context.Context, operation func() error) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := t.Repeat(ctx, operation)
	runtime.ReadMemStats(&after)
	t.Report("allocated", float64(after.TotalAlloc-before.TotalAlloc)/float64(t.Operations))
	t.Report("allocations", float64(after.Mallocs-before.Mallocs)/float64(t.Operations))
	return err
}
