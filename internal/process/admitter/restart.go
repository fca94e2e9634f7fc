// News of the server that does not come with a request.

package admitter

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// Restarted takes a sign that the server was restarted: it ended all connections
// at once. It counts like a connection that could not be opened.
func (g *Gate) Restarted(now flow.Time) {
	g.options.Limiter.Observe(now, now, 0, len(g.flights), flow.VerdictRefused)
}
