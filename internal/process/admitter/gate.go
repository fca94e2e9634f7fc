// The gate: which request starts, waits or is refused.

package admitter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	defaultQueueLength   = 32
	defaultQueueShare    = 0.5
	defaultTrialInterval = 250 * time.Millisecond

	queuePerSlot = 4                      // most requests waiting for each slot
	queueSpan    = 100 * time.Millisecond // time in which a queue beyond the given length has to move through

	limitPoll        = 20 * time.Millisecond // interval at which a waiting gate asks whether its limit has grown
	latencySmoothing = 0.1                   // weight of an answer in the smoothed latency
)

// Options describe one backend server and its gate. Zero values of the gate's
// own options stand for defaults.
type Options struct {
	Server         string
	Limiter        flow.Limiter
	Connections    int           // most connections open at once; 0 for no bound
	ConnectionCost time.Duration // server's time for opening one connection
	Slots          int           // requests that the server can run at once when warm; 0 when unknown
	QueueLength    int           // requests that may wait, however slowly the queue moves
	QueueShare     float64       // most of the queue that one customer may hold, from 0 to 1
	TrialInterval  time.Duration // least mean time between the starts of trial requests while ejected
}

// Entry is a request at the gate.
type Entry struct {
	ID       uint64 // unique among the requests waiting or in flight
	Customer string
	NotAfter flow.Time // latest start that the permit allows
	Deadline flow.Time // time by which the caller wants the answer; 0 for none
	MayTry   bool      // the request may be a trial at an ejected server, because it is idempotent
}

// latestStart is the last moment at which the entry may start.
func (e Entry) latestStart() flow.Time {
	if e.Deadline == 0 {
		return e.NotAfter
	}
	return min(e.NotAfter, e.Deadline-1)
}

// Decision is what becomes of an arriving request.
type Decision int

// The decisions.
const (
	DecisionRefused Decision = iota
	DecisionStart
	DecisionQueued
)

// Answer is the gate's answer to an arriving request.
type Answer struct {
	Decision Decision
	Reason   flow.Reason // why it was refused
	Load     float64     // see Gate.Load
	Moves    Moves       // what becomes of requests that were waiting
}

// Moves are requests that leave the queue. Each has to be acted on.
type Moves struct {
	Start   []uint64
	Refused []Refusal
}

// Refusal is a request that was waiting and did not run.
type Refusal struct {
	ID     uint64
	Reason flow.Reason
}

// Gate admits requests to one backend server.
type Gate struct {
	options   Options
	state     State
	flights   map[uint64]flight
	queue     queue
	window    window
	latency   time.Duration // smoothed latency of good answers
	trials    trials
	openings  openings
	refusals  uint64
	displaced uint64
}

type flight struct {
	customer *customer
	started  flow.Time
}

// New returns the gate of a server that is in service.
func New(options Options) *Gate {
	if options.QueueLength == 0 {
		options.QueueLength = defaultQueueLength
	}
	if options.QueueShare == 0 {
		options.QueueShare = defaultQueueShare
	}
	if options.TrialInterval == 0 {
		options.TrialInterval = defaultTrialInterval
	}
	return &Gate{
		options:  options,
		flights:  map[uint64]flight{},
		queue:    newQueue(options.QueueShare),
		trials:   trials{since: flow.Never, last: flow.Never},
		openings: newOpenings(options.Connections, options.ConnectionCost),
	}
}

// -----------------------------------------------------------------------------

// Arrive decides on a request that has come to the gate. An entry whose ID is
// already at the gate is refused as permit-invalid.
func (g *Gate) Arrive(now flow.Time, entry Entry) Answer {
	moves := g.Expire(now)
	decision, reason := g.admit(now, entry, &moves)
	if decision == DecisionRefused {
		g.refusals++
	}
	return Answer{Decision: decision, Reason: reason, Load: g.Load(now), Moves: moves}
}

func (g *Gate) admit(now flow.Time, entry Entry, moves *Moves) (Decision, flow.Reason) {
	if g.holds(entry.ID) {
		return DecisionRefused, flow.ReasonPermitInvalid
	}
	if now.After(entry.latestStart()) {
		return DecisionRefused, flow.ReasonPermitLate
	}
	switch g.state {
	case StateDraining, StateLeaving:
		return DecisionRefused, flow.ReasonLeaving
	case StateEjected:
		if !entry.MayTry || !g.mayTry(now) {
			return DecisionRefused, flow.ReasonEjected
		}
		g.spendTrial(now)
		g.start(now, entry)
		return DecisionStart, ""
	}
	if g.queue.length == 0 && len(g.flights) < g.limit(now) {
		g.start(now, entry)
		return DecisionStart, ""
	}
	return g.enqueue(now, entry, moves)
}

func (g *Gate) enqueue(now flow.Time, entry Entry, moves *Moves) (Decision, flow.Reason) {
	if now.Add(g.expectedWait(now, entry)).After(entry.latestStart()) {
		return DecisionRefused, flow.ReasonNoCapacity
	}
	out, ok := g.queue.push(entry, g.queueLength(now))
	if !ok {
		return DecisionRefused, flow.ReasonNoCapacity
	}
	if out != nil {
		g.displaced++
		moves.Refused = append(moves.Refused, Refusal{out.ID, flow.ReasonNoCapacity})
	}
	return DecisionQueued, ""
}

// queueLength is how many requests may wait now: the given length, and at a
// server of many slots as many more as start within queueSpan.
func (g *Gate) queueLength(now flow.Time) int {
	if g.latency <= 0 {
		return g.options.QueueLength
	}
	soon := int(queueSpan * time.Duration(g.limit(now)) / g.latency)
	return max(g.options.QueueLength, min(soon, queuePerSlot*g.options.Slots))
}

// expectedWait is the time until the entry would start, if all that would be
// served before it takes the smoothed latency. It is 0 before the first answer.
func (g *Gate) expectedWait(now flow.Time, entry Entry) time.Duration {
	ahead := g.queue.ahead(entry.Customer)
	return time.Duration(ahead) * g.latency / time.Duration(g.limit(now))
}

// Finish takes the end of a request in flight: what it says of the server, and
// the time that the server took. An unknown id changes nothing.
func (g *Gate) Finish(now flow.Time, id uint64, verdict flow.Verdict, latency time.Duration) Moves {
	ended, ok := g.flights[id]
	if !ok {
		return Moves{}
	}
	g.options.Limiter.Observe(now, ended.started, latency, len(g.flights), verdict)
	delete(g.flights, id)
	g.queue.ended(ended.customer)
	g.window.observe(verdict, latency)
	if verdict == flow.VerdictGood {
		g.smooth(latency)
	}
	g.trialEnded(ended.started, verdict)
	g.tried(now, verdict)
	return g.Expire(now)
}

// Cancel forgets a request whose caller went away before it started, and
// reports whether it was waiting. A request in flight ends by Finish alone.
func (g *Gate) Cancel(now flow.Time, id uint64) (bool, Moves) {
	found := g.queue.remove(id)
	return found, g.Expire(now)
}

// Expire refuses what waited too long and starts what may start now. It wants
// to be called at Next.
func (g *Gate) Expire(now flow.Time) Moves {
	var moves Moves
	for _, entry := range g.queue.takeLate(now) {
		moves.Refused = append(moves.Refused, Refusal{entry.ID, flow.ReasonNoCapacity})
	}
	limit := g.limit(now)
	for g.queue.length > 0 && len(g.flights) < limit {
		entry := g.queue.pop()
		g.start(now, entry)
		moves.Start = append(moves.Start, entry.ID)
	}
	return moves
}

// Next returns when Expire wants to be called, and false when nothing waits.
func (g *Gate) Next(now flow.Time) (flow.Time, bool) {
	if g.queue.length == 0 {
		return 0, false
	}
	return min(now.Add(limitPoll), g.queue.earliestLate()+1), true
}

// -----------------------------------------------------------------------------

func (g *Gate) holds(id uint64) bool {
	_, running := g.flights[id]
	return running || g.queue.holds(id)
}

func (g *Gate) start(now flow.Time, entry Entry) {
	g.flights[entry.ID] = flight{customer: g.queue.started(entry.Customer), started: now}
}

// limit is how many requests may be in flight in the present state.
func (g *Gate) limit(now flow.Time) int {
	limit := max(1, g.options.Limiter.Limit(now))
	if g.state == StateTrial {
		return min(limit, g.trials.allowed)
	}
	return limit
}

func (g *Gate) smooth(latency time.Duration) {
	if g.latency == 0 {
		g.latency = latency
		return
	}
	g.latency += time.Duration(latencySmoothing * float64(latency-g.latency))
}
