package cataloger

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// SetRegions sets the region of each availability zone. With an empty table all zones are
// in one region without a name. It must be called before the catalog is shared.
func (c *Catalog) SetRegions(regionOfZone map[string]string) { c.regionOfZone = regionOfZone }

// RegionOf returns the region of an availability zone, or "" if it is unknown.
func (c *Catalog) RegionOf(zone string) string { return c.regionOfZone[zone] }

// HasRegions reports whether the regions of the availability zones are known.
func (c *Catalog) HasRegions() bool { return len(c.regionOfZone) > 0 }

// Allows reports whether requests with the given lists of allowed regions may be handled in
// an availability zone: its region is in each list that is not empty. A zone whose region is
// unknown is in none, unless the regions of all zones are unknown.
func (c *Catalog) Allows(zone string, lists ...[]string) bool {
	if !c.HasRegions() {
		return true
	}
	region := c.regionOfZone[zone]
	for _, allowed := range lists {
		if len(allowed) > 0 && (region == "" || !slices.Contains(allowed, region)) {
			return false
		}
	}
	return true
}

// AllowsRequest reports whether requests of a route and a customer may be handled in an
// availability zone. A route or customer that this version of the configuration does not
// have restricts nothing.
func (c *Catalog) AllowsRequest(zone, route, customer string) bool {
	var ofRoute, ofCustomer []string
	if rule := c.routeByName[route]; rule != nil {
		ofRoute = rule.Regions
	}
	if rule := c.customers[customer]; rule != nil {
		ofCustomer = rule.Regions
	}
	return c.Allows(zone, ofRoute, ofCustomer)
}

// RouteNamed returns a route, or nil if there is none with that name.
func (c *Catalog) RouteNamed(name string) *flow.RouteRule { return c.routeByName[name] }

// RestrictsRegions reports whether a route or a customer has allowed regions.
func (c *Catalog) RestrictsRegions() bool {
	for _, route := range c.routeByName {
		if len(route.Regions) > 0 {
			return true
		}
	}
	for _, customer := range c.customers {
		if len(customer.Regions) > 0 {
			return true
		}
	}
	return false
}
