// The state that an ingress keeps of the backend servers of one service.

package picker

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	risingLatencyWeight        = 0.5              // weight of a response slower than the smoothed latency
	fallingLatencyTimeConstant = 2 * time.Second  // with which the smoothed latency follows faster responses
	idleLatencyHalfLife        = 10 * time.Second // time without responses in which the smoothed latency halves
	latencyExpiry              = 30 * time.Second // time without responses after which the latency is unknown
	loadHalfLife               = time.Second      // time in which the last reported load halves
	maxLatency                 = 5 * time.Second  // limit of the smoothed latency
	roundingTolerance          = 1e-9             // more than the rounding error of a share of servers
	failureLatencyFactor       = 2.0              // factor on the latency of a failed response
	exploreInterval            = 4                // requests, of which at most one goes to a server that seems slow
	exploreLatencyRatio        = 2.0              // a server seems slow from this multiple of the fastest server's latency on
	maxExploreLoad             = 0.5              // a server with this load or more is not explored
)

// avoidance is how a server is avoided after a refusal.
type avoidance struct {
	duration time.Duration
	rank     int // order among avoided servers, the least bad lowest
}

// avoidances has a row for each refusal that is about the server. A full
// server is avoided for about as long as it takes until a slot is free.
var avoidances = map[flow.Reason]avoidance{
	flow.ReasonNoCapacity:  {50 * time.Millisecond, 1},
	flow.ReasonServerShed:  {100 * time.Millisecond, 2},
	flow.ReasonEjected:     {time.Second, 3},
	flow.ReasonNoLease:     {500 * time.Millisecond, 4},
	flow.ReasonZoneOut:     {2 * time.Second, 5},
	flow.ReasonStopping:    {2 * time.Second, 6},
	flow.ReasonLeaving:     {2 * time.Second, 6},
	flow.ReasonUnreachable: {250 * time.Millisecond, 7},
}

// maxUnreachableAvoidance limits the time for which an unreachable server is
// avoided. The time doubles with each failure in a row.
const maxUnreachableAvoidance = 4 * time.Second

// ServerState is the state of one backend server in a View.
type ServerState struct {
	InFlight         int
	Latency          time.Duration // smoothed, at the time of LastAnswer; 0 when unknown
	LastAnswer       flow.Time
	Load             float64 // as reported at LoadUpdated
	LoadUpdated      flow.Time
	AvoidUntil       flow.Time
	AvoidReason      flow.Reason
	Ejected          bool // gets trial requests only
	trialInterval    time.Duration
	trialInFlight    bool
	acceptedTrials   int // in a row
	unreachableInRow int // failures to reach its daemon in a row
}

// View tracks the backend servers of one service. Servers without a record
// count as idle and of unknown latency.
type View struct {
	servers       map[string]*ServerState
	explored      string // server presented as fast; empty for none
	sinceExplored int    // requests sent since the last one to an explored server
}

// NewView returns a View without records of servers.
func NewView() *View {
	return &View{servers: map[string]*ServerState{}}
}

// Sent records a request sent to the server. Each call must be followed by one of
// Answered, Failed, Refused, Unreachable and Abandoned.
func (v *View) Sent(now flow.Time, server string) {
	s := v.server(server)
	s.InFlight++
	s.trialSent(now)
	v.sinceExplored++
	if server == v.explored {
		v.sinceExplored = 0
	}
}

// Answered records a complete response, its latency and the load reported in it. The
// response to a trial request shows only that the trial was accepted.
func (v *View) Answered(now flow.Time, server string, latency time.Duration, load float64) {
	s := v.requestEnded(server)
	s.unreachableInRow = 0
	if s.Ejected && load >= minEjectedLoad {
		s.trialAccepted(now)
		return
	}
	s.Ejected = false
	s.acceptedTrials = 0
	s.addLatency(now, latency)
	s.setLoad(now, load)
}

// Failed records a response that failed, was truncated or did not come in time, and
// how long it took. It makes the server look slower, so that a server that fails
// fast does not attract requests.
func (v *View) Failed(now flow.Time, server string, latency time.Duration) {
	s := v.requestEnded(server)
	if s.Ejected {
		s.trialAccepted(now)
		return
	}
	s.addLatency(now, time.Duration(failureLatencyFactor*float64(max(latency, s.latencyAt(now)))))
}

// Refused records a refusal, the load reported in it and the time for which the
// refusing daemon wants to be avoided; 0 stands for the default of the reason.
func (v *View) Refused(now flow.Time, server string, reason flow.Reason, load float64, duration time.Duration) {
	s := v.requestEnded(server)
	s.unreachableInRow = 0
	s.setLoad(now, load)
	defaults, ok := avoidances[reason]
	if !ok {
		return // the refusal is about the request, not the server
	}
	if duration <= 0 {
		duration = defaults.duration
	}
	if reason == flow.ReasonEjected {
		s.trialRefused(now, duration)
		return
	}
	s.Ejected = false
	s.avoid(now, reason, duration)
}

// Unreachable records a failure to reach the server's daemon.
func (v *View) Unreachable(now flow.Time, server string) {
	s := v.requestEnded(server)
	s.Ejected = false
	duration := avoidances[flow.ReasonUnreachable].duration << min(s.unreachableInRow, 10)
	s.unreachableInRow++
	s.avoid(now, flow.ReasonUnreachable, min(duration, maxUnreachableAvoidance))
}

// Abandoned records the end of a request that shows nothing about the server.
func (v *View) Abandoned(_ flow.Time, server string) {
	v.requestEnded(server).trialInFlight = false
}

// UpdateLoad records a load that was not reported in a response.
func (v *View) UpdateLoad(now flow.Time, server string, load float64) {
	v.server(server).setLoad(now, load)
}

// Retain drops the servers that are not listed and have nothing in flight.
func (v *View) Retain(servers []string) {
	for name, s := range v.servers {
		if s.InFlight == 0 && !slices.Contains(servers, name) {
			delete(v.servers, name)
		}
	}
}

// Server returns the state of one server; it is zero without a record.
func (v *View) Server(name string) ServerState {
	if s, ok := v.servers[name]; ok {
		return *s
	}
	return ServerState{}
}

// Member is a backend server that a request may go to, as configured.
type Member struct {
	Server   string
	Host     string
	SameZone bool
}

// Query describes the request for which candidates are wanted.
type Query struct {
	Members    []Member
	InService  int     // number of the service's servers in service
	Floor      float64 // share of them that must not be avoided
	Idempotent bool    // the request may be a trial request
}

// Candidates appends a candidate for each member to list and returns it. If fewer
// members than the floor would be left to pick from, the least bad of the avoided
// are allowed again.
func (v *View) Candidates(now flow.Time, list []flow.Candidate, query Query) []flow.Candidate {
	start := len(list)
	for _, m := range query.Members {
		list = append(list, v.candidate(now, m, query.Idempotent))
	}
	v.explore(list[start:])
	v.restoreFloor(now, list[start:], int(math.Ceil(query.Floor*float64(query.InService)-roundingTolerance)))
	return list
}

func (v *View) candidate(now flow.Time, m Member, idempotent bool) flow.Candidate {
	c := flow.Candidate{Server: m.Server, Host: m.Host, SameZone: m.SameZone}
	s, ok := v.servers[m.Server]
	if !ok {
		return c
	}
	c.InFlight = s.InFlight
	if s.Ejected {
		c.Avoid = !s.trialDue(now, idempotent)
		return c
	}
	c.Latency = s.latencyAt(now)
	c.Load = s.Load * decayFactor(now, s.LoadUpdated, loadHalfLife)
	c.Avoid = now.Before(s.AvoidUntil)
	return c
}

// restoreFloor clears Avoid of the least bad candidates until want candidates are
// eligible.
func (v *View) restoreFloor(now flow.Time, list []flow.Candidate, want int) {
	var avoided []int
	for i, c := range list {
		if c.Avoid {
			avoided = append(avoided, i)
		}
	}
	missing := want - (len(list) - len(avoided))
	if missing <= 0 {
		return
	}
	slices.SortStableFunc(avoided, func(a, b int) int {
		return v.compareAvoided(now, list[a].Server, list[b].Server)
	})
	for _, i := range avoided[:min(missing, len(avoided))] {
		list[i].Avoid = false
	}
}

// compareAvoided orders two avoided servers, the less bad first.
func (v *View) compareAvoided(now flow.Time, a, b string) int {
	s, o := v.servers[a], v.servers[b]
	if d := avoidances[s.AvoidReason].rank - avoidances[o.AvoidReason].rank; d != 0 {
		return d
	}
	return int(s.AvoidUntil.Sub(now) - o.AvoidUntil.Sub(now))
}

// explore presents the slowest idle server of the own availability zone as the
// fastest, for at most one request in exploreInterval. Picking by latency alone
// would starve a server that seems slow, so that its latency could not be
// measured, nor a recovery noticed.
func (v *View) explore(list []flow.Candidate) {
	v.explored = ""
	if v.sinceExplored < exploreInterval {
		return
	}
	fastest, slowest := time.Duration(0), -1
	for i, c := range list {
		if c.Avoid || c.Latency == 0 {
			continue
		}
		if fastest == 0 || c.Latency < fastest {
			fastest = c.Latency
		}
		idle := c.SameZone && c.InFlight == 0 && c.Load < maxExploreLoad
		if idle && (slowest < 0 || c.Latency > list[slowest].Latency) {
			slowest = i
		}
	}
	if slowest < 0 || float64(list[slowest].Latency) < exploreLatencyRatio*float64(fastest) {
		return
	}
	v.explored = list[slowest].Server
	list[slowest].Latency = time.Duration(float64(fastest) / exploreLatencyRatio)
}

func (v *View) server(name string) *ServerState {
	s, ok := v.servers[name]
	if !ok {
		s = &ServerState{}
		v.servers[name] = s
	}
	return s
}

func (v *View) requestEnded(name string) *ServerState {
	s := v.server(name)
	s.InFlight = max(0, s.InFlight-1)
	return s
}

// addLatency smooths in one latency: quickly when it is higher, slowly when it is
// lower.
func (s *ServerState) addLatency(now flow.Time, latency time.Duration) {
	latency = min(latency, maxLatency)
	smoothed := s.latencyAt(now)
	elapsed := now.Sub(s.LastAnswer)
	s.LastAnswer = now
	if smoothed == 0 {
		s.Latency = latency
		return
	}
	weight := risingLatencyWeight
	if latency < smoothed {
		weight = 1 - math.Exp(-float64(elapsed)/float64(fallingLatencyTimeConstant))
	}
	s.Latency = smoothed + time.Duration(weight*float64(latency-smoothed))
}

// latencyAt returns the smoothed latency, lowered for the time without responses, so
// that a server that was slow once is tried again.
func (s *ServerState) latencyAt(now flow.Time) time.Duration {
	if s.Latency == 0 || now.Sub(s.LastAnswer) > latencyExpiry {
		return 0
	}
	return max(1, time.Duration(float64(s.Latency)*decayFactor(now, s.LastAnswer, idleLatencyHalfLife)))
}

func (s *ServerState) setLoad(now flow.Time, load float64) {
	s.Load = load
	s.LoadUpdated = now
}

func (s *ServerState) avoid(now flow.Time, reason flow.Reason, duration time.Duration) {
	s.AvoidUntil = now.Add(duration)
	s.AvoidReason = reason
}

// decayFactor returns the share that is left of a value after the time since then.
func decayFactor(now, since flow.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
}
