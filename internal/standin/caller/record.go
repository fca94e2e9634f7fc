// The record of one request: what was sent, what was received, and the result.

package caller

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Result is how a request ended, as seen by the caller.
type Result string

// The results. NotRun and Unknown follow the outcome header of the response.
const (
	// Answered is a complete response of a backend server to this request.
	Answered Result = "answered"
	// NotRun is a refusal of a request that certainly did not run.
	NotRun Result = "not-run"
	// Unknown is a refusal of a request that may have run.
	Unknown Result = "unknown"
	// Failed is a response of a backend server with a status other than 2xx.
	Failed Result = "failed"
	// Foreign is a response to another request.
	Foreign Result = "foreign"
	// Short is an incomplete response that ended without an error.
	Short Result = "short"
	// Broken is a response whose connection ended before it was complete.
	Broken Result = "broken"
	// Lost is a request whose connection ended without a response.
	Lost Result = "lost"
	// TimedOut is a request without a complete response within the timeout.
	TimedOut Result = "timed-out"
	// Unreachable is a request for which no connection could be opened.
	Unreachable Result = "unreachable"
	// Abandoned is a request that was in flight when the run was cancelled.
	Abandoned Result = "abandoned"
	// Unsent is a request that was not sent because too many were in flight.
	Unsent Result = "unsent"
)

// Record is one request.
type Record struct {
	CallerRequest  string        `json:"caller-request"` // the id that the response must echo
	Customer       string        `json:"customer"`
	Method         string        `json:"method"`
	Path           string        `json:"path"`
	IdempotencyKey string        `json:"idempotency-key,omitempty"`
	Intended       int64         `json:"intended"`       // intended start, as Unix time in nanoseconds
	Sent           int64         `json:"sent"`           // actual start, as Unix time in nanoseconds
	LatencyMicros  int64         `json:"latency-micros"` // from the intended start to the end of the response
	Ingresses      []string      `json:"ingresses"`      // addresses that were tried, in order
	Reasons        []flow.Reason `json:"reasons"`        // of the response of each address; empty without a refusal
	Status         int           `json:"status"`         // 0 without a response
	Outcome        flow.Outcome  `json:"outcome,omitempty"`
	Reason         flow.Reason   `json:"reason,omitempty"`
	RequestID      string        `json:"request-id,omitempty"`
	Server         string        `json:"server,omitempty"` // the backend server that responded
	Result         Result        `json:"result"`
	Own            bool          `json:"own"`              // the response belongs to this request
	Whole          bool          `json:"whole"`            // the response is complete
	Reused         bool          `json:"reused,omitempty"` // it was sent over a connection that had been used before
	Error          string        `json:"error,omitempty"`
	Latency        time.Duration `json:"-"`
}

// canTryNext reports whether the request certainly did not run, for a reason that
// concerns only the ingress tried last, so that another may serve it.
func (r *Record) canTryNext() bool {
	if r.Result == Unreachable {
		return true
	}
	if r.Result != NotRun {
		return false
	}
	switch r.Reason {
	case flow.ReasonStopping, flow.ReasonZoneOut, flow.ReasonNoLease:
		return true
	}
	return false
}
