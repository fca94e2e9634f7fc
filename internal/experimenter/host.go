// Killing, pausing and restarting the daemons of hosts.

package experimenter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// restartTimeout bounds the time until a restarted daemon has applied the current
// revision and so takes work.
const restartTimeout = 30 * time.Second

func (fi *faultInjector) hostKillActions(f *planner.Fault) []action {
	name := fmt.Sprintf("host-kill %v", f.Hosts)
	stop := fi.killDaemon
	if f.Silent {
		stop = fi.pauseDaemon
	}
	actions := []action{{f.At.AsDuration(), name, func(context.Context) error { return fi.forEachHost(f.Hosts, stop) }}}
	if f.DroppedAfter > 0 {
		actions = append(actions, action{f.At.AsDuration() + f.DroppedAfter.AsDuration(), "list drops " + fmt.Sprint(f.Hosts), func(context.Context) error {
			fi.deleteHosts(f.Hosts)
			return nil
		}})
	}
	if f.BackAfter > 0 {
		actions = append(actions, action{f.At.AsDuration() + f.BackAfter.AsDuration(), "hosts back " + fmt.Sprint(f.Hosts), func(ctx context.Context) error {
			return fi.bringBackHosts(ctx, f.Hosts)
		}})
	}
	return actions
}

// forEachHost calls do for the daemons of hosts, concurrently.
func (fi *faultInjector) forEachHost(hosts []string, do func(d *launcher.Daemon) error) error {
	errs := make([]error, len(hosts))
	var goroutines sync.WaitGroup
	for i, host := range hosts {
		goroutines.Go(func() { errs[i] = do(fi.fleet.Daemon(host)) })
	}
	goroutines.Wait()
	return errors.Join(errs...)
}

// killDaemon kills the process of a daemon. Connections to it are refused from then on.
func (fi *faultInjector) killDaemon(d *launcher.Daemon) error {
	d.Kill()
	fi.cpuMeter.processEnded(d)
	fi.trace.addEvent(eventStopped, d.Host, "killed")
	return fi.fleet.RefuseConnections(d, true)
}

// pauseDaemon makes a daemon stop responding while its connections stay open, as
// when a host loses power.
func (fi *faultInjector) pauseDaemon(d *launcher.Daemon) error {
	d.Pause()
	return nil
}

// deleteHosts deletes the records of hosts and their backend servers from the platform.
func (fi *faultInjector) deleteHosts(hosts []string) {
	var ids []flow.RecordID
	for _, host := range hosts {
		ids = append(ids, flow.RecordID{Kind: flow.KindHost, Name: host})
		for _, started := range fi.fleet.ServersOf(host) {
			ids = append(ids, flow.RecordID{Kind: flow.KindBackendServer, Name: started.Name})
		}
	}
	fi.fleet.Platform.Delete(ids...)
}

// bringBackHosts starts hosts again, with cold backend servers, and publishes their
// records.
func (fi *faultInjector) bringBackHosts(ctx context.Context, hosts []string) error {
	var records []flow.RawRecord
	for _, host := range hosts {
		records = append(records, fi.fleet.HostRecord(fi.fleet.Daemon(host), flow.MemberLive))
		for _, started := range fi.fleet.ServersOf(host) {
			fi.turnServerCold(started)
			records = append(records, started.Record(flow.MemberLive))
		}
	}
	err := fi.forEachHost(hosts, func(d *launcher.Daemon) error { return fi.startDaemon(ctx, d) })
	fi.fleet.Platform.Publish(records...)
	return err
}

// startDaemon starts a daemon whose process has ended or is paused. It kills a
// paused one first.
func (fi *faultInjector) startDaemon(ctx context.Context, d *launcher.Daemon) error {
	if d.Running() {
		d.Kill()
		fi.cpuMeter.processEnded(d)
		fi.trace.addEvent(eventStopped, d.Host, "killed")
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	fi.cpuMeter.processStarted(d)
	return fi.fleet.RefuseConnections(d, false)
}

// rollingRestart stops and restarts the daemons of hosts in batches. It starts the
// next batch, after a pause, once every daemon of the one before takes work.
func (fi *faultInjector) rollingRestart(ctx context.Context, f *planner.Fault) error {
	hosts := f.Hosts
	if len(hosts) == 0 {
		for _, d := range fi.fleet.Daemons {
			hosts = append(hosts, d.Host)
		}
	}
	for batch := range slices.Chunk(hosts, max(f.BatchSize, 1)) {
		if err := fi.forEachHost(batch, func(d *launcher.Daemon) error { return fi.restartDaemon(ctx, d) }); err != nil {
			return err
		}
		if !flow.Sleep(ctx, f.BatchPause.AsDuration()) {
			return nil
		}
	}
	return nil
}

// Kinds of events of a host.
const (
	eventStopped   = "stopped"
	eventStarted   = "started"
	eventTakesWork = "takes-work"
)

func (fi *faultInjector) restartDaemon(ctx context.Context, d *launcher.Daemon) error {
	start := time.Now()
	if err := d.Stop(); err != nil {
		return flow.Wrap("stop", d.Host, err)
	}
	fi.cpuMeter.processEnded(d)
	if err := fi.fleet.RefuseConnections(d, true); err != nil {
		return err
	}
	fi.trace.addEvent(eventStopped, d.Host, fmt.Sprintf("in %v", time.Since(start).Round(time.Millisecond)))
	if ctx.Err() != nil {
		return nil
	}
	if err := fi.startDaemon(ctx, d); err != nil {
		return err
	}
	fi.trace.addEvent(eventStarted, d.Host, "")
	awaitCtx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	err := launcher.AwaitApplied(awaitCtx, d, fi.fleet.Platform.Revision())
	if ctx.Err() != nil {
		return nil
	}
	fi.trace.addEvent(eventTakesWork, d.Host, fmt.Sprintf("in %v", time.Since(start).Round(time.Millisecond)))
	return err
}
