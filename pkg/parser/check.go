// Records refer to each other by name. A daemon tolerates a reference to a
// record that is missing, since records arrive in any order; operators' tools
// refuse it before anything is published.

package parser

import (
	"fmt"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// CheckRecords checks a whole configuration: every record by itself, the
// references between records, and what may stand only once. It returns one
// error for each fault, whose peer is the record at fault.
func CheckRecords(records []flow.RawRecord) []error {
	checker := newRecordChecker()
	for _, raw := range records {
		if !raw.Deleted {
			checker.add(raw)
		}
	}
	for _, record := range checker.records {
		checker.check(record)
	}
	return checker.errs
}

// recordChecker holds what was seen of a configuration so far.
type recordChecker struct {
	records   []flow.Record
	ids       map[flow.RecordID]bool
	regions   map[string]bool
	rates     map[string]flow.RecordID // by customer
	hashes    map[string]flow.RecordID
	addresses map[string]flow.RecordID
	routes    map[string][]*flow.Route // by path prefix
	errs      []error
}

func newRecordChecker() *recordChecker {
	return &recordChecker{
		ids:       make(map[flow.RecordID]bool),
		regions:   make(map[string]bool),
		rates:     make(map[string]flow.RecordID),
		hashes:    make(map[string]flow.RecordID),
		addresses: make(map[string]flow.RecordID),
		routes:    make(map[string][]*flow.Route),
	}
}

// add parses a record and notes what others may refer to.
func (c *recordChecker) add(raw flow.RawRecord) {
	if c.ids[raw.ID()] {
		c.fail(raw.ID(), "stands twice")
		return
	}
	c.ids[raw.ID()] = true
	record, err := ParseRecord(raw)
	if err != nil {
		c.errs = append(c.errs, err)
		return
	}
	c.records = append(c.records, record)
	if zone, ok := record.(*flow.AvailabilityZone); ok {
		c.regions[zone.Region] = true
	}
}

func (c *recordChecker) check(record flow.Record) {
	id := record.ID()
	switch record := record.(type) {
	case *flow.Key:
		c.refer(id, "customer", flow.KindCustomer, record.Customer)
		c.once(c.hashes, record.Hash, id, "hash")
	case *flow.Rate:
		c.checkRate(record)
	case *flow.Route:
		c.refer(id, "service", flow.KindService, record.Service)
		c.checkOverlap(record)
	case *flow.Host:
		c.refer(id, "availability-zone", flow.KindAvailabilityZone, record.AvailabilityZone)
		c.once(c.addresses, record.PeerAddress, id, "peer-address")
		c.once(c.addresses, record.DataAddress, id, "data-address")
	case *flow.BackendServer:
		c.refer(id, "service", flow.KindService, record.Service)
		c.refer(id, "host", flow.KindHost, record.Host)
		c.once(c.addresses, record.Address, id, "address")
	}
}

func (c *recordChecker) checkRate(rate *flow.Rate) {
	c.refer(rate.ID(), "customer", flow.KindCustomer, rate.Customer)
	c.once(c.rates, rate.Customer, rate.ID(), "customer")
	var unknown []string
	for region := range rate.RegionShares {
		if !c.regions[region] {
			unknown = append(unknown, region)
		}
	}
	slices.Sort(unknown)
	for _, region := range unknown {
		c.fail(rate.ID(), "region-shares: no availability zone is in region "+region)
	}
}

// checkOverlap reports routes with one prefix and a method in common.
func (c *recordChecker) checkOverlap(route *flow.Route) {
	for _, other := range c.routes[route.PathPrefix] {
		if methodsOverlap(route.Methods, other.Methods) {
			c.fail(route.ID(), "path-prefix: has the prefix "+route.PathPrefix+" and a method in common with "+describeID(other.ID()))
		}
	}
	c.routes[route.PathPrefix] = append(c.routes[route.PathPrefix], route)
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// refer reports a reference to a record that is not there.
func (c *recordChecker) refer(id flow.RecordID, name string, kind flow.Kind, target string) {
	if !c.ids[flow.RecordID{Kind: kind, Name: target}] {
		c.fail(id, fmt.Sprintf("%s: there is no %s", name, describeID(flow.RecordID{Kind: kind, Name: target})))
	}
}

// once reports a value that another record holds already.
func (c *recordChecker) once(seen map[string]flow.RecordID, value string, id flow.RecordID, name string) {
	if other, twice := seen[value]; twice {
		c.fail(id, fmt.Sprintf("%s: %s is that of %s already", name, value, describeID(other)))
		return
	}
	seen[value] = id
}

func (c *recordChecker) fail(id flow.RecordID, problem string) {
	c.errs = append(c.errs, flow.Wrap(StepCheckRecords, describeID(id), &Fault{Problem: problem}))
}
