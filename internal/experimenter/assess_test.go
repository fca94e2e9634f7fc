package experimenter

import (
	"math"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// at returns a time of the measured time in nanoseconds of Unix time.
func at(start time.Time, seconds float64) int64 {
	return start.Add(time.Duration(seconds * float64(time.Second))).UnixNano()
}

// ejected returns the event of a server that was seen ejected.
func ejected(seconds float64, name string) presenter.Event {
	return presenter.Event{AtMillis: int64(seconds * 1000), What: eventServerState, Subject: name, Detail: stateEjected}
}

// evidenceOf returns the evidence of 10 s with the servers a, b and c, of which
// b is faulty from 2 s to 6 s and c cold from 4 s to 8 s.
func evidenceOf(events ...presenter.Event) *evidence {
	start := time.Unix(1000, 0)
	customer := planner.Customer{Name: "shop", PerSecond: 1, Burst: 2}
	r := planner.Row{Owner: "shop", Service: "ledger"}
	r.Name = "shop/reads"
	return &evidence{
		experiment: &planner.Experiment{Deployment: &planner.Deployment{Hosts: 3, Customers: []planner.Customer{customer}}},
		rows:       []planner.Row{r},
		length:     10 * time.Second,
		loadStart:  start,
		trace: &trace{start: start, events: events, spans: []span{
			{"b", conditionFaulty, 2 * time.Second, 6 * time.Second},
			{"c", conditionCold, 4 * time.Second, 8 * time.Second},
		}},
		journals: []journal{{server: "a"}, {server: "b"}, {server: "c"}},
	}
}

func measureOf(t *testing.T, r *presenter.Result, name string) presenter.Measure {
	t.Helper()
	for _, m := range r.Measures {
		if m.Name == name {
			return m
		}
	}
	t.Fatalf("no measure %s", name)
	return presenter.Measure{}
}

func TestEjectionsAreJudgedByTheTruth(t *testing.T) {
	cases := map[string]struct {
		events            []presenter.Event
		healthy, detected float64 // detected in milliseconds, negative for never
	}{
		"nothing ejected":              {nil, 0, -1},
		"the faulty one":               {[]presenter.Event{ejected(3.5, "b"), ejected(5, "b")}, 0, 1500},
		"a healthy one":                {[]presenter.Event{ejected(3.5, "a")}, 1, -1},
		"the faulty one before":        {[]presenter.Event{ejected(1, "b")}, 1, -1},
		"on evidence of before":        {[]presenter.Event{ejected(6.5, "b")}, 0, -1},
		"long after":                   {[]presenter.Event{ejected(9.5, "b")}, 1, -1},
		"a cold one":                   {[]presenter.Event{ejected(5, "c")}, 0, -1},
		"the cold one before it was":   {[]presenter.Event{ejected(3, "c")}, 1, -1},
		"another state is no ejection": {[]presenter.Event{{AtMillis: 3000, What: eventServerState, Subject: "a", Detail: "trial"}}, 0, -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := assess(evidenceOf(tc.events...))
			is.Equal(measureOf(t, result, "false-ejections").Value, tc.healthy)
			detection := measureOf(t, result, "detection")
			is.Equal(detection.Valid, tc.detected >= 0)
			if detection.Valid {
				is.Equal(detection.Value, tc.detected)
			}
			hours := (30 - 4 - 4) / 3600.0 // of healthy servers
			rate := measureOf(t, result, "false-ejections-per-healthy-server-hour").Value
			is.True(math.Abs(rate-tc.healthy/hours) <= 0.001*rate)
		})
	}
}

func TestReturnOfAServerIsMeasuredFromTheEndOfItsFault(t *testing.T) {
	state := func(seconds float64, state string) presenter.Event {
		return presenter.Event{AtMillis: int64(seconds * 1000), What: eventServerState, Subject: "b", Detail: state}
	}
	cases := map[string]struct {
		events []presenter.Event
		millis float64 // negative for never, when it was ejected
	}{
		"during the fault":  {[]presenter.Event{ejected(3, "b"), state(5, "trial")}, 0},
		"after it":          {[]presenter.Event{ejected(3, "b"), state(7.5, "trial"), state(8, "serving")}, 2000},
		"not by the end":    {[]presenter.Event{ejected(3, "b"), state(7, "trial"), ejected(8, "b")}, -1},
		"while another was": {[]presenter.Event{ejected(3, "b"), ejected(4, "a"), state(7, "serving")}, 1000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := measureOf(t, assess(evidenceOf(tc.events...)), "return")
			is.Equal(got.Valid, tc.millis >= 0)
			if got.Valid {
				is.Equal(got.Value, tc.millis)
			}
		})
	}
}

func TestViolationsAreFound(t *testing.T) {
	start := time.Unix(1000, 0)
	write := caller.Record{CallerRequest: "w", Customer: "shop/reads", Method: "POST", Intended: at(start, 1)}
	ran := func(id, method string, seconds float64) server.Entry {
		return server.Entry{Server: "a", Customer: "shop", CallerRequest: id, Method: method, Start: at(start, seconds)}
	}
	with := func(change func(r *caller.Record)) caller.Record {
		r := write
		change(&r)
		return r
	}
	answered := with(func(r *caller.Record) { r.Result, r.Own, r.Whole = caller.Answered, true, true })
	refused := with(func(r *caller.Record) { r.Result, r.Reason = caller.NotRun, flow.ReasonNoCapacity })
	cases := map[string]struct {
		record         caller.Record
		entries        []server.Entry
		outcome, rates float64
	}{
		"answered and ran once":              {answered, []server.Entry{ran("w", "POST", 1)}, 0, 0},
		"answered and ran twice":             {answered, []server.Entry{ran("w", "POST", 1), ran("w", "POST", 2)}, 1, 0},
		"answered and never ran":             {answered, nil, 1, 0},
		"told not run, and ran":              {refused, []server.Entry{ran("w", "POST", 1)}, 1, 0},
		"an answer to another":               {with(func(r *caller.Record) { r.Result, r.Whole = caller.Foreign, true }), []server.Entry{ran("w", "POST", 1)}, 1, 0},
		"an answer that looks whole":         {with(func(r *caller.Record) { r.Result, r.Own = caller.Short, true }), []server.Entry{ran("w", "POST", 1)}, 1, 0},
		"a run of the direct load":           {answered, []server.Entry{ran("w", "POST", 1), ran("other", "POST", -1)}, 0, 0},
		"more than the rate, with the slack": {answered, []server.Entry{ran("w", "POST", 1), ran("w", "POST", 1), ran("w", "POST", 1), ran("w", "POST", 1)}, 1, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := evidenceOf()
			found.records = []caller.Record{tc.record}
			found.journals[0].entries = tc.entries
			result := assess(found)
			is.Equal(measureOf(t, result, "outcome-violations").Value, tc.outcome)
			is.Equal(measureOf(t, result, "rate-violations").Value, tc.rates)
		})
	}
}
