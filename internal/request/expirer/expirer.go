// Package expirer creates contexts whose deadline can be removed: a response
// must begin before the deadline, but once it streams it may take any time.
package expirer

import (
	"context"
	"errors"
	"time"
)

// Expiry is the removable deadline of a context.
type Expiry struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// New returns a context that is cancelled after a timeout with the cause
// context.DeadlineExceeded, unless the deadline is removed first. The caller
// must call Cancel to release the context.
func New(parent context.Context, timeout time.Duration) (context.Context, *Expiry) {
	ctx, cancel := context.WithCancelCause(parent)
	e := &Expiry{cancel: cancel}
	e.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, e
}

// RemoveDeadline prevents the context from expiring. It can still be cancelled.
func (e *Expiry) RemoveDeadline() { e.timer.Stop() }

// Abort cancels the context with a cause.
func (e *Expiry) Abort(cause error) {
	e.timer.Stop()
	e.cancel(cause)
}

// Cancel cancels the context and releases its resources.
func (e *Expiry) Cancel() { e.Abort(nil) }

// Expired reports whether a context ended because its deadline passed.
func Expired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
