// Patterns of load, as they are written in files.

package simulator

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// stepRead is the step of the errors of reading a pattern.
const stepRead = flow.Step("read-pattern")

// Pattern is a load on a fleet, and what happens to both.
type Pattern struct {
	Fleet     `json:"-"`
	Name      string           `json:"-"`          // of the file
	FleetFile string           `json:"fleet-file"` // beside the pattern's own
	Duration  planner.Duration `json:"duration"`   // time in which requests arrive
	Load      float64          `json:"load"`       // as a multiple of the fleet's usual one; 0 for that
	RateShare float64          `json:"rate-share"` // a customer's rate, as a multiple of its usual load; 0 for no limit
	Troubles  []Trouble        `json:"troubles"`
}

// Fleet is what a pattern is played on.
type Fleet struct {
	Zones     int       `json:"zones"`
	Customers int       `json:"customers"`
	Services  []Service `json:"services"`
	Kinds     []Kind    `json:"kinds"`
}

// Service is a group of backend servers, dealt out evenly to the zones.
type Service struct {
	Name       string           `json:"name"`
	Servers    int              `json:"servers"`
	Slots      int              `json:"slots"`
	ErrorShare float64          `json:"error-share"` // of the work that fails by chance
	GrayShare  float64          `json:"gray-share"`  // of the servers that are gray at any time
	GrayTurn   planner.Duration `json:"gray-turn"`   // after which each server may turn gray or sound
	GrayFails  float64          `json:"gray-fails"`  // share of the work that a gray server fails
	GrayAfter  planner.Duration `json:"gray-after"`  // time after which it fails it
}

// Kind is a kind of request.
type Kind struct {
	Name       string           `json:"name"`
	Service    string           `json:"service"`
	PerSecond  float64          `json:"per-second"` // over all hosts; 0 for calls of other requests
	Work       planner.Duration `json:"work"`       // mean time that it takes a server
	Spread     float64          `json:"spread"`     // standard deviation of that time's logarithm
	Target     planner.Duration `json:"target"`     // within which an answer has its full worth
	Deadline   planner.Duration `json:"deadline"`
	Idempotent bool             `json:"idempotent"`
	Attempts   int              `json:"attempts"`
	Priority   int              `json:"priority"` // 0 is the most urgent
	Worth      float64          `json:"worth"`
	LateWorth  float64          `json:"late-worth"`
	Calls      string           `json:"calls"`      // kind of the call that its run makes
	CallShare  float64          `json:"call-share"` // share of the runs that make it
}

// Trouble is something that happens for a time.
type Trouble struct {
	Kind    TroubleKind      `json:"kind"`
	At      planner.Duration `json:"at"`
	For     planner.Duration `json:"for"`
	Service string           `json:"service"` // "" for all
	Share   float64          `json:"share"`   // of the servers, or of the callers
	Factor  float64          `json:"factor"`  // how strong it is
}

// TroubleKind names a kind of trouble.
type TroubleKind string

// The kinds of trouble.
const (
	// Burst multiplies the load by the factor.
	Burst TroubleKind = "burst"
	// HotCustomer multiplies the load of one customer by the factor.
	HotCustomer TroubleKind = "hot-customer"
	// RepeatAtOnce has a share of the callers send a failed request again at once, as
	// many times as the factor says.
	RepeatAtOnce TroubleKind = "repeat-at-once"
	// LeaveEarly has a share of the callers leave at a factor of the target.
	LeaveEarly TroubleKind = "leave-early"
	// Slow multiplies the work of a share of the servers by the factor.
	Slow TroubleKind = "slow"
	// Shed has a share of the servers turn away a part of their requests, the factor.
	Shed TroubleKind = "shed"
	// ZoneOut takes the first zone out of service.
	ZoneOut TroubleKind = "zone-out"
	// ColdReturn has the servers of the first zone away, and cold after that.
	ColdReturn TroubleKind = "cold-return"
	// RollingRestart stops a share of the daemons one after the other.
	RollingRestart TroubleKind = "rolling-restart"
)

var troubleKinds = map[TroubleKind]bool{
	Burst: true, HotCustomer: true, RepeatAtOnce: true, LeaveEarly: true, Slow: true,
	Shed: true, ZoneOut: true, ColdReturn: true, RollingRestart: true,
}

// Read reads a pattern, and the fleet that it names, from files of JSON with comments.
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
		return fmt.Errorf("zones, customers and duration have to be above 0")
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

func (p *Pattern) kind(name string) *Kind {
	for i := range p.Kinds {
		if p.Kinds[i].Name == name {
			return &p.Kinds[i]
		}
	}
	return nil
}

// active returns the trouble of a kind that a service is in.
func (p *Pattern) active(now flow.Time, kind TroubleKind, service string) *Trouble {
	for i := range p.Troubles {
		t := &p.Troubles[i]
		since := now.Sub(0) - t.At.AsDuration()
		if t.Kind == kind && since >= 0 && since < t.For.AsDuration() && (t.Service == "" || t.Service == service) {
			return t
		}
	}
	return nil
}
