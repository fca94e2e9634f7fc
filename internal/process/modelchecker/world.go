// The world: processes with their own clocks, a network that loses, delays and
// reorders, and a platform that orders revisions.

package modelchecker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	leaseTime  = 3 * time.Second
	interval   = 250 * time.Millisecond
	grantTime  = time.Second
	maxCession = 8 * time.Second
	margin     = 20 * time.Millisecond
)

var things = []string{"rate/a/0", "rate/b/0", "service/ledger", "idempotency/k"}

// config is one revision on the platform.
type config struct {
	revision flow.Revision
	list     prover.MemberList
}

type process struct {
	host        string
	incarnation uint64
	offset      flow.Time // own clock minus real time
	prover      *prover.Prover
	placer      *placer.Placer
	applied     config
	status      prover.Status // as of the last look; traffic goes by its deadline
	owned       map[string]bool
	pausedUntil flow.Time
	dead        bool
	stopping    bool
}

type world struct {
	now       flow.Time
	random    *rand.Rand
	queue     eventQueue
	sequence  int
	processes map[string]*process
	history   []config
	cuts      map[[2]string]flow.Time // until when messages from one host to another are lost
	blind     map[string]flow.Time    // until when a host learns of no configuration
	noisy     flow.Time               // until when messages are lost and late
	fault     mutation
	observer  observer
	broken    error // the first broken promise
}

func newWorld(s schedule, fault mutation) *world {
	w := &world{
		random:    newRandom(s.Seed),
		processes: map[string]*process{},
		cuts:      map[[2]string]flow.Time{},
		blind:     map[string]flow.Time{},
		fault:     fault,
	}
	w.observer = newObserver(w)
	names := []string{}
	for i := range s.Hosts {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	w.history = []config{{1, prover.NewMemberList(1, names)}}
	for _, name := range names {
		w.start(name)
	}
	return w
}

func (w *world) newest() config { return w.history[len(w.history)-1] }

func (w *world) start(host string) {
	offset := flow.Time(w.random.IntN(1_000_000))
	p := &process{host: host, incarnation: w.random.Uint64(), offset: offset, owned: map[string]bool{}}
	started := w.now + offset
	settings := prover.Settings{
		Host: host, Incarnation: p.incarnation, Started: started, LeaseTime: leaseTime,
		FirstStartWait: 2 * leaseTime, Fanout: 2, Random: newRandom(w.random.Uint64()),
	}
	placing := placer.Settings{
		Host: host, Incarnation: p.incarnation, Started: started, LeaseTime: leaseTime,
		Margin: margin, MaxCession: maxCession, Retention: time.Hour,
	}
	w.fault.settings(&settings, &placing)
	p.prover, p.placer = prover.New(settings), placer.New(placing)
	p.status.LeaseUntil = flow.Never
	w.processes[host] = p
	w.after(flow.Time(w.random.IntN(250)), func() { w.tick(p) })
}

// -----------------------------------------------------------------------------

type event struct {
	at       flow.Time
	sequence int
	run      func()
}

type eventQueue []event

// Len is that of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, and those of one time as they were added.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap is that of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is that of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is that of heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) after(delay flow.Time, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + delay, w.sequence, run})
}

// lookInterval is the longest time between two looks of the observer at
// everything, in milliseconds.
const lookInterval = 25

// runUntil runs all events before a time. It stops at the first broken promise.
func (w *world) runUntil(end flow.Time) error {
	next := w.now
	for w.now < end && w.broken == nil {
		if w.now >= next {
			w.observer.look()
			next = w.now + lookInterval
		}
		if len(w.queue) > 0 && w.queue[0].at <= min(next, end) {
			e := heap.Pop(&w.queue).(event)
			w.now = max(w.now, e.at)
			e.run()
		} else {
			w.now = min(next, end)
		}
	}
	return w.broken
}

// -----------------------------------------------------------------------------

// on runs something in a process, once it is not paused.
func (w *world) on(p *process, run func()) {
	switch {
	case p.dead:
	case w.now < p.pausedUntil:
		w.after(p.pausedUntil-w.now+flow.Time(w.random.IntN(5)), func() { w.on(p, run) })
	default:
		w.observer.lookAt(p) // by its old beliefs
		run()
		w.look(p)
		w.observer.lookAt(p)
	}
}

// send carries something to whatever process runs on a host when it arrives.
func (w *world) send(from, to string, arrive func(p *process)) {
	delay := flow.Time(1 + w.random.IntN(4))
	if w.now < w.noisy {
		if w.random.Float64() < 0.3 {
			return
		}
		if w.random.Float64() < 0.3 {
			delay = flow.Time(w.random.IntN(8000))
		}
	}
	if w.now < w.cuts[[2]string{from, to}] {
		return
	}
	w.after(delay, func() {
		if p := w.processes[to]; p != nil {
			w.on(p, func() { arrive(p) })
		}
	})
}

// reply carries something back to the very process that asked.
func (w *world) reply(from string, to *process, arrive func()) {
	w.send(from, to.host, func(p *process) {
		if p == to {
			arrive()
		}
	})
}

func (w *world) local(p *process) flow.Time { return w.now + p.offset }

// look brings a process's beliefs up to now.
func (w *world) look(p *process) {
	w.fault.look(w, p)
	p.status = p.prover.Status(w.local(p))
	p.placer.Update(w.local(p), p.prover.Versions())
	w.observer.settled(p.status.Settled)
}

// -----------------------------------------------------------------------------

func (w *world) tick(p *process) {
	w.on(p, func() {
		w.readPlatform(p)
		w.heartbeat(p)
		w.own(p)
	})
	if !p.dead {
		w.after(flow.Time(interval.Milliseconds()), func() { w.tick(p) })
	}
}

func (w *world) readPlatform(p *process) {
	if w.now >= w.blind[p.host] {
		w.apply(p, w.newest())
	}
}

func (w *world) apply(p *process, c config) {
	if c.revision <= p.applied.revision {
		return
	}
	p.applied = c
	p.prover.SetMembers(w.local(p), c.list)
	p.prover.SetApplied(w.local(p), c.revision, c.revision)
}

func (w *world) heartbeat(p *process) {
	targets := p.prover.Targets(w.local(p))
	if len(targets) == 0 {
		targets = []string{"h0", "h1"}
	}
	for _, target := range targets {
		sentAt := w.local(p)
		request := p.prover.Request(sentAt)
		w.fault.request(&request)
		w.send(p.host, target, func(peer *process) {
			answer := peer.prover.Answer(w.local(peer), request)
			delta := peer.applied
			w.reply(target, p, func() { w.observe(p, sentAt, target, answer, delta) })
		})
	}
}

func (w *world) observe(p *process, sentAt flow.Time, target string, answer prover.Answer, delta config) {
	sentAt = w.fault.answer(w, p, sentAt, &answer)
	heard := p.prover.Observe(w.local(p), sentAt, answer)
	if w.now >= w.blind[p.host] && w.random.Float64() < 0.7 {
		w.apply(p, delta)
	}
	if len(heard.Missing) == 0 {
		return
	}
	w.send(p.host, target, func(peer *process) {
		lists := peer.prover.Lists(heard.Missing)
		w.reply(target, p, func() {
			for _, list := range lists {
				p.prover.Learn(list)
			}
		})
	})
}

// -----------------------------------------------------------------------------

// own does the work of ownership: cessions of what a newer list moves, and
// claims.
func (w *world) own(p *process) {
	for _, thing := range things {
		owner, _ := p.placer.Owner(thing)
		if p.owned[thing] && (p.stopping || owner != p.host) {
			w.cede(p, thing)
		}
		_, p.owned[thing] = p.placer.Holds(w.local(p), thing, grantTime)
		for _, host := range w.fault.claims(w, p, thing) {
			w.claim(p, host, thing)
		}
	}
}

func (w *world) cede(p *process, thing string) {
	cession, ok := p.placer.Cede(w.local(p), thing, grantTime, func(host string) (flow.Time, uint64, bool) {
		return p.prover.PeerClock(w.local(p), host)
	})
	if !ok {
		return
	}
	w.fault.cession(&cession)
	for range 2 {
		w.send(p.host, cession.ToHost, func(peer *process) {
			if peer.placer.Accept(w.local(peer), cession) == placer.CessionAccepted {
				w.observer.handOver("cession", thing, p, peer)
			}
		})
	}
}

func (w *world) claim(p *process, host, thing string) {
	sentAt := w.local(p)
	claim := p.placer.Claim(thing)
	w.send(p.host, host, func(peer *process) {
		answer := peer.placer.AnswerClaim(w.local(peer), claim, grantTime, 0, 0)
		w.reply(host, p, func() {
			if p.placer.ObserveClaim(w.local(p), sentAt, host, thing, answer) {
				w.observer.handOver("handed back", thing, peer, p)
			}
		})
	})
}

// -----------------------------------------------------------------------------

// inForce returns every list that some process still counts quorums in, and
// the newest.
func (w *world) inForce() []prover.MemberList {
	lists := []prover.MemberList{w.newest().list}
	for _, p := range w.processes {
		for _, v := range p.prover.Versions() {
			if !p.dead && v.Phase != prover.PhaseDropped {
				lists = append(lists, v.List)
			}
		}
	}
	return lists
}

// mayLose reports whether less than a settle quorum of every list in force is
// without memory when these hosts are.
func (w *world) mayLose(lists []prover.MemberList, hosts ...string) bool {
	for _, list := range lists {
		lost := 0
		for _, name := range list.Names {
			p := w.processes[name]
			if p == nil || p.dead || p.stopping || p.status.Standing != prover.StandingMember || slices.Contains(hosts, name) {
				lost++
			}
		}
		if lost > len(list.Names)-len(list.Names)/2-1 {
			return false
		}
	}
	return true
}
