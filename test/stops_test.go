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

// A planned stop under load aborts no request of callers that keep their connections open,
// and the process exits with code 0. A second signal changes nothing.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	cases := map[string]struct{ signals int }{
		"one signal":  {signals: 1},
		"two signals": {signals: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			plan := planWithCustomers(3, "shop", "school")
			plan.Settings = map[string]any{"stop-grace": "5s"}
			plan.Services[0].Server.ServiceTime = 20 * time.Millisecond
			fleet := startFleet(t, plan, false)
			stopping := fleet.Daemons[1]
			load := startLoad(t, failoverOptions(fleet.Ingresses(), 9*time.Second))
			time.Sleep(time.Second)
			stoppedAt := time.Now()
			for range tc.signals {
				stopping.Terminate()
				time.Sleep(200 * time.Millisecond)
			}
			is.NoErr(stopping.Wait()) // exit code 0
			took := time.Since(stoppedAt)
			records := waitLoad(t, load)
			checkNoRequestCut(t, fleet, records)
			logFigure(t, "a planned stop under load took %v; requests: %s", took, countResults(startedBetween(records, stoppedAt, stoppedAt.Add(took))))
		})
	}
}

// checkNoRequestCut checks that every request was answered completely or refused as not
// run, that no backend server's run was aborted, and that no write ran twice. A request
// on a connection that was used before may meet the orderly close of that connection;
// its record then says "reused".
func checkNoRequestCut(t *testing.T, fleet *launcher.Fleet, records []caller.Record) {
	t.Helper()
	checkServed(t, "requests around a planned stop", records)
	checkAgainstJournals(t, fleet, records)
	notAborted := map[string]bool{} // requests that the caller did not abort itself
	for _, r := range records {
		notAborted[r.CallerRequest] = true
	}
	for _, entry := range fleet.Journal() {
		cut := entry.End == server.EndCancelled || entry.End == server.EndDeadline
		if cut && notAborted[entry.CallerRequest] {
			t.Errorf("%s ran %s %s, which was aborted: %s", entry.Server, entry.Method, entry.CallerRequest, entry.End)
		}
	}
}

// A planned stop without traffic ends the process with exit code 0 every time.
func TestIdleDaemonStopsCleanly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := startFleet(t, planWithCustomers(3, "shop"), false)
	const rounds = 3
	for range rounds {
		errs := make([]error, len(fleet.Daemons))
		var stopping sync.WaitGroup
		for i, d := range fleet.Daemons {
			stopping.Go(func() { errs[i] = d.Stop() })
		}
		stopping.Wait()
		for i, d := range fleet.Daemons {
			is.NoErr(errs[i]) // exit code 0
			is.NoErr(d.Start(t.Context()))
		}
	}
}

// The fleet can be restarted host by host under load without aborting a request.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWithCustomers(4, "shop", "school")
	plan.Settings = map[string]any{"stop-grace": "3s"}
	plan.Services[0].Server.ServiceTime = 10 * time.Millisecond
	fleet := startFleet(t, plan, false)
	options := failoverOptions(fleet.Ingresses(), time.Minute)
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
	checkNoRequestCut(t, fleet, records)
	logFigure(t, "a rolling restart of 4 hosts took %v: %d of %d requests refused within the rate; %s", took, refusedWithinRate(records), len(records), countResults(records))
}

// Requests that run when a daemon is told to stop are finished, both those that it
// received from callers and those that it runs for other daemons.
func TestStopFinishesRunningRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := planWithCustomers(3, "shop")
	plan.Services[0].Timeout = 15 * time.Second
	fleet := startFleet(t, plan, false)
	warmUp := startLoad(t, caller.Options{
		Ingresses: fleet.Ingresses(),
		Customers: []caller.Customer{traffic("shop", 150, caller.Spread)},
		Duration:  2 * time.Second,
	})
	waitLoad(t, warmUp)
	slow := server.Fault{Kind: server.FaultSlow, Factor: 2000} // of a service time of 2 ms
	for _, s := range fleet.Servers {
		is.NoErr(s.SetFault(slow))
	}
	stopping := fleet.Daemons[0]
	before := len(fleet.Journal())
	var sending sync.WaitGroup
	const perIngress = 3
	replies := make([]reply, perIngress*len(fleet.Daemons))
	for i := range replies {
		method := []string{http.MethodPost, http.MethodGet}[i%2]
		ingress := fleet.CallerAddress(fleet.Daemons[i/perIngress])
		sending.Go(func() { replies[i] = send(t, method, ingress, "/ledger/long?size=2000000", launcher.KeyOf("shop")) })
	}
	time.Sleep(1500 * time.Millisecond)
	runningOnStopping, runningOnAll := runningOnHosts(fleet, stopping), runningOnHosts(fleet, fleet.Daemons...)
	stopping.Terminate()
	sending.Wait()
	is.NoErr(stopping.Wait())
	answered := map[string]bool{}
	for _, r := range replies {
		switch {
		case r.err != nil:
			t.Errorf("a request was cut: %v", r.err)
		case r.status == http.StatusOK:
			answer, complete := server.ReadEcho(r.body)
			is.True(complete)
			answered[answer.RequestID] = true
		case r.header.Get(flow.HeaderOutcome) != string(flow.OutcomeNotRun):
			t.Errorf("a request was answered with %d %v", r.status, r.header)
		}
	}
	for _, entry := range fleet.Journal()[before:] {
		if !answered[entry.RequestID] {
			t.Errorf("%s ran %s %s (%s), but its caller got no response", entry.Server, entry.Method, entry.RequestID, entry.End)
		}
	}
	is.True(runningOnStopping > 0)            // the stopping daemon ran some of the requests
	is.True(runningOnAll > runningOnStopping) // other daemons ran some
	logFigure(t, "of %d long requests %d were answered completely; %d ran at the stop, %d of them on the stopping host", len(replies), len(answered), runningOnAll, runningOnStopping)
}

// runningOnHosts counts the requests that currently run on the backend servers of hosts.
func runningOnHosts(fleet *launcher.Fleet, hosts ...*launcher.Daemon) int {
	count := 0
	for _, entry := range entriesOnHosts(fleet, hosts...) {
		if entry.End == server.EndRunning {
			count++
		}
	}
	return count
}
