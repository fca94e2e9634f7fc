// A small fake of a service under load, whose admission daemons report to an
// ejector, and two simple ejectors to compare with.

package ejector_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

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
	faultAt     = flow.Time(20_000)
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
}

// judge is what a scenario is run against.
type judge interface {
	Report(now flow.Time, host string, reports []flow.ServerReport) []flow.Ejection
	done(now flow.Time, server int, ok bool)
}

type ended struct {
	server  int
	latency float64 // milliseconds
	ok      bool
}

// result of one run.
type result struct {
	detected  []time.Duration // of each faulty server that was ejected
	faulty    int
	wrong     int // ejections of servers that were not faulty
	underfoot int // milliseconds with fewer servers left than the floor
	failed    int // requests that failed or timed out after the fault began
	requests  int // after the fault began
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
}

func run(s scenario, j judge, seed uint64) result {
	n := s.servers
	f := &service{
		scenario: s, judge: j, random: rand.New(rand.NewPCG(seed, 7)),
		held: make([]flow.Time, n), known: make([]bool, n),
		trial: make([]flow.Time, n), window: make([][]ended, n), found: map[int]bool{},
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
	return f.result
}

func (f *service) ejected(now flow.Time, server int) bool { return now < f.held[server] }

// arrive sends what arrives in this millisecond to servers that are not
// ejected, or on trial to one that is.
func (f *service) arrive(now flow.Time) {
	for f.random.Float64() < f.rate/1000 {
		server := f.random.IntN(f.servers)
		for f.ejected(now, server) && now-f.trial[server] < fakeTrials {
			server = f.random.IntN(f.servers)
		}
		f.trial[server] = now
		state := f.state(server, now)
		latency := fakeLatency * state.slow * math.Exp(fakeSpread*f.random.NormFloat64())
		if f.random.Float64() < state.heavy {
			latency *= heavyFactor
		}
		ok := f.random.Float64() >= state.failing && latency < fakeTimeout
		latency = min(latency, fakeTimeout)
		at := (now + flow.Time(latency) + 1) % endsKept
		f.ends[at] = append(f.ends[at], ended{server, latency, ok})
		if now >= faultAt {
			f.result.requests++
		}
	}
}

func (f *service) finish(now flow.Time) {
	slot := &f.ends[now%endsKept]
	for _, e := range *slot {
		f.window[e.server] = append(f.window[e.server], e)
		f.judge.done(now, e.server, e.ok)
		if now >= faultAt && !e.ok {
			f.result.failed++
		}
	}
	*slot = (*slot)[:0]
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
	if !f.state(i, faultAt).faulty || now < faultAt {
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
		if !f.ejected(now, i) {
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
