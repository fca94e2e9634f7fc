// The fixed limiter, which does not adapt, kept as a reference for comparisons.

package limiter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

type fixed struct {
	slots int
}

// Limit returns the number of slots.
func (f fixed) Limit(flow.Time) int { return f.slots }

// Warming is always false, because this limiter ignores cold starts.
func (fixed) Warming(flow.Time) bool { return false }

// Observe does nothing.
func (f fixed) Observe(flow.Time, flow.Time, time.Duration, int, flow.Verdict) {}
