// Package server stands in for a backend server: it has slots and a cap on
// connections, starts cold, sheds, drains, and fails grayly when told to. Its
// journal holds every request that it ran.
package server

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The defaults of the options.
const (
	DefaultSlots          = 5
	DefaultConnections    = 330
	DefaultConnectionCost = time.Millisecond
	DefaultServiceTime    = 20 * time.Millisecond
	DefaultColdFactor     = 3
	DefaultCollapseTime   = 2 * time.Second
	DefaultProbeTime      = 25 * time.Millisecond
	DefaultShedStatus     = http.StatusServiceUnavailable
	DefaultShedHeader     = "X-Shed"
)

// Options of a Server. Zero numbers stand for the defaults, except that a
// ColdStart of zero is none and a negative duration is zero.
type Options struct {
	Name           string
	Address        string        // ip:port for work
	AdminAddress   string        // ip:port for administration
	Slots          int           // requests that run at once
	Connections    int           // connections that are held at once
	ConnectionCost time.Duration // time to accept one connection, one after the other
	ServiceTime    time.Duration // shortest time that a request runs
	Jitter         time.Duration // bound of what is added to ServiceTime at random
	Seed           uint64        // of all that is random
	ColdStart      time.Duration // time from the start to full capacity
	ColdFactor     float64       // times the service time while cold
	CollapseTime   time.Duration // time for which a collapse lasts
	ProbeTime      time.Duration // time to answer a health or load probe
	HealthLag      time.Duration // age that answers to probes may reach
	ShedStatus     int           // of the answer that sheds a request
	ShedHeader     string        // header of the answer that sheds a request
	Fault          Fault         // in force from the start
}

// RegisterFlags adds the options' flags to a flag set.
func (o *Options) RegisterFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.Name, "name", "backend", "name of the backend server")
	flags.StringVar(&o.Address, "address", acceptor.LoopbackAddress, "ip:port for work")
	flags.StringVar(&o.AdminAddress, "admin-address", acceptor.LoopbackAddress, "ip:port for administration")
	flags.IntVar(&o.Slots, "slots", DefaultSlots, "requests that run at once")
	flags.IntVar(&o.Connections, "connections", DefaultConnections, "connections that are held at once")
	flags.DurationVar(&o.ConnectionCost, "connection-cost", DefaultConnectionCost, "time to accept one connection; negative for none")
	flags.DurationVar(&o.ServiceTime, "service-time", DefaultServiceTime, "shortest time that a request runs; negative for none")
	flags.DurationVar(&o.Jitter, "jitter", 0, "bound of what is added to the service time at random")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of all that is random")
	flags.DurationVar(&o.ColdStart, "cold-start", 0, "time from the start to full capacity")
	flags.Float64Var(&o.ColdFactor, "cold-factor", DefaultColdFactor, "times the service time while cold")
	flags.DurationVar(&o.CollapseTime, "collapse-time", DefaultCollapseTime, "time for which a collapse lasts; negative for none")
	flags.DurationVar(&o.ProbeTime, "probe-time", DefaultProbeTime, "time to answer a health or load probe; negative for none")
	flags.DurationVar(&o.HealthLag, "health-lag", 0, "age that answers to probes may reach")
	flags.IntVar(&o.ShedStatus, "shed-status", DefaultShedStatus, "status of the answer that sheds a request")
	flags.StringVar(&o.ShedHeader, "shed-header", DefaultShedHeader, "header of the answer that sheds a request")
	o.Fault.RegisterFlags(flags)
}

// Check reports an option that New would not take.
func (o *Options) Check() error { return o.Fault.check() }

func (o *Options) setDefaults() {
	setDefault(&o.ConnectionCost, DefaultConnectionCost)
	setDefault(&o.ServiceTime, DefaultServiceTime)
	setDefault(&o.CollapseTime, DefaultCollapseTime)
	setDefault(&o.ProbeTime, DefaultProbeTime)
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = DefaultColdFactor
	}
	if o.ShedStatus == 0 {
		o.ShedStatus = DefaultShedStatus
	}
	if o.ShedHeader == "" {
		o.ShedHeader = DefaultShedHeader
	}
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
	*d = max(*d, 0)
}

// -----------------------------------------------------------------------------

// HealthMode is what the health and load endpoints say.
type HealthMode string

// The modes of the health and load endpoints.
const (
	// HealthTrue is the truth as of at most HealthLag ago; gray faults that do
	// not flap are no part of it.
	HealthTrue HealthMode = "true"
	// HealthGood is good health and no load whatever happens.
	HealthGood HealthMode = "good"
	// HealthBad is bad health and full load whatever happens.
	HealthBad HealthMode = "bad"
)

// Stats are the counters of a server.
type Stats struct {
	Name        string      `json:"name"`
	Ran         int         `json:"ran"`        // requests in the journal
	Shed        int         `json:"shed"`       // requests that were turned away
	Overloaded  int         `json:"overloaded"` // requests above what the server bore
	Probes      int         `json:"probes"`     // calls of the health and load endpoints
	Running     int         `json:"running"`
	MaxRunning  int         `json:"max-running"`
	Bears       int         `json:"bears"` // requests that it bears now
	Temperature Temperature `json:"temperature"`
	Draining    bool        `json:"draining"`
	Open        int64       `json:"open"`    // connections
	Opened      int64       `json:"opened"`  // connections since the start
	Refused     int64       `json:"refused"` // connections above the cap
}

// Server is a running backend server. It is safe for use by many goroutines.
type Server struct {
	options Options
	clock   flow.Clock
	public  *acceptor.Acceptor
	admin   *acceptor.Acceptor
	gate    *gate
	journal journal
	done    <-chan struct{} // closed at the server's end

	mutex      sync.Mutex
	capacity   *capacity
	random     *rand.Rand
	fault      Fault
	faultSince flow.Time
	draining   bool
	healthMode HealthMode
	probe      probe
	previous   Answer // of the request that ran last, for crossed answers
	counters   Stats
}

// New starts a server that ends with ctx. Its end is abrupt; drain it first
// where that matters.
func New(ctx context.Context, options Options) (*Server, error) {
	options.setDefaults()
	s := &Server{
		options:    options,
		clock:      flow.NewMonotonicClock(),
		capacity:   newCapacity(options.Slots, options.ColdStart, options.CollapseTime),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		healthMode: HealthTrue,
		previous:   Answer{CallerRequest: "somebody-else", RequestID: "somebody-else", Server: options.Name},
	}
	s.capacity.turnCold(s.clock.Now())
	if err := s.SetFault(options.Fault); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s.done = ctx.Done()
	if err := s.listen(ctx); err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return s, nil
}

func (s *Server) listen(ctx context.Context) error {
	var err error
	s.public, err = acceptor.Serve(ctx, acceptor.Options{
		Address: s.options.Address,
		Handler: s.workHandler(),
		Wrap:    s.wrap,
	})
	if err != nil {
		return err
	}
	s.admin, err = acceptor.Serve(ctx, acceptor.Options{Address: s.options.AdminAddress, Handler: s.adminHandler()})
	return err
}

func (s *Server) wrap(listener net.Listener) net.Listener {
	s.gate = &gate{Listener: listener, max: int64(s.options.Connections), cost: s.options.ConnectionCost}
	return s.gate
}

// Addr returns the ip:port for work.
func (s *Server) Addr() string { return s.public.Addr() }

// AdminAddr returns the ip:port for administration.
func (s *Server) AdminAddr() string { return s.admin.Addr() }

// Wait returns once the server has ended.
func (s *Server) Wait() {
	s.public.Wait()
	s.admin.Wait()
}

// -----------------------------------------------------------------------------

// SetFault puts a gray fault in force for the requests that arrive from now on.
func (s *Server) SetFault(fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
	s.faultSince = s.clock.Now()
	return nil
}

// SetDraining begins or ends a drain: new requests are shed, running ones end.
func (s *Server) SetDraining(draining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = draining
}

// SetHealth chooses what the health endpoint says.
func (s *Server) SetHealth(mode HealthMode) error {
	known := []HealthMode{HealthTrue, HealthGood, HealthBad}
	if !slices.Contains(known, mode) {
		return flow.Wrap("set-health", "", fmt.Errorf("unknown mode %q, want one of %q", mode, known))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.healthMode = mode
	return nil
}

// TurnCold makes the server cold as if it had just started.
func (s *Server) TurnCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.capacity.turnCold(s.clock.Now())
}

// Journal returns an entry for every request that ran or runs, in the order of
// their starts.
func (s *Server) Journal() []Entry { return s.journal.copy() }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	stats := s.counters
	stats.Name = s.options.Name
	stats.Running = s.capacity.running
	stats.Bears = s.capacity.bears(now)
	stats.Temperature = s.capacity.temperature(now)
	stats.Draining = s.draining
	stats.Open = s.gate.open.Load()
	stats.Opened = s.gate.opened.Load()
	stats.Refused = s.gate.refused.Load()
	return stats
}
