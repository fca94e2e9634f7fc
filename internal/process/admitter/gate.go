// The gate: which request starts, waits or is refused.

package admitter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	defaultQueueLength   = 32
	defaultMaxQueueShare = 0.5
	defaultTrialInterval = 250 * time.Millisecond

	maxQueuePerSlot = 4                      // waiting requests for each slot
	queueDrainTime  = 100 * time.Millisecond // a queue longer than QueueLength must drain within this time

	limitPollInterval = 20 * time.Millisecond // how often a gate with waiting requests checks whether its limit has grown
	latencyWeight     = 0.1                   // weight of a new response in the smoothed latency
)

// Options configure the Gate of one backend server. QueueLength, MaxQueueShare
// and TrialInterval have defaults, which zero values stand for.
type Options struct {
	Server         string
	Limiter        flow.Limiter
	MaxConnections int           // open at once; 0 for no limit
	ConnectionCost time.Duration // server time spent on opening one connection
	Slots          int           // requests that the server can run at once when warm; 0 when unknown
	QueueLength    int           // requests that may wait, however slowly the queue drains
	MaxQueueShare  float64       // share of the queue that one customer may hold, from 0 to 1
	TrialInterval  time.Duration // minimum mean time between the starts of trial requests while ejected
}

// Entry is a request that asks for admission.
type Entry struct {
	ID           uint64 // unique among the requests waiting or in flight
	Customer     string
	NotAfter     flow.Time // latest start that the permit allows
	Deadline     flow.Time // when the caller stops waiting for the response; 0 for none
	TrialAllowed bool      // an ejected server may be tried with this request, because it is idempotent
}

// latestStart is the last moment at which the entry may start.
func (e Entry) latestStart() flow.Time {
	if e.Deadline == 0 {
		return e.NotAfter
	}
	return min(e.NotAfter, e.Deadline-1)
}

// Decision is what a Gate decides about an arriving request.
type Decision int

// The decisions.
const (
	DecisionRefused Decision = iota
	DecisionStarted
	DecisionQueued
)

// Result is the outcome of Gate.Arrive.
type Result struct {
	Decision Decision
	Reason   flow.Reason // why the request was refused
	Load     float64     // see Gate.Load
	Dequeued Dequeued    // other requests, which were waiting before
}

// Dequeued holds the requests that left the queue during a call. The caller
// must start or refuse each of them.
type Dequeued struct {
	Started []uint64
	Refused []Refusal
}

// Refusal is a request that was waiting and will not run.
type Refusal struct {
	ID     uint64
	Reason flow.Reason
}

// Gate admits requests to one backend server.
type Gate struct {
	options     Options
	state       State
	inFlight    map[uint64]inFlightRequest
	queue       queue
	window      reportWindow
	latency     time.Duration // smoothed latency of successful responses
	trials      trials
	connections connectionPacer
	refusals    uint64
	evicted     uint64
}

type inFlightRequest struct {
	customer *customer
	started  flow.Time
}

// New returns the Gate of a server in StateServing.
func New(options Options) *Gate {
	if options.QueueLength == 0 {
		options.QueueLength = defaultQueueLength
	}
	if options.MaxQueueShare == 0 {
		options.MaxQueueShare = defaultMaxQueueShare
	}
	if options.TrialInterval == 0 {
		options.TrialInterval = defaultTrialInterval
	}
	return &Gate{
		options:     options,
		inFlight:    map[uint64]inFlightRequest{},
		queue:       newQueue(options.MaxQueueShare),
		trials:      trials{since: flow.Never, lastStart: flow.Never},
		connections: newConnectionPacer(options.MaxConnections, options.ConnectionCost),
	}
}

// Arrive starts, queues or refuses a new request. An entry whose ID is already
// waiting or in flight is refused with flow.ReasonPermitInvalid.
func (g *Gate) Arrive(now flow.Time, entry Entry) Result {
	dequeued := g.Advance(now)
	decision, reason := g.admit(now, entry, &dequeued)
	if decision == DecisionRefused {
		g.refusals++
	}
	return Result{Decision: decision, Reason: reason, Load: g.Load(now), Dequeued: dequeued}
}

func (g *Gate) admit(now flow.Time, entry Entry, dequeued *Dequeued) (Decision, flow.Reason) {
	if g.contains(entry.ID) {
		return DecisionRefused, flow.ReasonPermitInvalid
	}
	if now.After(entry.latestStart()) {
		return DecisionRefused, flow.ReasonPermitLate
	}
	switch g.state {
	case StateDraining, StateLeaving:
		return DecisionRefused, flow.ReasonLeaving
	case StateEjected:
		if !entry.TrialAllowed || !g.mayStartTrial(now) {
			return DecisionRefused, flow.ReasonEjected
		}
		g.recordTrialStart(now)
		g.start(now, entry)
		return DecisionStarted, ""
	}
	if g.queue.length == 0 && len(g.inFlight) < g.limit(now) {
		g.start(now, entry)
		return DecisionStarted, ""
	}
	return g.enqueue(now, entry, dequeued)
}

func (g *Gate) enqueue(now flow.Time, entry Entry, dequeued *Dequeued) (Decision, flow.Reason) {
	if now.Add(g.expectedWait(now, entry)).After(entry.latestStart()) {
		return DecisionRefused, flow.ReasonNoCapacity
	}
	evicted, ok := g.queue.push(entry, g.queueCapacity(now))
	if !ok {
		return DecisionRefused, flow.ReasonNoCapacity
	}
	if evicted != nil {
		g.evicted++
		dequeued.Refused = append(dequeued.Refused, Refusal{evicted.ID, flow.ReasonNoCapacity})
	}
	return DecisionQueued, ""
}

// queueCapacity is the number of requests that may wait now. A server with many
// fast slots gets a queue longer than QueueLength: as many requests as it can
// start within queueDrainTime.
func (g *Gate) queueCapacity(now flow.Time) int {
	if g.latency <= 0 {
		return g.options.QueueLength
	}
	drained := int(queueDrainTime * time.Duration(g.limit(now)) / g.latency)
	return max(g.options.QueueLength, min(drained, maxQueuePerSlot*g.options.Slots))
}

// expectedWait estimates the time until the entry would start, if each request
// served before it takes the smoothed latency. It is 0 before the first
// successful response.
func (g *Gate) expectedWait(now flow.Time, entry Entry) time.Duration {
	ahead := g.queue.countAhead(entry.Customer)
	return time.Duration(ahead) * g.latency / time.Duration(g.limit(now))
}

// Finish records the end of a request in flight, with its verdict on the server
// and the server's latency. An unknown id has no effect.
func (g *Gate) Finish(now flow.Time, id uint64, verdict flow.Verdict, latency time.Duration) Dequeued {
	ended, ok := g.inFlight[id]
	if !ok {
		return Dequeued{}
	}
	g.options.Limiter.Observe(now, ended.started, latency, len(g.inFlight), verdict)
	delete(g.inFlight, id)
	g.queue.recordEnd(ended.customer)
	g.window.observe(verdict, latency)
	if verdict == flow.VerdictGood {
		g.smoothLatency(latency)
	}
	g.recordEjectedTrial(ended.started, verdict)
	g.recordRecoveryTrial(now, verdict)
	return g.Advance(now)
}

// Cancel removes a waiting request whose caller has disconnected, and reports
// whether it was waiting. A request in flight ends only by Finish.
func (g *Gate) Cancel(now flow.Time, id uint64) (bool, Dequeued) {
	found := g.queue.remove(id)
	return found, g.Advance(now)
}

// Advance refuses the waiting requests that can no longer start in time, and
// starts those that the limit allows. Call it at the time that NextAdvance
// returns.
func (g *Gate) Advance(now flow.Time) Dequeued {
	var dequeued Dequeued
	for _, entry := range g.queue.removeLate(now) {
		dequeued.Refused = append(dequeued.Refused, Refusal{entry.ID, flow.ReasonNoCapacity})
	}
	limit := g.limit(now)
	for g.queue.length > 0 && len(g.inFlight) < limit {
		entry := g.queue.pop()
		g.start(now, entry)
		dequeued.Started = append(dequeued.Started, entry.ID)
	}
	return dequeued
}

// NextAdvance returns the time of the next call of Advance, and false when no
// request waits.
func (g *Gate) NextAdvance(now flow.Time) (flow.Time, bool) {
	if g.queue.length == 0 {
		return 0, false
	}
	return min(now.Add(limitPollInterval), g.queue.earliestLatestStart()+1), true
}

func (g *Gate) contains(id uint64) bool {
	_, running := g.inFlight[id]
	return running || g.queue.contains(id)
}

func (g *Gate) start(now flow.Time, entry Entry) {
	g.inFlight[entry.ID] = inFlightRequest{customer: g.queue.recordStart(entry.Customer), started: now}
}

// limit is the number of requests that may be in flight in the current state.
func (g *Gate) limit(now flow.Time) int {
	limit := max(1, g.options.Limiter.Limit(now))
	if g.state == StateTrial {
		return min(limit, g.trials.limit)
	}
	return limit
}

func (g *Gate) smoothLatency(latency time.Duration) {
	if g.latency == 0 {
		g.latency = latency
		return
	}
	g.latency += time.Duration(latencyWeight * float64(latency-g.latency))
}
