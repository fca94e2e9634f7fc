// Violations of guarantees, found by comparing the results that callers got with the
// requests that backend servers ran; and requests that failed.

package experimenter

import (
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/checker"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// maxViolations is the maximum number of violations in a result.
	maxViolations = 20
	// delaySlack is by how much the time between two requests may shrink between
	// taking their tokens and running them. It is the longest time that a request
	// waits in between.
	delaySlack = time.Second
)

// Digests of complete and truncated responses. The callers have compared the
// responses themselves, so their actual digests are not needed.
const (
	digestComplete  = "whole"
	digestTruncated = "cut"
)

func (a *assessment) addViolations() {
	outcomes := checker.CheckOutcomes(a.runs(), a.results())
	ends := a.ends()
	for _, violation := range outcomes {
		a.addViolation(fmt.Errorf("%w; it ended as %s", violation, ends[violation.RequestID]))
	}
	rates, ratesWithSlack := a.ratesWithSlack(0), a.ratesWithSlack(delaySlack)
	admissions := a.admissions()
	strict := checker.CheckRate(admissions, rates)
	withSlack := checker.CheckRate(admissions, ratesWithSlack)
	for _, violation := range strict {
		a.addViolation(violation)
	}
	a.addMeasure("outcome-violations", float64(len(outcomes)), "", presenter.BetterLower, "")
	a.addMeasure("rate-violations", float64(len(withSlack)), "", presenter.BetterLower, fmt.Sprintf("customers; %v of rate allowed for delays on the way", delaySlack))
	a.addMeasure("rate-violations-at-servers", float64(len(strict)), "", presenter.BetterNone, "customers; by the start of runs, with delays on the way")
}

func (a *assessment) addViolation(violation error) {
	if len(a.result.Violations) < maxViolations {
		a.result.Violations = append(a.result.Violations, violation.Error())
	}
}

// ends describes, by request, how each request ended for its caller.
func (a *assessment) ends() map[string]string {
	ends := map[string]string{}
	for _, record := range a.records {
		ends[record.CallerRequest] = describeEnd(record)
	}
	return ends
}

func describeEnd(record caller.Record) string {
	return fmt.Sprintf("%s %s %s after %v at %v", record.Result, record.Reason, record.Error,
		record.Latency.Round(time.Millisecond), record.Ingresses)
}

// maxFailures is the maximum number of failures in a result.
const maxFailures = 100

// addFailures adds the first requests without success, except for those of
// customers above their rates.
func (a *assessment) addFailures() {
	customers := map[string]string{}
	for _, s := range a.streams {
		customers[s.Name] = s.CustomerName
	}
	for _, record := range a.measuredRecords() {
		if record.Result == caller.Answered || a.aboveRate[customers[record.Customer]] || len(a.result.Failures) == maxFailures {
			continue
		}
		at := time.Duration(record.Intended - a.trace.start.UnixNano())
		a.result.Failures = append(a.result.Failures, fmt.Sprintf("%.2f s: %s %s %s: %s", at.Seconds(), customers[record.Customer],
			record.Method, record.Path, describeEnd(record)))
	}
}

// runs returns the runs of the load through daemons. They have the request IDs of
// the callers, so that a request that was sent to several ingresses counts as one.
func (a *assessment) runs() []checker.Run {
	var runs []checker.Run
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if entry.Start < a.loadStart.UnixNano() {
				continue // run of the direct load
			}
			runs = append(runs, checker.Run{
				RequestID:      entry.CallerRequest,
				Server:         entry.Server,
				Idempotent:     entry.Method == http.MethodGet,
				IdempotencyKey: entry.Header.Get(flow.HeaderIdempotencyKey),
				Digest:         digestComplete,
				Length:         1,
			})
		}
	}
	return runs
}

func (a *assessment) results() []checker.Result {
	results := make([]checker.Result, 0, len(a.records))
	for _, record := range a.records {
		results = append(results, checker.Result{
			RequestID:      record.CallerRequest,
			Idempotent:     record.Method == http.MethodGet,
			IdempotencyKey: record.IdempotencyKey,
			Outcome:        outcomeOf(record.Result),
			AnswerFor:      answerFor(record),
			Digest:         digest(record),
			Length:         responseLength(record),
		})
	}
	return results
}

// outcomeOf returns what a result says about its request to the caller. A request
// that was never sent did not run.
func outcomeOf(result caller.Result) flow.Outcome {
	switch result {
	case caller.Answered, caller.Short, caller.Foreign:
		return flow.OutcomeAnswered
	case caller.NotRun, caller.Unreachable, caller.Unsent:
		return flow.OutcomeNotRun
	default:
		return flow.OutcomeUnknown
	}
}

func answerFor(record caller.Record) string {
	if record.Own {
		return record.CallerRequest
	}
	return "another"
}

func digest(record caller.Record) string {
	if record.Whole {
		return digestComplete
	}
	return digestTruncated
}

func responseLength(record caller.Record) int64 {
	if record.Whole {
		return 1
	}
	return 0
}

func (a *assessment) admissions() []checker.Admission {
	var admissions []checker.Admission
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if entry.Start >= a.loadStart.UnixNano() {
				admissions = append(admissions, checker.Admission{Customer: entry.Customer, AtNanos: entry.Start})
			}
		}
	}
	return admissions
}

// ratesWithSlack returns the customers' rates, with the burst raised by the tokens
// that the rate adds during slack.
func (a *assessment) ratesWithSlack(slack time.Duration) []flow.Rate {
	var rates []flow.Rate
	for _, c := range a.experiment.Deployment.Customers {
		burst := c.Burst + int(c.PerSecond*slack.Seconds())
		rates = append(rates, flow.Rate{Name: c.Name, Customer: c.Name, PerSecond: c.PerSecond, Burst: burst})
	}
	return rates
}
