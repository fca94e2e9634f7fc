// Records are the documents in which operators publish the configuration. Each has
// a kind, a name and a schema version. The platform numbers all changes of the
// configuration with ascending revisions.

package flow

import (
	"fmt"
	"log/slog"
	"strconv"
	"time"
)

// Revision orders all changes of the configuration: each published change has a
// higher one. Zero means that nothing was received yet.
//
// Its high bits hold the era of the platform's data, and the low ones the number of the
// change within it. The platform begins an era when it is restored from a copy, and then
// uses numbers again, so that only both together order changes.
type Revision uint64

// numberBits is the size of the number within an era. At a million changes a second it
// lasts for eight years.
const numberBits = 48

// Largest parts of a Revision.
const (
	MaxEra    = 1<<(64-numberBits) - 1
	MaxNumber = 1<<numberBits - 1
)

// NewRevision returns the revision of a change. It returns an error if a part is out of
// range.
func NewRevision(era, number uint64) (Revision, error) {
	if era > MaxEra || number > MaxNumber {
		return 0, fmt.Errorf("era %d and revision %d are not within %d and %d", era, number, uint64(MaxEra), uint64(MaxNumber))
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era of the platform's data.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the change within its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the number, with the era before it unless that is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}

// LogValue returns the value that stands in a log: a number while the era is 0.
func (r Revision) LogValue() slog.Value {
	if r.Era() == 0 {
		return slog.Uint64Value(r.Number())
	}
	return slog.StringValue(r.String())
}

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

// RawRecord is one version of a record as the platform publishes it. Body is the
// JSON document; it is empty if the record was deleted.
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

// Customer is a tenant, such as a shop, a school or a committee.
type Customer struct {
	Name        string
	Description string
}

// Key is an API key of a customer. Only its hash is published, never the key.
type Key struct {
	Name      string
	Customer  string
	Hash      string // hex SHA-256 of the key
	Withdrawn bool
}

// Rate limits the requests of one customer over all hosts together.
type Rate struct {
	Name         string
	Customer     string
	PerSecond    float64            // sustained requests per second
	Burst        int                // requests that may come at once
	RegionShares map[string]float64 // share of the rate per region, with a sum of at most 1; empty for an even split
}

// Route routes requests to a service.
type Route struct {
	Name              string
	Service           string
	PathPrefix        string
	Methods           []string // allowed methods; empty for all
	Open              bool     // no key is needed
	IdempotentMethods []string // methods of requests that may run more than once
	Timeout           time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name            string
	Floor           float64 // minimum share of the backend servers in service that ejection must leave
	RetryBudget     float64 // maximum ratio of retries to requests
	ShedStatus      int     // status of a backend server's response to a request that it did not run; 0 for none
	ShedHeader      string  // header that must come with ShedStatus; empty for none
	RequestIDHeader string  // header in which backend servers echo the request id; empty for none
}

// ZoneState says whether an availability zone is in service.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is a failure domain of a region.
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

// Host is a machine with one daemon and its backend servers.
type Host struct {
	Name             string
	AvailabilityZone string
	PeerAddress      string // ip:port for control connections of other daemons
	DataAddress      string // ip:port for requests forwarded by other daemons
	State            MemberState
}

// BackendServer is one server process of a service. Only the daemon of its own
// host connects to it.
type BackendServer struct {
	Name           string
	Service        string
	Host           string
	Address        string        // ip:port
	Slots          int           // requests that it can run at once
	Connections    int           // connections that it can hold
	ConnectionCost time.Duration // server time that opening one connection takes
	ColdStart      time.Duration // time from start to full capacity that the operator expects
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
