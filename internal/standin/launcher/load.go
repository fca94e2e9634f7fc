// Load that runs in the background while a test injects faults.

package launcher

import (
	"context"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
)

// Load is the running load of a caller.
type Load struct {
	generator *caller.Caller
	cancel    context.CancelFunc
	done      chan struct{}
	summary   caller.Summary
	err       error
}

// StartLoad starts load that ends after its duration, by Stop or with ctx. It
// returns an error if the options are invalid.
func StartLoad(ctx context.Context, options caller.Options) (*Load, error) {
	generator, err := caller.New(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{generator: generator, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		defer cancel()
		l.summary, l.err = generator.Run(ctx)
	}()
	return l, nil
}

// Wait waits for the end of the load and returns its summary, and an error if the
// caller's journal could not be written.
func (l *Load) Wait() (caller.Summary, error) {
	<-l.done
	return l.summary, l.err
}

// Stop ends the load at once and returns as Wait does. Requests in flight are
// abandoned.
func (l *Load) Stop() (caller.Summary, error) {
	l.cancel()
	return l.Wait()
}

// Records returns the records of all requests that have ended so far.
func (l *Load) Records() []caller.Record { return l.generator.Records() }
