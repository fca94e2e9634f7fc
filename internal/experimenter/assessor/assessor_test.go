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
		"burst at once":                  {perSecond: 1, burst: 3, arrivals: make([]time.Duration, 5), admitted: 3},
		"rate after the burst":           {perSecond: 10, burst: 1, arrivals: []time.Duration{0, 99 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}, admitted: 3},
		"never more than the burst":      {perSecond: 10, burst: 2, arrivals: []time.Duration{time.Hour, time.Hour, time.Hour}, admitted: 2},
		"rate before the origin of time": {perSecond: 10, burst: 1, arrivals: []time.Duration{-time.Second, -900 * time.Millisecond, -850 * time.Millisecond}, admitted: 2},
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

// requests returns evenly spaced requests of one customer, of which those for
// which refused returns true are refused for the rate and the others succeed.
func requests(customer string, interval time.Duration, count int, refused func(i int) bool) []assessor.Request {
	made := make([]assessor.Request, count)
	for i := range made {
		refusedForRate := refused(i)
		made[i] = assessor.Request{Customer: customer, At: time.Duration(i) * interval, RefusedForRate: refusedForRate, Success: !refusedForRate, Latency: time.Millisecond}
	}
	return made
}

func TestRefusedRequestsCountAsFailuresOnlyWithinTheRate(t *testing.T) {
	rates := map[string]assessor.Rate{"shop": {PerSecond: 10, Burst: 1}}
	cases := map[string]struct {
		requests     []assessor.Request
		aboveRate    bool
		refused      int // within the rate
		excused      int
		successShare float64
		allowedShare float64
	}{
		"within the rate, one refused": {
			requests: requests("shop", 100*time.Millisecond, 100, func(i int) bool { return i == 50 }),
			refused:  1, successShare: 0.99, allowedShare: 0.99,
		},
		"five times the rate, one in 5 succeeds": {
			requests:  requests("shop", 20*time.Millisecond, 500, func(i int) bool { return i%5 != 2 }),
			aboveRate: true, excused: 400, successShare: 1, allowedShare: 1,
		},
		"five times the rate, one in 10 succeeds": {
			requests:  requests("shop", 20*time.Millisecond, 500, func(i int) bool { return i%10 != 0 }),
			aboveRate: true, excused: 450, successShare: 1, allowedShare: 0.5,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			aboveRate := assessor.MarkWithinRate(tc.requests, rates)
			got := assessor.Customers(assessor.Measured(tc.requests), aboveRate)[0]
			is.Equal(got.AboveRate, tc.aboveRate)
			is.Equal(got.RefusedWithinRate, tc.refused)
			is.Equal(got.Excused, tc.excused)
			is.Equal(got.SuccessShare, tc.successShare)
			is.Equal(got.AllowedShare, tc.allowedShare)
		})
	}
}

func TestWorstOfComparesWithMedian(t *testing.T) {
	is := is.New(t)
	worst := assessor.WorstOf([]assessor.Customer{
		{Name: "a", SuccessShare: 1, Latency: assessor.Quantiles{P99Millis: 30}},
		{Name: "b", SuccessShare: 0.9, Latency: assessor.Quantiles{P99Millis: 10}},
		{Name: "c", SuccessShare: 0.99, Latency: assessor.Quantiles{P99Millis: 20}},
	})
	is.Equal(worst, assessor.Worst{
		ShareCustomer: "b", Share: 0.9, MedianShare: 0.99,
		P99Customer: "a", P99Millis: 30, MedianP99Millis: 20,
	})
}

func TestWindowsCountBySecond(t *testing.T) {
	is := is.New(t)
	windows := assessor.Windows([]assessor.Request{
		{At: -time.Second},                                  // before the measured time
		{At: 0, Success: true},                              //
		{At: 999 * time.Millisecond, Success: true},         // still in the first second
		{At: time.Second},                                   // a failure
		{At: 1500 * time.Millisecond, Success: true},        //
		{At: 1600 * time.Millisecond, Excused: true},        // excused, so not counted
		{At: 3500 * time.Millisecond, RefusedForRate: true}, // within the rate, so counted
		{At: 9 * time.Second, Success: false, Reason: ""},   // after the end
	}, 4*time.Second)
	is.Equal(len(windows), 4)
	is.Equal(windows[0].Share(), 1.0)
	is.Equal(windows[1].Share(), 0.5)
	is.Equal(windows[2].Share(), 1.0) // no requests
	worst, second := assessor.WorstWindow(windows)
	is.Equal(worst, 0.0)
	is.Equal(second, 3)
	is.Equal(assessor.SecondsBelowTarget(windows), 2)
}
