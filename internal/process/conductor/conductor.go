// Package conductor runs a sidecar: a daemon beside one backend server that
// learns everything else from a platform. It puts the parts together, and stops
// them without cutting a request.
package conductor

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

	"github.com/coltsfootflow/coltsfootflow/internal/connection/courier"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/pipeliner"
	"github.com/coltsfootflow/coltsfootflow/internal/process/allower"
	"github.com/coltsfootflow/coltsfootflow/internal/process/follower"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/dispatcher"
	"github.com/coltsfootflow/coltsfootflow/internal/request/executor"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const (
	// controlFrameLimit bounds a frame of the control connections in bytes: a
	// whole configuration goes into one.
	controlFrameLimit = 16 << 20
	// dataFrameLimit bounds a frame of forwarded requests in bytes: a whole body
	// goes into one.
	dataFrameLimit = 80 << 20
	// customersWithMetrics bounds the customers with metrics of their own.
	customersWithMetrics = 100
	// sweepInterval is how often what is no longer used is forgotten.
	sweepInterval = 5 * time.Second
	// forgetAfter is how long what is not used is remembered.
	forgetAfter = time.Minute
)

// Platform is what an adapter brings.
type Platform struct {
	Names     flow.HeaderNames
	ReadyPath string
	Store     func(address string, clock flow.Clock, log logr.Logger) flow.Source
}

// Sidecar is one running daemon.
type Sidecar struct {
	settings parser.Settings
	platform Platform
	log      logr.Logger
	clock    flow.Clock
	service  atomic.Pointer[string]

	follower   *follower.Follower
	executor   *executor.Executor
	dispatcher *dispatcher.Dispatcher
	owner      *owner
	callers    *pipeliner.Server
	offers     *courier.Server
	control    *listener.Listener
	courier    *courier.Client
	dialers    []*dialer.Dialer
	metrics    *reporter.Metrics
	stopping   atomic.Bool

	listeners map[string]net.Listener // by the name of the setting
	running   sync.WaitGroup
}

// New opens the addresses of the settings and puts the parts together.
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

// The names of the listeners.
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
		accepting, err := net.Listen("tcp", address)
		if err != nil {
			return flow.Wrap("listen", name+" "+address, err)
		}
		s.listeners[name] = accepting
	}
	return nil
}

func (s *Sidecar) closeListeners() {
	for _, accepting := range s.listeners {
		_ = accepting.Close()
	}
}

// assemble makes the parts and connects them.
func (s *Sidecar) assemble() error {
	settings := s.settings
	// Other daemons know this host by the address that its backend server
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
	random := func(stream uint64) *mathrand.Rand {
		return mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(seed[8:]), stream))
	}
	control := framer.Options{
		Self:   framer.Identity{Host: host, Incarnation: incarnation},
		Secret: []byte(settings.Secret),
		Limit:  controlFrameLimit,
	}
	data := control
	data.Limit = dataFrameLimit

	s.metrics = reporter.NewMetrics(customersWithMetrics)
	// A watch of a peer keeps its connection busy, so it has one of its own.
	watching, calling := dialer.New(control, nil), dialer.New(control, nil)
	s.dialers = []*dialer.Dialer{watching, calling}
	s.courier = courier.NewClient(data)
	s.follower = follower.New(follower.Parts{
		Host:     host,
		Zone:     settings.AvailabilityZone,
		PeerPort: peerPort,
		Platform: s.platform.Store(settings.Sidecar.Store, s.clock, s.log.WithName("store")),
		Dialer:   watching,
		Clock:    s.clock,
		Log:      s.log.WithName("follow"),
		Random:   random(1),
		OnChange: s.changed,
	})
	s.owner = newOwner(ownerParts{
		host:     host,
		peerPort: peerPort,
		overage:  settings.Sidecar.RateOverage,
		slack:    float64(settings.Sidecar.RateSlack),
		retries:  s.retryBudget().Pool(),
		dialer:   calling,
		clock:    s.clock,
		catalog:  s.follower.Catalog,
		log:      s.log.WithName("rates"),
	})
	s.executor = executor.New(executor.Parts{
		Host:     host,
		Address:  settings.Sidecar.BackendServer,
		Names:    s.platform.Names,
		Clock:    s.clock,
		Catalog:  s.follower.Catalog,
		Observer: s.metrics,
		Log:      s.log.WithName("admission"),
	})
	s.dispatcher = dispatcher.New(dispatcher.Parts{
		Host:        host,
		Zone:        settings.AvailabilityZone,
		Service:     func() string { return *s.service.Load() },
		OfferPort:   dataPort,
		Names:       s.platform.Names,
		Clock:       s.clock,
		Catalog:     s.follower.Catalog,
		Age:         s.follower.Age,
		OldestProof: settings.Sidecar.OldestProof,
		Courier:     s.courier,
		Allowance:   s.owner,
		Observer:    s.metrics,
		CallFailed:  s.executor.CallFailed,
		RetryShare:  s.executor.RetryShare,
		Budget:      s.localRetries,
		Log:         s.log.WithName("ingress"),
		Random:      random(2),
	})
	s.callers = &pipeliner.Server{
		Handle: s.dispatcher.Handle,
		Limits: func() flow.CallerLimits { return s.follower.Catalog().Limits },
		Refuse: refuseUnread,
		Log:    s.log.WithName("callers"),
	}
	s.offers = &courier.Server{Options: data, Executor: s.executor, Log: s.log.WithName("offers"), Met: s.follower.NotePeer}
	s.control = &listener.Listener{
		Options:   control,
		Endpoints: s.metrics.Endpoints(s.follower.Endpoints(), s.owner.endpoints()),
		Log:       s.log.WithName("peers"),
	}
	return nil
}

// changed passes a new catalog on.
func (s *Sidecar) changed(catalog *cataloger.Catalog) {
	s.executor.Refresh(catalog)
	s.owner.refresh(catalog)
}

// retryBudget is the retry budget over all daemons.
func (s *Sidecar) retryBudget() allower.RetryBudget {
	settings := s.settings.Sidecar
	return allower.RetryBudget{Share: settings.RetryShare, Slack: float64(settings.RetrySlack), Window: settings.RetryWindow}
}

// localRetries is the part of the retry budget of one of a number of daemons.
func (s *Sidecar) localRetries(daemons int) retrier.Options {
	share, slack := s.retryBudget().Local(daemons)
	return retrier.Options{Share: share, Least: -1, Slack: slack}
}

// refuseUnread answers a request that could not be read.
func refuseUnread(status int, cause error) *http.Response {
	reason := flow.ReasonRequestMalformed
	if status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge {
		reason = flow.ReasonRequestTooLarge
	}
	response := answerer.Refusal("", &flow.Refusal{Reason: reason, Step: "read-request", Detail: cause.Error()}, 0)
	response.StatusCode = status
	response.Close = true
	return response
}

// -----------------------------------------------------------------------------

// Run serves until ctx ends, and then stops without cutting a request.
func (s *Sidecar) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	readiness := &http.Server{Handler: s.readinessHandler(), ReadHeaderTimeout: time.Second}
	operators := &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: time.Second}

	failed := make(chan error, 8)
	start := func(run func() error) {
		s.running.Go(func() {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	s.running.Go(func() { s.follower.Run(background) })
	s.running.Go(func() { s.sweep(background) })
	start(func() error { return s.control.Serve(background, s.listeners[peerAddress]) })
	start(func() error { return s.offers.Serve(background, s.listeners[dataAddress]) })
	start(func() error { return s.callers.Serve(s.listeners[callerAddress]) })
	start(func() error { return readiness.Serve(s.listeners[readinessAddress]) })
	start(func() error { return operators.Serve(s.listeners[operatorAddress]) })
	s.log.Info("started", "service", s.settings.Sidecar.Service, "zone", s.settings.AvailabilityZone,
		"backend-server", s.settings.Sidecar.BackendServer, "store", s.settings.Sidecar.Store)

	var err error
	select {
	case <-ctx.Done():
		s.stop()
	case err = <-failed:
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
			s.dispatcher.Sweep(forgetAfter)
			s.owner.sweep()
			s.courier.Sweep()
			for _, d := range s.dialers {
				d.Sweep()
			}
		case <-ctx.Done():
			return
		}
	}
}

// Reload takes settings that may change while the daemon runs.
func (s *Sidecar) Reload(settings parser.Settings) {
	before := *s.service.Load()
	s.service.Store(&settings.Sidecar.Service)
	s.log.Info("settings reloaded", "service", settings.Sidecar.Service, "service-before", before)
}
