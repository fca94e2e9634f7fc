// The decisions that a simulation plays: the daemon's own, and plain alternatives in
// place of one of them.

package simulator

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Queue decides at a backend server who runs, who waits and who is refused.
type Queue interface {
	Offer(now flow.Time, entry scheduler.Entry) scheduler.Decision
	Advance(now flow.Time) (started, hopeless []scheduler.Entry)
	Finish(id uint64, duration time.Duration)
	Withdraw(id uint64) bool
	MeanDuration(route string) time.Duration
	FreeSlots() int
	ExpectedWait() time.Duration
	Queued() int
	RetryShare() float64
	SetCold(now, until flow.Time, perSecond float64)
}

// Policy is one way to decide.
type Policy struct {
	Name      string
	Help      string
	queue     func(slots int) Queue
	choice    func(s *selector.Selector, random *rand.Rand, now flow.Time, query selector.Query) []selector.Offer
	trustsAll bool // no server is ever suspected
}

// Product is the name of the policy of the daemon.
const Product = "product"

// Policies returns the daemon's policy and the alternatives to it.
func Policies() []Policy {
	product := func(slots int) Queue { return scheduler.New(slots) }
	plan := func(s *selector.Selector, _ *rand.Rand, now flow.Time, query selector.Query) []selector.Offer {
		return s.Plan(now, query)
	}
	return []Policy{
		{Name: Product, Help: "what the daemon does", queue: product, choice: plan},
		{Name: "random-choice", Help: "any server, in whose queue the request waits", queue: product, choice: chooseAtRandom},
		{Name: "first-come", Help: "a fixed queue, first come first served", queue: newFixedQueue, choice: plan},
		{Name: "no-early-refusal", Help: "who waits is refused at the deadline only", queue: newPatientQueue, choice: plan},
		{Name: "no-ejection", Help: "every server gets its share, whatever it fails", queue: product, choice: plan, trustsAll: true},
	}
}

// randomChoices bounds the servers that a random choice asks.
const randomChoices = 2

func chooseAtRandom(_ *selector.Selector, random *rand.Rand, _ flow.Time, query selector.Query) []selector.Offer {
	var offers []selector.Offer
	for _, i := range random.Perm(len(query.Candidates)) {
		if server := query.Candidates[i].Server; !query.Tried[server.ID] && len(offers) < randomChoices {
			offers = append(offers, selector.Offer{Server: server, MayWait: true, Trial: true})
		}
	}
	return offers
}

// -----------------------------------------------------------------------------

// fixedQueueLength is the length of a fixed queue for each slot.
const fixedQueueLength = 4

// fixedQueue serves in the order of arrival, up to a number of requests.
type fixedQueue struct {
	*scheduler.Scheduler
	most int
}

func newFixedQueue(slots int) Queue {
	return &fixedQueue{Scheduler: scheduler.New(slots), most: slots * fixedQueueLength}
}

// Offer takes an entry as one like all others.
func (q *fixedQueue) Offer(now flow.Time, entry scheduler.Entry) scheduler.Decision {
	if q.Queued() >= q.most {
		entry.MayWait = false
	}
	return q.Scheduler.Offer(now, scheduler.Entry{ID: entry.ID, Route: entry.Route, Target: farFuture, Deadline: farFuture, MayWait: entry.MayWait})
}

// patientQueue refuses nobody for the time that it would take.
type patientQueue struct{ *scheduler.Scheduler }

func newPatientQueue(slots int) Queue { return patientQueue{scheduler.New(slots)} }

// farFuture is after the end of every simulation.
const farFuture = flow.Time(1 << 40)

// Offer takes an entry as one with all the time in the world.
func (q patientQueue) Offer(now flow.Time, entry scheduler.Entry) scheduler.Decision {
	entry.Target, entry.Deadline = farFuture, farFuture
	return q.Scheduler.Offer(now, entry)
}
