// Package caller is an open-loop load generator: requests start at random times,
// whether or not earlier ones have ended. It checks that each response belongs to
// its request and is complete, and keeps a record of each request.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The defaults of the options.
const (
	DefaultDuration     = 10 * time.Second
	DefaultTimeout      = 10 * time.Second
	DefaultMaxInFlight  = 10000
	DefaultWanderPeriod = time.Second
)

// Choice is how a customer chooses among the ingress addresses.
type Choice string

// The choices.
const (
	// Sticky uses one address; with Options.Failover, until that address refuses
	// or can't be reached.
	Sticky Choice = "sticky"
	// Spread chooses an address at random for each request.
	Spread Choice = "spread"
	// Wandering moves to the next address every WanderPeriod.
	Wandering Choice = "wandering"
)

// Customer is the load of one customer.
type Customer struct {
	Name            string
	Key             string // sent as a bearer token; empty for none
	Schedule        Schedule
	Choice          Choice // empty for Sticky
	ReadPath        string
	WritePath       string
	Writes          float64 // share of the requests that are POSTs with a unique body; the rest are GETs
	IdempotencyKeys bool    // each write has an idempotency key
	SizeBytes       int     // requested padding of responses
}

func (c *Customer) check() error {
	known := []Choice{"", Sticky, Spread, Wandering}
	if c.Name == "" {
		return flow.Wrap("check-customer", "", fmt.Errorf("a customer must have a name"))
	}
	if !slices.Contains(known, c.Choice) {
		return flow.Wrap("check-customer", c.Name, fmt.Errorf("unknown choice %q; allowed: %q", c.Choice, known[1:]))
	}
	return flow.Wrap("check-customer", c.Name, c.Schedule.check())
}

// Options of a Caller. Zero numbers are replaced by the defaults.
type Options struct {
	Customers        []Customer
	Ingresses        []string      // ip:port, reached over HTTP
	Duration         time.Duration // during which requests start
	Timeout          time.Duration // of an attempt at one address, from its sending
	WanderPeriod     time.Duration // of Wandering
	Seed             uint64        // of all random decisions except idempotency keys
	Failover         bool          // try the next address after a result that another ingress may avoid
	FreshConnections bool          // open a connection for each request
	MaxInFlight      int           // requests above this limit are not sent
	Journal          io.Writer     // receives a Record of each request as a line of JSON; nil for none
}

func (o *Options) setDefaults() error {
	if len(o.Ingresses) == 0 || len(o.Customers) == 0 {
		return flow.Wrap("check-options", "", fmt.Errorf("at least one ingress and one customer are required"))
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WanderPeriod == 0 {
		o.WanderPeriod = DefaultWanderPeriod
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	for i := range o.Customers {
		if err := o.Customers[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// Caller sends the requests of all customers.
type Caller struct {
	options    Options
	start      time.Time
	inFlight   atomic.Int64
	goroutines sync.WaitGroup

	mutex      sync.Mutex
	records    []Record
	journalErr error
}

// New returns a caller that sends nothing until Run is called. It returns an error
// if the options are invalid.
func New(options Options) (*Caller, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	return &Caller{options: options}, nil
}

// Run sends requests for the configured duration and returns once all of them have
// ended. When ctx ends, it abandons the requests in flight and returns a summary of
// the requests sent so far. It returns an error if the journal can't be written.
// Run may be called only once.
func (c *Caller) Run(ctx context.Context) (Summary, error) {
	c.start = time.Now()
	var customers sync.WaitGroup
	for i := range c.options.Customers {
		sender := newSender(c, &c.options.Customers[i])
		customers.Go(func() { sender.run(ctx) })
	}
	customers.Wait()
	c.goroutines.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Summarize(c.records, time.Since(c.start)), flow.Wrap("write-journal", "", c.journalErr)
}

// Records returns the records of all requests that have ended so far.
func (c *Caller) Records() []Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.records)
}

func (c *Caller) addRecord(record Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, record)
	if c.options.Journal != nil && c.journalErr == nil {
		c.journalErr = json.NewEncoder(c.options.Journal).Encode(record)
	}
}

// sender starts the requests of one customer. It is used by one goroutine; each
// request runs in its own.
type sender struct {
	caller    *Caller
	customer  *Customer
	random    *rand.Rand
	client    *client
	sequence  int
	preferred atomic.Int64 // index of the address of Sticky, and the first of Wandering
}

func newSender(c *Caller, customer *Customer) *sender {
	hash := fnv.New64a()
	hash.Write([]byte(customer.Name))
	s := &sender{
		caller:   c,
		customer: customer,
		random:   rand.New(rand.NewPCG(c.options.Seed, hash.Sum64())),
		client:   newClient(c.options),
	}
	s.preferred.Store(s.random.Int64N(int64(len(c.options.Ingresses))))
	return s
}

func (s *sender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	elapsed, ok := s.customer.Schedule.next(s.random, 0, s.caller.options.Duration)
	for ok {
		timer.Reset(time.Until(s.caller.start.Add(elapsed)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.send(ctx, elapsed)
		}
		elapsed, ok = s.customer.Schedule.next(s.random, elapsed, s.caller.options.Duration)
	}
}

// send starts the request that is due at a time since the start of the run.
func (s *sender) send(ctx context.Context, elapsed time.Duration) {
	request := s.nextRequest(elapsed)
	first := s.choose(elapsed)
	if s.caller.inFlight.Add(1) > int64(s.caller.options.MaxInFlight) {
		s.caller.inFlight.Add(-1)
		request.record.Result = Unsent
		s.caller.addRecord(request.record)
		return
	}
	s.caller.goroutines.Go(func() {
		defer s.caller.inFlight.Add(-1)
		s.try(ctx, request, first)
		s.caller.addRecord(request.record)
	})
}

// nextRequest creates the next request.
func (s *sender) nextRequest(elapsed time.Duration) *request {
	s.sequence++
	r := &request{key: s.customer.Key, start: s.caller.start.Add(elapsed), size: s.customer.SizeBytes}
	r.record = Record{
		CallerRequest: fmt.Sprintf("%s-%d-%d", s.customer.Name, s.caller.start.UnixMilli(), s.sequence),
		Customer:      s.customer.Name,
		Method:        "GET",
		Path:          s.customer.ReadPath,
		Intended:      r.start.UnixNano(),
	}
	if s.random.Float64() < s.customer.Writes {
		r.record.Method = "POST"
		r.record.Path = s.customer.WritePath
		r.body = []byte("write " + r.record.CallerRequest)
		if s.customer.IdempotencyKeys {
			r.record.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		}
	}
	return r
}

// choose returns the index of the address to try first.
func (s *sender) choose(elapsed time.Duration) int {
	count := len(s.caller.options.Ingresses)
	switch s.customer.Choice {
	case Spread:
		return s.random.IntN(count)
	case Wandering:
		return (int(s.preferred.Load()) + int(elapsed/s.caller.options.WanderPeriod)) % count
	default:
		return int(s.preferred.Load())
	}
}

// try sends the request to the first address and, with Failover, to the following
// ones as long as the result is one that another ingress may avoid.
func (s *sender) try(ctx context.Context, request *request, first int) {
	request.record.Sent = time.Now().UnixNano()
	ingresses := s.caller.options.Ingresses
	for i := range ingresses {
		index := (first + i) % len(ingresses)
		s.client.do(ctx, request, ingresses[index])
		if !s.caller.options.Failover || !request.record.canTryNext() {
			return
		}
		s.preferred.CompareAndSwap(int64(index), int64((index+1)%len(ingresses)))
	}
}
