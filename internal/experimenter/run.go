// Package experimenter runs experiments on fleets of real daemons, watches them,
// and assesses what it saw.
//
// Daemons are processes; the platform, the backend servers, the network and
// the callers are stand-ins in the running process, so that their cost is no
// part of what is measured of the daemons.
package experimenter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// startTimeout bounds the start of a fleet until every daemon takes work.
	startTimeout = time.Minute
	// defaultRequestLimit is the time that callers give a request.
	defaultRequestLimit = 10 * time.Second
	// warmPoll is the time between two looks at a cold backend server.
	warmPoll = 100 * time.Millisecond
	// settleTime lets the last runs end before the journals are read.
	settleTime = 500 * time.Millisecond
)

// Options of a run.
type Options struct {
	Program  string // path of the coltsfootflow program
	Seed     uint64
	Log      io.Writer // takes the daemons' logs; nil for none
	Progress io.Writer // takes a line for each step of the run
}

// evidence is all that a run leaves to be assessed.
type evidence struct {
	experiment *planner.Experiment
	rows       []planner.Row
	trace      *trace
	length     time.Duration // measured time
	loadStart  time.Time     // of the load, the warm-up included

	records  []caller.Record
	direct   []caller.Record // of the load on the backend servers themselves
	journals []journal

	lag           usageOfLoad
	daemonCPU     time.Duration
	daemonMemory  []int64
	platformCalls publisher.Calls
}

// usageOfLoad is what the load and the stand-ins cost.
type usageOfLoad struct {
	lateMillis99, lateMillisMax float64
	cpu                         time.Duration
}

// Run runs an experiment. It ends early with ctx, and then without a result.
func Run(ctx context.Context, e *planner.Experiment, options Options) (*presenter.Result, error) {
	began := time.Now()
	machine := describeMachine()
	say := func(format string, args ...any) {
		fmt.Fprintf(options.Progress, "%6.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	say("starting %d daemons and %d backend servers", e.Deployment.Hosts, e.Deployment.ServerCount())
	fleet, err := launcher.Start(ctx, launcher.Options{
		Program: options.Program, Plan: e.Plan(), Interrupt: e.Interrupts(), Log: options.Log, Seed: options.Seed,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.AwaitActing(starting); err != nil {
		return nil, err
	}
	if err := awaitWarm(starting, fleet); err != nil {
		return nil, err
	}
	found := &evidence{experiment: e, length: e.Duration.Of(), rows: e.Rows(e.WarmUp.Of())}
	if e.Direct > 0 {
		say("direct load for %v", e.Direct.Of())
		if found.direct, err = runDirect(ctx, e, fleet, found.rows, options.Seed); err != nil {
			return nil, err
		}
	}
	say("load for %v of warm-up and %v measured", e.WarmUp.Of(), e.Duration.Of())
	if err := runLoad(ctx, e, fleet, found, options.Seed); err != nil {
		return nil, err
	}
	say("assessing")
	result := assess(found)
	machine.LoadAtEnd = launcher.LoadAverage()
	result.Machine = machine
	result.Seed = options.Seed
	result.Started = began
	return result, nil
}

// awaitWarm waits until every backend server has ended its cold start, so that
// no load makes one collapse unseen.
func awaitWarm(ctx context.Context, fleet *launcher.Fleet) error {
	for _, s := range fleet.Servers {
		for s.Stats().Temperature != server.Warm {
			if !flow.Sleep(ctx, warmPoll) {
				return flow.Wrap("await-warm", s.Name, ctx.Err())
			}
		}
	}
	return nil
}

// callerOptions returns the options of a caller of some rows.
func callerOptions(e *planner.Experiment, rows []planner.Row, ingresses []string, duration time.Duration, seed uint64) caller.Options {
	limit := e.RequestLimit.Of()
	if limit == 0 {
		limit = defaultRequestLimit
	}
	return caller.Options{
		Customers: planner.CustomersOf(rows),
		Ingresses: ingresses,
		Duration:  duration,
		Timeout:   limit,
		Seed:      seed,
		Failover:  !e.StayPut,
	}
}

// ingresses returns the addresses that callers ask. Hosts that will fall silent
// are left out: how long callers wait for them says nothing of the fleet.
func ingresses(e *planner.Experiment, fleet *launcher.Fleet) []string {
	silent := map[string]bool{}
	for _, fault := range e.Faults {
		for _, host := range fault.Hosts {
			silent[host] = silent[host] || fault.Silent
		}
	}
	var addresses []string
	for _, d := range fleet.Daemons {
		switch {
		case silent[d.Host]:
		case e.CallersBeside:
			addresses = append(addresses, d.Addresses.Caller)
		default:
			addresses = append(addresses, fleet.CallerAddress(d))
		}
	}
	return addresses
}

// -----------------------------------------------------------------------------

// runLoad runs the load through the daemons, with the faults.
func runLoad(ctx context.Context, e *planner.Experiment, fleet *launcher.Fleet, found *evidence, seed uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load, err := caller.New(callerOptions(e, found.rows, ingresses(e, fleet), e.WarmUp.Of()+found.length, seed))
	if err != nil {
		return err
	}
	found.loadStart = time.Now()
	found.trace = &trace{start: found.loadStart.Add(e.WarmUp.Of())}
	var loading sync.WaitGroup
	loading.Go(func() { _, err = load.Run(ctx) })
	faulting := found.measure(ctx, fleet, loading.Wait)
	cancel()
	found.records = load.Records()
	return errors.Join(err, faulting)
}

// measure waits for the measured time, watches the fleet and performs the
// faults meanwhile, and ends when the load has.
func (f *evidence) measure(ctx context.Context, fleet *launcher.Fleet, awaitLoad func()) error {
	if !flow.Sleep(ctx, time.Until(f.trace.start)) {
		return ctx.Err()
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	scheduled := &stage{experiment: f.experiment, fleet: fleet, trace: f.trace, meter: newMeter(fleet)}
	calls, cpu, lag := fleet.Platform.Calls(), ownCPU(), newLagMeter()
	watch := observe(watching, f.trace, fleet)
	var performing sync.WaitGroup
	var failure error
	performing.Go(func() { failure = scheduled.perform(ctx, watching) })
	ended := flow.Sleep(ctx, f.length-f.trace.now())
	lateness := lag.finish()
	f.lag = usageOfLoad{lateMillis99: lateness.P99Millis, lateMillisMax: lateness.MaxMillis, cpu: ownCPU() - cpu}
	f.platformCalls = since(fleet.Platform.Calls(), calls)
	stop() // an action that is under way ends first
	performing.Wait()
	watch.wait()
	f.daemonCPU, f.daemonMemory = scheduled.meter.read(fleet)
	awaitLoad()
	flow.Sleep(ctx, settleTime)
	for _, s := range fleet.Servers {
		f.journals = append(f.journals, journal{s.Name, s.Service, s.Journal()})
	}
	if !ended {
		return ctx.Err()
	}
	return failure
}

// since returns the calls of the platform after earlier ones.
func since(now, earlier publisher.Calls) publisher.Calls {
	return publisher.Calls{
		Records: now.Records - earlier.Records,
		Watches: now.Watches - earlier.Watches,
		Refused: now.Refused - earlier.Refused,
	}
}

// -----------------------------------------------------------------------------

// linkDirect begins the names of the links from callers to backend servers.
const linkDirect = "direct:"

// runDirect runs the load on the backend servers themselves, as far from the
// callers as daemons are.
func runDirect(ctx context.Context, e *planner.Experiment, fleet *launcher.Fleet, rows []planner.Row, seed uint64) ([]caller.Record, error) {
	byService := map[string][]planner.Row{}
	for _, r := range planner.WithoutSurges(rows) {
		r.Choice = caller.Spread
		byService[r.Service] = append(byService[r.Service], r)
	}
	var loads []*caller.Caller
	for service, own := range byService {
		addresses, err := directAddresses(e, fleet, service)
		if err != nil {
			return nil, err
		}
		load, err := caller.New(callerOptions(e, own, addresses, e.Direct.Of(), seed))
		if err != nil {
			return nil, err
		}
		loads = append(loads, load)
	}
	failures := make([]error, len(loads))
	var loading sync.WaitGroup
	for i, load := range loads {
		loading.Go(func() { _, failures[i] = load.Run(ctx) })
	}
	loading.Wait()
	var records []caller.Record
	for _, load := range loads {
		records = append(records, load.Records()...)
	}
	return records, errors.Join(append(failures, ctx.Err())...)
}

// directAddresses returns the addresses of a service's backend servers, behind
// the callers' delay when there is a network.
func directAddresses(e *planner.Experiment, fleet *launcher.Fleet, service string) ([]string, error) {
	fault := interrupter.Fault{Kind: interrupter.Pass, Delay: e.Deployment.CallerDelay.Of()}
	var addresses []string
	for _, s := range fleet.Servers {
		if s.Service != service {
			continue
		}
		if fleet.Interrupter == nil || e.CallersBeside {
			addresses = append(addresses, s.Addr())
			continue
		}
		link, err := fleet.Interrupter.Add(interrupter.LinkOptions{Name: linkDirect + s.Name, Target: s.Addr()})
		if err != nil {
			return nil, err
		}
		if err := link.Set(interrupter.Both, fault); err != nil {
			return nil, flow.Wrap("direct", s.Name, err)
		}
		addresses = append(addresses, link.Addr())
	}
	return addresses, nil
}
