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
	SetCold(now, until flow.Time, perSecond float64)
	Overdue(now flow.Time, multiple float64, atLeast time.Duration) []uint64
}

// Policy is a way to make the decisions of a simulation.
type Policy struct {
	Name       string
	Help       string
	newQueue   func(slots int) Queue
	plan       func(s *selector.Selector, random *rand.Rand, now flow.Time, query selector.Query) []selector.Offer
	noEjection bool // no server is ever suspected
	atOnce     int  // number of offers for a free slot that are made at once; 0 for 1
	waitsAt    int  // number of servers in whose queues a request waits at once; 0 for 1
	noReports  bool // daemons learn of load from the answers to their own offers alone
}

// DaemonPolicy is the name of the policy with all decisions of the daemon.
const DaemonPolicy = "product"

// Policies returns the daemon's policy, followed by the alternatives to it.
func Policies() []Policy {
	return []Policy{
		{Name: DaemonPolicy, Help: "the decisions of the daemon", newQueue: newDaemonQueue, plan: planAsDaemon},
		{Name: "random-choice", Help: "random servers, in whose queues requests wait", newQueue: newDaemonQueue, plan: planAtRandom},
		{Name: "first-come", Help: "a fixed queue, first come first served", newQueue: newFixedQueue, plan: planAsDaemon},
		{Name: "no-early-refusal", Help: "queued requests are never refused because of a deadline", newQueue: newNoEarlyRefusalQueue, plan: planAsDaemon},
		{Name: "no-ejection", Help: "no server is ejected, however many requests it fails", newQueue: newDaemonQueue, plan: planAsDaemon, noEjection: true},
		{Name: "no-reports", Help: "daemons do not tell each other the load of their servers", newQueue: newDaemonQueue, plan: planAsDaemon, noReports: true},
	}
}

// Searches returns alternatives to the search for a server with a free slot.
func Searches() []Policy {
	return []Policy{
		{Name: "two-at-once", Help: "two offers for a free slot are made at once, without load reports", newQueue: newDaemonQueue, plan: planAsDaemon, noReports: true, atOnce: 2},
		{Name: "two-at-once-informed", Help: "the same with load reports", newQueue: newDaemonQueue, plan: planAsDaemon, atOnce: 2},
		{Name: "late-binding", Help: "a request waits in the queues of two servers, and the first free slot takes it, without load reports", newQueue: newDaemonQueue, plan: planAsDaemon, noReports: true, waitsAt: 2},
		{Name: "late-binding-informed", Help: "the same with load reports", newQueue: newDaemonQueue, plan: planAsDaemon, waitsAt: 2},
	}
}

func newDaemonQueue(slots int) Queue { return scheduler.New(slots) }

func planAsDaemon(s *selector.Selector, _ *rand.Rand, now flow.Time, query selector.Query) []selector.Offer {
	return s.Plan(now, query)
}

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
