// The fleet of an experiment, and the requests that its callers send.

package planner

import (
	"fmt"
	"maps"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// Plan returns the plan of the fleet.
func (e *Experiment) Plan() launcher.Plan {
	d := e.Deployment
	plan := launcher.Plan{
		Region:      d.Region,
		Zones:       d.Zones,
		Hosts:       d.Hosts,
		ZoneDelay:   d.ZoneDelay.AsDuration(),
		CallerDelay: d.CallerDelay.AsDuration(),
		Settings:    map[string]any{},
	}
	maps.Copy(plan.Settings, d.Settings)
	maps.Copy(plan.Settings, e.Settings)
	for _, service := range d.Services {
		plan.Services = append(plan.Services, service.plan())
	}
	for _, customer := range d.Customers {
		plan.Customers = append(plan.Customers, launcher.CustomerPlan{
			Name: customer.Name, PerSecond: customer.PerSecond, Burst: customer.Burst,
		})
	}
	return plan
}

func (s *Service) plan() launcher.ServicePlan {
	return launcher.ServicePlan{
		Name:    s.Name,
		Servers: s.Servers,
		Floor:   s.Floor,
		Timeout: s.Timeout.AsDuration(),
		Server: server.Options{
			Slots:          s.Slots,
			Connections:    s.Connections,
			ConnectionCost: s.ConnectionCost.AsDuration(),
			ProbeTime:      s.ProbeTime.AsDuration(),
			ServiceTime:    s.ServiceTime.AsDuration(),
			Jitter:         s.Jitter.AsDuration(),
			ColdStart:      s.ColdStart.AsDuration(),
			ColdFactor:     s.ColdFactor,
			CollapseTime:   s.CollapseTime.AsDuration(),
		},
	}
}

// ServerCount returns the number of backend servers.
func (d *Deployment) ServerCount() int {
	count := 0
	for _, service := range d.Services {
		count += service.Servers
	}
	return count
}

// Rates returns the rate limits of all customers by name.
func (d *Deployment) Rates() map[string]assessor.Rate {
	rates := map[string]assessor.Rate{}
	for _, c := range d.Customers {
		rates[c.Name] = assessor.Rate{PerSecond: c.PerSecond, Burst: c.Burst}
	}
	return rates
}

// Stream is a stream of similar requests of one customer to one service. For the
// stand-in of the callers, each stream is a customer of its own, so that the
// embedded Name is that of the stream.
type Stream struct {
	caller.Customer
	CustomerName string
	Service      string // to which the requests are sent
}

// Streams returns the streams of all customers. Their times count from the start
// of the load, which includes the warm-up.
func (e *Experiment) Streams(warmUp time.Duration) []Stream {
	var streams []Stream
	for _, customer := range e.Deployment.Customers {
		for i, traffic := range customer.Traffic {
			streams = append(streams, e.streamsOf(customer.Name, i, traffic, warmUp)...)
		}
	}
	return streams
}

// streamsOf splits the traffic of a customer to a service into reads of each size,
// writes, and writes with idempotency keys.
func (e *Experiment) streamsOf(customer string, index int, t Traffic, warmUp time.Duration) []Stream {
	reads := t.PerSecond * (1 - t.Writes)
	writes := t.PerSecond * t.Writes
	sizes := t.Sizes
	if len(sizes) == 0 {
		sizes = []int{0}
	}
	var streams []Stream
	add := func(kind string, perSecond float64, configure func(*caller.Customer)) {
		if perSecond == 0 {
			return
		}
		s := Stream{CustomerName: customer, Service: t.Service}
		s.Customer = caller.Customer{
			Name:      fmt.Sprintf("%s/%s/%d/%s", customer, t.Service, index, kind),
			Key:       launcher.KeyOf(customer),
			Schedule:  e.schedule(customer, t, perSecond, warmUp),
			Choice:    t.Choice,
			ReadPath:  "/" + t.Service + "/" + kind,
			WritePath: "/" + t.Service + "/" + kind,
		}
		configure(&s.Customer)
		streams = append(streams, s)
	}
	for _, size := range sizes {
		add(fmt.Sprintf("reads-%d", size), reads/float64(len(sizes)), func(c *caller.Customer) { c.SizeBytes = size })
	}
	add("writes", writes*(1-t.IdempotencyKeys), func(c *caller.Customer) { c.Writes = 1 })
	add("keyed-writes", writes*t.IdempotencyKeys, func(c *caller.Customer) { c.Writes, c.IdempotencyKeys = 1, true })
	return streams
}

func (e *Experiment) schedule(customer string, t Traffic, perSecond float64, warmUp time.Duration) caller.Schedule {
	schedule := caller.Schedule{
		Rate:   perSecond,
		Shape:  t.Shape,
		Factor: t.LoadFactor,
		Start:  warmUp + t.Start.AsDuration(),
		Length: t.Length.AsDuration(),
		Period: t.Period.AsDuration(),
	}
	if e.LoadFactor > 0 {
		schedule.Rate *= e.LoadFactor
	}
	for _, fault := range e.Faults {
		if fault.Kind == FaultSurge && fault.Customer == customer {
			schedule.Shape, schedule.Factor = caller.Step, fault.LoadFactor
			schedule.Start, schedule.Length = warmUp+fault.At.AsDuration(), fault.For.AsDuration()
		}
	}
	return schedule
}

// WithoutSteps returns copies of streams in which steps of the rate, such as
// surges, are replaced by a constant rate. The direct load uses them as baseline.
func WithoutSteps(streams []Stream) []Stream {
	constant := make([]Stream, len(streams))
	for i, s := range streams {
		if s.Schedule.Shape == caller.Step {
			s.Schedule.Shape = caller.Constant
		}
		constant[i] = s
	}
	return constant
}

// CallerCustomers returns the customers of streams for a caller.
func CallerCustomers(streams []Stream) []caller.Customer {
	customers := make([]caller.Customer, 0, len(streams))
	for _, s := range streams {
		customers = append(customers, s.Customer)
	}
	return customers
}
