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

// at returns the Unix time in nanoseconds of a second of the measured time.
func at(start time.Time, seconds float64) int64 {
	return start.Add(time.Duration(seconds * float64(time.Second))).UnixNano()
}

// ejected returns the event of a server that was observed as ejected.
func ejected(seconds float64, name string) presenter.Event {
	return presenter.Event{AtMillis: int64(seconds * 1000), What: eventServerState, Subject: name, Detail: stateEjected}
}

// runDataOf returns the data of a run of 10 s with the servers a, b and c, of which
// b is faulty from 2 s to 6 s and c cold from 4 s to 8 s.
func runDataOf(events ...presenter.Event) *runData {
	start := time.Unix(1000, 0)
	customer := planner.Customer{Name: "shop", PerSecond: 1, Burst: 2}
	s := planner.Stream{CustomerName: "shop", Service: "ledger"}
	s.Name = "shop/reads"
	return &runData{
		experiment: &planner.Experiment{Deployment: &planner.Deployment{Hosts: 3, Customers: []planner.Customer{customer}}},
		streams:    []planner.Stream{s},
		length:     10 * time.Second,
		loadStart:  start,
		trace: &trace{start: start, events: events, conditionSpans: []conditionSpan{
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

func TestEjectionsAreCountedByTheActualCondition(t *testing.T) {
	cases := map[string]struct {
		events                          []presenter.Event
		falseEjections, detectionMillis float64 // detectionMillis is negative for never
	}{
		"nothing ejected":                     {nil, 0, -1},
		"faulty server ejected":               {[]presenter.Event{ejected(3.5, "b"), ejected(5, "b")}, 0, 1500},
		"healthy server ejected":              {[]presenter.Event{ejected(3.5, "a")}, 1, -1},
		"server ejected before its fault":     {[]presenter.Event{ejected(1, "b")}, 1, -1},
		"server ejected soon after its fault": {[]presenter.Event{ejected(6.5, "b")}, 0, -1},
		"server ejected long after its fault": {[]presenter.Event{ejected(9.5, "b")}, 1, -1},
		"cold server ejected":                 {[]presenter.Event{ejected(5, "c")}, 0, -1},
		"server ejected before it was cold":   {[]presenter.Event{ejected(3, "c")}, 1, -1},
		"another state than ejected":          {[]presenter.Event{{AtMillis: 3000, What: eventServerState, Subject: "a", Detail: "trial"}}, 0, -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := assess(runDataOf(tc.events...))
			is.Equal(measureOf(t, result, "false-ejections").Value, tc.falseEjections)
			detection := measureOf(t, result, "detection")
			is.Equal(detection.Valid, tc.detectionMillis >= 0)
			if detection.Valid {
				is.Equal(detection.Value, tc.detectionMillis)
			}
			hours := (30 - 4 - 4) / 3600.0 // of healthy servers
			rate := measureOf(t, result, "false-ejections-per-healthy-server-hour").Value
			is.True(math.Abs(rate-tc.falseEjections/hours) <= 0.001*rate)
		})
	}
}

func TestReturnIsMeasuredFromTheEndOfTheFault(t *testing.T) {
	state := func(seconds float64, state string) presenter.Event {
		return presenter.Event{AtMillis: int64(seconds * 1000), What: eventServerState, Subject: "b", Detail: state}
	}
	cases := map[string]struct {
		events []presenter.Event
		millis float64 // negative if the server does not return
	}{
		"returns during the fault":     {[]presenter.Event{ejected(3, "b"), state(5, "trial")}, 0},
		"returns after the fault":      {[]presenter.Event{ejected(3, "b"), state(7.5, "trial"), state(8, "serving")}, 2000},
		"ejected again and stays so":   {[]presenter.Event{ejected(3, "b"), state(7, "trial"), ejected(8, "b")}, -1},
		"another server stays ejected": {[]presenter.Event{ejected(3, "b"), ejected(4, "a"), state(7, "serving")}, 1000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := measureOf(t, assess(runDataOf(tc.events...)), "return")
			is.Equal(got.Valid, tc.millis >= 0)
			if got.Valid {
				is.Equal(got.Value, tc.millis)
			}
		})
	}
}

func TestViolationsOfOutcomesAndRatesAreCounted(t *testing.T) {
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
		record                            caller.Record
		entries                           []server.Entry
		outcomeViolations, rateViolations float64
	}{
		"answered and ran once":                  {answered, []server.Entry{ran("w", "POST", 1)}, 0, 0},
		"answered and ran twice":                 {answered, []server.Entry{ran("w", "POST", 1), ran("w", "POST", 2)}, 1, 0},
		"answered and never ran":                 {answered, nil, 1, 0},
		"refused as not run, and ran":            {refused, []server.Entry{ran("w", "POST", 1)}, 1, 0},
		"response to another request":            {with(func(r *caller.Record) { r.Result, r.Whole = caller.Foreign, true }), []server.Entry{ran("w", "POST", 1)}, 1, 0},
		"truncated response that looks complete": {with(func(r *caller.Record) { r.Result, r.Own = caller.Short, true }), []server.Entry{ran("w", "POST", 1)}, 1, 0},
		"run of the direct load is ignored":      {answered, []server.Entry{ran("w", "POST", 1), ran("other", "POST", -1)}, 0, 0},
		"more runs than rate and slack allow":    {answered, []server.Entry{ran("w", "POST", 1), ran("w", "POST", 1), ran("w", "POST", 1), ran("w", "POST", 1)}, 1, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data := runDataOf()
			data.records = []caller.Record{tc.record}
			data.journals[0].entries = tc.entries
			result := assess(data)
			is.Equal(measureOf(t, result, "outcome-violations").Value, tc.outcomeViolations)
			is.Equal(measureOf(t, result, "rate-violations").Value, tc.rateViolations)
		})
	}
}
