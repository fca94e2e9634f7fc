// The faults and the planned work, each with the time for which it lasts.

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

// breaker does what a seed says.
type breaker struct {
	world  *world
	random *rand.Rand
	busy   sync.Map // what is broken already, so that faults on one thing take turns
}

// event is one fault or piece of planned work. do returns when it is over.
type event struct {
	name string
	do   func(b *breaker, ctx context.Context, span time.Duration, host int)
}

// reloadEvent is the event that changes nothing of a host: it comes at any moment,
// also while the host's daemon stops or is broken otherwise.
const reloadEvent = "hup"

// settledAge is the age of a process from which it has surely set up its signals.
const settledAge = time.Second

var events = []event{
	{"delay", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.link(ctx, span, h, interrupter.Both, interrupter.Fault{Kind: interrupter.Pass, Delay: 120 * time.Millisecond, Jitter: 80 * time.Millisecond})
	}},
	{"cut", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.link(ctx, span, h, interrupter.Both, interrupter.Fault{Kind: interrupter.Cut})
	}},
	{"one-way", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.link(ctx, span, h, interrupter.Backward, interrupter.Fault{Kind: interrupter.Swallow})
	}},
	{"other-way", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.link(ctx, span, h, interrupter.Forward, interrupter.Fault{Kind: interrupter.Swallow})
	}},
	{"hold", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.link(ctx, span, h, interrupter.Both, interrupter.Fault{Kind: interrupter.Hold})
	}},
	{"reset", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.link(ctx, span, h, interrupter.Backward, interrupter.Fault{Kind: interrupter.Reset, Bytes: 2000})
	}},
	{"silence", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		for _, kind := range []string{"data", "peer", "store"} {
			b.world.links.Link(linkName(kind, h)).SilenceOpen()
		}
		flow.Sleep(ctx, span)
	}},
	{"store-busy", func(b *breaker, ctx context.Context, span time.Duration, _ int) {
		b.storeMode(ctx, span, emulator.Busy)
	}},
	{"store-silent", func(b *breaker, ctx context.Context, span time.Duration, _ int) {
		b.storeMode(ctx, span, emulator.Silent)
	}},
	{"store-compact", func(b *breaker, _ context.Context, _ time.Duration, _ int) { b.world.store.Compact() }},
	{"kill", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.world.hosts[h].daemon.kill()
		flow.Sleep(ctx, span/4)
		b.restart(h)
	}},
	{"pause", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		b.world.hosts[h].daemon.signal(syscall.SIGSTOP)
		flow.Sleep(ctx, span)
		b.world.hosts[h].daemon.signal(syscall.SIGCONT)
	}},
	{"stop", func(b *breaker, _ context.Context, _ time.Duration, h int) { b.stop(h) }},
	{reloadEvent, func(b *breaker, _ context.Context, _ time.Duration, h int) {
		if d := b.world.hosts[h].daemon; d.age() > settledAge {
			d.signal(syscall.SIGHUP)
		}
	}},
	{"gray", func(b *breaker, ctx context.Context, span time.Duration, h int) {
		modes := []gray{errors500, hanging, resetting, shedding, cutting, extra, slow}
		mode := modes[span.Milliseconds()%int64(len(modes))]
		b.world.note("host %d: backend server is gray: %s", h, mode)
		b.world.hosts[h].backend.setMode(mode)
		flow.Sleep(ctx, span)
		b.world.hosts[h].backend.setMode(sound)
	}},
	{"release", func(b *breaker, ctx context.Context, _ time.Duration, h int) { b.release(ctx, h) }},
	{"move-route", func(b *breaker, _ context.Context, _ time.Duration, _ int) { b.moveRoute() }},
	{"withdraw-key", func(b *breaker, ctx context.Context, _ time.Duration, h int) { b.withdrawKey(ctx, h%2) }},
	{"zone-out", func(b *breaker, ctx context.Context, span time.Duration, _ int) { b.zoneOut(ctx, span) }},
}

// planned are the events that disturb nothing: bounds hold while they last.
var planned = []string{reloadEvent, "release", "move-route", "withdraw-key", "zone-out", "stop", "store-compact"}

// shared are the events that concern no single host.
var shared = []string{"store-busy", "store-silent", "store-compact", "move-route", "zone-out"}

// run plays events until the time is over, and waits for their ends.
func (b *breaker) run(ctx context.Context, span time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		e := events[b.random.IntN(len(events))]
		host := b.random.IntN(len(b.world.hosts))
		lasts := time.Duration(300+b.random.IntN(3200)) * time.Millisecond
		gap := time.Duration(50+b.random.IntN(1500)) * time.Millisecond
		if quiet := b.random.IntN(6) == 0; quiet {
			gap += touchWindow + configBound
		}
		running.Go(func() { b.play(ctx, e, lasts, host) })
		flow.Sleep(ctx, gap)
	}
}

// play plays one event, unless another has hold of the same thing.
func (b *breaker) play(ctx context.Context, e event, span time.Duration, host int) {
	thing := fmt.Sprint("host-", host)
	if slices.Contains(shared, e.name) || e.name == reloadEvent {
		thing = e.name
	}
	if _, taken := b.busy.LoadOrStore(thing, true); taken {
		return
	}
	defer b.busy.Delete(thing)
	b.world.note("host %d: %s for %v", host, e.name, span)
	if slices.Contains(planned, e.name) {
		e.do(b, ctx, span, host)
		return
	}
	done := b.world.facts.disturb()
	e.do(b, ctx, span, host)
	done()
	b.world.note("host %d: %s is over", host, e.name)
}

// link breaks one of a host's links.
func (b *breaker) link(ctx context.Context, span time.Duration, host int, direction interrupter.Direction, fault interrupter.Fault) {
	kind := []string{"data", "peer", "store"}[span.Milliseconds()%3]
	link := b.world.links.Link(linkName(kind, host))
	b.world.note("host %d: link %s", host, kind)
	if err := link.Set(direction, fault); err != nil {
		b.world.note("host %d: link %s: %v", host, kind, err)
		return
	}
	flow.Sleep(ctx, span)
	if err := link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass}); err != nil {
		b.world.note("host %d: link %s: %v", host, kind, err)
	}
}

func (b *breaker) storeMode(ctx context.Context, span time.Duration, mode emulator.Mode) {
	b.world.store.SetMode(mode)
	flow.Sleep(ctx, span)
	b.world.store.SetMode(emulator.Serving)
}

func (b *breaker) restart(host int) {
	if err := b.world.hosts[host].daemon.start(); err != nil {
		b.world.note("host %d: %v", host, err)
	}
}

// stop stops a daemon by plan and starts it again.
func (b *breaker) stop(host int) {
	d := b.world.hosts[host].daemon
	began := time.Now()
	d.signal(syscall.SIGTERM)
	inTime := d.wait(stopGrace + time.Second)
	b.world.facts.stopped(host, began, time.Now(), inTime, d.ending())
	b.restart(host)
}

// release replaces a backend server: the old process drains and ends.
func (b *breaker) release(ctx context.Context, host int) {
	w := b.world
	backend := w.hosts[host].backend
	w.store.PutServer(backend.entry(true))
	w.facts.drained(backend.entry(true).ID, time.Now())
	flow.Sleep(ctx, drainBound+time.Second)
	old := backend.replace(fmt.Sprintf("server-%d-%d", host, w.nextID.Add(1)))
	w.store.DeleteServer(old)
	w.store.PutServer(backend.entry(false))
}

// moveRoute moves a route to the other service.
func (b *breaker) moveRoute() {
	w := b.world
	w.mu.Lock()
	defer w.mu.Unlock()
	route := &w.configuration.Routes[0]
	to := services[0]
	if route.Split[0].Service == to {
		to = services[1]
	}
	route.Split = []flow.WeightedService{{Service: to, Weight: 1}}
	w.publish()
	w.facts.moved(to, time.Now())
}

// withdrawKey replaces a customer's key, and stops its use some seconds later.
func (b *breaker) withdrawKey(ctx context.Context, customer int) {
	w := b.world
	w.mu.Lock()
	old := w.configuration.Customers[customer].Keys[0]
	w.configuration.Customers[customer].Keys = nil
	w.addKey(customer)
	w.publish()
	w.facts.withdrawn(old, time.Now())
	w.mu.Unlock()
	flow.Sleep(ctx, 2*configBound+touchWindow)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = slices.DeleteFunc(w.keys, func(key string) bool { return key == old })
}

// zoneOut takes an availability zone out of service and back.
func (b *breaker) zoneOut(ctx context.Context, span time.Duration) {
	w := b.world
	zone := w.hosts[span.Milliseconds()%int64(len(w.hosts))].zone
	w.store.SetZoneOut(zone, true)
	began := time.Now()
	flow.Sleep(ctx, zoneOutBound+span)
	w.facts.zoneWasOut(zone, began, time.Now())
	w.store.SetZoneOut(zone, false)
}
