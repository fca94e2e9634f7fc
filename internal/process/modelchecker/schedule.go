// Schedules of faults, drawn at random and carried out in a world.

package modelchecker

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

type action int

const (
	publish action = iota // a revision that leaves the list alone
	changeList
	pause
	crash
	stop
	cutOneWay
	isolate    // one host, both ways, and from the platform
	partition  // a set of hosts from the rest, and from the platform
	splitMove  // one host or half of them cut off, and about then a list without one of these
	moveSplit  // half of the hosts cut off while a new list goes through, and a revision
	lateSplit  // a host is isolated while answers to it are late, and a revision follows
	amnesia    // a host shows a new revision, then crashes into a partition and is back at once
	lateStop   // a planned stop whose messages are late, and a quick restart
	quickLists // three changes of the list at once
	blindness  // one host learns of no configuration, from the platform or from peers
	noise
	actions
)

var actionNames = [actions]string{
	"publish", "change-list", "pause", "crash", "stop", "cut-one-way", "isolate", "partition", "split-move",
	"move-split", "late-split", "amnesia", "late-stop", "quick-lists", "blindness", "noise",
}

// String returns the action's name.
func (a action) String() string { return actionNames[a] }

type step struct {
	Wait   int // ms since the step before
	Action action
	Target int // picks the host
	Mask   int // picks a set of hosts
	Long   int // ms that the fault lasts
}

type schedule struct {
	Seed  uint64
	Hosts int
	Early bool // the faults begin during the first start of the fleet
	Steps []step
}

// The parts of a run beside its steps, in milliseconds.
const (
	warmUp    = 14_000 // the first start of the fleet
	afterLast = 8_000  // after the last step
	healTime  = 30_000 // the bound within which a healed network must serve again
)

// newSchedule draws a schedule of the given actions, of all when there are none.
func newSchedule(seed uint64, of []action) schedule {
	if len(of) == 0 {
		for a := range actions {
			of = append(of, a)
		}
	}
	random := newRandom(seed)
	s := schedule{Seed: random.Uint64(), Hosts: 3 + random.IntN(5), Early: random.IntN(5) == 0}
	for range 3 + random.IntN(18) {
		s.Steps = append(s.Steps, newStep(random.Uint64(), of))
	}
	return s
}

// without returns the schedule without one step.
func (s schedule) without(i int) schedule {
	s.Steps = slices.Delete(slices.Clone(s.Steps), i, i+1)
	return s
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, ^seed)) }

func newStep(seed uint64, of []action) step {
	random := newRandom(seed)
	short := random.IntN(2) == 0
	s := step{
		Wait:   random.IntN(5000),
		Action: of[random.IntN(len(of))],
		Target: random.IntN(1000),
		Mask:   random.IntN(1024),
		Long:   400 + random.IntN(12_000),
	}
	if short {
		s.Wait %= 300
	}
	if random.IntN(3) == 0 {
		s.Long %= 400
	}
	return s
}

// run carries out a schedule, heals the network and returns what went wrong.
func (s schedule) run(w *world) error {
	if err := s.runFaults(w); err != nil {
		return err
	}
	w.heal()
	if err := w.runUntil(w.now + healTime); err != nil {
		return err
	}
	return w.observer.served()
}

// runFaults carries out a schedule and returns the first broken promise.
func (s schedule) runFaults(w *world) error {
	if !s.Early {
		if err := w.runUntil(warmUp); err != nil {
			return err
		}
	}
	for _, next := range s.Steps {
		if err := w.runUntil(w.now + flow.Time(next.Wait)); err != nil {
			return err
		}
		w.do(next)
	}
	return w.runUntil(w.now + afterLast)
}

func (w *world) do(s step) {
	names := w.newest().list.Names
	host := names[s.Target%len(names)]
	until := w.now + flow.Time(s.Long)
	switch s.Action {
	case publish:
		w.publish(w.newest().list)
	case changeList:
		w.changeList(s)
	case pause:
		w.processes[host].pausedUntil = until
	case crash:
		w.crash(host, flow.Time(s.Long))
	case stop:
		w.stop(host, flow.Time(s.Long))
	case cutOneWay:
		w.cuts[[2]string{host, names[s.Mask%len(names)]}] = until
	case isolate:
		w.partition([]string{host}, until)
	case partition:
		w.partition(w.masked(s.Mask), until)
	case splitMove:
		inside := w.some(host, s.Mask, 1+s.Mask%2*(len(names)/2-1))
		w.blindAll(inside, until)
		w.after(flow.Time(s.Target%700), func() { w.partition(inside, until) })
		w.after(flow.Time(s.Long%700), func() { w.changeList(step{Mask: 0, Target: s.Target}) })
	case moveSplit:
		w.moveSplit(host, s, until)
	case lateSplit:
		w.noisy = w.now + 1000
		w.blindAll([]string{host}, until)
		w.after(600, func() { w.partition([]string{host}, until) })
		w.after(650, func() { w.publish(w.newest().list) })
	case amnesia:
		w.amnesia(host, s)
	case lateStop:
		w.noisy = w.now + 1000
		w.stop(host, flow.Time(s.Long%400))
	case quickLists:
		for i := range 3 {
			w.changeList(step{Mask: s.Mask + i, Target: s.Target + s.Mask*i})
		}
	case blindness:
		w.blindAll([]string{host}, until)
	case noise:
		w.noisy = until
	}
}

func (w *world) masked(mask int) []string {
	var hosts []string
	for i, name := range w.newest().list.Names {
		if mask&(1<<i) != 0 {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// some returns a host and others of the newest list, so many in all.
func (w *world) some(host string, from, hosts int) []string {
	names := w.newest().list.Names
	set := []string{host}
	for i := 0; len(set) < hosts; i++ {
		if name := names[(from+i)%len(names)]; name != host {
			set = append(set, name)
		}
	}
	return set
}

// partition cuts a set of hosts off from all others and from the platform.
func (w *world) partition(hosts []string, until flow.Time) {
	w.blindAll(hosts, until)
	for _, inside := range hosts {
		for outside := range w.processes {
			if !slices.Contains(hosts, outside) {
				w.cuts[[2]string{inside, outside}] = until
				w.cuts[[2]string{outside, inside}] = until
			}
		}
	}
}

func (w *world) blindAll(hosts []string, until flow.Time) {
	for _, host := range hosts {
		w.blind[host] = until
	}
}

// amnesia isolates one host less than can act. One more host shows a new
// revision to the rest, loses its memory, and comes back among the isolated.
func (w *world) amnesia(host string, s step) {
	inside := w.some(host, s.Mask, (len(w.newest().list.Names)+1)/2)
	until := w.now + 14_000
	w.blindAll(inside, until)
	w.partition(inside[1:], until)
	w.publish(w.newest().list)
	w.apply(w.processes[host], w.newest())
	w.after(flow.Time(100+s.Mask%400), func() {
		w.partition(inside, until)
		for _, name := range inside[1:] {
			delete(w.cuts, [2]string{host, name})
			delete(w.cuts, [2]string{name, host})
		}
		w.crash(host, flow.Time(s.Long%100))
	})
}

// moveSplit changes the list, cuts half of the hosts off while the change goes
// through, and publishes a revision to the others.
func (w *world) moveSplit(host string, s step, until flow.Time) {
	inside := w.some(host, s.Mask, len(w.newest().list.Names)/2)
	w.changeList(step{Mask: 3 * (s.Mask % 2), Target: s.Target})
	w.after(flow.Time(s.Mask*2), func() { w.partition(inside, until) })
	w.after(flow.Time(s.Mask*2+s.Target), func() { w.publish(w.newest().list) })
}

// -----------------------------------------------------------------------------

func (w *world) publish(list prover.MemberList) {
	w.history = append(w.history, config{w.newest().revision + 1, list})
}

// changeList adds, removes or replaces a host, or puts all others in place of
// a removed one, as long as enough hosts with memory are left.
func (w *world) changeList(s step) {
	names := slices.Clone(w.newest().list.Names)
	added := ""
	if s.Mask%3 != 0 && len(names) < 9 {
		added = fmt.Sprintf("h%d", 10+len(w.history))
		if s.Mask%2 == 0 {
			added = fmt.Sprintf("h%d", s.Mask%10)
		}
		names = append(names, added)
	}
	if s.Mask%3 != 1 && len(names) > 3 {
		i := s.Target % len(names)
		names = slices.Delete(names, i, i+1)
	}
	list := prover.NewMemberList(w.newest().revision+1, names)
	if list.Hash == w.newest().list.Hash || !w.mayLose(append(w.inForce(), list)) {
		return
	}
	w.publish(list)
	w.observer.count("list change")
	if p := w.processes[added]; added != "" && (p == nil || p.dead) {
		w.start(added)
	}
}

// crash ends a process at once and starts another on its host, if enough
// hosts with memory are left.
func (w *world) crash(host string, downtime flow.Time) {
	p := w.processes[host]
	if p.dead || p.stopping || !w.mayLose(w.inForce(), host) {
		return
	}
	w.end(p, downtime)
}

func (w *world) end(p *process, downtime flow.Time) {
	w.observer.count("restart")
	p.dead = true
	w.after(downtime, func() {
		if w.processes[p.host] == p {
			w.start(p.host)
		}
	})
}

// stop ends a process in a planned way: it cedes, and is gone soon after.
func (w *world) stop(host string, downtime flow.Time) {
	p := w.processes[host]
	if p.dead || p.stopping || !w.mayLose(w.inForce(), host) {
		return
	}
	p.stopping = true
	w.on(p, func() {
		p.prover.SetLeaving(true)
		w.own(p)
	})
	w.after(flow.Time(w.random.IntN(500)), func() {
		if !p.dead {
			w.end(p, downtime)
		}
	})
}

// heal ends all faults.
func (w *world) heal() {
	clear(w.cuts)
	clear(w.blind)
	w.noisy = 0
	for _, p := range w.processes {
		p.pausedUntil = 0
	}
}
