// Apply makes the Index of a later revision. It edits copies of the nodes that
// a change touches; what depends on them is worked out once at the end, so that
// the order of the changes does not matter.

package indexer

import (
	"maps"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Apply returns the Index with changes applied. Their Old records must be what
// the Index holds. The Index itself does not change.
func (x *Index) Apply(changes []merger.Change, revision flow.Revision) *Index {
	e := newEdit(x)
	for _, change := range changes {
		e.apply(change)
	}
	e.resolve()
	return e.index(revision)
}

// edit is an Index in the making.
type edit struct {
	old       *Index
	customers *packedEdit
	keys      *packedEdit
	rates     *packedEdit
	routes    *tableEdit

	// Copies of the nodes that were touched.
	services map[string]*serviceNode
	hosts    map[string]*hostNode
	zones    map[string]*zoneNode

	// Revisions of changes that touch the member lists of regions.
	zoneRevisions map[string]flow.Revision // by availability zone
	allRevision   flow.Revision            // of changes that may touch any region

	serviceTable *tableEdit
	hostTable    *tableEdit
	zoneTable    *tableEdit
	members      map[string]MemberList
}

func newEdit(x *Index) *edit {
	return &edit{
		old:           x,
		customers:     x.customers.edit(),
		keys:          x.keys.edit(),
		rates:         x.rates.edit(),
		routes:        x.routes.edit(),
		services:      make(map[string]*serviceNode),
		hosts:         make(map[string]*hostNode),
		zones:         make(map[string]*zoneNode),
		zoneRevisions: make(map[string]flow.Revision),
		serviceTable:  x.services.edit(),
		hostTable:     x.hosts.edit(),
		zoneTable:     x.zones.edit(),
		members:       x.members,
	}
}

func (e *edit) index(revision flow.Revision) *Index {
	return &Index{
		revision:  revision,
		customers: e.customers.packedTable,
		keys:      e.keys.packedTable,
		rates:     e.rates.packedTable,
		routes:    e.routes.table,
		services:  e.serviceTable.table,
		hosts:     e.hostTable.table,
		zones:     e.zoneTable.table,
		members:   e.members,
	}
}

// -----------------------------------------------------------------------------

// apply takes the old record of a change out and puts the new one in.
func (e *edit) apply(change merger.Change) {
	if change.Old == nil && change.New == nil {
		e.noteUnseen(change)
		return
	}
	if change.Old != nil {
		e.remove(change.Old, change.Revision)
	}
	if change.New != nil {
		e.add(change.New, change.Revision)
	}
}

// noteUnseen notes a change whose content was never seen.
func (e *edit) noteUnseen(change merger.Change) {
	switch change.ID.Kind {
	case "", flow.KindHost, flow.KindAvailabilityZone:
		e.allRevision = max(e.allRevision, change.Revision)
	}
}

func (e *edit) remove(record flow.Record, revision flow.Revision) {
	switch record := record.(type) {
	case *flow.Customer:
		e.customers.remove(record.Name, "")
	case *flow.Key:
		e.removeKey(record)
	case *flow.Rate:
		e.rates.remove(record.Customer, record.Name)
	case *flow.Route:
		e.setRoute(record.PathPrefix, record.Name, nil)
	case *flow.Service:
		e.service(record.Name).record = nil
	case *flow.AvailabilityZone:
		e.setZone(record.Name, nil, revision)
	case *flow.Host:
		e.host(record.Name).record = nil
		zone := e.zone(record.AvailabilityZone, revision)
		zone.hosts = withoutName(zone.hosts, record.Name)
	case *flow.BackendServer:
		service, host := e.service(record.Service), e.host(record.Host)
		service.servers = withoutServer(service.servers, record.Name)
		host.servers = withoutServer(host.servers, record.Name)
	}
}

func (e *edit) add(record flow.Record, revision flow.Revision) {
	switch record := record.(type) {
	case *flow.Customer:
		e.customers.set(customerRow(record))
	case *flow.Key:
		e.addKey(record)
	case *flow.Rate:
		e.rates.set(rateRow(record))
	case *flow.Route:
		e.setRoute(record.PathPrefix, record.Name, record)
	case *flow.Service:
		e.service(record.Name).record = record
	case *flow.AvailabilityZone:
		e.setZone(record.Name, record, revision)
	case *flow.Host:
		e.host(record.Name).record = record
		zone := e.zone(record.AvailabilityZone, revision)
		zone.hosts = withName(zone.hosts, record.Name)
	case *flow.BackendServer:
		e.addServer(record)
	}
}

// -----------------------------------------------------------------------------

func (e *edit) removeKey(key *flow.Key) {
	if row, ok := keyRow(key); ok {
		e.keys.remove(row.key, row.name)
	}
}

func (e *edit) addKey(key *flow.Key) {
	if row, ok := keyRow(key); ok {
		e.keys.set(row)
	}
}

// addServer adds a copy of a backend server that shares the names of its service
// and its host with the others there.
func (e *edit) addServer(record *flow.BackendServer) {
	service, host := e.service(record.Service), e.host(record.Host)
	server := *record
	server.Service = service.sharedName(record.Service)
	server.Host = host.sharedName(record.Host)
	service.servers = withServer(service.servers, &server)
	host.servers = withServer(host.servers, &server)
}

// setRoute replaces the route of a name within a prefix; nil removes it.
func (e *edit) setRoute(prefix, name string, route *flow.Route) {
	routes, _ := e.routes.get(prefix).([]*flow.Route)
	list := routeList(routes, name, route)
	if len(list) == 0 {
		e.routes.set(prefix, nil)
		return
	}
	e.routes.set(prefix, list)
}

// -----------------------------------------------------------------------------

// service returns the node of a service for changing.
func (e *edit) service(name string) *serviceNode {
	if node, ok := e.services[name]; ok {
		return node
	}
	node := &serviceNode{}
	if old, ok := e.old.services.get(name).(*serviceNode); ok {
		node.record = old.record
		node.servers = slices.Clone(old.servers)
	}
	e.services[name] = node
	return node
}

// host returns the node of a host for changing.
func (e *edit) host(name string) *hostNode {
	if node, ok := e.hosts[name]; ok {
		return node
	}
	node := &hostNode{}
	if old, ok := e.old.hosts.get(name).(*hostNode); ok {
		node.record = old.record
		node.servers = slices.Clone(old.servers)
	}
	e.hosts[name] = node
	return node
}

// zone returns the node of an availability zone for changing, and notes that a
// change of a revision touches it.
func (e *edit) zone(name string, revision flow.Revision) *zoneNode {
	e.zoneRevisions[name] = max(e.zoneRevisions[name], revision)
	if node, ok := e.zones[name]; ok {
		return node
	}
	node := &zoneNode{}
	if old, ok := e.old.zones.get(name).(*zoneNode); ok {
		node.record = old.record
		node.hosts = slices.Clone(old.hosts)
	}
	e.zones[name] = node
	return node
}

// setZone replaces the record of an availability zone and touches its hosts.
func (e *edit) setZone(name string, record *flow.AvailabilityZone, revision flow.Revision) {
	node := e.zone(name, revision)
	node.record = record
	for _, host := range node.hosts {
		e.host(host)
	}
}

// -----------------------------------------------------------------------------

// resolve works out what depends on the nodes that were touched.
func (e *edit) resolve() {
	e.touchServices()
	e.storeZones()
	e.storeHosts()
	e.storeServices()
	e.resolveMembers()
}

// touchServices touches the services of touched hosts.
func (e *edit) touchServices() {
	for _, host := range e.hosts {
		for _, server := range host.servers {
			e.service(server.Service)
		}
	}
}

func (e *edit) storeZones() {
	for name, node := range e.zones {
		e.zoneTable.store(name, node)
	}
}

func (e *edit) storeHosts() {
	for name, node := range e.hosts {
		e.hostTable.store(name, node)
	}
}

func (e *edit) storeServices() {
	for name, node := range e.services {
		node.entries = e.entries(node.servers)
		e.serviceTable.store(name, node)
	}
}

// entries returns the backend servers whose host and zone have records.
func (e *edit) entries(servers []*flow.BackendServer) []ServerEntry {
	entries := make([]ServerEntry, 0, len(servers))
	for _, server := range servers {
		host, ok := e.hostTable.get(server.Host).(*hostNode)
		if !ok || host.record == nil {
			continue
		}
		zone, ok := e.zoneTable.get(host.record.AvailabilityZone).(*zoneNode)
		if !ok || zone.record == nil {
			continue
		}
		entries = append(entries, ServerEntry{Server: server, Host: host.record, Zone: zone.record})
	}
	return entries
}

// -----------------------------------------------------------------------------

// resolveMembers works out the member lists of the regions that were touched.
func (e *edit) resolveMembers() {
	touched := e.touchedRegions()
	if len(touched) == 0 {
		return
	}
	e.members = maps.Clone(e.members)
	if e.members == nil {
		e.members = make(map[string]MemberList)
	}
	for region, revision := range touched {
		names, exists := e.liveHosts(region)
		if !exists {
			delete(e.members, region)
			continue
		}
		revision = max(revision, e.members[region].Revision)
		e.members[region] = MemberList{Names: names, Revision: revision, Hash: hashNames(names)}
	}
}

// touchedRegions returns the highest revision that touches each region.
func (e *edit) touchedRegions() map[string]flow.Revision {
	touched := make(map[string]flow.Revision)
	for name, revision := range e.zoneRevisions {
		if old, ok := e.old.Zone(name); ok {
			touched[old.Region] = max(touched[old.Region], revision)
		}
		if record := e.zones[name].record; record != nil {
			touched[record.Region] = max(touched[record.Region], revision)
		}
	}
	if e.allRevision == 0 {
		return touched
	}
	for region := range e.members {
		touched[region] = max(touched[region], e.allRevision)
	}
	for region := range touched {
		touched[region] = max(touched[region], e.allRevision)
	}
	return touched
}

// liveHosts returns the sorted names of the live hosts of a region, and whether
// the region has an availability zone.
func (e *edit) liveHosts(region string) ([]string, bool) {
	var names []string
	exists := false
	for _, node := range e.zoneTable.shards[0] {
		zone := node.(*zoneNode)
		if zone.record == nil || zone.record.Region != region {
			continue
		}
		exists = true
		for _, name := range zone.hosts {
			host, ok := e.hostTable.get(name).(*hostNode)
			if ok && host.record != nil && host.record.State == flow.MemberLive {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names, exists
}

// hashNames returns the 64-bit FNV-1a hash of names, each ended by a zero byte.
func hashNames(names []string) uint64 {
	hash := uint64(fnvOffset)
	for _, name := range names {
		hash = hashName(hashName(hash, name), "\x00")
	}
	return hash
}
