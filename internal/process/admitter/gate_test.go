package admitter_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// A fixed seed makes property tests repeatable; -rapid.seed overrides it.
var (
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
)

// fakeLimiter has a limit that the test sets.
type fakeLimiter struct {
	limit   int
	warming bool
}

func (s *fakeLimiter) Limit(flow.Time) int { return s.limit }

func (s *fakeLimiter) Warming(flow.Time) bool { return s.warming }

func (s *fakeLimiter) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

func newGate(limit int) (*admitter.Gate, *fakeLimiter) {
	limiter := &fakeLimiter{limit: limit}
	return admitter.New(admitter.Options{
		Server: "s", Limiter: limiter, QueueLength: 6, MaxConnections: 3, ConnectionCost: time.Millisecond,
	}), limiter
}

const farFuture = flow.Time(1_000_000)

// step is one call of a gate with a limit of one, at which request 1 of customer
// "x" has been in flight since time 0.
type step func(g *admitter.Gate) (started, refused []uint64)

func arrive(now flow.Time, id uint64, customer string, notAfter flow.Time) step {
	return func(g *admitter.Gate) (started, refused []uint64) {
		result := g.Arrive(now, admitter.Entry{ID: id, Customer: customer, NotAfter: notAfter, TrialAllowed: true})
		switch result.Decision {
		case admitter.DecisionStarted:
			started = append(started, id)
		case admitter.DecisionRefused:
			refused = append(refused, id)
		}
		return collect(result.Dequeued, started, refused)
	}
}

func finish(now flow.Time, id uint64) step {
	return func(g *admitter.Gate) (started, refused []uint64) {
		return collect(g.Finish(now, id, flow.VerdictGood, 10*time.Millisecond), nil, nil)
	}
}

func cancel(now flow.Time, id uint64) step {
	return func(g *admitter.Gate) (started, refused []uint64) {
		_, dequeued := g.Cancel(now, id)
		return collect(dequeued, nil, nil)
	}
}

func advance(now flow.Time) step {
	return func(g *admitter.Gate) (started, refused []uint64) { return collect(g.Advance(now), nil, nil) }
}

func setState(now flow.Time, s admitter.State) step {
	return func(g *admitter.Gate) (started, refused []uint64) { return collect(g.SetState(now, s), nil, nil) }
}

// collect appends the requests that left the queue.
func collect(dequeued admitter.Dequeued, started, refused []uint64) ([]uint64, []uint64) {
	started = append(started, dequeued.Started...)
	for _, r := range dequeued.Refused {
		refused = append(refused, r.ID)
	}
	return started, refused
}

func TestGate(t *testing.T) {
	cases := map[string]struct {
		steps   []step
		started []uint64
		refused []uint64
	}{
		"waits until the running request ends": {
			steps:   []step{arrive(1, 2, "a", farFuture), finish(2, 1)},
			started: []uint64{2},
		},
		"customer with fewest requests in flight goes first": {
			steps:   []step{arrive(1, 2, "x", farFuture), arrive(2, 3, "a", farFuture), finish(3, 1), finish(4, 3)},
			started: []uint64{3, 2},
		},
		"customer served longest ago goes first despite a later arrival": {
			steps: []step{
				arrive(1, 2, "x", farFuture), arrive(1, 3, "x", farFuture), arrive(1, 4, "a", farFuture),
				finish(2, 1), finish(3, 4), arrive(3, 5, "a", farFuture), finish(4, 2),
			},
			started: []uint64{4, 2, 5},
		},
		"refused on arrival after the permit has expired": {
			steps:   []step{arrive(10, 2, "a", 9)},
			refused: []uint64{2},
		},
		"refused when the permit expires in the queue": {
			steps:   []step{arrive(1, 2, "a", 20), finish(21, 1)},
			refused: []uint64{2},
		},
		"refused on arrival when the expected wait exceeds the permit": {
			steps:   []step{finish(10, 1), arrive(11, 2, "a", farFuture), arrive(11, 3, "b", farFuture), arrive(11, 4, "c", 15)},
			started: []uint64{2},
			refused: []uint64{4},
		},
		"customer is limited to its share of the queue": {
			steps:   []step{arrive(1, 2, "a", farFuture), arrive(1, 3, "a", farFuture), arrive(1, 4, "a", farFuture), arrive(1, 5, "a", farFuture)},
			refused: []uint64{5},
		},
		"full queue evicts the newest entry of the customer with most": {
			steps: []step{
				arrive(1, 2, "a", farFuture), arrive(1, 3, "a", farFuture), arrive(1, 4, "a", farFuture),
				arrive(1, 5, "b", farFuture), arrive(1, 6, "b", farFuture), arrive(1, 7, "b", farFuture), arrive(1, 8, "c", farFuture),
			},
			refused: []uint64{4},
		},
		"full queue evicts nothing for a customer with as many entries": {
			steps: []step{
				arrive(1, 2, "a", farFuture), arrive(1, 3, "a", farFuture), arrive(1, 4, "b", farFuture),
				arrive(1, 5, "b", farFuture), arrive(1, 6, "c", farFuture), arrive(1, 7, "c", farFuture), arrive(1, 8, "c", farFuture),
			},
			refused: []uint64{8},
		},
		"cancelled request leaves the queue": {
			steps: []step{arrive(1, 2, "a", farFuture), cancel(2, 2), finish(3, 1)},
		},
		"id already waiting or in flight is refused": {
			steps:   []step{arrive(1, 2, "a", farFuture), arrive(2, 2, "a", farFuture), arrive(2, 1, "a", farFuture), finish(3, 1)},
			started: []uint64{2},
			refused: []uint64{2, 1},
		},
		"finish of an unknown id starts nothing": {
			steps: []step{arrive(1, 2, "a", farFuture), finish(2, 99)},
		},
		"draining refuses waiting and new requests": {
			steps:   []step{arrive(1, 2, "a", farFuture), setState(2, admitter.StateDraining), arrive(3, 3, "a", farFuture), finish(4, 1)},
			refused: []uint64{2, 3},
		},
		"leaving refuses requests until serving again": {
			steps:   []step{setState(1, admitter.StateLeaving), arrive(2, 2, "a", farFuture), setState(3, admitter.StateServing), arrive(4, 3, "a", farFuture), finish(5, 1)},
			started: []uint64{3},
			refused: []uint64{2},
		},
		"ejected refuses the queue and starts no trial at the limit": {
			steps:   []step{arrive(1, 2, "a", farFuture), setState(2, admitter.StateEjected), advance(3), arrive(1000, 3, "a", farFuture)},
			refused: []uint64{2, 3},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := newGate(1)
			gate.Arrive(0, admitter.Entry{ID: 1, Customer: "x", NotAfter: farFuture})
			var started, refused []uint64
			for _, s := range tc.steps {
				stepStarted, stepRefused := s(gate)
				started = append(started, stepStarted...)
				refused = append(refused, stepRefused...)
			}
			is.Equal(started, tc.started)
			is.Equal(refused, tc.refused)
		})
	}
}

// TestQueueCapacityGrowsWithFastSlots fills the queue with requests of one
// customer, which may hold half of it.
func TestQueueCapacityGrowsWithFastSlots(t *testing.T) {
	cases := map[string]struct {
		slots   int
		latency time.Duration
		want    int
	}{
		"few slots":                  {slots: 7, latency: 5 * time.Millisecond, want: 16},
		"many fast slots":            {slots: 64, latency: 5 * time.Millisecond, want: 80},
		"at most four for each slot": {slots: 64, latency: time.Millisecond, want: 128},
		"many slow slots":            {slots: 64, latency: 200 * time.Millisecond, want: 16},
		"unknown number of slots":    {latency: 5 * time.Millisecond, want: 16},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gate := admitter.New(admitter.Options{Server: "s", Limiter: &fakeLimiter{limit: 8}, Slots: tc.slots})
			gate.Arrive(0, admitter.Entry{ID: 1, Customer: "a", NotAfter: farFuture})
			gate.Finish(0, 1, flow.VerdictGood, tc.latency)
			for id := uint64(2); id < 400; id++ {
				gate.Arrive(0, admitter.Entry{ID: id, Customer: "a", NotAfter: farFuture})
			}
			is.New(t).Equal(gate.Stats(0).Waiting, tc.want)
		})
	}
}

func TestReportOmitsLatencyWhileWarming(t *testing.T) {
	is := is.New(t)
	gate, limiter := newGate(1)
	limiter.warming = true
	for i := range 3 {
		verdict := flow.VerdictGood
		if i == 0 {
			verdict = flow.VerdictTimeout
		}
		gate.Arrive(1, admitter.Entry{ID: 1, Customer: "a", NotAfter: farFuture})
		gate.Finish(1, 1, verdict, time.Second)
	}
	is.Equal(gate.Report(1), flow.ServerReport{Server: "s", Count: 3, Failures: 1})
}

func TestEjectedGateRunsTrialsAndRecoversGradually(t *testing.T) {
	is := is.New(t)
	gate, _ := newGate(4)
	gate.SetState(0, admitter.StateEjected)
	arrive := func(now flow.Time, id uint64, trialAllowed bool) admitter.Decision {
		return gate.Arrive(now, admitter.Entry{ID: id, Customer: "a", NotAfter: farFuture, TrialAllowed: trialAllowed}).Decision
	}
	is.Equal(arrive(1000, 1, false), admitter.DecisionRefused) // not idempotent
	is.Equal(arrive(1000, 2, true), admitter.DecisionStarted)
	is.Equal(arrive(2000, 3, true), admitter.DecisionRefused) // one at a time
	gate.Finish(2001, 2, flow.VerdictFailed, time.Second)
	is.Equal(gate.Report(2001), flow.ServerReport{Server: "s", Count: 1, Failures: 1})
	is.Equal(arrive(2002, 4, true), admitter.DecisionStarted)
	is.Equal(arrive(2003, 5, true), admitter.DecisionRefused)

	gate.SetState(3000, admitter.StateServing)
	is.Equal(gate.State(), admitter.StateTrial)
	gate.Finish(3001, 4, flow.VerdictGood, time.Millisecond)
	admitted := 0
	for id := uint64(10); gate.State() == admitter.StateTrial; id++ {
		is.Equal(arrive(4000, id, false), admitter.DecisionStarted)
		admitted++
		gate.Finish(4000, id, flow.VerdictGood, time.Millisecond)
	}
	is.Equal(admitted, 5) // the third success in a row, with that of request 4, raises the limit to two; three more exceed the limiter's
	is.Equal(gate.State(), admitter.StateServing)
}

// TestEjectedGateTrialRate counts the trials of ten seconds, each of which takes
// 10 ms.
func TestEjectedGateTrialRate(t *testing.T) {
	cases := map[string]struct {
		verdict flow.Verdict
		period  flow.Time // from the start of one burst of requests to the next
		length  flow.Time // of a burst, which has one request a millisecond
		want    int       // trials in ten seconds
	}{
		"successful trials":                     {verdict: flow.VerdictGood, period: 1, length: 1, want: 40},
		"failing trials back off":               {verdict: flow.VerdictFailed, period: 1, length: 1, want: 11},
		"shed trials do not back off":           {verdict: flow.VerdictShed, period: 1, length: 1, want: 40},
		"one missed trial is made up":           {verdict: flow.VerdictGood, period: 501, length: 60, want: 2 * 19},
		"no more than one missed trial is kept": {verdict: flow.VerdictGood, period: 2001, length: 60, want: 2 * 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := newGate(4)
			gate.SetState(0, admitter.StateEjected)
			trials, trialEnd := 0, 0
			for now := flow.Time(1); now <= 10_000; now++ {
				if int(now) == trialEnd {
					gate.Finish(now, uint64(trials), tc.verdict, 10*time.Millisecond)
				}
				if now < tc.period || now%tc.period >= tc.length {
					continue
				}
				result := gate.Arrive(now, admitter.Entry{ID: uint64(trials + 1), NotAfter: farFuture, TrialAllowed: true})
				is.True(result.Load >= 1)
				if result.Decision == admitter.DecisionStarted {
					trials++
					trialEnd = int(now) + 10
				}
			}
			is.Equal(trials, tc.want)
		})
	}
}

func TestReportCountsOutcomesAndLatency(t *testing.T) {
	is := is.New(t)
	gate, _ := newGate(1)
	for i := range 200 {
		verdict := flow.VerdictGood
		switch {
		case i%10 == 0:
			verdict = flow.VerdictTimeout
		case i%10 == 1:
			verdict = flow.VerdictShed
		}
		gate.Arrive(1, admitter.Entry{ID: 1, Customer: "a", NotAfter: farFuture})
		gate.Finish(1, 1, verdict, time.Duration(i)*time.Millisecond)
	}
	report := gate.Report(1)
	is.Equal(report.Count, 180)
	is.Equal(report.Failures, 20)
	is.True(report.LatencyP50 > 95*time.Millisecond && report.LatencyP50 < 110*time.Millisecond)
	is.True(report.LatencyP25 > 47*time.Millisecond && report.LatencyP25 < 57*time.Millisecond)
	is.True(report.LatencyP90 > 171*time.Millisecond && report.LatencyP90 < 189*time.Millisecond)
	is.Equal(gate.Report(2), flow.ServerReport{Server: "s"})
}

func TestConnectionsAreLimitedAndPaced(t *testing.T) {
	is := is.New(t)
	gate, _ := newGate(1)
	var opened []flow.Time
	for now := flow.Time(100); now < 200; now++ {
		if gate.AcquireConnection(now) {
			opened = append(opened, now)
		}
	}
	is.Equal(opened, []flow.Time{100, 104, 108})
	gate.ReleaseConnection(200)
	is.True(gate.AcquireConnection(200))
}

// TestGateProperties calls a gate at random and checks that no start exceeds the
// limit, no request starts late, and each waiting request is started, refused or
// cancelled exactly once.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gate, limiter := newGate(2)
		now := flow.Time(0)
		waiting := map[uint64]admitter.Entry{}
		var running []uint64
		start := func(entry admitter.Entry) {
			running = append(running, entry.ID)
			if len(running) > limiter.limit {
				rt.Fatalf("%d running, limit %d", len(running), limiter.limit)
			}
			if now > entry.NotAfter || entry.Deadline != 0 && now >= entry.Deadline {
				rt.Fatalf("request %d started late", entry.ID)
			}
		}
		act := func(dequeued admitter.Dequeued) {
			for _, r := range dequeued.Refused {
				if _, ok := waiting[r.ID]; !ok {
					rt.Fatalf("request %d refused but was not waiting", r.ID)
				}
				delete(waiting, r.ID)
			}
			for _, id := range dequeued.Started {
				entry, ok := waiting[id]
				if !ok {
					rt.Fatalf("request %d started but was not waiting", id)
				}
				delete(waiting, id)
				start(entry)
			}
		}
		for id := uint64(1); id < 80; id++ {
			now += flow.Time(rapid.IntRange(0, 30).Draw(rt, "gap"))
			limiter.limit = rapid.IntRange(1, 4).Draw(rt, "limit")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(rt, "ends")
					ended := running[i]
					running = slices.Delete(running, i, i+1)
					act(gate.Finish(now, ended, flow.Verdict(rapid.IntRange(0, 5).Draw(rt, "verdict")), 20*time.Millisecond))
				}
			case 1:
				cancelled := uint64(rapid.IntRange(1, int(id)).Draw(rt, "cancelled"))
				found, dequeued := gate.Cancel(now, cancelled)
				if _, ok := waiting[cancelled]; ok != found {
					rt.Fatalf("request %d is waiting: %v; Cancel found it: %v", cancelled, ok, found)
				}
				delete(waiting, cancelled)
				act(dequeued)
			case 2:
				act(gate.SetState(now, admitter.State(rapid.IntRange(0, 4).Draw(rt, "state"))))
			case 3:
				act(gate.Advance(now))
			default:
				entry := admitter.Entry{
					ID:           id,
					Customer:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "customer"),
					NotAfter:     now + flow.Time(rapid.IntRange(-5, 200).Draw(rt, "not after")),
					TrialAllowed: rapid.Bool().Draw(rt, "may try"),
				}
				if rapid.Bool().Draw(rt, "has deadline") {
					entry.Deadline = now + flow.Time(rapid.IntRange(1, 200).Draw(rt, "deadline"))
				}
				result := gate.Arrive(now, entry)
				act(result.Dequeued)
				switch result.Decision {
				case admitter.DecisionStarted:
					start(entry)
				case admitter.DecisionQueued:
					waiting[id] = entry
				}
			}
			if stats := gate.Stats(now); stats.InFlight != len(running) || stats.Waiting != len(waiting) {
				rt.Fatalf("gate has %d in flight and %d waiting, want %d and %d", stats.InFlight, stats.Waiting, len(running), len(waiting))
			}
			if len(waiting) > 6 {
				rt.Fatalf("%d requests waiting in a queue of 6", len(waiting))
			}
			if next, ok := gate.NextAdvance(now); ok != (len(waiting) > 0) || ok && !next.After(now) {
				rt.Fatalf("NextAdvance is %d, %v at %d with %d requests waiting", next, ok, now, len(waiting))
			}
		}
	})
}
