package assessor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
)

func TestBucketAdmitsBurstAndRate(t *testing.T) {
	cases := map[string]struct {
		perSecond float64
		burst     int
		arrivals  []time.Duration
		admitted  int
	}{
		"a burst at once":            {perSecond: 1, burst: 3, arrivals: make([]time.Duration, 5), admitted: 3},
		"the rate after the burst":   {perSecond: 10, burst: 1, arrivals: []time.Duration{0, 99 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}, admitted: 3},
		"no more than the burst":     {perSecond: 10, burst: 2, arrivals: []time.Duration{time.Hour, time.Hour, time.Hour}, admitted: 2},
		"time before the origin too": {perSecond: 10, burst: 1, arrivals: []time.Duration{-time.Second, -900 * time.Millisecond, -850 * time.Millisecond}, admitted: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bucket := assessor.NewBucket(tc.perSecond, tc.burst)
			admitted := 0
			for _, at := range tc.arrivals {
				if bucket.Admit(at) {
					admitted++
				}
			}
			is.Equal(admitted, tc.admitted)
		})
	}
}

// requests returns requests of one customer, evenly spaced, each refused for
// its rate where denied says so.
func requests(customer string, interval time.Duration, count int, denied func(i int) bool) []assessor.Request {
	made := make([]assessor.Request, count)
	for i := range made {
		deny := denied(i)
		made[i] = assessor.Request{Customer: customer, At: time.Duration(i) * interval, RateDeny: deny, Success: !deny, Latency: time.Millisecond}
	}
	return made
}

func TestRefusalsAreHeldAgainstTheFleetOnlyInsideTheRate(t *testing.T) {
	rates := map[string]assessor.Rate{"shop": {PerSecond: 10, Burst: 1}}
	cases := map[string]struct {
		requests     []assessor.Request
		above        bool
		inside       int
		excused      int
		successShare float64
		allowedShare float64
	}{
		"inside the rate, one refused": {
			requests: requests("shop", 100*time.Millisecond, 100, func(i int) bool { return i == 50 }),
			inside:   1, successShare: 0.99, allowedShare: 0.99,
		},
		"five times the rate, a fifth served": {
			requests: requests("shop", 20*time.Millisecond, 500, func(i int) bool { return i%5 != 2 }),
			above:    true, excused: 400, successShare: 1, allowedShare: 1,
		},
		"five times the rate, a tenth served": {
			requests: requests("shop", 20*time.Millisecond, 500, func(i int) bool { return i%10 != 0 }),
			above:    true, excused: 450, successShare: 1, allowedShare: 0.5,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			above := assessor.MarkInside(tc.requests, rates)
			got := assessor.Customers(assessor.Measured(tc.requests), above)[0]
			is.Equal(got.Above, tc.above)
			is.Equal(got.RefusedInside, tc.inside)
			is.Equal(got.Excused, tc.excused)
			is.Equal(got.SuccessShare, tc.successShare)
			is.Equal(got.AllowedShare, tc.allowedShare)
		})
	}
}

func TestWorstCustomer(t *testing.T) {
	is := is.New(t)
	worst := assessor.WorstOf([]assessor.Customer{
		{Name: "a", SuccessShare: 1, Latency: assessor.Quantiles{P99Millis: 30}},
		{Name: "b", SuccessShare: 0.9, Latency: assessor.Quantiles{P99Millis: 10}},
		{Name: "c", SuccessShare: 0.99, Latency: assessor.Quantiles{P99Millis: 20}},
	})
	is.Equal(worst, assessor.Worst{
		ShareCustomer: "b", Share: 0.9, MedianShare: 0.99,
		P99Customer: "a", P99Millis: 30, MedianP99: 20,
	})
}

func TestWindows(t *testing.T) {
	is := is.New(t)
	windows := assessor.Windows([]assessor.Request{
		{At: -time.Second},                                // before the measured time
		{At: 0, Success: true},                            //
		{At: 999 * time.Millisecond, Success: true},       // still the first second
		{At: time.Second},                                 // a failure
		{At: 1500 * time.Millisecond, Success: true},      //
		{At: 1600 * time.Millisecond, Excuse: true},       // not held against anybody
		{At: 3500 * time.Millisecond, RateDeny: true},     // inside the rate, so it counts
		{At: 9 * time.Second, Success: false, Reason: ""}, // after the end
	}, 4*time.Second)
	is.Equal(len(windows), 4)
	is.Equal(windows[0].Share(), 1.0)
	is.Equal(windows[1].Share(), 0.5)
	is.Equal(windows[2].Share(), 1.0) // nobody asked
	worst, second := assessor.WorstWindow(windows)
	is.Equal(worst, 0.0)
	is.Equal(second, 3)
	is.Equal(assessor.SecondsBadlyServed(windows), 2)
}
