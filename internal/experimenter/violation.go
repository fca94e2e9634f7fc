// The promises, checked on what callers were told and what backend servers ran.

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
	// violationsShown bounds the violations of a result.
	violationsShown = 20
	// delaySlack is the time by which requests may come closer to each other
	// between the draw of their tokens and their runs: the longest wait on the
	// way.
	delaySlack = time.Second
)

// whole and cut stand for the digests of answers, which the callers compared
// themselves.
const (
	whole = "whole"
	cut   = "cut"
)

func (a *assessment) violations() {
	outcomes := checker.CheckOutcomes(a.ran(), a.told())
	endings := a.endings()
	for _, violation := range outcomes {
		a.violate(fmt.Errorf("%w; it ended as %s", violation, endings[violation.RequestID]))
	}
	rates, slackRates := a.flowRates(0), a.flowRates(delaySlack)
	admissions := a.admissions()
	strict := checker.CheckRate(admissions, rates)
	loose := checker.CheckRate(admissions, slackRates)
	for _, violation := range strict {
		a.violate(violation)
	}
	a.add("outcome-violations", float64(len(outcomes)), "", presenter.BetterLower, "")
	a.add("rate-violations", float64(len(loose)), "", presenter.BetterLower, fmt.Sprintf("customers; %v of rate allowed for delays on the way", delaySlack))
	a.add("rate-violations-at-servers", float64(len(strict)), "", presenter.BetterNone, "customers; by the start of runs, with delays on the way")
}

func (a *assessment) violate(violation error) {
	if len(a.result.Violations) < violationsShown {
		a.result.Violations = append(a.result.Violations, violation.Error())
	}
}

// endings says of each request how it ended for its caller.
func (a *assessment) endings() map[string]string {
	endings := map[string]string{}
	for _, record := range a.records {
		endings[record.CallerRequest] = endingOf(record)
	}
	return endings
}

func endingOf(record caller.Record) string {
	return fmt.Sprintf("%s %s %s after %v at %v", record.Result, record.Reason, record.Error,
		record.Latency.Round(time.Millisecond), record.Ingresses)
}

// failuresShown bounds the failures of a result.
const failuresShown = 100

// failures lists the first requests without success, but for those of customers
// above their rates.
func (a *assessment) failures() {
	owners := map[string]string{}
	for _, r := range a.rows {
		owners[r.Name] = r.Owner
	}
	for _, record := range a.measuredRecords() {
		if record.Result == caller.Answered || a.above[owners[record.Customer]] || len(a.result.Failures) == failuresShown {
			continue
		}
		at := time.Duration(record.Intended - a.trace.start.UnixNano())
		a.result.Failures = append(a.result.Failures, fmt.Sprintf("%.2f s: %s %s %s: %s", at.Seconds(), owners[record.Customer],
			record.Method, record.Path, endingOf(record)))
	}
}

// ran returns the runs of the load. Requests go by the callers' own ids, so
// that a request that was sent to several ingresses counts as one.
func (a *assessment) ran() []checker.Run {
	var ran []checker.Run
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if entry.Start < a.loadStart.UnixNano() {
				continue // of the direct load
			}
			ran = append(ran, checker.Run{
				RequestID:      entry.CallerRequest,
				Server:         entry.Server,
				Idempotent:     entry.Method == http.MethodGet,
				IdempotencyKey: entry.Header.Get(flow.HeaderIdempotencyKey),
				Digest:         whole,
				Length:         1,
			})
		}
	}
	return ran
}

func (a *assessment) told() []checker.Result {
	told := make([]checker.Result, 0, len(a.records))
	for _, record := range a.records {
		told = append(told, checker.Result{
			RequestID:      record.CallerRequest,
			Idempotent:     record.Method == http.MethodGet,
			IdempotencyKey: record.IdempotencyKey,
			Outcome:        outcomeOf(record.Result),
			AnswerFor:      answerFor(record),
			Digest:         digestOf(record),
			Length:         lengthOf(record),
		})
	}
	return told
}

// outcomeOf says what a result tells the caller of its request. What was never
// sent did not run.
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

func digestOf(record caller.Record) string {
	if record.Whole {
		return whole
	}
	return cut
}

func lengthOf(record caller.Record) int64 {
	if record.Whole {
		return 1
	}
	return 0
}

// -----------------------------------------------------------------------------

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

// flowRates returns the customers' rates, with the burst raised by what the
// rate gives in a time.
func (a *assessment) flowRates(slack time.Duration) []flow.Rate {
	var rates []flow.Rate
	for _, c := range a.experiment.Deployment.Customers {
		burst := c.Burst + int(c.PerSecond*slack.Seconds())
		rates = append(rates, flow.Rate{Name: c.Name, Customer: c.Name, PerSecond: c.PerSecond, Burst: burst})
	}
	return rates
}
