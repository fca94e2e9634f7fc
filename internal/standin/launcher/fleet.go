// The fleet: its start and end, its addresses and its records.

package launcher

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// secret is the shared secret of every launched fleet.
const secret = "a secret for loopback only"

// statusPollInterval is the time between two status requests while waiting for a
// daemon.
const statusPollInterval = 50 * time.Millisecond

// Options of a fleet.
type Options struct {
	Program   string // path of the coltsfootflow program
	Plan      Plan
	Interrupt bool      // run an interrupter in front of all daemons
	Log       io.Writer // receives the logs of all daemons; nil to discard them
	Seed      uint64    // of the backend servers and the interrupter
}

// Fleet is a running fleet.
type Fleet struct {
	Plan        Plan
	Platform    *publisher.Publisher
	Interrupter *interrupter.Interrupter // nil without Options.Interrupt
	Daemons     []*Daemon
	Servers     []*Server

	options Options
	number  int    // counts the fleets of this process, from 1
	folder  string // holds the settings files
	cancel  context.CancelFunc
}

// launched counts the fleets that this process has started.
var launched atomic.Int64

// Server is a backend server of the fleet.
type Server struct {
	*server.Server
	Name    string
	Service string
	Host    string
	Options server.Options
}

// Start starts a fleet and publishes its records. The caller must call Close,
// which ends the daemons; the end of ctx ends the stand-ins only. Start returns an
// error if a process or a stand-in can't be started.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Log == nil {
		options.Log = io.Discard
	}
	options.Log = &lockedWriter{to: options.Log}
	folder, err := os.MkdirTemp("", "coltsfootflow-fleet-")
	if err != nil {
		return nil, flow.Wrap("launch", "", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Plan: options.Plan, options: options, number: int(launched.Add(1)), folder: folder, cancel: cancel}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Platform, err = publisher.New(ctx, publisher.Options{}); err != nil {
		return err
	}
	if f.options.Interrupt {
		if f.Interrupter, err = interrupter.New(ctx, interrupter.Options{Seed: f.options.Seed}); err != nil {
			return err
		}
	}
	if err := f.startServers(ctx); err != nil {
		return err
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	records := f.Plan.records()
	for _, d := range f.Daemons {
		if err := f.addLinks(d); err != nil {
			return err
		}
		records = append(records, f.HostRecord(d, flow.MemberLive))
	}
	for _, s := range f.Servers {
		records = append(records, s.Record(flow.MemberLive))
	}
	f.Platform.Publish(records...)
	return nil
}

// startServers starts the backend servers and assigns them to the hosts in turn.
func (f *Fleet) startServers(ctx context.Context) error {
	next := 0
	for _, service := range f.Plan.Services {
		for i := range service.Servers {
			options := service.Server
			options.Name = fmt.Sprintf("%s-%d", service.Name, i+1)
			options.Seed += f.options.Seed + uint64(next)
			started, err := server.New(ctx, options)
			if err != nil {
				return err
			}
			f.Servers = append(f.Servers, &Server{
				Server:  started,
				Name:    options.Name,
				Service: service.Name,
				Host:    f.Plan.hostName(next % f.Plan.Hosts),
				Options: options,
			})
			next++
		}
	}
	return nil
}

// startDaemons starts all daemons concurrently.
func (f *Fleet) startDaemons(ctx context.Context) error {
	errs := make([]error, f.Plan.Hosts)
	var starting sync.WaitGroup
	for i := range f.Plan.Hosts {
		d := f.newDaemon(i)
		f.Daemons = append(f.Daemons, d)
		starting.Go(func() { errs[i] = d.Start(ctx) })
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) newDaemon(i int) *Daemon {
	ip := ipOf(os.Getpid(), f.number, i)
	settings := map[string]any{
		"host":                      f.Plan.hostName(i),
		"region":                    f.Plan.Region,
		"availability-zone":         f.Plan.zoneOf(i),
		"platform":                  []string{"http://" + f.Platform.Addr()},
		"secret":                    secret,
		"platform-calls-per-second": 1000,
	}
	maps.Copy(settings, f.Plan.Settings)
	d := &Daemon{
		Host:     f.Plan.hostName(i),
		Zone:     f.Plan.zoneOf(i),
		IP:       ip,
		program:  f.options.Program,
		settings: settings,
		folder:   f.folder,
		log:      f.options.Log,
	}
	anyPort := ip + ":0"
	d.Addresses.Caller, d.Addresses.Data, d.Addresses.Peer, d.Addresses.Operator = anyPort, anyPort, anyPort, anyPort
	return d
}

// Close kills all processes and ends all stand-ins, and returns when they have
// ended.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.Resume()
		d.Kill()
	}
	f.cancel()
	for _, s := range f.Servers {
		s.Wait()
	}
	if f.Platform != nil {
		f.Platform.Wait()
	}
	if f.Interrupter != nil {
		f.Interrupter.Wait()
	}
	_ = os.RemoveAll(f.folder)
}

// HostRecord returns the record of a daemon's host with a state.
func (f *Fleet) HostRecord(d *Daemon, state flow.MemberState) flow.RawRecord {
	return Record(flow.KindHost, d.Host, 1, document{
		"availability-zone": d.Zone,
		"peer-address":      f.PeerAddress(d),
		"data-address":      f.DataAddress(d),
		"state":             state,
	})
}

// Record returns the record of the backend server with a state.
func (s *Server) Record(state flow.MemberState) flow.RawRecord {
	return ServerRecord(s.Name, s.Service, s.Host, s.Addr(), s.Options, state)
}

// Ingresses returns the ip:port at which callers reach each daemon.
func (f *Fleet) Ingresses() []string {
	var addresses []string
	for _, d := range f.Daemons {
		addresses = append(addresses, f.CallerAddress(d))
	}
	return addresses
}

// ServersOf returns the backend servers of a host.
func (f *Fleet) ServersOf(host string) []*Server {
	var servers []*Server
	for _, s := range f.Servers {
		if s.Host == host {
			servers = append(servers, s)
		}
	}
	return servers
}

// AwaitActing waits until every running daemon holds its lease and has applied the
// platform's revision. It returns an error when ctx ends.
func (f *Fleet) AwaitActing(ctx context.Context) error {
	revision := f.Platform.Revision()
	for _, d := range f.Daemons {
		if !d.Running() {
			continue
		}
		if err := AwaitApplied(ctx, d, revision); err != nil {
			return err
		}
	}
	return nil
}

// AwaitApplied waits until a daemon holds its lease and has applied a revision. It
// returns an error when ctx ends.
func AwaitApplied(ctx context.Context, d *Daemon, revision flow.Revision) error {
	for {
		status, err := d.Status(ctx)
		if err == nil && status.Lease.Acting && status.Revision.Applied >= revision {
			return nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return flow.Wrap("await-applied", d.Host, fmt.Errorf("last status %+v, %v: %w", status.Lease, err, ctx.Err()))
		}
	}
}

// lockedWriter makes a writer safe for concurrent use.
type lockedWriter struct {
	mutex sync.Mutex
	to    io.Writer
}

// Write writes b without interleaving it with other writes.
func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.to.Write(b)
}
