// Package planner reads experiments from files: which fleet is started, which
// requests its customers send, and which faults come at which time.
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
	Name           string         `json:"name"`
	DeploymentFile string         `json:"deployment-file"` // relative to the experiment's file; in place of Deployment
	Deployment     *Deployment    `json:"deployment"`
	Settings       map[string]any `json:"settings"`               // of every daemon, over those of the deployment
	LoadTimes      float64        `json:"load-times"`             // multiplies every rate of requests, though not the customers' own rates; 0 for 1
	Direct         Duration       `json:"direct"`                 // time of the same load on the backend servers themselves, before the measured time; 0 for none
	WarmUp         Duration       `json:"warm-up"`                // time of load before the measured time
	Duration       Duration       `json:"duration"`               // measured time
	StayPut        bool           `json:"stay-put"`               // callers do not ask another host after a refusal that another host need not make
	RequestLimit   Duration       `json:"request-limit"`          // time that callers give a request; 0 for 10 s
	Faults         []Fault        `json:"faults"`                 // in any order
	CallersBeside  bool           `json:"callers-beside-network"` // callers reach daemons without the network between, whose links take connections for daemons that refuse them
	Interrupt      *bool          `json:"network-delays"`         // false for a fleet without a network between its processes; true by default
}

// Deployment is a fleet and the load of its customers.
type Deployment struct {
	Region      string         `json:"region"`
	Zones       []string       `json:"zones"`
	Hosts       int            `json:"hosts"` // spread over the zones in turn
	ZoneDelay   Duration       `json:"zone-delay"`
	CallerDelay Duration       `json:"caller-delay"`
	Settings    map[string]any `json:"settings"` // of every daemon
	Services    []Service      `json:"services"`
	Customers   []Customer     `json:"customers"`
}

// Service is a service with its backend servers, spread over the hosts in turn.
type Service struct {
	Name           string   `json:"name"`
	Servers        int      `json:"servers"`
	Floor          float64  `json:"floor"`
	Slots          int      `json:"slots"`
	Connections    int      `json:"connections"`
	ConnectionCost Duration `json:"connection-cost"`
	ProbeTime      Duration `json:"probe-time"`
	ServiceTime    Duration `json:"service-time"`
	Jitter         Duration `json:"jitter"` // bound of what is added to ServiceTime at random
	ColdStart      Duration `json:"cold-start"`
	ColdFactor     float64  `json:"cold-factor"`
	CollapseTime   Duration `json:"collapse-time"`
	Timeout        Duration `json:"timeout"` // of the route
}

// Customer is a customer with its rate and what it sends.
type Customer struct {
	Name      string    `json:"name"`
	PerSecond float64   `json:"per-second"` // its rate
	Burst     int       `json:"burst"`
	Traffic   []Traffic `json:"traffic"`
}

// Traffic is what a customer sends to one service.
type Traffic struct {
	Service         string        `json:"service"`
	PerSecond       float64       `json:"per-second"`
	Choice          caller.Choice `json:"choice"`
	Writes          float64       `json:"writes"`           // share of the requests that are not idempotent
	IdempotencyKeys float64       `json:"idempotency-keys"` // share of the writes that carry one
	Sizes           []int         `json:"sizes-bytes"`      // padding of answers, in equal parts; empty for none
	Shape           caller.Shape  `json:"shape"`
	Times           float64       `json:"times"`
	Start           Duration      `json:"start"` // of a step, from the start of the measured time
	Length          Duration      `json:"length"`
	Period          Duration      `json:"period"`
}

// FaultKind names a fault of an experiment.
type FaultKind string

// The faults.
const (
	// FaultGray puts a gray fault on backend servers.
	FaultGray FaultKind = "gray"
	// FaultColdHerd turns all backend servers of a service cold at once.
	FaultColdHerd FaultKind = "cold-herd"
	// FaultSurge multiplies what a customer sends.
	FaultSurge FaultKind = "surge"
	// FaultZoneOut publishes an availability zone as out, and as in again.
	FaultZoneOut FaultKind = "zone-out"
	// FaultZoneCut loses what the hosts of an availability zone send to the
	// others, or what the others send to them, or both.
	FaultZoneCut FaultKind = "zone-cut"
	// FaultPlatformDown takes the platform away.
	FaultPlatformDown FaultKind = "platform-down"
	// FaultHostKill ends hosts at once; the list may drop them later, and they
	// may come back with cold backend servers.
	FaultHostKill FaultKind = "host-kill"
	// FaultRollingRestart restarts the daemons of hosts by planned stops, some
	// at a time.
	FaultRollingRestart FaultKind = "rolling-restart"
)

// Fault is one entry of the schedule of faults. Which fields it takes depends
// on its kind.
type Fault struct {
	Kind FaultKind `json:"kind"`
	At   Duration  `json:"at"`  // from the start of the measured time
	For  Duration  `json:"for"` // 0 for the rest of the run

	Servers []string         `json:"servers"` // gray
	Effect  server.FaultKind `json:"effect"`  // gray
	Factor  float64          `json:"factor"`  // gray: of slow
	Share   float64          `json:"share"`   // gray: of the requests that are hit; 0 for all
	Period  Duration         `json:"period"`  // gray: of flapping; 0 for a fault that stays

	Service  string  `json:"service"`  // cold-herd
	Customer string  `json:"customer"` // surge
	Times    float64 `json:"times"`    // surge

	Zone    string           `json:"zone"`    // zone-out, zone-cut
	Way     Way              `json:"way"`     // zone-cut
	Network interrupter.Kind `json:"network"` // zone-cut: hold, swallow or cut; empty for hold

	Hosts        []string `json:"hosts"`         // host-kill, rolling-restart; empty for all in rolling-restart
	DroppedAfter Duration `json:"dropped-after"` // host-kill: time until the list drops them; 0 for never
	BackAfter    Duration `json:"back-after"`    // host-kill: time until they are back; 0 for never
	Silent       bool     `json:"silent"`        // host-kill: they answer nothing, in place of refusing connections; callers ask other hosts from the start
	AtOnce       int      `json:"at-once"`       // rolling-restart: hosts at a time; 0 for 1
	Pause        Duration `json:"pause"`         // rolling-restart: between one batch and the next
}

// Way is the direction of a lost part of the network, as seen from a zone.
type Way string

// The ways.
const (
	// WayOut loses what the zone sends.
	WayOut Way = "out"
	// WayIn loses what is sent to the zone.
	WayIn Way = "in"
	// WayBoth loses both.
	WayBoth Way = "both"
)

// -----------------------------------------------------------------------------

// Duration is a time.Duration that is written like "250ms".
type Duration time.Duration

// UnmarshalText reads a duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = fmt.Errorf("duration %v is negative", parsed)
	}
	*d = Duration(parsed)
	return err
}

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Of returns the standard library's duration.
func (d Duration) Of() time.Duration { return time.Duration(d) }
