package test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestPlannedStop shows that a planned stop under load cuts no request, with
// callers that keep their connections, and ends the process with code 0. A
// second signal changes nothing.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	cases := map[string]struct{ signals int }{
		"one signal":  {signals: 1},
		"two signals": {signals: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			plan := planWith(3, "shop", "school")
			plan.Settings = map[string]any{"stop-grace": "5s"}
			plan.Services[0].Server.ServiceTime = 20 * time.Millisecond
			fleet := startFleet(t, plan, false)
			stopping := fleet.Daemons[1]
			load := startLoad(t, goRound(fleet.Ingresses(), 9*time.Second))
			time.Sleep(time.Second)
			stoppedAt := time.Now()
			for range tc.signals {
				stopping.Terminate()
				time.Sleep(200 * time.Millisecond)
			}
			is.NoErr(stopping.Wait()) // exit code 0
			took := time.Since(stoppedAt)
			records := waitLoad(t, load)
			checkNothingCut(t, fleet, records)
			figure(t, "a planned stop under load took %v; requests: %s", took, tally(startedBetween(records, stoppedAt, stoppedAt.Add(took))))
		})
	}
}

// checkNothingCut checks that every request was answered whole or refused as
// not run, that no run was broken off, and that no write ran twice. A request on a connection that was used
// before may meet its orderly end; the stand-in says so with "reused".
func checkNothingCut(t *testing.T, fleet *launcher.Fleet, records []caller.Record) {
	t.Helper()
	checkServed(t, "requests around a planned stop", records)
	checkTruth(t, fleet, records)
	kept := map[string]bool{} // requests that the caller did not abandon itself
	for _, r := range records {
		kept[r.CallerRequest] = true
	}
	for _, entry := range fleet.Journal() {
		cut := entry.End == server.EndCancelled || entry.End == server.EndDeadline
		if cut && kept[entry.CallerRequest] {
			t.Errorf("%s ran %s %s and was cut: %s", entry.Server, entry.Method, entry.CallerRequest, entry.End)
		}
	}
}

// TestStopOfIdleHost shows that a planned stop without traffic ends the process
// with code 0, each time.
func TestStopOfIdleHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWith(3, "shop"), false)
	const rounds = 3
	for range rounds {
		failures := make([]error, len(fleet.Daemons))
		var stopping sync.WaitGroup
		for i, d := range fleet.Daemons {
			stopping.Go(func() { failures[i] = d.Stop() })
		}
		stopping.Wait()
		for i, d := range fleet.Daemons {
			is.NoErr(failures[i]) // exit code 0
			is.NoErr(d.Start(t.Context()))
		}
	}
}

// -----------------------------------------------------------------------------

// TestRollingRestart shows that the fleet can be restarted host by host under
// load without cutting a request.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWith(4, "shop", "school")
	plan.Settings = map[string]any{"stop-grace": "3s"}
	plan.Services[0].Server.ServiceTime = 10 * time.Millisecond
	fleet := startFleet(t, plan, false)
	options := goRound(fleet.Ingresses(), time.Minute)
	load := startLoad(t, options)
	startedAt := time.Now()
	for _, d := range fleet.Daemons {
		is.NoErr(d.Stop())
		is.NoErr(d.Start(t.Context()))
		awaitServedWithin(t, fleet, d, "shop", startTimeout)
		awaitServedWithin(t, fleet, d, "school", startTimeout)
	}
	took := time.Since(startedAt)
	time.Sleep(time.Second)
	records := stopLoad(t, load)
	checkNothingCut(t, fleet, records)
	figure(t, "a rolling restart of 4 hosts took %v: %d of %d requests refused inside the rate; %s", took, refusedInsideRate(records), len(records), tally(records))
}

// -----------------------------------------------------------------------------

// TestStopWhileLongRequestsRun shows that requests that run when a daemon is
// asked to stop are finished: those that it took from callers, and those that
// it runs for other daemons.
func TestStopWhileLongRequestsRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWith(3, "shop")
	plan.Services[0].Timeout = 15 * time.Second
	fleet := startFleet(t, plan, false)
	warming := startLoad(t, caller.Options{
		Ingresses: fleet.Ingresses(),
		Customers: []caller.Customer{traffic("shop", 150, caller.Spread)},
		Duration:  2 * time.Second,
	})
	waitLoad(t, warming)
	slow := server.Fault{Kind: server.FaultSlow, Factor: 2000} // of 2 ms
	for _, s := range fleet.Servers {
		is.NoErr(s.SetFault(slow))
	}
	stopping := fleet.Daemons[0]
	before := len(fleet.Journal())
	var asking sync.WaitGroup
	const perIngress = 3
	replies := make([]reply, perIngress*len(fleet.Daemons))
	for i := range replies {
		method := []string{http.MethodPost, http.MethodGet}[i%2]
		ingress := fleet.CallerAddress(fleet.Daemons[i/perIngress])
		asking.Go(func() { replies[i] = send(t, method, ingress, "/ledger/long?size=2000000", launcher.KeyOf("shop")) })
	}
	time.Sleep(1500 * time.Millisecond)
	atStop, ofAll := runningOn(fleet, stopping), runningOn(fleet, fleet.Daemons...)
	stopping.Terminate()
	asking.Wait()
	is.NoErr(stopping.Wait())
	answered := map[string]bool{}
	for _, r := range replies {
		switch {
		case r.err != nil:
			t.Errorf("a request was cut: %v", r.err)
		case r.status == http.StatusOK:
			answer, whole := server.ReadEcho(r.body)
			is.True(whole)
			answered[answer.RequestID] = true
		case r.header.Get(flow.HeaderOutcome) != string(flow.OutcomeNotRun):
			t.Errorf("a request was answered with %d %v", r.status, r.header)
		}
	}
	for _, entry := range fleet.Journal()[before:] {
		if !answered[entry.RequestID] {
			t.Errorf("%s ran %s %s to %s, and its caller got no answer", entry.Server, entry.Method, entry.RequestID, entry.End)
		}
	}
	is.True(atStop > 0)     // the stopping daemon ran some of them
	is.True(ofAll > atStop) // and others some
	figure(t, "of %d long requests %d were answered whole; at the stop %d ran, of these %d on the stopping host", len(replies), len(answered), ofAll, atStop)
}

// runningOn counts the requests that run now on the backend servers of hosts.
func runningOn(fleet *launcher.Fleet, hosts ...*launcher.Daemon) int {
	count := 0
	for _, entry := range entriesOn(fleet, hosts...) {
		if entry.End == server.EndRunning {
			count++
		}
	}
	return count
}
