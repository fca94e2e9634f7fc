// The Index and the questions that it answers.

package indexer

import (
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Index is the configuration of one revision. It is immutable and safe for use
// by many goroutines.
type Index struct {
	revision  flow.Revision
	customers packedTable // by name
	keys      packedTable // by hash
	rates     packedTable // by customer
	routes    table       // []*flow.Route by path prefix, sorted by name
	services  table       // *serviceNode by name
	hosts     table       // *hostNode by name
	zones     table       // *zoneNode by name
	members   map[string]MemberList
}

// KeyEntry is what a key stands for.
type KeyEntry struct {
	Name     string
	Customer string
}

// ServerEntry is a backend server with the host and the availability zone that
// it is in.
type ServerEntry struct {
	Server *flow.BackendServer
	Host   *flow.Host
	Zone   *flow.AvailabilityZone
}

// AcceptsNewRequests reports whether neither the backend server nor its host is
// leaving and the availability zone is in service.
func (e ServerEntry) AcceptsNewRequests() bool {
	return e.Server.State == flow.MemberLive && e.Host.State == flow.MemberLive && e.Zone.State == flow.ZoneIn
}

// MemberList is the list of the live hosts of a region.
type MemberList struct {
	Names []string // sorted

	// Revision is that of the newest change that may have changed the list. A
	// host or availability zone whose record changed in any way counts, since
	// versions in between may have gone unseen.
	Revision flow.Revision

	Hash uint64 // of Names
}

// Contains reports whether a host is in the list.
func (l MemberList) Contains(host string) bool {
	_, found := slices.BinarySearch(l.Names, host)
	return found
}

// Empty returns the Index of revision 0, which holds nothing.
func Empty() *Index {
	return &Index{
		routes:   newTable(someShards),
		services: newTable(someShards),
		hosts:    newTable(someShards),
		zones:    newTable(oneShard),
	}
}

// Revision returns the revision of the Index.
func (x *Index) Revision() flow.Revision { return x.revision }

// -----------------------------------------------------------------------------

// KeyByHash returns the key with a SHA-256 hash. A withdrawn key is not found.
// Nor is one whose hash several records hold, when one of them is withdrawn or
// they name different customers.
func (x *Index) KeyByHash(hash [32]byte) (KeyEntry, bool) {
	first, rest, found := x.keys.find(string(hash[:]))
	if !found || first.rest[:1] == keyWithdrawn {
		return KeyEntry{}, false
	}
	for rest != "" {
		var row packedRow
		row, rest = nextRow(rest)
		if row.key != first.key {
			break
		}
		if row.rest != first.rest {
			return KeyEntry{}, false
		}
	}
	return KeyEntry{Name: first.name, Customer: first.rest[1:]}, true
}

// Customer returns the record of a customer. It is small enough to be inlined,
// so that a caller that keeps the record to itself has it on its stack.
func (x *Index) Customer(name string) (*flow.Customer, bool) {
	customer := new(flow.Customer)
	if !x.readCustomer(name, customer) {
		return nil, false
	}
	return customer, true
}

// readCustomer is kept out of Customer, which it would make too large.
//
//go:noinline
func (x *Index) readCustomer(name string, customer *flow.Customer) bool {
	row, _, found := x.customers.find(name)
	customer.Name, customer.Description = row.key, row.rest
	return found
}

// RateOf returns the rate of a customer. Of several it returns the one whose
// name sorts first. It is small enough to be inlined, as Customer is.
func (x *Index) RateOf(customer string) (*flow.Rate, bool) {
	rate := new(flow.Rate)
	if !x.readRate(customer, rate) {
		return nil, false
	}
	return rate, true
}

func (x *Index) readRate(customer string, rate *flow.Rate) bool {
	row, _, found := x.rates.find(customer)
	if found {
		row.readRate(rate)
	}
	return found
}

// Service returns the record of a service.
func (x *Index) Service(name string) (*flow.Service, bool) {
	node, ok := x.services.get(name).(*serviceNode)
	if !ok || node.record == nil {
		return nil, false
	}
	return node.record, true
}

// Servers returns the backend servers of a service, sorted by name: those whose
// host and availability zone have records. There are none without the record
// of the service.
func (x *Index) Servers(service string) []ServerEntry {
	node, ok := x.services.get(service).(*serviceNode)
	if !ok || node.record == nil {
		return nil
	}
	return node.entries
}

// ServersOfHost returns the backend servers of a host, sorted by name, whether
// or not their services have records. There are none without the records of
// the host and its availability zone.
func (x *Index) ServersOfHost(host string) []ServerEntry {
	node, ok := x.hosts.get(host).(*hostNode)
	if !ok || node.record == nil {
		return nil
	}
	zone, ok := x.Zone(node.record.AvailabilityZone)
	if !ok {
		return nil
	}
	entries := make([]ServerEntry, len(node.servers))
	for i, server := range node.servers {
		entries[i] = ServerEntry{Server: server, Host: node.record, Zone: zone}
	}
	return entries
}

// Host returns the record of a host.
func (x *Index) Host(name string) (*flow.Host, bool) {
	node, ok := x.hosts.get(name).(*hostNode)
	if !ok || node.record == nil {
		return nil, false
	}
	return node.record, true
}

// Zone returns the record of an availability zone.
func (x *Index) Zone(name string) (*flow.AvailabilityZone, bool) {
	node, ok := x.zones.get(name).(*zoneNode)
	if !ok || node.record == nil {
		return nil, false
	}
	return node.record, true
}

// Zones returns the records of all availability zones, sorted by name.
func (x *Index) Zones() []*flow.AvailabilityZone {
	var zones []*flow.AvailabilityZone
	for _, shard := range x.zones.shards {
		for _, node := range shard {
			if record := node.(*zoneNode).record; record != nil {
				zones = append(zones, record)
			}
		}
	}
	slices.SortFunc(zones, func(a, b *flow.AvailabilityZone) int { return strings.Compare(a.Name, b.Name) })
	return zones
}

// Regions returns the names of all regions that have an availability zone,
// sorted.
func (x *Index) Regions() []string {
	regions := make([]string, 0, len(x.members))
	for region := range x.members {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	return regions
}

// MemberList returns the list of the live hosts of a region.
func (x *Index) MemberList(region string) MemberList { return x.members[region] }

// HostsOfRegion returns the names of the live hosts of a region, sorted.
func (x *Index) HostsOfRegion(region string) []string { return x.members[region].Names }
