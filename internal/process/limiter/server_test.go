// A small fake of a backend server that starts cold, and the loop that keeps it
// under demand.

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
	fakeEndures  = 150 // request-milliseconds beyond what it bears until the server collapses
	fakeDuration = flow.Time(30_000)
)

// faults of one run, by time in milliseconds.
type faults struct {
	warm    bool        // the server starts warm
	colds   []flow.Time // when it turns cold again
	restart bool        // and then refuses connections for 300 ms
	shedAt  flow.Time   // when it begins to shed beyond three requests, for 10 s; 0 for never
}

type request struct {
	started, ends flow.Time
	verdict       flow.Verdict
	lost          bool // the server collapsed under it and works on it no more
}

type fakeServer struct {
	faults
	random      *rand.Rand
	coldAt      flow.Time // when it last turned cold
	refuseUntil flow.Time
	debt        int
	running     []request

	served, beyond, collapses int
	fullAt                    flow.Time // when full capacity was first given after coldAt; 0 for not yet
}

func (s *fakeServer) warmth(now flow.Time) float64 {
	return min(1, float64(now.Sub(s.coldAt))/float64(fakeWarmUp))
}

func (s *fakeServer) bears(now flow.Time) int {
	return 1 + int(float64(fakeSlots-1)*s.warmth(now))
}

func (s *fakeServer) turnCold(now flow.Time) {
	s.coldAt = now
	s.fullAt = 0
	s.debt = 0
}

// begin starts one request.
func (s *fakeServer) begin(now flow.Time) {
	n := s.working() + 1
	r := request{started: now, verdict: flow.VerdictGood}
	bears := s.bears(now)
	over := max(0, n-bears)
	latency := float64(fakeLatency) * math.Exp(0.3*s.random.NormFloat64()) *
		(1 + 0.5*(1-s.warmth(now))) * (1 + 1.5*float64(over))
	r.ends = now.Add(time.Duration(latency)) + 1
	switch {
	case now.Before(s.refuseUntil):
		r.verdict, r.ends = flow.VerdictRefused, now+1
	case s.shedAt > 0 && now >= s.shedAt && now < s.shedAt+10_000 && n > 3:
		r.verdict, r.ends = flow.VerdictShed, now+1
		s.beyond++
	case over > 0:
		s.beyond++
	}
	if now.After(s.coldAt+flow.Time(fakeWarmUp.Milliseconds())) && n == fakeSlots && s.fullAt == 0 {
		s.fullAt = now
	}
	s.running = append(s.running, r)
}

// working counts the requests that the server works on.
func (s *fakeServer) working() int {
	n := 0
	for _, r := range s.running {
		if !r.lost {
			n++
		}
	}
	return n
}

// strain collapses the server when it is given too much for too long.
func (s *fakeServer) strain(now flow.Time) {
	over := s.working() - s.bears(now)
	s.debt = max(0, s.debt+max(-1, over))
	if s.debt <= fakeEndures {
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

// drive keeps the server under full demand through the limiter.
func (s *fakeServer) drive(limiter flow.Limiter) {
	if s.warm {
		s.coldAt = flow.Time(-fakeWarmUp.Milliseconds())
	}
	for now := flow.Time(1); now <= fakeDuration; now++ {
		s.fault(now)
		s.finish(now, limiter)
		for len(s.running) < limiter.Limit(now) {
			s.begin(now)
		}
		s.strain(now)
	}
}

func (s *fakeServer) fault(now flow.Time) {
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

// -----------------------------------------------------------------------------

const (
	warmLatency = 5.0               // milliseconds, of a server far from its limits
	warmSpread  = 0.3               // standard deviation of its logarithm
	permitSpan  = flow.Time(1000)   // in which a request may start
	afterStall  = 3.0               // milliseconds in which the delayed answers come after a stall, in the mean
	stallMost   = 60.0              // milliseconds
	noiseSpan   = flow.Time(30_000) // of a run
	usedFor     = flow.Time(2000)   // in which the limit may still rise to what is asked
)

// noise is that of a machine with more to run than processors.
type noise struct {
	slots  int
	rate   float64 // requests a second
	stalls float64 // a second, each of which stops everything
	stall  float64 // their mean length in milliseconds
	late   float64 // share of answers that come late by themselves
	later  float64 // by how much in the mean, in milliseconds
}

// machine drives a server that is far from its limits through a gate, on a
// machine with noise. All requests are of one customer.
type machine struct {
	noise
	random  *rand.Rand
	gate    *admitter.Gate
	running map[uint64]flow.Time // when each ends
	began   map[uint64]flow.Time

	lastID         uint64
	asked, refused int // after usedFor
	least          int // limit in force
}

func (m *machine) drive(l flow.Limiter) {
	m.gate = admitter.New(admitter.Options{Server: "s", Limiter: l, Slots: m.slots})
	m.running, m.began = map[uint64]flow.Time{}, map[uint64]flow.Time{}
	m.least = m.slots
	var stalledUntil flow.Time
	waiting := 0
	for now := flow.Time(1); now <= noiseSpan; now++ {
		for m.random.Float64() < m.rate/1000 {
			waiting++
		}
		if now >= stalledUntil && m.random.Float64() < m.stalls/1000 {
			stalledUntil = now + flow.Time(min(stallMost, m.stall*m.random.ExpFloat64()))
		}
		if now < stalledUntil {
			continue
		}
		if now == stalledUntil {
			m.trickle(now)
		}
		m.finish(now)
		for ; waiting > 0; waiting-- {
			m.arrive(now)
		}
		if now > usedFor {
			m.least = min(m.least, l.Limit(now))
		}
	}
}

func (m *machine) arrive(now flow.Time) {
	m.lastID++
	id := m.lastID
	if now > usedFor {
		m.asked++
	}
	answer := m.gate.Arrive(now, admitter.Entry{ID: id, Customer: "c", NotAfter: now + permitSpan})
	if answer.Decision == admitter.DecisionRefused {
		m.refuse(now, 1)
	}
	if answer.Decision == admitter.DecisionStarted {
		m.begin(now, id)
	}
	m.act(now, answer.Dequeued)
}

func (m *machine) act(now flow.Time, moves admitter.Dequeued) {
	m.refuse(now, len(moves.Refused))
	for _, id := range moves.Started {
		m.begin(now, id)
	}
}

func (m *machine) refuse(now flow.Time, count int) {
	if now > usedFor {
		m.refused += count
	}
}

func (m *machine) begin(now flow.Time, id uint64) {
	latency := warmLatency * math.Exp(warmSpread*m.random.NormFloat64())
	if m.random.Float64() < m.late {
		latency += m.later * m.random.ExpFloat64()
	}
	m.began[id] = now
	m.running[id] = now + flow.Time(math.Round(latency))
}

// trickle spreads the answers that came during a stall over what follows it.
func (m *machine) trickle(now flow.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		if m.running[id] < now {
			m.running[id] = now + flow.Time(afterStall*m.random.ExpFloat64())
		}
	}
}

// finish ends what is due, the oldest first.
func (m *machine) finish(now flow.Time) {
	var due []uint64
	for id, ends := range m.running {
		if !ends.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		delete(m.running, id)
		m.act(now, m.gate.Finish(now, id, flow.VerdictGood, now.Sub(m.began[id])))
	}
	m.act(now, m.gate.Advance(now))
}
