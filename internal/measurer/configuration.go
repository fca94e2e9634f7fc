// Generated configurations, in the proportions of the deployment that the design is
// for.

package measurer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// recordCounts holds the number of records of each kind. Each customer has a key and
// a rate besides.
type recordCounts struct {
	regions, zones, hosts, services, servers, routes, customers int
}

// maxDeltaBytes roughly bounds the bytes of records in one answer to a heartbeat.
const maxDeltaBytes = 256 << 10

// designCounts are the numbers of records that the design is for.
var designCounts = recordCounts{regions: 4, zones: 15, hosts: 2700, services: 420, servers: 22000, routes: 5700, customers: 96000}

// dividedBy returns the counts divided by n, except those of regions and zones.
func (counts recordCounts) dividedBy(n int) recordCounts {
	return recordCounts{
		regions: counts.regions, zones: counts.zones, hosts: counts.hosts / n, services: counts.services / n,
		servers: counts.servers / n, routes: counts.routes / n, customers: counts.customers / n,
	}
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func serverName(i int) string { return fmt.Sprintf("server-%05d", i) }

func routeName(i int) string { return fmt.Sprintf("route-%04d", i) }

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

// recordList is a list of records with consecutive revisions from 1 on.
type recordList []flow.RawRecord

func (c *recordList) add(kind flow.Kind, name string, schema int, format string, values ...any) {
	body := fmt.Sprintf(`{"kind":"%s","name":"%s","schema":%d,`, kind, name, schema) + fmt.Sprintf(format, values...) + "}"
	*c = append(*c, flow.RawRecord{Kind: kind, Name: name, Revision: flow.Revision(len(*c) + 1), Body: []byte(body)})
}

// records returns a configuration with these numbers of records.
func (counts recordCounts) records() []flow.RawRecord {
	var c recordList
	for i := range counts.zones {
		c.add(flow.KindAvailabilityZone, fmt.Sprintf("zone-%02d", i), 1, `"region":"region-%d"`, i%counts.regions)
	}
	for i := range counts.services {
		c.add(flow.KindService, fmt.Sprintf("service-%03d", i), 1, `"floor":0.7`)
	}
	counts.addHosts(&c)
	for i := range counts.routes {
		c.add(flow.KindRoute, routeName(i), 2, `"service":"service-%03d","path-prefix":"/v1/shop-%04d/stock","methods":["GET","POST"],"idempotent-methods":["GET"]`, i%counts.services, i)
	}
	for i := range counts.customers {
		c.addCustomer(i)
	}
	return c
}

// addHosts adds the hosts and their backend servers.
func (counts recordCounts) addHosts(c *recordList) {
	const hostsPerSubnet = 250
	for i := range counts.hosts {
		ip := fmt.Sprintf("10.1.%d.%d", i/hostsPerSubnet, i%hostsPerSubnet)
		c.add(flow.KindHost, hostName(i), 1, `"availability-zone":"zone-%02d","peer-address":"%s:7001","data-address":"%s:7002"`, i%counts.zones, ip, ip)
	}
	for i := range counts.servers {
		host := i % counts.hosts
		c.add(flow.KindBackendServer, serverName(i), 1, `"service":"service-%03d","host":"%s","address":"10.1.%d.%d:%d","slots":7,"connections":390`,
			i%counts.services, hostName(host), host/hostsPerSubnet, host%hostsPerSubnet, 8000+i/counts.hosts)
	}
}

func (c *recordList) addCustomer(i int) {
	name := customerName(i)
	hash := sha256.Sum256([]byte("key-of-" + name))
	c.add(flow.KindCustomer, name, 1, `"description":""`)
	c.add(flow.KindKey, name, 1, `"customer":"%s","hash":"%s"`, name, hex.EncodeToString(hash[:]))
	c.add(flow.KindRate, name, 1, `"customer":"%s","per-second":%d,"burst":%d`, name, 1+i%50, 1+i%100)
}

// newStore returns a store that holds the records.
func newStore(records []flow.RawRecord) *merger.Merger {
	store := merger.New(merger.TombstoneLimit)
	store.Merge(0, merger.WatchDelta(0, flow.Revision(len(records)), records))
	return store
}

// newIndex returns an index of the records.
func newIndex(records []flow.RawRecord) *indexer.Index {
	revision := flow.Revision(len(records))
	store := merger.New(merger.TombstoneLimit)
	return indexer.Empty().Apply(store.Merge(0, merger.WatchDelta(0, revision, records)), revision)
}
