// The check of outcomes.

package checker

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Ran is one run of a request, as a backend server recorded it.
type Ran struct {
	RequestID      string
	Server         string
	Idempotent     bool
	IdempotencyKey string // empty when the caller sent none
	Digest         string // of the whole body of the answer
	Length         int64  // bytes of the whole body of the answer
}

// Told is what one caller was told about one request that it sent.
type Told struct {
	RequestID      string
	Idempotent     bool
	IdempotencyKey string // empty when the caller sent none
	Outcome        flow.Outcome
	AnswerFor      string // request id that the backend server wrote into the answer
	Digest         string // of the body received
	Length         int64  // bytes received
}

// Fault names what is wrong with an outcome, in kebab case.
type Fault string

// The faults.
const (
	// FaultRanTwice is a request, or an idempotency key, that is not idempotent
	// and ran more than once.
	FaultRanTwice Fault = "ran-twice"
	// FaultNotRunRan is a request told as not run that ran.
	FaultNotRunRan Fault = "not-run-ran"
	// FaultAnsweredNotRun is an answer to a request that never ran.
	FaultAnsweredNotRun Fault = "answered-not-run"
	// FaultAnswerShort is an answer passed as whole with bytes missing.
	FaultAnswerShort Fault = "answer-short"
	// FaultAnswerForeign is an answer to another request, or one that no run of
	// the request gave.
	FaultAnswerForeign Fault = "answer-foreign"
	// FaultRanUntold is a run of a request that no caller in the log sent.
	FaultRanUntold Fault = "ran-untold"
	// FaultOutcomeUndefined is an outcome that is none of the defined ones.
	FaultOutcomeUndefined Fault = "outcome-undefined"
)

// OutcomeViolation is one broken promise about one request. It is an error.
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

// CheckOutcomes joins what backend servers ran with what callers were told and
// returns what contradicts the promises, ordered by request. A request that was
// answered from the memory of its idempotency key counts as run by the request
// that ran under the key.
func CheckOutcomes(ran []Ran, told []Told) []OutcomeViolation {
	c := outcomeCheck{byRequest: map[string][]Ran{}, byKey: map[string][]Ran{}, told: map[string]bool{}}
	for _, run := range ran {
		c.byRequest[run.RequestID] = append(c.byRequest[run.RequestID], run)
		if run.IdempotencyKey != "" {
			c.byKey[run.IdempotencyKey] = append(c.byKey[run.IdempotencyKey], run)
		}
	}
	for _, tell := range told {
		c.told[tell.RequestID] = true
		c.checkTold(tell)
	}
	c.checkRuns()
	slices.SortFunc(c.violations, compareViolations)
	return c.violations
}

func compareViolations(x, y OutcomeViolation) int {
	return cmp.Or(cmp.Compare(x.RequestID, y.RequestID), cmp.Compare(x.Fault, y.Fault), cmp.Compare(x.Detail, y.Detail))
}

// -----------------------------------------------------------------------------

type outcomeCheck struct {
	byRequest  map[string][]Ran
	byKey      map[string][]Ran
	told       map[string]bool
	violations []OutcomeViolation
}

func (c *outcomeCheck) add(fault Fault, id string, runs []Ran, detail string) {
	var servers []string
	for _, run := range runs {
		servers = append(servers, run.Server)
	}
	c.violations = append(c.violations, OutcomeViolation{fault, id, servers, detail})
}

func (c *outcomeCheck) checkTold(tell Told) {
	runs := c.byRequest[tell.RequestID]
	switch tell.Outcome {
	case flow.OutcomeNotRun:
		if len(runs) > 0 {
			c.add(FaultNotRunRan, tell.RequestID, runs, fmt.Sprintf("ran %d times", len(runs)))
		}
	case flow.OutcomeAnswered:
		c.checkAnswer(tell, runs)
	case flow.OutcomeUnknown:
	default:
		c.add(FaultOutcomeUndefined, tell.RequestID, runs, fmt.Sprintf("told %q", tell.Outcome))
	}
}

func (c *outcomeCheck) checkAnswer(tell Told, runs []Ran) {
	if tell.IdempotencyKey != "" && len(runs) == 0 {
		runs = c.byKey[tell.IdempotencyKey]
	}
	if len(runs) == 0 {
		c.add(FaultAnsweredNotRun, tell.RequestID, nil, "no run is recorded")
		return
	}
	var own []Ran
	for _, run := range runs {
		if run.RequestID == tell.AnswerFor {
			own = append(own, run)
		}
	}
	if len(own) == 0 {
		c.add(FaultAnswerForeign, tell.RequestID, runs, "answer is for request "+tell.AnswerFor)
		return
	}
	shortest := own[0].Length
	for _, run := range own {
		if run.Digest == tell.Digest && run.Length == tell.Length {
			return
		}
		shortest = min(shortest, run.Length)
	}
	if tell.Length < shortest {
		c.add(FaultAnswerShort, tell.RequestID, own, fmt.Sprintf("%d of %d bytes", tell.Length, shortest))
		return
	}
	c.add(FaultAnswerForeign, tell.RequestID, own, "no run gave this body")
}

func (c *outcomeCheck) checkRuns() {
	for id, runs := range c.byRequest {
		if len(runs) > 1 && !allIdempotent(runs) {
			c.add(FaultRanTwice, id, runs, fmt.Sprintf("ran %d times", len(runs)))
		}
		if !c.told[id] {
			c.add(FaultRanUntold, id, runs, "no caller in the log sent it")
		}
	}
	for key, runs := range c.byKey {
		if distinctRequests(runs) > 1 && !allIdempotent(runs) {
			c.add(FaultRanTwice, key, runs, fmt.Sprintf("idempotency key ran %d times", len(runs)))
		}
	}
}

func allIdempotent(runs []Ran) bool {
	for _, run := range runs {
		if !run.Idempotent {
			return false
		}
	}
	return true
}

func distinctRequests(runs []Ran) int {
	ids := map[string]bool{}
	for _, run := range runs {
		ids[run.RequestID] = true
	}
	return len(ids)
}
