package indexer

import (
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Index is the configuration of one revision. It is immutable and safe for
// concurrent use.
type Index struct {
	revision    flow.Revision
	customers   packedTable  // by name
	keys        packedTable  // by hash
	rates       packedTable  // by customer
	routes      shardedTable // []*flow.Route by path prefix, sorted by name
	services    shardedTable // *serviceNode by name
	hosts       shardedTable // *hostNode by name
	zones       shardedTable // *zoneNode by name
	memberLists map[string]MemberList
}

// KeyEntry is the name of a key and of the customer that it belongs to.
type KeyEntry struct {
	Name     string
	Customer string
}

// ServerEntry is a backend server with its host and availability zone.
type ServerEntry struct {
	Server *flow.BackendServer
	Host   *flow.Host
	Zone   *flow.AvailabilityZone
}

// AcceptsNewRequests reports whether the backend server and its host are live
// and the availability zone is in service.
func (e ServerEntry) AcceptsNewRequests() bool {
	return e.Server.State == flow.MemberLive && e.Host.State == flow.MemberLive && e.Zone.State == flow.ZoneIn
}

// MemberList lists the live hosts of a region.
type MemberList struct {
	Names []string // sorted

	// Revision is that of the newest change that may have affected the list. Any
	// change of the record of a host or an availability zone counts, since
	// versions in between may have been missed.
	Revision flow.Revision

	Hash uint64 // of Names
}

// Contains reports whether a host is in the list.
func (l MemberList) Contains(host string) bool {
	_, found := slices.BinarySearch(l.Names, host)
	return found
}

// Empty returns an Index of revision 0 without records.
func Empty() *Index {
	return &Index{
		routes:   newTable(manyShards),
		services: newTable(manyShards),
		hosts:    newTable(manyShards),
		zones:    newTable(singleShard),
	}
}

// Revision returns the revision of the Index.
func (x *Index) Revision() flow.Revision { return x.revision }

// KeyByHash returns the key with the given SHA-256 hash. It does not find a
// withdrawn key. If several records have the hash, it finds none of them if one
// is withdrawn or if they name different customers.
func (x *Index) KeyByHash(hash [32]byte) (KeyEntry, bool) {
	first, rest, found := x.keys.find(string(hash[:]))
	if !found || first.value[:1] == withdrawnKey {
		return KeyEntry{}, false
	}
	for rest != "" {
		var row packedRow
		row, rest = nextRow(rest)
		if row.key != first.key {
			break
		}
		if row.value != first.value {
			return KeyEntry{}, false
		}
	}
	return KeyEntry{Name: first.name, Customer: first.value[1:]}, true
}

// Customer returns the record of a customer. The function is small enough to be
// inlined, so the record is allocated on the caller's stack if it does not
// escape there.
func (x *Index) Customer(name string) (*flow.Customer, bool) {
	customer := new(flow.Customer)
	if !x.readCustomer(name, customer) {
		return nil, false
	}
	return customer, true
}

// readCustomer is not inlined, so that Customer stays small enough to be.
//
//go:noinline
func (x *Index) readCustomer(name string, customer *flow.Customer) bool {
	row, _, found := x.customers.find(name)
	customer.Name, customer.Description = row.key, row.value
	return found
}

// RateOf returns the rate of a customer. If there are several, it returns the
// one whose name sorts first. The function is small enough to be inlined, like
// Customer.
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

// Servers returns the backend servers of a service whose host and availability
// zone have records, sorted by name. It returns nil if the service has no
// record.
func (x *Index) Servers(service string) []ServerEntry {
	node, ok := x.services.get(service).(*serviceNode)
	if !ok || node.record == nil {
		return nil
	}
	return node.entries
}

// ServersOfHost returns the backend servers of a host, sorted by name, whether
// or not their services have records. It returns nil if the host or its
// availability zone has no record.
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

// Regions returns the sorted names of all regions that have an availability
// zone.
func (x *Index) Regions() []string {
	regions := make([]string, 0, len(x.memberLists))
	for region := range x.memberLists {
		regions = append(regions, region)
	}
	slices.Sort(regions)
	return regions
}

// MemberList returns the live hosts of a region.
func (x *Index) MemberList(region string) MemberList { return x.memberLists[region] }

// HostsOfRegion returns the sorted names of the live hosts of a region.
func (x *Index) HostsOfRegion(region string) []string { return x.memberLists[region].Names }
