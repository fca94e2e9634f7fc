// The parts of a daemon and how they are put together.

package runner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/process/chooser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/timekeeper"
	"github.com/coltsfootflow/coltsfootflow/internal/request/acceptor"
	"github.com/coltsfootflow/coltsfootflow/internal/request/forwarder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/receiver"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// forwardedHeaderBytes is what a forwarded request may have in headers beyond
// the caller's, in bytes.
const forwardedHeaderBytes = 16 << 10

// Daemon is one running daemon.
type Daemon struct {
	settings   parser.Settings
	clock      flow.Clock
	log        logr.Logger
	holder     *holder.Holder
	controller *controller.Controller
	leaser     *leaser.Leaser
	forwarder  *forwarder.Forwarder
	dialer     *dialer.Dialer
	control    *listener.Listener

	peers     net.Listener
	callers   *server
	data      *server
	operators *server

	running sync.WaitGroup
}

// New opens the addresses of the settings and makes a daemon that does not run
// yet.
func New(settings parser.Settings, log logr.Logger) (*Daemon, error) {
	clock := flow.NewMonotonicClock()
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, flow.Wrap("start", settings.Host, err)
	}
	d := &Daemon{settings: settings, clock: clock, log: log, holder: holder.New(settings.Region)}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.assemble(incarnation); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// newIncarnation returns a number that tells this process from others on the
// same host.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(random[:]) | 1, nil
}

// localAddress returns what the daemon dials other daemons from: the IP number
// of its peer address, so that a host with several is known by one. It is nil
// when that names no single interface.
func localAddress(peer string) net.Addr {
	address, err := netip.ParseAddrPort(peer)
	if err != nil || address.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: address.Addr().AsSlice()}
}

func (d *Daemon) listen() error {
	var err error
	if d.peers, err = net.Listen("tcp", d.settings.Addresses.Peer); err != nil {
		return flow.Wrap("listen-for-peers", d.settings.Addresses.Peer, err)
	}
	rows := []struct {
		step    flow.Step
		address string
		server  **server
	}{
		{"listen-for-callers", d.settings.Addresses.Caller, &d.callers},
		{"listen-for-data", d.settings.Addresses.Data, &d.data},
		{"listen-for-operators", d.settings.Addresses.Operator, &d.operators},
	}
	for _, row := range rows {
		accepting, err := net.Listen("tcp", row.address)
		if err != nil {
			return flow.Wrap(row.step, row.address, err)
		}
		*row.server = newServer(accepting, d.settings.Transport)
	}
	// A forwarded request has a few headers more than the caller's.
	d.data.http.MaxHeaderBytes += forwardedHeaderBytes
	return nil
}

func (d *Daemon) closeListeners() {
	if d.peers != nil {
		_ = d.peers.Close()
	}
	for _, s := range []*server{d.callers, d.data, d.operators} {
		if s != nil {
			_ = s.accepting.Close()
		}
	}
}

// assemble makes the parts and connects them.
func (d *Daemon) assemble(incarnation uint64) error {
	settings := d.settings
	options := framer.Options{
		Self:   framer.Identity{Host: settings.Host, Incarnation: incarnation},
		Secret: []byte(settings.Secret),
		Limit:  int(settings.Transport.PeerFrameLimit),
	}
	metrics := reporter.NewMetrics(settings.Metrics.Customers)
	clocks := timekeeper.New()
	signer := permitter.New([]byte(settings.Secret))
	d.dialer = dialer.New(options, localAddress(settings.Addresses.Peer))
	d.controller = controller.New(controller.Parts{
		Settings:    settings,
		Incarnation: incarnation,
		Started:     d.clock.Now(),
		Clock:       d.clock,
		Dialer:      d.dialer,
		Reader:      reader.NewClient(settings.Platform),
		Timekeeper:  clocks,
		Holder:      d.holder,
		Log:         d.log.WithName("control"),
		Random:      mathrand.New(mathrand.NewPCG(incarnation, 0)),
	})
	d.leaser = leaser.New(d.clock, d.controller, d.sources(incarnation), d.log.WithName("rates"))
	d.forwarder = forwarder.New(forwarder.Parts{
		Host:         settings.Host,
		Clock:        d.clock,
		Timekeeper:   clocks,
		ClockSource:  d.controller,
		Permitter:    signer,
		Dialer:       d.dialer,
		Log:          d.log.WithName("forward"),
		AnswerBuffer: int(settings.Transport.AnswerBuffer),
		Local:        localAddress(settings.Addresses.Peer),
	})
	choosing, err := chooser.New(chooser.Options{
		Clock:  d.clock,
		Picker: settings.Behaviour.Picker,
		Seed:   incarnation,
		Zone:   settings.AvailabilityZone,
		Region: settings.Region,
	})
	if err != nil {
		return err
	}
	accepting := acceptor.New(acceptor.Parts{
		Host:         settings.Host,
		Incarnation:  incarnation,
		Clock:        d.clock,
		Holder:       d.holder,
		Permitter:    signer,
		Observer:     metrics,
		Log:          d.log.WithName("admission"),
		BodyLimit:    int(settings.Transport.RequestBodyLimit),
		AnswerBuffer: int(settings.Transport.AnswerBuffer),
	})
	d.data.http.Handler = accepting
	d.callers.http.Handler = receiver.NewHandler(receiver.Parts{
		Host:           settings.Host,
		Clock:          d.clock,
		Holder:         d.holder,
		Pooler:         d.leaser,
		Chooser:        choosing,
		Forwarder:      d.forwarder,
		Deduplicator:   d.controller,
		Observer:       metrics,
		Log:            d.log.WithName("ingress"),
		BodyLimit:      int(settings.Transport.RequestBodyLimit),
		PermitLifetime: settings.Rate.PermitLifetime,
		Attempts:       settings.Retry.Attempts,
	})
	pages := &reporter.Pages{Clock: d.clock, Holder: d.holder, Controller: d.controller, Metrics: metrics}
	d.operators.http.Handler = pages.Handler()
	d.control = &listener.Listener{
		Options:   options,
		Endpoints: metrics.Endpoints(d.controller.Endpoints(), accepting.Endpoints()),
		Log:       d.log.WithName("peers"),
	}
	return nil
}

// sources returns the sources of tokens that the settings choose.
func (d *Daemon) sources(incarnation uint64) leaser.Sources {
	cutter := func(customer string) (leaser.Cut, bool) {
		return controller.CutOf(d.holder.Load().Index, d.settings, customer)
	}
	if d.settings.Behaviour.RateSplit == parser.RateSplitStatic {
		return leaser.NewStaticSources(cutter, d.part)
	}
	return leaser.NewLeasedSources(d.settings.Host, incarnation, cutter, drawer.DefaultSettings())
}

// part returns the place of this host among those of its region.
func (d *Daemon) part() leaser.Part {
	hosts := d.holder.Load().Index.HostsOfRegion(d.settings.Region)
	for i, host := range hosts {
		if host == d.settings.Host {
			return leaser.Part{Index: i, Ingresses: len(hosts)}
		}
	}
	return leaser.Part{Ingresses: len(hosts) + 1}
}

// Addresses are the addresses that a daemon listens on.
type Addresses struct {
	Caller, Data, Peer, Operator string
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.callers.accepting.Addr().String(),
		Data:     d.data.accepting.Addr().String(),
		Peer:     d.peers.Addr().String(),
		Operator: d.operators.accepting.Addr().String(),
	}
}

// -----------------------------------------------------------------------------

// Run serves until ctx ends, and then stops without cutting a request. The
// error tells why the daemon could not go on, or that the stop took longer than
// its grace time.
func (d *Daemon) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	d.running.Go(func() { d.controller.Run(background) })
	d.running.Go(func() { d.leaser.Run(background) })
	failed := make(chan error, 4)
	d.running.Go(func() { report(failed, d.control.Serve(background, d.peers)) })
	for _, s := range []*server{d.callers, d.data, d.operators} {
		d.running.Go(func() { report(failed, s.serve()) })
	}
	var err error
	select {
	case <-ctx.Done():
		d.log.Info("stopping")
	case err = <-failed:
		d.log.Error(err, "a listener failed")
	}
	err = errors.Join(err, d.stop())
	stopBackground()
	d.dialer.Close()
	d.running.Wait()
	d.log.Info("stopped")
	return err
}

func report(failed chan<- error, err error) {
	if err != nil {
		failed <- err
	}
}
