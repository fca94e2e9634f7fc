// Errors carry the step and the peer at which they arose.

package flow

import (
	"errors"
	"fmt"
)

// Step names an operation in errors and logs, in kebab case.
type Step string

// Error is an error with the step and the peer at which it arose. Peer may be a
// file, an address or the name of a host; it is empty if no other party was
// involved.
type Error struct {
	Step Step
	Peer string
	Err  error
}

// Error returns "step: peer: cause".
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err as an *Error with a step and peer, or nil if err is nil.
func Wrap(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// ResponseError is the error of a call that was answered, but refused: the other end can be
// reached.
type ResponseError struct{ Status string }

// Error returns a text with the status.
func (e *ResponseError) Error() string { return "the response has status " + e.Status }

// IsResponseError reports whether err's chain holds a ResponseError.
func IsResponseError(err error) bool {
	var response *ResponseError
	return errors.As(err, &response)
}

// NotOwnerError is returned by a daemon that was called as the owner of a resource
// and is not the owner, or may not act as one; the text says which. Calls between
// daemons preserve the type.
type NotOwnerError string

// Error returns the text unchanged.
func (e NotOwnerError) Error() string { return string(e) }

// IsNotOwner reports whether err's chain holds a NotOwnerError.
func IsNotOwner(err error) bool {
	var notOwner NotOwnerError
	return errors.As(err, &notOwner)
}

// Refusal is an error that ends a request with a response that coltsfootflow
// generates itself.
type Refusal struct {
	Reason     Reason
	Step       Step
	Peer       string
	Detail     string
	RetryAfter int // seconds; 0 for no advice
}

// Error returns "step: peer: reason: detail".
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s: %s", r.Step, r.Peer, r.Reason, r.Detail)
}

// NotRun reports whether it is certain that the refused request did not run.
func (r *Refusal) NotRun() bool {
	row, ok := LookupReason(r.Reason)
	return ok && row.Outcome == OutcomeNotRun
}

// AsRefusal returns the first Refusal in err's chain, and false if there is none.
func AsRefusal(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}
