// Injecting the scheduled faults into a fleet.

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

// faultInjector injects faults into a fleet, and updates the trace and the CPU meter
// accordingly.
type faultInjector struct {
	experiment *planner.Experiment
	fleet      *launcher.Fleet
	trace      *trace
	cpuMeter   *cpuMeter
}

// run performs all actions of the schedule, one after the other, until waitCtx is
// done. It completes an action that has started then, unless ctx is done too.
func (fi *faultInjector) run(ctx, waitCtx context.Context) error {
	var actions []action
	for i := range fi.experiment.Faults {
		actions = append(actions, fi.actions(&fi.experiment.Faults[i])...)
	}
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	for _, a := range actions {
		if !flow.Sleep(waitCtx, a.at-fi.trace.now()) {
			return nil
		}
		fi.trace.addEvent(presenter.EventAction, "", a.name)
		if err := a.do(ctx); err != nil {
			return flow.Wrap("perform", a.name, err)
		}
	}
	return nil
}

// actions returns the actions of one fault.
func (fi *faultInjector) actions(f *planner.Fault) []action {
	switch f.Kind {
	case planner.FaultGray:
		return fi.grayActions(f)
	case planner.FaultColdHerd:
		return []action{{f.At.AsDuration(), "cold-herd " + f.Service, func(context.Context) error { return fi.turnServiceCold(f.Service) }}}
	case planner.FaultSurge:
		return fi.startAndEnd(f, "surge "+f.Customer, noAction, noAction) // the callers apply it by their own schedule
	case planner.FaultZoneOut:
		return fi.zoneOutActions(f)
	case planner.FaultZoneCut:
		return fi.zoneCutActions(f)
	case planner.FaultPlatformDown:
		return fi.startAndEnd(f, "platform-down",
			func(context.Context) error { return fi.fleet.Platform.SetMode(publisher.ModeDown) },
			func(context.Context) error { return fi.fleet.Platform.SetMode(publisher.ModeNormal) })
	case planner.FaultHostKill:
		return fi.hostKillActions(f)
	case planner.FaultRollingRestart:
		return []action{{f.At.AsDuration(), "rolling-restart", func(ctx context.Context) error { return fi.rollingRestart(ctx, f) }}}
	}
	return nil
}

func noAction(context.Context) error { return nil }

// startAndEnd returns the action that starts a fault and, if the fault is limited
// in time, the action that ends it.
func (fi *faultInjector) startAndEnd(f *planner.Fault, name string, start, end func(context.Context) error) []action {
	actions := []action{{f.At.AsDuration(), name, start}}
	if f.For > 0 {
		actions = append(actions, action{f.At.AsDuration() + f.For.AsDuration(), "end of " + name, end})
	}
	return actions
}

func (fi *faultInjector) grayActions(f *planner.Fault) []action {
	fault := server.Fault{Kind: f.Effect, Factor: f.SlowFactor, Share: f.Share, Period: f.Period.AsDuration()}
	set := func(fault server.Fault) error {
		for _, name := range f.Servers {
			if err := fi.findServer(name).SetFault(fault); err != nil {
				return err
			}
			if fault.Kind == server.FaultNone {
				fi.trace.endCondition(name, conditionFaulty)
			} else {
				fi.trace.beginCondition(name, conditionFaulty, 0)
			}
		}
		return nil
	}
	return fi.startAndEnd(f, fmt.Sprintf("gray %s on %v", f.Effect, f.Servers),
		func(context.Context) error { return set(fault) },
		func(context.Context) error { return set(server.Fault{Kind: server.FaultNone}) })
}

func (fi *faultInjector) findServer(name string) *launcher.Server {
	for _, started := range fi.fleet.Servers {
		if started.Name == name {
			return started
		}
	}
	return nil
}

func (fi *faultInjector) turnServiceCold(service string) error {
	for _, started := range fi.fleet.Servers {
		if started.Service == service {
			fi.turnServerCold(started)
		}
	}
	return nil
}

// turnServerCold turns a backend server cold. The server counts as cold for twice
// its cold start, since it may collapse after that and the collapse is not recorded.
func (fi *faultInjector) turnServerCold(started *launcher.Server) {
	started.StartCold()
	if cold := started.Options.ColdStart; cold > 0 {
		fi.trace.beginCondition(started.Name, conditionCold, 2*cold)
	}
}

func (fi *faultInjector) zoneOutActions(f *planner.Fault) []action {
	name := "zone-out " + f.Zone
	servers := map[string]bool{}
	for _, d := range fi.fleet.Daemons {
		if d.Zone != f.Zone {
			continue
		}
		for _, started := range fi.fleet.ServersOf(d.Host) {
			servers[started.Name] = true
		}
	}
	publish := func(state flow.ZoneState) {
		fi.fleet.Platform.Publish(fi.fleet.Plan.ZoneRecord(f.Zone, state))
	}
	return fi.startAndEnd(f, name,
		func(context.Context) error {
			fi.trace.beginOutage(name, servers)
			publish(flow.ZoneOut)
			return nil
		},
		func(context.Context) error {
			fi.trace.endOutage(name)
			publish(flow.ZoneIn)
			return nil
		})
}

func (fi *faultInjector) zoneCutActions(f *planner.Fault) []action {
	kind := cmp.Or(f.Network, interrupter.Hold)
	disturb := func(kind interrupter.Kind) error {
		for _, inside := range fi.fleet.Daemons {
			for _, outside := range fi.fleet.Daemons {
				if inside.Zone != f.Zone || outside.Zone == f.Zone {
					continue
				}
				if err := fi.disturbLinks(f.Direction, inside, outside, kind); err != nil {
					return err
				}
			}
		}
		return nil
	}
	return fi.startAndEnd(f, fmt.Sprintf("zone-cut %s %s %s", f.Zone, f.Direction, kind),
		func(context.Context) error { return disturb(kind) },
		func(context.Context) error { return disturb(interrupter.Pass) })
}

func (fi *faultInjector) disturbLinks(direction planner.Direction, inside, outside *launcher.Daemon, kind interrupter.Kind) error {
	var outErr, inErr error
	if direction != planner.DirectionIn {
		outErr = fi.fleet.InjectFault(inside, outside, kind)
	}
	if direction != planner.DirectionOut {
		inErr = fi.fleet.InjectFault(outside, inside, kind)
	}
	return errors.Join(outErr, inErr)
}
