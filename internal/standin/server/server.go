// Package server simulates a backend server. It has a limited number of slots and
// connections and can start cold, shed, drain and inject gray faults. Its journal
// holds every request that it ran.
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

// Options of a Server. Zero numbers and an empty ShedHeader are replaced by the
// defaults, except that a zero ColdStart disables the cold start. A negative
// duration stands for zero. Empty addresses stand for free loopback ports.
type Options struct {
	Name           string
	Address        string        // ip:port for requests
	AdminAddress   string        // ip:port for administration
	Slots          int           // maximum of running requests
	Connections    int           // maximum of open connections
	ConnectionCost time.Duration // time to accept a connection; they are accepted one after another
	ServiceTime    time.Duration // minimum time that a request runs
	Jitter         time.Duration // upper bound of the random time added to ServiceTime
	Seed           uint64        // of all random decisions
	ColdStart      time.Duration // time from the start to full capacity
	ColdFactor     float64       // multiplies the service time while cold
	CollapseTime   time.Duration // duration of a collapse
	ProbeTime      time.Duration // time to respond to a health or load probe
	HealthLag      time.Duration // maximum age of the state that probes report
	ShedStatus     int           // status of the response to a shed request
	ShedHeader     string        // header of the response to a shed request
	Fault          Fault         // active from the start
}

// RegisterFlags adds the options' flags to a flag set.
func (o *Options) RegisterFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.Name, "name", "backend", "name of the backend server")
	flags.StringVar(&o.Address, "address", acceptor.LoopbackAddress, "ip:port for requests")
	flags.StringVar(&o.AdminAddress, "admin-address", acceptor.LoopbackAddress, "ip:port for administration")
	flags.IntVar(&o.Slots, "slots", DefaultSlots, "maximum of running requests")
	flags.IntVar(&o.Connections, "connections", DefaultConnections, "maximum of open connections")
	flags.DurationVar(&o.ConnectionCost, "connection-cost", DefaultConnectionCost, "time to accept one connection; negative for none")
	flags.DurationVar(&o.ServiceTime, "service-time", DefaultServiceTime, "minimum time that a request runs; negative for none")
	flags.DurationVar(&o.Jitter, "jitter", 0, "upper bound of the random time added to the service time")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of all random decisions")
	flags.DurationVar(&o.ColdStart, "cold-start", 0, "time from the start to full capacity")
	flags.Float64Var(&o.ColdFactor, "cold-factor", DefaultColdFactor, "multiple of the service time while cold")
	flags.DurationVar(&o.CollapseTime, "collapse-time", DefaultCollapseTime, "duration of a collapse; negative for none")
	flags.DurationVar(&o.ProbeTime, "probe-time", DefaultProbeTime, "time to respond to a health or load probe; negative for none")
	flags.DurationVar(&o.HealthLag, "health-lag", 0, "maximum age of the state that probes report")
	flags.IntVar(&o.ShedStatus, "shed-status", DefaultShedStatus, "status of the response to a shed request")
	flags.StringVar(&o.ShedHeader, "shed-header", DefaultShedHeader, "header of the response to a shed request")
	o.Fault.RegisterFlags(flags)
}

// Check returns an error if New would reject the options.
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

// HealthMode is what the health and load endpoints report.
type HealthMode string

// The modes of the health and load endpoints.
const (
	// HealthTrue is the actual state, at most HealthLag old. It does not include
	// gray faults that do not flap.
	HealthTrue HealthMode = "true"
	// HealthGood is always healthy and without load.
	HealthGood HealthMode = "good"
	// HealthBad is always unhealthy and fully loaded.
	HealthBad HealthMode = "bad"
)

// Stats are the counters of a server.
type Stats struct {
	Name        string      `json:"name"`
	Ran         int         `json:"ran"`        // requests in the journal
	Shed        int         `json:"shed"`       // requests that were shed
	Overloaded  int         `json:"overloaded"` // requests that exceeded the capacity
	Probes      int         `json:"probes"`     // requests to the health and load endpoints
	Running     int         `json:"running"`
	MaxRunning  int         `json:"max-running"`
	Capacity    int         `json:"bears"` // current capacity, in requests
	Temperature Temperature `json:"temperature"`
	Draining    bool        `json:"draining"`
	Open        int64       `json:"open"`    // connections
	Opened      int64       `json:"opened"`  // connections since the start
	Refused     int64       `json:"refused"` // connections above the limit
}

// Server is a running backend server. It is safe for concurrent use.
type Server struct {
	options  Options
	clock    flow.Clock
	public   *acceptor.Acceptor
	admin    *acceptor.Acceptor
	listener *limitedListener
	journal  journal
	done     <-chan struct{} // closed when the server ends

	mutex      sync.Mutex
	capacity   *capacityModel
	random     *rand.Rand
	fault      Fault
	faultSince flow.Time
	draining   bool
	healthMode HealthMode
	probe      probe
	previous   Echo // of the request admitted last, for FaultCrossed
	counters   Stats
}

// New starts a server that ends with ctx. It returns an error if the fault is
// unknown or an address can't be listened on. When the server ends, running
// requests are cut off; drain it first where that matters.
func New(ctx context.Context, options Options) (*Server, error) {
	options.setDefaults()
	s := &Server{
		options:    options,
		clock:      flow.NewMonotonicClock(),
		capacity:   newCapacityModel(options.Slots, options.ColdStart, options.CollapseTime),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		healthMode: HealthTrue,
		previous:   Echo{CallerRequest: "somebody-else", RequestID: "somebody-else", Server: options.Name},
	}
	s.capacity.startCold(s.clock.Now())
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
	s.listener = &limitedListener{Listener: listener, max: int64(s.options.Connections), acceptTime: s.options.ConnectionCost}
	return s.listener
}

// Addr returns the ip:port for requests.
func (s *Server) Addr() string { return s.public.Addr() }

// AdminAddr returns the ip:port for administration.
func (s *Server) AdminAddr() string { return s.admin.Addr() }

// Wait returns once the server has stopped listening.
func (s *Server) Wait() {
	s.public.Wait()
	s.admin.Wait()
}

// SetFault replaces the gray fault for requests that arrive from now on. It
// returns an error if the kind is unknown.
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

// SetDraining begins or ends a drain. During a drain new requests are shed and
// running ones go on.
func (s *Server) SetDraining(draining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = draining
}

// SetHealth sets what the health and load endpoints report. It returns an error if
// the mode is unknown.
func (s *Server) SetHealth(mode HealthMode) error {
	known := []HealthMode{HealthTrue, HealthGood, HealthBad}
	if !slices.Contains(known, mode) {
		return flow.Wrap("set-health", "", fmt.Errorf("unknown mode %q; allowed: %q", mode, known))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.healthMode = mode
	return nil
}

// StartCold begins a cold start, as if the server had just been started.
func (s *Server) StartCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.capacity.startCold(s.clock.Now())
}

// Journal returns an entry for each request that ran or is running, in the order
// in which they were admitted.
func (s *Server) Journal() []Entry { return s.journal.copy() }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	stats := s.counters
	stats.Name = s.options.Name
	stats.Running = s.capacity.running
	stats.Capacity = s.capacity.current(now)
	stats.Temperature = s.capacity.temperature(now)
	stats.Draining = s.draining
	stats.Open = s.listener.open.Load()
	stats.Opened = s.listener.opened.Load()
	stats.Refused = s.listener.refused.Load()
	return stats
}
