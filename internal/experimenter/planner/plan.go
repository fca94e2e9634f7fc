// From an experiment to a fleet's plan and to what its callers send.

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
		ZoneDelay:   d.ZoneDelay.Of(),
		CallerDelay: d.CallerDelay.Of(),
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
		Timeout: s.Timeout.Of(),
		Server: server.Options{
			Slots:          s.Slots,
			Connections:    s.Connections,
			ConnectionCost: s.ConnectionCost.Of(),
			ProbeTime:      s.ProbeTime.Of(),
			ServiceTime:    s.ServiceTime.Of(),
			Jitter:         s.Jitter.Of(),
			ColdStart:      s.ColdStart.Of(),
			ColdFactor:     s.ColdFactor,
			CollapseTime:   s.CollapseTime.Of(),
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

// Rates returns the rates of all customers.
func (d *Deployment) Rates() map[string]assessor.Rate {
	rates := map[string]assessor.Rate{}
	for _, c := range d.Customers {
		rates[c.Name] = assessor.Rate{PerSecond: c.PerSecond, Burst: c.Burst}
	}
	return rates
}

// -----------------------------------------------------------------------------

// Row is one stream of requests of a caller: one customer, one service, and
// requests that are alike.
type Row struct {
	caller.Customer
	Owner   string // the customer
	Service string // to which it sends
}

// Rows returns the streams of all customers. Their times are counted from the
// start of the load, the warm-up included.
func (e *Experiment) Rows(warmUp time.Duration) []Row {
	var rows []Row
	for _, customer := range e.Deployment.Customers {
		for i, traffic := range customer.Traffic {
			rows = append(rows, e.rowsOf(customer.Name, i, traffic, warmUp)...)
		}
	}
	return rows
}

// rowsOf splits what a customer sends to a service into reads of each size,
// writes, and writes with idempotency keys.
func (e *Experiment) rowsOf(customer string, index int, t Traffic, warmUp time.Duration) []Row {
	reads := t.PerSecond * (1 - t.Writes)
	writes := t.PerSecond * t.Writes
	sizes := t.Sizes
	if len(sizes) == 0 {
		sizes = []int{0}
	}
	var rows []Row
	add := func(kind string, perSecond float64, change func(*caller.Customer)) {
		if perSecond == 0 {
			return
		}
		r := Row{Owner: customer, Service: t.Service}
		r.Customer = caller.Customer{
			Name:      fmt.Sprintf("%s/%s/%d/%s", customer, t.Service, index, kind),
			Key:       launcher.KeyOf(customer),
			Schedule:  e.schedule(customer, t, perSecond, warmUp),
			Choice:    t.Choice,
			ReadPath:  "/" + t.Service + "/" + kind,
			WritePath: "/" + t.Service + "/" + kind,
		}
		change(&r.Customer)
		rows = append(rows, r)
	}
	for _, size := range sizes {
		add(fmt.Sprintf("reads-%d", size), reads/float64(len(sizes)), func(c *caller.Customer) { c.SizeBytes = size })
	}
	add("writes", writes*(1-t.IdempotencyKeys), func(c *caller.Customer) { c.Writes = 1 })
	add("keyed-writes", writes*t.IdempotencyKeys, func(c *caller.Customer) { c.Writes, c.IdempotencyKeys = 1, true })
	return rows
}

func (e *Experiment) schedule(customer string, t Traffic, perSecond float64, warmUp time.Duration) caller.Schedule {
	schedule := caller.Schedule{
		Rate:   perSecond,
		Shape:  t.Shape,
		Factor: t.Times,
		Start:  warmUp + t.Start.Of(),
		Length: t.Length.Of(),
		Period: t.Period.Of(),
	}
	if e.LoadTimes > 0 {
		schedule.Rate *= e.LoadTimes
	}
	for _, fault := range e.Faults {
		if fault.Kind == FaultSurge && fault.Customer == customer {
			schedule.Shape, schedule.Factor = caller.Step, fault.Times
			schedule.Start, schedule.Length = warmUp+fault.At.Of(), fault.For.Of()
		}
	}
	return schedule
}

// WithoutSurges returns rows at their plain rates, for the direct baseline.
func WithoutSurges(rows []Row) []Row {
	plain := make([]Row, len(rows))
	for i, r := range rows {
		if r.Schedule.Shape == caller.Step {
			r.Schedule.Shape = caller.Constant
		}
		plain[i] = r
	}
	return plain
}

// CustomersOf returns what a caller needs of rows.
func CustomersOf(rows []Row) []caller.Customer {
	customers := make([]caller.Customer, 0, len(rows))
	for _, r := range rows {
		customers = append(customers, r.Customer)
	}
	return customers
}
