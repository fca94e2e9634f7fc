// Allowed regions of routes and customers.

package dispatcher

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// noRegionRetryAfter is the Retry-After of a request that no listed server may handle. A
// server that has lost its entry is listed again after a renewal, within 1.5 s.
const noRegionRetryAfter = 1500 * time.Millisecond

// regionLists returns the lists of allowed regions that apply to a request: those of its
// route and of its customer, by the given catalog if it still has them.
func (ex *exchange) regionLists(catalog *cataloger.Catalog) [][]string {
	route, customer := ex.route, ex.customer
	if rule := catalog.RouteNamed(route.Name); rule != nil {
		route = rule
	}
	if customer == nil {
		return [][]string{route.Regions}
	}
	if rule := catalog.Customer(customer.Name); rule != nil {
		customer = rule
	}
	return [][]string{route.Regions, customer.Regions}
}

// mayGoTo reports whether a request, or an offer of it, may go to the host of a server. Only
// the ingress itself is exempt from the allowed regions: it may take the request from its
// caller, but not run it on its own backend server.
func (d *Dispatcher) mayGoTo(ex *exchange, server *flow.ServerEntry) bool {
	catalog := d.Catalog()
	return catalog.Allows(server.Zone, ex.regionLists(catalog)...)
}

// allowedServers returns the servers of the request's service in its allowed regions, and
// whether that excludes any.
func (d *Dispatcher) allowedServers(ex *exchange, catalog *cataloger.Catalog) (allowed []*flow.ServerEntry, restricted bool) {
	all := catalog.Servers(ex.service)
	lists := ex.regionLists(catalog)
	if !catalog.HasRegions() || !slices.ContainsFunc(lists, func(list []string) bool { return len(list) > 0 }) {
		return all, false
	}
	for _, server := range all {
		if catalog.Allows(server.Zone, lists...) {
			allowed = append(allowed, server)
		}
	}
	return allowed, true
}

// checkRegions refuses a request if no listed server is in a region that it may be handled
// in.
func (d *Dispatcher) checkRegions(ex *exchange) *flow.Refusal {
	if allowed, restricted := d.allowedServers(ex, d.Catalog()); !restricted || len(allowed) > 0 {
		return nil
	}
	ex.retryAfter = noRegionRetryAfter
	return d.newRefusal(flow.ReasonRegionUnavailable, stepRegions, "no backend server of service "+ex.service+" is in an allowed region")
}

// noServerRefusal returns the refusal of a request that no server accepted. If its allowed
// regions exclude servers and all others are out of reach, its reason says so.
func (d *Dispatcher) noServerRefusal(ex *exchange) *flow.Refusal {
	if allowed, restricted := d.allowedServers(ex, d.Catalog()); restricted {
		var wait time.Duration
		var unreachable bool
		d.updateSelector(func(s *selector.Selector) { wait, unreachable = s.Unreachable(d.Clock.Now(), allowed) })
		if unreachable {
			ex.retryAfter = max(wait, noRegionRetryAfter)
			return d.newRefusal(flow.ReasonRegionUnavailable, stepDispatch, "no backend server in an allowed region can be reached")
		}
	}
	return d.newRefusal(flow.ReasonNoCapacity, stepDispatch, "no backend server takes the request")
}
