// Check of the outcomes that callers received against what ran.

package checker

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Run is one run of a request, as a backend server recorded it.
type Run struct {
	RequestID      string
	Server         string
	Idempotent     bool
	IdempotencyKey string // empty when the caller sent none
	Digest         string // of the complete body of the response
	Length         int64  // of the complete body of the response, in bytes
}

// Result is what one caller received for one request.
type Result struct {
	RequestID      string
	Idempotent     bool
	IdempotencyKey string // empty when the caller sent none
	Outcome        flow.Outcome
	AnswerFor      string // id of the request that the backend server wrote into the response
	Digest         string // of the received body
	Length         int64  // of the received body, in bytes
}

// Fault is a kind of violated guarantee, in kebab case.
type Fault string

// The faults.
const (
	// FaultRanTwice means that a request that is not idempotent, or an
	// idempotency key, ran more than once.
	FaultRanTwice Fault = "ran-twice"
	// FaultRanDespiteNotRun means that a request ran whose caller was told that it
	// did not.
	FaultRanDespiteNotRun Fault = "not-run-ran"
	// FaultAnsweredWithoutRun means that a request was answered but never ran.
	FaultAnsweredWithoutRun Fault = "answered-not-run"
	// FaultAnswerTruncated means that a response with missing bytes was passed on
	// as complete.
	FaultAnswerTruncated Fault = "answer-short"
	// FaultAnswerMismatch means that the response was to another request, or that
	// no run of the request gave it.
	FaultAnswerMismatch Fault = "answer-foreign"
	// FaultRanWithoutRequest means that a request ran that no caller in the log
	// sent.
	FaultRanWithoutRequest Fault = "ran-untold"
	// FaultOutcomeUndefined means that the outcome is not one that flow defines.
	FaultOutcomeUndefined Fault = "outcome-undefined"
)

// OutcomeViolation is a violated guarantee about one request or idempotency key. It
// is an error.
type OutcomeViolation struct {
	Fault     Fault
	RequestID string // or the idempotency key, when the fault spans requests
	Servers   []string
	Detail    string
}

// Error describes the violation.
func (v OutcomeViolation) Error() string {
	return fmt.Sprintf("check-outcomes: %v: %s: request %s: %s", v.Servers, v.Fault, v.RequestID, v.Detail)
}

// CheckOutcomes compares the runs on backend servers with the results that callers
// received, and returns the violations ordered by request. A replayed response to a
// request with an idempotency key is checked against the runs of the key.
func CheckOutcomes(runs []Run, results []Result) []OutcomeViolation {
	c := outcomeCheck{byRequest: map[string][]Run{}, byKey: map[string][]Run{}, requested: map[string]bool{}}
	for _, run := range runs {
		c.byRequest[run.RequestID] = append(c.byRequest[run.RequestID], run)
		if run.IdempotencyKey != "" {
			c.byKey[run.IdempotencyKey] = append(c.byKey[run.IdempotencyKey], run)
		}
	}
	for _, result := range results {
		c.requested[result.RequestID] = true
		c.checkResult(result)
	}
	c.checkRuns()
	slices.SortFunc(c.violations, compareViolations)
	return c.violations
}

func compareViolations(x, y OutcomeViolation) int {
	return cmp.Or(cmp.Compare(x.RequestID, y.RequestID), cmp.Compare(x.Fault, y.Fault), cmp.Compare(x.Detail, y.Detail))
}

type outcomeCheck struct {
	byRequest  map[string][]Run
	byKey      map[string][]Run
	requested  map[string]bool // by request id
	violations []OutcomeViolation
}

func (c *outcomeCheck) add(fault Fault, id string, runs []Run, detail string) {
	var servers []string
	for _, run := range runs {
		servers = append(servers, run.Server)
	}
	c.violations = append(c.violations, OutcomeViolation{fault, id, servers, detail})
}

func (c *outcomeCheck) checkResult(result Result) {
	runs := c.byRequest[result.RequestID]
	switch result.Outcome {
	case flow.OutcomeNotRun:
		if len(runs) > 0 {
			c.add(FaultRanDespiteNotRun, result.RequestID, runs, fmt.Sprintf("ran %d times", len(runs)))
		}
	case flow.OutcomeAnswered:
		c.checkAnswer(result, runs)
	case flow.OutcomeUnknown:
	default:
		c.add(FaultOutcomeUndefined, result.RequestID, runs, fmt.Sprintf("the caller received %q", result.Outcome))
	}
}

func (c *outcomeCheck) checkAnswer(result Result, runs []Run) {
	if result.IdempotencyKey != "" && len(runs) == 0 {
		runs = c.byKey[result.IdempotencyKey]
	}
	if len(runs) == 0 {
		c.add(FaultAnsweredWithoutRun, result.RequestID, nil, "no run is recorded")
		return
	}
	var matching []Run
	for _, run := range runs {
		if run.RequestID == result.AnswerFor {
			matching = append(matching, run)
		}
	}
	if len(matching) == 0 {
		c.add(FaultAnswerMismatch, result.RequestID, runs, "answer is for request "+result.AnswerFor)
		return
	}
	shortest := matching[0].Length
	for _, run := range matching {
		if run.Digest == result.Digest && run.Length == result.Length {
			return
		}
		shortest = min(shortest, run.Length)
	}
	if result.Length < shortest {
		c.add(FaultAnswerTruncated, result.RequestID, matching, fmt.Sprintf("%d of %d bytes", result.Length, shortest))
		return
	}
	c.add(FaultAnswerMismatch, result.RequestID, matching, "no run gave this body")
}

func (c *outcomeCheck) checkRuns() {
	for id, runs := range c.byRequest {
		if len(runs) > 1 && !allIdempotent(runs) {
			c.add(FaultRanTwice, id, runs, fmt.Sprintf("ran %d times", len(runs)))
		}
		if !c.requested[id] {
			c.add(FaultRanWithoutRequest, id, runs, "no caller in the log sent it")
		}
	}
	for key, runs := range c.byKey {
		if distinctRequests(runs) > 1 && !allIdempotent(runs) {
			c.add(FaultRanTwice, key, runs, fmt.Sprintf("idempotency key ran %d times", len(runs)))
		}
	}
}

func allIdempotent(runs []Run) bool {
	for _, run := range runs {
		if !run.Idempotent {
			return false
		}
	}
	return true
}

func distinctRequests(runs []Run) int {
	ids := map[string]bool{}
	for _, run := range runs {
		ids[run.RequestID] = true
	}
	return len(ids)
}
