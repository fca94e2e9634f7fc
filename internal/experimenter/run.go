// Package experimenter runs experiments on fleets of real daemons, observes them,
// and computes the results.
//
// Each daemon is a process of its own. The platform, the backend servers, the
// network and the callers are stand-ins in the process of the experiment, so that
// they do not add to the measured CPU time and memory of the daemons.
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
	// defaultRequestTimeout is the timeout of the callers for a request.
	defaultRequestTimeout = 10 * time.Second
	// warmPollInterval is the time between two checks of a cold backend server.
	warmPollInterval = 100 * time.Millisecond
	// settleTime is how long the last runs may take to end before the journals are read.
	settleTime = 500 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Program  string // path of the coltsfootflow program
	Seed     uint64
	Log      io.Writer // destination of the daemons' logs; nil for none
	Progress io.Writer // destination of one line for each step of the run
}

// runData is the data of a run from which its result is computed.
type runData struct {
	experiment *planner.Experiment
	streams    []planner.Stream
	trace      *trace
	length     time.Duration // measured time
	loadStart  time.Time     // start of the load, and so of the warm-up

	records  []caller.Record
	direct   []caller.Record // of the direct load on the backend servers
	journals []journal

	generator     generatorStats
	daemonCPU     time.Duration
	daemonMemory  []int64 // bytes, of each running daemon
	platformCalls publisher.Calls
}

// generatorStats holds the lateness of request starts, and the CPU time of the load
// generator and all other stand-ins.
type generatorStats struct {
	lateP99Millis, lateMaxMillis float64
	cpu                          time.Duration
}

// Run runs an experiment and returns its result. It returns an error, and no
// result, if the fleet does not start, a fault cannot be injected, or ctx is done.
func Run(ctx context.Context, e *planner.Experiment, options Options) (*presenter.Result, error) {
	start := time.Now()
	machine := describeMachine()
	report := func(format string, args ...any) {
		fmt.Fprintf(options.Progress, "%6.1f s  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
	report("starting %d daemons and %d backend servers", e.Deployment.Hosts, e.Deployment.ServerCount())
	fleet, err := launcher.Start(ctx, launcher.Options{
		Program: options.Program, Plan: e.Plan(), Interrupt: e.HasNetwork(), Log: options.Log, Seed: options.Seed,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := fleet.AwaitActing(startCtx); err != nil {
		return nil, err
	}
	if err := awaitWarm(startCtx, fleet); err != nil {
		return nil, err
	}
	data := &runData{experiment: e, length: e.Duration.AsDuration(), streams: e.Streams(e.WarmUp.AsDuration())}
	if e.Direct > 0 {
		report("direct load for %v", e.Direct.AsDuration())
		if data.direct, err = runDirect(ctx, e, fleet, data.streams, options.Seed); err != nil {
			return nil, err
		}
	}
	report("load for %v of warm-up and %v measured", e.WarmUp.AsDuration(), e.Duration.AsDuration())
	if err := runLoad(ctx, e, fleet, data, options.Seed); err != nil {
		return nil, err
	}
	report("assessing")
	result := assess(data)
	machine.LoadAtEnd = launcher.LoadAverage()
	result.Machine = machine
	result.Seed = options.Seed
	result.Started = start
	return result, nil
}

// awaitWarm waits until every backend server has completed its cold start, since
// load could make a cold one collapse, which would not be recorded.
func awaitWarm(ctx context.Context, fleet *launcher.Fleet) error {
	for _, s := range fleet.Servers {
		for s.Stats().Temperature != server.Warm {
			if !flow.Sleep(ctx, warmPollInterval) {
				return flow.Wrap("await-warm", s.Name, ctx.Err())
			}
		}
	}
	return nil
}

// callerOptions returns the options of a caller that sends the given streams.
func callerOptions(e *planner.Experiment, streams []planner.Stream, ingresses []string, duration time.Duration, seed uint64) caller.Options {
	timeout := e.RequestTimeout.AsDuration()
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	return caller.Options{
		Customers: planner.CallerCustomers(streams),
		Ingresses: ingresses,
		Duration:  duration,
		Timeout:   timeout,
		Seed:      seed,
		Failover:  !e.NoFailover,
	}
}

// ingressAddresses returns the addresses to which callers send. It omits hosts
// whose daemons will be paused: the time that callers wait for them says nothing
// about the fleet.
func ingressAddresses(e *planner.Experiment, fleet *launcher.Fleet) []string {
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
		case e.CallersBypassNetwork:
			addresses = append(addresses, d.Addresses.Caller)
		default:
			addresses = append(addresses, fleet.CallerAddress(d))
		}
	}
	return addresses
}

// runLoad runs the load through the daemons while faults are injected.
func runLoad(ctx context.Context, e *planner.Experiment, fleet *launcher.Fleet, data *runData, seed uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load, err := caller.New(callerOptions(e, data.streams, ingressAddresses(e, fleet), e.WarmUp.AsDuration()+data.length, seed))
	if err != nil {
		return err
	}
	data.loadStart = time.Now()
	data.trace = &trace{start: data.loadStart.Add(e.WarmUp.AsDuration())}
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _, err = load.Run(ctx) })
	measureErr := data.measure(ctx, fleet, goroutines.Wait)
	cancel()
	data.records = load.Records()
	return errors.Join(err, measureErr)
}

// measure waits for the start of the measured time, then observes the fleet and
// injects the faults until its end, and returns when the load has ended. If ctx is
// done before the start, it returns at once, while the load may still run.
func (d *runData) measure(ctx context.Context, fleet *launcher.Fleet, awaitLoad func()) error {
	if !flow.Sleep(ctx, time.Until(d.trace.start)) {
		return ctx.Err()
	}
	observeCtx, stop := context.WithCancel(ctx)
	defer stop()
	injector := &faultInjector{experiment: d.experiment, fleet: fleet, trace: d.trace, cpuMeter: newCPUMeter(fleet)}
	calls, cpu, lag := fleet.Platform.Calls(), ownCPU(), newTimerLagMeter()
	observer := startObserver(observeCtx, d.trace, fleet)
	var goroutines sync.WaitGroup
	var faultErr error
	goroutines.Go(func() { faultErr = injector.run(ctx, observeCtx) })
	ended := flow.Sleep(ctx, d.length-d.trace.now())
	lateness := lag.finish()
	d.generator = generatorStats{lateP99Millis: lateness.P99Millis, lateMaxMillis: lateness.MaxMillis, cpu: ownCPU() - cpu}
	d.platformCalls = callsSince(fleet.Platform.Calls(), calls)
	stop() // an action that has started is completed
	goroutines.Wait()
	observer.wait()
	d.daemonCPU, d.daemonMemory = injector.cpuMeter.read(fleet)
	awaitLoad()
	flow.Sleep(ctx, settleTime)
	for _, s := range fleet.Servers {
		d.journals = append(d.journals, journal{s.Name, s.Service, s.Journal()})
	}
	if !ended {
		return ctx.Err()
	}
	return faultErr
}

// callsSince returns the calls of the platform between two readings.
func callsSince(now, earlier publisher.Calls) publisher.Calls {
	return publisher.Calls{
		Records: now.Records - earlier.Records,
		Watches: now.Watches - earlier.Watches,
		Refused: now.Refused - earlier.Refused,
	}
}

// directLinkPrefix starts the names of links from callers to backend servers.
const directLinkPrefix = "direct:"

// runDirect runs the load directly on the backend servers, with the network delay
// that callers have to daemons.
func runDirect(ctx context.Context, e *planner.Experiment, fleet *launcher.Fleet, streams []planner.Stream, seed uint64) ([]caller.Record, error) {
	byService := map[string][]planner.Stream{}
	for _, s := range planner.WithoutSteps(streams) {
		s.Choice = caller.Spread
		byService[s.Service] = append(byService[s.Service], s)
	}
	var loads []*caller.Caller
	for service, serviceStreams := range byService {
		addresses, err := directAddresses(e, fleet, service)
		if err != nil {
			return nil, err
		}
		load, err := caller.New(callerOptions(e, serviceStreams, addresses, e.Direct.AsDuration(), seed))
		if err != nil {
			return nil, err
		}
		loads = append(loads, load)
	}
	errs := make([]error, len(loads))
	var goroutines sync.WaitGroup
	for i, load := range loads {
		goroutines.Go(func() { _, errs[i] = load.Run(ctx) })
	}
	goroutines.Wait()
	var records []caller.Record
	for _, load := range loads {
		records = append(records, load.Records()...)
	}
	return records, errors.Join(append(errs, ctx.Err())...)
}

// directAddresses returns the addresses of a service's backend servers. With a
// simulated network, they are those of links with the delay of the callers.
func directAddresses(e *planner.Experiment, fleet *launcher.Fleet, service string) ([]string, error) {
	fault := interrupter.Fault{Kind: interrupter.Pass, Delay: e.Deployment.CallerDelay.AsDuration()}
	var addresses []string
	for _, s := range fleet.Servers {
		if s.Service != service {
			continue
		}
		if fleet.Interrupter == nil || e.CallersBypassNetwork {
			addresses = append(addresses, s.Addr())
			continue
		}
		link, err := fleet.Interrupter.Add(interrupter.LinkOptions{Name: directLinkPrefix + s.Name, Target: s.Addr()})
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
