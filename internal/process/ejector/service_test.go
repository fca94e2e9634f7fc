// A small fake of a service under load, whose admission daemons report to an
// ejector, and two simple ejectors to compare with.

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
	fakeWindow  = flow.Time(500) // between two reports of a daemon
	fakeLatency = 20.0           // median latency in milliseconds
	fakeSpread  = 0.5            // standard deviation of its logarithm
	fakeTimeout = 2000           // milliseconds
	endsKept    = 4096           // milliseconds, more than fakeTimeout
	fakeHeavy   = 0.05           // share of heavy requests
	heavyFactor = 8.0            // latency of heavy requests over that of others
	fakeFailing = 0.005          // share of failures of a healthy server
	fakeTrials  = flow.Time(250) // between trial requests
	lostReports = 0.01           // share of reports, and of answers to them, that are lost
	fakeZones   = 4              // availability zones, over which servers and ingresses are spread in turn
	fakeSlots   = 7              // of each server
	fakeFar     = 3.0            // milliseconds there and back between availability zones
	fakeRepeats = 0.7            // share of idempotent requests
	faultAt     = flow.Time(20_000)
	fakeAfter   = flow.Time(3000) // after a fault's end an ejection is not false yet
)

// condition is how a server is at a moment.
type condition struct {
	slow, failing, heavy float64
	faulty               bool // ejecting it would be right
}

var healthy = condition{slow: 1, failing: fakeFailing, heavy: fakeHeavy}

// scenario is a service and its fault.
type scenario struct {
	servers int
	rate    float64 // requests a second in total
	floor   float64
	lasts   flow.Time
	state   func(server int, now flow.Time) condition
	// ingresses steer by their views of the servers; without any, requests are
	// spread evenly.
	ingresses int
	until     flow.Time // end of the fault; 0 for none
}

// judge is what a scenario is run against.
type judge interface {
	Report(now flow.Time, host string, reports []flow.ServerReport) []flow.Ejection
	done(now flow.Time, server int, ok bool)
}

type ended struct {
	server  int
	ingress int
	latency float64 // milliseconds
	ok      bool
}

// An ingress chooses by its own view, as the real ones do.
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
		in.members = append(in.members, picker.Member{Server: strconv.Itoa(i), SameZone: i%fakeZones == number%fakeZones})
	}
	return in
}

// result of one run.
type result struct {
	detected  []time.Duration // of each faulty server that was ejected
	faulty    int
	wrong     int             // ejections of servers that were not faulty
	underfoot int             // milliseconds with fewer servers left than the floor
	failed    int             // requests that failed or timed out after the fault began
	requests  int             // after the fault began
	returned  []time.Duration // from the end of the fault to the end of the ejection that was in force then
	early     int             // ejections that ended before the fault did
	refused   int             // requests that an ejected server refused, and that went elsewhere
	onFaulty  int             // requests that faulty servers ran while they were not ejected
	trials    int             // trial requests
	ejected   int             // milliseconds of ejections, of all servers
}

type service struct {
	scenario
	random *rand.Rand
	judge  judge
	ends   [endsKept][]ended // by time modulo endsKept
	held   []flow.Time       // end of each server's lease
	known  []bool            // lease was counted
	trial  []flow.Time       // last trial request
	window [][]ended
	result result
	found  map[int]bool
	ways   []*ingress
	busy   []int       // requests in flight of each server
	trying []bool      // a trial request is in flight
	bad    []int       // trial requests that ended badly in a row
	last   []flow.Time // when each server was last seen ejected
}

func run(s scenario, j judge, seed uint64) result {
	n := s.servers
	f := &service{
		scenario: s, judge: j, random: rand.New(rand.NewPCG(seed, 7)),
		held: make([]flow.Time, n), known: make([]bool, n),
		trial: make([]flow.Time, n), window: make([][]ended, n), found: map[int]bool{},
		busy: make([]int, n), trying: make([]bool, n), bad: make([]int, n), last: make([]flow.Time, n),
	}
	for i := range s.ingresses {
		f.ways = append(f.ways, newIngress(i, n, seed))
	}
	for i := range n {
		if s.state(i, faultAt).faulty {
			f.result.faulty++
		}
	}
	for now := flow.Time(1); now <= s.lasts; now++ {
		f.arrive(now)
		f.finish(now)
		f.report(now)
		f.check(now)
	}
	for i := range n {
		if f.until > 0 && f.last[i] >= f.until {
			f.result.returned = append(f.result.returned, f.last[i].Sub(f.until))
		}
	}
	return f.result
}

func (f *service) ejected(now flow.Time, server int) bool { return now < f.held[server] }

// arrive sends what arrives in this millisecond.
func (f *service) arrive(now flow.Time) {
	for f.random.Float64() < f.rate/1000 {
		server, from := f.choose(now)
		state := f.state(server, now)
		latency := fakeLatency * state.slow * math.Exp(fakeSpread*f.random.NormFloat64())
		if f.random.Float64() < state.heavy {
			latency *= heavyFactor
		}
		ok := f.random.Float64() >= state.failing && latency < fakeTimeout
		latency = min(latency, fakeTimeout)
		at := (now + flow.Time(latency) + 1) % endsKept
		f.ends[at] = append(f.ends[at], ended{server, from, latency, ok})
		f.busy[server]++
		if now >= faultAt {
			f.result.requests++
			if state.faulty && !f.ejected(now, server) {
				f.result.onFaulty++
			}
		}
	}
}

// choose returns a server that is not ejected, or on trial one that is, and the
// number of the ingress that chose it.
func (f *service) choose(now flow.Time) (server, from int) {
	if len(f.ways) > 0 {
		return f.steer(now)
	}
	server = f.random.IntN(f.servers)
	for f.ejected(now, server) && now-f.trial[server] < fakeTrials {
		server = f.random.IntN(f.servers)
	}
	f.trial[server] = now
	return server, 0
}

// steer lets an ingress choose. A server that refuses because it is ejected is
// avoided, and another is asked.
func (f *service) steer(now flow.Time) (server, from int) {
	from = f.random.IntN(len(f.ways))
	in := f.ways[from]
	mayTry := f.random.Float64() < fakeRepeats
	candidates := in.view.Candidates(now, in.candidates[:0], picker.Query{
		Members: in.members, InService: f.servers, Floor: f.floor, Idempotent: mayTry,
	})
	in.candidates = candidates
	for {
		server, _ = in.picker.Pick(now, candidates)
		name := strconv.Itoa(server)
		in.view.Sent(now, name)
		if !f.ejected(now, server) {
			return server, from
		}
		interval := fakeTrials << min(f.bad[server], 2)
		if mayTry && now-f.trial[server] >= interval && !f.trying[server] {
			f.trial[server] = max(f.trial[server]+interval, now-interval)
			f.trying[server] = true
			f.result.trials++
			return server, from
		}
		in.view.Refused(now, name, flow.ReasonEjected, 1, 0)
		f.result.refused++
		candidates[server].Avoid = true
	}
}

func (f *service) finish(now flow.Time) {
	slot := &f.ends[now%endsKept]
	for _, e := range *slot {
		f.window[e.server] = append(f.window[e.server], e)
		f.judge.done(now, e.server, e.ok)
		f.busy[e.server]--
		f.endTrial(e)
		f.tell(now, e)
		if now >= faultAt && !e.ok {
			f.result.failed++
		}
	}
	*slot = (*slot)[:0]
}

// endTrial counts the trials that ended badly in a row.
func (f *service) endTrial(e ended) {
	if f.trying[e.server] {
		f.bad[e.server]++
	}
	if e.ok {
		f.bad[e.server] = 0
	}
	f.trying[e.server] = false
}

// tell ends the request at its ingress.
func (f *service) tell(now flow.Time, e ended) {
	if len(f.ways) == 0 {
		return
	}
	in := f.ways[e.ingress]
	latency := e.latency
	if !in.members[e.server].SameZone {
		latency += fakeFar
	}
	took := time.Duration(latency * float64(time.Millisecond))
	load := float64(f.busy[e.server]) / fakeSlots
	if f.ejected(now, e.server) {
		load = max(1, load)
	}
	if e.ok {
		in.view.Answered(now, strconv.Itoa(e.server), took, load)
	} else {
		in.view.Failed(now, strconv.Itoa(e.server), took)
	}
}

// report sends each daemon's window at its own phase.
func (f *service) report(now flow.Time) {
	for i := range f.servers {
		if (now+flow.Time(i)*137)%fakeWindow != 0 {
			continue
		}
		report := summary(i, f.window[i])
		f.window[i] = f.window[i][:0]
		if f.random.Float64() < lostReports {
			continue
		}
		answer := f.judge.Report(now, "host-"+strconv.Itoa(i), []flow.ServerReport{report})
		if f.random.Float64() < lostReports {
			continue
		}
		f.held[i] = 0
		for _, ejection := range answer {
			f.held[i] = now.Add(ejection.Lifetime)
		}
		f.count(now, i)
	}
}

// count notes the beginning of an ejection.
func (f *service) count(now flow.Time, i int) {
	began := f.ejected(now, i) && !f.known[i]
	f.known[i] = f.ejected(now, i)
	if !began {
		return
	}
	if !f.state(i, faultAt).faulty || now < faultAt || f.until > 0 && now > f.until+fakeAfter {
		f.result.wrong++
		return
	}
	if !f.found[i] {
		f.found[i] = true
		f.result.detected = append(f.result.detected, now.Sub(faultAt))
	}
}

func (f *service) check(now flow.Time) {
	left := 0
	for i := range f.servers {
		if f.last[i] == now-1 && !f.ejected(now, i) && 1 < now && now < f.until {
			f.result.early++
		}
		if f.ejected(now, i) {
			f.last[i] = now
			f.result.ejected++
		} else {
			left++
		}
	}
	if left < int(math.Ceil(f.floor*float64(f.servers)-1e-9)) {
		f.result.underfoot++
	}
}

func summary(server int, window []ended) flow.ServerReport {
	report := flow.ServerReport{Server: strconv.Itoa(server), Count: len(window)}
	var latencies []float64
	for _, e := range window {
		if e.ok {
			latencies = append(latencies, e.latency)
		} else {
			report.Failures++
		}
	}
	report.Quick = percentile(latencies, 0.25)
	report.Median = percentile(latencies, 0.5)
	report.Slow = percentile(latencies, 0.9)
	return report
}

// -----------------------------------------------------------------------------

// threshold ejects a server whose last window was over fixed bounds.
type threshold struct{ leases }

func (t *threshold) done(flow.Time, int, bool) {}

func (t *threshold) Report(now flow.Time, _ string, reports []flow.ServerReport) []flow.Ejection {
	r := reports[0]
	return t.lease(now, r.Server, r.Median > 60*time.Millisecond || r.Failures*10 > r.Count)
}

// consecutive ejects a server after five failures in a row.
type consecutive struct {
	leases
	inRow map[string]int
}

func (c *consecutive) done(_ flow.Time, server int, ok bool) {
	name := strconv.Itoa(server)
	c.inRow[name]++
	if ok {
		c.inRow[name] = 0
	}
}

func (c *consecutive) Report(now flow.Time, _ string, reports []flow.ServerReport) []flow.Ejection {
	return c.lease(now, reports[0].Server, c.inRow[reports[0].Server] >= 5)
}

// leases keeps the simple ejectors within the floor.
type leases struct {
	until map[string]flow.Time
	most  int
}

func (l *leases) lease(now flow.Time, server string, bad bool) []flow.Ejection {
	others := 0
	for name, until := range l.until {
		if name != server && now <= until {
			others++
		}
	}
	if !bad || others >= l.most {
		return nil
	}
	l.until[server] = now.Add(2 * time.Second)
	return []flow.Ejection{{Server: server, Lifetime: 2 * time.Second}}
}
