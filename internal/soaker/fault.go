// The faults and the planned work, which last for random times.

package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// faultInjector runs random events drawn from a seed.
type faultInjector struct {
	deployment  *deployment
	random      *rand.Rand
	outages     *rand.Rand // of the outages of the store, so that they leave the other events of a seed as they are
	restores    *rand.Rand // of the restores of the store, likewise
	busyTargets sync.Map   // targets of running events, so that events on one target do not overlap
}

// event is a kind of fault or of planned work. run returns when it is over.
type event struct {
	name string
	run  func(injector *faultInjector, ctx context.Context, duration time.Duration, host int)
}

// reloadEvent is the event that changes nothing on a host. It may happen at any time,
// even during another event on the host, such as a stop of its daemon.
const reloadEvent = "hup"

// signalSetupTime is the age at which a process has certainly installed its signal
// handlers.
const signalSetupTime = time.Second

// events are the events that the injector chooses from. A seed selects them by index.
var events = []event{
	{"delay", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.breakLink(ctx, duration, h, interrupter.Both, interrupter.Fault{Kind: interrupter.Pass, Delay: 120 * time.Millisecond, Jitter: 80 * time.Millisecond})
	}},
	{"cut", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.breakLink(ctx, duration, h, interrupter.Both, interrupter.Fault{Kind: interrupter.Cut})
	}},
	{"one-way", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.breakLink(ctx, duration, h, interrupter.Backward, interrupter.Fault{Kind: interrupter.Swallow})
	}},
	{"other-way", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.breakLink(ctx, duration, h, interrupter.Forward, interrupter.Fault{Kind: interrupter.Swallow})
	}},
	{"hold", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.breakLink(ctx, duration, h, interrupter.Both, interrupter.Fault{Kind: interrupter.Hold})
	}},
	{"reset", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.breakLink(ctx, duration, h, interrupter.Backward, interrupter.Fault{Kind: interrupter.Reset, Bytes: 2000})
	}},
	{"silence", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		for _, kind := range []string{"data", "peer", "store"} {
			injector.deployment.links.Link(linkName(kind, h)).SilenceOpen()
		}
		flow.Sleep(ctx, duration)
	}},
	{"store-busy", func(injector *faultInjector, ctx context.Context, duration time.Duration, _ int) {
		injector.setStoreMode(ctx, duration, emulator.Busy)
	}},
	{"store-silent", func(injector *faultInjector, ctx context.Context, duration time.Duration, _ int) {
		injector.setStoreMode(ctx, duration, emulator.Silent)
	}},
	{"store-compact", func(injector *faultInjector, _ context.Context, _ time.Duration, _ int) {
		injector.deployment.store.Compact()
	}},
	{"kill", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.deployment.hosts[h].daemon.kill()
		flow.Sleep(ctx, duration/4)
		injector.restartDaemon(h)
	}},
	{"pause", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		injector.deployment.hosts[h].daemon.signal(syscall.SIGSTOP)
		flow.Sleep(ctx, duration)
		injector.deployment.hosts[h].daemon.signal(syscall.SIGCONT)
	}},
	{"stop", func(injector *faultInjector, _ context.Context, _ time.Duration, h int) { injector.stopDaemon(h) }},
	{reloadEvent, func(injector *faultInjector, _ context.Context, _ time.Duration, h int) {
		if d := injector.deployment.hosts[h].daemon; d.age() > signalSetupTime {
			d.signal(syscall.SIGHUP)
		}
	}},
	{"gray", func(injector *faultInjector, ctx context.Context, duration time.Duration, h int) {
		modes := []failureMode{modeErrors, modeHang, modeReset, modeShed, modeTruncate, modeExtraResponse, modeSlow, modePromise, modeMalformed, modeEarlyReset}
		mode := modes[duration.Milliseconds()%int64(len(modes))]
		injector.deployment.logf("host %d: backend server fails: %s", h, mode)
		injector.deployment.hosts[h].backend.setMode(mode)
		flow.Sleep(ctx, duration)
		injector.deployment.hosts[h].backend.setMode(modeHealthy)
	}},
	{"release", func(injector *faultInjector, ctx context.Context, _ time.Duration, h int) {
		injector.replaceBackend(ctx, h)
	}},
	{"move-route", func(injector *faultInjector, _ context.Context, _ time.Duration, _ int) { injector.changeRoute() }},
	{"withdraw-key", func(injector *faultInjector, ctx context.Context, _ time.Duration, h int) {
		injector.withdrawKey(ctx, h%2)
	}},
	{"zone-out", func(injector *faultInjector, ctx context.Context, duration time.Duration, _ int) {
		injector.takeZoneOut(ctx, duration)
	}},
}

// outageOneIn is the share of the steps of the injector at which an outage of the store begins.
const outageOneIn = 10

// restoreOneIn is the share of the steps of the injector at which the store is restored from a
// copy.
const restoreOneIn = 8

// plannedEvents are the events that are no faults: the guarantees hold while they last.
var plannedEvents = []string{reloadEvent, "release", "move-route", "withdraw-key", "zone-out", "stop", "store-compact"}

// deploymentEvents are the events that concern no single host.
var deploymentEvents = []string{"store-busy", "store-silent", "store-compact", "move-route", "zone-out"}

// run starts random events for the given time, and waits until all are over.
func (injector *faultInjector) run(ctx context.Context, duration time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		if injector.outages.IntN(outageOneIn) == 0 {
			injector.storeOutage(ctx)
		}
		if injector.restores.IntN(restoreOneIn) == 0 {
			lost := time.Duration(injector.restores.IntN(3000)) * time.Millisecond
			random := rand.New(rand.NewPCG(injector.restores.Uint64(), 4))
			running.Go(func() { injector.restoreStore(ctx, lost, random) })
		}
		e := events[injector.random.IntN(len(events))]
		host := injector.random.IntN(len(injector.deployment.hosts))
		eventDuration := time.Duration(300+injector.random.IntN(3200)) * time.Millisecond
		gap := time.Duration(50+injector.random.IntN(1500)) * time.Millisecond
		if longGap := injector.random.IntN(6) == 0; longGap {
			gap += undisturbedWindow + maxConfigDelay
		}
		running.Go(func() { injector.runEvent(ctx, e, eventDuration, host) })
		flow.Sleep(ctx, gap)
	}
}

// runEvent runs one event, unless another one runs on the same target.
func (injector *faultInjector) runEvent(ctx context.Context, e event, duration time.Duration, host int) {
	target := fmt.Sprint("host-", host)
	if slices.Contains(deploymentEvents, e.name) || e.name == reloadEvent {
		target = e.name
	}
	if _, busy := injector.busyTargets.LoadOrStore(target, true); busy {
		return
	}
	defer injector.busyTargets.Delete(target)
	injector.deployment.logf("host %d: %s for %v", host, e.name, duration)
	if slices.Contains(plannedEvents, e.name) {
		e.run(injector, ctx, duration, host)
		return
	}
	done := injector.deployment.history.beginFault()
	e.run(injector, ctx, duration, host)
	done()
	injector.deployment.logf("host %d: %s is over", host, e.name)
}

// storeOutage silences the store for some seconds. Some daemons restart meanwhile, and
// changes queue that are published one after the other once it is back. It may come back from
// a copy of the beginning of the outage, after several eras.
func (injector *faultInjector) storeOutage(ctx context.Context) {
	dep := injector.deployment
	length := time.Duration(2000+injector.outages.IntN(7000)) * time.Millisecond
	dep.logf("the store is silent for %v", length)
	done := dep.history.beginFault()
	from, eras := dep.store.Copy(), injector.restores.IntN(4)
	dep.store.SetMode(emulator.Silent)
	var restarts sync.WaitGroup
	for h := range dep.hosts {
		down := time.Duration(injector.outages.Int64N(int64(length)))
		if injector.outages.IntN(2) == 0 {
			continue
		}
		target := fmt.Sprint("host-", h)
		if _, busy := injector.busyTargets.LoadOrStore(target, true); busy {
			continue
		}
		restarts.Go(func() {
			defer injector.busyTargets.Delete(target)
			dep.hosts[h].daemon.kill()
			flow.Sleep(ctx, down)
			dep.logf("host %d: started after %v", h, down)
			injector.restartDaemon(h)
		})
	}
	flow.Sleep(ctx, length)
	restarts.Wait()
	for range eras {
		dep.store.Restore(from)
	}
	dep.store.SetMode(emulator.Serving)
	done()
	dep.logf("the store is back after %d restores", eras)
	var writers sync.WaitGroup
	defer writers.Wait()
	if eras > 0 {
		random := rand.New(rand.NewPCG(injector.restores.Uint64(), 5))
		writers.Go(func() { dep.publishAgain(ctx, random) })
	}
	for range 1 + injector.outages.IntN(4) {
		flow.Sleep(ctx, time.Duration(injector.outages.IntN(400))*time.Millisecond)
		injector.changeRoute()
	}
	flow.Sleep(ctx, undisturbedWindow+maxConfigDelay)
}

// breakLink sets a fault on one of a host's links for the given time.
func (injector *faultInjector) breakLink(ctx context.Context, duration time.Duration, host int, direction interrupter.Direction, fault interrupter.Fault) {
	kind := []string{"data", "peer", "store"}[duration.Milliseconds()%3]
	link := injector.deployment.links.Link(linkName(kind, host))
	injector.deployment.logf("host %d: link %s", host, kind)
	if err := link.Set(direction, fault); err != nil {
		injector.deployment.logf("host %d: link %s: %v", host, kind, err)
		return
	}
	flow.Sleep(ctx, duration)
	if err := link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass}); err != nil {
		injector.deployment.logf("host %d: link %s: %v", host, kind, err)
	}
}

// setStoreMode sets the store's mode for the given time.
func (injector *faultInjector) setStoreMode(ctx context.Context, duration time.Duration, mode emulator.Mode) {
	injector.deployment.store.SetMode(mode)
	flow.Sleep(ctx, duration)
	injector.deployment.store.SetMode(emulator.Serving)
}

func (injector *faultInjector) restartDaemon(host int) {
	if err := injector.deployment.hosts[host].daemon.start(); err != nil {
		injector.deployment.logf("host %d: %v", host, err)
	}
}

// stopDaemon performs a planned stop of a daemon and starts it again.
func (injector *faultInjector) stopDaemon(host int) {
	d := injector.deployment.hosts[host].daemon
	began := time.Now()
	d.signal(syscall.SIGTERM)
	inTime := d.wait(stopGrace + time.Second)
	injector.deployment.history.addStop(host, began, time.Now(), inTime, d.exitStatus())
	injector.restartDaemon(host)
}

// replaceBackend replaces a backend server as a release does: the old process drains and
// ends.
func (injector *faultInjector) replaceBackend(ctx context.Context, host int) {
	dep := injector.deployment
	backend := dep.hosts[host].backend
	dep.store.PutServer(backend.serverEntry(true))
	dep.history.addDrain(backend.serverEntry(true).ID, time.Now())
	flow.Sleep(ctx, maxDrainDelay+time.Second)
	old := backend.replaceProcess(fmt.Sprintf("server-%d-%d", host, dep.lastGeneration.Add(1)))
	dep.store.DeleteServer(old)
	dep.store.PutServer(backend.serverEntry(false))
}

// changeRoute changes the service of the route "read" to the other one.
func (injector *faultInjector) changeRoute() {
	dep := injector.deployment
	dep.publishing.Lock()
	defer dep.publishing.Unlock()
	dep.mu.Lock()
	defer dep.mu.Unlock()
	route := &dep.configuration.Routes[0]
	to := services[0]
	if route.Split[0].Service == to {
		to = services[1]
	}
	route.Split = []flow.WeightedService{{Service: to, Weight: 1}}
	dep.publish()
	dep.history.addRouteChange(to, time.Now())
}

// withdrawKey replaces a customer's key. Callers go on using the old key for some seconds.
func (injector *faultInjector) withdrawKey(ctx context.Context, customer int) {
	dep := injector.deployment
	dep.publishing.Lock()
	dep.mu.Lock()
	old := dep.configuration.Customers[customer].Keys[0]
	dep.configuration.Customers[customer].Keys = nil
	dep.addKey(customer)
	dep.publish()
	dep.history.addKeyWithdrawal(old, time.Now())
	dep.mu.Unlock()
	dep.publishing.Unlock()
	flow.Sleep(ctx, 2*maxConfigDelay+undisturbedWindow)
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.keys = slices.DeleteFunc(dep.keys, func(key string) bool { return key == old })
}

// takeZoneOut takes an availability zone out of service and puts it back.
func (injector *faultInjector) takeZoneOut(ctx context.Context, duration time.Duration) {
	dep := injector.deployment
	zone := dep.hosts[duration.Milliseconds()%int64(len(dep.hosts))].zone
	dep.store.SetZoneOut(zone, true)
	began := time.Now()
	flow.Sleep(ctx, maxZoneOutDelay+duration)
	dep.history.addZoneOutage(zone, began, time.Now())
	dep.store.SetZoneOut(zone, false)
}
