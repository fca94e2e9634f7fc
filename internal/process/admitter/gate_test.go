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

// Property tests are repeatable unless a seed is given on the command line.
var (
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
)

// settable is a limiter whose limit the test chooses.
type settable struct {
	limit   int
	warming bool
}

func (s *settable) Limit(flow.Time) int { return s.limit }

func (s *settable) Warming(flow.Time) bool { return s.warming }

func (s *settable) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

func newGate(limit int) (*admitter.Gate, *settable) {
	limiter := &settable{limit: limit}
	return admitter.New(admitter.Options{
		Server: "s", Limiter: limiter, QueueLength: 6, Connections: 3, ConnectionCost: time.Millisecond,
	}), limiter
}

const later = flow.Time(1_000_000)

// step is one event at a gate with one slot that is busy with request 1 of
// customer "x" since time 0.
type step func(g *admitter.Gate) (started, refused []uint64)

func arrive(now flow.Time, id uint64, customer string, notAfter flow.Time) step {
	return func(g *admitter.Gate) (started, refused []uint64) {
		answer := g.Arrive(now, admitter.Entry{ID: id, Customer: customer, NotAfter: notAfter, MayTry: true})
		switch answer.Decision {
		case admitter.DecisionStart:
			started = append(started, id)
		case admitter.DecisionRefused:
			refused = append(refused, id)
		}
		return outcomes(answer.Moves, started, refused)
	}
}

func finish(now flow.Time, id uint64) step {
	return func(g *admitter.Gate) (started, refused []uint64) {
		return outcomes(g.Finish(now, id, flow.VerdictGood, 10*time.Millisecond), nil, nil)
	}
}

func cancel(now flow.Time, id uint64) step {
	return func(g *admitter.Gate) (started, refused []uint64) {
		_, moves := g.Cancel(now, id)
		return outcomes(moves, nil, nil)
	}
}

func expire(now flow.Time) step {
	return func(g *admitter.Gate) (started, refused []uint64) { return outcomes(g.Expire(now), nil, nil) }
}

func state(now flow.Time, s admitter.State) step {
	return func(g *admitter.Gate) (started, refused []uint64) { return outcomes(g.SetState(now, s), nil, nil) }
}

func outcomes(moves admitter.Moves, started, refused []uint64) ([]uint64, []uint64) {
	started = append(started, moves.Start...)
	for _, r := range moves.Refused {
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
		"waits for the slot": {
			steps:   []step{arrive(1, 2, "a", later), finish(2, 1)},
			started: []uint64{2},
		},
		"the customer with the least in flight goes first": {
			steps:   []step{arrive(1, 2, "x", later), arrive(2, 3, "a", later), finish(3, 1), finish(4, 3)},
			started: []uint64{3, 2},
		},
		"a customer served longer ago goes first, though it came later": {
			steps: []step{
				arrive(1, 2, "x", later), arrive(1, 3, "x", later), arrive(1, 4, "a", later),
				finish(2, 1), finish(3, 4), arrive(3, 5, "a", later), finish(4, 2),
			},
			started: []uint64{4, 2, 5},
		},
		"too late for the permit on arrival": {
			steps:   []step{arrive(10, 2, "a", 9)},
			refused: []uint64{2},
		},
		"too late for the permit while waiting": {
			steps:   []step{arrive(1, 2, "a", 20), finish(21, 1)},
			refused: []uint64{2},
		},
		"refused at once when the queue ahead takes longer than the permit lasts": {
			steps:   []step{finish(10, 1), arrive(11, 2, "a", later), arrive(11, 3, "b", later), arrive(11, 4, "c", 15)},
			started: []uint64{2},
			refused: []uint64{4},
		},
		"one customer holds no more than its share of the queue": {
			steps:   []step{arrive(1, 2, "a", later), arrive(1, 3, "a", later), arrive(1, 4, "a", later), arrive(1, 5, "a", later)},
			refused: []uint64{5},
		},
		"a full queue makes room for the customer that has least": {
			steps: []step{
				arrive(1, 2, "a", later), arrive(1, 3, "a", later), arrive(1, 4, "a", later),
				arrive(1, 5, "b", later), arrive(1, 6, "b", later), arrive(1, 7, "b", later), arrive(1, 8, "c", later),
			},
			refused: []uint64{4},
		},
		"but not for one that has as much as the others": {
			steps: []step{
				arrive(1, 2, "a", later), arrive(1, 3, "a", later), arrive(1, 4, "b", later),
				arrive(1, 5, "b", later), arrive(1, 6, "c", later), arrive(1, 7, "c", later), arrive(1, 8, "c", later),
			},
			refused: []uint64{8},
		},
		"a cancelled request leaves the queue": {
			steps: []step{arrive(1, 2, "a", later), cancel(2, 2), finish(3, 1)},
		},
		"an id that is at the gate already is refused": {
			steps:   []step{arrive(1, 2, "a", later), arrive(2, 2, "a", later), arrive(2, 1, "a", later), finish(3, 1)},
			started: []uint64{2},
			refused: []uint64{2, 1},
		},
		"an unknown id frees no slot": {
			steps: []step{arrive(1, 2, "a", later), finish(2, 99)},
		},
		"draining refuses the queue and new work": {
			steps:   []step{arrive(1, 2, "a", later), state(2, admitter.StateDraining), arrive(3, 3, "a", later), finish(4, 1)},
			refused: []uint64{2, 3},
		},
		"leaving and back": {
			steps:   []step{state(1, admitter.StateLeaving), arrive(2, 2, "a", later), state(3, admitter.StateServing), arrive(4, 3, "a", later), finish(5, 1)},
			started: []uint64{3},
			refused: []uint64{2},
		},
		"ejected refuses the queue, and tries nothing while the slots hang": {
			steps:   []step{arrive(1, 2, "a", later), state(2, admitter.StateEjected), expire(3), arrive(1000, 3, "a", later)},
			refused: []uint64{2, 3},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := newGate(1)
			gate.Arrive(0, admitter.Entry{ID: 1, Customer: "x", NotAfter: later})
			var started, refused []uint64
			for _, s := range tc.steps {
				begun, ended := s(gate)
				started = append(started, begun...)
				refused = append(refused, ended...)
			}
			is.Equal(started, tc.started)
			is.Equal(refused, tc.refused)
		})
	}
}

// TestQueueFollowsSlots fills the queue with one customer's requests, which may
// hold half of it.
func TestQueueFollowsSlots(t *testing.T) {
	cases := map[string]struct {
		slots   int
		latency time.Duration
		want    int
	}{
		"few slots":                     {slots: 7, latency: 5 * time.Millisecond, want: 16},
		"many slots":                    {slots: 64, latency: 5 * time.Millisecond, want: 80},
		"no more than four to the slot": {slots: 64, latency: time.Millisecond, want: 128},
		"many slots that move slowly":   {slots: 64, latency: 200 * time.Millisecond, want: 16},
		"slots unknown":                 {latency: 5 * time.Millisecond, want: 16},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gate := admitter.New(admitter.Options{Server: "s", Limiter: &settable{limit: 8}, Slots: tc.slots})
			gate.Arrive(0, admitter.Entry{ID: 1, Customer: "a", NotAfter: later})
			gate.Finish(0, 1, flow.VerdictGood, tc.latency)
			for id := uint64(2); id < 400; id++ {
				gate.Arrive(0, admitter.Entry{ID: id, Customer: "a", NotAfter: later})
			}
			is.New(t).Equal(gate.Figures(0).Waiting, tc.want)
		})
	}
}

func TestWarmingServerIsNotJudgedByLatency(t *testing.T) {
	is := is.New(t)
	gate, limiter := newGate(1)
	limiter.warming = true
	for i := range 3 {
		verdict := flow.VerdictGood
		if i == 0 {
			verdict = flow.VerdictTimeout
		}
		gate.Arrive(1, admitter.Entry{ID: 1, Customer: "a", NotAfter: later})
		gate.Finish(1, 1, verdict, time.Second)
	}
	is.Equal(gate.Report(1), flow.ServerReport{Server: "s", Count: 3, Failures: 1})
}

func TestEjectedGateTriesAndReturnsSlowly(t *testing.T) {
	is := is.New(t)
	gate, _ := newGate(4)
	gate.SetState(0, admitter.StateEjected)
	try := func(now flow.Time, id uint64, mayTry bool) admitter.Decision {
		return gate.Arrive(now, admitter.Entry{ID: id, Customer: "a", NotAfter: later, MayTry: mayTry}).Decision
	}
	is.Equal(try(1000, 1, false), admitter.DecisionRefused) // not idempotent
	is.Equal(try(1000, 2, true), admitter.DecisionStart)
	is.Equal(try(2000, 3, true), admitter.DecisionRefused) // one at a time
	gate.Finish(2001, 2, flow.VerdictFailed, time.Second)
	is.Equal(gate.Report(2001), flow.ServerReport{Server: "s", Count: 1, Failures: 1})
	is.Equal(try(2002, 4, true), admitter.DecisionStart)
	is.Equal(try(2003, 5, true), admitter.DecisionRefused)

	gate.SetState(3000, admitter.StateServing)
	is.Equal(gate.State(), admitter.StateTrial)
	gate.Finish(3001, 4, flow.VerdictGood, time.Millisecond)
	most := 0
	for id := uint64(10); gate.State() == admitter.StateTrial; id++ {
		is.Equal(try(4000, id, false), admitter.DecisionStart)
		most++
		gate.Finish(4000, id, flow.VerdictGood, time.Millisecond)
	}
	is.Equal(most, 5) // with the one before: three alone, then one more for each of the other slots
	is.Equal(gate.State(), admitter.StateServing)
}

// TestTrialsOfAnEjectedGate asks for trials that take 10 ms each.
func TestTrialsOfAnEjectedGate(t *testing.T) {
	cases := map[string]struct {
		verdict flow.Verdict
		every   flow.Time // time between two runs of requests, at each full one
		lasts   flow.Time // of each run, with a request each millisecond
		want    int       // trials in ten seconds
	}{
		"good":                    {verdict: flow.VerdictGood, every: 1, lasts: 1, want: 40},
		"fewer while bad":         {verdict: flow.VerdictFailed, every: 1, lasts: 1, want: 11},
		"sheds say nothing":       {verdict: flow.VerdictShed, every: 1, lasts: 1, want: 40},
		"one that was missed too": {verdict: flow.VerdictGood, every: 501, lasts: 60, want: 2 * 19},
		"but not all":             {verdict: flow.VerdictGood, every: 2001, lasts: 60, want: 2 * 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := newGate(4)
			gate.SetState(0, admitter.StateEjected)
			trials, busy := 0, 0 // busy until then
			for now := flow.Time(1); now <= 10_000; now++ {
				if int(now) == busy {
					gate.Finish(now, uint64(trials), tc.verdict, 10*time.Millisecond)
				}
				if now < tc.every || now%tc.every >= tc.lasts {
					continue
				}
				answer := gate.Arrive(now, admitter.Entry{ID: uint64(trials + 1), NotAfter: later, MayTry: true})
				is.True(answer.Load >= 1)
				if answer.Decision == admitter.DecisionStart {
					trials++
					busy = int(now) + 10
				}
			}
			is.Equal(trials, tc.want)
		})
	}
}

func TestReportsWindowsOfRealWork(t *testing.T) {
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
		gate.Arrive(1, admitter.Entry{ID: 1, Customer: "a", NotAfter: later})
		gate.Finish(1, 1, verdict, time.Duration(i)*time.Millisecond)
	}
	report := gate.Report(1)
	is.Equal(report.Count, 180)
	is.Equal(report.Failures, 20)
	is.True(report.Median > 95*time.Millisecond && report.Median < 110*time.Millisecond)
	is.True(report.Quick > 47*time.Millisecond && report.Quick < 57*time.Millisecond)
	is.True(report.Slow > 171*time.Millisecond && report.Slow < 189*time.Millisecond)
	is.Equal(gate.Report(2), flow.ServerReport{Server: "s"})
}

func TestConnectionsAreCappedAndPaced(t *testing.T) {
	is := is.New(t)
	gate, _ := newGate(1)
	var opened []flow.Time
	for now := flow.Time(100); now < 200; now++ {
		if gate.MayOpen(now) {
			opened = append(opened, now)
		}
	}
	is.Equal(opened, []flow.Time{100, 104, 108})
	gate.Closed(200)
	is.True(gate.MayOpen(200))
}

// -----------------------------------------------------------------------------

// TestGateProperties drives a gate with random events, and holds that it never
// runs more than the limit at a start, never starts a request late, never loses
// one and tells of each once.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gate, limiter := newGate(2)
		now := flow.Time(0)
		waiting := map[uint64]admitter.Entry{}
		var running []uint64
		start := func(entry admitter.Entry) {
			running = append(running, entry.ID)
			if len(running) > limiter.limit {
				rt.Fatalf("%d running over the limit %d", len(running), limiter.limit)
			}
			if now > entry.NotAfter || entry.Deadline != 0 && now >= entry.Deadline {
				rt.Fatalf("%d started late", entry.ID)
			}
		}
		act := func(moves admitter.Moves) {
			for _, r := range moves.Refused {
				if _, ok := waiting[r.ID]; !ok {
					rt.Fatalf("%d refused while not waiting", r.ID)
				}
				delete(waiting, r.ID)
			}
			for _, id := range moves.Start {
				entry, ok := waiting[id]
				if !ok {
					rt.Fatalf("%d started while not waiting", id)
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
				gone := uint64(rapid.IntRange(1, int(id)).Draw(rt, "cancelled"))
				found, moves := gate.Cancel(now, gone)
				if _, ok := waiting[gone]; ok != found {
					rt.Fatalf("%d waiting: %v, found: %v", gone, ok, found)
				}
				delete(waiting, gone)
				act(moves)
			case 2:
				act(gate.SetState(now, admitter.State(rapid.IntRange(0, 4).Draw(rt, "state"))))
			case 3:
				act(gate.Expire(now))
			default:
				entry := admitter.Entry{
					ID:       id,
					Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "customer"),
					NotAfter: now + flow.Time(rapid.IntRange(-5, 200).Draw(rt, "not after")),
					MayTry:   rapid.Bool().Draw(rt, "may try"),
				}
				if rapid.Bool().Draw(rt, "has deadline") {
					entry.Deadline = now + flow.Time(rapid.IntRange(1, 200).Draw(rt, "deadline"))
				}
				answer := gate.Arrive(now, entry)
				act(answer.Moves)
				switch answer.Decision {
				case admitter.DecisionStart:
					start(entry)
				case admitter.DecisionQueued:
					waiting[id] = entry
				}
			}
			if figures := gate.Figures(now); figures.InFlight != len(running) || figures.Waiting != len(waiting) {
				rt.Fatalf("gate has %d in flight and %d waiting, want %d and %d", figures.InFlight, figures.Waiting, len(running), len(waiting))
			}
			if len(waiting) > 6 {
				rt.Fatalf("%d wait in a queue of 6", len(waiting))
			}
			if next, ok := gate.Next(now); ok != (len(waiting) > 0) || ok && !next.After(now) {
				rt.Fatalf("next is %d, %v at %d with %d waiting", next, ok, now, len(waiting))
			}
		}
	})
}
