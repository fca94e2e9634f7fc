// Restarts of the server that show only in its connections.

package admitter

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// Restarted records a sign that the server has restarted: all its connections
// ended at once. It counts like a connection that could not be opened.
func (g *Gate) Restarted(now flow.Time) {
	g.options.Limiter.Observe(now, now, 0, len(g.inFlight), flow.VerdictRefused)
}
