// What an ingress remembers of the backend servers of one service.

package picker

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	latencyRise     = 0.5              // weight of an answer slower than the smoothed latency
	latencyFallTime = 2 * time.Second  // time constant with which the smoothed latency follows quicker answers
	latencyHalfLife = 10 * time.Second // idle time in which the remembered latency halves
	latencyMemory   = 30 * time.Second // idle time after which the latency counts as unknown
	loadHalfLife    = time.Second      // time in which the last heard load halves
	latencyMost     = 5 * time.Second  // bound of the smoothed latency
	countError      = 1e-9             // more than the rounding error of a share of servers
	failurePenalty  = 2.0              // factor on the smoothed latency of a failed answer
	exploreInterval = 4                // requests, of which one at most goes to a server that seems slow
	exploreRatio    = 2.0              // latency over the quickest server's from which one seems slow
	exploreLoad     = 0.5              // load from which a server is not explored
)

// avoidance is how long a server is avoided for a reason, and how much worse
// than others the reason makes it.
type avoidance struct {
	span  time.Duration
	worst int // order among the avoided, the least bad lowest
}

// avoidances has a row for every refusal that says something of the server. A
// full server is avoided for about as long as a slot takes to come free.
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

// unreachableMost bounds the time for which an unreachable server is avoided;
// the time doubles with each failure in a row.
const unreachableMost = 4 * time.Second

// Server is what a View remembers of one backend server.
type Server struct {
	InFlight    int
	Latency     time.Duration // smoothed, as of Answered; 0 when unknown
	Answered    flow.Time
	Load        float64 // as of Heard
	Heard       flow.Time
	AvoidUntil  flow.Time
	AvoidReason flow.Reason
	Ejected     bool          // gets trial requests only
	trialSpan   time.Duration // wait between two trials
	trialSent   bool          // a trial is under way
	trialsTaken int           // in a row
	unreachable int           // failures to reach it in a row
}

// View remembers the backend servers of one service. Servers that it has not
// seen count as idle and of unknown latency.
type View struct {
	servers   map[string]*Server
	exploring string // server that is shown as quick; empty for none
	unspent   int    // requests sent since the last one that explored
}

// NewView returns a View that has seen nothing.
func NewView() *View {
	return &View{servers: map[string]*Server{}}
}

// Sent counts a request on its way to the server. Each call has to be followed
// by one of Answered, Failed, Refused, Unreachable and Abandoned.
func (v *View) Sent(now flow.Time, server string) {
	s := v.server(server)
	s.InFlight++
	s.sendTrial(now)
	v.unspent++
	if server == v.exploring {
		v.unspent = 0
	}
}

// Answered takes a whole answer, its latency and the load that came with it. An
// answer to a trial request says only that the trial was taken.
func (v *View) Answered(now flow.Time, server string, latency time.Duration, load float64) {
	s := v.ended(server)
	s.unreachable = 0
	if s.Ejected && load >= ejectedLoad {
		s.trialTaken(now)
		return
	}
	s.Ejected = false
	s.trialsTaken = 0
	s.sample(now, latency)
	s.heard(now, load)
}

// Failed takes an answer that failed, was cut or did not come in time, and the
// time it took. It makes the server look slow, so that a server is not chosen
// for failing quickly.
func (v *View) Failed(now flow.Time, server string, latency time.Duration) {
	s := v.ended(server)
	if s.Ejected {
		s.trialTaken(now)
		return
	}
	s.sample(now, time.Duration(failurePenalty*float64(max(latency, s.latencyAt(now)))))
}

// Refused takes a refusal, with the load that came with it and the time for
// which the refusing daemon asks to be avoided; 0 stands for the reason's own.
func (v *View) Refused(now flow.Time, server string, reason flow.Reason, load float64, span time.Duration) {
	s := v.ended(server)
	s.unreachable = 0
	s.heard(now, load)
	row, ok := avoidances[reason]
	if !ok {
		return // the refusal is about the request
	}
	if span <= 0 {
		span = row.span
	}
	if reason == flow.ReasonEjected {
		s.trialRefused(now, span)
		return
	}
	s.Ejected = false
	s.avoid(now, reason, span)
}

// Unreachable takes a failure to reach the server's daemon.
func (v *View) Unreachable(now flow.Time, server string) {
	s := v.ended(server)
	s.Ejected = false
	span := avoidances[flow.ReasonUnreachable].span << min(s.unreachable, 10)
	s.unreachable++
	s.avoid(now, flow.ReasonUnreachable, min(span, unreachableMost))
}

// Abandoned takes the end of a request that says nothing of the server.
func (v *View) Abandoned(_ flow.Time, server string) {
	v.ended(server).trialSent = false
}

// Heard takes a load heard otherwise than with an answer.
func (v *View) Heard(now flow.Time, server string, load float64) {
	v.server(server).heard(now, load)
}

// Retain forgets every server that is not listed and has nothing in flight.
func (v *View) Retain(servers []string) {
	for name, s := range v.servers {
		if s.InFlight == 0 && !slices.Contains(servers, name) {
			delete(v.servers, name)
		}
	}
}

// Server returns what is remembered of one server.
func (v *View) Server(name string) Server {
	if s, ok := v.servers[name]; ok {
		return *s
	}
	return Server{}
}

// -----------------------------------------------------------------------------

// Member is a backend server that a request may go to, as the configuration has
// it.
type Member struct {
	Server   string
	Host     string
	SameZone bool
}

// Query asks for the candidates of a request.
type Query struct {
	Members    []Member
	InService  int     // servers of the service in service
	Floor      float64 // share of them that is left
	Idempotent bool    // the request may be a trial
}

// Candidates appends a candidate for each member to list and returns it. It
// avoids no more members than leave the floor: beyond that the least bad of the
// avoided are given back.
func (v *View) Candidates(now flow.Time, list []flow.Candidate, query Query) []flow.Candidate {
	start := len(list)
	for _, m := range query.Members {
		list = append(list, v.candidate(now, m, query.Idempotent))
	}
	v.explore(list[start:])
	v.restore(now, list[start:], int(math.Ceil(query.Floor*float64(query.InService)-countError)))
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
		c.Avoid = !s.mayTry(now, idempotent)
		return c
	}
	c.Latency = s.latencyAt(now)
	c.Load = s.Load * halved(now, s.Heard, loadHalfLife)
	c.Avoid = now.Before(s.AvoidUntil)
	return c
}

// restore clears Avoid of the least bad candidates until want are usable.
func (v *View) restore(now flow.Time, list []flow.Candidate, want int) {
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
		return v.compare(now, list[a].Server, list[b].Server)
	})
	for _, i := range avoided[:min(missing, len(avoided))] {
		list[i].Avoid = false
	}
}

// compare orders two avoided servers, the less bad first.
func (v *View) compare(now flow.Time, a, b string) int {
	s, o := v.servers[a], v.servers[b]
	if d := avoidances[s.AvoidReason].worst - avoidances[o.AvoidReason].worst; d != 0 {
		return d
	}
	return int(s.AvoidUntil.Sub(now) - o.AvoidUntil.Sub(now))
}

// -----------------------------------------------------------------------------

// explore shows the slowest idle server of the own availability zone as the
// quickest, for at most one request in exploreInterval. Choice by latency alone
// would starve a server that seems slow, so that it could neither be judged nor
// show that it has recovered.
func (v *View) explore(list []flow.Candidate) {
	v.exploring = ""
	if v.unspent < exploreInterval {
		return
	}
	quickest, slowest := time.Duration(0), -1
	for i, c := range list {
		if c.Avoid || c.Latency == 0 {
			continue
		}
		if quickest == 0 || c.Latency < quickest {
			quickest = c.Latency
		}
		idle := c.SameZone && c.InFlight == 0 && c.Load < exploreLoad
		if idle && (slowest < 0 || c.Latency > list[slowest].Latency) {
			slowest = i
		}
	}
	if slowest < 0 || float64(list[slowest].Latency) < exploreRatio*float64(quickest) {
		return
	}
	v.exploring = list[slowest].Server
	list[slowest].Latency = time.Duration(float64(quickest) / exploreRatio)
}

// -----------------------------------------------------------------------------

func (v *View) server(name string) *Server {
	s, ok := v.servers[name]
	if !ok {
		s = &Server{}
		v.servers[name] = s
	}
	return s
}

func (v *View) ended(name string) *Server {
	s := v.server(name)
	s.InFlight = max(0, s.InFlight-1)
	return s
}

// sample takes one latency: quickly when it rises, slowly when it falls.
func (s *Server) sample(now flow.Time, latency time.Duration) {
	latency = min(latency, latencyMost)
	smoothed := s.latencyAt(now)
	elapsed := now.Sub(s.Answered)
	s.Answered = now
	if smoothed == 0 {
		s.Latency = latency
		return
	}
	weight := latencyRise
	if latency < smoothed {
		weight = 1 - math.Exp(-float64(elapsed)/float64(latencyFallTime))
	}
	s.Latency = smoothed + time.Duration(weight*float64(latency-smoothed))
}

// latencyAt returns the smoothed latency, less for the time without answers, so
// that a server that was slow once is tried again.
func (s *Server) latencyAt(now flow.Time) time.Duration {
	if s.Latency == 0 || now.Sub(s.Answered) > latencyMemory {
		return 0
	}
	return max(1, time.Duration(float64(s.Latency)*halved(now, s.Answered, latencyHalfLife)))
}

func (s *Server) heard(now flow.Time, load float64) {
	s.Load = load
	s.Heard = now
}

func (s *Server) avoid(now flow.Time, reason flow.Reason, span time.Duration) {
	s.AvoidUntil = now.Add(span)
	s.AvoidReason = reason
}

// halved is what is left of one after the time since then, by half-life.
func halved(now, since flow.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
}
