// Faults and planned stops of hosts.

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

// restartTimeout bounds the time until a restarted daemon takes work.
const restartTimeout = 30 * time.Second

func (s *stage) hostKill(f *planner.Fault) []action {
	name := fmt.Sprintf("host-kill %v", f.Hosts)
	end := s.kill
	if f.Silent {
		end = s.silence
	}
	actions := []action{{f.At.Of(), name, func(context.Context) error { return s.eachHost(f.Hosts, end) }}}
	if f.DroppedAfter > 0 {
		actions = append(actions, action{f.At.Of() + f.DroppedAfter.Of(), "list drops " + fmt.Sprint(f.Hosts), func(context.Context) error {
			s.drop(f.Hosts)
			return nil
		}})
	}
	if f.BackAfter > 0 {
		actions = append(actions, action{f.At.Of() + f.BackAfter.Of(), "hosts back " + fmt.Sprint(f.Hosts), func(ctx context.Context) error {
			return s.bringBack(ctx, f.Hosts)
		}})
	}
	return actions
}

// eachHost does something to the daemons of some hosts, all at once.
func (s *stage) eachHost(hosts []string, do func(d *launcher.Daemon) error) error {
	failures := make([]error, len(hosts))
	var doing sync.WaitGroup
	for i, host := range hosts {
		doing.Go(func() { failures[i] = do(s.fleet.Daemon(host)) })
	}
	doing.Wait()
	return errors.Join(failures...)
}

// kill ends a daemon's process; connections to it are refused from then on.
func (s *stage) kill(d *launcher.Daemon) error {
	d.Kill()
	s.meter.ended(d)
	s.trace.note(eventStopped, d.Host, "killed")
	return s.fleet.RefuseConnections(d, true)
}

// silence makes a daemon answer nothing while its connections stay open, like
// a host that has lost its power.
func (s *stage) silence(d *launcher.Daemon) error {
	d.Pause()
	return nil
}

// drop deletes the records of hosts and their backend servers.
func (s *stage) drop(hosts []string) {
	var ids []flow.RecordID
	for _, host := range hosts {
		ids = append(ids, flow.RecordID{Kind: flow.KindHost, Name: host})
		for _, started := range s.fleet.ServersOf(host) {
			ids = append(ids, flow.RecordID{Kind: flow.KindBackendServer, Name: started.Name})
		}
	}
	s.fleet.Platform.Delete(ids...)
}

// bringBack starts hosts again, with cold backend servers, and lists them.
func (s *stage) bringBack(ctx context.Context, hosts []string) error {
	var records []flow.RawRecord
	for _, host := range hosts {
		records = append(records, s.fleet.HostRecord(s.fleet.Daemon(host), flow.MemberLive))
		for _, started := range s.fleet.ServersOf(host) {
			s.chill(started)
			records = append(records, started.Record(flow.MemberLive))
		}
	}
	err := s.eachHost(hosts, func(d *launcher.Daemon) error { return s.start(ctx, d) })
	s.fleet.Platform.Publish(records...)
	return err
}

// start starts a daemon whose process has ended or lies silent.
func (s *stage) start(ctx context.Context, d *launcher.Daemon) error {
	if d.Running() {
		d.Kill()
		s.meter.ended(d)
		s.trace.note(eventStopped, d.Host, "killed")
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	s.meter.started(d)
	return s.fleet.RefuseConnections(d, false)
}

// rollingRestart restarts hosts by planned stops. It goes on to the next batch
// once every daemon of the one before takes work.
func (s *stage) rollingRestart(ctx context.Context, f *planner.Fault) error {
	hosts := f.Hosts
	if len(hosts) == 0 {
		for _, d := range s.fleet.Daemons {
			hosts = append(hosts, d.Host)
		}
	}
	for batch := range slices.Chunk(hosts, max(f.AtOnce, 1)) {
		if err := s.eachHost(batch, func(d *launcher.Daemon) error { return s.restart(ctx, d) }); err != nil {
			return err
		}
		if !flow.Sleep(ctx, f.Pause.Of()) {
			return nil
		}
	}
	return nil
}

// The events of a host.
const (
	eventStopped   = "stopped"
	eventStarted   = "started"
	eventTakesWork = "takes-work"
)

func (s *stage) restart(ctx context.Context, d *launcher.Daemon) error {
	began := time.Now()
	if err := d.Stop(); err != nil {
		return flow.Wrap("stop", d.Host, err)
	}
	s.meter.ended(d)
	if err := s.fleet.RefuseConnections(d, true); err != nil {
		return err
	}
	s.trace.note(eventStopped, d.Host, fmt.Sprintf("in %v", time.Since(began).Round(time.Millisecond)))
	if ctx.Err() != nil {
		return nil
	}
	if err := s.start(ctx, d); err != nil {
		return err
	}
	s.trace.note(eventStarted, d.Host, "")
	waiting, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	err := launcher.AwaitApplied(waiting, d, s.fleet.Platform.Revision())
	if ctx.Err() != nil {
		return nil
	}
	s.trace.note(eventTakesWork, d.Host, fmt.Sprintf("in %v", time.Since(began).Round(time.Millisecond)))
	return err
}
