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

// shares returns the share of draws in which each candidate is picked.
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

func TestPickShares(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 50 * time.Millisecond
	within := func(least, most float64) [2]float64 { return [2]float64{least, most} }
	cases := map[string]struct {
		names      []string
		candidates []flow.Candidate
		want       [][2]float64 // bounds of each candidate's share
	}{
		"equal candidates get equal shares": {
			names:      picker.Names(),
			candidates: []flow.Candidate{{Latency: fast}, {Latency: fast}, {Latency: fast}},
			want:       [][2]float64{within(0.3, 0.37), within(0.3, 0.37), within(0.3, 0.37)},
		},
		"avoided candidates get nothing": {
			names:      picker.Names(),
			candidates: []flow.Candidate{{Avoid: true}, {Latency: slow, Load: 3}, {Avoid: true}},
			want:       [][2]float64{within(0, 0), within(1, 1), within(0, 0)},
		},
		"avoided candidates share when no other is left": {
			names:      picker.Names(),
			candidates: []flow.Candidate{{Avoid: true}, {Avoid: true}},
			want:       [][2]float64{within(0.45, 0.55), within(0.45, 0.55)},
		},
		"no candidates get nothing": {names: picker.Names()},
		"own zone is preferred": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: fast, SameZone: true, InFlight: 1}, {Latency: fast}, {Latency: fast}},
			want:       [][2]float64{within(1, 1), within(0, 0), within(0, 0)},
		},
		"other zones are preferred when the own is much busier": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: fast, SameZone: true, InFlight: 3}, {Latency: fast}, {Latency: fast}},
			want:       [][2]float64{within(0, 0), within(0.45, 0.55), within(0.45, 0.55)},
		},
		"the slowest of three gets nothing": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: fast}, {Latency: slow}, {Latency: fast}},
			want:       [][2]float64{within(0.45, 0.55), within(0, 0), within(0.45, 0.55)},
		},
		"unknown latency counts as the mean": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: fast}, {}, {Latency: slow}},
			want:       [][2]float64{within(0.6, 0.72), within(0.28, 0.4), within(0, 0)},
		},
		"the more loaded of two gets nothing": {
			names:      []string{picker.NameTwoChoices},
			candidates: []flow.Candidate{{Latency: fast, Load: 1.5}, {Latency: fast}},
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
		"an ejected server is avoided":                               {events: []func(*picker.View){refused("a", flow.ReasonEjected)}, at: 999, avoided: "a"},
		"an ejected server is no longer avoided after a second":      {events: []func(*picker.View){refused("a", flow.ReasonEjected)}, at: 1000},
		"a refusal that is about the request avoids no server":       {events: []func(*picker.View){refused("a", flow.ReasonOverRate)}},
		"an unreachable server is avoided longer after each failure": {events: []func(*picker.View){unreachable("a"), unreachable("a"), unreachable("a")}, at: 999, avoided: "a"},
		"the least bad server is allowed again to keep the floor": {
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

func TestViewLatencyRisesQuicklyAndExpires(t *testing.T) {
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
	is.Equal(view.Server("b").Latency, time.Duration(0)) // is measured again after the ejection
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
	is.True(latencyAt(100) > before) // a fast failure does not make the server look fast
	for range 1000 {
		view.Failed(100, "a", time.Millisecond)
	}
	is.True(latencyAt(100) > before && latencyAt(100) <= 5*time.Second) // and endless failures don't make its latency unknown
}

// TestSlowServerIsExploredUnlessLoaded sends requests one at a time, and checks
// that a server that seems slow gets a small, bounded share of them, but none while
// it is loaded.
func TestSlowServerIsExploredUnlessLoaded(t *testing.T) {
	cases := map[string]struct {
		load        float64
		least, most int // of 400 requests
	}{
		"an idle slow server gets a small share": {load: 0, least: 60, most: 100},
		"a loaded slow server gets nothing":      {load: 8},
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
				view.UpdateLoad(now, "a", tc.load)
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

func TestTrialIntervalsOfEjectedServer(t *testing.T) {
	is := is.New(t)
	view := picker.NewView()
	mayTry := func(now flow.Time, idempotent bool) bool {
		query := picker.Query{Members: []picker.Member{{Server: "a"}, {Server: "b"}}, InService: 2, Idempotent: idempotent}
		return !view.Candidates(now, nil, query)[0].Avoid
	}
	view.Sent(0, "a")
	view.Sent(0, "a")
	view.Refused(0, "a", flow.ReasonEjected, 1, 0)
	view.Refused(1, "a", flow.ReasonEjected, 1, 0) // sent before the first refusal, so it changes nothing
	is.True(!mayTry(999, true) && mayTry(1000, true))
	is.True(!mayTry(1999, false) && mayTry(2000, false)) // when no idempotent request came first

	view.Sent(1000, "a")
	is.True(!mayTry(1999, true)) // one trial at a time
	view.Refused(1001, "a", flow.ReasonEjected, 1, 0)
	is.True(!mayTry(3000, true) && mayTry(3001, true))

	now := flow.Time(3001)
	for range 8 {
		is.True(mayTry(now, true) && !mayTry(now, false))
		view.Sent(now, "a")
		view.Answered(now, "a", time.Second, 1)
		is.Equal(view.Server("a").Latency, time.Duration(0))
		now += 500
	}
	is.True(mayTry(now, false)) // the server is busy, not ejected
	is.True(!view.Server("a").Ejected)
}

// oneSlot is a limiter that allows one request at a time.
type oneSlot struct{}

func (oneSlot) Limit(flow.Time) int { return 1 }

func (oneSlot) Warming(flow.Time) bool { return false }

func (oneSlot) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}

// ejectionFixture has ingresses that choose among eight servers, the first of which
// is ejected.
type ejectionFixture struct {
	random  *rand.Rand
	gate    *admitter.Gate
	members []picker.Member
	views   []*picker.View
	pickers []flow.Picker
	events  map[flow.Time][]func()
	trials  int
	refused int
}

func newEjectionFixture(t *testing.T, ingresses int) *ejectionFixture {
	t.Helper()
	f := &ejectionFixture{
		random: rand.New(rand.NewPCG(1, 1)),
		gate:   admitter.New(admitter.Options{Limiter: oneSlot{}}),
		events: map[flow.Time][]func(){},
	}
	f.gate.SetState(0, admitter.StateEjected)
	for _, name := range strings.Split("abcdefgh", "") {
		f.members = append(f.members, picker.Member{Server: name, SameZone: true})
	}
	for i := range ingresses {
		p, err := picker.New(picker.NameTwoChoices, picker.Options{Seed: uint64(i)})
		is.New(t).NoErr(err)
		f.views = append(f.views, picker.NewView())
		f.pickers = append(f.pickers, p)
	}
	return f
}

// run sends requests at random times with the given mean rate per second.
func (f *ejectionFixture) run(until flow.Time, rate, idempotent float64) {
	next := 0.0 // milliseconds
	for now := flow.Time(0); now < until; now++ {
		for _, event := range f.events[now] {
			event()
		}
		delete(f.events, now)
		for ; next < float64(now); next += f.random.ExpFloat64() * 1000 / rate {
			f.send(now, f.random.Float64() < idempotent)
		}
	}
}

func (f *ejectionFixture) send(now flow.Time, idempotent bool) {
	const answerTime = flow.Time(20)
	from := f.random.IntN(len(f.views))
	view := f.views[from]
	query := picker.Query{Members: f.members, InService: len(f.members), Idempotent: idempotent}
	i, _ := f.pickers[from].Pick(now, view.Candidates(now, nil, query))
	server := f.members[i].Server
	view.Sent(now, server)
	end := now + answerTime
	if i > 0 {
		f.schedule(end, func() { view.Answered(end, server, answerTime.Sub(0), 0.3) })
		return
	}
	id := uint64(f.trials + 1)
	result := f.gate.Arrive(now, admitter.Entry{ID: id, NotAfter: end, TrialAllowed: idempotent})
	if result.Decision != admitter.DecisionStarted {
		f.refused++
		f.schedule(now+1, func() { view.Refused(now+1, server, result.Reason, result.Load, 0) })
		return
	}
	f.trials++
	f.schedule(end, func() {
		f.gate.Finish(end, id, flow.VerdictGood, answerTime.Sub(0))
		view.Answered(end, server, answerTime.Sub(0), f.gate.Load(end))
	})
}

func (f *ejectionFixture) schedule(at flow.Time, event func()) {
	f.events[at] = append(f.events[at], event)
}

// TestEjectedServerGetsTrials checks that an ejected server gets trials near the
// rate that its gate accepts, or its fair share of the idempotent requests if that
// is less, and that few trials are refused whatever the number of ingresses.
func TestEjectedServerGetsTrials(t *testing.T) {
	const seconds = 60
	cases := map[string]struct {
		ingresses  int
		rate       float64 // requests a second of all ingresses
		idempotent float64 // share of the requests
		trials     float64 // least number a second; the gate accepts 4
		refused    float64 // most refused trials a second
	}{
		"one ingress":                              {ingresses: 1, rate: 140, idempotent: 0.5, trials: 2.4, refused: 1},
		"four ingresses":                           {ingresses: 4, rate: 140, idempotent: 0.5, trials: 3, refused: 2.5},
		"four ingresses with few requests":         {ingresses: 4, rate: 10, idempotent: 0.7, trials: 0.7, refused: 1},
		"27 ingresses":                             {ingresses: 27, rate: 540, idempotent: 0.5, trials: 3.5, refused: 8},
		"675 ingresses, all of a region":           {ingresses: 675, rate: 2700, idempotent: 0.5, trials: 3.5, refused: 80},
		"27 ingresses without idempotent requests": {ingresses: 27, rate: 540, refused: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newEjectionFixture(t, tc.ingresses)
			f.run(seconds*1000, tc.rate, tc.idempotent)
			trials, refused := float64(f.trials)/seconds, float64(f.refused)/seconds
			t.Logf("%d ingresses: %.2f trials and %.2f refused a second", tc.ingresses, trials, refused)
			if trials < tc.trials || refused > tc.refused {
				t.Errorf("%.2f trials and %.2f refused a second, want %.2f at least and %.2f at most", trials, refused, tc.trials, tc.refused)
			}
		})
	}
}
