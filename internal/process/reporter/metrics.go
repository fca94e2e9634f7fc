// The metrics of traffic.

package reporter

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 256
	// sampleDecay weighs recent values: the last five minutes count most.
	sampleDecay = 0.015
	// routesLimit is the number of routes with metrics of their own.
	routesLimit = 500
	// others stands for the customers and routes beyond their limits.
	others = "others"
	// nobody stands for requests on open routes and of unknown customers.
	nobody = "none"
	// answered is the outcome of requests that a backend server answered.
	answered = string(flow.OutcomeAnswered)
)

// Metrics counts and times requests. It is safe for use by many goroutines.
type Metrics struct {
	Registry  metrics.Registry
	customers *names
	routes    *names
}

// NewMetrics returns Metrics that give at most so many customers metrics of
// their own.
func NewMetrics(customers int) *Metrics {
	return &Metrics{
		Registry:  metrics.NewRegistry(),
		customers: newNames(customers),
		routes:    newNames(routesLimit),
	}
}

// Served takes the end of a caller's request.
func (m *Metrics) Served(customer, route string, reason flow.Reason, _ int, took time.Duration) {
	outcome := answered
	if reason != "" {
		outcome = string(reason)
	}
	name := m.customers.bounded(customer)
	m.count("requests", "customer", name, "outcome", outcome)
	m.time("request-latency-ms", took, "customer", name)
	if route != "" {
		m.time("route-latency-ms", took, "route", m.routes.bounded(route))
	}
}

// Admitted takes the end of a forwarded request.
func (m *Metrics) Admitted(server string, reason flow.Reason, took time.Duration) {
	outcome := answered
	if reason != "" {
		outcome = string(reason)
	}
	m.count("admissions", "server", server, "outcome", outcome)
	if reason == "" {
		m.time("server-latency-ms", took, "server", server)
	}
}

// Called takes the end of a control call from another daemon.
func (m *Metrics) Called(call string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.count("calls", "call", call, "result", result)
}

// -----------------------------------------------------------------------------

// names are the values of a label that have metrics of their own. They are safe
// for use by many goroutines.
type names struct {
	limit int

	mu    sync.RWMutex
	known map[string]bool
}

func newNames(limit int) *names {
	return &names{limit: limit, known: map[string]bool{}}
}

// bounded returns a name while there is room for another set of metrics, and
// others after that.
func (n *names) bounded(name string) string {
	if name == "" {
		return nobody
	}
	n.mu.RLock()
	known := n.known[name]
	full := len(n.known) >= n.limit
	n.mu.RUnlock()
	switch {
	case known:
		return name
	case full:
		return others
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.known) >= n.limit && !n.known[name] {
		return others
	}
	n.known[name] = true
	return name
}

func (m *Metrics) count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(labelled(name, labels), m.Registry).Inc(1)
}

func (m *Metrics) time(name string, took time.Duration, labels ...string) {
	full := labelled(name, labels)
	histogram, ok := m.Registry.Get(full).(metrics.Histogram)
	if !ok {
		histogram = metrics.GetOrRegisterHistogram(full, m.Registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	histogram.Update(took.Milliseconds())
}

func (m *Metrics) gauge(name string, value float64, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(labelled(name, labels), m.Registry).Update(value)
}
