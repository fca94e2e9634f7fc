// The nodes of the tables. A node is never changed once an Index holds it.
// Lists are sorted by name, so that what is found doesn't depend on the order in
// which records arrive.

package indexer

import (
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// serviceNode is a service with all backend servers that name it.
type serviceNode struct {
	record  *flow.Service // nil when there is none
	servers []*flow.BackendServer
	entries []ServerEntry // those of servers whose host and zone have records
}

// hostNode is a host with all backend servers that name it.
type hostNode struct {
	record  *flow.Host // nil when there is none
	servers []*flow.BackendServer
}

// zoneNode is an availability zone with the names of all hosts that name it.
type zoneNode struct {
	record *flow.AvailabilityZone // nil when there is none
	hosts  []string               // sorted
}

// sharedName returns the name of the service in memory that the node keeps, or
// name when it keeps none.
func (n *serviceNode) sharedName(name string) string {
	switch {
	case n.record != nil:
		return n.record.Name
	case len(n.servers) > 0:
		return n.servers[0].Service
	}
	return name
}

// sharedName returns the name of the host likewise.
func (n *hostNode) sharedName(name string) string {
	switch {
	case n.record != nil:
		return n.record.Name
	case len(n.servers) > 0:
		return n.servers[0].Host
	}
	return name
}

func (n *serviceNode) empty() bool { return n.record == nil && len(n.servers) == 0 }

func (n *hostNode) empty() bool { return n.record == nil && len(n.servers) == 0 }

func (n *zoneNode) empty() bool { return n.record == nil && len(n.hosts) == 0 }

// -----------------------------------------------------------------------------

// withServer puts a backend server into a sorted list that may be changed.
func withServer(servers []*flow.BackendServer, added *flow.BackendServer) []*flow.BackendServer {
	i, found := slices.BinarySearchFunc(servers, added.Name, compareServer)
	if found {
		servers[i] = added
		return servers
	}
	return slices.Insert(servers, i, added)
}

// withoutServer takes a backend server out of a sorted list that may be
// changed.
func withoutServer(servers []*flow.BackendServer, name string) []*flow.BackendServer {
	i, found := slices.BinarySearchFunc(servers, name, compareServer)
	if !found {
		return servers
	}
	return slices.Delete(servers, i, i+1)
}

func compareServer(server *flow.BackendServer, name string) int {
	return strings.Compare(server.Name, name)
}

// withName puts a name into a sorted list that may be changed.
func withName(names []string, added string) []string {
	i, found := slices.BinarySearch(names, added)
	if found {
		return names
	}
	return slices.Insert(names, i, added)
}

// withoutName takes a name out of a sorted list that may be changed.
func withoutName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}

// routeList returns a sorted list of the routes of one prefix: routes without
// the one of a name, and with added unless it is nil.
func routeList(routes []*flow.Route, name string, added *flow.Route) []*flow.Route {
	list := make([]*flow.Route, 0, len(routes)+1)
	for _, route := range routes {
		if route.Name != name {
			list = append(list, route)
		}
	}
	if added != nil {
		list = append(list, added)
	}
	slices.SortFunc(list, func(a, b *flow.Route) int { return strings.Compare(a.Name, b.Name) })
	return list
}
