// Package cataloger indexes one version of the configuration and one state of
// the backend servers for request traffic.
//
// It is a part of the sidecar that package supervisor runs. The daemon that
// package runner runs has package indexer instead.
package cataloger

import (
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Catalog is the configuration and the backend servers that a daemon uses. It
// is immutable and safe for concurrent use.
type Catalog struct {
	Revision     flow.Revision // the catalog includes all that the platform published up to it
	Version      uint64        // of the configuration; 0 if there is none yet
	Limits       flow.CallerLimits
	KeysRequired bool // requests need a customer's key, except on open routes

	routes            map[string][]*flow.RouteRule // by host, longest prefix first
	services          map[string]*flow.ServiceRule
	routedServices    map[string]bool // services that a route names
	customers         map[string]*flow.CustomerRule
	customerByKey     map[string]*flow.CustomerRule
	eligible          map[string][]*flow.ServerEntry // that accept new requests, by service; sorted by ID
	byAddress         map[string]*flow.ServerEntry   // newest process at an address
	hosts             []string                       // IP addresses of the listed hosts, sorted
	ranking           *ranker.Ranking                // of hosts
	zoneOfHost        map[string]string
	zonesOutOfService map[string]bool
	routeByName       map[string]*flow.RouteRule
	regionOfZone      map[string]string // empty if all zones are in one region
}

// Build indexes a configuration, which may be nil, and the listed backend
// servers.
func Build(revision flow.Revision, configuration *flow.Configuration, servers []*flow.ServerEntry, zonesOutOfService map[string]bool) *Catalog {
	c := &Catalog{
		Revision:          revision,
		routes:            map[string][]*flow.RouteRule{},
		services:          map[string]*flow.ServiceRule{},
		routedServices:    map[string]bool{},
		customers:         map[string]*flow.CustomerRule{},
		customerByKey:     map[string]*flow.CustomerRule{},
		eligible:          map[string][]*flow.ServerEntry{},
		byAddress:         map[string]*flow.ServerEntry{},
		zoneOfHost:        map[string]string{},
		zonesOutOfService: zonesOutOfService,
		routeByName:       map[string]*flow.RouteRule{},
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
	c.KeysRequired = configuration.Customers != nil
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		c.routes[route.Host] = append(c.routes[route.Host], route)
		c.routeByName[route.Name] = route
		for _, part := range route.Split {
			c.routedServices[part.Service] = true
		}
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
			c.customerByKey[key] = customer
		}
	}
}

// namesService reports whether the configuration declares a service or routes to it.
func (c *Catalog) namesService(name string) bool {
	return c.services[name] != nil || c.routedServices[name]
}

// indexServers keeps only the newest process of each address, since a process
// that has ended may stay listed for some seconds.
func (c *Catalog) indexServers(servers []*flow.ServerEntry) {
	for _, server := range servers {
		if c.Ready() && !c.namesService(server.Service) {
			continue // an entry of another writer, or of a service that was removed
		}
		if newest, ok := c.byAddress[server.Address]; !ok || newest.StartedUnixMs < server.StartedUnixMs {
			c.byAddress[server.Address] = server
		}
	}
	for _, server := range c.byAddress {
		if _, listed := c.zoneOfHost[server.Host]; !listed {
			c.hosts = append(c.hosts, server.Host)
			c.zoneOfHost[server.Host] = server.Zone
		}
		if server.Draining || c.zonesOutOfService[server.Zone] {
			continue
		}
		c.eligible[server.Service] = append(c.eligible[server.Service], server)
	}
	slices.Sort(c.hosts)
	for _, list := range c.eligible {
		slices.SortFunc(list, func(a, b *flow.ServerEntry) int { return strings.Compare(a.ID, b.ID) })
	}
}

// AddDeparted adds backend servers whose entries are gone but that stay in use. They do not
// make their hosts listed: the daemons that are not cut off do not know them as owners of
// resources. It must be called before the catalog is shared.
func (c *Catalog) AddDeparted(servers []*flow.ServerEntry) {
	for _, server := range servers {
		if _, listed := c.byAddress[server.Address]; listed || c.Ready() && !c.namesService(server.Service) {
			continue
		}
		c.byAddress[server.Address] = server
		if !c.zonesOutOfService[server.Zone] {
			list := append(c.eligible[server.Service], server)
			slices.SortFunc(list, func(a, b *flow.ServerEntry) int { return strings.Compare(a.ID, b.ID) })
			c.eligible[server.Service] = list
		}
	}
}

// Ready reports whether there is a configuration.
func (c *Catalog) Ready() bool { return c.Version != 0 }

// Route returns the route with the longest prefix of the path, or nil.
func (c *Catalog) Route(host, path string) *flow.RouteRule {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns a service, or nil if there is none with that name.
func (c *Catalog) Service(name string) *flow.ServiceRule { return c.services[name] }

// Services returns all services by name. The caller must not change the map.
func (c *Catalog) Services() map[string]*flow.ServiceRule { return c.services }

// Customer returns a customer, or nil if there is none with that name.
func (c *Catalog) Customer(name string) *flow.CustomerRule { return c.customers[name] }

// Customers returns all customers by name. The caller must not change the map.
func (c *Catalog) Customers() map[string]*flow.CustomerRule { return c.customers }

// CustomerByKey returns the customer that a key belongs to, or nil.
func (c *Catalog) CustomerByKey(key string) *flow.CustomerRule { return c.customerByKey[key] }

// Servers returns the backend servers of a service that accept new requests.
// The caller must not change the slice.
func (c *Catalog) Servers(service string) []*flow.ServerEntry { return c.eligible[service] }

// ServerAt returns the newest process listed at an address, or nil.
func (c *Catalog) ServerAt(address string) *flow.ServerEntry { return c.byAddress[address] }

// AcceptsNewRequests reports whether a backend server is the newest one at its
// address, is not draining, and is in an availability zone that is in service.
func (c *Catalog) AcceptsNewRequests(id, address string) bool {
	server := c.byAddress[address]
	return server != nil && server.ID == id && !server.Draining && !c.zonesOutOfService[server.Zone]
}

// Hosts returns the sorted IP addresses of all hosts with a listed backend
// server. The caller must not change the slice.
func (c *Catalog) Hosts() []string { return c.hosts }

// OwnerOf returns the host that owns a resource, and the host ranked second for it. A
// missing host is "".
func (c *Catalog) OwnerOf(resource string) (owner, second string) {
	return c.ranking.FirstTwo(resource)
}

// ZoneOf returns the availability zone of a listed host, or "" for another.
func (c *Catalog) ZoneOf(host string) string { return c.zoneOfHost[host] }
