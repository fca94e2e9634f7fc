// Validation of experiments.

package planner

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// Bounds of an experiment. It shares its machine with other processes.
const (
	maxHosts    = 90
	maxDuration = 10 * time.Minute
)

func checkDeployment(f *sourceFile, d *Deployment) error {
	switch {
	case d.Region == "":
		return f.errorAt("/region", "is missing")
	case len(d.Zones) == 0:
		return f.errorAt("/zones", "contains no availability zone")
	case d.Hosts < 1 || d.Hosts > maxHosts:
		return f.errorAt("/hosts", "is %d; allowed: 1 to %d", d.Hosts, maxHosts)
	case len(d.Services) == 0:
		return f.errorAt("/services", "contains no service")
	case len(d.Customers) == 0:
		return f.errorAt("/customers", "contains no customer")
	}
	if err := checkSettings(f, d.Settings); err != nil {
		return err
	}
	for i, service := range d.Services {
		if err := checkService(f, "/services/"+strconv.Itoa(i), service); err != nil {
			return err
		}
	}
	for i, customer := range d.Customers {
		if err := checkCustomer(f, "/customers/"+strconv.Itoa(i), d, customer); err != nil {
			return err
		}
	}
	return nil
}

func checkSettings(f *sourceFile, settings map[string]any) error {
	for name := range settings {
		if !knownSetting(name) {
			return f.errorAt("/settings/"+name, "is not a known setting")
		}
	}
	return nil
}

func knownSetting(name string) bool {
	return slices.ContainsFunc(parser.SettingRows(), func(row parser.SettingRow) bool { return row.Name == name })
}

func checkService(f *sourceFile, at string, s Service) error {
	switch {
	case s.Name == "":
		return f.errorAt(at+"/name", "is missing")
	case s.Servers < 1:
		return f.errorAt(at+"/servers", "is %d; allowed: at least 1", s.Servers)
	case s.Slots < 1:
		return f.errorAt(at+"/slots", "is %d; allowed: at least 1", s.Slots)
	case s.Floor < 0 || s.Floor > 1:
		return f.errorAt(at+"/floor", "is %v; allowed: 0 to 1", s.Floor)
	}
	return nil
}

func checkCustomer(f *sourceFile, at string, d *Deployment, c Customer) error {
	switch {
	case c.Name == "":
		return f.errorAt(at+"/name", "is missing")
	case c.PerSecond <= 0:
		return f.errorAt(at+"/per-second", "is %v; allowed: above 0", c.PerSecond)
	case c.Burst < 1:
		return f.errorAt(at+"/burst", "is %d; allowed: at least 1", c.Burst)
	}
	for i, traffic := range c.Traffic {
		if err := checkTraffic(f, at+"/traffic/"+strconv.Itoa(i), d, traffic); err != nil {
			return err
		}
	}
	return nil
}

func checkTraffic(f *sourceFile, at string, d *Deployment, t Traffic) error {
	choices := []caller.Choice{"", caller.Sticky, caller.Spread, caller.Wandering}
	shapes := []caller.Shape{"", caller.Constant, caller.Bursty, caller.Step}
	switch {
	case !d.hasService(t.Service):
		return f.errorAt(at+"/service", "%q is not one of the services", t.Service)
	case t.PerSecond < 0:
		return f.errorAt(at+"/per-second", "is negative")
	case !slices.Contains(choices, t.Choice):
		return f.errorAt(at+"/choice", "is %q; allowed: %q", t.Choice, choices[1:])
	case !slices.Contains(shapes, t.Shape):
		return f.errorAt(at+"/shape", "is %q; allowed: %q", t.Shape, shapes[1:])
	case t.Shape == caller.Bursty && t.Period == 0:
		return f.errorAt(at+"/period", "is missing; bursts require one")
	case t.Writes < 0 || t.Writes > 1:
		return f.errorAt(at+"/writes", "is %v; allowed: 0 to 1", t.Writes)
	case t.IdempotencyKeys < 0 || t.IdempotencyKeys > 1:
		return f.errorAt(at+"/idempotency-keys", "is %v; allowed: 0 to 1", t.IdempotencyKeys)
	}
	return nil
}

func (d *Deployment) hasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// hasServer reports whether the fleet will have a backend server of that name.
func (d *Deployment) hasServer(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool {
		return isNumbered(name, s.Name+"-", s.Servers)
	})
}

// isNumbered reports whether name is prefix followed by a number from 1 to last.
func isNumbered(name, prefix string, last int) bool {
	number, found := strings.CutPrefix(name, prefix)
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= last && number == strconv.Itoa(n)
}

func checkExperiment(f *sourceFile, e *Experiment) error {
	if err := checkSettings(f, e.Settings); err != nil {
		return err
	}
	if e.Duration <= 0 || e.Duration.AsDuration() > maxDuration {
		return f.errorAt("/duration", "is %v; allowed: above 0 and at most %v", e.Duration.AsDuration(), maxDuration)
	}
	if e.LoadFactor < 0 {
		return f.errorAt("/load-times", "is negative")
	}
	for i, fault := range e.Faults {
		field, err := fault.check(e)
		if err != nil {
			return f.errorAt("/faults/"+strconv.Itoa(i)+"/"+field, "%v", err)
		}
	}
	return nil
}

// check returns the name of an invalid field and why it is invalid.
func (f *Fault) check(e *Experiment) (field string, err error) {
	if f.At > e.Duration {
		return "at", fmt.Errorf("is %v, after the run of %v", f.At.AsDuration(), e.Duration.AsDuration())
	}
	d := e.Deployment
	switch f.Kind {
	case FaultGray:
		return f.checkGray(d)
	case FaultColdHerd:
		if !d.hasService(f.Service) {
			return "service", fmt.Errorf("%q is not one of the services", f.Service)
		}
	case FaultSurge:
		return f.checkSurge(d)
	case FaultZoneOut:
		return f.checkZone(d)
	case FaultZoneCut:
		return f.checkZoneCut(e)
	case FaultHostKill, FaultRollingRestart:
		return f.checkHosts(d)
	case FaultPlatformDown:
	default:
		return "kind", fmt.Errorf("is %q; allowed: %q", f.Kind, []FaultKind{
			FaultGray, FaultColdHerd, FaultSurge, FaultZoneOut, FaultZoneCut, FaultPlatformDown, FaultHostKill, FaultRollingRestart,
		})
	}
	return "", nil
}

func (f *Fault) checkGray(d *Deployment) (string, error) {
	effects := []server.FaultKind{
		server.FaultSlow, server.FaultHalf, server.FaultHalfChunked, server.FaultCrossed, server.FaultLate,
		server.FaultFailing, server.FaultReset, server.FaultSilent,
	}
	if !slices.Contains(effects, f.Effect) {
		return "effect", fmt.Errorf("is %q; allowed: %q", f.Effect, effects)
	}
	if len(f.Servers) == 0 {
		return "servers", fmt.Errorf("contains no backend server")
	}
	for _, name := range f.Servers {
		if !d.hasServer(name) {
			return "servers", fmt.Errorf("%q is not one of the backend servers", name)
		}
	}
	return "", nil
}

func (f *Fault) checkSurge(d *Deployment) (string, error) {
	if f.LoadFactor <= 0 {
		return "times", fmt.Errorf("is %v; allowed: above 0", f.LoadFactor)
	}
	for _, customer := range d.Customers {
		if customer.Name != f.Customer {
			continue
		}
		for _, traffic := range customer.Traffic {
			if traffic.Shape != "" && traffic.Shape != caller.Constant {
				return "customer", fmt.Errorf("%q has traffic without a constant rate", f.Customer)
			}
		}
		return "", nil
	}
	return "customer", fmt.Errorf("%q is not one of the customers", f.Customer)
}

func (f *Fault) checkZone(d *Deployment) (string, error) {
	if !slices.Contains(d.Zones, f.Zone) {
		return "zone", fmt.Errorf("%q is not one of the availability zones", f.Zone)
	}
	return "", nil
}

func (f *Fault) checkZoneCut(e *Experiment) (string, error) {
	directions := []Direction{DirectionOut, DirectionIn, DirectionBoth}
	networks := []interrupter.Kind{"", interrupter.Hold, interrupter.Swallow, interrupter.Cut}
	switch {
	case !e.HasNetwork():
		return "kind", fmt.Errorf("requires network-delays")
	case !slices.Contains(directions, f.Direction):
		return "way", fmt.Errorf("is %q; allowed: %q", f.Direction, directions)
	case !slices.Contains(networks, f.Network):
		return "network", fmt.Errorf("is %q; allowed: %q", f.Network, networks[1:])
	}
	return f.checkZone(e.Deployment)
}

func (f *Fault) checkHosts(d *Deployment) (string, error) {
	if f.Kind == FaultHostKill && len(f.Hosts) == 0 {
		return "hosts", fmt.Errorf("contains no host")
	}
	for _, name := range f.Hosts {
		if !isNumbered(name, "host-", d.Hosts) {
			return "hosts", fmt.Errorf("%q is not one of the hosts", name)
		}
	}
	return "", nil
}

// HasNetwork reports whether a simulated network connects the processes.
func (e *Experiment) HasNetwork() bool { return e.NetworkDelays == nil || *e.NetworkDelays }

// Override sets a setting of every daemon from a string like "limiter=fixed". It
// returns an error if the string has another form or the setting does not exist.
func (e *Experiment) Override(text string) error {
	name, value, found := strings.Cut(text, "=")
	if !found || !knownSetting(name) {
		return fmt.Errorf("%q is not of the form SETTING=VALUE with a known setting", text)
	}
	if e.Settings == nil {
		e.Settings = map[string]any{}
	}
	e.Settings[name] = value
	if number, err := strconv.Atoi(value); err == nil {
		e.Settings[name] = number
	}
	return nil
}
