// Simulations of a backend server: a fakeServer under constant load, and a server
// behind a gate on a noisy machine.

package limiter_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	fakeSlots    = 7
	fakeWarmUp   = 4 * time.Second
	fakeLatency  = 25 * time.Millisecond
	fakeTimeout  = 500 * time.Millisecond
	fakeMaxDebt  = 150 // request-milliseconds above capacity after which the server collapses
	fakeDuration = flow.Time(30_000)
)

// faults are the faults of one simulation.
type faults struct {
	warm    bool        // the server starts warm
	colds   []flow.Time // when it turns cold again
	restart bool        // it refuses connections for 300 ms whenever it turns cold
	shedAt  flow.Time   // when it begins to shed more than three requests, for 10 s; 0 for never
}

type request struct {
	started, ends flow.Time
	verdict       flow.Verdict
	lost          bool // the server collapsed and no longer works on it
}

type fakeServer struct {
	faults
	random      *rand.Rand
	coldAt      flow.Time // when it last turned cold
	refuseUntil flow.Time
	debt        int // accumulated load above capacity, in request-milliseconds
	running     []request

	served, excess, collapses int       // excess counts requests that were shed or started above capacity
	fullAt                    flow.Time // when all slots were first used after the warm-up that began at coldAt; 0 for not yet
}

// warmth is the share of the warm-up that has passed.
func (s *fakeServer) warmth(now flow.Time) float64 {
	return min(1, float64(now.Sub(s.coldAt))/float64(fakeWarmUp))
}

// capacity is the number of requests that the server can run at once.
func (s *fakeServer) capacity(now flow.Time) int {
	return 1 + int(float64(fakeSlots-1)*s.warmth(now))
}

func (s *fakeServer) turnCold(now flow.Time) {
	s.coldAt = now
	s.fullAt = 0
	s.debt = 0
}

func (s *fakeServer) start(now flow.Time) {
	n := s.working() + 1
	r := request{started: now, verdict: flow.VerdictGood}
	capacity := s.capacity(now)
	excess := max(0, n-capacity)
	latency := float64(fakeLatency) * math.Exp(0.3*s.random.NormFloat64()) *
		(1 + 0.5*(1-s.warmth(now))) * (1 + 1.5*float64(excess))
	r.ends = now.Add(time.Duration(latency)) + 1
	switch {
	case now.Before(s.refuseUntil):
		r.verdict, r.ends = flow.VerdictRefused, now+1
	case s.shedAt > 0 && now >= s.shedAt && now < s.shedAt+10_000 && n > 3:
		r.verdict, r.ends = flow.VerdictShed, now+1
		s.excess++
	case excess > 0:
		s.excess++
	}
	if now.After(s.coldAt+flow.Time(fakeWarmUp.Milliseconds())) && n == fakeSlots && s.fullAt == 0 {
		s.fullAt = now
	}
	s.running = append(s.running, r)
}

// working is the number of requests that the server works on.
func (s *fakeServer) working() int {
	n := 0
	for _, r := range s.running {
		if !r.lost {
			n++
		}
	}
	return n
}

// collapseUnderOverload collapses the server when it has been above its capacity
// for too long. All its requests then time out.
func (s *fakeServer) collapseUnderOverload(now flow.Time) {
	excess := s.working() - s.capacity(now)
	s.debt = max(0, s.debt+max(-1, excess))
	if s.debt <= fakeMaxDebt {
		return
	}
	s.collapses++
	s.turnCold(now)
	for i := range s.running {
		s.running[i].lost = true
		s.running[i].verdict = flow.VerdictTimeout
		s.running[i].ends = s.running[i].started.Add(fakeTimeout)
	}
}

// run keeps as many requests running as the limiter allows.
func (s *fakeServer) run(limiter flow.Limiter) {
	if s.warm {
		s.coldAt = flow.Time(-fakeWarmUp.Milliseconds())
	}
	for now := flow.Time(1); now <= fakeDuration; now++ {
		s.applyFaults(now)
		s.finish(now, limiter)
		for len(s.running) < limiter.Limit(now) {
			s.start(now)
		}
		s.collapseUnderOverload(now)
	}
}

func (s *fakeServer) applyFaults(now flow.Time) {
	for _, at := range s.colds {
		if at != now {
			continue
		}
		s.turnCold(now)
		if s.restart {
			s.refuseUntil = now + 300
		}
	}
}

func (s *fakeServer) finish(now flow.Time, limiter flow.Limiter) {
	for i := 0; i < len(s.running); {
		r := s.running[i]
		if r.ends.After(now) {
			i++
			continue
		}
		limiter.Observe(now, r.started, now.Sub(r.started), len(s.running), r.verdict)
		s.running = append(s.running[:i], s.running[i+1:]...)
		if r.verdict == flow.VerdictGood {
			s.served++
		}
	}
}

const (
	warmLatency      = 5.0               // milliseconds, of a server far below its capacity
	warmDeviation    = 0.3               // standard deviation of the logarithm of the latency
	permitLifetime   = flow.Time(1000)   // in which a request may start
	afterStall       = 3.0               // mean milliseconds from the end of a stall to a response that it delayed
	maxStall         = 60.0              // milliseconds
	noiseDuration    = flow.Time(30_000) // of a simulation
	limitGrowthPhase = flow.Time(2000)   // in which the limit may still grow to the load; not counted
)

// noise describes the load, and the scheduling noise of a machine with more
// threads to run than processors.
type noise struct {
	slots       int
	rate        float64 // requests a second
	stalls      float64 // per second; a stall stops the whole machine
	stallLength float64 // mean, in milliseconds
	delayed     float64 // share of responses that are delayed individually
	delay       float64 // mean, in milliseconds
}

// machine simulates a server far below its capacity behind a gate, on a noisy
// machine. All requests are of one customer.
type machine struct {
	noise
	random *rand.Rand
	gate   *admitter.Gate
	ends   map[uint64]flow.Time
	starts map[uint64]flow.Time

	lastID           uint64
	arrived, refused int // after limitGrowthPhase
	lowestLimit      int // after limitGrowthPhase
}

func (m *machine) run(l flow.Limiter) {
	m.gate = admitter.New(admitter.Options{Server: "s", Limiter: l, Slots: m.slots})
	m.ends, m.starts = map[uint64]flow.Time{}, map[uint64]flow.Time{}
	m.lowestLimit = m.slots
	var stalledUntil flow.Time
	waiting := 0
	for now := flow.Time(1); now <= noiseDuration; now++ {
		for m.random.Float64() < m.rate/1000 {
			waiting++
		}
		if now >= stalledUntil && m.random.Float64() < m.stalls/1000 {
			stalledUntil = now + flow.Time(min(maxStall, m.stallLength*m.random.ExpFloat64()))
		}
		if now < stalledUntil {
			continue
		}
		if now == stalledUntil {
			m.delayStalled(now)
		}
		m.finish(now)
		for ; waiting > 0; waiting-- {
			m.arrive(now)
		}
		if now > limitGrowthPhase {
			m.lowestLimit = min(m.lowestLimit, l.Limit(now))
		}
	}
}

func (m *machine) arrive(now flow.Time) {
	m.lastID++
	id := m.lastID
	if now > limitGrowthPhase {
		m.arrived++
	}
	result := m.gate.Arrive(now, admitter.Entry{ID: id, Customer: "c", NotAfter: now + permitLifetime})
	if result.Decision == admitter.DecisionRefused {
		m.refuse(now, 1)
	}
	if result.Decision == admitter.DecisionStarted {
		m.start(now, id)
	}
	m.act(now, result.Dequeued)
}

func (m *machine) act(now flow.Time, dequeued admitter.Dequeued) {
	m.refuse(now, len(dequeued.Refused))
	for _, id := range dequeued.Started {
		m.start(now, id)
	}
}

func (m *machine) refuse(now flow.Time, count int) {
	if now > limitGrowthPhase {
		m.refused += count
	}
}

func (m *machine) start(now flow.Time, id uint64) {
	latency := warmLatency * math.Exp(warmDeviation*m.random.NormFloat64())
	if m.random.Float64() < m.delayed {
		latency += m.delay * m.random.ExpFloat64()
	}
	m.starts[id] = now
	m.ends[id] = now + flow.Time(math.Round(latency))
}

// delayStalled spreads the responses that were due during a stall over the time
// after it.
func (m *machine) delayStalled(now flow.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.ends)) {
		if m.ends[id] < now {
			m.ends[id] = now + flow.Time(afterStall*m.random.ExpFloat64())
		}
	}
}

// finish ends the requests that are due, the oldest first.
func (m *machine) finish(now flow.Time) {
	var due []uint64
	for id, ends := range m.ends {
		if !ends.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		delete(m.ends, id)
		m.act(now, m.gate.Finish(now, id, flow.VerdictGood, now.Sub(m.starts[id])))
	}
	m.act(now, m.gate.Advance(now))
}
