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

// permitLifetime is how long before its start at a backend server a request may
// have been admitted: the permit of a forwarded request ends then.
const permitLifetime = time.Second

// span is the time in which a request was admitted, in nanoseconds of one
// clock. The journal knows only when it started, which comes after; it was not
// admitted before it was sent, nor longer ago than its permit lives.
type span struct {
	earliest, latest int64
}

func spansOf(entries []server.Entry, records []caller.Record) []span {
	sent := map[string]int64{}
	for _, r := range records {
		sent[r.CallerRequest] = r.Intended
	}
	spans := make([]span, 0, len(entries))
	for _, entry := range entries {
		spans = append(spans, span{
			earliest: max(sent[entry.CallerRequest], entry.Start-permitLifetime.Nanoseconds()),
			latest:   entry.Start,
		})
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.latest, b.latest) })
	return spans
}

// worstExcess returns by how many requests the worst window exceeds a rate. A
// request counts in a window only when it was surely admitted within it.
func worstExcess(spans []span, rate flow.Rate) float64 {
	worst := 0.0
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if s.earliest < first.earliest {
				continue
			}
			count++
			window := time.Duration(s.latest - first.earliest).Seconds()
			worst = max(worst, float64(count)-float64(rate.Burst)-rate.PerSecond*max(window, 0))
		}
	}
	return worst
}

// checkRates holds what backend servers ran against the rates of all customers.
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
		entries := entriesOf(journal, c.Name)
		if excess := worstExcess(spansOf(entries, records), rate); excess > tolerance {
			t.Errorf("%s: a window holds %.3f requests more than its burst and rate allow", c.Name, excess)
		}
		ran := float64(len(entries))
		length := time.Duration(entries[len(entries)-1].Start - entries[0].Start).Seconds()
		figure(t, "%s ran %.0f requests, of %.0f allowed in %.1f s", c.Name, ran, float64(c.Burst)+c.PerSecond*length, length)
		rate.Burst += int(rate.PerSecond * permitLifetime.Seconds())
		extended = append(extended, rate)
	}
	for _, violation := range checker.CheckRate(admissions, extended) {
		t.Error(violation)
	}
	for _, violation := range checker.CheckRate(admissions, exact) {
		figure(t, "by the times of starts alone: %v", violation)
	}
}

// TestRateOverAllHosts shows that no customer gets more than its rate and burst
// over all hosts, however it spreads its requests, and whatever happens to the
// owners of its rate.
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
	const times = 4.0 // the rate that is sent, times the rate that is allowed
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := planWith(5)
			options := caller.Options{Duration: 16 * time.Second, Failover: true}
			for customer, choice := range choices {
				plan.Customers = append(plan.Customers, launcher.CustomerPlan{Name: customer, PerSecond: tc.perSecond, Burst: tc.burst})
				options.Customers = append(options.Customers, traffic(customer, times*tc.perSecond, choice))
			}
			fleet := startFleet(t, plan, true)
			options.Ingresses = directAddressesOf(fleet.Daemons...)
			load := startLoad(t, options)
			disturbOwners(t, fleet)
			records := waitLoad(t, load)
			checkRates(t, fleet, records)
			checkTruth(t, fleet, records)
			figure(t, "requests: %s", tally(records))
		})
	}
}

// directAddressesOf returns the addresses for callers of some daemons without
// the network in between, so that a killed daemon refuses connections.
func directAddressesOf(daemons ...*launcher.Daemon) []string {
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, d.Addresses.Caller)
	}
	return addresses
}

// disturbOwners lets one owner of rates after the other fail for a while, each
// in another way.
func disturbOwners(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	is := is.New(t)
	left := slices.Clone(fleet.Daemons)
	next := func() *launcher.Daemon {
		owner := busiestOwner(t, left)
		left = slices.DeleteFunc(left, func(d *launcher.Daemon) bool { return d == owner })
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

// busiestOwner returns the daemon that owns most buckets.
func busiestOwner(t *testing.T, daemons []*launcher.Daemon) *launcher.Daemon {
	t.Helper()
	best, most := daemons[0], -1
	for _, d := range daemons {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		status, err := d.Status(ctx)
		cancel()
		if err == nil && status.Owned.Buckets > most {
			best, most = d, status.Owned.Buckets
		}
	}
	return best
}

// -----------------------------------------------------------------------------

// refusedInsideRate counts the records that were refused for want of a token.
func refusedInsideRate(records []caller.Record) int {
	count := 0
	for _, r := range records {
		if r.Result == caller.NotRun && (r.Reason == flow.ReasonOverRate || r.Reason == flow.ReasonRateUnavailable) {
			count++
		}
	}
	return count
}

// TestRefusalsInsideRate shows that customers within their rates get almost no
// refusals while nothing fails, and counts those around a planned restart and a
// kill of the host that owns most.
func TestRefusalsInsideRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWith(4)
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
	soundFrom := time.Now()
	time.Sleep(3 * time.Second)
	restartFrom := time.Now()
	restarted := busiestOwner(t, fleet.Daemons)
	is.NoErr(restarted.Stop())
	is.NoErr(restarted.Start(t.Context()))
	awaitServedWithin(t, fleet, restarted, "counter", startTimeout)
	sleepUntil(restartFrom.Add(6 * time.Second))
	killFrom := time.Now()
	killed := busiestOwner(t, others(fleet, restarted))
	killed.Kill()
	time.Sleep(time.Second)
	is.NoErr(killed.Start(t.Context()))
	records := waitLoad(t, load)
	end := time.Now()

	sound := startedBetween(records, soundFrom, restartFrom)
	const almostNone = 0.005 // of the requests
	is.True(float64(refusedInsideRate(sound)) <= almostNone*float64(len(sound)))
	checkResults(t, "while nothing fails", sound, caller.Answered, caller.NotRun)
	checkTruth(t, fleet, records)
	checkRates(t, fleet, records)
	spans := map[string][]caller.Record{
		"while nothing failed":        sound,
		"around a planned restart":    startedBetween(records, restartFrom, killFrom),
		"around a kill and a restart": startedBetween(records, killFrom, end),
	}
	for name, span := range spans {
		for _, customer := range plan.Customers {
			own := slices.DeleteFunc(slices.Clone(span), func(r caller.Record) bool { return r.Customer != customer.Name })
			figure(t, "%s, %s: %d of %d requests refused inside the rate; %s", name, customer.Name, refusedInsideRate(own), len(own), tally(own))
		}
	}
	is.True(strings.Contains(tally(sound), "answered"))
}
