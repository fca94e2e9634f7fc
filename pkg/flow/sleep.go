// Sleeping that a context can interrupt.

package flow

import (
	"context"
	"time"
)

// Sleep pauses for d or until ctx is done, and reports whether ctx is still live.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
