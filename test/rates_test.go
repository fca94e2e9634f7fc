package test

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/checker"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// permitLifetime is the longest time between the admission of a request and its start
// at a backend server: then the permit of a forwarded request expires.
const permitLifetime = time.Second

// admissionSpan is the interval in which a request was admitted, in nanoseconds of Unix
// time. The journals hold only the start at the backend server, which is later. The
// request was not admitted before it was sent, nor more than permitLifetime before its
// start.
type admissionSpan struct {
	earliest, latest int64
}

// admissionSpans returns the intervals of journal entries, ordered by their ends.
func admissionSpans(entries []server.Entry, records []caller.Record) []admissionSpan {
	sent := map[string]int64{}
	for _, r := range records {
		sent[r.CallerRequest] = r.Intended
	}
	spans := make([]admissionSpan, 0, len(entries))
	for _, entry := range entries {
		spans = append(spans, admissionSpan{
			earliest: max(sent[entry.CallerRequest], entry.Start-permitLifetime.Nanoseconds()),
			latest:   entry.Start,
		})
	}
	slices.SortFunc(spans, func(a, b admissionSpan) int { return cmp.Compare(a.latest, b.latest) })
	return spans
}

// largestExcess returns the largest number of requests by which any time window exceeds a
// rate and its burst. A request counts in a window only if it was certainly admitted
// within it.
func largestExcess(spans []admissionSpan, rate flow.Rate) float64 {
	largest := 0.0
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if s.earliest < first.earliest {
				continue
			}
			count++
			window := time.Duration(s.latest - first.earliest).Seconds()
			largest = max(largest, float64(count)-float64(rate.Burst)-rate.PerSecond*max(window, 0))
		}
	}
	return largest
}

// checkRates compares the journals of backend servers with the rates of all customers.
func checkRates(t *testing.T, fleet *launcher.Fleet, records []caller.Record) {
	t.Helper()
	const tolerance = 1e-6 // requests
	journal := fleet.Journal()
	var admissions []checker.Admission
	for _, entry := range journal {
		admissions = append(admissions, checker.Admission{Customer: entry.Customer, AtNanos: entry.Start})
	}
	var exact, extended []flow.Rate
	for _, c := range fleet.Plan.Customers {
		rate := flow.Rate{Customer: c.Name, PerSecond: c.PerSecond, Burst: c.Burst}
		exact = append(exact, rate)
		entries := entriesOfCustomers(journal, c.Name)
		if excess := largestExcess(admissionSpans(entries, records), rate); excess > tolerance {
			t.Errorf("%s: a time window holds %.3f requests more than burst and rate allow", c.Name, excess)
		}
		ran := float64(len(entries))
		duration := time.Duration(entries[len(entries)-1].Start - entries[0].Start).Seconds()
		logFigure(t, "%s ran %.0f requests, of %.0f allowed in %.1f s", c.Name, ran, float64(c.Burst)+c.PerSecond*duration, duration)
		rate.Burst += int(rate.PerSecond * permitLifetime.Seconds())
		extended = append(extended, rate)
	}
	for _, violation := range checker.CheckRate(admissions, extended) {
		t.Error(violation)
	}
	for _, violation := range checker.CheckRate(admissions, exact) {
		logFigure(t, "by start times alone: %v", violation)
	}
}

// No customer gets more than its rate and burst over all hosts, however it spreads its
// requests over them, and whatever faults the owners of its rate have.
func TestRateOverAllHosts(t *testing.T) {
	t.Parallel()
	choices := map[string]caller.Choice{"sticky": caller.Sticky, "spread": caller.Spread, "wandering": caller.Wandering}
	cases := map[string]struct {
		perSecond float64
		burst     int
	}{
		"in four shares": {perSecond: 25, burst: 40},
		"in one share":   {perSecond: 15, burst: 6},
	}
	const overload = 4.0 // sent rate as a multiple of the allowed rate
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := planWithCustomers(5)
			options := caller.Options{Duration: 16 * time.Second, Failover: true}
			for customer, choice := range choices {
				plan.Customers = append(plan.Customers, launcher.CustomerPlan{Name: customer, PerSecond: tc.perSecond, Burst: tc.burst})
				options.Customers = append(options.Customers, traffic(customer, overload*tc.perSecond, choice))
			}
			fleet := startFleet(t, plan, true)
			options.Ingresses = directCallerAddresses(fleet.Daemons...)
			load := startLoad(t, options)
			disturbOwners(t, fleet)
			records := waitLoad(t, load)
			checkRates(t, fleet, records)
			checkAgainstJournals(t, fleet, records)
			logFigure(t, "requests: %s", countResults(records))
		})
	}
}

// directCallerAddresses returns the addresses of daemons for callers without the
// interrupter in between, so that connections to a killed daemon are refused.
func directCallerAddresses(daemons ...*launcher.Daemon) []string {
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, d.Addresses.Caller)
	}
	return addresses
}

// disturbOwners kills, pauses and cuts off one owner of rates after the other, and makes
// one leave, each for a while.
func disturbOwners(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	is := is.New(t)
	remaining := slices.Clone(fleet.Daemons)
	next := func() *launcher.Daemon {
		owner := busiestOwner(t, remaining)
		remaining = slices.DeleteFunc(remaining, func(d *launcher.Daemon) bool { return d == owner })
		return owner
	}
	time.Sleep(time.Second)
	killed := next()
	killed.Kill()
	time.Sleep(time.Second)
	is.NoErr(killed.Start(t.Context()))
	time.Sleep(time.Second)

	paused := next()
	paused.Pause()
	time.Sleep(3500 * time.Millisecond)
	paused.Resume()

	cut := next()
	is.NoErr(fleet.Partition(launcher.Outward, cut))
	time.Sleep(3500 * time.Millisecond)
	is.NoErr(fleet.HealPartition(cut))

	leaving := next()
	fleet.Platform.Publish(fleet.HostRecord(leaving, flow.MemberLeaving))
	time.Sleep(2 * time.Second)
	fleet.Platform.Publish(fleet.HostRecord(leaving, flow.MemberLive))
}

// busiestOwner returns the daemon that owns the most token buckets.
func busiestOwner(t *testing.T, daemons []*launcher.Daemon) *launcher.Daemon {
	t.Helper()
	busiest, mostBuckets := daemons[0], -1
	for _, d := range daemons {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		status, err := d.Status(ctx)
		cancel()
		if err == nil && status.Owned.Buckets > mostBuckets {
			busiest, mostBuckets = d, status.Owned.Buckets
		}
	}
	return busiest
}

// refusedWithinRate counts the requests that were refused for lack of a rate token.
func refusedWithinRate(records []caller.Record) int {
	count := 0
	for _, r := range records {
		if r.Result == caller.NotRun && (r.Reason == flow.ReasonOverRate || r.Reason == flow.ReasonRateUnavailable) {
			count++
		}
	}
	return count
}

// Customers within their rates get almost no refusals while there are no faults. The test
// logs the refusals around a planned restart and a kill of the host that owns the most
// buckets.
func TestAlmostNoRefusalsWithinRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWithCustomers(4)
	plan.Customers = []launcher.CustomerPlan{
		{Name: "counter", PerSecond: 100, Burst: 100},
		{Name: "small", PerSecond: 20, Burst: 10},
	}
	plan.Settings = map[string]any{"stop-grace": "3s"}
	fleet := startFleet(t, plan, false)
	load := startLoad(t, caller.Options{
		Ingresses: fleet.Ingresses(),
		Customers: []caller.Customer{traffic("counter", 50, caller.Spread), traffic("small", 6, caller.Wandering)},
		Duration:  16 * time.Second,
		Failover:  true,
	})
	startedAt := time.Now()
	time.Sleep(3 * time.Second)
	restartAt := time.Now()
	restarted := busiestOwner(t, fleet.Daemons)
	is.NoErr(restarted.Stop())
	is.NoErr(restarted.Start(t.Context()))
	awaitServedWithin(t, fleet, restarted, "counter", startTimeout)
	sleepUntil(restartAt.Add(6 * time.Second))
	killAt := time.Now()
	killed := busiestOwner(t, otherDaemons(fleet, restarted))
	killed.Kill()
	time.Sleep(time.Second)
	is.NoErr(killed.Start(t.Context()))
	records := waitLoad(t, load)
	end := time.Now()

	withoutFaults := startedBetween(records, startedAt, restartAt)
	const almostNone = 0.005 // of the requests
	is.True(float64(refusedWithinRate(withoutFaults)) <= almostNone*float64(len(withoutFaults)))
	checkResults(t, "without faults", withoutFaults, caller.Answered, caller.NotRun)
	checkAgainstJournals(t, fleet, records)
	checkRates(t, fleet, records)
	periods := map[string][]caller.Record{
		"without faults":              withoutFaults,
		"around a planned restart":    startedBetween(records, restartAt, killAt),
		"around a kill and a restart": startedBetween(records, killAt, end),
	}
	for name, period := range periods {
		for _, customer := range plan.Customers {
			own := slices.DeleteFunc(slices.Clone(period), func(r caller.Record) bool { return r.Customer != customer.Name })
			logFigure(t, "%s, %s: %d of %d requests refused within the rate; %s", name, customer.Name, refusedWithinRate(own), len(own), countResults(own))
		}
	}
	is.True(strings.Contains(countResults(withoutFaults), "answered"))
}
