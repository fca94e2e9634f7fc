// Errors of coltsfootflow carry the step and the peer at which they arose.

package flow

import (
	"errors"
	"fmt"
)

// Step names a step of the work, in kebab case, for errors and logs.
type Step string

// Error is an error with the step and the peer at which it arose. Peer may be
// a file, an address or the name of a host; it is empty when the step involves
// the own process only.
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

// Wrap returns err with its step and peer, or nil when err is nil.
func Wrap(step Step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// NotOwner is the error of a daemon that was asked as the owner of a thing and
// is not, or does not act: the text says which. It is told from other errors
// across a call between daemons.
type NotOwner string

// Error returns the text.
func (e NotOwner) Error() string { return string(e) }

// IsNotOwner reports whether there is a NotOwner in err's chain.
func IsNotOwner(err error) bool {
	var notOwner NotOwner
	return errors.As(err, &notOwner)
}

// -----------------------------------------------------------------------------

// Refusal is an error that ends a request with an answer of coltsfootflow's
// own.
type Refusal struct {
	Reason     Reason
	Step       Step
	Peer       string
	Detail     string
	RetryAfter int // seconds; 0 when there is no advice
}

// Error returns "step: peer: reason: detail".
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s: %s", r.Step, r.Peer, r.Reason, r.Detail)
}

// NotRun reports whether the refused request certainly did not run.
func (r *Refusal) NotRun() bool {
	row, ok := RowOf(r.Reason)
	return ok && row.Outcome == OutcomeNotRun
}

// AsRefusal returns the refusal in err's chain, if there is one.
func AsRefusal(err error) (*Refusal, bool) {
	var refusal *Refusal
	ok := errors.As(err, &refusal)
	return refusal, ok
}
