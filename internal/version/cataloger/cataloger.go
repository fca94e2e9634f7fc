// Package cataloger indexes one version of the configuration and one state of
// the backend servers for traffic. A Catalog is immutable.
package cataloger

import (
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Catalog is what a daemon applies.
type Catalog struct {
	Revision flow.Revision // everything the platform published up to it is in the catalog
	Version  uint64        // of the configuration; 0 when there is none yet
	Limits   flow.CallerLimits
	KeysUsed bool // requests need a customer's key, except on open routes

	routes    map[string][]*flow.RouteRule // by host, longest prefix first
	services  map[string]*flow.ServiceRule
	customers map[string]*flow.CustomerRule
	keys      map[string]*flow.CustomerRule
	servers   map[string][]*flow.ServerEntry // by service, those that take new work, by id
	local     map[string]*flow.ServerEntry   // by address, the newest process
	hosts     []string                       // IP numbers of the listed hosts, sorted
	ranking   *ranker.Ranking                // of the hosts
	zones     map[string]string              // zone of a host
	zonesOut  map[string]bool
}

// Build indexes a configuration, which may be nil, and the state of the
// backend servers.
func Build(revision flow.Revision, configuration *flow.Configuration, servers []*flow.ServerEntry, zonesOut map[string]bool) *Catalog {
	c := &Catalog{
		Revision:  revision,
		routes:    map[string][]*flow.RouteRule{},
		services:  map[string]*flow.ServiceRule{},
		customers: map[string]*flow.CustomerRule{},
		keys:      map[string]*flow.CustomerRule{},
		servers:   map[string][]*flow.ServerEntry{},
		local:     map[string]*flow.ServerEntry{},
		zones:     map[string]string{},
		zonesOut:  zonesOut,
	}
	if configuration != nil {
		c.indexConfiguration(configuration)
	}
	c.indexServers(servers)
	c.ranking = ranker.New(c.hosts)
	return c
}

func (c *Catalog) indexConfiguration(configuration *flow.Configuration) {
	c.Version = configuration.Version
	c.Limits = configuration.Limits
	c.KeysUsed = configuration.Customers != nil
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		c.routes[route.Host] = append(c.routes[route.Host], route)
	}
	for _, routes := range c.routes {
		slices.SortFunc(routes, func(a, b *flow.RouteRule) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range configuration.Services {
		c.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
	for i := range configuration.Customers {
		customer := &configuration.Customers[i]
		c.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			c.keys[key] = customer
		}
	}
}

// indexServers keeps the newest process of each address: an entry of one that
// has ended may be listed for some seconds more.
func (c *Catalog) indexServers(servers []*flow.ServerEntry) {
	for _, server := range servers {
		if newest, ok := c.local[server.Address]; !ok || newest.StartedUnixMs < server.StartedUnixMs {
			c.local[server.Address] = server
		}
	}
	for _, server := range c.local {
		if _, listed := c.zones[server.Host]; !listed {
			c.hosts = append(c.hosts, server.Host)
			c.zones[server.Host] = server.Zone
		}
		if server.Draining || c.zonesOut[server.Zone] {
			continue
		}
		c.servers[server.Service] = append(c.servers[server.Service], server)
	}
	slices.Sort(c.hosts)
	for _, list := range c.servers {
		slices.SortFunc(list, func(a, b *flow.ServerEntry) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Ready reports whether there is a configuration.
func (c *Catalog) Ready() bool { return c.Version != 0 }

// Route returns the route of a host and path, or nil. The longest prefix that
// begins the path wins.
func (c *Catalog) Route(host, path string) *flow.RouteRule {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service, or nil.
func (c *Catalog) Service(name string) *flow.ServiceRule { return c.services[name] }

// Services returns all services by name. The map is not to be changed.
func (c *Catalog) Services() map[string]*flow.ServiceRule { return c.services }

// Customer returns a customer, or nil.
func (c *Catalog) Customer(name string) *flow.CustomerRule { return c.customers[name] }

// Customers returns all customers by name. The map is not to be changed.
func (c *Catalog) Customers() map[string]*flow.CustomerRule { return c.customers }

// CustomerOfKey returns the customer that holds a key, or nil.
func (c *Catalog) CustomerOfKey(key string) *flow.CustomerRule { return c.keys[key] }

// Servers returns the backend servers of a service that take new work. The
// slice is not to be changed.
func (c *Catalog) Servers(service string) []*flow.ServerEntry { return c.servers[service] }

// ServerAt returns the newest process that is listed at an address, or nil.
func (c *Catalog) ServerAt(address string) *flow.ServerEntry { return c.local[address] }

// TakesNewWork reports whether a backend server is listed and neither leaving
// nor in a zone that is out of service.
func (c *Catalog) TakesNewWork(id, address string) bool {
	server := c.local[address]
	return server != nil && server.ID == id && !server.Draining && !c.zonesOut[server.Zone]
}

// Hosts returns the IP numbers of all hosts with a listed backend server,
// sorted. The slice is not to be changed.
func (c *Catalog) Hosts() []string { return c.hosts }

// OwnerOf returns the host that owns a thing, and the one that comes next. They
// are "" when there are no hosts.
func (c *Catalog) OwnerOf(thing string) (owner, next string) { return c.ranking.FirstTwo(thing) }

// ZoneOf returns the availability zone of a listed host.
func (c *Catalog) ZoneOf(host string) string { return c.zones[host] }
