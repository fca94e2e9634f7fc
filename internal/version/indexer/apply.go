// Apply builds the Index of a later revision. It edits copies of the nodes that
// a change affects and derives everything else once at the end, so the order of
// the changes does not matter.

package indexer

import (
	"maps"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Apply returns a new Index with the changes applied. The Old record of each
// change must be what the Index holds. The receiver does not change.
func (x *Index) Apply(changes []merger.Change, revision flow.Revision) *Index {
	b := newBuilder(x)
	for _, change := range changes {
		b.apply(change)
	}
	b.updateDerived()
	return b.build(revision)
}

// builder builds a changed copy of an Index.
type builder struct {
	old       *Index
	customers *packedTableBuilder
	keys      *packedTableBuilder
	rates     *packedTableBuilder
	routes    *tableBuilder

	// Copies of the nodes that the changes affect.
	services map[string]*serviceNode
	hosts    map[string]*hostNode
	zones    map[string]*zoneNode

	// Newest revisions that affect the member lists of regions.
	zoneRevisions      map[string]flow.Revision // by availability zone
	allRegionsRevision flow.Revision            // of changes that may affect any region

	serviceTable *tableBuilder
	hostTable    *tableBuilder
	zoneTable    *tableBuilder
	memberLists  map[string]MemberList
}

func newBuilder(x *Index) *builder {
	return &builder{
		old:           x,
		customers:     x.customers.builder(),
		keys:          x.keys.builder(),
		rates:         x.rates.builder(),
		routes:        x.routes.builder(),
		services:      make(map[string]*serviceNode),
		hosts:         make(map[string]*hostNode),
		zones:         make(map[string]*zoneNode),
		zoneRevisions: make(map[string]flow.Revision),
		serviceTable:  x.services.builder(),
		hostTable:     x.hosts.builder(),
		zoneTable:     x.zones.builder(),
		memberLists:   x.memberLists,
	}
}

func (b *builder) build(revision flow.Revision) *Index {
	return &Index{
		revision:    revision,
		customers:   b.customers.packedTable,
		keys:        b.keys.packedTable,
		rates:       b.rates.packedTable,
		routes:      b.routes.shardedTable,
		services:    b.serviceTable.shardedTable,
		hosts:       b.hostTable.shardedTable,
		zones:       b.zoneTable.shardedTable,
		memberLists: b.memberLists,
	}
}

// apply removes the old record of a change and adds the new one.
func (b *builder) apply(change merger.Change) {
	if change.Old == nil && change.New == nil {
		b.recordUnseen(change)
		return
	}
	if change.Old != nil {
		b.remove(change.Old, change.Revision)
	}
	if change.New != nil {
		b.add(change.New, change.Revision)
	}
}

// recordUnseen records a change whose content was missed. If it may concern a
// host or an availability zone, it may have affected the member list of any
// region.
func (b *builder) recordUnseen(change merger.Change) {
	switch change.ID.Kind {
	case "", flow.KindHost, flow.KindAvailabilityZone:
		b.allRegionsRevision = max(b.allRegionsRevision, change.Revision)
	}
}

func (b *builder) remove(record flow.Record, revision flow.Revision) {
	switch record := record.(type) {
	case *flow.Customer:
		b.customers.remove(record.Name, "")
	case *flow.Key:
		b.removeKey(record)
	case *flow.Rate:
		b.rates.remove(record.Customer, record.Name)
	case *flow.Route:
		b.setRoute(record.PathPrefix, record.Name, nil)
	case *flow.Service:
		b.service(record.Name).record = nil
	case *flow.AvailabilityZone:
		b.setZone(record.Name, nil, revision)
	case *flow.Host:
		b.host(record.Name).record = nil
		zone := b.zone(record.AvailabilityZone, revision)
		zone.hosts = deleteName(zone.hosts, record.Name)
	case *flow.BackendServer:
		service, host := b.service(record.Service), b.host(record.Host)
		service.servers = deleteServer(service.servers, record.Name)
		host.servers = deleteServer(host.servers, record.Name)
	}
}

func (b *builder) add(record flow.Record, revision flow.Revision) {
	switch record := record.(type) {
	case *flow.Customer:
		b.customers.set(customerRow(record))
	case *flow.Key:
		b.addKey(record)
	case *flow.Rate:
		b.rates.set(rateRow(record))
	case *flow.Route:
		b.setRoute(record.PathPrefix, record.Name, record)
	case *flow.Service:
		b.service(record.Name).record = record
	case *flow.AvailabilityZone:
		b.setZone(record.Name, record, revision)
	case *flow.Host:
		b.host(record.Name).record = record
		zone := b.zone(record.AvailabilityZone, revision)
		zone.hosts = insertName(zone.hosts, record.Name)
	case *flow.BackendServer:
		b.addServer(record)
	}
}

func (b *builder) removeKey(key *flow.Key) {
	if row, ok := keyRow(key); ok {
		b.keys.remove(row.key, row.name)
	}
}

func (b *builder) addKey(key *flow.Key) {
	if row, ok := keyRow(key); ok {
		b.keys.set(row)
	}
}

// addServer adds a copy of a backend server. To save memory, the copy shares
// the names of its service and host with the other servers there.
func (b *builder) addServer(record *flow.BackendServer) {
	service, host := b.service(record.Service), b.host(record.Host)
	server := *record
	server.Service = service.sharedName(record.Service)
	server.Host = host.sharedName(record.Host)
	service.servers = insertServer(service.servers, &server)
	host.servers = insertServer(host.servers, &server)
}

// setRoute replaces the route with the given name and prefix. A nil route
// removes it.
func (b *builder) setRoute(prefix, name string, route *flow.Route) {
	routes, _ := b.routes.get(prefix).([]*flow.Route)
	list := replaceRoute(routes, name, route)
	if len(list) == 0 {
		b.routes.set(prefix, nil)
		return
	}
	b.routes.set(prefix, list)
}

// service returns a copy of a service's node that may be changed.
func (b *builder) service(name string) *serviceNode {
	if node, ok := b.services[name]; ok {
		return node
	}
	node := &serviceNode{}
	if old, ok := b.old.services.get(name).(*serviceNode); ok {
		node.record = old.record
		node.servers = slices.Clone(old.servers)
	}
	b.services[name] = node
	return node
}

// host returns a copy of a host's node that may be changed.
func (b *builder) host(name string) *hostNode {
	if node, ok := b.hosts[name]; ok {
		return node
	}
	node := &hostNode{}
	if old, ok := b.old.hosts.get(name).(*hostNode); ok {
		node.record = old.record
		node.servers = slices.Clone(old.servers)
	}
	b.hosts[name] = node
	return node
}

// zone returns a copy of an availability zone's node that may be changed. It
// records the revision as one that affects the zone's region.
func (b *builder) zone(name string, revision flow.Revision) *zoneNode {
	b.zoneRevisions[name] = max(b.zoneRevisions[name], revision)
	if node, ok := b.zones[name]; ok {
		return node
	}
	node := &zoneNode{}
	if old, ok := b.old.zones.get(name).(*zoneNode); ok {
		node.record = old.record
		node.hosts = slices.Clone(old.hosts)
	}
	b.zones[name] = node
	return node
}

// setZone replaces the record of an availability zone. It also copies the nodes
// of the zone's hosts, so that the services of these are updated.
func (b *builder) setZone(name string, record *flow.AvailabilityZone, revision flow.Revision) {
	node := b.zone(name, revision)
	node.record = record
	for _, host := range node.hosts {
		b.host(host)
	}
}

// updateDerived updates the tables and everything else that depends on the
// changed nodes.
func (b *builder) updateDerived() {
	b.touchServicesOfHosts()
	b.storeZones()
	b.storeHosts()
	b.storeServices()
	b.updateMemberLists()
}

// touchServicesOfHosts copies the nodes of all services with a server on a
// copied host, so that their entries are updated.
func (b *builder) touchServicesOfHosts() {
	for _, host := range b.hosts {
		for _, server := range host.servers {
			b.service(server.Service)
		}
	}
}

func (b *builder) storeZones() {
	for name, node := range b.zones {
		b.zoneTable.store(name, node)
	}
}

func (b *builder) storeHosts() {
	for name, node := range b.hosts {
		b.hostTable.store(name, node)
	}
}

func (b *builder) storeServices() {
	for name, node := range b.services {
		node.entries = b.entries(node.servers)
		b.serviceTable.store(name, node)
	}
}

// entries returns the backend servers whose host and zone have records.
func (b *builder) entries(servers []*flow.BackendServer) []ServerEntry {
	entries := make([]ServerEntry, 0, len(servers))
	for _, server := range servers {
		host, ok := b.hostTable.get(server.Host).(*hostNode)
		if !ok || host.record == nil {
			continue
		}
		zone, ok := b.zoneTable.get(host.record.AvailabilityZone).(*zoneNode)
		if !ok || zone.record == nil {
			continue
		}
		entries = append(entries, ServerEntry{Server: server, Host: host.record, Zone: zone.record})
	}
	return entries
}

// updateMemberLists updates the member lists of the affected regions.
func (b *builder) updateMemberLists() {
	touched := b.touchedRegions()
	if len(touched) == 0 {
		return
	}
	b.memberLists = maps.Clone(b.memberLists)
	if b.memberLists == nil {
		b.memberLists = make(map[string]MemberList)
	}
	for region, revision := range touched {
		names, exists := b.liveHosts(region)
		if !exists {
			delete(b.memberLists, region)
			continue
		}
		revision = max(revision, b.memberLists[region].Revision)
		b.memberLists[region] = MemberList{Names: names, Revision: revision, Hash: hashNames(names)}
	}
}

// touchedRegions returns the affected regions, each with the highest revision
// that affects it.
func (b *builder) touchedRegions() map[string]flow.Revision {
	touched := make(map[string]flow.Revision)
	for name, revision := range b.zoneRevisions {
		if old, ok := b.old.Zone(name); ok {
			touched[old.Region] = max(touched[old.Region], revision)
		}
		if record := b.zones[name].record; record != nil {
			touched[record.Region] = max(touched[record.Region], revision)
		}
	}
	if b.allRegionsRevision == 0 {
		return touched
	}
	for region := range b.memberLists {
		touched[region] = max(touched[region], b.allRegionsRevision)
	}
	for region := range touched {
		touched[region] = max(touched[region], b.allRegionsRevision)
	}
	return touched
}

// liveHosts returns the sorted names of the live hosts of a region, and whether
// the region has an availability zone.
func (b *builder) liveHosts(region string) ([]string, bool) {
	var names []string
	exists := false
	for _, node := range b.zoneTable.shards[0] {
		zone := node.(*zoneNode)
		if zone.record == nil || zone.record.Region != region {
			continue
		}
		exists = true
		for _, name := range zone.hosts {
			host, ok := b.hostTable.get(name).(*hostNode)
			if ok && host.record != nil && host.record.State == flow.MemberLive {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names, exists
}

// hashNames returns the 64-bit FNV-1a hash of the names, each followed by a
// zero byte.
func hashNames(names []string) uint64 {
	hash := uint64(fnvOffset)
	for _, name := range names {
		hash = hashName(hashName(hash, name), "\x00")
	}
	return hash
}
