package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// awaitInForce waits until every running daemon has applied a revision and holds
// its lease, and returns the time since the revision was published.
func awaitInForce(t *testing.T, fleet *launcher.Fleet, published time.Time, revision flow.Revision) time.Duration {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), published.Add(maxApplyTime))
	defer cancel()
	var pending sync.WaitGroup
	errs := make([]error, len(fleet.Daemons))
	for i, d := range fleet.Daemons {
		if d.Running() {
			pending.Go(func() { errs[i] = launcher.AwaitApplied(ctx, d, revision) })
		}
	}
	pending.Wait()
	for _, err := range errs {
		if err != nil {
			t.Errorf("revision %d was not in force on a daemon within %v: %v", revision, maxApplyTime, err)
		}
	}
	return time.Since(published)
}

// quantile sorts the times and returns their quantile at the given share.
func quantile(times []time.Duration, share float64) time.Duration {
	slices.Sort(times)
	return times[min(int(share*float64(len(times))), len(times)-1)]
}

// Every daemon applies a published record in time, while few daemons read from the
// platform. The test logs the time until the last daemon has applied a record, and
// the number of calls to the platform.
func TestConfigurationReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWithCustomers(6, "shop")
	plan.Zones = plan.Zones[:1]
	fleet := startFleet(t, plan, false)
	const changes = 12
	before := fleet.Platform.Calls()
	from := time.Now()
	var times []time.Duration
	for i := range changes {
		name := fmt.Sprintf("new-%d", i)
		published := time.Now()
		revision := fleet.Platform.Publish(
			launcher.Record(flow.KindCustomer, name, 1, nil),
			launcher.KeyRecord(name, false),
			launcher.Record(flow.KindRate, name, 1, map[string]any{"customer": name, "per-second": 10, "burst": 10}),
		)
		times = append(times, awaitInForce(t, fleet, published, revision))
	}
	for _, ingress := range fleet.Ingresses() {
		for i := range changes {
			got := send(t, http.MethodGet, ingress, "/ledger/wheels", launcher.KeyOf(fmt.Sprintf("new-%d", i)))
			is.True(got.status != http.StatusUnauthorized) // every daemon accepts the new key
		}
	}
	calls := fleet.Platform.Calls().Total() - before.Total()
	const readersOfZone = 2
	// Each reader has one watch return for each change. Watches that see no change end
	// after the interval: their ends prove that the configuration is current.
	const watchInterval = 500 * time.Millisecond
	maxCalls := int64(readersOfZone) * int64(changes+2+time.Since(from)/watchInterval)
	is.True(calls <= maxCalls) // few daemons read from the platform
	logFigure(t, "time from publishing until the last of 6 daemons applied it: median %v, maximum of %d %v", quantile(times, 0.5), changes, quantile(times, 1))
	logFigure(t, "calls to the platform by 6 daemons in one zone: %d in %v with %d changes", calls, time.Since(from).Round(time.Second), changes)
}

// copyRecords publishes the records of a fleet's platform at other platforms, with
// the same revisions.
func copyRecords(t *testing.T, fleet *launcher.Fleet, platforms ...*publisher.Publisher) {
	t.Helper()
	records := recordsOf(t, fleet.Platform)
	for _, platform := range platforms {
		platform.Publish(records...)
	}
}

// recordsOf reads all records of a platform.
func recordsOf(t *testing.T, platform *publisher.Publisher) []flow.RawRecord {
	t.Helper()
	response, err := http.Get("http://" + platform.Addr() + publisher.RecordsPath(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var page publisher.Page
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	return page.Records
}

// newPlatform starts a platform that stops with the test.
func newPlatform(t *testing.T) *publisher.Publisher {
	t.Helper()
	platform, err := publisher.New(t.Context(), publisher.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// A platform that answers with older data than the daemons hold reverts nothing,
// not even on a daemon that starts meanwhile.
func TestStalePlatformRevertsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	current, stale := newPlatform(t), newPlatform(t)
	plan := planWithCustomers(4, "shop", "gone")
	plan.Settings = map[string]any{"platform": []string{"http://" + current.Addr(), "http://" + stale.Addr()}}
	fleet := launchFleet(t, plan, false)
	copyRecords(t, fleet, current, stale)
	awaitFleet(t, fleet)

	published := time.Now()
	revision := current.Publish(launcher.KeyRecord("gone", true))
	awaitInForce(t, fleet, published, revision)
	is.NoErr(current.SetMode(publisher.ModeDown)) // from now on all daemons read the stale platform
	fleet.SetSeeds()
	restarted := fleet.Daemons[2]
	restarted.Kill()
	is.NoErr(restarted.Start(t.Context()))
	checkKeyStaysWithdrawn := func() {
		for _, d := range fleet.Daemons {
			got := send(t, http.MethodGet, fleet.CallerAddress(d), "/ledger/wheels", launcher.KeyOf("gone"))
			if !refusedWith(got, flow.ReasonKeyUnknown) && !refusedWith(got, flow.ReasonNoLease) {
				t.Errorf("%s: a request with the withdrawn key got %d %s %v", d.Host, got.status, got.header.Get(flow.HeaderReason), got.err)
			}
		}
	}
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		checkKeyStaysWithdrawn()
	}
	awaitServedWithin(t, fleet, restarted, "shop", maxApplyTime)
	awaitInForce(t, fleet, time.Now(), revision)
	checkKeyStaysWithdrawn()
	is.True(stale.Calls().Total() > 0) // the stale platform was read

	// The stale platform catches up and publishes newer records.
	stale.Publish(launcher.KeyRecord("gone", true), launcher.KeyRecord("gone", false))
	published = time.Now()
	awaitInForce(t, fleet, published, revision+1)
	got := send(t, http.MethodGet, fleet.CallerAddress(restarted), "/ledger/wheels", launcher.KeyOf("gone"))
	is.Equal(got.status, http.StatusOK)
}

// A fleet goes on serving without its platform, and a daemon that starts meanwhile
// gets the configuration from its peers.
func TestFleetServesWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWithCustomers(4, "shop"), false)
	fleet.SetSeeds()
	is.NoErr(fleet.Platform.SetMode(publisher.ModeDown))
	downAt := time.Now()
	restarted := fleet.Daemons[0]
	load := startLoad(t, caller.Options{
		Ingresses: callerAddresses(fleet, otherDaemons(fleet, restarted)...),
		Customers: []caller.Customer{traffic("shop", 80, caller.Spread)},
		Duration:  12 * time.Second,
	})
	time.Sleep(time.Second)
	killedAt := time.Now()
	restarted.Kill()
	is.NoErr(restarted.Start(t.Context()))
	awaitServedWithin(t, fleet, restarted, "shop", maxApplyTime)
	logFigure(t, "a daemon that started while the platform was down served after %v", time.Since(killedAt))
	status, err := restarted.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.Revision.Applied, fleet.Platform.Revision())
	records := waitLoad(t, load)
	checkServed(t, "requests before the kill", withoutRequestsCutAt(startedBetween(records, downAt, killedAt), killedAt))
	checkServed(t, "requests while the platform is down", startedBetween(records, killedAt.Add(maxStopTime), time.Now()))
	checkAgainstJournals(t, fleet, records)
	logFigure(t, "requests in the %v after a host was killed while the platform was down: %s", maxStopTime,
		countResults(startedBetween(records, killedAt, killedAt.Add(maxStopTime))))

	is.NoErr(fleet.Platform.SetMode(publisher.ModeNormal))
	published := time.Now()
	revision := fleet.Platform.Publish(launcher.KeyRecord("shop", true))
	logFigure(t, "the last of 4 daemons applied a change %v after the platform came back", awaitInForce(t, fleet, published, revision))
	for _, ingress := range fleet.Ingresses() {
		is.True(refusedWith(send(t, http.MethodGet, ingress, "/ledger/wheels", launcher.KeyOf("shop")), flow.ReasonKeyUnknown))
	}
}

// All daemons end with the last revision of a record that two operators change at
// the same time, even while the platform goes down and answers with stale data.
func TestConcurrentChangesConverge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWithCustomers(4, "shop", "ann", "bea"), false)
	// Both operators write the same key record, each with the hash of its own key.
	contestedRecord := func(operator string) flow.RawRecord {
		record := launcher.KeyRecord(operator+"-key", false)
		var body map[string]any
		is.NoErr(json.Unmarshal(record.Body, &body))
		return launcher.Record(flow.KindKey, "contested", 1, map[string]any{"customer": operator, "hash": body["hash"]})
	}
	var operators sync.WaitGroup
	for _, operator := range []string{"ann", "bea"} {
		record := contestedRecord(operator)
		operators.Go(func() {
			for range 60 {
				fleet.Platform.Publish(record)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	operators.Go(func() {
		for _, mode := range []publisher.Mode{publisher.ModeDown, publisher.ModeStale, publisher.ModeNormal} {
			time.Sleep(300 * time.Millisecond)
			_ = fleet.Platform.SetMode(mode)
		}
	})
	operators.Wait()
	published := time.Now()
	logFigure(t, "every daemon applied the last of 120 concurrent changes after %v", awaitInForce(t, fleet, published, fleet.Platform.Revision()))
	var last flow.RawRecord
	for _, record := range recordsOf(t, fleet.Platform) {
		if record.Kind == flow.KindKey && record.Name == "contested" {
			last = record
		}
	}
	var content struct {
		Customer string `json:"customer"`
	}
	is.NoErr(json.Unmarshal(last.Body, &content))
	for _, ingress := range fleet.Ingresses() {
		for _, operator := range []string{"ann", "bea"} {
			got := send(t, http.MethodGet, ingress, "/ledger/wheels", launcher.KeyOf(operator+"-key"))
			is.Equal(got.status == http.StatusOK, operator == content.Customer)
			is.Equal(refusedWith(got, flow.ReasonKeyUnknown), operator != content.Customer)
		}
	}
}

// An unreadable record leaves its last valid revision in force and is listed in the
// status of every daemon. The other records of its revision apply. A later valid
// record replaces it.
func TestInvalidRecordKeepsLastValidOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWithCustomers(3, "shop"), false)
	cases := map[string]flow.RawRecord{
		"invalid JSON":       {Kind: flow.KindKey, Name: "shop", Body: []byte(`{"kind": "key", `)},
		"unsupported schema": launcher.Record(flow.KindRate, "shop", 99, map[string]any{"customer": "shop", "per-second": 0, "burst": 0}),
		"missing field":      launcher.Record(flow.KindRoute, "ledger", 2, map[string]any{"service": "ledger"}),
		"name mismatch":      {Kind: flow.KindBackendServer, Name: "ledger-1", Body: []byte(`{"kind": "backend-server", "name": "ledger-2", "schema": 1}`)},
		"value out of range": launcher.Record(flow.KindService, "ledger", 1, map[string]any{"floor": 7}),
		"unknown field":      launcher.Record(flow.KindAvailabilityZone, "north-a", 1, map[string]any{"region": "north", "state": "in", "colour": "red"}),
	}
	valid := map[flow.RecordID]flow.RawRecord{}
	for _, record := range recordsOf(t, fleet.Platform) {
		valid[record.ID()] = record
	}
	i := 0
	for name, invalid := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i++
			customer := fmt.Sprintf("beside-%d", i)
			published := time.Now()
			revision := fleet.Platform.Publish(
				launcher.Record(flow.KindCustomer, customer, 1, nil),
				invalid,
				launcher.KeyRecord(customer, false),
				launcher.Record(flow.KindRate, customer, 1, map[string]any{"customer": customer, "per-second": 100, "burst": 100}),
			)
			awaitInForce(t, fleet, published, revision)
			for _, d := range fleet.Daemons {
				is.Equal(send(t, http.MethodGet, fleet.CallerAddress(d), "/ledger/wheels", launcher.KeyOf("shop")).status, http.StatusOK)
				reply := send(t, http.MethodGet, fleet.CallerAddress(d), "/ledger/wheels", launcher.KeyOf(customer))
				is.True(reply.err == nil && reply.status != http.StatusUnauthorized) // the other records of the revision apply
				status, err := d.Status(t.Context())
				is.NoErr(err)
				is.Equal(status.Revision.Faults, 1)
				fault := shownFault(status, invalid.ID())
				is.True(fault.Problem != "")
				is.Equal(fault.InForce, valid[invalid.ID()].Revision)
			}
			published = time.Now()
			awaitInForce(t, fleet, published, fleet.Platform.Publish(valid[invalid.ID()]))
			for _, record := range recordsOf(t, fleet.Platform) {
				valid[record.ID()] = record
			}
			for _, d := range fleet.Daemons {
				status, err := d.Status(t.Context())
				is.NoErr(err)
				is.Equal(status.Revision.Faults, 0)
			}
		})
	}
	is.Equal(i, len(cases))
}

// shownFault returns the fault of a record that a status shows, or a zero value.
func shownFault(status controller.Status, id flow.RecordID) controller.RecordFault {
	for _, fault := range status.Revision.FaultsShown {
		if fault.Kind == id.Kind && fault.Name == id.Name {
			return fault
		}
	}
	return controller.RecordFault{}
}
