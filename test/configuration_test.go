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

// awaitInForce waits until every running daemon applies a revision and holds
// its lease, and returns the time since it was published.
func awaitInForce(t *testing.T, fleet *launcher.Fleet, published time.Time, revision flow.Revision) time.Duration {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), published.Add(inForceWithin))
	defer cancel()
	var waiting sync.WaitGroup
	failures := make([]error, len(fleet.Daemons))
	for i, d := range fleet.Daemons {
		if d.Running() {
			waiting.Go(func() { failures[i] = launcher.AwaitApplied(ctx, d, revision) })
		}
	}
	waiting.Wait()
	for _, err := range failures {
		if err != nil {
			t.Errorf("revision %d was not in force within %v: %v", revision, inForceWithin, err)
		}
	}
	return time.Since(published)
}

// quantile returns the value at a share of sorted times.
func quantile(times []time.Duration, share float64) time.Duration {
	slices.Sort(times)
	return times[min(int(share*float64(len(times))), len(times)-1)]
}

// TestConfigurationReachesEveryDaemon measures the time from the publishing of
// a record until the last daemon acts by it, and counts the platform's calls.
func TestConfigurationReachesEveryDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWith(6, "shop")
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
			is.True(got.status != http.StatusUnauthorized) // the new key is known everywhere
		}
	}
	calls := fleet.Platform.Calls().Total() - before.Total()
	const readersOfZone = 2
	// One watch for each change, and the ends of those that see none, which prove that
	// the configuration is current.
	const watch = 500 * time.Millisecond
	most := int64(readersOfZone) * int64(changes+2+time.Since(from)/watch)
	is.True(calls <= most) // few daemons read
	figure(t, "publishing to in force on the last of 6 daemons: median %v, worst of %d %v", quantile(times, 0.5), changes, quantile(times, 1))
	figure(t, "calls at the platform of 6 daemons in one zone: %d in %v with %d changes", calls, time.Since(from).Round(time.Second), changes)
}

// -----------------------------------------------------------------------------

// mirror publishes the records of a fleet's platform at other platforms, with
// the same revisions.
func mirror(t *testing.T, fleet *launcher.Fleet, platforms ...*publisher.Publisher) {
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

// newPlatform starts a platform that ends with the test.
func newPlatform(t *testing.T) *publisher.Publisher {
	t.Helper()
	platform, err := publisher.New(t.Context(), publisher.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// TestStalePlatform shows that a platform that answers with older data than the
// daemons hold reverts nothing, also not on a daemon that starts meanwhile.
func TestStalePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	current, stale := newPlatform(t), newPlatform(t)
	plan := planWith(4, "shop", "gone")
	plan.Settings = map[string]any{"platform": []string{"http://" + current.Addr(), "http://" + stale.Addr()}}
	fleet := launchFleet(t, plan, false)
	mirror(t, fleet, current, stale)
	awaitFleet(t, fleet)

	published := time.Now()
	revision := current.Publish(launcher.KeyRecord("gone", true))
	awaitInForce(t, fleet, published, revision)
	is.NoErr(current.SetMode(publisher.ModeDown)) // from here on all read the stale one
	fleet.SetSeeds()
	restarted := fleet.Daemons[2]
	restarted.Kill()
	is.NoErr(restarted.Start(t.Context()))
	checkKept := func() {
		for _, d := range fleet.Daemons {
			got := send(t, http.MethodGet, fleet.CallerAddress(d), "/ledger/wheels", launcher.KeyOf("gone"))
			if !refusedWith(got, flow.ReasonKeyUnknown) && !refusedWith(got, flow.ReasonNoLease) {
				t.Errorf("%s: the withdrawn key got %d %s %v", d.Host, got.status, got.header.Get(flow.HeaderReason), got.err)
			}
		}
	}
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		checkKept()
	}
	awaitServedWithin(t, fleet, restarted, "shop", inForceWithin)
	awaitInForce(t, fleet, time.Now(), revision)
	checkKept()
	is.True(stale.Calls().Total() > 0) // the stale platform was read

	// The stale platform catches up, and goes on from there.
	stale.Publish(launcher.KeyRecord("gone", true), launcher.KeyRecord("gone", false))
	published = time.Now()
	awaitInForce(t, fleet, published, revision+1)
	got := send(t, http.MethodGet, fleet.CallerAddress(restarted), "/ledger/wheels", launcher.KeyOf("gone"))
	is.Equal(got.status, http.StatusOK)
}

// -----------------------------------------------------------------------------

// TestPlatformDown shows that a fleet goes on serving without its platform, and
// that a daemon that starts meanwhile gets everything from its peers.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWith(4, "shop"), false)
	fleet.SetSeeds()
	is.NoErr(fleet.Platform.SetMode(publisher.ModeDown))
	down := time.Now()
	restarted := fleet.Daemons[0]
	load := startLoad(t, caller.Options{
		Ingresses: addressesOf(fleet, others(fleet, restarted)...),
		Customers: []caller.Customer{traffic("shop", 80, caller.Spread)},
		Duration:  12 * time.Second,
	})
	time.Sleep(time.Second)
	killedAt := time.Now()
	restarted.Kill()
	is.NoErr(restarted.Start(t.Context()))
	awaitServedWithin(t, fleet, restarted, "shop", inForceWithin)
	figure(t, "a daemon that started without the platform served after %v", time.Since(killedAt))
	status, err := restarted.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.Revision.Applied, fleet.Platform.Revision())
	records := waitLoad(t, load)
	checkServed(t, "requests before the kill", notCutAt(startedBetween(records, down, killedAt), killedAt))
	checkServed(t, "requests without the platform", startedBetween(records, killedAt.Add(stopsWithin), time.Now()))
	checkTruth(t, fleet, records)
	figure(t, "requests in the %v after a host was killed without the platform: %s", stopsWithin,
		tally(startedBetween(records, killedAt, killedAt.Add(stopsWithin))))

	is.NoErr(fleet.Platform.SetMode(publisher.ModeNormal))
	published := time.Now()
	revision := fleet.Platform.Publish(launcher.KeyRecord("shop", true))
	figure(t, "in force on the last of 4 daemons %v after the platform came back", awaitInForce(t, fleet, published, revision))
	for _, ingress := range fleet.Ingresses() {
		is.True(refusedWith(send(t, http.MethodGet, ingress, "/ledger/wheels", launcher.KeyOf("shop")), flow.ReasonKeyUnknown))
	}
}

// -----------------------------------------------------------------------------

// TestOperatorsRace shows that all daemons end with the last revision of a
// record that two operators change at once, also while the platform flips
// between its modes.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWith(4, "shop", "ann", "bea"), false)
	// Both write the record of one key, each with the hash of its own.
	contested := func(operator string) flow.RawRecord {
		record := launcher.KeyRecord(operator+"-key", false)
		var body map[string]any
		is.NoErr(json.Unmarshal(record.Body, &body))
		return launcher.Record(flow.KindKey, "contested", 1, map[string]any{"customer": operator, "hash": body["hash"]})
	}
	var racing sync.WaitGroup
	for _, operator := range []string{"ann", "bea"} {
		record := contested(operator)
		racing.Go(func() {
			for range 60 {
				fleet.Platform.Publish(record)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	racing.Go(func() {
		for _, mode := range []publisher.Mode{publisher.ModeDown, publisher.ModeStale, publisher.ModeNormal} {
			time.Sleep(300 * time.Millisecond)
			_ = fleet.Platform.SetMode(mode)
		}
	})
	racing.Wait()
	published := time.Now()
	figure(t, "in force everywhere %v after the last of 120 racing changes", awaitInForce(t, fleet, published, fleet.Platform.Revision()))
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

// -----------------------------------------------------------------------------

// TestBadRecords shows that a record that cannot be read leaves the last good
// one in force and is named in every status, that the rest of its revision
// applies, and that a good one mends it.
func TestBadRecords(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWith(3, "shop"), false)
	cases := map[string]flow.RawRecord{
		"no JSON":              {Kind: flow.KindKey, Name: "shop", Body: []byte(`{"kind": "key", `)},
		"unknown schema":       launcher.Record(flow.KindRate, "shop", 99, map[string]any{"customer": "shop", "per-second": 0, "burst": 0}),
		"missing field":        launcher.Record(flow.KindRoute, "ledger", 2, map[string]any{"service": "ledger"}),
		"another name":         {Kind: flow.KindBackendServer, Name: "ledger-1", Body: []byte(`{"kind": "backend-server", "name": "ledger-2", "schema": 1}`)},
		"value out of bounds":  launcher.Record(flow.KindService, "ledger", 1, map[string]any{"floor": 7}),
		"field of another era": launcher.Record(flow.KindAvailabilityZone, "north-a", 1, map[string]any{"region": "north", "state": "in", "colour": "red"}),
	}
	good := map[flow.RecordID]flow.RawRecord{}
	for _, record := range recordsOf(t, fleet.Platform) {
		good[record.ID()] = record
	}
	i := 0
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i++
			customer := fmt.Sprintf("beside-%d", i)
			published := time.Now()
			revision := fleet.Platform.Publish(
				launcher.Record(flow.KindCustomer, customer, 1, nil),
				bad,
				launcher.KeyRecord(customer, false),
				launcher.Record(flow.KindRate, customer, 1, map[string]any{"customer": customer, "per-second": 100, "burst": 100}),
			)
			awaitInForce(t, fleet, published, revision)
			for _, d := range fleet.Daemons {
				is.Equal(send(t, http.MethodGet, fleet.CallerAddress(d), "/ledger/wheels", launcher.KeyOf("shop")).status, http.StatusOK)
				beside := send(t, http.MethodGet, fleet.CallerAddress(d), "/ledger/wheels", launcher.KeyOf(customer))
				is.True(beside.err == nil && beside.status != http.StatusUnauthorized) // the rest of the revision applies
				status, err := d.Status(t.Context())
				is.NoErr(err)
				is.Equal(status.Revision.Faults, 1)
				fault := faultOf(status, bad.ID())
				is.True(fault.Problem != "")
				is.Equal(fault.InForce, good[bad.ID()].Revision)
			}
			published = time.Now()
			awaitInForce(t, fleet, published, fleet.Platform.Publish(good[bad.ID()]))
			for _, record := range recordsOf(t, fleet.Platform) {
				good[record.ID()] = record
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

func faultOf(status controller.Status, id flow.RecordID) controller.RecordFault {
	for _, fault := range status.Revision.FaultsShown {
		if fault.Kind == id.Kind && fault.Name == id.Name {
			return fault
		}
	}
	return controller.RecordFault{}
}
