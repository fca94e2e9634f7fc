// Computing the result of a run from its data.

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

// journal holds the requests that one backend server ran.
type journal struct {
	server  string
	service string
	entries []server.Entry
}

// maxLatenessMillis is the limit for the 99th percentile of the lateness of request
// starts. Above it, the load generator did not keep up.
const maxLatenessMillis = 5

// assess computes the result of a run. Run sets its machine, seed and start, and
// the command its command line.
func assess(data *runData) *presenter.Result {
	a := &assessment{runData: data, result: &presenter.Result{
		Experiment: data.experiment.Name,
		Seconds:    data.length.Seconds(),
		Settings:   data.experiment.Plan().Settings,
		Reasons:    map[string]int{},
		Events:     data.trace.events,
	}}
	requests := data.allRequests()
	a.aboveRate = assessor.MarkWithinRate(requests, data.experiment.Deployment.Rates())
	a.requests = assessor.Measured(requests)
	a.addService()
	a.addCustomers()
	a.addLatency()
	a.addEjections()
	a.addOverloads()
	a.addOutages()
	a.addLeases()
	a.addViolations()
	a.addFailures()
	a.addUsage()
	a.addWarnings()
	return a.result
}

// assessment builds the result of a run.
type assessment struct {
	*runData
	requests  []assessor.Request // of the measured time
	aboveRate map[string]bool    // customers above their rates
	result    *presenter.Result
}

func (a *assessment) addMeasure(name string, value float64, unit string, better presenter.Better, note string) {
	a.result.Measures = append(a.result.Measures, presenter.Measure{
		Name: name, Value: value, Unit: unit, Better: better, Note: note, Valid: true,
	})
}

// addMissingMeasure adds a measure without a value, for when there was nothing to measure.
func (a *assessment) addMissingMeasure(name, unit string, better presenter.Better, note string) {
	a.result.Measures = append(a.result.Measures, presenter.Measure{Name: name, Unit: unit, Better: better, Note: note})
}

// allRequests converts the records of all requests, including those of the warm-up.
func (d *runData) allRequests() []assessor.Request {
	streams := map[string]planner.Stream{}
	for _, s := range d.streams {
		streams[s.Name] = s
	}
	requests := make([]assessor.Request, 0, len(d.records))
	for _, record := range d.records {
		stream := streams[record.Customer]
		requests = append(requests, assessor.Request{
			Customer:       stream.CustomerName,
			Service:        stream.Service,
			At:             time.Duration(record.Intended - d.trace.start.UnixNano()),
			Latency:        record.Latency,
			Success:        record.Result == caller.Answered,
			RefusedForRate: record.Reason == flow.ReasonOverRate || record.Reason == flow.ReasonRateUnavailable,
			Reason:         failureReason(record),
		})
	}
	return requests
}

// failureReason returns why a request did not succeed, or "" if it did.
func failureReason(record caller.Record) string {
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

func (a *assessment) addService() {
	succeeded, counted := 0, 0
	for _, r := range a.requests {
		if r.Reason != "" {
			a.result.Reasons[r.Reason]++
		}
		if r.Excused {
			continue
		}
		counted++
		if r.Success {
			succeeded++
		}
	}
	a.result.Windows = assessor.Windows(a.requests, a.length)
	worst, second := assessor.WorstWindow(a.result.Windows)
	a.addMeasure("requests", float64(len(a.requests)), "", presenter.BetterNone, "")
	a.addMeasure("success-share", ratio(succeeded, counted), "", presenter.BetterHigher, fmt.Sprintf("%d of %d", succeeded, counted))
	a.addMeasure("worst-second-success-share", worst, "", presenter.BetterHigher, fmt.Sprintf("at %d s", second))
	a.addMeasure("seconds-below-99-percent", float64(assessor.SecondsBelowTarget(a.result.Windows)), "s", presenter.BetterLower, "")
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func (a *assessment) addCustomers() {
	customers := assessor.Customers(a.requests, a.aboveRate)
	worst := assessor.WorstOf(customers)
	a.result.Customers = customers
	a.addMeasure("worst-customer-success-share", worst.Share, "", presenter.BetterHigher, worst.ShareCustomer)
	a.addMeasure("median-customer-success-share", worst.MedianShare, "", presenter.BetterHigher, "")
	a.addMeasure("worst-customer-p99", worst.P99Millis, "ms", presenter.BetterLower, worst.P99Customer)
	a.addMeasure("median-customer-p99", worst.MedianP99Millis, "ms", presenter.BetterLower, "")
	refused, lowestAllowed, lowestCustomer := 0, 1.0, ""
	for _, c := range customers {
		refused += c.RefusedWithinRate
		if c.AboveRate && c.AllowedShare < lowestAllowed {
			lowestAllowed, lowestCustomer = c.AllowedShare, c.Name
		}
	}
	a.addMeasure("refused-inside-rate", float64(refused), "", presenter.BetterLower, "customers within their rates")
	if lowestCustomer != "" || len(a.aboveRate) > 0 {
		a.addMeasure("share-of-allowed-above-rate", lowestAllowed, "", presenter.BetterHigher, "worst customer above its rate: "+lowestCustomer)
	}
	otherFailures := 0
	for _, r := range a.requests {
		if !r.Success && !r.RefusedForRate {
			otherFailures++
		}
	}
	a.addMeasure("other-failures", float64(otherFailures), "", presenter.BetterLower, "see reasons")
}

// stopDetectionDelay is how much later than the end of a daemon's process the polls
// may still report the loss of its lease.
const stopDetectionDelay = 2 * time.Second

// addLeases counts how often daemons lost their lease for another reason than the
// end of their process.
func (a *assessment) addLeases() {
	lost := 0
	stoppedMillis := map[string]int64{}
	for _, event := range a.trace.events {
		switch event.What {
		case eventStopped:
			stoppedMillis[event.Subject] = event.AtMillis
		case eventLeaseLost:
			stopped, found := stoppedMillis[event.Subject]
			if !found || event.AtMillis-stopped > stopDetectionDelay.Milliseconds() {
				lost++
			}
		}
	}
	a.addMeasure("leases-lost", float64(lost), "", presenter.BetterLower, "seen by polls")
}

// mebibyte is the number of bytes of a MiB.
const mebibyte = 1 << 20

func (a *assessment) addUsage() {
	seconds := a.length.Seconds()
	hosts := float64(a.experiment.Deployment.Hosts)
	a.addMeasure("platform-calls", float64(a.platformCalls.Total())/seconds, "1/s", presenter.BetterLower, "a waiting watch counts as one")
	a.addMeasure("daemons-cpu", a.daemonCPU.Seconds()/seconds, "cores", presenter.BetterLower, "all together")
	a.addMeasure("daemon-cpu-mean", 1000*a.daemonCPU.Seconds()/seconds/hosts, "ms/s", presenter.BetterLower, "")
	total, largest := int64(0), int64(0)
	for _, bytes := range a.daemonMemory {
		total += bytes
		largest = max(largest, bytes)
	}
	a.addMeasure("daemon-memory-mean", float64(total)/mebibyte/max(1, float64(len(a.daemonMemory))), "MiB", presenter.BetterLower, "resident, at the end")
	a.addMeasure("daemon-memory-most", float64(largest)/mebibyte, "MiB", presenter.BetterLower, "")
	a.addMeasure("stand-ins-cpu", a.generator.cpu.Seconds()/seconds, "cores", presenter.BetterNone, "load, network and backend servers")
	a.addMeasure("generator-late-p99", a.generator.lateP99Millis, "ms", presenter.BetterNone, "intended to actual start, by timers")
	a.addMeasure("generator-late-max", a.generator.lateMaxMillis, "ms", presenter.BetterNone, "")
}

// addWarnings adds what makes the measures unreliable.
func (a *assessment) addWarnings() {
	if a.generator.lateP99Millis > maxLatenessMillis {
		a.result.Warnings = append(a.result.Warnings, fmt.Sprintf("the load generator did not keep up: 1%% of starts were more than %.1f ms late", a.generator.lateP99Millis))
	}
	if unsent := a.result.Reasons[string(caller.Unsent)]; unsent > 0 {
		a.result.Warnings = append(a.result.Warnings, fmt.Sprintf("%d requests were not sent because too many were in flight", unsent))
	}
}
