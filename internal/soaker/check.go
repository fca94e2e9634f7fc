// The guarantees, checked against the exchanges of callers and the runs of backend
// servers.

package soaker

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

// minServedShare is the share of requests that must be served after all faults are
// over.
const minServedShare = 0.9

// notRunStatuses are the statuses that guarantee that a request did not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checker compares exchanges with runs.
type checker struct {
	deployment *deployment
	runs       map[string][]run // by request
	exchanges  []exchange
	violations []string
}

// check returns the violated guarantees. The recovery is checked from recoveredFrom on.
func check(dep *deployment, recoveredFrom time.Time) []string {
	c := &checker{deployment: dep, runs: map[string][]run{}, exchanges: dep.exchanges.all()}
	all := dep.runs.all()
	for _, r := range all {
		c.runs[r.id] = append(c.runs[r.id], r)
	}
	for _, e := range c.exchanges {
		c.checkExchange(e)
	}
	for _, r := range all {
		c.checkRun(r)
	}
	c.checkRates(all)
	c.checkStops()
	c.checkRecovery(recoveredFrom)
	c.checkLogs()
	return c.violations
}

// report adds a violation of a guarantee.
func (c *checker) report(guarantee, format string, arguments ...any) {
	c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, arguments...))
}

// checkExchange checks one exchange against the runs of its request.
func (c *checker) checkExchange(e exchange) {
	runs := c.runs[e.id]
	if e.atMostOnce && len(runs) > 1 {
		c.report("at-most-once", "%s ran %d times", e.id, len(runs))
	}
	// A server's own status is passed on unchanged, but for requests that may run once.
	if slices.Contains(notRunStatuses, e.status) && len(runs) > 0 && (e.atMostOnce || !e.sealed) {
		c.report("true-refusal", "%s was refused with %d at host %d and ran on %s", e.id, e.status, e.host, runs[0].server)
	}
	if e.sealed && (e.status == http.StatusBadGateway || e.status == http.StatusGatewayTimeout) {
		c.report("own-seal", "%s was answered %d with the mark of a server", e.id, e.status)
	}
	if e.status == http.StatusOK && e.complete && e.body != responseBody(e.id) {
		c.report("whole-answer", "%s was answered %q", e.id, e.body)
	}
	for _, r := range runs {
		c.checkRunOfExchange(e, r)
	}
}

// checkRunOfExchange checks one run against the exchange of its request.
func (c *checker) checkRunOfExchange(e exchange, r run) {
	h := &c.deployment.history
	if owner := h.keyOwners[e.key]; r.customer != owner || r.key != "" {
		c.report("own-key", "%s with the key of %q ran for %q, key passed on: %q", e.id, owner, r.customer, r.key)
	}
	if service := services[e.host%len(services)]; r.caller != service {
		c.report("caller-service", "%s from a host of %q ran with caller service %q", e.id, service, r.caller)
	}
	for _, withdrawal := range h.keyWithdrawals {
		if withdrawal.subject == e.key && e.sent.After(withdrawal.at.Add(maxConfigDelay)) && h.inTouch(e.sent) {
			c.report("withdrawn-key", "%s ran %v after its key was withdrawn", e.id, e.sent.Sub(withdrawal.at))
		}
	}
	if e.route != "read" {
		return
	}
	for i, change := range h.routeChanges {
		until := r.at
		if i+1 < len(h.routeChanges) && h.routeChanges[i+1].at.Before(until) {
			continue // a later change may be in force
		}
		if change.subject != r.service && e.sent.After(change.at.Add(maxConfigDelay)) && h.inTouch(e.sent) {
			c.report("configuration", "%s ran on %q %v after its route changed to %q", e.id, r.service, e.sent.Sub(change.at), change.subject)
		}
	}
}

// checkRun checks that a run started on no drained server and in no zone out of service.
func (c *checker) checkRun(r run) {
	h := &c.deployment.history
	for _, drain := range h.drains {
		if drain.subject == r.server && r.at.After(drain.at.Add(maxDrainDelay)) && h.undisturbed(drain.at, r.at) {
			c.report("drain", "%s ran on %s %v after it began to drain", r.id, r.server, r.at.Sub(drain.at))
		}
	}
	for _, outage := range h.zoneOutages {
		if c.zoneOf(r.server) == outage.zone && r.at.After(outage.from.Add(maxZoneOutDelay)) && r.at.Before(outage.to) && h.undisturbed(outage.from, r.at) {
			c.report("zone-out", "%s ran in %s %v after the zone was taken out of service", r.id, outage.zone, r.at.Sub(outage.from))
		}
	}
}

// zoneOf returns the zone of a backend server, or "" if its id names no host.
func (c *checker) zoneOf(server string) string {
	var host, generation int
	if _, err := fmt.Sscanf(server, "server-%d-%d", &host, &generation); err != nil || host >= len(c.deployment.hosts) {
		return ""
	}
	return c.deployment.hosts[host].zone
}

// checkRates checks every time window for every customer with a rate.
func (c *checker) checkRates(all []run) {
	for _, customer := range c.deployment.configuration.Customers {
		if customer.PerSecond == 0 {
			continue
		}
		var times []time.Time
		for _, r := range all {
			if r.customer == customer.Name {
				times = append(times, r.at)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		limit := (customer.PerSecond*rateWindow.Seconds()+customer.Burst)*(1+rateOverage) + rateSlack
		first := 0
		for last, at := range times {
			for at.Sub(times[first]) >= rateWindow {
				first++
			}
			if float64(last-first+1) > limit {
				c.report("rate", "%d runs of %s in %v, allowed %.0f", last-first+1, customer.Name, rateWindow, limit)
				return
			}
		}
	}
}

// cleanExit is the exit status of a process that stopped as planned.
const cleanExit = "exit status 0"

// checkStops checks that planned stops abort no request, end in time and with a clean exit.
func (c *checker) checkStops() {
	h := &c.deployment.history
	for _, s := range h.stops {
		if !h.undisturbed(s.from, s.to) {
			continue
		}
		if !s.inTime {
			c.report("stop", "the daemon of host %d still ran after its grace period", s.host)
		} else if s.exitStatus != cleanExit {
			c.report("stop", "the daemon of host %d ended with %q", s.host, s.exitStatus)
		}
		for _, e := range c.exchanges {
			if e.host == s.host && e.status == 0 && e.sent.After(s.from) && e.sent.Before(s.to) && len(c.runs[e.id]) > 0 {
				c.report("stop", "%s ran and was aborted by the planned stop of host %d", e.id, s.host)
			}
		}
	}
}

// crashMarkers are texts in a daemon's log that show a crash or a data race.
var crashMarkers = []string{"panic:", "DATA RACE", "fatal error:"}

// checkLogs searches the daemons' logs for crashes.
func (c *checker) checkLogs() {
	for _, log := range c.deployment.logs {
		content, err := os.ReadFile(log.Name())
		if err != nil {
			c.report("log", "%v", err)
		}
		for _, marker := range crashMarkers {
			if bytes.Contains(content, []byte(marker)) {
				c.report("log", "%s contains %q", log.Name(), marker)
			}
		}
	}
}

// checkRecovery checks the share of requests that are served after all faults are over.
func (c *checker) checkRecovery(from time.Time) {
	served, eligible := 0, 0
	for _, e := range c.exchanges {
		if e.sent.Before(from) || e.status == http.StatusTooManyRequests || e.status == http.StatusUnauthorized {
			continue
		}
		eligible++
		if e.status == http.StatusOK && e.complete {
			served++
		}
	}
	if eligible == 0 || float64(served) < minServedShare*float64(eligible) {
		c.report("recovery", "%d of %d requests were served after all faults were over", served, eligible)
	}
}
