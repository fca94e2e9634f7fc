// Package expirer makes contexts whose deadline can be lifted: a request must
// have its answer in time, but an answer that has begun to stream may take as
// long as it goes on.
package expirer

import (
	"context"
	"errors"
	"time"
)

// Expiry is the deadline of a context.
type Expiry struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// New returns a context that ends after the given time, with the cause
// context.DeadlineExceeded, unless the expiry is lifted. Cancel has to be called
// in the end.
func New(parent context.Context, after time.Duration) (context.Context, *Expiry) {
	ctx, cancel := context.WithCancelCause(parent)
	e := &Expiry{cancel: cancel}
	e.timer = time.AfterFunc(after, func() { cancel(context.DeadlineExceeded) })
	return ctx, e
}

// RemoveDeadline takes the deadline away.
func (e *Expiry) RemoveDeadline() { e.timer.Stop() }

// Abort ends the context with a cause.
func (e *Expiry) Abort(cause error) {
	e.timer.Stop()
	e.cancel(cause)
}

// Cancel ends the context.
func (e *Expiry) Cancel() { e.Abort(nil) }

// Expired reports whether a context ended because its time was over.
func Expired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
