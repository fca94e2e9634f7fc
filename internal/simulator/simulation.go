// The state of a simulation: ingresses, backend servers, arrivals and troubles.

package simulator

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/request/refuser"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/sequencer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sameZoneRoundTrip and crossZoneRoundTrip are the round-trip times within a zone and
	// between two, in milliseconds: those of the deployments, rounded up.
	sameZoneRoundTrip  = flow.Time(1)
	crossZoneRoundTrip = flow.Time(3)
	// queueInterval is the time in milliseconds after which a queue is advanced if nothing
	// else happens. It is that of the daemon.
	queueInterval = flow.Time(100)
	// coldTime, coldPerSecond and coldFactor are those of the deployments: how long a
	// server is cold, its capacity in requests per second while cold, and the factor by
	// which a cold server is slower.
	coldTime      = 3 * time.Second
	coldPerSecond = 25.0
	coldFactor    = 2.0
	// restartTime is how long a daemon is unreachable during a restart.
	restartTime = 1500 * time.Millisecond
	// drainTime is how long the simulation continues after the last arrival, for requests
	// in flight to end.
	drainTime = 30 * time.Second
)

// retryBudget is the retry budget of a service in the deployments, for 27 hosts.
var retryBudget = ratelimiter.RetryBudget{Share: 0.2, Slack: 62, Window: 10 * time.Second}

// simulation is the state of one simulation. Each backend server has its own host with an
// ingress.
type simulation struct {
	sequencer.EventQueue
	pattern       *Pattern
	policy        Policy
	workRandom    *rand.Rand                  // for service times and every decision without a generator of its own
	grayRandom    *rand.Rand                  // for gray periods, the same under each policy
	arrivalRandom map[*RequestKind]*rand.Rand // for the arrivals of a kind, the same under each policy
	ingresses     []*ingress
	servers       []*server
	rates         *ratelimiter.Buckets // token buckets of the customers' rates, which a fleet keeps at their owners
	retries       *ratelimiter.Buckets // shared retry budgets of the services
	lastID        uint64
	counters      *counters
	recorder      *recorder
}

// ingress is the part of a daemon that sends requests to backend servers.
type ingress struct {
	zone      string
	selector  *selector.Selector
	refuser   *refuser.Refuser
	budgets   map[string]*retrier.Budget
	awayUntil flow.Time // its daemon is unreachable until then
}

// server is a backend server with the state of the daemon beside it.
type server struct {
	entry            *flow.ServerEntry
	service          *Service
	host             *ingress // of the daemon beside it
	queue            Queue
	breaker          *estimator.Breaker
	queued           map[uint64]queuedRequest // by request ID
	gray             bool
	advanceScheduled bool // advancing the queue is scheduled
	coldUntil        flow.Time
}

// queuedRequest is a request in the queue of a server.
type queuedRequest struct {
	*request
	forced bool // it stays in the queue if the server becomes suspected
}

// Run simulates a pattern under a policy and returns the outcomes of its requests. If ctx is
// done early, it returns an error too.
func Run(ctx context.Context, pattern *Pattern, policy Policy, seed uint64) (*Result, error) {
	sim := &simulation{
		pattern:       pattern,
		policy:        policy,
		workRandom:    rand.New(rand.NewPCG(seed, 1)),
		grayRandom:    rand.New(rand.NewPCG(seed, 2)),
		arrivalRandom: map[*RequestKind]*rand.Rand{},
		rates:         ratelimiter.NewBuckets(),
		retries:       ratelimiter.NewBuckets(),
		counters:      newCounters(pattern),
		recorder:      newRecorder(),
	}
	for i := range pattern.Services {
		sim.addServers(&pattern.Services[i])
	}
	for i := range pattern.Kinds {
		if kind := &pattern.Kinds[i]; kind.PerSecond > 0 {
			sim.arrivalRandom[kind] = rand.New(rand.NewPCG(seed, 3+uint64(i)))
			sim.scheduleArrival(0, kind)
		}
	}
	for i := range pattern.Troubles {
		sim.scheduleTrouble(&pattern.Troubles[i])
	}
	sim.sampleServers(0)
	end := flow.Time(0).Add(pattern.Duration.AsDuration() + drainTime)
	err := sim.RunUntil(ctx, end, func() bool { return false })
	result := sim.counters.result(policy.Name, seed)
	result.Bounds = sim.computeBounds()
	return result, err
}

func (sim *simulation) addServers(service *Service) {
	for range service.Servers {
		number := len(sim.servers)
		zone := "zone-" + strconv.Itoa(number%sim.pattern.Zones)
		host := &ingress{
			zone:      zone,
			selector:  selector.New(rand.New(rand.NewPCG(sim.workRandom.Uint64(), 2))),
			refuser:   refuser.New(sim.policy.earlyRefusalAge, rand.New(rand.NewPCG(uint64(number), 4))),
			budgets:   map[string]*retrier.Budget{},
			awayUntil: flow.Never,
		}
		s := &server{
			entry:     &flow.ServerEntry{ID: service.Name + "-" + strconv.Itoa(number), Service: service.Name, Zone: zone, Slots: service.Slots},
			service:   service,
			host:      host,
			queue:     sim.policy.newQueue(service.Slots),
			breaker:   estimator.NewBreaker(0),
			queued:    map[uint64]queuedRequest{},
			coldUntil: flow.Never,
		}
		sim.ingresses, sim.servers = append(sim.ingresses, host), append(sim.servers, s)
		if service.GrayShare > 0 {
			sim.scheduleGrayTurn(flow.Time(sim.grayRandom.Int64N(service.GrayInterval.AsDuration().Milliseconds())), s)
			s.gray = sim.grayRandom.Float64() < service.GrayShare
		}
	}
}

// scheduleGrayTurn makes a server gray or healthy at random at a time, and again after
// each interval.
func (sim *simulation) scheduleGrayTurn(at flow.Time, s *server) {
	sim.Schedule(at, func(now flow.Time) {
		s.gray = sim.grayRandom.Float64() < s.service.GrayShare
		sim.scheduleGrayTurn(now.Add(s.service.GrayInterval.AsDuration()), s)
	})
}

// scheduleTrouble schedules the changes of state that a trouble causes. All else of a trouble
// is looked up in the pattern when needed.
func (sim *simulation) scheduleTrouble(t *Trouble) {
	begin := flow.Time(0).Add(t.At.AsDuration())
	switch t.Kind {
	case ColdReturn:
		sim.Schedule(begin.Add(t.For.AsDuration()), func(now flow.Time) {
			for _, s := range sim.servers {
				if s.host.zone == sim.servers[0].host.zone {
					s.coldUntil = now.Add(coldTime)
					s.queue.SetCold(now, s.coldUntil, coldPerSecond)
				}
			}
		})
	case RollingRestart:
		order := sim.workRandom.Perm(len(sim.ingresses))[:int(t.Share*float64(len(sim.ingresses)))]
		for i, number := range order {
			sim.Schedule(begin.Add(t.For.AsDuration()*time.Duration(i)/time.Duration(len(order))), func(now flow.Time) {
				sim.ingresses[number].awayUntil = now.Add(restartTime)
			})
		}
	}
}

// scheduleArrival schedules the next request of a kind.
func (sim *simulation) scheduleArrival(now flow.Time, kind *RequestKind) {
	random := sim.arrivalRandom[kind]
	rate := kind.PerSecond
	if burst := sim.pattern.activeTrouble(now, Burst, kind.Service); burst != nil {
		rate *= burst.Factor
	}
	hotCustomer := sim.pattern.activeTrouble(now, HotCustomer, kind.Service)
	if hotCustomer != nil {
		rate *= 1 + (hotCustomer.Factor-1)/float64(sim.pattern.Customers)
	}
	at := now + flow.Time(math.Ceil(random.ExpFloat64()*1000/rate))
	if at.Sub(0) > sim.pattern.Duration.AsDuration() {
		return
	}
	sim.Schedule(at, func(now flow.Time) {
		customer := random.IntN(sim.pattern.Customers)
		if hotCustomer != nil && random.Float64() < (hotCustomer.Factor-1)/(hotCustomer.Factor-1+float64(sim.pattern.Customers)) {
			customer = 0
		}
		sim.startRequest(now, kind, customer, 0)
		sim.scheduleArrival(now, kind)
	})
}

// reachable reports whether the daemon beside a server responds.
func (sim *simulation) reachable(now flow.Time, s *server) bool {
	return !now.Before(s.host.awayUntil)
}

// candidates returns the servers of a service that may get requests.
func (sim *simulation) candidates(now flow.Time, service, zone string) []selector.Candidate {
	var candidates []selector.Candidate
	for _, s := range sim.servers {
		inFirstZone := s.host.zone == sim.servers[0].host.zone
		outOfService := sim.pattern.activeTrouble(now, ZoneOut, service) != nil || sim.pattern.activeTrouble(now, ColdReturn, service) != nil
		if s.service.Name == service && !(inFirstZone && outOfService) {
			candidates = append(candidates, selector.Candidate{Server: s.entry, SameZone: s.host.zone == zone})
		}
	}
	return candidates
}

func (sim *simulation) serverOf(entry *flow.ServerEntry) *server {
	for _, s := range sim.servers {
		if s.entry == entry {
			return s
		}
	}
	return nil
}

// troubleOf returns the active trouble of a kind if the server is in the affected share of
// the servers of its service, or nil.
func (sim *simulation) troubleOf(now flow.Time, kind TroubleKind, s *server) *Trouble {
	t := sim.pattern.activeTrouble(now, kind, s.service.Name)
	if t == nil {
		return nil
	}
	index, count := 0, 0
	for _, other := range sim.servers {
		if other.service == s.service {
			if other == s {
				index = count
			}
			count++
		}
	}
	if float64(index) >= t.Share*float64(count) {
		return nil
	}
	return t
}

// advanceQueue gives free slots to queued requests, and schedules itself while requests are
// queued.
func (sim *simulation) advanceQueue(now flow.Time, s *server) {
	started, tooLate := s.queue.Advance(now)
	for _, entry := range started {
		if queued, ok := s.queued[entry.ID]; ok {
			delete(s.queued, entry.ID)
			sim.startAttempt(now, queued.request, s)
		}
	}
	for _, entry := range tooLate {
		if queued, ok := s.queued[entry.ID]; ok {
			delete(s.queued, entry.ID)
			sim.reportLoad(now, queued.request, s)
			sim.offerToNext(now, queued.request)
		}
	}
	if s.queue.Queued() > 0 && !s.advanceScheduled {
		s.advanceScheduled = true
		sim.Schedule(now+queueInterval, func(now flow.Time) {
			s.advanceScheduled = false
			sim.advanceQueue(now, s)
		})
	}
}

// grayProbability returns the probability of being gray that a server's daemon reports.
func (sim *simulation) grayProbability(now flow.Time, s *server) float64 {
	if sim.policy.noEjection {
		return estimator.Prior
	}
	return s.breaker.GrayProbability(now)
}

var _ Queue = (*scheduler.Scheduler)(nil)
