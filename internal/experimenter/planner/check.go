// The checks of an experiment whose files could be read.

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

// Bounds of an experiment, which share a machine with others.
const (
	mostHosts    = 90
	mostDuration = 10 * time.Minute
)

func checkDeployment(f *sourceFile, d *Deployment) error {
	switch {
	case d.Region == "":
		return f.fault("/region", "is missing")
	case len(d.Zones) == 0:
		return f.fault("/zones", "names no availability zone")
	case d.Hosts < 1 || d.Hosts > mostHosts:
		return f.fault("/hosts", "is %d; allowed: 1 to %d", d.Hosts, mostHosts)
	case len(d.Services) == 0:
		return f.fault("/services", "names no service")
	case len(d.Customers) == 0:
		return f.fault("/customers", "names no customer")
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
			return f.fault("/settings/"+name, "is no known setting")
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
		return f.fault(at+"/name", "is missing")
	case s.Servers < 1:
		return f.fault(at+"/servers", "is %d; allowed: at least 1", s.Servers)
	case s.Slots < 1:
		return f.fault(at+"/slots", "is %d; allowed: at least 1", s.Slots)
	case s.Floor < 0 || s.Floor > 1:
		return f.fault(at+"/floor", "is %v; allowed: 0 to 1", s.Floor)
	}
	return nil
}

func checkCustomer(f *sourceFile, at string, d *Deployment, c Customer) error {
	switch {
	case c.Name == "":
		return f.fault(at+"/name", "is missing")
	case c.PerSecond <= 0:
		return f.fault(at+"/per-second", "is %v; allowed: above 0", c.PerSecond)
	case c.Burst < 1:
		return f.fault(at+"/burst", "is %d; allowed: at least 1", c.Burst)
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
		return f.fault(at+"/service", "%q is none of the services", t.Service)
	case t.PerSecond < 0:
		return f.fault(at+"/per-second", "is negative")
	case !slices.Contains(choices, t.Choice):
		return f.fault(at+"/choice", "is %q; allowed: %q", t.Choice, choices[1:])
	case !slices.Contains(shapes, t.Shape):
		return f.fault(at+"/shape", "is %q; allowed: %q", t.Shape, shapes[1:])
	case t.Shape == caller.Bursty && t.Period == 0:
		return f.fault(at+"/period", "is missing, and bursts need one")
	case t.Writes < 0 || t.Writes > 1:
		return f.fault(at+"/writes", "is %v; allowed: 0 to 1", t.Writes)
	case t.IdempotencyKeys < 0 || t.IdempotencyKeys > 1:
		return f.fault(at+"/idempotency-keys", "is %v; allowed: 0 to 1", t.IdempotencyKeys)
	}
	return nil
}

func (d *Deployment) hasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// hasServer reports whether a backend server of a name will be started.
func (d *Deployment) hasServer(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool {
		return isNumbered(name, s.Name+"-", s.Servers)
	})
}

// isNumbered reports whether a name is a prefix and a number from 1 to most.
func isNumbered(name, prefix string, most int) bool {
	number, found := strings.CutPrefix(name, prefix)
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= most && number == strconv.Itoa(n)
}

// -----------------------------------------------------------------------------

func checkExperiment(f *sourceFile, e *Experiment) error {
	if err := checkSettings(f, e.Settings); err != nil {
		return err
	}
	if e.Duration <= 0 || e.Duration.Of() > mostDuration {
		return f.fault("/duration", "is %v; allowed: above 0 and at most %v", e.Duration.Of(), mostDuration)
	}
	if e.LoadTimes < 0 {
		return f.fault("/load-times", "is negative")
	}
	for i, fault := range e.Faults {
		field, err := fault.check(e)
		if err != nil {
			return f.fault("/faults/"+strconv.Itoa(i)+"/"+field, "%v", err)
		}
	}
	return nil
}

// check returns the field that is wrong and why.
func (f *Fault) check(e *Experiment) (field string, err error) {
	if f.At > e.Duration {
		return "at", fmt.Errorf("is %v, after the run of %v", f.At.Of(), e.Duration.Of())
	}
	d := e.Deployment
	switch f.Kind {
	case FaultGray:
		return f.checkGray(d)
	case FaultColdHerd:
		if !d.hasService(f.Service) {
			return "service", fmt.Errorf("%q is none of the services", f.Service)
		}
	case FaultSurge:
		return f.checkSurge(d)
	case FaultZoneOut:
		return f.checkZone(d)
	case FaultZoneCut:
		return f.checkCut(e)
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
		return "servers", fmt.Errorf("names no backend server")
	}
	for _, name := range f.Servers {
		if !d.hasServer(name) {
			return "servers", fmt.Errorf("%q is none of the backend servers", name)
		}
	}
	return "", nil
}

func (f *Fault) checkSurge(d *Deployment) (string, error) {
	if f.Times <= 0 {
		return "times", fmt.Errorf("is %v; allowed: above 0", f.Times)
	}
	for _, customer := range d.Customers {
		if customer.Name != f.Customer {
			continue
		}
		for _, traffic := range customer.Traffic {
			if traffic.Shape != "" && traffic.Shape != caller.Constant {
				return "customer", fmt.Errorf("%q sends at no constant rate", f.Customer)
			}
		}
		return "", nil
	}
	return "customer", fmt.Errorf("%q is none of the customers", f.Customer)
}

func (f *Fault) checkZone(d *Deployment) (string, error) {
	if !slices.Contains(d.Zones, f.Zone) {
		return "zone", fmt.Errorf("%q is none of the availability zones", f.Zone)
	}
	return "", nil
}

func (f *Fault) checkCut(e *Experiment) (string, error) {
	ways := []Way{WayOut, WayIn, WayBoth}
	networks := []interrupter.Kind{"", interrupter.Hold, interrupter.Swallow, interrupter.Cut}
	switch {
	case !e.Interrupts():
		return "kind", fmt.Errorf("needs network-delays")
	case !slices.Contains(ways, f.Way):
		return "way", fmt.Errorf("is %q; allowed: %q", f.Way, ways)
	case !slices.Contains(networks, f.Network):
		return "network", fmt.Errorf("is %q; allowed: %q", f.Network, networks[1:])
	}
	return f.checkZone(e.Deployment)
}

func (f *Fault) checkHosts(d *Deployment) (string, error) {
	if f.Kind == FaultHostKill && len(f.Hosts) == 0 {
		return "hosts", fmt.Errorf("names no host")
	}
	for _, name := range f.Hosts {
		if !isNumbered(name, "host-", d.Hosts) {
			return "hosts", fmt.Errorf("%q is none of the hosts", name)
		}
	}
	return "", nil
}

// Interrupts reports whether there is a network between the processes.
func (e *Experiment) Interrupts() bool { return e.Interrupt == nil || *e.Interrupt }

// Override sets a setting of every daemon from a text like "limiter=fixed".
func (e *Experiment) Override(text string) error {
	name, value, found := strings.Cut(text, "=")
	if !found || !knownSetting(name) {
		return fmt.Errorf("%q is not like SETTING=VALUE with a known setting", text)
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
