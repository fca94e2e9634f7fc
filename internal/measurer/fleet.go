// Small fleets of real daemons: the resources of an idle daemon, the cost of a
// request at its ingress and at admission, and the time until a change is applied.

package measurer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// fleetTimeout bounds the start of a fleet, and every later wait for it.
	fleetTimeout = 60 * time.Second
	// warmUpTime is how long after its start a fleet reaches its steady state.
	warmUpTime = 8 * time.Second
	// statusPollInterval is the time between requests for a daemon's status.
	statusPollInterval = 5 * time.Millisecond
)

// fleetParameter is the number of hosts of a fleet of real daemons.
var fleetParameter = Parameter{"hosts", "hosts, each with a real daemon", 1, 200}

// withFleet starts a fleet, waits until all daemons act, and runs use with it.
func withFleet(ctx context.Context, t *Trial, plan launcher.Plan, use func(f *launcher.Fleet) error) error {
	fleet, err := launcher.Start(ctx, launcher.Options{Program: t.Program, Plan: plan, Seed: 1})
	if err != nil {
		return err
	}
	defer fleet.Close()
	startCtx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	if err := fleet.AwaitActing(startCtx); err != nil {
		return err
	}
	return use(fleet)
}

// readUsages returns the processor time and memory of daemons so far.
func readUsages(daemons ...*launcher.Daemon) ([]launcher.Usage, error) {
	usages := make([]launcher.Usage, len(daemons))
	for i, d := range daemons {
		usage, err := d.Usage()
		if err != nil {
			return nil, err
		}
		usages[i] = usage
	}
	return usages, nil
}

// usageAround returns the usages of daemons before and after some work.
func usageAround(daemons []*launcher.Daemon, work func() error) (before, after []launcher.Usage, err error) {
	if before, err = readUsages(daemons...); err != nil {
		return nil, nil, err
	}
	if err := work(); err != nil {
		return nil, nil, err
	}
	after, err = readUsages(daemons...)
	return before, after, err
}

func idleFleetMeasurement() Measurement {
	return Measurement{
		Name: "idle-fleet",
		Help: "the resources of a real daemon without traffic, by the hosts, the heartbeats and the services",
		Parameters: []Parameter{
			fleetParameter,
			fanoutParameter,
			{"services", "services, each with a backend server on each host", 1, 50},
		},
		Sizes: []Size{
			{"hosts": 9, "fanout": 3, "services": 1},
			{"hosts": 27, "fanout": 3, "services": 1},
			{"hosts": 54, "fanout": 3, "services": 1},
			{"hosts": 27, "fanout": 1, "services": 1},
			{"hosts": 27, "fanout": 8, "services": 1},
			{"hosts": 9, "fanout": 3, "services": 8},
		},
		Operations:    1,
		StartsDaemons: true,
		Figures: []Figure{
			{"core", "% of a core", "processor time of the median daemon"},
			{"core-worst", "% of a core", "processor time of the busiest daemon"},
			{"resident", "MB", "resident memory of the median daemon"},
		},
		Measure: measureIdleFleet,
	}
}

func measureIdleFleet(ctx context.Context, t *Trial) error {
	plan := launcher.SmallPlan(t.Size["hosts"])
	plan.Settings = map[string]any{"heartbeat-fanout": t.Size["fanout"]}
	for i := 1; i < t.Size["services"]; i++ {
		service := plan.Services[0]
		service.Name = fmt.Sprintf("service-%d", i)
		plan.Services = append(plan.Services, service)
	}
	return t.Repeat(ctx, func() error {
		return withFleet(ctx, t, plan, func(f *launcher.Fleet) error { return reportIdleUsage(ctx, t, f) })
	})
}

// reportIdleUsage reports the resources of a fleet without traffic.
func reportIdleUsage(ctx context.Context, t *Trial, f *launcher.Fleet) error {
	const observedTime = 15 * time.Second
	if err := sleep(ctx, warmUpTime); err != nil {
		return err
	}
	before, after, err := usageAround(f.Daemons, func() error { return sleep(ctx, observedTime) })
	if err != nil {
		return err
	}
	var used, resident []float64
	for i := range after {
		used = append(used, (after[i].CPU-before[i].CPU).Seconds()/observedTime.Seconds()*100)
		resident = append(resident, float64(after[i].ResidentBytes)/1e6)
	}
	t.Report("core", median(used))
	t.Report("core-worst", slices.Max(used))
	t.Report("resident", median(resident))
	return nil
}

func requestMeasurement() Measurement {
	return Measurement{
		Name:          "request",
		Help:          "the processor time of a request at its ingress and at admission in real daemons, and the latency that they add",
		Parameters:    []Parameter{{"rate", "requests a second", 1, 10000}},
		Sizes:         []Size{{"rate": 100}, {"rate": 200}, {"rate": 400}},
		Operations:    1,
		StartsDaemons: true,
		Figures: []Figure{
			{"ingress", "us/request", "processor time at the ingress"},
			{"admission", "us/request", "processor time at admission"},
			{"added-p50", "ms", "median latency less that of the backend server alone"},
			{"added-p99", "ms", "99th percentile of the latency less that of the backend server alone"},
			{"p99", "ms", "99th percentile of the latency"},
			{"answered", "requests", "requests that the backend server answered"},
			{"sent", "requests", "all requests"},
		},
		Measure: measureRequest,
	}
}

// loadDuration is how long the measured load lasts.
const loadDuration = 10 * time.Second

// measureRequest sends the load to an ingress on a host without backend servers;
// admission is on the host of the only backend server.
func measureRequest(ctx context.Context, t *Trial) error {
	plan := launcher.SmallPlan(3)
	plan.Services[0].Servers = 1
	plan.Services[0].Server = server.Options{Slots: 64, ServiceTime: 5 * time.Millisecond, ConnectionCost: -1}
	return t.Repeat(ctx, func() error {
		return withFleet(ctx, t, plan, func(f *launcher.Fleet) error { return reportLoadCosts(ctx, t, f) })
	})
}

// reportLoadCosts reports the costs of requests. A load of the same rate precedes it,
// so that the rates are granted and the concurrency limit has grown. The processor
// time of the idle daemons is subtracted.
func reportLoadCosts(ctx context.Context, t *Trial, f *launcher.Fleet) error {
	admission, ingress := f.Daemons[0], f.Daemons[1]
	daemons := []*launcher.Daemon{ingress, admission}
	rate := float64(t.Size["rate"])
	if _, err := sendLoad(ctx, ingress.Addresses.Caller, rate, warmUpTime); err != nil {
		return err
	}
	idle, err := idleProcessorTime(ctx, daemons)
	if err != nil {
		return err
	}
	var through caller.Summary
	before, after, err := usageAround(daemons, func() error {
		through, err = sendLoad(ctx, ingress.Addresses.Caller, rate, loadDuration)
		return err
	})
	if err != nil {
		return err
	}
	direct, err := sendLoad(ctx, f.Servers[0].Addr(), rate, loadDuration)
	if err != nil {
		return err
	}
	for i, figure := range []string{"ingress", "admission"} {
		used := after[i].CPU - before[i].CPU - idle[i]*time.Duration(loadDuration/time.Second)
		t.Report(figure, microseconds(used)/float64(through.Total.Sent))
	}
	t.reportLatency(through, direct)
	return nil
}

func (t *Trial) reportLatency(through, direct caller.Summary) {
	total, alone := through.Total.Latency, direct.Total.Latency
	t.Report("added-p50", total.P50Millis-alone.P50Millis)
	t.Report("added-p99", total.P99Millis-alone.P99Millis)
	t.Report("p99", total.P99Millis)
	answered := through.Total.Results[caller.Answered]
	t.Report("answered", float64(answered))
	t.Report("sent", float64(through.Total.Sent))
	if answered < through.Total.Sent {
		t.Remark("of %d requests not all were answered: %v, reasons %v", through.Total.Sent, through.Total.Results, through.Total.Reasons)
	}
}

// idleProcessorTime returns the processor time a second of daemons without traffic.
func idleProcessorTime(ctx context.Context, daemons []*launcher.Daemon) ([]time.Duration, error) {
	const seconds = 5
	before, after, err := usageAround(daemons, func() error { return sleep(ctx, seconds*time.Second) })
	if err != nil {
		return nil, err
	}
	idle := make([]time.Duration, len(daemons))
	for i := range idle {
		idle[i] = (after[i].CPU - before[i].CPU) / seconds
	}
	return idle, nil
}

// sendLoad sends the requests of one customer for some time.
func sendLoad(ctx context.Context, address string, rate float64, duration time.Duration) (caller.Summary, error) {
	callers, err := caller.New(caller.Options{
		Ingresses: []string{address},
		Duration:  duration,
		Seed:      1,
		Customers: []caller.Customer{{
			Name: "shop", Key: launcher.KeyOf("shop"), Schedule: caller.Schedule{Rate: rate},
			ReadPath: "/ledger/wheels", WritePath: "/ledger/swaps", Writes: 0.2,
		}},
	})
	if err != nil {
		return caller.Summary{}, err
	}
	summary, err := callers.Run(ctx)
	if err != nil {
		return summary, err
	}
	return summary, ctx.Err() // a load that was cut short is an error
}

func inForceMeasurement() Measurement {
	return Measurement{
		Name:          "in-force",
		Help:          "the time from publishing a change until every daemon of a real fleet reports it as applied",
		Parameters:    []Parameter{fleetParameter},
		Sizes:         []Size{{"hosts": 9}, {"hosts": 27}, {"hosts": 54}},
		Operations:    1,
		StartsDaemons: true,
		Figures: []Figure{
			{"applied", "ms", "until every daemon reports it as applied, with the time of polling; median of 15 changes"},
			{"applied-worst", "ms", "the same; worst of 15 changes"},
		},
		Measure: measureInForce,
	}
}

func measureInForce(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		return withFleet(ctx, t, launcher.SmallPlan(t.Size["hosts"]), func(f *launcher.Fleet) error { return reportChangeTimes(ctx, t, f) })
	})
}

// reportChangeTimes publishes changes one after the other, and reports how long they
// take until all daemons apply them.
func reportChangeTimes(ctx context.Context, t *Trial, f *launcher.Fleet) error {
	const changes = 15
	var applied []float64
	for i := range changes {
		record := launcher.Record(flow.KindCustomer, fmt.Sprintf("new-%d", i), 1, nil)
		published := time.Now()
		revision := f.Platform.Publish(record)
		if err := awaitAllApplied(ctx, f, revision); err != nil {
			return err
		}
		applied = append(applied, float64(time.Since(published).Milliseconds()))
	}
	t.Report("applied", median(applied))
	t.Report("applied-worst", slices.Max(applied))
	return nil
}

// awaitAllApplied polls all daemons until each applies a revision.
func awaitAllApplied(ctx context.Context, f *launcher.Fleet, revision flow.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	for _, d := range f.Daemons {
		if err := awaitApplied(ctx, d, revision); err != nil {
			return err
		}
	}
	return nil
}

func awaitApplied(ctx context.Context, d *launcher.Daemon, revision flow.Revision) error {
	for {
		status, err := d.Status(ctx)
		if err == nil && status.Revision.Applied >= revision {
			return nil
		}
		if err := sleep(ctx, statusPollInterval); err != nil {
			return flow.Wrap("await-change", d.Host, err)
		}
	}
}
