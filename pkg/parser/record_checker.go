// Checks across records, which refer to each other by name. A daemon accepts a
// reference to a missing record, since records arrive in any order; operators'
// tools reject it before publishing.

package parser

import (
	"fmt"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// CheckRecords checks a complete configuration: each record by itself, the
// references between records, and values that must be unique. It returns one
// *flow.Error for each fault, with the record as its peer.
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

// recordChecker holds the records seen so far, and indexes of them.
type recordChecker struct {
	records         []flow.Record
	ids             map[flow.RecordID]bool
	regions         map[string]bool
	rateByCustomer  map[string]flow.RecordID // by name of the customer
	keyByHash       map[string]flow.RecordID
	recordByAddress map[string]flow.RecordID
	routesByPrefix  map[string][]*flow.Route // by path prefix
	errs            []error
}

func newRecordChecker() *recordChecker {
	return &recordChecker{
		ids:             make(map[flow.RecordID]bool),
		regions:         make(map[string]bool),
		rateByCustomer:  make(map[string]flow.RecordID),
		keyByHash:       make(map[string]flow.RecordID),
		recordByAddress: make(map[string]flow.RecordID),
		routesByPrefix:  make(map[string][]*flow.Route),
	}
}

// add parses a record and indexes what other records may refer to.
func (c *recordChecker) add(raw flow.RawRecord) {
	if c.ids[raw.ID()] {
		c.addError(raw.ID(), "appears twice")
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
		c.checkReference(id, "customer", flow.KindCustomer, record.Customer)
		c.checkUnique(c.keyByHash, record.Hash, id, "hash")
	case *flow.Rate:
		c.checkRate(record)
	case *flow.Route:
		c.checkReference(id, "service", flow.KindService, record.Service)
		c.checkOverlap(record)
	case *flow.Host:
		c.checkReference(id, "availability-zone", flow.KindAvailabilityZone, record.AvailabilityZone)
		c.checkUnique(c.recordByAddress, record.PeerAddress, id, "peer-address")
		c.checkUnique(c.recordByAddress, record.DataAddress, id, "data-address")
	case *flow.BackendServer:
		c.checkReference(id, "service", flow.KindService, record.Service)
		c.checkReference(id, "host", flow.KindHost, record.Host)
		c.checkUnique(c.recordByAddress, record.Address, id, "address")
	}
}

func (c *recordChecker) checkRate(rate *flow.Rate) {
	c.checkReference(rate.ID(), "customer", flow.KindCustomer, rate.Customer)
	c.checkUnique(c.rateByCustomer, rate.Customer, rate.ID(), "customer")
	var unknown []string
	for region := range rate.RegionShares {
		if !c.regions[region] {
			unknown = append(unknown, region)
		}
	}
	slices.Sort(unknown)
	for _, region := range unknown {
		c.addError(rate.ID(), "region-shares: no availability zone is in region "+region)
	}
}

// checkOverlap reports earlier routes with the same prefix and a common method.
func (c *recordChecker) checkOverlap(route *flow.Route) {
	for _, other := range c.routesByPrefix[route.PathPrefix] {
		if methodsOverlap(route.Methods, other.Methods) {
			c.addError(route.ID(), "path-prefix: has the prefix "+route.PathPrefix+" and a method in common with "+describeID(other.ID()))
		}
	}
	c.routesByPrefix[route.PathPrefix] = append(c.routesByPrefix[route.PathPrefix], route)
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// checkReference reports a reference to a missing record.
func (c *recordChecker) checkReference(id flow.RecordID, name string, kind flow.Kind, target string) {
	if !c.ids[flow.RecordID{Kind: kind, Name: target}] {
		c.addError(id, fmt.Sprintf("%s: there is no %s", name, describeID(flow.RecordID{Kind: kind, Name: target})))
	}
}

// checkUnique reports a value that an earlier record holds.
func (c *recordChecker) checkUnique(seen map[string]flow.RecordID, value string, id flow.RecordID, name string) {
	if other, duplicate := seen[value]; duplicate {
		c.addError(id, fmt.Sprintf("%s: %s is already used by %s", name, value, describeID(other)))
		return
	}
	seen[value] = id
}

func (c *recordChecker) addError(id flow.RecordID, problem string) {
	c.errs = append(c.errs, flow.Wrap(StepCheckRecords, describeID(id), &Fault{Problem: problem}))
}
