package ejector_test

import (
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	seeds        = 20
	ingressCount = 27
)

// compare adds the ejectors with simple rules to the comparison.
var compare = flag.Bool("compare", false, "measure the ejectors with simple rules too")

// packageEjector adapts an ejector of package ejector, which gets reports but no
// single requests.
type packageEjector struct{ ejector.Ejector }

func (packageEjector) requestEnded(flow.Time, int, bool) {}

// newEjectors returns constructors of the ejectors to compare, by name.
func newEjectors(s scenario) map[string]func() testedEjector {
	maxLeases := int(float64(s.servers) * (1 - s.floor))
	return map[string]func() testedEjector{
		"robust": func() testedEjector {
			e, err := ejector.New(ejector.NameRobust, ejector.Options{Since: flow.Never})
			if err != nil {
				panic(err)
			}
			var names []string
			for i := range s.servers {
				names = append(names, strconv.Itoa(i))
			}
			e.SetServers(0, names, s.floor)
			return packageEjector{e}
		},
		"threshold": func() testedEjector {
			return &thresholdEjector{leases{until: map[string]flow.Time{}, maxLeases: maxLeases}}
		},
		"consecutive": func() testedEjector {
			return &consecutiveEjector{leases{until: map[string]flow.Time{}, maxLeases: maxLeases}, map[string]int{}}
		},
	}
}

// loadBalanced returns a scenario of about the size of the region ge-east, whose
// ingresses choose the servers by their views. The fault ends at faultEnd, or never
// for 0.
func loadBalanced(servers int, rate float64, faultEnd flow.Time, conditionAt func(int, flow.Time) condition) scenario {
	duration := flow.Time(60_000)
	if faultEnd > 0 {
		duration = faultEnd + 40_000
	}
	return scenario{
		servers: servers, rate: rate, floor: 0.5, duration: duration, faultEnd: faultEnd, ingresses: ingressCount,
		conditionAt: func(server int, now flow.Time) condition {
			if faultEnd > 0 && now >= faultEnd {
				return healthy
			}
			return conditionAt(server, now)
		},
	}
}

// faulty gives the first n servers a bad condition from faultStart on.
func faulty(n int, bad condition) func(int, flow.Time) condition {
	bad.faulty = true
	return func(server int, now flow.Time) condition {
		if server < n && now >= faultStart {
			return bad
		}
		return healthy
	}
}

// all gives all servers a condition from faultStart on.
func all(state condition) func(int, flow.Time) condition {
	return func(_ int, now flow.Time) condition {
		if now >= faultStart {
			return state
		}
		return healthy
	}
}

// flapping makes the first server slow for three of every six seconds.
func flapping(server int, now flow.Time) condition {
	if server > 0 {
		return healthy
	}
	state := condition{slowdown: 1, failureShare: normalFailureShare, expensiveShare: normalExpensiveShare, faulty: true}
	if now >= faultStart && now%6000 < 3000 {
		state.slowdown = 5
	}
	return state
}

// expensive gives the first server a larger share of expensive requests.
func expensive(share float64) func(int, flow.Time) condition {
	return func(server int, _ flow.Time) condition {
		state := healthy
		if server == 0 {
			state.expensiveShare = share
		}
		return state
	}
}

// pausing makes each server stall for 1.5 s once a minute.
func pausing(server int, now flow.Time) condition {
	state := healthy
	if (now+flow.Time(server)*7000)%60_000 < 1500 {
		state.slowdown = 10
	}
	return state
}

// TestMeasureEjectors logs the detection times and false ejections of each ejector,
// and checks the bounds of robust.
func TestMeasureEjectors(t *testing.T) {
	const minute = flow.Time(60_000)
	const faultEnd = flow.Time(60_000)
	slow := condition{slowdown: 5, failureShare: normalFailureShare, expensiveShare: normalExpensiveShare}
	failing := condition{slowdown: 1, failureShare: 0.3, expensiveShare: normalExpensiveShare}
	failingHalf := condition{slowdown: 1, failureShare: 0.5, expensiveShare: normalExpensiveShare}
	cases := map[string]struct {
		scenario
		minFound     int           // faulty servers that robust must find over all seeds
		maxDetection time.Duration // longest detection allowed
		maxFalse     int           // false ejections allowed to robust over all seeds
		maxReturn    time.Duration // longest median time from the end of the fault to the end of the ejection
	}{
		"healthy, 6 servers, 40/s":   {scenario: scenario{servers: 6, rate: 40, floor: 0.5, duration: 3 * minute, conditionAt: all(healthy)}},
		"healthy, 8 servers, 100/s":  {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: 3 * minute, conditionAt: all(healthy)}},
		"healthy, 12 servers, 300/s": {scenario: scenario{servers: 12, rate: 300, floor: 0.5, duration: 3 * minute, conditionAt: all(healthy)}},
		"all fail 5%, 8, 100/s":      {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: 3 * minute, conditionAt: all(condition{slowdown: 1, failureShare: 0.05, expensiveShare: normalExpensiveShare})}},
		"all slow together, 8, 100/s": {
			scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: all(slow)},
		},
		"all fail 30% together, 8, 100/s":            {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: all(failing)}},
		"each pauses 1.5 s a minute, 8, 100/s":       {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: 3 * minute, conditionAt: pausing}},
		"one with expensive requests, 20%, 8, 100/s": {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: 3 * minute, conditionAt: expensive(0.2)}},
		"one with expensive requests, 35%, 8, 100/s": {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: 3 * minute, conditionAt: expensive(0.35)}},
		"healthy, few requests, 12, 12/s":            {scenario: scenario{servers: 12, rate: 12, floor: 0.5, duration: 9 * minute, conditionAt: all(healthy)}},
		"one 2x slow, 8, 100/s":                      {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: 3 * minute, conditionAt: faulty(1, condition{slowdown: 2, failureShare: normalFailureShare, expensiveShare: normalExpensiveShare})}},
		"one 5x slow, 6, 40/s":                       {scenario: scenario{servers: 6, rate: 40, floor: 0.5, duration: minute, conditionAt: faulty(1, slow)}, minFound: seeds, maxDetection: 8 * time.Second},
		"one 5x slow, 8, 100/s":                      {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: faulty(1, slow)}, minFound: seeds, maxDetection: 4 * time.Second},
		"one 5x slow, 12, 300/s":                     {scenario: scenario{servers: 12, rate: 300, floor: 0.5, duration: minute, conditionAt: faulty(1, slow)}, minFound: seeds, maxDetection: 4 * time.Second},
		"one fails 30%, 6, 40/s":                     {scenario: scenario{servers: 6, rate: 40, floor: 0.5, duration: minute, conditionAt: faulty(1, failing)}, minFound: seeds, maxDetection: 30 * time.Second},
		"one fails 30%, 8, 100/s":                    {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: faulty(1, failing)}, minFound: seeds, maxDetection: 20 * time.Second},
		"one fails 30%, 12, 300/s":                   {scenario: scenario{servers: 12, rate: 300, floor: 0.5, duration: minute, conditionAt: faulty(1, failing)}, minFound: seeds, maxDetection: 10 * time.Second},
		"one flaps 3 s/3 s, 8, 100/s":                {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: flapping}, minFound: seeds, maxDetection: 30 * time.Second},
		"two of 8 slow, 100/s":                       {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: faulty(2, slow)}, minFound: 2 * seeds, maxDetection: 6 * time.Second},
		"few requests, one 5x slow, 12, 12/s":        {scenario: scenario{servers: 12, rate: 12, floor: 0.5, duration: minute, conditionAt: faulty(1, slow)}, minFound: seeds, maxDetection: 40 * time.Second},
		"five of 8 slow, 100/s":                      {scenario: scenario{servers: 8, rate: 100, floor: 0.5, duration: minute, conditionAt: faulty(5, slow)}},

		"load-balanced, healthy, 8, 20/s":                          {scenario: loadBalanced(8, 20, 0, all(healthy))},
		"load-balanced, healthy, 11, 60/s":                         {scenario: loadBalanced(11, 60, 0, all(healthy))},
		"load-balanced, all slow together, 11, 40/s":               {scenario: loadBalanced(11, 40, 0, all(slow))},
		"load-balanced, all fail 30%, 11, 40/s":                    {scenario: loadBalanced(11, 40, 0, all(failing))},
		"load-balanced, one with expensive requests, 20%, 8, 40/s": {scenario: loadBalanced(8, 40, 0, expensive(0.2))},
		"load-balanced, one with expensive requests, 35%, 8, 40/s": {scenario: loadBalanced(8, 40, 0, expensive(0.35))},
		"load-balanced, each pauses, 8, 40/s":                      {scenario: loadBalanced(8, 40, 0, pausing)},
		"load-balanced, slow, 8, 20/s":                             {scenario: loadBalanced(8, 20, faultEnd, faulty(1, slow)), minFound: seeds, maxDetection: 20 * time.Second, maxReturn: 7 * time.Second},
		"load-balanced, slow, 11, 40/s":                            {scenario: loadBalanced(11, 40, faultEnd, faulty(1, slow)), minFound: seeds, maxDetection: 15 * time.Second, maxReturn: 5 * time.Second},
		"load-balanced, slow, 8, 60/s":                             {scenario: loadBalanced(8, 60, faultEnd, faulty(1, slow)), minFound: seeds, maxDetection: 8 * time.Second, maxReturn: 4 * time.Second},
		"load-balanced, fails 30%, 8, 20/s":                        {scenario: loadBalanced(8, 20, faultEnd, faulty(1, failing)), minFound: seeds, maxDetection: 30 * time.Second, maxReturn: 10 * time.Second},
		"load-balanced, fails 30%, 11, 40/s":                       {scenario: loadBalanced(11, 40, faultEnd, faulty(1, failing)), minFound: seeds, maxDetection: 20 * time.Second, maxReturn: 8 * time.Second},
		"load-balanced, fails 30%, 8, 60/s":                        {scenario: loadBalanced(8, 60, faultEnd, faulty(1, failing)), minFound: seeds, maxDetection: 12 * time.Second, maxReturn: 7 * time.Second},
		"load-balanced, fails 50%, 11, 40/s":                       {scenario: loadBalanced(11, 40, faultEnd, faulty(1, failingHalf)), minFound: seeds, maxDetection: 12 * time.Second, maxReturn: 6 * time.Second},
		"load-balanced, 2x slow, 8, 60/s":                          {scenario: loadBalanced(8, 60, faultEnd, faulty(1, condition{slowdown: 2, failureShare: normalFailureShare, expensiveShare: normalExpensiveShare}))},
		"load-balanced, flaps, 8, 60/s":                            {scenario: loadBalanced(8, 60, faultEnd, flapping), minFound: 3 * seeds / 4, maxDetection: 35 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for ejectorName, build := range newEjectors(tc.scenario) {
				if ejectorName != "robust" && !*compare {
					continue
				}
				var sum result
				for seed := range uint64(seeds) {
					r := run(tc.scenario, build(), seed)
					sum.detectionTimes = append(sum.detectionTimes, r.detectionTimes...)
					sum.faultyServers += r.faultyServers
					sum.falseEjections += r.falseEjections
					sum.belowFloor += r.belowFloor
					sum.failed += r.failed
					sum.requests += r.requests
					sum.returnTimes = append(sum.returnTimes, r.returnTimes...)
					sum.onFaulty += r.onFaulty
					sum.endedEarly += r.endedEarly
					sum.refused += r.refused
					sum.trials += r.trials
					sum.ejectedTime += r.ejectedTime
				}
				median, worst := middleAndLast(sum.detectionTimes)
				medianReturn, longestReturn := middleAndLast(sum.returnTimes)
				hours := float64(tc.duration) * seeds / 3.6e6
				t.Logf("%-36s %-11s found %2d/%2d median %6v worst %6v, false %4d (%.1f/h), below floor %d ms, failed %.2f%%, returned median %v worst %v, ended early %d, on faulty %d, refused %.2f%%, while ejected %.2f/s trials and %.2f/s refused",
					name, ejectorName, len(sum.detectionTimes), sum.faultyServers, median.Round(100*time.Millisecond), worst.Round(100*time.Millisecond),
					sum.falseEjections, float64(sum.falseEjections)/hours, sum.belowFloor, 100*float64(sum.failed)/float64(sum.requests),
					medianReturn.Round(100*time.Millisecond), longestReturn.Round(100*time.Millisecond), sum.endedEarly, sum.onFaulty/seeds,
					100*float64(sum.refused)/float64(sum.requests),
					perSecond(sum.trials, sum.ejectedTime), perSecond(sum.refused, sum.ejectedTime))
				if ejectorName != "robust" {
					continue
				}
				is := is.New(t)
				is.Equal(sum.belowFloor, 0)
				is.True(sum.falseEjections <= tc.maxFalse)
				is.True(len(sum.detectionTimes) >= tc.minFound)
				is.True(tc.minFound == 0 || worst <= tc.maxDetection)
				is.True(tc.maxReturn == 0 || medianReturn <= tc.maxReturn && sum.endedEarly <= seeds/2)
			}
		})
	}
}

// perSecond returns the rate of events in a time in milliseconds, or 0 for none.
func perSecond(events, milliseconds int) float64 {
	return 1000 * float64(events) / float64(max(1, milliseconds))
}

// middleAndLast returns the median and the longest time, or 0 of none.
func middleAndLast(times []time.Duration) (middle, last time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

func percentile(values []float64, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return time.Duration(values[min(len(values)-1, int(share*float64(len(values))))] * float64(time.Millisecond))
}
