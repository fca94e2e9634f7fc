package picker_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/picker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const draws = 3000

// shares returns how often each candidate is picked.
func shares(t *testing.T, name string, candidates []flow.Candidate) []float64 {
	t.Helper()
	p, err := picker.New(name, picker.Options{Seed: 1})
	is.New(t).NoErr(err)
	counts := make([]float64, len(candidates))
	for range draws {
		if i, ok := p.Pick(0, candidates); ok {
			counts[i]++
		}
	}
	for i := range counts {
		counts[i] /= draws
	}
	return counts
}

func TestPick(t *testing.T) {
	const quick, slow = 10 * time.Millisecond, 50 * time.Millisecond
	within := func(least, most float64) [2]float64 { return [2]float64{least, most} }
	cases := map[string]struct {
		names      []string
		candidates []flow.Candidate
		want       [][2]float64 // bounds of each candidate's share
	}{
		"alike are picked alike": {
			names:      picker.Names(),
			candidates: []flow.Candidate{{Latency: quick}, {Latency: quick}, {Latency: quick}},
			want:       [][2]float64{within(0.3, 0.37), within(0.3, 0.37), within(0.3, 0.37)},
		},
		"never the avoided": {
			names:      picker.Names(),
			candidates: []flow.Candidate{{Avoid: true}, {Latency: slow, Load: 3}, {Avoid: true}},
			want:       [][2]float64{within(0, 0), within(1, 1), within(0, 0)},
		},
		"the avoided when none else is left": {
			names:      picker.Names(),
			candidates: []flow.Candidate{{Avoid: true}, {Avoid: true}},
			want:       [][2]float64{within(0.45, 0.55), within(0.45, 0.55)},
		},
		"none": {names: picker.Names()},
		"own zone first": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: quick, SameZone: true, InFlight: 1}, {Latency: quick}, {Latency: quick}},
			want:       [][2]float64{within(1, 1), within(0, 0), within(0, 0)},
		},
		"another zone when the own is clearly busier": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: quick, SameZone: true, InFlight: 3}, {Latency: quick}, {Latency: quick}},
			want:       [][2]float64{within(0, 0), within(0.45, 0.55), within(0.45, 0.55)},
		},
		"the slowest of three loses each draw": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: quick}, {Latency: slow}, {Latency: quick}},
			want:       [][2]float64{within(0.45, 0.55), within(0, 0), within(0.45, 0.55)},
		},
		"the unknown counts as usual": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: quick}, {}, {Latency: slow}},
			want:       [][2]float64{within(0.6, 0.72), within(0.28, 0.4), within(0, 0)},
		},
		"the loaded loses": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: quick, Load: 1.5}, {Latency: quick}},
			want:       [][2]float64{within(0, 0), within(1, 1)},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, pickerName := range tc.names {
				for i, share := range shares(t, pickerName, tc.candidates) {
					if share < tc.want[i][0] || share > tc.want[i][1] {
						t.Errorf("%s picks candidate %d with share %.3f, want %v", pickerName, i, share, tc.want[i])
					}
				}
			}
		})
	}
}

// -----------------------------------------------------------------------------

func TestViewAvoids(t *testing.T) {
	members := []picker.Member{{Server: "a"}, {Server: "b"}, {Server: "c"}, {Server: "d"}}
	refused := func(server string, reason flow.Reason) func(*picker.View) {
		return func(v *picker.View) {
			v.Sent(0, server)
			v.Refused(0, server, reason, 1, 0)
		}
	}
	unreachable := func(server string) func(*picker.View) {
		return func(v *picker.View) {
			v.Sent(0, server)
			v.Unreachable(0, server)
		}
	}
	cases := map[string]struct {
		events  []func(*picker.View)
		at      flow.Time
		floor   float64
		avoided string
	}{
		"an ejected server":                  {events: []func(*picker.View){refused("a", flow.ReasonEjected)}, at: 999, avoided: "a"},
		"until the time is over":             {events: []func(*picker.View){refused("a", flow.ReasonEjected)}, at: 1000},
		"not for a refusal of the request":   {events: []func(*picker.View){refused("a", flow.ReasonOverRate)}},
		"longer each time it is unreachable": {events: []func(*picker.View){unreachable("a"), unreachable("a"), unreachable("a")}, at: 999, avoided: "a"},
		"no more than leaves the floor, least bad first": {
			events:  []func(*picker.View){unreachable("a"), refused("b", flow.ReasonNoCapacity), refused("c", flow.ReasonEjected)},
			at:      10,
			floor:   0.4,
			avoided: "ac",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view := picker.NewView()
			for _, event := range tc.events {
				event(view)
			}
			avoided := ""
			for _, c := range view.Candidates(tc.at, nil, picker.Query{Members: members, InService: len(members), Floor: tc.floor, Idempotent: true}) {
				if c.Avoid {
					avoided += c.Server
				}
				is.Equal(c.InFlight, 0)
			}
			is.Equal(avoided, tc.avoided)
		})
	}
}

func TestViewLatencyRisesQuicklyAndIsForgotten(t *testing.T) {
	is := is.New(t)
	view := picker.NewView()
	latencyAt := func(now flow.Time) time.Duration {
		return view.Candidates(now, nil, picker.Query{Members: []picker.Member{{Server: "a"}}, InService: 1})[0].Latency
	}
	answered := func(now flow.Time, latency time.Duration) {
		view.Sent(now, "a")
		view.Answered(now, "a", latency, 0.5)
	}
	view.Sent(0, "b")
	view.Answered(0, "b", time.Second, 0)
	view.Sent(0, "b")
	view.Refused(0, "b", flow.ReasonEjected, 0, 0)
	is.Equal(view.Server("b").Latency, time.Duration(0)) // its trial requests tell it anew
	answered(0, 10*time.Millisecond)
	answered(0, 100*time.Millisecond)
	is.Equal(latencyAt(0), 55*time.Millisecond)
	answered(100, 10*time.Millisecond)
	is.True(latencyAt(100) > 50*time.Millisecond)
	is.True(latencyAt(10_100) < 28*time.Millisecond)
	is.Equal(latencyAt(31_000), time.Duration(0))

	before := latencyAt(100)
	view.Sent(100, "a")
	view.Failed(100, "a", time.Millisecond)
	is.True(latencyAt(100) > before) // failing quickly does not make it look quick
	for range 1000 {
		view.Failed(100, "a", time.Millisecond)
	}
	is.True(latencyAt(100) > before && latencyAt(100) <= 5*time.Second) // nor failing for ever like nothing known
}

// TestSlowServerIsExplored sends requests one at a time, and holds that a server
// that seems slow gets a small share of them, bounded, unless it is loaded.
func TestSlowServerIsExplored(t *testing.T) {
	cases := map[string]struct {
		load        float64
		least, most int // of 400 requests
	}{
		"idle":   {load: 0, least: 60, most: 100},
		"loaded": {load: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := []picker.Member{{Server: "a", SameZone: true}, {Server: "b", SameZone: true}}
			latencies := map[string]time.Duration{"a": 50 * time.Millisecond, "b": 10 * time.Millisecond}
			p, err := picker.New(picker.NameTwoChoices, picker.Options{Seed: 1})
			is.NoErr(err)
			view := picker.NewView()
			sent := map[string]int{}
			for now := flow.Time(0); now < 4000; now += 10 {
				view.Heard(now, "a", tc.load)
				i, _ := p.Pick(now, view.Candidates(now, nil, picker.Query{Members: members, InService: 2}))
				server := members[i].Server
				view.Sent(now, server)
				view.Answered(now, server, latencies[server], 0)
				sent[server]++
			}
			is.True(tc.least <= sent["a"] && sent["a"] <= tc.most)
		})
	}
}

// -----------------------------------------------------------------------------

func TestTrialsOfAnEjectedServer(t *testing.T) {
	is := is.New(t)
	view := picker.NewView()
	tries := func(now flow.Time, idempotent bool) bool {
		query := picker.Query{Members: []picker.Member{{Server: "a"}, {Server: "b"}}, InService: 2, Idempotent: idempotent}
		return !view.Candidates(now, nil, query)[0].Avoid
	}
	view.Sent(0, "a")
	view.Sent(0, "a")
	view.Refused(0, "a", flow.ReasonEjected, 1, 0)
	view.Refused(1, "a", flow.ReasonEjected, 1, 0) // sent as early, and says nothing new
	is.True(!tries(999, true) && tries(1000, true))
	is.True(!tries(1999, false) && tries(2000, false)) // for want of idempotent ones

	view.Sent(1000, "a")
	is.True(!tries(1999, true)) // one at a time
	view.Refused(1001, "a", flow.ReasonEjected, 1, 0)
	is.True(!tries(3000, true) && tries(3001, true))

	now := flow.Time(3001)
	for range 8 {
		is.True(tries(now, true) && !tries(now, false))
		view.Sent(now, "a")
		view.Answered(now, "a", time.Second, 1)
		is.Equal(view.Server("a").Latency, time.Duration(0))
		now += 500
	}
	is.True(tries(now, false)) // it is busy, not ejected
	is.True(!view.Server("a").Ejected)
}

// oneSlot is a limiter that allows one request at a time.
type oneSlot struct{}

func (oneSlot) Limit(flow.Time) int { return 1 }

func (oneSlot) Warming(flow.Time) bool { return false }

func (oneSlot) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

// ejectedWorld is some ingresses that choose among eight servers, of which the
// first is ejected.
type ejectedWorld struct {
	random  *rand.Rand
	gate    *admitter.Gate
	members []picker.Member
	views   []*picker.View
	pickers []flow.Picker
	ends    map[flow.Time][]func()
	trials  int
	refused int
}

func newEjectedWorld(t *testing.T, ingresses int) *ejectedWorld {
	t.Helper()
	w := &ejectedWorld{
		random: rand.New(rand.NewPCG(1, 1)),
		gate:   admitter.New(admitter.Options{Limiter: oneSlot{}}),
		ends:   map[flow.Time][]func(){},
	}
	w.gate.SetState(0, admitter.StateEjected)
	for _, name := range strings.Split("abcdefgh", "") {
		w.members = append(w.members, picker.Member{Server: name, SameZone: true})
	}
	for i := range ingresses {
		p, err := picker.New(picker.NameTwoChoices, picker.Options{Seed: uint64(i)})
		is.New(t).NoErr(err)
		w.views = append(w.views, picker.NewView())
		w.pickers = append(w.pickers, p)
	}
	return w
}

// run sends requests at random moments, so many a second.
func (w *ejectedWorld) run(until flow.Time, rate, idempotent float64) {
	next := 0.0 // milliseconds
	for now := flow.Time(0); now < until; now++ {
		for _, end := range w.ends[now] {
			end()
		}
		delete(w.ends, now)
		for ; next < float64(now); next += w.random.ExpFloat64() * 1000 / rate {
			w.send(now, w.random.Float64() < idempotent)
		}
	}
}

func (w *ejectedWorld) send(now flow.Time, idempotent bool) {
	const answerTime = flow.Time(20)
	from := w.random.IntN(len(w.views))
	view := w.views[from]
	query := picker.Query{Members: w.members, InService: len(w.members), Idempotent: idempotent}
	i, _ := w.pickers[from].Pick(now, view.Candidates(now, nil, query))
	server := w.members[i].Server
	view.Sent(now, server)
	end := now + answerTime
	if i > 0 {
		w.at(end, func() { view.Answered(end, server, answerTime.Sub(0), 0.3) })
		return
	}
	id := uint64(w.trials + 1)
	asked := w.gate.Arrive(now, admitter.Entry{ID: id, NotAfter: end, TrialAllowed: idempotent})
	if asked.Decision != admitter.DecisionStarted {
		w.refused++
		w.at(now+1, func() { view.Refused(now+1, server, asked.Reason, asked.Load, 0) })
		return
	}
	w.trials++
	w.at(end, func() {
		w.gate.Finish(end, id, flow.VerdictGood, answerTime.Sub(0))
		view.Answered(end, server, answerTime.Sub(0), w.gate.Load(end))
	})
}

func (w *ejectedWorld) at(now flow.Time, end func()) { w.ends[now] = append(w.ends[now], end) }

// TestEjectedServerIsTried holds that an ejected server gets trials near the
// rate that its gate takes, or its fair share of the idempotent requests where
// that is less, and that refused trials are few whatever the number of ingresses.
func TestEjectedServerIsTried(t *testing.T) {
	const seconds = 60
	cases := map[string]struct {
		ingresses  int
		rate       float64 // of all, requests a second
		idempotent float64 // share of the requests
		trials     float64 // least a second; 4 are taken
		refused    float64 // most a second
	}{
		"one ingress":         {ingresses: 1, rate: 140, idempotent: 0.5, trials: 2.4, refused: 1},
		"four":                {ingresses: 4, rate: 140, idempotent: 0.5, trials: 3, refused: 2.5},
		"four with few":       {ingresses: 4, rate: 10, idempotent: 0.7, trials: 0.7, refused: 1},
		"many":                {ingresses: 27, rate: 540, idempotent: 0.5, trials: 3.5, refused: 8},
		"a region's":          {ingresses: 675, rate: 2700, idempotent: 0.5, trials: 3.5, refused: 80},
		"only not idempotent": {ingresses: 27, rate: 540, refused: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newEjectedWorld(t, tc.ingresses)
			w.run(seconds*1000, tc.rate, tc.idempotent)
			trials, refused := float64(w.trials)/seconds, float64(w.refused)/seconds
			t.Logf("%d ingresses: %.2f trials and %.2f refused a second", tc.ingresses, trials, refused)
			if trials < tc.trials || refused > tc.refused {
				t.Errorf("%.2f trials and %.2f refused a second, want %.2f at least and %.2f at most", trials, refused, tc.trials, tc.refused)
			}
		})
	}
}
