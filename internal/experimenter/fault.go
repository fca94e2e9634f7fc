// The schedule of faults as actions on a fleet.

package experimenter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// action is one step of the schedule.
type action struct {
	at   time.Duration // from the start of the measured time
	name string
	do   func(ctx context.Context) error
}

// stage is the fleet with the trace and the meter that faults keep up to date.
type stage struct {
	experiment *planner.Experiment
	fleet      *launcher.Fleet
	trace      *trace
	meter      *meter
}

// perform does all actions of the schedule, one after the other, until waiting
// ends. An action that is under way then is brought to its end.
func (s *stage) perform(ctx, waiting context.Context) error {
	var actions []action
	for i := range s.experiment.Faults {
		actions = append(actions, s.actions(&s.experiment.Faults[i])...)
	}
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	for _, a := range actions {
		if !flow.Sleep(waiting, a.at-s.trace.now()) {
			return nil
		}
		s.trace.note(presenter.EventAction, "", a.name)
		if err := a.do(ctx); err != nil {
			return flow.Wrap("perform", a.name, err)
		}
	}
	return nil
}

// actions returns the actions of one fault.
func (s *stage) actions(f *planner.Fault) []action {
	switch f.Kind {
	case planner.FaultGray:
		return s.gray(f)
	case planner.FaultColdHerd:
		return []action{{f.At.Of(), "cold-herd " + f.Service, func(context.Context) error { return s.turnCold(f.Service) }}}
	case planner.FaultSurge:
		return s.between(f, "surge "+f.Customer, nothing, nothing) // the callers' schedule holds it
	case planner.FaultZoneOut:
		return s.zoneOut(f)
	case planner.FaultZoneCut:
		return s.zoneCut(f)
	case planner.FaultPlatformDown:
		return s.between(f, "platform-down",
			func(context.Context) error { return s.fleet.Platform.SetMode(publisher.ModeDown) },
			func(context.Context) error { return s.fleet.Platform.SetMode(publisher.ModeNormal) })
	case planner.FaultHostKill:
		return s.hostKill(f)
	case planner.FaultRollingRestart:
		return []action{{f.At.Of(), "rolling-restart", func(ctx context.Context) error { return s.rollingRestart(ctx, f) }}}
	}
	return nil
}

func nothing(context.Context) error { return nil }

// between returns the beginning of a fault and, when it has one, its end.
func (s *stage) between(f *planner.Fault, name string, begin, end func(context.Context) error) []action {
	actions := []action{{f.At.Of(), name, begin}}
	if f.For > 0 {
		actions = append(actions, action{f.At.Of() + f.For.Of(), "end of " + name, end})
	}
	return actions
}

// -----------------------------------------------------------------------------

func (s *stage) gray(f *planner.Fault) []action {
	fault := server.Fault{Kind: f.Effect, Factor: f.Factor, Share: f.Share, Period: f.Period.Of()}
	set := func(fault server.Fault) error {
		for _, name := range f.Servers {
			if err := s.server(name).SetFault(fault); err != nil {
				return err
			}
			if fault.Kind == server.FaultNone {
				s.trace.end(name, conditionFaulty)
			} else {
				s.trace.begin(name, conditionFaulty, 0)
			}
		}
		return nil
	}
	return s.between(f, fmt.Sprintf("gray %s on %v", f.Effect, f.Servers),
		func(context.Context) error { return set(fault) },
		func(context.Context) error { return set(server.Fault{Kind: server.FaultNone}) })
}

func (s *stage) server(name string) *launcher.Server {
	for _, started := range s.fleet.Servers {
		if started.Name == name {
			return started
		}
	}
	return nil
}

func (s *stage) turnCold(service string) error {
	for _, started := range s.fleet.Servers {
		if started.Service == service {
			s.chill(started)
		}
	}
	return nil
}

// chill turns a backend server cold. A collapse after that is not foreseen
// here, so that the cold start counts for twice its length.
func (s *stage) chill(started *launcher.Server) {
	started.StartCold()
	if cold := started.Options.ColdStart; cold > 0 {
		s.trace.begin(started.Name, conditionCold, 2*cold)
	}
}

// -----------------------------------------------------------------------------

func (s *stage) zoneOut(f *planner.Fault) []action {
	name := "zone-out " + f.Zone
	servers := map[string]bool{}
	for _, d := range s.fleet.Daemons {
		if d.Zone != f.Zone {
			continue
		}
		for _, started := range s.fleet.ServersOf(d.Host) {
			servers[started.Name] = true
		}
	}
	publish := func(state flow.ZoneState) {
		s.fleet.Platform.Publish(s.fleet.Plan.ZoneRecord(f.Zone, state))
	}
	return s.between(f, name,
		func(context.Context) error {
			s.trace.takeOut(name, servers)
			publish(flow.ZoneOut)
			return nil
		},
		func(context.Context) error {
			s.trace.putBack(name)
			publish(flow.ZoneIn)
			return nil
		})
}

func (s *stage) zoneCut(f *planner.Fault) []action {
	kind := cmp.Or(f.Network, interrupter.Hold)
	disturb := func(kind interrupter.Kind) error {
		for _, inside := range s.fleet.Daemons {
			for _, outside := range s.fleet.Daemons {
				if inside.Zone != f.Zone || outside.Zone == f.Zone {
					continue
				}
				if err := s.cut(f.Way, inside, outside, kind); err != nil {
					return err
				}
			}
		}
		return nil
	}
	return s.between(f, fmt.Sprintf("zone-cut %s %s %s", f.Zone, f.Way, kind),
		func(context.Context) error { return disturb(kind) },
		func(context.Context) error { return disturb(interrupter.Pass) })
}

func (s *stage) cut(way planner.Way, inside, outside *launcher.Daemon, kind interrupter.Kind) error {
	var out, in error
	if way != planner.WayIn {
		out = s.fleet.InjectFault(inside, outside, kind)
	}
	if way != planner.WayOut {
		in = s.fleet.InjectFault(outside, inside, kind)
	}
	return errors.Join(out, in)
}
