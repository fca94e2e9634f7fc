// Load patterns and their files.

package simulator

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// stepRead is the step in errors of reading a pattern.
const stepRead = flow.Step("read-pattern")

// Pattern is a load on a fleet, and the troubles of both.
type Pattern struct {
	Fleet      `json:"-"`
	Name       string           `json:"-"`          // base name of the file without extension
	FleetFile  string           `json:"fleet-file"` // relative to the pattern's file
	Duration   planner.Duration `json:"duration"`   // time during which requests arrive
	Load       float64          `json:"load"`       // factor of the load that the fleet's file gives; 0 for 1
	RateFactor float64          `json:"rate-share"` // rate limit of a customer, as a factor of its usual load; 0 for no limit
	Troubles   []Trouble        `json:"troubles"`
}

// Fleet is the fleet on which a pattern is simulated.
type Fleet struct {
	Zones     int           `json:"zones"`
	Customers int           `json:"customers"`
	Services  []Service     `json:"services"`
	Kinds     []RequestKind `json:"kinds"`
}

// Service is a service with its backend servers, which are assigned to the zones in turn.
type Service struct {
	Name          string           `json:"name"`
	Servers       int              `json:"servers"`
	Slots         int              `json:"slots"`
	ErrorShare    float64          `json:"error-share"` // share of the requests that fail at random
	GrayShare     float64          `json:"gray-share"`  // share of the servers that are gray at any time
	GrayInterval  planner.Duration `json:"gray-turn"`   // after which each server becomes gray or healthy at random
	GrayFailShare float64          `json:"gray-fails"`  // share of the requests that a gray server fails
	GrayFailAfter planner.Duration `json:"gray-after"`  // time after which a gray server fails a request
}

// RequestKind is a kind of request to a service.
type RequestKind struct {
	Name       string           `json:"name"`
	Service    string           `json:"service"`
	PerSecond  float64          `json:"per-second"` // of all ingresses together; 0 for a kind that only other requests call
	Work       planner.Duration `json:"work"`       // mean service time
	WorkSigma  float64          `json:"spread"`     // standard deviation of the logarithm of the service time
	Target     planner.Duration `json:"target"`     // latency within which a response has its full worth
	Deadline   planner.Duration `json:"deadline"`
	Idempotent bool             `json:"idempotent"`
	Attempts   int              `json:"attempts"`   // maximum of runs of an idempotent request
	Priority   int              `json:"priority"`   // 0 is the most urgent
	Worth      float64          `json:"worth"`      // value of a response within Target, in any unit
	LateWorth  float64          `json:"late-worth"` // value of a later response
	Calls      string           `json:"calls"`      // kind of the call that a run makes; empty for none
	CallShare  float64          `json:"call-share"` // share of the runs that make the call
}

// Trouble is a disturbance of the load or the fleet for a time.
type Trouble struct {
	Kind    TroubleKind      `json:"kind"`
	At      planner.Duration `json:"at"`
	For     planner.Duration `json:"for"`
	Service string           `json:"service"` // empty for all
	Share   float64          `json:"share"`   // of the servers, daemons or callers that are affected
	Factor  float64          `json:"factor"`  // strength; its meaning depends on the kind
}

// TroubleKind names a kind of trouble.
type TroubleKind string

// Kinds of trouble.
const (
	// Burst multiplies the load by the factor.
	Burst TroubleKind = "burst"
	// HotCustomer multiplies the load of one customer by the factor.
	HotCustomer TroubleKind = "hot-customer"
	// RepeatAtOnce makes a share of the callers send a failed request again without
	// delay, up to as many times as the factor.
	RepeatAtOnce TroubleKind = "repeat-at-once"
	// LeaveEarly makes a share of the callers abandon their requests after the target
	// times the factor.
	LeaveEarly TroubleKind = "leave-early"
	// Slow multiplies the service time of a share of the servers by the factor.
	Slow TroubleKind = "slow"
	// Shed makes a share of the servers refuse requests, with the factor as probability.
	Shed TroubleKind = "shed"
	// ZoneOut takes the first zone out of service.
	ZoneOut TroubleKind = "zone-out"
	// ColdReturn takes the servers of the first zone out of service, and makes them cold
	// when they return.
	ColdReturn TroubleKind = "cold-return"
	// RollingRestart restarts a share of the daemons one after the other.
	RollingRestart TroubleKind = "rolling-restart"
	// Hang makes a share of the servers hang requests until their deadline, with the factor as
	// probability.
	Hang TroubleKind = "hang"
	// Partition cuts the hosts of a share of the daemons off from all other hosts.
	Partition TroubleKind = "partition"
)

var troubleKinds = map[TroubleKind]bool{
	Burst: true, HotCustomer: true, RepeatAtOnce: true, LeaveEarly: true, Slow: true,
	Shed: true, ZoneOut: true, ColdReturn: true, RollingRestart: true, Hang: true, Partition: true,
}

// Read reads a pattern and its fleet from files of JSON with comments. It returns an error
// that contains the path if a file cannot be read or parsed or has an invalid value.
func Read(path string) (*Pattern, error) {
	pattern := &Pattern{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	if err := planner.Decode(path, pattern); err != nil {
		return nil, err
	}
	if err := planner.Decode(filepath.Join(filepath.Dir(path), pattern.FleetFile), &pattern.Fleet); err != nil {
		return nil, err
	}
	if err := pattern.check(); err != nil {
		return nil, flow.Wrap(stepRead, path, err)
	}
	if pattern.Load > 0 {
		for i := range pattern.Kinds {
			pattern.Kinds[i].PerSecond *= pattern.Load
		}
	}
	return pattern, nil
}

func (p *Pattern) check() error {
	if p.Zones < 1 || p.Customers < 1 || p.Duration <= 0 {
		return fmt.Errorf("zones, customers and duration must be above 0")
	}
	for _, kind := range p.Kinds {
		if p.service(kind.Service) == nil {
			return fmt.Errorf("service %q of kind %q does not exist", kind.Service, kind.Name)
		}
		if kind.Calls != "" && p.kind(kind.Calls) == nil {
			return fmt.Errorf("kind %q that kind %q calls does not exist", kind.Calls, kind.Name)
		}
	}
	for _, trouble := range p.Troubles {
		if !troubleKinds[trouble.Kind] {
			return fmt.Errorf("trouble %q does not exist", trouble.Kind)
		}
		if trouble.Service != "" && p.service(trouble.Service) == nil {
			return fmt.Errorf("service %q of trouble %q does not exist", trouble.Service, trouble.Kind)
		}
	}
	return nil
}

func (p *Pattern) service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

func (p *Pattern) kind(name string) *RequestKind {
	for i := range p.Kinds {
		if p.Kinds[i].Name == name {
			return &p.Kinds[i]
		}
	}
	return nil
}

// activeTrouble returns the trouble of a kind that affects a service now, or nil.
func (p *Pattern) activeTrouble(now flow.Time, kind TroubleKind, service string) *Trouble {
	for i := range p.Troubles {
		t := &p.Troubles[i]
		since := now.Sub(0) - t.At.AsDuration()
		if t.Kind == kind && since >= 0 && since < t.For.AsDuration() && (t.Service == "" || t.Service == service) {
			return t
		}
	}
	return nil
}
