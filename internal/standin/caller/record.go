// The record of one request: what was sent, what came back, and what the
// caller may conclude.

package caller

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Result names how a request ended for the caller.
type Result string

// The results. NotRun and Unknown are what the answer's outcome header says.
const (
	// Answered is a whole answer of a backend server to the request itself.
	Answered Result = "answered"
	// NotRun is a refusal that says that the request did not run.
	NotRun Result = "not-run"
	// Unknown is a refusal that says that the request may have run.
	Unknown Result = "unknown"
	// Failed is a backend server's answer other than 2xx.
	Failed Result = "failed"
	// Foreign is an answer to another request.
	Foreign Result = "foreign"
	// Short is an answer that is not whole, and was not seen to break off.
	Short Result = "short"
	// Broken is an answer whose connection broke off before its end.
	Broken Result = "broken"
	// Lost is a request whose connection ended without an answer.
	Lost Result = "lost"
	// TimedOut is a request whose answer had not come whole in time.
	TimedOut Result = "timed-out"
	// Unreachable is a request for which no connection could be made.
	Unreachable Result = "unreachable"
	// Abandoned is a request that was under way when the run was ended.
	Abandoned Result = "abandoned"
	// Unsent is a request that was not sent since too many were under way.
	Unsent Result = "unsent"
)

// Record is one request.
type Record struct {
	CallerRequest  string        `json:"caller-request"` // the id that the answer must echo
	Customer       string        `json:"customer"`
	Method         string        `json:"method"`
	Path           string        `json:"path"`
	IdempotencyKey string        `json:"idempotency-key,omitempty"`
	Intended       int64         `json:"intended"`       // nanoseconds of Unix time at which it was to start
	Sent           int64         `json:"sent"`           // nanoseconds of Unix time at which it did start
	LatencyMicros  int64         `json:"latency-micros"` // from the intended start to the end of the answer
	Ingresses      []string      `json:"ingresses"`      // addresses that were asked, in order
	Status         int           `json:"status"`         // 0 without an answer
	Outcome        flow.Outcome  `json:"outcome,omitempty"`
	Reason         flow.Reason   `json:"reason,omitempty"`
	RequestID      string        `json:"request-id,omitempty"`
	Server         string        `json:"server,omitempty"` // the backend server that answered
	Result         Result        `json:"result"`
	Own            bool          `json:"own"`              // the answer is to this request
	Whole          bool          `json:"whole"`            // the answer is whole
	Reused         bool          `json:"reused,omitempty"` // it went over a connection that had been used before
	Error          string        `json:"error,omitempty"`
	Latency        time.Duration `json:"-"`
}

// worthAskingAgain reports whether the request certainly did not run, for a
// cause that lies with the ingress asked last.
func (r *Record) worthAskingAgain() bool {
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
