// The decision to retry on another server or to give up.

package retrier

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// MinTimeLeft is the minimum time until the deadline for a retry.
	MinTimeLeft = 20 * time.Millisecond
)

// Failure is an attempt of a request that ended without a complete response from the
// backend server.
type Failure struct {
	Reason         flow.Reason   // why there was no response
	Idempotent     bool          // as the route declares for the request's method
	Attempts       int           // attempts made, including this one
	MaxAttempts    int           // for one request, including the first attempt
	ResponseBegun  bool          // a part of a response was sent to the caller
	BodyGone       bool          // the request body cannot be sent again
	TimeLeft       time.Duration // until the deadline
	UntriedServers int           // backend servers that may still be tried
}

// GiveUp is the reason, in kebab case, why a request is not retried. It is empty if the
// request is to be retried.
type GiveUp string

// The reasons to give up, in the order in which they are checked.
const (
	GiveUpNone          GiveUp = ""
	GiveUpRefused       GiveUp = "refused"         // the failure is due to the request or the caller, not to the server
	GiveUpAnswerBegun   GiveUp = "answer-begun"    // a part of a response was sent
	GiveUpMayHaveRun    GiveUp = "may-have-run"    // the request may have run and is not idempotent
	GiveUpBodyGone      GiveUp = "body-gone"       // the request body cannot be sent again
	GiveUpAttempts      GiveUp = "attempts"        // the maximum number of attempts was made
	GiveUpNoOtherServer GiveUp = "no-other-server" // every other server was tried
	GiveUpDeadline      GiveUp = "deadline"        // less than MinTimeLeft is left
	GiveUpBudget        GiveUp = "budget"          // the service's retry budget is used up
)

// Decide returns GiveUpNone if the request is to be retried on another server, and the
// reason otherwise. It calls withdraw last, to take the retry out of the budget.
func Decide(now flow.Time, failure Failure, withdraw func(now flow.Time, notRun bool) bool) GiveUp {
	notRun := certainlyNotRun(failure.Reason)
	switch {
	case !retryableElsewhere(failure.Reason):
		return GiveUpRefused
	case failure.ResponseBegun:
		return GiveUpAnswerBegun
	case !notRun && !failure.Idempotent:
		return GiveUpMayHaveRun
	case failure.BodyGone:
		return GiveUpBodyGone
	case failure.Attempts >= failure.MaxAttempts:
		return GiveUpAttempts
	case failure.UntriedServers < 1:
		return GiveUpNoOtherServer
	case failure.TimeLeft < MinTimeLeft:
		return GiveUpDeadline
	case !withdraw(now, notRun):
		return GiveUpBudget
	}
	return GiveUpNone
}

// certainlyNotRun reports whether a reason proves that the request did not run. An
// unknown reason proves nothing.
func certainlyNotRun(reason flow.Reason) bool {
	row, ok := flow.LookupReason(reason)
	return ok && row.Outcome == flow.OutcomeNotRun
}

// retryableElsewhere reports whether the request might succeed on another server.
func retryableElsewhere(reason flow.Reason) bool {
	switch reason {
	case flow.ReasonNoCapacity, flow.ReasonServerShed, flow.ReasonUnreachable,
		flow.ReasonLeaving, flow.ReasonEjected, flow.ReasonStopping,
		flow.ReasonNoLease, flow.ReasonZoneOut, flow.ReasonPermitLate, flow.ReasonPermitInvalid:
		return true
	case flow.ReasonServerFailed, flow.ReasonAnswerShort, flow.ReasonAnswerForeign, flow.ReasonAnswerMalformed, flow.ReasonTimeout:
		return true
	}
	return false
}
