// The observer sees real time and every process, and knows what must hold.

package modelchecker

import (
	"fmt"
	"maps"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// tenure is what the observer saw of the last holder of a thing.
type tenure struct {
	holder   *process
	lastHeld flow.Time
}

type observer struct {
	world     *world
	settledAt []settledAt
	tenures   map[string]tenure
	handed    map[string][2]*process // from whom to whom a thing was handed over last
	counts    map[string]int         // how often something happened, to see that schedules reach it
}

// settledAt is when a revision was first seen settled by anyone.
type settledAt struct {
	revision flow.Revision
	at       flow.Time
}

func newObserver(w *world) observer {
	return observer{
		world:   w,
		tenures: map[string]tenure{},
		handed:  map[string][2]*process{},
		counts:  map[string]int{},
	}
}

func (o *observer) settled(revision flow.Revision) {
	if len(o.settledAt) == 0 || revision > o.settledAt[len(o.settledAt)-1].revision {
		o.settledAt = append(o.settledAt, settledAt{revision, o.world.now})
	}
}

func (o *observer) count(what string) { o.counts[what]++ }

func (o *observer) handOver(what, thing string, from, to *process) {
	o.count(what)
	o.handed[thing] = [2]*process{from, to}
}

// acting reports whether a process's traffic goes on now, by the deadline that
// it last computed.
func (o *observer) acting(p *process) bool {
	return !p.dead && o.world.local(p) < p.status.LeaseUntil
}

// look looks at every process.
func (o *observer) look() {
	for _, host := range slices.Sorted(maps.Keys(o.world.processes)) {
		o.lookAt(o.world.processes[host])
	}
}

// lookAt checks what one process may do now.
func (o *observer) lookAt(p *process) {
	if !o.acting(p) || o.world.broken != nil {
		return
	}
	if required := o.requiredRevision(); p.status.Applied < required {
		o.world.broken = fmt.Errorf("%d ms: %s acts on revision %d, but %d was settled", o.world.now, p.host, p.status.Applied, required)
		return
	}
	for _, thing := range things {
		if err := o.lookAtThing(p, thing); err != nil {
			o.world.broken = err
			return
		}
	}
}

// requiredRevision returns the highest revision that was settled more than the
// lease time ago.
func (o *observer) requiredRevision() flow.Revision {
	required := flow.Revision(0)
	for _, s := range o.settledAt {
		if s.at >= o.world.now.Add(-leaseTime) {
			break
		}
		required = s.revision
	}
	return required
}

// lookAtThing checks one thing: a new holder starts only after the grants of the
// last one ran out, or after a hand-over from it.
func (o *observer) lookAtThing(p *process, thing string) error {
	held, ok := o.world.fault.holds(o.world, p, thing)
	if !ok || p.stopping {
		return nil
	}
	now, last := o.world.now, o.tenures[thing]
	if last.holder != nil && last.holder != p {
		handed := o.handed[thing] == [2]*process{last.holder, p}
		if !handed && now < last.lastHeld.Add(grantTime) {
			return fmt.Errorf("%d ms: %s holds %s, but %s held it at %d ms", now, p.host, thing, last.holder.host, last.lastHeld)
		}
		if since := held.Since - p.offset; since < last.lastHeld {
			return fmt.Errorf("%d ms: %s holds %s since %d ms, but %s held it at %d ms", now, p.host, thing, since, last.holder.host, last.lastHeld)
		}
	}
	if last.holder != p {
		o.count("new holder")
	}
	o.tenures[thing] = tenure{holder: p, lastHeld: now}
	return nil
}

// served checks that all listed hosts act and all things are held.
func (o *observer) served() error {
	for _, name := range o.world.newest().list.Names {
		p := o.world.processes[name]
		if !o.acting(p) {
			return fmt.Errorf("%w: %s does not act: %+v", ErrNotServed, name, p.status)
		}
	}
	for _, thing := range things {
		if o.world.now-o.tenures[thing].lastHeld > lookInterval {
			return fmt.Errorf("%w: nobody holds %s since %d ms", ErrNotServed, thing, o.tenures[thing].lastHeld)
		}
	}
	return nil
}
