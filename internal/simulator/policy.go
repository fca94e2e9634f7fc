// Policies of a simulation: the decisions of the daemon, and simple alternatives to one of
// them.

package simulator

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Queue decides at a backend server which requests run, wait or are refused. Its methods are
// those of scheduler.Scheduler.
type Queue interface {
	Offer(now flow.Time, entry scheduler.Entry) scheduler.Decision
	Advance(now flow.Time) (started, tooLate []scheduler.Entry)
	Finish(id uint64, duration time.Duration)
	Withdraw(id uint64) bool
	MeanDuration(route string) time.Duration
	FreeSlots() int
	ExpectedWait() time.Duration
	Queued() int
	RetryShare() float64
	Admission(now flow.Time) (rank int, drain time.Duration)
	SetCold(now, until flow.Time, perSecond float64)
}

// Policy is a way to make the decisions of a simulation.
type Policy struct {
	Name       string
	Help       string
	newQueue   func(slots int) Queue
	plan       func(s *selector.Selector, random *rand.Rand, now flow.Time, query selector.Query) []selector.Offer
	noEjection bool // no server is ever suspected
	// earlyRefusalAge is the age up to which reports of servers may show that a request would
	// be refused by all of them; 0 for no early refusals.
	earlyRefusalAge time.Duration
}

// DaemonPolicy is the name of the policy with all decisions of the daemon.
const DaemonPolicy = "product"

// Policies returns the daemon's policy, followed by the alternatives to it.
func Policies() []Policy {
	daemonQueue := func(slots int) Queue {
		queue := scheduler.New(slots)
		queue.SetCallReserve(callReserve)
		return queue
	}
	plan := func(s *selector.Selector, _ *rand.Rand, now flow.Time, query selector.Query) []selector.Offer {
		return s.Plan(now, query)
	}
	return []Policy{
		{Name: DaemonPolicy, Help: "the decisions of the daemon", newQueue: daemonQueue, plan: plan, earlyRefusalAge: earlyRefusalAge},
		{Name: "offer-always", Help: "each request is offered, however full the servers are", newQueue: daemonQueue, plan: plan},
		{Name: "random-choice", Help: "random servers, in whose queues requests wait", newQueue: daemonQueue, plan: planAtRandom},
		{Name: "first-come", Help: "a fixed queue, first come first served", newQueue: newFixedQueue, plan: plan},
		{Name: "no-early-refusal", Help: "queued requests are never refused because of a deadline", newQueue: newNoEarlyRefusalQueue, plan: plan},
		{Name: "no-call-reserve", Help: "no slots are reserved for calls of running requests", newQueue: func(slots int) Queue { return scheduler.New(slots) }, plan: plan},
		{Name: "no-ejection", Help: "no server is ejected, however many requests it fails", newQueue: daemonQueue, plan: plan, noEjection: true},
	}
}

// callReserve is the share of a server's slots that may be reserved for calls, as the
// deployments set it.
const callReserve = 0.5

// earlyRefusalAge is that of the deployments.
const earlyRefusalAge = 500 * time.Millisecond

// maxRandomOffers is the maximum number of offers of a random plan.
const maxRandomOffers = 2

func planAtRandom(_ *selector.Selector, random *rand.Rand, _ flow.Time, query selector.Query) []selector.Offer {
	var offers []selector.Offer
	for _, i := range random.Perm(len(query.Candidates)) {
		if server := query.Candidates[i].Server; !query.Tried[server.ID] && len(offers) < maxRandomOffers {
			offers = append(offers, selector.Offer{Server: server, MayWait: true, Trial: true})
		}
	}
	return offers
}

// fixedQueuePerSlot is the maximum number of requests in a fixed queue for each slot.
const fixedQueuePerSlot = 4

// fixedQueue serves requests in the order of arrival, and refuses them when it is full.
type fixedQueue struct {
	*scheduler.Scheduler
	maxQueued int
}

func newFixedQueue(slots int) Queue {
	return &fixedQueue{Scheduler: scheduler.New(slots), maxQueued: slots * fixedQueuePerSlot}
}

// Offer offers an entry without its customer, priority, target and deadline, so that all
// entries are alike.
func (q *fixedQueue) Offer(now flow.Time, entry scheduler.Entry) scheduler.Decision {
	if q.Queued() >= q.maxQueued {
		entry.MayWait = false
	}
	return q.Scheduler.Offer(now, scheduler.Entry{ID: entry.ID, Route: entry.Route, Target: farFuture, Deadline: farFuture, MayWait: entry.MayWait})
}

// noEarlyRefusalQueue refuses no request because of its expected waiting time.
type noEarlyRefusalQueue struct{ *scheduler.Scheduler }

func newNoEarlyRefusalQueue(slots int) Queue { return noEarlyRefusalQueue{scheduler.New(slots)} }

// farFuture is a time after the end of any simulation.
const farFuture = flow.Time(1 << 40)

// Offer offers an entry without its target and deadline.
func (q noEarlyRefusalQueue) Offer(now flow.Time, entry scheduler.Entry) scheduler.Decision {
	entry.Target, entry.Deadline = farFuture, farFuture
	return q.Scheduler.Offer(now, entry)
}
