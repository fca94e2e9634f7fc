// What a platform publishes about a deployment. An adapter decodes the platform's
// documents into these types; no other package depends on the platform's formats.

package flow

import (
	"context"
	"net"
	"time"
)

// Change is a new version or the deletion of one published item. Exactly one of
// Configuration, Server and ZoneOut is set, or none if Deleted is.
type Change struct {
	Key                  string         `msgpack:"k"` // unique name of the item
	Revision             Revision       `msgpack:"r"`
	Deleted              bool           `msgpack:"d,omitempty"`
	Configuration        *Configuration `msgpack:"-"`
	EncodedConfiguration []byte         `msgpack:"c,omitempty"` // Configuration as daemons send it to each other
	Server               *ServerEntry   `msgpack:"s,omitempty"`
	ZoneOut              string         `msgpack:"z,omitempty"` // availability zone that is out of service
	StartedUnixMs        int64          `msgpack:"b,omitempty"` // start of the backend server whose entry is deleted; 0 if not known
}

// Restriction is something that was draining, gone or out of service before the platform
// was restored from a copy which says otherwise. It is kept until what was lost is written
// again, or until a bound has passed.
type Restriction struct {
	Key           string `msgpack:"k"`
	ZoneOut       string `msgpack:"z,omitempty"` // availability zone; "" if this is about a backend server
	StartedUnixMs int64  `msgpack:"b,omitempty"` // start of the backend server's process; 0 if not known
	// Revision by which it was written again, or the server has restarted; 0 if it is not lifted.
	LiftedAt Revision `msgpack:"l,omitempty"`
}

// Configuration is one version of all that operators declare.
type Configuration struct {
	Version   uint64         `msgpack:"v"`
	Routes    []RouteRule    `msgpack:"r"`
	Services  []ServiceRule  `msgpack:"s"`
	Customers []CustomerRule `msgpack:"c"` // nil if requests need no key
	Limits    CallerLimits   `msgpack:"l"`
}

// RouteRule routes the requests of a virtual host and path prefix to services.
type RouteRule struct {
	Name          string            `msgpack:"n"`
	Host          string            `msgpack:"h"`
	PathPrefix    string            `msgpack:"p"`           // begins and ends with a slash
	Split         []WeightedService `msgpack:"s"`           // at least one
	Idempotent    bool              `msgpack:"i"`           // requests may run more than once
	Open          bool              `msgpack:"o"`           // no key is needed
	MaxAttempts   int               `msgpack:"a"`           // of one request that may run, the first included
	Timeout       time.Duration     `msgpack:"t"`           // maximum time until the caller has a response
	TargetLatency time.Duration     `msgpack:"l"`           // latency that responses should not exceed; slower ones, up to Timeout, are worth less
	Priority      int               `msgpack:"u"`           // 0 is the highest
	Regions       []string          `msgpack:"g,omitempty"` // in which requests may be handled; all if empty
}

// WeightedService is a service that gets a share of a route's requests, in
// proportion to its weight.
type WeightedService struct {
	Service string  `msgpack:"s"`
	Weight  float64 `msgpack:"w"`
}

// ServiceRule is a service with the limits of each of its backend servers.
type ServiceRule struct {
	Name           string        `msgpack:"n"`
	HealthPath     string        `msgpack:"h"`
	MaxConnections int           `msgpack:"c"` // to one backend server, from all callers together
	ColdStart      time.Duration `msgpack:"t"` // time from a backend server's start to full capacity
	ColdPerSecond  float64       `msgpack:"p"` // requests per second that a cold backend server can handle
}

// CustomerRule is a customer with its API keys and rate limit.
type CustomerRule struct {
	Name      string   `msgpack:"n"`
	Keys      []string `msgpack:"k"`
	Priority  int      `msgpack:"p"`           // overrides that of the route; negative if it does not
	PerSecond float64  `msgpack:"r"`           // requests per second over all hosts together; 0 for no limit
	Burst     float64  `msgpack:"b"`           // requests that may come at once
	Regions   []string `msgpack:"g,omitempty"` // in which its requests may be handled; all if empty
}

// CallerLimits limit what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int           `msgpack:"h"`
	BodyBytes     int           `msgpack:"b"`
	HeaderTimeout time.Duration `msgpack:"t"`
	IdleTimeout   time.Duration `msgpack:"i"`
}

// ServerEntry is what a backend server publishes about itself.
type ServerEntry struct {
	ID            string        `msgpack:"i"`
	Service       string        `msgpack:"s"`
	Address       string        `msgpack:"a"` // ip:port, reachable from its own host only
	Host          string        `msgpack:"h"` // IP address of its host
	Zone          string        `msgpack:"z"`
	Slots         int           `msgpack:"n"` // requests that it can run at once
	Draining      bool          `msgpack:"d"`
	ColdRemaining time.Duration `msgpack:"c"` // time to full capacity when the entry was written
	StartedUnixMs int64         `msgpack:"b"` // start of its process: milliseconds since 1970 on its wall clock
}

// LapseGrace is how long lapsed entries, which expired while the platform was
// unavailable, stay in use after it is back. By its contract, live servers have
// registered again within about 2 seconds.
const LapseGrace = 2500 * time.Millisecond

// OwnerLease is how long a host may act as the owner of a resource after it was last known
// to be the owner. A host whose entry lapses since it is cut off loses the resource
// earlier than others hear that the entry is gone.
const OwnerLease = 2400 * time.Millisecond

// MinOutage is the shortest outage of the platform in which an entry may lapse. Servers
// renew their entries each 1.5 s, and an entry lapses after three missing renewals.
const MinOutage = 2 * time.Second

// Update holds the changes that a Source has after a revision, and says how current
// they are.
type Update struct {
	Changes    []Change      `msgpack:"c,omitempty"`
	Revision   Revision      `msgpack:"r"`           // all changes up to it are known
	Full       bool          `msgpack:"f,omitempty"` // Changes are the complete state: other items were deleted
	Age        time.Duration `msgpack:"a"`           // time since the request to the platform that proved Revision current
	Unbroken   time.Duration `msgpack:"u,omitempty"` // how long before that request the platform had been answering without an interruption
	SourceLost bool          `msgpack:"l,omitempty"` // the daemon that relays the update has lost its own source

	EraFirst Revision      `msgpack:"h,omitempty"` // lowest revision at which the platform was seen in its era; later ones were written in it
	EraAge   time.Duration `msgpack:"e,omitempty"` // time since then
	Kept     []Restriction `msgpack:"k,omitempty"` // from earlier eras
}

// Source returns what the platform publishes. It is the platform itself or another
// daemon that relays it.
type Source interface {
	// Watch waits until there are changes after a revision and returns them, or an
	// Update without changes after the given wait. Revision 0 requests the
	// complete state. If the response does not begin shortly after the wait, or
	// stops, Watch calls late once and goes on for some seconds: the source may be
	// silent or slow. Several watches may run at once.
	Watch(ctx context.Context, after Revision, wait time.Duration, late func()) (Update, error)
}

// Connector opens connections. A net.Dialer is one.
type Connector interface {
	// DialContext opens a connection to an address on a network, as net.Dialer does.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// HeaderNames are the names of the HTTP headers that callers and backend servers
// use, in canonical form.
type HeaderNames struct {
	RequestID      string // id of one attempt by the caller; echoed by backend servers
	TimeLeft       string // milliseconds that the sender waits for the response
	Key            string // a customer's API key; never forwarded
	Customer       string // customer whose key came with the request
	CallerService  string // service of the host at which the request entered
	ExpectedServer string // id of the only backend server that may run the request
	ServerID       string // id of the backend server that answers a health check
	NotRun         string // set by a backend server on a response to a request that did not run
	Seal           string // set by a backend server on its own responses, to tell them from others'
}
