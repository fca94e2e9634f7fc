// Package supervisor runs a sidecar: a daemon beside one backend server that
// learns everything else from the platform. It builds and connects the
// components of the daemon, starts them, and shuts them down without aborting
// requests in progress.
package supervisor

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/pipeliner"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/follower"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/dispatcher"
	"github.com/coltsfootflow/coltsfootflow/internal/request/executor"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const (
	// controlFrameLimit is the largest frame of a control connection in bytes.
	// A whole configuration has to fit into one frame.
	controlFrameLimit = 16 << 20
	// dataFrameLimit is the largest frame of a forwarded request in bytes. A
	// whole body has to fit into one frame.
	dataFrameLimit = 80 << 20
	// customerMetricsLimit is the number of customers that get metrics of their
	// own.
	customerMetricsLimit = 100
	// sweepInterval is how often unused state is removed.
	sweepInterval = 5 * time.Second
	// idleExpiry is how long unused state is kept.
	idleExpiry = time.Minute
)

// Platform is what a platform adapter provides to the daemon.
type Platform struct {
	Names     flow.HeaderNames
	ReadyPath string // of the readiness check
	NewSource func(address string, clock flow.Clock, log logr.Logger) flow.Source
}

// Sidecar is the daemon process beside one backend server.
type Sidecar struct {
	settings parser.Settings
	platform Platform
	log      logr.Logger
	clock    flow.Clock
	service  atomic.Pointer[string] // replaced by Reload

	follower    *follower.Follower
	executor    *executor.Executor
	dispatcher  *dispatcher.Dispatcher
	allowance   *allowance
	callers     *pipeliner.Server
	offers      *transporter.Server
	control     *listener.Listener
	offerClient *transporter.Client
	dialers     []*dialer.Dialer
	metrics     *reporter.Metrics
	stopping    atomic.Bool

	regionsMissed atomic.Bool // it was logged that allowed regions have no effect

	listeners  map[string]net.Listener // by setting name
	goroutines sync.WaitGroup
}

// New opens the listeners of the settings and connects the components. The
// error names the step and the address that failed; all listeners are closed
// then.
func New(settings parser.Settings, platform Platform, log logr.Logger) (*Sidecar, error) {
	s := &Sidecar{
		settings:  settings,
		platform:  platform,
		log:       log,
		clock:     flow.NewMonotonicClock(),
		listeners: map[string]net.Listener{},
	}
	s.service.Store(&settings.Sidecar.Service)
	if err := s.listen(); err != nil {
		s.closeListeners()
		return nil, err
	}
	if err := s.assemble(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

// Listener names, as in the settings.
const (
	callerAddress    = "caller-address"
	dataAddress      = "data-address"
	peerAddress      = "peer-address"
	operatorAddress  = "operator-address"
	readinessAddress = "readiness-address"
)

func (s *Sidecar) listen() error {
	for name, address := range map[string]string{
		callerAddress:    s.settings.Addresses.Caller,
		dataAddress:      s.settings.Addresses.Data,
		peerAddress:      s.settings.Addresses.Peer,
		operatorAddress:  s.settings.Addresses.Operator,
		readinessAddress: s.settings.Sidecar.Readiness,
	} {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			return flow.Wrap("listen", name+" "+address, err)
		}
		s.listeners[name] = socket
	}
	return nil
}

func (s *Sidecar) closeListeners() {
	for _, socket := range s.listeners {
		_ = socket.Close()
	}
}

// assemble builds the components and connects them.
func (s *Sidecar) assemble() error {
	settings := s.settings
	// Other daemons identify this host by the address that its backend server
	// publishes.
	host, _, err := net.SplitHostPort(settings.Sidecar.BackendServer)
	if err != nil {
		return flow.Wrap("assemble", settings.Sidecar.BackendServer, err)
	}
	_, dataPort, err := net.SplitHostPort(settings.Addresses.Data)
	if err != nil {
		return flow.Wrap("assemble", settings.Addresses.Data, err)
	}
	_, peerPort, err := net.SplitHostPort(settings.Addresses.Peer)
	if err != nil {
		return flow.Wrap("assemble", settings.Addresses.Peer, err)
	}
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return flow.Wrap("assemble", settings.Host, err)
	}
	incarnation := binary.BigEndian.Uint64(seed[:8])
	newRandom := func(stream uint64) *mathrand.Rand {
		return mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(seed[8:]), stream))
	}
	control := framer.Options{
		Self:            framer.Identity{Host: host, Incarnation: incarnation},
		Secret:          []byte(settings.Secret),
		MaxPayloadBytes: controlFrameLimit,
	}
	data := control
	data.MaxPayloadBytes = dataFrameLimit

	s.metrics = reporter.NewMetrics(customerMetricsLimit)
	// A watch of a peer occupies its connection for as long as it waits, so
	// watches and calls use separate connections.
	watchDialer, callDialer := dialer.New(control, nil), dialer.New(control, nil)
	s.dialers = []*dialer.Dialer{watchDialer, callDialer}
	s.offerClient = transporter.NewClient(data, nil)
	s.follower = follower.New(follower.Parts{
		Host:     host,
		Zone:     settings.AvailabilityZone,
		PeerPort: peerPort,
		Platform: s.platform.NewSource(settings.Sidecar.Store, s.clock, s.log.WithName("store")),
		Dialer:   watchDialer,
		Calls:    callDialer,
		Clock:    s.clock,
		Log:      s.log.WithName("follow"),
		Random:   newRandom(1),
		OnChange: s.applyCatalog,

		OnRestore:   s.metrics.StoreRestored,
		ApplyWithin: settings.Sidecar.ApplyWithin,
		FirstStart:  settings.Sidecar.FirstStart == "true",
		Regions:     settings.Sidecar.Zones,
	})
	if settings.Sidecar.CutOffServers == parser.CutOffUse {
		s.follower.ServerHealthy = func(ctx context.Context) bool { return s.executor.ServerHealthy(ctx) }
		s.follower.OnCutOff = s.metrics.CutOff
	}
	s.allowance = newAllowance(allowanceParts{
		host:      host,
		peerPort:  peerPort,
		overage:   settings.Sidecar.RateOverage,
		slack:     settings.Sidecar.RateSlack,
		retryRate: s.retryBudget().PoolRate(),
		dialer:    callDialer,
		clock:     s.clock,
		catalog:   s.follower.Catalog,
		inTouch:   s.follower.InTouch,
		log:       s.log.WithName("rates"),
	})
	s.executor = executor.New(executor.Parts{
		Host:     host,
		Address:  settings.Sidecar.BackendServer,
		Names:    s.platform.Names,
		Clock:    s.clock,
		Catalog:  s.follower.Catalog,
		Observer: s.metrics,
		Log:      s.log.WithName("admission"),

		CallReserve: settings.Sidecar.CallReserve,
	})
	s.dispatcher = dispatcher.New(dispatcher.Parts{
		Host:        host,
		Zone:        settings.AvailabilityZone,
		Service:     func() string { return *s.service.Load() },
		OfferPort:   dataPort,
		HeaderNames: s.platform.Names,
		Clock:       s.clock,
		Catalog:     s.follower.Catalog,
		ProofAge:    s.follower.Age,
		MaxProofAge: settings.Sidecar.MaxProofAge,
		Transporter: s.offerClient,
		Allowance:   s.allowance,
		Observer:    s.metrics,
		CallFailed:  s.executor.CallFailed,
		RetryShare:  s.executor.RetryShare,
		RetryBudget: s.localRetryOptions,

		EarlyRefusalAge: settings.Sidecar.EarlyRefusal,

		Log:    s.log.WithName("ingress"),
		Random: newRandom(2),
	})
	s.callers = &pipeliner.Server{
		Handle: s.dispatcher.Handle,
		Limits: func() flow.CallerLimits { return s.follower.Catalog().Limits },
		Refuse: refuseUnreadable,
		Log:    s.log.WithName("callers"),
	}
	s.offers = &transporter.Server{Options: data, Executor: s.executor, Log: s.log.WithName("offers"), OnConnect: s.follower.NotePeer}
	s.control = &listener.Listener{
		Options:   control,
		Endpoints: s.metrics.CountCalls(s.follower.Endpoints(), s.allowance.endpoints()),
		Log:       s.log.WithName("peers"),
	}
	return nil
}

// applyCatalog hands a new catalog to the components that keep state derived
// from it.
func (s *Sidecar) applyCatalog(catalog *cataloger.Catalog) {
	if !catalog.HasRegions() && catalog.RestrictsRegions() && !s.regionsMissed.Swap(true) {
		s.log.Info("allowed regions have no effect: the settings name no regions", "version", catalog.Version)
	}
	s.executor.ApplyCatalog(catalog)
	s.allowance.refresh(catalog)
}

// retryBudget returns the retry budget that all daemons share.
func (s *Sidecar) retryBudget() ratelimiter.RetryBudget {
	settings := s.settings.Sidecar
	return ratelimiter.RetryBudget{Share: settings.RetryShare, Slack: settings.RetrySlack, Window: settings.RetryWindow}
}

// localRetryOptions returns the part of the retry budget that one of a number
// of daemons may spend on its own.
func (s *Sidecar) localRetryOptions(daemons int) retrier.Options {
	share, slack := s.retryBudget().PerDaemon(daemons)
	return retrier.Options{Share: share, MinPerSecond: -1, Slack: slack}
}

// refuseUnreadable returns the response to a request that could not be parsed
// or is too large.
func refuseUnreadable(status int, cause error) *http.Response {
	reason := flow.ReasonRequestMalformed
	if status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge {
		reason = flow.ReasonRequestTooLarge
	}
	response := responder.RefusalResponse("", &flow.Refusal{Reason: reason, Step: "read-request", Detail: cause.Error()}, 0)
	response.StatusCode = status
	response.Close = true
	return response
}

// Run serves until ctx ends, and then shuts down without aborting requests in
// progress. The error is that of the listener that failed, if one did.
func (s *Sidecar) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	readiness := &http.Server{Handler: s.readinessHandler(), ReadHeaderTimeout: time.Second}
	operators := &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: time.Second}

	failures := make(chan error, 8)
	serve := func(run func() error) {
		s.goroutines.Go(func() {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failures <- err
			}
		})
	}
	s.goroutines.Go(func() { s.follower.Run(background) })
	s.goroutines.Go(func() { s.allowance.keepClaims(background) })
	s.goroutines.Go(func() { s.sweep(background) })
	serve(func() error { return s.control.Serve(background, s.listeners[peerAddress]) })
	serve(func() error { return s.offers.Serve(background, s.listeners[dataAddress]) })
	serve(func() error { return s.callers.Serve(s.listeners[callerAddress]) })
	serve(func() error { return readiness.Serve(s.listeners[readinessAddress]) })
	serve(func() error { return operators.Serve(s.listeners[operatorAddress]) })
	s.log.Info("started", "service", s.settings.Sidecar.Service, "zone", s.settings.AvailabilityZone,
		"region", s.settings.Sidecar.Zones[s.settings.AvailabilityZone], "backend-server", s.settings.Sidecar.BackendServer, "store", s.settings.Sidecar.Store)

	var err error
	select {
	case <-ctx.Done():
		s.stop()
	case err = <-failures:
		s.log.Error(err, "a listener failed")
	}
	stopBackground()
	s.closeListeners()
	_ = readiness.Close()
	_ = operators.Close()
	for _, d := range s.dialers {
		d.Close()
	}
	s.log.Info("stopped", "pending", s.callers.Pending())
	return err
}

func (s *Sidecar) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.dispatcher.Sweep(idleExpiry)
			s.allowance.sweep()
			s.offerClient.Sweep()
			for _, d := range s.dialers {
				d.Sweep()
			}
		case <-ctx.Done():
			return
		}
	}
}

// Reload applies the settings that may change while the daemon runs: the
// service.
func (s *Sidecar) Reload(settings parser.Settings) {
	before := *s.service.Load()
	s.service.Store(&settings.Sidecar.Service)
	s.log.Info("settings reloaded", "service", settings.Sidecar.Service, "service-before", before)
}
