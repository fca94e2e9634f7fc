// Metrics: what they take of a request, their page, and the memory of what a
// daemon keeps for each of many things.

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

func served() Measurement {
	return Measurement{
		Name:       "served",
		Help:       "what the metrics take of one request, at its ingress and at admission",
		Parameters: []Parameter{{"customers", "customers in turn", 1, 96000}},
		Sizes:      []Size{{"customers": 200}},
		Times:      1000,
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

// -----------------------------------------------------------------------------

func textPage() Measurement {
	return Measurement{
		Name:       "text-page",
		Help:       "the page of metrics with the histograms of many routes and of 200 customers",
		Parameters: []Parameter{{"routes", "routes, and as many customers", 1, 20000}},
		Sizes:      []Size{{"routes": 5700}},
		Times:      1,
		Figures:    []Figure{{"page-size", "kB", "bytes of the page"}},
		Measure:    measureTextPage,
	}
}

// customersKept bounds the customers with histograms of their own.
const customersKept = 200

func measureTextPage(ctx context.Context, t *Trial) error {
	m := reporter.NewMetrics(customersKept)
	for i := range t.Size["routes"] {
		m.Served(customerName(i), routeName(i), "", 200, time.Millisecond)
	}
	written := counter(0)
	err := t.Repeat(ctx, func() error {
		written = 0
		return m.WriteText(&written)
	})
	t.Report("page-size", float64(written)/1e3)
	return err
}

type counter int

// Write counts bytes.
func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

// -----------------------------------------------------------------------------

func kept() Measurement {
	return Measurement{
		Name:       "kept",
		Help:       "the memory of what a daemon keeps for each of many things",
		Parameters: []Parameter{{"count", "things of each kind", 1, 10000}},
		Sizes:      []Size{{"count": 500}},
		Times:      1,
		Figures: []Figure{
			{"customer-in-metrics", "B", "histogram of a customer"},
			{"route-in-metrics", "B", "histogram of a route"},
			{"sender", "B", "sender of a backend server"},
			{"judged-server", "B", "what the owner of a service knows of a backend server"},
		},
		Measure: measureKept,
	}
}

func measureKept(ctx context.Context, t *Trial) error {
	builders := []builder{
		{"customer-in-metrics", buildCustomers},
		{"route-in-metrics", buildRoutes},
		{"sender", buildSenders},
		{"judged-server", buildJudge},
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

// builder builds things of one kind.
type builder struct {
	figure string
	build  func(count int) (any, error)
}

// measure reports the memory of each of the things.
func (b builder) measure(t *Trial) error {
	count := t.Size["count"]
	before := liveMemory()
	things, err := b.build(count)
	if err != nil {
		return err
	}
	t.Report(b.figure, (liveMemory()-before)/float64(count))
	runtime.KeepAlive(things)
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

func buildJudge(count int) (any, error) {
	const windows = 50
	judge, err := ejector.New(ejector.NameRobust, ejector.Options{})
	if err != nil {
		return nil, err
	}
	names := serverNames(count)
	judge.SetServers(0, names, floor)
	for i := range windows {
		for _, name := range names {
			judge.Report(flow.Time(i*window), "host", []flow.ServerReport{{Server: name, Count: 10, LatencyP50: time.Millisecond}})
		}
	}
	return judge, nil
}
