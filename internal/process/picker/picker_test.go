package picker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
			for _, c := range view.Candidates(tc.at, nil, members, len(members), tc.floor) {
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
		return view.Candidates(now, nil, []picker.Member{{Server: "a"}}, 1, 0)[0].Latency
	}
	answered := func(now flow.Time, latency time.Duration) {
		view.Sent(now, "a")
		view.Answered(now, "a", latency, 0.5)
	}
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
