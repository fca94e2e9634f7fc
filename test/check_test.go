package test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Time limits that the product guarantees.
const (
	// maxApplyTime limits the time until every daemon applies a configuration.
	maxApplyTime = 8 * time.Second
	// maxStopTime limits the time until no new request runs with a withdrawn key,
	// in a zone taken out of service, on a leaving backend server, or on a host that
	// is cut off.
	maxStopTime = 5 * time.Second
)

// logFigure logs a measured value.
func logFigure(t *testing.T, format string, values ...any) {
	t.Helper()
	t.Logf("figure: "+format, values...)
}

// trafficSeed is the seed of all traffic.
const trafficSeed = 1

// traffic returns a customer whose requests are half reads and half writes.
func traffic(name string, perSecond float64, choice caller.Choice) caller.Customer {
	return caller.Customer{
		Name:      name,
		Key:       launcher.KeyOf(name),
		Schedule:  caller.Schedule{Rate: perSecond},
		Choice:    choice,
		ReadPath:  "/ledger/wheels",
		WritePath: "/ledger/swaps",
		Writes:    0.5,
	}
}

// startLoad starts traffic, which ends with the test at the latest.
func startLoad(t *testing.T, options caller.Options) *launcher.Load {
	t.Helper()
	options.Seed = trafficSeed
	load, err := launcher.StartLoad(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	return load
}

// waitLoad waits for the end of the traffic and returns its records.
func waitLoad(t *testing.T, load *launcher.Load) []caller.Record {
	t.Helper()
	if _, err := load.Wait(); err != nil {
		t.Fatal(err)
	}
	return load.Records()
}

// stopLoad stops the traffic and returns its records without those of requests that
// the stop aborted.
func stopLoad(t *testing.T, load *launcher.Load) []caller.Record {
	t.Helper()
	if _, err := load.Stop(); err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(load.Records(), func(r caller.Record) bool { return r.Result == caller.Abandoned })
}

// stallTick is the interval at which watchStalls checks for stalls.
const stallTick = 10 * time.Millisecond

// watchStalls measures the longest time for which the test process was not
// scheduled, and logs it when the test fails. Callers, backend servers and the
// network run in this process and stall with it.
func watchStalls(t *testing.T) {
	t.Helper()
	done, longestStall := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, last := time.Duration(0), time.Now()
		for {
			select {
			case <-done:
				longestStall <- longest
				return
			case <-time.After(stallTick):
				longest = max(longest, time.Since(last)-stallTick)
				last = time.Now()
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		if longest := <-longestStall; t.Failed() {
			t.Logf("the longest stall of the test process was %v", longest)
		}
	})
}

// startedBetween returns the records of requests with an intended start in [from, to).
func startedBetween(records []caller.Record, from, to time.Time) []caller.Record {
	var found []caller.Record
	for _, r := range records {
		if r.Intended >= from.UnixNano() && r.Intended < to.UnixNano() {
			found = append(found, r)
		}
	}
	return found
}

// maxCutAge limits the age of requests that the kill of a host may cut.
const maxCutAge = time.Second

// withoutRequestsCutAt leaves out requests that were in flight at the time of a kill
// and younger than maxCutAge. The kill may have cut them, so their outcome is
// unknown.
func withoutRequestsCutAt(records []caller.Record, killedAt time.Time) []caller.Record {
	return slices.DeleteFunc(records, func(r caller.Record) bool {
		began := time.Unix(0, r.Intended)
		return began.Add(r.Latency).After(killedAt) && killedAt.Sub(began) < maxCutAge
	})
}

// countResults counts records by result and reason, for example "answered=9 not-run/no-lease=1".
func countResults(records []caller.Record) string {
	counts := map[string]int{}
	for _, r := range records {
		name := string(r.Result)
		if r.Reason != "" {
			name += "/" + string(r.Reason)
		}
		counts[name]++
	}
	words := []string{}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(words, " ")
}

// checkResults fails the test for each record whose result is not allowed.
func checkResults(t *testing.T, subject string, records []caller.Record, allowed ...caller.Result) {
	t.Helper()
	const maxReported = 5
	wrong := 0
	for _, r := range records {
		if slices.Contains(allowed, r.Result) {
			continue
		}
		if wrong++; wrong <= maxReported {
			t.Errorf("%s: %s", subject, describeRecord(r))
		}
	}
	if wrong > maxReported {
		t.Errorf("%s: %d more of %d; results: %s", subject, wrong-maxReported, len(records), countResults(records))
	}
	if len(records) == 0 {
		t.Errorf("%s: no requests were recorded", subject)
	}
}

// minAnsweredShare is the share of requests that a serving fleet must answer. It may
// refuse the rest as not run.
const minAnsweredShare = 0.9

// checkServed checks that the fleet served the traffic: no request is lost, cut or of
// unknown outcome, and at least minAnsweredShare of them are answered.
func checkServed(t *testing.T, subject string, records []caller.Record) {
	t.Helper()
	checkResults(t, subject, records, caller.Answered, caller.NotRun)
	answered := 0
	for _, r := range records {
		if r.Result == caller.Answered {
			answered++
		}
	}
	if float64(answered) < minAnsweredShare*float64(len(records)) {
		t.Errorf("%s: only %d of %d requests were answered: %s", subject, answered, len(records), countResults(records))
	}
}

func describeRecord(r caller.Record) string {
	return fmt.Sprintf("%s %s at %s to %v %q: %s %d %s %s (reused %v) after %v %s", r.Method, r.CallerRequest,
		time.Unix(0, r.Intended).Format("15:04:05.000"), r.Ingresses, r.Reasons, r.Result, r.Status, r.Reason, r.RequestID, r.Reused, r.Latency, r.Error)
}

// checkAgainstJournals compares the outcomes at callers with the journals of backend
// servers: no response is truncated or belongs to another request, requests reported
// as not run did not run, answered requests ran, and no write ran twice.
func checkAgainstJournals(t *testing.T, fleet *launcher.Fleet, records []caller.Record) {
	t.Helper()
	byRequest := map[string]int{}
	byCaller := map[string]int{}
	for _, entry := range fleet.Journal() {
		byRequest[entry.RequestID]++
		byCaller[entry.CallerRequest]++
	}
	for _, r := range records {
		write := r.Method == "POST"
		switch {
		case r.Result == caller.Short || r.Result == caller.Foreign:
			t.Errorf("wrong response: %s", describeRecord(r))
		case r.Result == caller.NotRun && byRequest[r.RequestID] > 0:
			t.Errorf("reported as not run, but ran: %s", describeRecord(r))
		case write && (r.Result == caller.NotRun || r.Result == caller.Unreachable) && byCaller[r.CallerRequest] > 0:
			t.Errorf("reported as not run, but ran through an earlier ingress: %s", describeRecord(r))
		case write && byCaller[r.CallerRequest] > 1:
			t.Errorf("a write ran %d times: %s", byCaller[r.CallerRequest], describeRecord(r))
		case r.Result == caller.Answered && byRequest[r.RequestID] == 0:
			t.Errorf("answered, but did not run: %s", describeRecord(r))
		}
	}
}

// checkNoStarts fails the test for each journal entry that started in (from, to].
func checkNoStarts(t *testing.T, subject string, entries []server.Entry, from, to time.Time) {
	t.Helper()
	const maxReported = 5
	wrong := 0
	for _, entry := range entries {
		if entry.Start <= from.UnixNano() || entry.Start > to.UnixNano() {
			continue
		}
		if wrong++; wrong <= maxReported {
			t.Errorf("%s: %s ran %s of %s %v after the time limit for the last start", subject, entry.Server, entry.CallerRequest, entry.Customer,
				time.Duration(entry.Start-from.UnixNano()))
		}
	}
	if wrong > maxReported {
		t.Errorf("%s: %d more", subject, wrong-maxReported)
	}
}

// entriesOfCustomers returns the journal entries of the given customers.
func entriesOfCustomers(entries []server.Entry, customers ...string) []server.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e server.Entry) bool { return !slices.Contains(customers, e.Customer) })
}

// entriesOnHosts returns the journal entries of the backend servers on the given hosts.
func entriesOnHosts(fleet *launcher.Fleet, hosts ...*launcher.Daemon) []server.Entry {
	var entries []server.Entry
	for _, d := range hosts {
		for _, s := range fleet.ServersOf(d.Host) {
			entries = append(entries, s.Journal()...)
		}
	}
	return entries
}

// lastStart returns the time between from and the start of the last entry that started
// by end, or 0 if there is none.
func lastStart(entries []server.Entry, from, end time.Time) time.Duration {
	last := time.Duration(0)
	for _, entry := range entries {
		if entry.Start <= end.UnixNano() {
			last = max(last, time.Duration(entry.Start-from.UnixNano()))
		}
	}
	return last
}

// callerAddresses returns the addresses of daemons for callers.
func callerAddresses(fleet *launcher.Fleet, daemons ...*launcher.Daemon) []string {
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, fleet.CallerAddress(d))
	}
	return addresses
}

// otherDaemons returns the daemons of the fleet except the given ones.
func otherDaemons(fleet *launcher.Fleet, excluded ...*launcher.Daemon) []*launcher.Daemon {
	return slices.DeleteFunc(slices.Clone(fleet.Daemons), func(d *launcher.Daemon) bool { return slices.Contains(excluded, d) })
}

// planWithCustomers returns a plan with one service, and customers whose rates do not
// limit them.
func planWithCustomers(hosts int, customers ...string) launcher.Plan {
	plan := launcher.SmallPlan(hosts)
	plan.Customers = nil
	for _, name := range customers {
		plan.Customers = append(plan.Customers, launcher.CustomerPlan{Name: name, PerSecond: 2000, Burst: 2000})
	}
	return plan
}

// openRoute is the record of a route that needs no key. Its requests are not rate
// limited, so only a missing lease or the configuration can refuse them.
var openRoute = launcher.Record(flow.KindRoute, "open", 2, map[string]any{
	"service":            "ledger",
	"path-prefix":        "/open",
	"access":             "open",
	"idempotent-methods": []string{"GET", "HEAD"},
	"timeout":            "5s",
})

// publishOpenRoute publishes the open route and waits until every daemon applies it.
func publishOpenRoute(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	awaitInForce(t, fleet, time.Now(), fleet.Platform.Publish(openRoute))
}

// anonymousTraffic returns traffic without a key on the open route.
func anonymousTraffic(perSecond float64, choice caller.Choice) caller.Customer {
	customer := traffic("anyone", perSecond, choice)
	customer.Key, customer.ReadPath, customer.WritePath = "", "/open/wheels", "/open/swaps"
	return customer
}

// refusedWith reports whether a reply says that the request did not run for the given
// reason.
func refusedWith(r reply, reason flow.Reason) bool {
	return r.err == nil && r.header.Get(flow.HeaderOutcome) == string(flow.OutcomeNotRun) &&
		r.header.Get(flow.HeaderReason) == string(reason)
}

// sleepUntil sleeps until the given time.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
