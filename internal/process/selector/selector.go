// Package selector chooses, at the daemon that a caller asked, the backend
// servers to which a request is offered, and in which order.
//
// The own availability zone goes first while it has room: bytes between zones
// cost time and money. What a server has free is known exactly by the daemon
// beside it only, which answers an offer at once; so a server is asked before it
// is trusted, and what it said is believed for a moment.
//
// A Selector is a state machine: no input, output or clock. It is not safe for
// use by many goroutines.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// loadValidity is how long the load that a daemon told of a full server keeps
	// offers away from it.
	loadValidity = 250 * time.Millisecond
	// firstAvoidance and longestAvoidance bound how long a server is passed over
	// to which the path is broken.
	firstAvoidance   = 700 * time.Millisecond
	longestAvoidance = 4 * time.Second
	// absence is how long a server is passed over whose daemon is not there or
	// stops: it may be started again at once, and asking costs a round trip.
	absence = 300 * time.Millisecond
	// trialEvery is how often one daemon offers repeatable work to a server that
	// it takes for failing.
	trialEvery = 700 * time.Millisecond
	// goneTime is how long a server is passed over that has ended, while its entry
	// is still listed.
	goneTime = 5 * time.Second
	// mostOffers bounds the servers that are asked for a free slot.
	mostOffers = 8
	// mostQueues bounds the servers that are asked for a place in their queue.
	mostQueues = 3
	// mostBroken bounds the servers that are asked though the path to them seemed
	// broken a moment ago.
	mostBroken = 2
	// spareAttempts is the number of attempts that have to be left for a request
	// to try a suspected server: that one and another.
	spareAttempts = 2
	// otherZoneWait is what a queue in another zone must be shorter by.
	otherZoneWait = 80 * time.Millisecond
)

// Candidate is a backend server that takes new work.
type Candidate struct {
	Server   *flow.ServerEntry
	SameZone bool
}

// view is what is known of one server here.
type view struct {
	heard     bool
	at        flow.Time // when the load was heard
	free      int
	wait      time.Duration
	gray      float64
	sent      int       // requests under way from here
	avoid     flow.Time // until when the path counts as broken
	avoidance time.Duration
	triedAt   flow.Time
	seen      flow.Time
}

// Selector remembers what was heard of servers.
type Selector struct {
	views  map[string]*view
	random *rand.Rand
}

// New returns a Selector that has heard nothing.
func New(random *rand.Rand) *Selector { return &Selector{views: map[string]*view{}, random: random} }

// Offer is one server to ask, and how.
type Offer struct {
	Server  *flow.ServerEntry
	MayWait bool // take a place in the queue if no slot is free
	Trial   bool // the server may be suspected of failing
	Forced  bool // take it even if the server is suspected and was tried just now
}

// Query is what is known of a request that seeks a server.
type Query struct {
	Candidates  []Candidate
	Tried       map[string]bool // servers that it has reached already, by id
	Repeatable  bool            // it may be used to try a suspected server
	RetryLeft   bool            // a retry is left for it if that fails
	LargeAnswer bool            // its answer is long
}

// Repeatable reports whether a request may be used to try a suspected server, when it
// has reached some servers out of the most that its route allows.
func Repeatable(idempotent bool, most, reached int) bool {
	return idempotent && most-reached >= spareAttempts
}

// Plan returns the servers to ask in order, until one takes the request.
func (s *Selector) Plan(now flow.Time, query Query) []Offer {
	var usable, suspected, broken []Candidate
	for _, candidate := range query.Candidates {
		v := s.view(now, candidate.Server.ID)
		switch {
		case query.Tried[candidate.Server.ID]:
		case now.Before(v.avoid):
			broken = append(broken, candidate)
		case s.suspects(now, v):
			suspected = append(suspected, candidate)
		default:
			usable = append(usable, candidate)
		}
	}
	s.shuffle(usable)
	var plan []Offer
	explores := query.Repeatable && query.RetryLeft
	if explores {
		plan = s.trials(now, suspected)
	}
	if query.LargeAnswer {
		// The daemons refuse who would wait too long.
		near := slices.DeleteFunc(slices.Clone(usable), func(c Candidate) bool { return !c.SameZone })
		plan = append(plan, s.immediate(now, near, explores)...)
		plan = append(plan, s.queues(now, near)...)
	}
	plan = append(plan, s.immediate(now, usable, explores)...)
	plan = append(plan, s.queues(now, usable)...)
	if query.Repeatable || len(usable) == 0 {
		plan = append(plan, s.lastResort(now, suspected, broken, len(usable) == 0)...)
	}
	return plan
}

func (s *Selector) suspects(now flow.Time, v *view) bool {
	if !v.heard || v.gray <= estimator.SuspectThreshold {
		return false
	}
	// A mild suspicion passes sooner than a strong one.
	strength := (v.gray - estimator.SuspectThreshold) / (1 - estimator.SuspectThreshold)
	return now.Sub(v.at) < time.Duration((1+3*strength)*float64(loadValidity))
}

func (s *Selector) shuffle(candidates []Candidate) {
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
}

// trials returns at most one suspected server of the own zone that was not tried
// for a while.
func (s *Selector) trials(now flow.Time, suspected []Candidate) []Offer {
	for _, candidate := range suspected {
		v := s.view(now, candidate.Server.ID)
		if candidate.SameZone && now.Sub(v.triedAt) >= trialEvery {
			v.triedAt = now
			return []Offer{{Server: candidate.Server, Trial: true}}
		}
	}
	return nil
}

// immediate returns the servers that may have a free slot, those of the own
// zone first. Work that may run only once goes where the latest answers were
// good, as long as slots are to spare there; what may be repeated goes where
// nothing was heard for longest, and so finds out which servers fail before
// other work does, as long as a retry is left for it.
func (s *Selector) immediate(now flow.Time, usable []Candidate, explores bool) []Offer {
	ordered := slices.Clone(usable)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		if a.SameZone != b.SameZone {
			return before(a.SameZone)
		}
		if crowdedA, crowdedB := s.crowded(now, a), s.crowded(now, b); crowdedA != crowdedB {
			return before(crowdedB)
		}
		grayA, grayB := s.gray(now, a), s.gray(now, b)
		if grayA != grayB {
			return before((grayA < grayB) != explores)
		}
		return s.inUse(now, a) - s.inUse(now, b)
	})
	var offers []Offer
	for _, candidate := range ordered {
		v := s.view(now, candidate.Server.ID)
		if v.heard && v.free <= 0 && now.Sub(v.at) < loadValidity {
			continue
		}
		offers = append(offers, Offer{Server: candidate.Server})
		if len(offers) == mostOffers {
			break
		}
	}
	return offers
}

// before orders two elements of which the first goes before if it says so.
func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// crowded reports whether few slots of a server are left.
func (s *Selector) crowded(now flow.Time, candidate Candidate) bool {
	return candidate.Server.Slots-s.inUse(now, candidate) <= candidate.Server.Slots/4
}

// gray is the probability that a server fails, as last heard. Without news it
// returns to what it is for any server.
func (s *Selector) gray(now flow.Time, candidate Candidate) float64 {
	v := s.view(now, candidate.Server.ID)
	if !v.heard {
		return estimator.Prior
	}
	return estimator.DecayToPrior(v.gray, now.Sub(v.at))
}

// inUse is the number of slots in use at a server, as far as it is known.
func (s *Selector) inUse(now flow.Time, candidate Candidate) int {
	v := s.view(now, candidate.Server.ID)
	if v.heard && now.Sub(v.at) < 4*loadValidity {
		return max(candidate.Server.Slots-v.free, v.sent)
	}
	return v.sent
}

// queues returns the servers with the shortest queues.
func (s *Selector) queues(now flow.Time, usable []Candidate) []Offer {
	ordered := slices.Clone(usable)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return int(s.expectedWait(now, a) - s.expectedWait(now, b))
	})
	var offers []Offer
	for _, candidate := range ordered[:min(len(ordered), mostQueues)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: true})
	}
	return offers
}

func (s *Selector) expectedWait(now flow.Time, candidate Candidate) time.Duration {
	var wait time.Duration
	if v := s.view(now, candidate.Server.ID); v.heard && now.Sub(v.at) < 8*loadValidity {
		wait = v.wait
	}
	if !candidate.SameZone {
		wait += otherZoneWait
	}
	return wait
}

// lastResort returns the servers that are least likely to fail when no other
// takes the request: a service that fails as a whole must not go without work.
// While others are merely full, a suspected server is worth a try, but no wait.
func (s *Selector) lastResort(now flow.Time, suspected, broken []Candidate, mayWait bool) []Offer {
	slices.SortStableFunc(suspected, func(a, b Candidate) int {
		grayA, grayB := s.view(now, a.Server.ID).gray, s.view(now, b.Server.ID).gray
		switch {
		case grayA < grayB:
			return -1
		case grayA > grayB:
			return 1
		}
		return 0
	})
	var offers []Offer
	for _, candidate := range suspected[:min(len(suspected), mostQueues)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: mayWait, Trial: true, Forced: true})
	}
	s.shuffle(broken)
	for _, candidate := range broken[:min(len(broken), mostBroken)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: true, Trial: true, Forced: true})
	}
	return offers
}

// -----------------------------------------------------------------------------

func (s *Selector) view(now flow.Time, server string) *view {
	v, ok := s.views[server]
	if !ok {
		v = &view{avoid: flow.Never, triedAt: flow.Never, at: flow.Never}
		s.views[server] = v
	}
	v.seen = now
	return v
}

// Heard takes what the daemon beside a server said of it.
func (s *Selector) Heard(now flow.Time, server string, free int, wait time.Duration, gray float64) {
	v := s.view(now, server)
	v.heard, v.at, v.free, v.wait, v.gray = true, now, free, wait, gray
	v.avoid, v.avoidance = flow.Never, 0
}

// Unreachable notes that the path to a server's daemon is broken.
func (s *Selector) Unreachable(now flow.Time, server string) {
	v := s.view(now, server)
	v.avoidance = min(max(2*v.avoidance, firstAvoidance), longestAvoidance)
	v.avoid = now.Add(v.avoidance)
}

// Absent notes that a server's daemon is not there, or stops.
func (s *Selector) Absent(now flow.Time, server string) { s.view(now, server).avoid = now.Add(absence) }

// Gone notes that a listed server has ended.
func (s *Selector) Gone(now flow.Time, server string) {
	s.view(now, server).avoid = now.Add(goneTime)
}

// Shed notes that a server turned a request away itself.
func (s *Selector) Shed(now flow.Time, server string) {
	v := s.view(now, server)
	v.heard, v.at, v.free = true, now, 0
}

// Sent and Ended count the requests under way.
func (s *Selector) Sent(now flow.Time, server string) { s.view(now, server).sent++ }

// Ended ends what Sent began.
func (s *Selector) Ended(now flow.Time, server string) { s.view(now, server).sent-- }

// Sweep forgets servers of which nothing was asked for a time.
func (s *Selector) Sweep(now flow.Time, after time.Duration) {
	for server, v := range s.views {
		if v.sent == 0 && now.Sub(v.seen) > after {
			delete(s.views, server)
		}
	}
}
