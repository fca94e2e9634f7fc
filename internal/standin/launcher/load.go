// Traffic of callers that goes on while a test disturbs the fleet.

package launcher

import (
	"context"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
)

// Load is traffic under way.
type Load struct {
	caller  *caller.Caller
	cancel  context.CancelFunc
	done    chan struct{}
	summary caller.Summary
	err     error
}

// StartLoad starts traffic that ends with its duration, with Stop, or with ctx.
func StartLoad(ctx context.Context, options caller.Options) (*Load, error) {
	callers, err := caller.New(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{caller: callers, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		defer cancel()
		l.summary, l.err = callers.Run(ctx)
	}()
	return l, nil
}

// Wait waits for the end of the traffic and returns its summary.
func (l *Load) Wait() (caller.Summary, error) {
	<-l.done
	return l.summary, l.err
}

// Stop ends the traffic at once; the requests under way are abandoned.
func (l *Load) Stop() (caller.Summary, error) {
	l.cancel()
	return l.Wait()
}

// Records returns the records of the requests that have ended.
func (l *Load) Records() []caller.Record { return l.caller.Records() }
