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

	mu         sync.RWMutex
	counters   map[series]metrics.Counter
	histograms map[series]metrics.Histogram
}

// series are the name and the labels of a metric, by which it is found without
// putting together its name in the registry.
type series struct {
	name          string
	first, second label // second is empty when there is one label only
}

type label struct{ name, value string }

// NewMetrics returns Metrics that give at most so many customers metrics of
// their own.
func NewMetrics(customers int) *Metrics {
	return &Metrics{
		Registry:   metrics.NewRegistry(),
		customers:  newNames(customers),
		routes:     newNames(routesLimit),
		counters:   map[series]metrics.Counter{},
		histograms: map[series]metrics.Histogram{},
	}
}

// Served takes the end of a caller's request.
func (m *Metrics) Served(customer, route string, reason flow.Reason, _ int, took time.Duration) {
	outcome := answered
	if reason != "" {
		outcome = string(reason)
	}
	name := m.customers.bounded(customer)
	m.count(series{"requests", label{"customer", name}, label{"outcome", outcome}})
	m.time(series{name: "request-latency-ms", first: label{"customer", name}}, took)
	if route != "" {
		m.time(series{name: "route-latency-ms", first: label{"route", m.routes.bounded(route)}}, took)
	}
}

// Admitted takes the end of a forwarded request.
func (m *Metrics) Admitted(server string, reason flow.Reason, took time.Duration) {
	outcome := answered
	if reason != "" {
		outcome = string(reason)
	}
	m.count(series{"admissions", label{"server", server}, label{"outcome", outcome}})
	if reason == "" {
		m.time(series{name: "server-latency-ms", first: label{"server", server}}, took)
	}
}

// Called takes the end of a control call from another daemon.
func (m *Metrics) Called(call string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.count(series{"calls", label{"call", call}, label{"result", result}})
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

func (m *Metrics) count(of series) {
	m.mu.RLock()
	counter, ok := m.counters[of]
	m.mu.RUnlock()
	if !ok {
		counter = m.addCounter(of)
	}
	counter.Inc(1)
}

func (m *Metrics) addCounter(of series) metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := metrics.GetOrRegisterCounter(of.String(), m.Registry)
	m.counters[of] = counter
	return counter
}

func (m *Metrics) time(of series, took time.Duration) {
	m.mu.RLock()
	histogram, ok := m.histograms[of]
	m.mu.RUnlock()
	if !ok {
		histogram = m.addHistogram(of)
	}
	histogram.Update(took.Milliseconds())
}

func (m *Metrics) addHistogram(of series) metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.histograms[of]; ok {
		return known
	}
	histogram := metrics.GetOrRegisterHistogram(of.String(), m.Registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	m.histograms[of] = histogram
	return histogram
}

// String returns the name of a metric in the registry.
func (s series) String() string {
	labels := []string{s.first.name, s.first.value}
	if s.second.name != "" {
		labels = append(labels, s.second.name, s.second.value)
	}
	return labelled(s.name, labels)
}

func (m *Metrics) gauge(name string, value float64, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(labelled(name, labels), m.Registry).Update(value)
}
