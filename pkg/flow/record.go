// Records are what operators publish: small documents, each with a kind, a
// name and a schema version. The platform gives every change of a record a
// revision that grows over the whole configuration.

package flow

import "time"

// Revision orders all changes of the configuration. The platform gives each
// published change a higher one; zero means that nothing was ever seen.
type Revision uint64

// Kind names a type of record.
type Kind string

// The kinds of record.
const (
	KindCustomer         Kind = "customer"
	KindKey              Kind = "key"
	KindRate             Kind = "rate"
	KindRoute            Kind = "route"
	KindService          Kind = "service"
	KindAvailabilityZone Kind = "availability-zone"
	KindHost             Kind = "host"
	KindBackendServer    Kind = "backend-server"
)

// RecordID names one record of the configuration.
type RecordID struct {
	Kind Kind
	Name string
}

// RawRecord is one version of a record as the platform publishes it. Body is
// the JSON document; it is empty when the record was deleted.
type RawRecord struct {
	Kind     Kind     `json:"kind" msgpack:"k"`
	Name     string   `json:"name" msgpack:"n"`
	Revision Revision `json:"revision" msgpack:"r"`
	Deleted  bool     `json:"deleted,omitempty" msgpack:"d,omitempty"`
	Body     []byte   `json:"body,omitempty" msgpack:"b,omitempty"`
}

// ID returns the identity of the record.
func (r RawRecord) ID() RecordID { return RecordID{Kind: r.Kind, Name: r.Name} }

// Record is a parsed record of any kind and schema version.
type Record interface {
	// ID returns the identity of the record.
	ID() RecordID
}

// -----------------------------------------------------------------------------

// Customer is a tenant of the operator: a shop, a school, a committee.
type Customer struct {
	Name        string
	Description string
}

// Key is an API key of a customer. Only its hash is ever published.
type Key struct {
	Name      string
	Customer  string
	Hash      string // hex SHA-256 of the key
	Withdrawn bool
}

// Rate bounds the requests of one customer over all hosts together.
type Rate struct {
	Name         string
	Customer     string
	PerSecond    float64            // requests a second, sustained
	Burst        int                // requests at once
	RegionShares map[string]float64 // share of the rate by region, summing to at most 1; empty for an even split
}

// Route sends requests to a service.
type Route struct {
	Name              string
	Service           string
	PathPrefix        string
	Methods           []string // allowed methods; empty for all
	Open              bool     // true when no key is needed
	IdempotentMethods []string // methods whose requests may run more than once
	Timeout           time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name            string
	Floor           float64 // share of the backend servers in service that ejection must leave
	RetryBudget     float64 // retries as a share of requests
	ShedStatus      int     // status by which a backend server says that it did not run a request; 0 for none
	ShedHeader      string  // header that must accompany ShedStatus; empty for none
	RequestIDHeader string  // header in which backend servers echo the request id; empty for none
}

// ZoneState says whether an availability zone or a backend server takes work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is a failure domain within a region.
type AvailabilityZone struct {
	Name   string
	Region string
	State  ZoneState
}

// MemberState says whether a host or a backend server is in service.
type MemberState string

// The states of hosts and backend servers.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Host is a machine that runs one daemon beside its backend servers.
type Host struct {
	Name             string
	AvailabilityZone string
	PeerAddress      string // ip:port of the daemon's control connections
	DataAddress      string // ip:port of the daemon's admission of forwarded requests
	State            MemberState
}

// BackendServer is one server process of a service. It listens to the daemon
// of its own host only.
type BackendServer struct {
	Name           string
	Service        string
	Host           string
	Address        string // ip:port
	Slots          int    // requests it can run at once
	Connections    int    // connections it can hold
	ConnectionCost time.Duration
	ColdStart      time.Duration // time from start to full capacity, as the operator expects it
	State          MemberState
}

// ID returns the identity of the record.
func (r *Customer) ID() RecordID { return RecordID{KindCustomer, r.Name} }

// ID returns the identity of the record.
func (r *Key) ID() RecordID { return RecordID{KindKey, r.Name} }

// ID returns the identity of the record.
func (r *Rate) ID() RecordID { return RecordID{KindRate, r.Name} }

// ID returns the identity of the record.
func (r *Route) ID() RecordID { return RecordID{KindRoute, r.Name} }

// ID returns the identity of the record.
func (r *Service) ID() RecordID { return RecordID{KindService, r.Name} }

// ID returns the identity of the record.
func (r *AvailabilityZone) ID() RecordID { return RecordID{KindAvailabilityZone, r.Name} }

// ID returns the identity of the record.
func (r *Host) ID() RecordID { return RecordID{KindHost, r.Name} }

// ID returns the identity of the record.
func (r *BackendServer) ID() RecordID { return RecordID{KindBackendServer, r.Name} }
