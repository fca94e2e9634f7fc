// Configurations of records in the proportions of the whole plan.

package measurer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// extent is the number of records of each kind. Each customer has a key and a
// rate.
type extent struct {
	regions, zones, hosts, services, servers, routes, customers int
}

// deltaLimit is about the most bytes of records in one answer of a heartbeat.
const deltaLimit = 256 << 10

// wholePlan is the extent that the design is for.
var wholePlan = extent{regions: 4, zones: 15, hosts: 2700, services: 420, servers: 22000, routes: 5700, customers: 96000}

// part returns the extent divided by n.
func (e extent) part(n int) extent {
	return extent{
		regions: e.regions, zones: e.zones, hosts: e.hosts / n, services: e.services / n,
		servers: e.servers / n, routes: e.routes / n, customers: e.customers / n,
	}
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func serverName(i int) string { return fmt.Sprintf("server-%05d", i) }

func routeName(i int) string { return fmt.Sprintf("route-%04d", i) }

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

// -----------------------------------------------------------------------------

// collection is a growing list of records, with revisions from 1 on.
type collection []flow.RawRecord

func (c *collection) add(kind flow.Kind, name string, schema int, format string, values ...any) {
	body := fmt.Sprintf(`{"kind":"%s","name":"%s","schema":%d,`, kind, name, schema) + fmt.Sprintf(format, values...) + "}"
	*c = append(*c, flow.RawRecord{Kind: kind, Name: name, Revision: flow.Revision(len(*c) + 1), Body: []byte(body)})
}

// records returns a configuration of the extent.
func (e extent) records() []flow.RawRecord {
	var c collection
	for i := range e.zones {
		c.add(flow.KindAvailabilityZone, fmt.Sprintf("zone-%02d", i), 1, `"region":"region-%d"`, i%e.regions)
	}
	for i := range e.services {
		c.add(flow.KindService, fmt.Sprintf("service-%03d", i), 1, `"floor":0.7`)
	}
	e.addHosts(&c)
	for i := range e.routes {
		c.add(flow.KindRoute, routeName(i), 2, `"service":"service-%03d","path-prefix":"/v1/shop-%04d/stock","methods":["GET","POST"],"idempotent-methods":["GET"]`, i%e.services, i)
	}
	for i := range e.customers {
		c.addCustomer(i)
	}
	return c
}

// addHosts adds the hosts and the backend servers on them.
func (e extent) addHosts(c *collection) {
	const hostsOfNet = 250
	for i := range e.hosts {
		ip := fmt.Sprintf("10.1.%d.%d", i/hostsOfNet, i%hostsOfNet)
		c.add(flow.KindHost, hostName(i), 1, `"availability-zone":"zone-%02d","peer-address":"%s:7001","data-address":"%s:7002"`, i%e.zones, ip, ip)
	}
	for i := range e.servers {
		host := i % e.hosts
		c.add(flow.KindBackendServer, serverName(i), 1, `"service":"service-%03d","host":"%s","address":"10.1.%d.%d:%d","slots":7,"connections":390`,
			i%e.services, hostName(host), host/hostsOfNet, host%hostsOfNet, 8000+i/e.hosts)
	}
}

func (c *collection) addCustomer(i int) {
	name := customerName(i)
	hash := sha256.Sum256([]byte("key-of-" + name))
	c.add(flow.KindCustomer, name, 1, `"description":""`)
	c.add(flow.KindKey, name, 1, `"customer":"%s","hash":"%s"`, name, hex.EncodeToString(hash[:]))
	c.add(flow.KindRate, name, 1, `"customer":"%s","per-second":%d,"burst":%d`, name, 1+i%50, 1+i%100)
}

// -----------------------------------------------------------------------------

// storeOf returns a store that holds the records.
func storeOf(records []flow.RawRecord) *merger.Merger {
	store := merger.New(merger.TombstoneLimit)
	store.Merge(0, merger.WatchDelta(0, flow.Revision(len(records)), records))
	return store
}

// indexOf returns an index of the records.
func indexOf(records []flow.RawRecord) *indexer.Index {
	revision := flow.Revision(len(records))
	store := merger.New(merger.TombstoneLimit)
	return indexer.Empty().Apply(store.Merge(0, merger.WatchDelta(0, revision, records)), revision)
}
