// The components of a daemon and how they are connected.

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
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
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

// extraForwardedHeaderBytes is the header space for what daemons add to a forwarded
// request.
const extraForwardedHeaderBytes = 16 << 10

// Daemon is one daemon with its listeners and components.
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

	goroutines sync.WaitGroup
}

// New listens on the addresses of the settings and returns a daemon that does not serve
// until Run. Errors have the step "start" with the host as peer, the failed listen step
// with the address as peer, or come from the creation of a component.
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

// newIncarnation returns a random number that tells this process from other processes
// of the same host. It is never 0.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(random[:]) | 1, nil
}

// localAddress returns the local address for connections to other daemons: the IP of
// the peer address, so that a host with several IPs is known by one. It is nil if the
// peer address does not name a single interface.
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
	listeners := []struct {
		step    flow.Step
		address string
		server  **server
	}{
		{"listen-for-callers", d.settings.Addresses.Caller, &d.callers},
		{"listen-for-data", d.settings.Addresses.Data, &d.data},
		{"listen-for-operators", d.settings.Addresses.Operator, &d.operators},
	}
	for _, row := range listeners {
		httpListener, err := net.Listen("tcp", row.address)
		if err != nil {
			return flow.Wrap(row.step, row.address, err)
		}
		*row.server = newServer(httpListener, d.settings.Transport)
	}
	// A forwarded request has a few more headers than the caller sent.
	d.data.http.MaxHeaderBytes += extraForwardedHeaderBytes
	return nil
}

func (d *Daemon) closeListeners() {
	if d.peers != nil {
		_ = d.peers.Close()
	}
	for _, s := range []*server{d.callers, d.data, d.operators} {
		if s != nil {
			_ = s.listener.Close()
		}
	}
}

// assemble creates the components and connects them.
func (d *Daemon) assemble(incarnation uint64) error {
	settings := d.settings
	options := framer.Options{
		Self:            framer.Identity{Host: settings.Host, Incarnation: incarnation},
		Secret:          []byte(settings.Secret),
		MaxPayloadBytes: int(settings.Transport.PeerFrameLimit),
	}
	metrics := reporter.NewMetrics(settings.Metrics.Customers)
	peerClocks := timekeeper.New()
	permitSigner := permitter.New([]byte(settings.Secret))
	d.dialer = dialer.New(options, &net.Dialer{LocalAddr: localAddress(settings.Addresses.Peer)})
	d.controller = controller.New(controller.Parts{
		Settings:    settings,
		Incarnation: incarnation,
		Started:     d.clock.Now(),
		Clock:       d.clock,
		Dialer:      d.dialer,
		Reader:      reader.NewClient(settings.Platform),
		Timekeeper:  peerClocks,
		Holder:      d.holder,
		Log:         d.log.WithName("control"),
		Random:      mathrand.New(mathrand.NewPCG(incarnation, 0)),
	})
	d.leaser = leaser.New(d.clock, d.controller, d.tokenSources(incarnation), d.log.WithName("rates"))
	d.forwarder = forwarder.New(forwarder.Parts{
		Host:           settings.Host,
		Clock:          d.clock,
		Timekeeper:     peerClocks,
		ClockSource:    d.controller,
		Permitter:      permitSigner,
		Dialer:         d.dialer,
		Log:            d.log.WithName("forward"),
		ResponseBuffer: int(settings.Transport.ResponseBuffer),
		LocalAddr:      localAddress(settings.Addresses.Peer),
	})
	serverChooser, err := chooser.New(chooser.Options{
		Clock:  d.clock,
		Picker: settings.Behaviour.Picker,
		Seed:   incarnation,
		Zone:   settings.AvailabilityZone,
		Region: settings.Region,
	})
	if err != nil {
		return err
	}
	requestAcceptor := acceptor.New(acceptor.Parts{
		Host:           settings.Host,
		Incarnation:    incarnation,
		Clock:          d.clock,
		Holder:         d.holder,
		Permitter:      permitSigner,
		Observer:       metrics,
		Log:            d.log.WithName("admission"),
		BodyLimit:      int(settings.Transport.RequestBodyLimit),
		ResponseBuffer: int(settings.Transport.ResponseBuffer),
	})
	d.data.http.Handler = requestAcceptor
	d.callers.http.Handler = receiver.NewHandler(receiver.Parts{
		Host:           settings.Host,
		Clock:          d.clock,
		Holder:         d.holder,
		Leaser:         d.leaser,
		Chooser:        serverChooser,
		Forwarder:      d.forwarder,
		Deduplicator:   d.controller,
		Observer:       metrics,
		Log:            d.log.WithName("ingress"),
		BodyLimit:      int(settings.Transport.RequestBodyLimit),
		PermitLifetime: settings.Rate.PermitLifetime,
		MaxAttempts:    settings.Retry.MaxAttempts,
	})
	pages := &reporter.Pages{Clock: d.clock, Holder: d.holder, Controller: d.controller, Metrics: metrics}
	d.operators.http.Handler = pages.Handler()
	d.control = &listener.Listener{
		Options:   options,
		Endpoints: metrics.CountCalls(d.controller.Endpoints(), requestAcceptor.Endpoints()),
		Log:       d.log.WithName("peers"),
	}
	return nil
}

// tokenSources returns the sources of rate-limit tokens that the settings select.
func (d *Daemon) tokenSources(incarnation uint64) leaser.Sources {
	layoutOf := func(customer string) (leaser.ShareLayout, bool) {
		return controller.ShareLayoutOf(d.holder.Load().Index, d.settings, customer)
	}
	if d.settings.Behaviour.RateSplit == parser.RateSplitStatic {
		return leaser.NewStaticSources(layoutOf, d.positionInRegion)
	}
	return leaser.NewLeasedSources(d.settings.Host, incarnation, layoutOf, pooler.DefaultSettings())
}

// positionInRegion returns the index of this host among the hosts of its region, and
// their number. A host that is not listed counts as one more host.
func (d *Daemon) positionInRegion() leaser.Position {
	hosts := d.holder.Load().Index.HostsOfRegion(d.settings.Region)
	for i, host := range hosts {
		if host == d.settings.Host {
			return leaser.Position{Index: i, Ingresses: len(hosts)}
		}
	}
	return leaser.Position{Ingresses: len(hosts) + 1}
}

// Addresses are the addresses that a daemon listens on, each as host:port.
type Addresses struct {
	Caller, Data, Peer, Operator string
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.callers.listener.Addr().String(),
		Data:     d.data.listener.Addr().String(),
		Peer:     d.peers.Addr().String(),
		Operator: d.operators.listener.Addr().String(),
	}
}

// Run serves until ctx ends or a listener fails, and then stops without aborting
// requests. It returns the error of a failed listener, and an error of step "shutdown"
// for each HTTP server whose requests did not end in time and were aborted.
func (d *Daemon) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	d.goroutines.Go(func() { d.controller.Run(background) })
	d.goroutines.Go(func() { d.leaser.Run(background) })
	failed := make(chan error, 4)
	d.goroutines.Go(func() { reportError(failed, d.control.Serve(background, d.peers)) })
	for _, s := range []*server{d.callers, d.data, d.operators} {
		d.goroutines.Go(func() { reportError(failed, s.serve()) })
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
	d.goroutines.Wait()
	d.log.Info("stopped")
	return err
}

// reportError sends an error, if there is one, to the channel of failures.
func reportError(failed chan<- error, err error) {
	if err != nil {
		failed <- err
	}
}
