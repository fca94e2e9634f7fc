// Metrics: their cost for a request, their page, and the memory that a daemon
// keeps for each customer, route and backend server.

package measurer

import (
	"context"
	"runtime"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func servedMeasurement() Measurement {
	return Measurement{
		Name:       "served",
		Help:       "the cost of the metrics for one request, at its ingress and at admission",
		Parameters: []Parameter{{"customers", "customers, used in turn", 1, 96000}},
		Sizes:      []Size{{"customers": 200}},
		Operations: 1000,
		Figures:    allocations,
		Measure:    measureServed,
	}
}

func measureServed(ctx context.Context, t *Trial) error {
	customers := t.Size["customers"]
	m := reporter.NewMetrics(customers)
	route, server := routeName(1), serverName(1)
	turn := 0
	return t.repeatAllocating(ctx, func() error {
		turn++
		m.Served(customerName(turn%customers), route, "", 200, time.Millisecond)
		m.Admitted(server, "", time.Millisecond)
		return nil
	})
}

func textPageMeasurement() Measurement {
	return Measurement{
		Name:       "text-page",
		Help:       "the page of metrics with the histograms of many routes and of 200 customers",
		Parameters: []Parameter{{"routes", "routes, and as many customers", 1, 20000}},
		Sizes:      []Size{{"routes": 5700}},
		Operations: 1,
		Figures:    []Figure{{"page-size", "kB", "bytes of the page"}},
		Measure:    measureTextPage,
	}
}

// maxCustomerHistograms bounds the customers with histograms of their own.
const maxCustomerHistograms = 200

func measureTextPage(ctx context.Context, t *Trial) error {
	m := reporter.NewMetrics(maxCustomerHistograms)
	for i := range t.Size["routes"] {
		m.Served(customerName(i), routeName(i), "", 200, time.Millisecond)
	}
	written := byteCounter(0)
	err := t.Repeat(ctx, func() error {
		written = 0
		return m.WriteText(&written)
	})
	t.Report("page-size", float64(written)/1e3)
	return err
}

type byteCounter int

// Write counts the bytes and discards them.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

func keptMeasurement() Measurement {
	return Measurement{
		Name:       "kept",
		Help:       "the memory that a daemon keeps for each customer, route and backend server",
		Parameters: []Parameter{{"count", "objects of each kind", 1, 10000}},
		Sizes:      []Size{{"count": 500}},
		Operations: 1,
		Figures: []Figure{
			{"customer-in-metrics", "B", "histogram of a customer"},
			{"route-in-metrics", "B", "histogram of a route"},
			{"sender", "B", "sender of a backend server"},
			{"judged-server", "B", "state of a backend server at the owner of its service"},
		},
		Measure: measureKept,
	}
}

func measureKept(ctx context.Context, t *Trial) error {
	builders := []builder{
		{"customer-in-metrics", buildCustomers},
		{"route-in-metrics", buildRoutes},
		{"sender", buildSenders},
		{"judged-server", buildEjector},
	}
	return t.Repeat(ctx, func() error {
		for _, b := range builders {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := b.measure(t); err != nil {
				return err
			}
		}
		return nil
	})
}

// builder builds objects of one kind, whose memory is reported as a figure.
type builder struct {
	figure string
	build  func(count int) (any, error)
}

// measure reports the memory of one object, the mean of all that it builds.
func (b builder) measure(t *Trial) error {
	count := t.Size["count"]
	before := liveMemoryBytes()
	objects, err := b.build(count)
	if err != nil {
		return err
	}
	t.Report(b.figure, (liveMemoryBytes()-before)/float64(count))
	runtime.KeepAlive(objects)
	return nil
}

func buildCustomers(count int) (any, error) {
	m := reporter.NewMetrics(count)
	for i := range count {
		m.Served(customerName(i), "", "", 200, time.Millisecond)
	}
	return m, nil
}

func buildRoutes(count int) (any, error) {
	m := reporter.NewMetrics(1)
	for i := range count {
		m.Served("", routeName(i), "", 200, time.Millisecond)
	}
	return m, nil
}

func buildSenders(count int) (any, error) {
	senders := make([]*sender.Sender, count)
	for i := range senders {
		limit, err := limiter.New("aimd", limiter.Options{Server: serverName(i), Slots: 7})
		if err != nil {
			return nil, err
		}
		senders[i] = sender.New(flow.BackendServer{Name: serverName(i), Slots: 7, Connections: 390}, limit, flow.NewMonotonicClock())
		senders[i].Report()
	}
	return senders, nil
}

func buildEjector(count int) (any, error) {
	const windows = 50
	serverEjector, err := ejector.New(ejector.NameRobust, ejector.Options{})
	if err != nil {
		return nil, err
	}
	names := serverNames(count)
	serverEjector.SetServers(0, names, capacityFloor)
	for i := range windows {
		for _, name := range names {
			serverEjector.Report(flow.Time(i*windowMillis), "host", []flow.ServerReport{{Server: name, Count: 10, LatencyP50: time.Millisecond}})
		}
	}
	return serverEjector, nil
}
