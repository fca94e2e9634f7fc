// Package caller is an open-loop load generator. Each of its customers sends
// requests at random moments that do not wait for answers, checks that every
// answer is its own and whole, and keeps a record of each request.
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

// Choice names how a customer chooses among its ingress addresses.
type Choice string

// The choices.
const (
	// Sticky stays with one address, until that refuses or cannot be reached.
	Sticky Choice = "sticky"
	// Spread takes any address for each request.
	Spread Choice = "spread"
	// Wandering moves to another address every WanderPeriod.
	Wandering Choice = "wandering"
)

// Customer is one customer's traffic.
type Customer struct {
	Name            string
	Key             string // sent as a bearer token; empty for none
	Schedule        Schedule
	Choice          Choice // empty for Sticky
	ReadPath        string
	WritePath       string
	Writes          float64 // share of the requests that are POSTs of a unique body; the rest are GETs
	IdempotencyKeys bool    // writes carry one
	SizeBytes       int     // padding that is asked for
}

func (c *Customer) check() error {
	known := []Choice{"", Sticky, Spread, Wandering}
	if c.Name == "" {
		return flow.Wrap("check-customer", "", fmt.Errorf("a customer has no name"))
	}
	if !slices.Contains(known, c.Choice) {
		return flow.Wrap("check-customer", c.Name, fmt.Errorf("unknown choice %q, want one of %q", c.Choice, known[1:]))
	}
	return flow.Wrap("check-customer", c.Name, c.Schedule.check())
}

// Options of a Caller. Zero numbers stand for the defaults.
type Options struct {
	Customers        []Customer
	Ingresses        []string // ip:port, all asked by http
	Duration         time.Duration
	Timeout          time.Duration // of one request, from its sending
	WanderPeriod     time.Duration
	Seed             uint64
	GoRound          bool      // ask the next address after a refusal that another address may not give
	FreshConnections bool      // a new connection for each request
	MaxInFlight      int       // requests under way at once, above which they are not sent
	Journal          io.Writer // takes a Record for each request as a line of JSON; nil for none
}

func (o *Options) setDefaults() error {
	if len(o.Ingresses) == 0 || len(o.Customers) == 0 {
		return flow.Wrap("check-options", "", fmt.Errorf("there must be an ingress and a customer"))
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

// -----------------------------------------------------------------------------

// Caller sends the requests of all customers.
type Caller struct {
	options  Options
	start    time.Time
	inFlight atomic.Int64
	ended    sync.WaitGroup

	mutex      sync.Mutex
	records    []Record
	journalErr error
}

// New returns a caller that sends nothing until it is run.
func New(options Options) (*Caller, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	return &Caller{options: options}, nil
}

// Run sends requests for the duration of the options and returns once all of
// them have ended. When ctx ends, so do the requests under way; the summary
// holds what was sent until then. Run must be called once.
func (c *Caller) Run(ctx context.Context) (Summary, error) {
	c.start = time.Now()
	var customers sync.WaitGroup
	for i := range c.options.Customers {
		sender := newSender(c, &c.options.Customers[i])
		customers.Go(func() { sender.run(ctx) })
	}
	customers.Wait()
	c.ended.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Summarize(c.records, time.Since(c.start)), flow.Wrap("write-journal", "", c.journalErr)
}

// Records returns the records of all requests that have ended.
func (c *Caller) Records() []Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.records)
}

func (c *Caller) keep(record Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, record)
	if c.options.Journal != nil && c.journalErr == nil {
		c.journalErr = json.NewEncoder(c.options.Journal).Encode(record)
	}
}

// -----------------------------------------------------------------------------

// sender draws the arrivals of one customer. It is used by one goroutine;
// its requests run in their own.
type sender struct {
	caller   *Caller
	customer *Customer
	random   *rand.Rand
	client   *client
	sequence int
	home     atomic.Int64 // index of the address that the customer keeps to
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
	s.home.Store(s.random.Int64N(int64(len(c.options.Ingresses))))
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

// send starts the request that was to start after a time.
func (s *sender) send(ctx context.Context, elapsed time.Duration) {
	request := s.draw(elapsed)
	first := s.choose(elapsed)
	if s.caller.inFlight.Add(1) > int64(s.caller.options.MaxInFlight) {
		s.caller.inFlight.Add(-1)
		request.record.Result = Unsent
		s.caller.keep(request.record)
		return
	}
	s.caller.ended.Go(func() {
		defer s.caller.inFlight.Add(-1)
		s.ask(ctx, request, first)
		s.caller.keep(request.record)
	})
}

// draw makes the next request.
func (s *sender) draw(elapsed time.Duration) *request {
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

// choose returns the index of the address to ask first.
func (s *sender) choose(elapsed time.Duration) int {
	count := len(s.caller.options.Ingresses)
	switch s.customer.Choice {
	case Spread:
		return s.random.IntN(count)
	case Wandering:
		return (int(s.home.Load()) + int(elapsed/s.caller.options.WanderPeriod)) % count
	default:
		return int(s.home.Load())
	}
}

// ask asks one address or, when the caller goes round, one after the other
// until one gives another answer than that it cannot serve.
func (s *sender) ask(ctx context.Context, request *request, first int) {
	request.record.Sent = time.Now().UnixNano()
	ingresses := s.caller.options.Ingresses
	for i := range ingresses {
		index := (first + i) % len(ingresses)
		s.client.do(ctx, request, ingresses[index])
		if !s.caller.options.GoRound || !request.record.worthAskingAgain() {
			return
		}
		s.home.CompareAndSwap(int64(index), int64((index+1)%len(ingresses)))
	}
}
