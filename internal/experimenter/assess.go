// From the evidence of a run to its figures.

package experimenter

import (
	"fmt"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// journal is the journal of one backend server.
type journal struct {
	server  string
	service string
	entries []server.Entry
}

// lateLimit is the 99th percentile of lateness, in milliseconds, above which
// the load generator did not keep up.
const lateLimit = 5

// assess makes the result, but for what only the runner knows.
func assess(f *evidence) *presenter.Result {
	a := &assessment{evidence: f, result: &presenter.Result{
		Experiment: f.experiment.Name,
		Seconds:    f.length.Seconds(),
		Settings:   f.experiment.Plan().Settings,
		Reasons:    map[string]int{},
		Events:     f.trace.events,
	}}
	requests := f.requests()
	a.above = assessor.MarkInside(requests, f.experiment.Deployment.Rates())
	a.requests = assessor.Measured(requests)
	a.service()
	a.customers()
	a.latency()
	a.ejections()
	a.overloads()
	a.outages()
	a.leases()
	a.violations()
	a.failures()
	a.usage()
	a.warn()
	return a.result
}

// assessment builds a result.
type assessment struct {
	*evidence
	requests []assessor.Request // measured
	above    map[string]bool    // customers above their rates
	result   *presenter.Result
}

func (a *assessment) add(name string, value float64, unit string, better presenter.Better, note string) {
	a.result.Measures = append(a.result.Measures, presenter.Measure{
		Name: name, Value: value, Unit: unit, Better: better, Note: note, Valid: true,
	})
}

// addMissing adds a figure for which there was nothing to measure.
func (a *assessment) addMissing(name, unit string, better presenter.Better, note string) {
	a.result.Measures = append(a.result.Measures, presenter.Measure{Name: name, Unit: unit, Better: better, Note: note})
}

// -----------------------------------------------------------------------------

// requests returns what the measurer needs of all records, warm-up included.
func (f *evidence) requests() []assessor.Request {
	rows := map[string]planner.Row{}
	for _, r := range f.rows {
		rows[r.Name] = r
	}
	requests := make([]assessor.Request, 0, len(f.records))
	for _, record := range f.records {
		r := rows[record.Customer]
		requests = append(requests, assessor.Request{
			Customer: r.Owner,
			Service:  r.Service,
			At:       time.Duration(record.Intended - f.trace.start.UnixNano()),
			Latency:  record.Latency,
			Success:  record.Result == caller.Answered,
			RateDeny: record.Reason == flow.ReasonOverRate || record.Reason == flow.ReasonRateUnavailable,
			Reason:   reasonOf(record),
		})
	}
	return requests
}

// reasonOf says in a word why a request had no success.
func reasonOf(record caller.Record) string {
	switch {
	case record.Result == caller.Answered:
		return ""
	case record.Reason != "":
		return string(record.Result) + "/" + string(record.Reason)
	case record.Result == caller.Failed:
		return fmt.Sprintf("%s/%d", record.Result, record.Status)
	default:
		return string(record.Result)
	}
}

func (a *assessment) service() {
	succeeded, counted := 0, 0
	for _, r := range a.requests {
		if r.Reason != "" {
			a.result.Reasons[r.Reason]++
		}
		if r.Excuse {
			continue
		}
		counted++
		if r.Success {
			succeeded++
		}
	}
	a.result.Windows = assessor.Windows(a.requests, a.length)
	worst, second := assessor.WorstWindow(a.result.Windows)
	a.add("requests", float64(len(a.requests)), "", presenter.BetterNone, "")
	a.add("success-share", ratio(succeeded, counted), "", presenter.BetterHigher, fmt.Sprintf("%d of %d", succeeded, counted))
	a.add("worst-second-success-share", worst, "", presenter.BetterHigher, fmt.Sprintf("at %d s", second))
	a.add("seconds-below-99-percent", float64(assessor.SecondsBadlyServed(a.result.Windows)), "s", presenter.BetterLower, "")
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func (a *assessment) customers() {
	customers := assessor.Customers(a.requests, a.above)
	worst := assessor.WorstOf(customers)
	a.result.Customers = customers
	a.add("worst-customer-success-share", worst.Share, "", presenter.BetterHigher, worst.ShareCustomer)
	a.add("median-customer-success-share", worst.MedianShare, "", presenter.BetterHigher, "")
	a.add("worst-customer-p99", worst.P99Millis, "ms", presenter.BetterLower, worst.P99Customer)
	a.add("median-customer-p99", worst.MedianP99, "ms", presenter.BetterLower, "")
	refused, worstAllowed, who := 0, 1.0, ""
	for _, c := range customers {
		refused += c.RefusedInside
		if c.Above && c.AllowedShare < worstAllowed {
			worstAllowed, who = c.AllowedShare, c.Name
		}
	}
	a.add("refused-inside-rate", float64(refused), "", presenter.BetterLower, "customers within their rates")
	if who != "" || len(a.above) > 0 {
		a.add("share-of-allowed-above-rate", worstAllowed, "", presenter.BetterHigher, "worst customer above its rate: "+who)
	}
	other := 0
	for _, r := range a.requests {
		if !r.Success && !r.RateDeny {
			other++
		}
	}
	a.add("other-failures", float64(other), "", presenter.BetterLower, "see reasons")
}

// -----------------------------------------------------------------------------

// restartLag is the time by which a poll may see the end of a process late.
const restartLag = 2 * time.Second

// leases counts how often daemons that held their lease lost it, other than by
// the end of their process.
func (a *assessment) leases() {
	lost := 0
	stopped := map[string]int64{}
	for _, event := range a.trace.events {
		switch event.What {
		case eventStopped:
			stopped[event.Subject] = event.AtMillis
		case eventLeaseLost:
			at, ended := stopped[event.Subject]
			if !ended || event.AtMillis-at > restartLag.Milliseconds() {
				lost++
			}
		}
	}
	a.add("leases-lost", float64(lost), "", presenter.BetterLower, "seen by polls")
}

// -----------------------------------------------------------------------------

// mebibyte is a unit of memory in bytes.
const mebibyte = 1 << 20

func (a *assessment) usage() {
	seconds := a.length.Seconds()
	hosts := float64(a.experiment.Deployment.Hosts)
	a.add("platform-calls", float64(a.platformCalls.Total())/seconds, "1/s", presenter.BetterLower, "a waiting watch counts as one")
	a.add("daemons-cpu", a.daemonCPU.Seconds()/seconds, "cores", presenter.BetterLower, "all together")
	a.add("daemon-cpu-mean", 1000*a.daemonCPU.Seconds()/seconds/hosts, "ms/s", presenter.BetterLower, "")
	total, most := int64(0), int64(0)
	for _, bytes := range a.daemonMemory {
		total += bytes
		most = max(most, bytes)
	}
	a.add("daemon-memory-mean", float64(total)/mebibyte/max(1, float64(len(a.daemonMemory))), "MiB", presenter.BetterLower, "resident, at the end")
	a.add("daemon-memory-most", float64(most)/mebibyte, "MiB", presenter.BetterLower, "")
	a.add("stand-ins-cpu", a.lag.cpu.Seconds()/seconds, "cores", presenter.BetterNone, "load, network and backend servers")
	a.add("generator-late-p99", a.lag.lateMillis99, "ms", presenter.BetterNone, "intended to actual start, by timers")
	a.add("generator-late-max", a.lag.lateMillisMax, "ms", presenter.BetterNone, "")
}

// warn says what makes the figures doubtful.
func (a *assessment) warn() {
	if a.lag.lateMillis99 > lateLimit {
		a.result.Warnings = append(a.result.Warnings, fmt.Sprintf("the load generator did not keep up: 1%% of starts were more than %.1f ms late", a.lag.lateMillis99))
	}
	if unsent := a.result.Reasons[string(caller.Unsent)]; unsent > 0 {
		a.result.Warnings = append(a.result.Warnings, fmt.Sprintf("%d requests were not sent since too many were under way", unsent))
	}
}
