// A simulation of a service under load, whose admission daemons report to an
// ejector, and two ejectors with simple rules to compare with.

package ejector_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/picker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	reportInterval       = flow.Time(500) // of each daemon
	medianLatency        = 20.0           // milliseconds
	latencySpread        = 0.5            // standard deviation of the latency's logarithm
	requestTimeout       = 2000           // milliseconds
	endSlots             = 4096           // milliseconds, more than requestTimeout
	normalExpensiveShare = 0.05           // of all requests
	expensiveFactor      = 8.0            // latency of expensive requests as a multiple of the others
	normalFailureShare   = 0.005          // of the requests of a healthy server
	trialInterval        = flow.Time(250) // least time between trial requests
	reportLossShare      = 0.01           // share of reports, and of answers to them, that are lost
	zones                = 4              // availability zones, over which servers and ingresses are spread in turn
	serverSlots          = 7              // requests that a server runs at once
	crossZoneLatency     = 3.0            // milliseconds of a round trip between availability zones
	idempotentShare      = 0.7            // of all requests
	faultStart           = flow.Time(20_000)
	falseEjectionGrace   = flow.Time(3000) // time after the end of a fault in which an ejection is not false yet
)

// condition is the state of a server at some time.
type condition struct {
	slowdown, failureShare, expensiveShare float64
	faulty                                 bool // an ejection would be right
}

var healthy = condition{slowdown: 1, failureShare: normalFailureShare, expensiveShare: normalExpensiveShare}

// scenario is a service and its fault.
type scenario struct {
	servers     int
	rate        float64 // requests a second in total
	floor       float64
	duration    flow.Time
	conditionAt func(server int, now flow.Time) condition
	// ingresses choose servers by their views; without any, requests are spread
	// evenly.
	ingresses int
	faultEnd  flow.Time // 0 for none
}

// testedEjector is an ejector that is also notified of the end of each request.
type testedEjector interface {
	Report(now flow.Time, host string, reports []flow.ServerReport) []flow.Ejection
	requestEnded(now flow.Time, server int, ok bool)
}

type request struct {
	server  int
	ingress int
	latency float64 // milliseconds
	ok      bool
}

// An ingress chooses servers by its own view, with the real pickers.
type ingress struct {
	view    *picker.View
	picker  flow.Picker
	members []picker.Member

	candidates []flow.Candidate
}

func newIngress(number, servers int, seed uint64) *ingress {
	p, err := picker.New(picker.NameTwoChoices, picker.Options{Seed: seed<<8 + uint64(number)})
	if err != nil {
		panic(err)
	}
	in := &ingress{view: picker.NewView(), picker: p}
	for i := range servers {
		in.members = append(in.members, picker.Member{Server: strconv.Itoa(i), SameZone: i%zones == number%zones})
	}
	return in
}

// result is the outcome of one run.
type result struct {
	detectionTimes []time.Duration // of the faulty servers that were ejected
	faultyServers  int
	falseEjections int             // ejections of servers that were not faulty
	belowFloor     int             // milliseconds with fewer servers left than the floor
	failed         int             // requests that failed or timed out after the fault began
	requests       int             // after the fault began
	returnTimes    []time.Duration // from the end of the fault to the end of the ejection in force then
	endedEarly     int             // ejections that ended before the fault did
	refused        int             // requests that an ejected server refused and that went elsewhere
	onFaulty       int             // requests that faulty servers ran while they were not ejected
	trials         int             // trial requests
	ejectedTime    int             // milliseconds of ejections of all servers
}

type simulation struct {
	scenario
	random        *rand.Rand
	ejector       testedEjector
	requestEnds   [endSlots][]request // by time modulo endSlots
	leaseEnd      []flow.Time
	leaseCounted  []bool
	lastTrial     []flow.Time
	window        [][]request
	result        result
	detected      map[int]bool
	ingressStates []*ingress
	inFlight      []int
	trialInFlight []bool
	failedTrials  []int       // in a row
	lastEjected   []flow.Time // when each server was last ejected
}

func run(parameters scenario, tested testedEjector, seed uint64) result {
	n := parameters.servers
	s := &simulation{
		scenario: parameters, ejector: tested, random: rand.New(rand.NewPCG(seed, 7)),
		leaseEnd: make([]flow.Time, n), leaseCounted: make([]bool, n),
		lastTrial: make([]flow.Time, n), window: make([][]request, n), detected: map[int]bool{},
		inFlight: make([]int, n), trialInFlight: make([]bool, n), failedTrials: make([]int, n), lastEjected: make([]flow.Time, n),
	}
	for i := range parameters.ingresses {
		s.ingressStates = append(s.ingressStates, newIngress(i, n, seed))
	}
	for i := range n {
		if parameters.conditionAt(i, faultStart).faulty {
			s.result.faultyServers++
		}
	}
	for now := flow.Time(1); now <= parameters.duration; now++ {
		s.startRequests(now)
		s.finishRequests(now)
		s.sendReports(now)
		s.countEjected(now)
	}
	for i := range n {
		if s.faultEnd > 0 && s.lastEjected[i] >= s.faultEnd {
			s.result.returnTimes = append(s.result.returnTimes, s.lastEjected[i].Sub(s.faultEnd))
		}
	}
	return s.result
}

func (s *simulation) ejected(now flow.Time, server int) bool { return now < s.leaseEnd[server] }

// startRequests starts the requests of this millisecond.
func (s *simulation) startRequests(now flow.Time) {
	for s.random.Float64() < s.rate/1000 {
		server, from := s.chooseServer(now)
		state := s.conditionAt(server, now)
		latency := medianLatency * state.slowdown * math.Exp(latencySpread*s.random.NormFloat64())
		if s.random.Float64() < state.expensiveShare {
			latency *= expensiveFactor
		}
		ok := s.random.Float64() >= state.failureShare && latency < requestTimeout
		latency = min(latency, requestTimeout)
		at := (now + flow.Time(latency) + 1) % endSlots
		s.requestEnds[at] = append(s.requestEnds[at], request{server, from, latency, ok})
		s.inFlight[server]++
		if now >= faultStart {
			s.result.requests++
			if state.faulty && !s.ejected(now, server) {
				s.result.onFaulty++
			}
		}
	}
}

// chooseServer returns a server that is not ejected, or for a trial request one
// that is, and the index of the ingress that chose it.
func (s *simulation) chooseServer(now flow.Time) (server, from int) {
	if len(s.ingressStates) > 0 {
		return s.chooseByIngress(now)
	}
	server = s.random.IntN(s.servers)
	for s.ejected(now, server) && now-s.lastTrial[server] < trialInterval {
		server = s.random.IntN(s.servers)
	}
	s.lastTrial[server] = now
	return server, 0
}

// chooseByIngress lets a random ingress choose. If the server refuses because it is
// ejected, the ingress avoids it and chooses another.
func (s *simulation) chooseByIngress(now flow.Time) (server, from int) {
	from = s.random.IntN(len(s.ingressStates))
	in := s.ingressStates[from]
	idempotent := s.random.Float64() < idempotentShare
	candidates := in.view.Candidates(now, in.candidates[:0], picker.Query{
		Members: in.members, InService: s.servers, Floor: s.floor, Idempotent: idempotent,
	})
	in.candidates = candidates
	for {
		server, _ = in.picker.Pick(now, candidates)
		name := strconv.Itoa(server)
		in.view.Sent(now, name)
		if !s.ejected(now, server) {
			return server, from
		}
		interval := trialInterval << min(s.failedTrials[server], 2)
		if idempotent && now-s.lastTrial[server] >= interval && !s.trialInFlight[server] {
			s.lastTrial[server] = max(s.lastTrial[server]+interval, now-interval)
			s.trialInFlight[server] = true
			s.result.trials++
			return server, from
		}
		in.view.Refused(now, name, flow.ReasonEjected, 1, 0)
		s.result.refused++
		candidates[server].Avoid = true
	}
}

func (s *simulation) finishRequests(now flow.Time) {
	slot := &s.requestEnds[now%endSlots]
	for _, r := range *slot {
		s.window[r.server] = append(s.window[r.server], r)
		s.ejector.requestEnded(now, r.server, r.ok)
		s.inFlight[r.server]--
		s.endTrial(r)
		s.updateIngress(now, r)
		if now >= faultStart && !r.ok {
			s.result.failed++
		}
	}
	*slot = (*slot)[:0]
}

// endTrial counts the trial requests that failed in a row.
func (s *simulation) endTrial(r request) {
	if s.trialInFlight[r.server] {
		s.failedTrials[r.server]++
	}
	if r.ok {
		s.failedTrials[r.server] = 0
	}
	s.trialInFlight[r.server] = false
}

// updateIngress records the end of a request in the view of its ingress.
func (s *simulation) updateIngress(now flow.Time, r request) {
	if len(s.ingressStates) == 0 {
		return
	}
	in := s.ingressStates[r.ingress]
	latency := r.latency
	if !in.members[r.server].SameZone {
		latency += crossZoneLatency
	}
	took := time.Duration(latency * float64(time.Millisecond))
	load := float64(s.inFlight[r.server]) / serverSlots
	if s.ejected(now, r.server) {
		load = max(1, load)
	}
	if r.ok {
		in.view.Answered(now, strconv.Itoa(r.server), took, load)
	} else {
		in.view.Failed(now, strconv.Itoa(r.server), took)
	}
}

// sendReports sends the window of each daemon whose turn it is.
func (s *simulation) sendReports(now flow.Time) {
	for i := range s.servers {
		if (now+flow.Time(i)*137)%reportInterval != 0 {
			continue
		}
		report := summarize(i, s.window[i])
		s.window[i] = s.window[i][:0]
		if s.random.Float64() < reportLossShare {
			continue
		}
		answer := s.ejector.Report(now, "host-"+strconv.Itoa(i), []flow.ServerReport{report})
		if s.random.Float64() < reportLossShare {
			continue
		}
		s.leaseEnd[i] = 0
		for _, ejection := range answer {
			s.leaseEnd[i] = now.Add(ejection.Lifetime)
		}
		s.countEjection(now, i)
	}
}

// countEjection counts an ejection when it begins.
func (s *simulation) countEjection(now flow.Time, i int) {
	began := s.ejected(now, i) && !s.leaseCounted[i]
	s.leaseCounted[i] = s.ejected(now, i)
	if !began {
		return
	}
	if !s.conditionAt(i, faultStart).faulty || now < faultStart || s.faultEnd > 0 && now > s.faultEnd+falseEjectionGrace {
		s.result.falseEjections++
		return
	}
	if !s.detected[i] {
		s.detected[i] = true
		s.result.detectionTimes = append(s.result.detectionTimes, now.Sub(faultStart))
	}
}

func (s *simulation) countEjected(now flow.Time) {
	left := 0
	for i := range s.servers {
		if s.lastEjected[i] == now-1 && !s.ejected(now, i) && 1 < now && now < s.faultEnd {
			s.result.endedEarly++
		}
		if s.ejected(now, i) {
			s.lastEjected[i] = now
			s.result.ejectedTime++
		} else {
			left++
		}
	}
	if left < int(math.Ceil(s.floor*float64(s.servers)-1e-9)) {
		s.result.belowFloor++
	}
}

func summarize(server int, window []request) flow.ServerReport {
	report := flow.ServerReport{Server: strconv.Itoa(server), Count: len(window)}
	var latencies []float64
	for _, r := range window {
		if r.ok {
			latencies = append(latencies, r.latency)
		} else {
			report.Failures++
		}
	}
	report.LatencyP25 = percentile(latencies, 0.25)
	report.LatencyP50 = percentile(latencies, 0.5)
	report.LatencyP90 = percentile(latencies, 0.9)
	return report
}

// thresholdEjector ejects a server whose last window exceeds fixed limits.
type thresholdEjector struct{ leases }

func (t *thresholdEjector) requestEnded(flow.Time, int, bool) {}

func (t *thresholdEjector) Report(now flow.Time, _ string, reports []flow.ServerReport) []flow.Ejection {
	r := reports[0]
	return t.lease(now, r.Server, r.LatencyP50 > 60*time.Millisecond || r.Failures*10 > r.Count)
}

// consecutiveEjector ejects a server after five failures in a row.
type consecutiveEjector struct {
	leases
	inRow map[string]int
}

func (c *consecutiveEjector) requestEnded(_ flow.Time, server int, ok bool) {
	name := strconv.Itoa(server)
	c.inRow[name]++
	if ok {
		c.inRow[name] = 0
	}
}

func (c *consecutiveEjector) Report(now flow.Time, _ string, reports []flow.ServerReport) []flow.Ejection {
	return c.lease(now, reports[0].Server, c.inRow[reports[0].Server] >= 5)
}

// leases keeps the ejectors with simple rules within the floor.
type leases struct {
	until     map[string]flow.Time
	maxLeases int
}

func (l *leases) lease(now flow.Time, server string, bad bool) []flow.Ejection {
	others := 0
	for name, until := range l.until {
		if name != server && now <= until {
			others++
		}
	}
	if !bad || others >= l.maxLeases {
		return nil
	}
	l.until[server] = now.Add(2 * time.Second)
	return []flow.Ejection{{Server: server, Lifetime: 2 * time.Second}}
}
