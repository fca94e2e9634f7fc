// This file defines the nodes of the tables. A node never changes once an Index
// holds it. Lists are sorted by name, so lookups do not depend on the order in
// which records arrive.

package indexer

import (
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// serviceNode is a service with all backend servers that refer to it.
type serviceNode struct {
	record  *flow.Service // nil if there is none
	servers []*flow.BackendServer
	entries []ServerEntry // servers whose host and zone have records
}

// hostNode is a host with all backend servers that refer to it.
type hostNode struct {
	record  *flow.Host // nil if there is none
	servers []*flow.BackendServer
}

// zoneNode is an availability zone with the names of all hosts that refer to
// it.
type zoneNode struct {
	record *flow.AvailabilityZone // nil if there is none
	hosts  []string               // sorted
}

// sharedName returns the copy of the service's name that the node already
// stores, or name if it stores none.
func (n *serviceNode) sharedName(name string) string {
	switch {
	case n.record != nil:
		return n.record.Name
	case len(n.servers) > 0:
		return n.servers[0].Service
	}
	return name
}

// sharedName returns the stored copy of the host's name in the same way.
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

// insertServer adds or replaces a backend server in a sorted list, in place.
func insertServer(servers []*flow.BackendServer, added *flow.BackendServer) []*flow.BackendServer {
	i, found := slices.BinarySearchFunc(servers, added.Name, compareServer)
	if found {
		servers[i] = added
		return servers
	}
	return slices.Insert(servers, i, added)
}

// deleteServer removes a backend server from a sorted list, in place.
func deleteServer(servers []*flow.BackendServer, name string) []*flow.BackendServer {
	i, found := slices.BinarySearchFunc(servers, name, compareServer)
	if !found {
		return servers
	}
	return slices.Delete(servers, i, i+1)
}

func compareServer(server *flow.BackendServer, name string) int {
	return strings.Compare(server.Name, name)
}

// insertName adds a name to a sorted list, in place.
func insertName(names []string, added string) []string {
	i, found := slices.BinarySearch(names, added)
	if found {
		return names
	}
	return slices.Insert(names, i, added)
}

// deleteName removes a name from a sorted list, in place.
func deleteName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}

// replaceRoute returns a sorted copy of the routes of one prefix, without the
// route of the given name and with added unless it is nil.
func replaceRoute(routes []*flow.Route, name string, added *flow.Route) []*flow.Route {
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
