// The fleet of a simulation: ingresses, backend servers and what changes them.

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
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/sequencer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// zoneTrip and otherZoneTrip are round trips within a zone and between two, in
	// milliseconds: those of the deployments, rounded up.
	zoneTrip      = flow.Time(1)
	otherZoneTrip = flow.Time(3)
	// queuePoll is how often a queue is looked at when nothing else happens, in
	// milliseconds, as the daemon does.
	queuePoll = flow.Time(100)
	// coldTime, coldPerSecond and coldFactor are those of the deployments: how long a
	// server is cold, what it bears meanwhile, and how much slower it is.
	coldTime      = 3 * time.Second
	coldPerSecond = 25.0
	coldFactor    = 2.0
	// restartTime is how long a daemon is away that is restarted.
	restartTime = 1500 * time.Millisecond
	// drainTime is how long requests may take that are under way at the end.
	drainTime = 30 * time.Second
)

// retryBudget is that of the deployments, for 27 hosts.
var retryBudget = ratelimiter.RetryBudget{Share: 0.2, Slack: 62, Window: 10 * time.Second}

// world is one simulation. Each backend server has a host of its own, with an ingress.
type world struct {
	sequencer.EventQueue
	pattern   *Pattern
	policy    Policy
	random    *rand.Rand           // of the work
	turns     *rand.Rand           // of gray servers, the same under each policy
	callers   map[*Kind]*rand.Rand // of the arrivals of a kind, likewise
	ingresses []*ingress
	servers   []*server
	rates     *ratelimiter.Buckets // at the owners of the customers
	retries   *ratelimiter.Buckets // pools of the services
	lastID    uint64
	tally     *tally
	audit     *auditor
}

// ingress is what a daemon knows of the others.
type ingress struct {
	zone     string
	selector *selector.Selector
	budgets  map[string]*retrier.Budget
	away     flow.Time // until when its daemon is away
}

// server is a backend server with the daemon's decisions about it.
type server struct {
	entry   *flow.ServerEntry
	service *Service
	host    *ingress
	queue   Queue
	judge   *estimator.Breaker
	waiting map[uint64]waiting
	gray    bool
	poll    bool // the queue will be looked at
	cold    flow.Time
}

// waiting is a request in the queue of a server.
type waiting struct {
	*request
	forced bool // it waits whether or not the server is suspected
}

// Run plays a pattern under a policy, and returns what became of its requests.
func Run(ctx context.Context, pattern *Pattern, policy Policy, seed uint64) (*Result, error) {
	w := &world{
		pattern: pattern,
		policy:  policy,
		random:  rand.New(rand.NewPCG(seed, 1)),
		turns:   rand.New(rand.NewPCG(seed, 2)),
		callers: map[*Kind]*rand.Rand{},
		rates:   ratelimiter.NewBuckets(),
		retries: ratelimiter.NewBuckets(),
		tally:   newTally(pattern),
		audit:   newAuditor(),
	}
	for i := range pattern.Services {
		w.addServers(&pattern.Services[i])
	}
	for i := range pattern.Kinds {
		if kind := &pattern.Kinds[i]; kind.PerSecond > 0 {
			w.callers[kind] = rand.New(rand.NewPCG(seed, 3+uint64(i)))
			w.arriveNext(0, kind)
		}
	}
	for i := range pattern.Troubles {
		w.planTrouble(&pattern.Troubles[i])
	}
	w.sampleServers(0)
	end := flow.Time(0).Add(pattern.Duration.AsDuration() + drainTime)
	err := w.RunUntil(ctx, end, func() bool { return false })
	result := w.tally.result(policy.Name, seed)
	result.Bounds = w.bounds()
	return result, err
}

func (w *world) addServers(service *Service) {
	for range service.Servers {
		number := len(w.servers)
		zone := "zone-" + strconv.Itoa(number%w.pattern.Zones)
		host := &ingress{
			zone:     zone,
			selector: selector.New(rand.New(rand.NewPCG(w.random.Uint64(), 2))),
			budgets:  map[string]*retrier.Budget{},
			away:     flow.Never,
		}
		s := &server{
			entry:   &flow.ServerEntry{ID: service.Name + "-" + strconv.Itoa(number), Service: service.Name, Zone: zone, Slots: service.Slots},
			service: service,
			host:    host,
			queue:   w.policy.queue(service.Slots),
			judge:   estimator.NewBreaker(0),
			waiting: map[uint64]waiting{},
			cold:    flow.Never,
		}
		w.ingresses, w.servers = append(w.ingresses, host), append(w.servers, s)
		if service.GrayShare > 0 {
			w.turn(flow.Time(w.turns.Int64N(service.GrayTurn.AsDuration().Milliseconds())), s)
			s.gray = w.turns.Float64() < service.GrayShare
		}
	}
}

// turn has a server turn gray or sound at a time, and again after each turn.
func (w *world) turn(at flow.Time, s *server) {
	w.Schedule(at, func(now flow.Time) {
		s.gray = w.turns.Float64() < s.service.GrayShare
		w.turn(now.Add(s.service.GrayTurn.AsDuration()), s)
	})
}

// planTrouble plans what does not show from the pattern alone.
func (w *world) planTrouble(t *Trouble) {
	begin := flow.Time(0).Add(t.At.AsDuration())
	switch t.Kind {
	case ColdReturn:
		w.Schedule(begin.Add(t.For.AsDuration()), func(now flow.Time) {
			for _, s := range w.servers {
				if s.host.zone == w.servers[0].host.zone {
					s.cold = now.Add(coldTime)
					s.queue.SetCold(now, s.cold, coldPerSecond)
				}
			}
		})
	case RollingRestart:
		order := w.random.Perm(len(w.ingresses))[:int(t.Share*float64(len(w.ingresses)))]
		for i, number := range order {
			w.Schedule(begin.Add(t.For.AsDuration()*time.Duration(i)/time.Duration(len(order))), func(now flow.Time) {
				w.ingresses[number].away = now.Add(restartTime)
			})
		}
	}
}

// -----------------------------------------------------------------------------

// arriveNext plans the next request of a kind.
func (w *world) arriveNext(now flow.Time, kind *Kind) {
	random := w.callers[kind]
	rate := kind.PerSecond
	if burst := w.pattern.active(now, Burst, kind.Service); burst != nil {
		rate *= burst.Factor
	}
	hot := w.pattern.active(now, HotCustomer, kind.Service)
	if hot != nil {
		rate *= 1 + (hot.Factor-1)/float64(w.pattern.Customers)
	}
	at := now + flow.Time(math.Ceil(random.ExpFloat64()*1000/rate))
	if at.Sub(0) > w.pattern.Duration.AsDuration() {
		return
	}
	w.Schedule(at, func(now flow.Time) {
		customer := random.IntN(w.pattern.Customers)
		if hot != nil && random.Float64() < (hot.Factor-1)/(hot.Factor-1+float64(w.pattern.Customers)) {
			customer = 0
		}
		w.arrive(now, kind, customer, 0)
		w.arriveNext(now, kind)
	})
}

// reachable reports whether the daemon beside a server answers.
func (w *world) reachable(now flow.Time, s *server) bool {
	return !now.Before(s.host.away)
}

// inService returns the servers that may get work of a service.
func (w *world) inService(now flow.Time, service, zone string) []selector.Candidate {
	var candidates []selector.Candidate
	for _, s := range w.servers {
		first := s.host.zone == w.servers[0].host.zone
		out := w.pattern.active(now, ZoneOut, service) != nil || w.pattern.active(now, ColdReturn, service) != nil
		if s.service.Name == service && !(first && out) {
			candidates = append(candidates, selector.Candidate{Server: s.entry, SameZone: s.host.zone == zone})
		}
	}
	return candidates
}

func (w *world) serverOf(entry *flow.ServerEntry) *server {
	for _, s := range w.servers {
		if s.entry == entry {
			return s
		}
	}
	return nil
}

// afflicted reports whether a trouble of a share of the servers hits one.
func (w *world) afflicted(now flow.Time, kind TroubleKind, s *server) *Trouble {
	t := w.pattern.active(now, kind, s.service.Name)
	if t == nil {
		return nil
	}
	number, of := 0, 0
	for _, other := range w.servers {
		if other.service == s.service {
			if other == s {
				number = of
			}
			of++
		}
	}
	if float64(number) >= t.Share*float64(of) {
		return nil
	}
	return t
}

// advance gives free slots to those that wait, and looks again in a while.
func (w *world) advance(now flow.Time, s *server) {
	started, hopeless := s.queue.Advance(now)
	for _, entry := range started {
		if waits, ok := s.waiting[entry.ID]; ok {
			delete(s.waiting, entry.ID)
			w.run(now, waits.request, s)
		}
	}
	for _, entry := range hopeless {
		if waits, ok := s.waiting[entry.ID]; ok {
			delete(s.waiting, entry.ID)
			w.hear(now, waits.request, s)
			w.offerNext(now, waits.request)
		}
	}
	if s.queue.Queued() > 0 && !s.poll {
		s.poll = true
		w.Schedule(now+queuePoll, func(now flow.Time) {
			s.poll = false
			w.advance(now, s)
		})
	}
}

// gray is what a server's daemon says of it.
func (w *world) gray(now flow.Time, s *server) float64 {
	if w.policy.trustsAll {
		return estimator.Prior
	}
	return s.judge.Gray(now)
}

var _ Queue = (*scheduler.Scheduler)(nil)
