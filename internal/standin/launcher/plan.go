// The plan of a fleet, and the records that are derived from it.

package launcher

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Plan describes a fleet.
type Plan struct {
	Region      string
	Zones       []string
	Hosts       int // in total; assigned to the zones in turn
	Services    []ServicePlan
	Customers   []CustomerPlan
	ZoneDelay   time.Duration  // one-way, between availability zones; requires the interrupter
	CallerDelay time.Duration  // one-way, between callers and daemons; requires the interrupter
	Settings    map[string]any // of every daemon, by the name of the setting
}

// ServicePlan describes a service. Its path prefix is its name; its idempotent
// methods are GET and HEAD.
type ServicePlan struct {
	Name    string
	Servers int            // in total; assigned to the hosts in turn
	Floor   float64        // of the service's record
	Server  server.Options // of each backend server; Name is replaced, Seed is added to
	Timeout time.Duration  // of the service's route; 0 for 5 s
}

// CustomerPlan describes a customer. Its key is KeyOf(Name).
type CustomerPlan struct {
	Name      string
	PerSecond float64 // rate, in requests per second
	Burst     int     // requests
}

// KeyOf returns the key of a customer.
func KeyOf(customer string) string { return "key-of-" + customer }

// SmallPlan returns a plan with one service, a backend server on each host, and one
// customer with an ample rate.
func SmallPlan(hosts int) Plan {
	return Plan{
		Region: "north",
		Zones:  []string{"north-a", "north-b", "north-c"},
		Hosts:  hosts,
		Services: []ServicePlan{{
			Name:    "ledger",
			Servers: hosts,
			Floor:   0.5,
			Server:  server.Options{Slots: 8, ServiceTime: 2 * time.Millisecond, ConnectionCost: -1},
		}},
		Customers: []CustomerPlan{{Name: "shop", PerSecond: 2000, Burst: 2000}},
	}
}

// hostName returns the name of the i-th host.
func (p *Plan) hostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

// zoneOf returns the availability zone of the i-th host.
func (p *Plan) zoneOf(i int) string { return p.Zones[i%len(p.Zones)] }

// The IP addresses of hosts are 127.A.B.C, where A depends on the process, B on the
// fleet and, in large fleets, the host, and C on the host.
const (
	firstProcessOctet, processOctets = 100, 100
	distinctFleets, hostsPerSubnet   = 30, 200 // fleets of a process with distinct addresses, and hosts with the same B
	subnetsPerFleet                  = 8
)

// ipOf returns the IP address of the i-th host of a fleet of a process. Fleets that
// run concurrently have no address in common: otherwise another fleet's daemon could
// take the port of a daemon that is being restarted.
func ipOf(process, fleet, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstProcessOctet+process%processOctets, fleet%distinctFleets*subnetsPerFleet+i/hostsPerSubnet+1, i%hostsPerSubnet+1)
}

// document is the body of a record, by field.
type document map[string]any

// Record returns a raw record with a kind, a name, a schema version and further
// fields. It panics if a value can't be encoded as JSON.
func Record(kind flow.Kind, name string, schema int, fields map[string]any) flow.RawRecord {
	body := document{"kind": kind, "name": name, "schema": schema}
	for field, value := range fields {
		body[field] = value
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // a mistake in the calling test
	}
	return flow.RawRecord{Kind: kind, Name: name, Body: encoded}
}

// records returns the records of zones, services and customers, which do not depend
// on addresses.
func (p *Plan) records() []flow.RawRecord {
	var records []flow.RawRecord
	for _, zone := range p.Zones {
		records = append(records, p.ZoneRecord(zone, flow.ZoneIn))
	}
	for _, service := range p.Services {
		records = append(records, service.records()...)
	}
	for _, customer := range p.Customers {
		records = append(records, customer.records()...)
	}
	return records
}

// ZoneRecord returns the record of an availability zone with a state.
func (p *Plan) ZoneRecord(zone string, state flow.ZoneState) flow.RawRecord {
	return Record(flow.KindAvailabilityZone, zone, 1, document{"region": p.Region, "state": state})
}

func (s *ServicePlan) records() []flow.RawRecord {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = 5 * time.Second
	}
	return []flow.RawRecord{
		Record(flow.KindService, s.Name, 1, document{
			"floor":             s.Floor,
			"shed-status":       server.DefaultShedStatus,
			"shed-header":       server.DefaultShedHeader,
			"request-id-header": flow.HeaderRequestID,
		}),
		Record(flow.KindRoute, s.Name, 2, document{
			"service":            s.Name,
			"path-prefix":        "/" + s.Name,
			"access":             "key",
			"idempotent-methods": []string{"GET", "HEAD"},
			"timeout":            timeout.String(),
		}),
	}
}

func (c *CustomerPlan) records() []flow.RawRecord {
	return []flow.RawRecord{
		Record(flow.KindCustomer, c.Name, 1, nil),
		KeyRecord(c.Name, false),
		Record(flow.KindRate, c.Name, 1, document{"customer": c.Name, "per-second": c.PerSecond, "burst": c.Burst}),
	}
}

// KeyRecord returns the record of a customer's key.
func KeyRecord(customer string, withdrawn bool) flow.RawRecord {
	hash := sha256.Sum256([]byte(KeyOf(customer)))
	return Record(flow.KindKey, customer, 1, document{
		"customer":  customer,
		"hash":      hex.EncodeToString(hash[:]),
		"withdrawn": withdrawn,
	})
}

// ServerRecord returns the record of a backend server with a state.
func ServerRecord(name, service, host, address string, options server.Options, state flow.MemberState) flow.RawRecord {
	cost := max(options.ConnectionCost, 0)
	connections := options.Connections
	if connections == 0 {
		connections = server.DefaultConnections
	}
	return Record(flow.KindBackendServer, name, 1, document{
		"service":         service,
		"host":            host,
		"address":         address,
		"slots":           options.Slots,
		"connections":     connections,
		"connection-cost": cost.String(),
		"cold-start":      options.ColdStart.String(),
		"state":           state,
	})
}
