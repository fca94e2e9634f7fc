// The fixed limiter: the baseline that learns nothing.

package limiter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

type fixed struct {
	slots int
}

// Limit returns the slots.
func (f fixed) Limit(flow.Time) int { return f.slots }

// Warming is false, since this limiter knows nothing of cold starts.
func (fixed) Warming(flow.Time) bool { return false }

// Observe does nothing.
func (f fixed) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}
