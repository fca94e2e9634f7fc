// Package selector plans, on the daemon that received a request, which backend
// servers the request is offered to and in which order.
//
// Servers in the daemon's own availability zone come first while they have free
// slots, because traffic between zones adds latency and cost. Only the daemon
// beside a server knows its exact load, and it answers an offer immediately. The
// selector therefore offers a request before it relies on a server, and trusts a
// reported load only for a short time.
//
// A Selector is a state machine without I/O or a clock of its own. It is not safe
// for concurrent use.
//
// It is a part of the sidecar that package supervisor runs. The daemon that
// package runner runs has packages chooser and picker instead.
package selector

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// loadReportTTL is how long a report of a full server keeps offers for a free
	// slot away from it. Suspicion, used slots and queue wait are trusted for a
	// multiple of this.
	loadReportTTL = 250 * time.Millisecond
	// minUnreachableBackoff and maxUnreachableBackoff bound how long a server is
	// skipped after the path to its daemon failed.
	minUnreachableBackoff = 700 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// absentBackoff is how long a server is skipped when its daemon is not running
	// or is stopping. It is short because the daemon may restart at once, and an
	// offer costs only a round trip.
	absentBackoff = 300 * time.Millisecond
	// trialInterval is the minimum time between trial requests from one daemon to
	// one suspected server.
	trialInterval = 700 * time.Millisecond
	// trialPeers is the number of daemons of a zone that try a suspected server at the same
	// time, on average, while all know of the suspicion.
	trialPeers = 8.0
	// suspicionPeers is the number of daemons of a zone up to which a known suspicion does not
	// count longer than one that only this daemon knows of.
	suspicionPeers = 16.0
	// goneBackoff is how long a server that has ended is skipped while its entry is
	// still listed.
	goneBackoff = 5 * time.Second
	// maxSlotOffers bounds the servers that are offered a request for a free slot.
	maxSlotOffers = 8
	// maxQueueOffers bounds the servers that are offered a request for their queue, and
	// likewise the suspected servers that are offered it as a last resort.
	maxQueueOffers = 3
	// maxUnreachableOffers bounds the last-resort offers to servers that were
	// unreachable moments ago.
	maxUnreachableOffers = 2
	// minAttemptsForTrial is the number of attempts a request must have left to try
	// a suspected server: one for that server and one for a retry elsewhere.
	minAttemptsForTrial = 2
	// doubtExpiry is how long the hint counts that a daemon is out of reach, and contactTrust
	// how much newer than this daemon's own contact it must be.
	doubtExpiry  = 3 * time.Second
	contactTrust = 2 * time.Second
	// crossZoneWaitPenalty is added to the expected wait of a server in another zone.
	crossZoneWaitPenalty = 80 * time.Millisecond
)

// Candidate is a backend server that accepts new requests.
type Candidate struct {
	Server   *flow.ServerEntry
	SameZone bool
}

// serverState is what this daemon knows about one server.
type serverState struct {
	reported        bool
	reportedAt      flow.Time
	freeSlots       int
	queueWait       time.Duration
	grayProbability float64
	inFlight        int       // offers and requests from this daemon that have not ended
	skipUntil       flow.Time // end of the backoff
	backoff         time.Duration
	lastTrial       flow.Time
	lastUsed        flow.Time
	contactAt       flow.Time // when its daemon last answered this one
	trialAt         flow.Time // when a suspected server takes a trial
	doubtedAt       flow.Time // see Learned.DoubtedAt
}

// Selector keeps the last reported load and the reachability of each server.
type Selector struct {
	states map[string]*serverState // by server id
	random *rand.Rand
}

// New returns a Selector that has no reports.
func New(random *rand.Rand) *Selector {
	return &Selector{states: map[string]*serverState{}, random: random}
}

// Offer describes how to offer a request to one server.
type Offer struct {
	Server  *flow.ServerEntry
	MayWait bool // the request may join the queue if no slot is free
	Trial   bool // the request may run even if the server is suspected of failing
	Forced  bool // the request may run even if a suspected server had a trial a moment ago
}

// Query describes a request that needs a server.
type Query struct {
	Candidates      []Candidate
	Tried           map[string]bool // ids of the servers already tried
	Repeatable      bool            // see the function Repeatable
	RetryBudgetLeft bool            // the retry budget allows a retry if this attempt fails
	LargeResponse   bool            // the route's responses are large
	// Informed is true if this daemon learns the loads that other daemons report (method
	// Learn), so that it hears when a suspicion ends, and Peers the number of daemons in the
	// zone that learn the same.
	Informed bool
	Peers    int
}

// Repeatable reports whether a request may run on a server that is suspected of
// failing: it is idempotent and, after the given number of attempts that may have
// run, enough of maxAttempts is left for a retry elsewhere.
func Repeatable(idempotent bool, maxAttempts, possibleRuns int) bool {
	return idempotent && maxAttempts-possibleRuns >= minAttemptsForTrial
}

// Plan returns the offers to make, in order, until a server accepts the request.
func (s *Selector) Plan(now flow.Time, query Query) []Offer {
	var usable, doubtful, suspected, unreachable []Candidate
	for _, candidate := range query.Candidates {
		state := s.state(now, candidate.Server.ID)
		switch {
		case query.Tried[candidate.Server.ID]:
		case now.Before(state.skipUntil):
			unreachable = append(unreachable, candidate)
		case s.isSuspected(now, state, query):
			suspected = append(suspected, candidate)
		case query.Informed && state.isDoubtful(now):
			doubtful = append(doubtful, candidate)
		default:
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		usable, doubtful = doubtful, nil
	}
	s.shuffle(usable)
	var plan []Offer
	explores := query.Repeatable && query.RetryBudgetLeft
	if explores {
		plan = s.trialOffers(now, suspected, query, true)
	}
	if query.LargeResponse {
		// A large response is better queued for in this zone than sent between zones.
		// Daemons refuse a request that would wait too long.
		sameZone := slices.DeleteFunc(slices.Clone(usable), func(c Candidate) bool { return !c.SameZone })
		plan = append(plan, s.slotOffers(now, sameZone, explores)...)
		plan = append(plan, s.queueOffers(now, sameZone)...)
	}
	plan = append(plan, s.slotOffers(now, usable, explores)...)
	if query.Informed && query.Repeatable {
		plan = append(plan, s.trialOffers(now, suspected, query, false)...)
	}
	plan = append(plan, s.queueOffers(now, usable)...)
	plan = append(plan, s.doubtfulOffers(doubtful)...)
	if query.Repeatable || len(usable) == 0 {
		plan = append(plan, s.lastResortOffers(now, suspected, unreachable, len(usable) == 0)...)
	}
	return plan
}

func (s *Selector) isSuspected(now flow.Time, state *serverState, query Query) bool {
	if !state.reported || state.grayProbability <= estimator.SuspectThreshold {
		return false
	}
	// A mild suspicion expires sooner than a strong one. The more daemons of the zone know of
	// it, the longer it counts, since each of them then offers the server a request.
	knowing := 1.0
	if query.Informed {
		knowing = max(float64(query.Peers)/suspicionPeers, 1)
		if estimator.DecayToPrior(state.grayProbability, now.Sub(state.reportedAt)) <= estimator.SuspectThreshold {
			return false
		}
	}
	strength := (state.grayProbability - estimator.SuspectThreshold) / (1 - estimator.SuspectThreshold)
	return now.Sub(state.reportedAt) < time.Duration(knowing*(1+3*strength)*float64(loadReportTTL))
}

func (s *Selector) shuffle(candidates []Candidate) {
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
}

// trialOffers returns an offer to at most one suspected server in the same zone whose
// last trial is at least trialInterval ago.
func (s *Selector) trialOffers(now flow.Time, suspected []Candidate, query Query, sameZone bool) []Offer {
	if query.Informed && s.random.Float64()*float64(query.Peers) > trialPeers {
		return nil // one of the other daemons
	}
	for _, candidate := range suspected {
		state := s.state(now, candidate.Server.ID)
		if (candidate.SameZone || !sameZone) && s.trialDue(now, state, query.Informed) {
			state.lastTrial = now
			return []Offer{{Server: candidate.Server, Trial: true}}
		}
	}
	return nil
}

// trialDue reports whether a suspected server may get a trial from this daemon.
func (s *Selector) trialDue(now flow.Time, state *serverState, informed bool) bool {
	if now.Sub(state.lastTrial) >= trialInterval {
		return !informed || !now.Before(state.trialAt)
	}
	// A good response to a trial is followed by the next one at once.
	return informed && state.reportedAt.After(state.lastTrial) && !now.Before(state.trialAt)
}

// doubtfulOffers returns offers to servers whose daemons others could not reach. They come
// after all others, since an offer that gets no answer delays the request.
func (s *Selector) doubtfulOffers(doubtful []Candidate) []Offer {
	s.shuffle(doubtful)
	var offers []Offer
	for _, candidate := range doubtful[:min(len(doubtful), maxUnreachableOffers)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: true})
	}
	return offers
}

// slotOffers returns offers to the servers that may have a free slot, those in the
// same zone first and nearly full servers last in their zone. A request explores if it
// is repeatable and the retry budget allows a retry: it goes to the servers most likely
// to be gray, those without a recent report included, and finds out which servers fail
// before other requests do. Every other request goes to the servers least likely to be
// gray.
func (s *Selector) slotOffers(now flow.Time, usable []Candidate, explores bool) []Offer {
	ordered := slices.Clone(usable)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		if a.SameZone != b.SameZone {
			return compareFlag(a.SameZone)
		}
		if nearlyFullA, nearlyFullB := s.nearlyFull(now, a), s.nearlyFull(now, b); nearlyFullA != nearlyFullB {
			return compareFlag(nearlyFullB)
		}
		grayA, grayB := s.grayProbability(now, a), s.grayProbability(now, b)
		if grayA != grayB {
			return compareFlag((grayA < grayB) != explores)
		}
		return s.usedSlots(now, a) - s.usedSlots(now, b)
	})
	var offers []Offer
	for _, candidate := range ordered {
		state := s.state(now, candidate.Server.ID)
		if state.reported && state.freeSlots <= 0 && now.Sub(state.reportedAt) < loadReportTTL {
			continue
		}
		offers = append(offers, Offer{Server: candidate.Server})
		if len(offers) == maxSlotOffers {
			break
		}
	}
	return offers
}

// compareFlag returns a comparison result that sorts a before b if aFirst is true,
// and b before a otherwise.
func compareFlag(aFirst bool) int {
	if aFirst {
		return -1
	}
	return 1
}

// nearlyFull reports whether at most a quarter of a server's slots are free.
func (s *Selector) nearlyFull(now flow.Time, candidate Candidate) bool {
	return candidate.Server.Slots-s.usedSlots(now, candidate) <= candidate.Server.Slots/4
}

// grayProbability returns the last reported probability that a server is gray: that it
// fails most of its requests. As the report ages, it decays to the prior of any server.
func (s *Selector) grayProbability(now flow.Time, candidate Candidate) float64 {
	state := s.state(now, candidate.Server.ID)
	if !state.reported {
		return estimator.Prior
	}
	return estimator.DecayToPrior(state.grayProbability, now.Sub(state.reportedAt))
}

// usedSlots returns the number of used slots at a server, as far as it is known.
func (s *Selector) usedSlots(now flow.Time, candidate Candidate) int {
	state := s.state(now, candidate.Server.ID)
	if state.reported && now.Sub(state.reportedAt) < 4*loadReportTTL {
		return max(candidate.Server.Slots-state.freeSlots, state.inFlight)
	}
	return state.inFlight
}

// queueOffers returns offers to the servers with the shortest expected wait.
func (s *Selector) queueOffers(now flow.Time, usable []Candidate) []Offer {
	ordered := slices.Clone(usable)
	slices.SortStableFunc(ordered, func(a, b Candidate) int {
		return int(s.expectedWait(now, a) - s.expectedWait(now, b))
	})
	var offers []Offer
	for _, candidate := range ordered[:min(len(ordered), maxQueueOffers)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: true})
	}
	return offers
}

func (s *Selector) expectedWait(now flow.Time, candidate Candidate) time.Duration {
	var wait time.Duration
	if state := s.state(now, candidate.Server.ID); state.reported && now.Sub(state.reportedAt) < 8*loadReportTTL {
		wait = state.queueWait
	}
	if !candidate.SameZone {
		wait += crossZoneWaitPenalty
	}
	return wait
}

// lastResortOffers returns forced offers to the suspected servers least likely to be
// gray, then to unreachable ones. They keep a service in use when all of its servers seem
// to fail. While other servers are merely full, a request may run on a suspected server
// but should not queue there.
func (s *Selector) lastResortOffers(now flow.Time, suspected, unreachable []Candidate, mayWait bool) []Offer {
	slices.SortStableFunc(suspected, func(a, b Candidate) int {
		grayA, grayB := s.state(now, a.Server.ID).grayProbability, s.state(now, b.Server.ID).grayProbability
		switch {
		case grayA < grayB:
			return -1
		case grayA > grayB:
			return 1
		}
		return 0
	})
	var offers []Offer
	for _, candidate := range suspected[:min(len(suspected), maxQueueOffers)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: mayWait, Trial: true, Forced: true})
	}
	s.shuffle(unreachable)
	for _, candidate := range unreachable[:min(len(unreachable), maxUnreachableOffers)] {
		offers = append(offers, Offer{Server: candidate.Server, MayWait: true, Trial: true, Forced: true})
	}
	return offers
}

// state returns the state of a server and adds an empty one for a new server.
func (s *Selector) state(now flow.Time, server string) *serverState {
	state, ok := s.states[server]
	if !ok {
		state = &serverState{skipUntil: flow.Never, lastTrial: flow.Never, trialAt: flow.Never, reportedAt: flow.Never, contactAt: flow.Never, doubtedAt: flow.Never}
		s.states[server] = state
	}
	state.lastUsed = now
	return state
}

// UpdateLoad records the load that the daemon beside a server reported. The server
// is reachable, so this ends any backoff.
func (s *Selector) UpdateLoad(now flow.Time, server string, load flow.ServerLoad) {
	state := s.state(now, server)
	state.setLoad(now, load)
	state.skipUntil, state.backoff = flow.Never, 0
	state.contactAt = now
}

func (state *serverState) setLoad(at flow.Time, load flow.ServerLoad) {
	state.reported, state.reportedAt = true, at
	state.freeSlots, state.queueWait, state.grayProbability, state.trialAt = load.FreeSlots, load.QueueWait, load.GrayProbability, at.Add(load.TrialIn)
}

// Learned is what other daemons say about a server.
type Learned struct {
	HasLoad    bool
	Load       flow.ServerLoad
	MeasuredAt flow.Time // of the load
	// DoubtedAt is when another daemon of the zone found the server's daemon out of reach or
	// silent; flow.Never if none did. This daemon may reach it all the same.
	DoubtedAt flow.Time
}

// Learn records what other daemons say about a server. A load counts if it is newer than what
// this daemon knows.
func (s *Selector) Learn(now flow.Time, server string, learned Learned) {
	state := s.state(now, server)
	state.doubtedAt = max(state.doubtedAt, learned.DoubtedAt)
	if learned.HasLoad && learned.MeasuredAt.After(state.reportedAt) {
		state.setLoad(learned.MeasuredAt, learned.Load)
	}
}

// isDoubtful reports whether another daemon could not reach the server's daemon, and this one
// has not reached it recently or since.
func (state *serverState) isDoubtful(now flow.Time) bool {
	return now.Sub(state.doubtedAt) < doubtExpiry && state.doubtedAt.After(state.contactAt.Add(contactTrust))
}

// MarkUnreachable records that the path to a server's daemon failed. The backoff
// doubles with each failure in a row.
func (s *Selector) MarkUnreachable(now flow.Time, server string) {
	state := s.state(now, server)
	state.backoff = min(max(2*state.backoff, minUnreachableBackoff), maxUnreachableBackoff)
	state.skipUntil = now.Add(state.backoff)
}

// MarkAbsent records that a server's daemon is not running or is stopping.
func (s *Selector) MarkAbsent(now flow.Time, server string) {
	s.state(now, server).skipUntil = now.Add(absentBackoff)
}

// MarkGone records that a server has ended although it is still listed.
func (s *Selector) MarkGone(now flow.Time, server string) {
	s.state(now, server).skipUntil = now.Add(goneBackoff)
}

// MarkShed records that a server itself shed a request, so it has no free slot.
func (s *Selector) MarkShed(now flow.Time, server string) {
	state := s.state(now, server)
	state.reported, state.reportedAt, state.freeSlots, state.contactAt = true, now, 0, now
}

// BeginRequest counts an offer or request to a server as in flight. Each call needs
// one call of EndRequest.
func (s *Selector) BeginRequest(now flow.Time, server string) { s.state(now, server).inFlight++ }

// EndRequest ends what BeginRequest counted.
func (s *Selector) EndRequest(now flow.Time, server string) { s.state(now, server).inFlight-- }

// Sweep forgets servers that were not used for longer than idle and have nothing in
// flight.
func (s *Selector) Sweep(now flow.Time, idle time.Duration) {
	for server, state := range s.states {
		if state.inFlight == 0 && now.Sub(state.lastUsed) > idle {
			delete(s.states, server)
		}
	}
}
