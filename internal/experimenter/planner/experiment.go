// Package planner reads experiments from files: the fleet to start, the requests
// that its customers send, and the schedule of faults.
package planner

import (
	"fmt"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name                 string         `json:"name"`
	DeploymentFile       string         `json:"deployment-file"` // relative to the experiment's file; instead of Deployment
	Deployment           *Deployment    `json:"deployment"`
	Settings             map[string]any `json:"settings"`               // of every daemon; override those of the deployment
	LoadFactor           float64        `json:"load-times"`             // factor of the rate at which requests are sent, not of the customers' rate limits; 0 for 1
	Direct               Duration       `json:"direct"`                 // time of the same load directly on the backend servers, before the measured time; 0 for none
	WarmUp               Duration       `json:"warm-up"`                // time of load before the measured time
	Duration             Duration       `json:"duration"`               // measured time
	NoFailover           bool           `json:"stay-put"`               // callers do not try another host after a refusal that may not apply there
	RequestTimeout       Duration       `json:"request-limit"`          // timeout of the callers for a request; 0 for 10 s
	Faults               []Fault        `json:"faults"`                 // in any order
	CallersBypassNetwork bool           `json:"callers-beside-network"` // callers connect to daemons directly, because a link of the simulated network accepts connections even if the daemon refuses them
	NetworkDelays        *bool          `json:"network-delays"`         // false to connect the processes without a simulated network; true by default
}

// Deployment is a fleet and the load of its customers.
type Deployment struct {
	Region      string         `json:"region"`
	Zones       []string       `json:"zones"`
	Hosts       int            `json:"hosts"` // assigned to the zones in turn
	ZoneDelay   Duration       `json:"zone-delay"`
	CallerDelay Duration       `json:"caller-delay"`
	Settings    map[string]any `json:"settings"` // of every daemon
	Services    []Service      `json:"services"`
	Customers   []Customer     `json:"customers"`
}

// Service is a service with its backend servers, which are assigned to the hosts
// in turn.
type Service struct {
	Name           string   `json:"name"`
	Servers        int      `json:"servers"`
	Floor          float64  `json:"floor"`
	Slots          int      `json:"slots"`
	Connections    int      `json:"connections"`
	ConnectionCost Duration `json:"connection-cost"`
	ProbeTime      Duration `json:"probe-time"`
	ServiceTime    Duration `json:"service-time"`
	Jitter         Duration `json:"jitter"` // maximum of the random time added to ServiceTime
	ColdStart      Duration `json:"cold-start"`
	ColdFactor     float64  `json:"cold-factor"`
	CollapseTime   Duration `json:"collapse-time"`
	Timeout        Duration `json:"timeout"` // of the route
}

// Customer is a customer with its rate limit and its traffic.
type Customer struct {
	Name      string    `json:"name"`
	PerSecond float64   `json:"per-second"` // rate limit
	Burst     int       `json:"burst"`
	Traffic   []Traffic `json:"traffic"`
}

// Traffic is the requests of a customer to one service.
type Traffic struct {
	Service         string        `json:"service"`
	PerSecond       float64       `json:"per-second"`
	Choice          caller.Choice `json:"choice"`
	Writes          float64       `json:"writes"`           // share of the requests that are not idempotent
	IdempotencyKeys float64       `json:"idempotency-keys"` // share of the writes that carry one
	Sizes           []int         `json:"sizes-bytes"`      // padding of the responses, each for an equal share of the reads; empty for none
	Shape           caller.Shape  `json:"shape"`
	LoadFactor      float64       `json:"times"` // of a burst or a step
	Start           Duration      `json:"start"` // of a step, from the start of the measured time
	Length          Duration      `json:"length"`
	Period          Duration      `json:"period"`
}

// FaultKind names a fault of an experiment.
type FaultKind string

// Kinds of faults.
const (
	// FaultGray puts a gray fault on backend servers.
	FaultGray FaultKind = "gray"
	// FaultColdHerd turns all backend servers of a service cold at once.
	FaultColdHerd FaultKind = "cold-herd"
	// FaultSurge multiplies the request rate of a customer.
	FaultSurge FaultKind = "surge"
	// FaultZoneOut publishes an availability zone as out of service, and later as in
	// service again.
	FaultZoneOut FaultKind = "zone-out"
	// FaultZoneCut blocks the network from the hosts of an availability zone to
	// all other hosts, in the opposite direction, or in both.
	FaultZoneCut FaultKind = "zone-cut"
	// FaultPlatformDown makes the platform unavailable.
	FaultPlatformDown FaultKind = "platform-down"
	// FaultHostKill kills the daemons of hosts. The platform may delete the hosts'
	// records later, and the hosts may return with cold backend servers.
	FaultHostKill FaultKind = "host-kill"
	// FaultRollingRestart stops and restarts the daemons of hosts in batches.
	FaultRollingRestart FaultKind = "rolling-restart"
)

// Fault is one entry of the schedule of faults. The comments of the fields say
// to which kinds they apply.
type Fault struct {
	Kind FaultKind `json:"kind"`
	At   Duration  `json:"at"`  // from the start of the measured time
	For  Duration  `json:"for"` // 0 until the end of the run

	Servers    []string         `json:"servers"` // gray
	Effect     server.FaultKind `json:"effect"`  // gray
	SlowFactor float64          `json:"factor"`  // gray: factor of the service time under the effect slow
	Share      float64          `json:"share"`   // gray: of the requests that are affected; 0 for all
	Period     Duration         `json:"period"`  // gray: of a flapping fault; 0 for a permanent one

	Service    string  `json:"service"`  // cold-herd
	Customer   string  `json:"customer"` // surge
	LoadFactor float64 `json:"times"`    // surge

	Zone      string           `json:"zone"`    // zone-out, zone-cut
	Direction Direction        `json:"way"`     // zone-cut
	Network   interrupter.Kind `json:"network"` // zone-cut: hold, swallow or cut; empty for hold

	Hosts        []string `json:"hosts"`         // host-kill, rolling-restart; empty for all in rolling-restart
	DroppedAfter Duration `json:"dropped-after"` // host-kill: time until the platform deletes their records; 0 for never
	BackAfter    Duration `json:"back-after"`    // host-kill: time until they return; 0 for never
	Silent       bool     `json:"silent"`        // host-kill: daemons are paused and so stop responding, instead of refusing connections; callers never send to these hosts
	BatchSize    int      `json:"at-once"`       // rolling-restart: number of hosts; 0 for 1
	BatchPause   Duration `json:"pause"`         // rolling-restart: time between two batches
}

// Direction is the direction in which the network is blocked, as seen from a zone.
type Direction string

// Directions.
const (
	// DirectionOut blocks what the zone sends.
	DirectionOut Direction = "out"
	// DirectionIn blocks what is sent to the zone.
	DirectionIn Direction = "in"
	// DirectionBoth blocks both.
	DirectionBoth Direction = "both"
)

// Duration is a time.Duration that is written like "250ms" in files.
type Duration time.Duration

// UnmarshalText parses a duration. It returns an error for an invalid or a negative one.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = fmt.Errorf("duration %v is negative", parsed)
	}
	*d = Duration(parsed)
	return err
}

// MarshalText formats the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration returns the time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }
