// Counters and latency histograms of requests and calls.

package reporter

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sampleSize is the number of values in the sample of a histogram.
	sampleSize = 256
	// sampleDecay is the factor of the exponential decay by which the sample
	// prefers recent values: mostly those of the last five minutes.
	sampleDecay = 0.015
	// maxRoutes is the number of routes with metrics of their own.
	maxRoutes = 500
	// labelOthers stands for the customers and routes beyond their limits.
	labelOthers = "others"
	// labelNone stands for requests without a known customer, such as those on
	// open routes.
	labelNone = "none"
	// outcomeAnswered is the outcome of requests that a backend server answered.
	outcomeAnswered = string(flow.OutcomeAnswered)
)

// Metrics counts requests and measures their latency. It is safe for concurrent
// use.
type Metrics struct {
	Registry  metrics.Registry
	customers *labelValues
	routes    *labelValues

	mu         sync.RWMutex
	counters   map[series]metrics.Counter
	histograms map[series]metrics.Histogram
}

// series identifies a metric by its name and labels. Metrics are looked up by it
// because building the name in the registry for each request would be slower.
type series struct {
	name          string
	first, second label // second is empty when there is only one label
}

type label struct{ name, value string }

// NewMetrics returns Metrics in which at most maxCustomers customers have metrics
// of their own.
func NewMetrics(maxCustomers int) *Metrics {
	return &Metrics{
		Registry:   metrics.NewRegistry(),
		customers:  newLabelValues(maxCustomers),
		routes:     newLabelValues(maxRoutes),
		counters:   map[series]metrics.Counter{},
		histograms: map[series]metrics.Histogram{},
	}
}

// Served records the end of a caller's request. The reason is empty when it was
// answered, and the route when none matched. The fourth parameter is not used;
// the callers pass different values there, a status or a number of offers.
func (m *Metrics) Served(customer, route string, reason flow.Reason, _ int, latency time.Duration) {
	outcome := outcomeAnswered
	if reason != "" {
		outcome = string(reason)
	}
	name := m.customers.limited(customer)
	m.increment(series{"requests", label{"customer", name}, label{"outcome", outcome}})
	m.observe(series{name: "request-latency-ms", first: label{"customer", name}}, latency)
	if route != "" {
		m.observe(series{name: "route-latency-ms", first: label{"route", m.routes.limited(route)}}, latency)
	}
}

// Searched records the search of an ingress for the first server of a request: how many offers
// it made, and how long it took until a slot was granted or the search was given up.
func (m *Metrics) Searched(found bool, offers int, took time.Duration) {
	result := "none"
	if found {
		result = "found"
	}
	m.observeValue(series{name: "search-offers", first: label{"result", result}}, int64(offers))
	m.observe(series{name: "search-time-ms", first: label{"result", result}}, took)
}

// Admitted records the end of a forwarded request. The reason is empty when it
// was answered.
func (m *Metrics) Admitted(server string, reason flow.Reason, latency time.Duration) {
	outcome := outcomeAnswered
	if reason != "" {
		outcome = string(reason)
	}
	m.increment(series{"admissions", label{"server", server}, label{"outcome", outcome}})
	if reason == "" {
		m.observe(series{name: "server-latency-ms", first: label{"server", server}}, latency)
	}
}

// CallServed records the end of a call from another daemon.
func (m *Metrics) CallServed(call string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.increment(series{"calls", label{"call", call}, label{"result", result}})
}

// labelValues is the set of values of a label that have metrics of their own. It
// is safe for concurrent use.
type labelValues struct {
	limit int

	mu    sync.RWMutex
	known map[string]bool
}

func newLabelValues(limit int) *labelValues {
	return &labelValues{limit: limit, known: map[string]bool{}}
}

// limited returns the label value for a name: the name itself if it is among the
// first ones up to the limit, labelOthers if it is not, and labelNone for an
// empty name.
func (v *labelValues) limited(name string) string {
	if name == "" {
		return labelNone
	}
	v.mu.RLock()
	known := v.known[name]
	full := len(v.known) >= v.limit
	v.mu.RUnlock()
	switch {
	case known:
		return name
	case full:
		return labelOthers
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.known) >= v.limit && !v.known[name] {
		return labelOthers
	}
	v.known[name] = true
	return name
}

func (m *Metrics) increment(s series) {
	m.mu.RLock()
	counter, ok := m.counters[s]
	m.mu.RUnlock()
	if !ok {
		counter = m.addCounter(s)
	}
	counter.Inc(1)
}

func (m *Metrics) addCounter(s series) metrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter := metrics.GetOrRegisterCounter(s.String(), m.Registry)
	m.counters[s] = counter
	return counter
}

func (m *Metrics) observe(s series, latency time.Duration) { m.observeValue(s, latency.Milliseconds()) }

func (m *Metrics) observeValue(s series, value int64) {
	m.mu.RLock()
	histogram, ok := m.histograms[s]
	m.mu.RUnlock()
	if !ok {
		histogram = m.addHistogram(s)
	}
	histogram.Update(value)
}

func (m *Metrics) addHistogram(s series) metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.histograms[s]; ok {
		return known
	}
	histogram := metrics.GetOrRegisterHistogram(s.String(), m.Registry, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	m.histograms[s] = histogram
	return histogram
}

// String returns the name of a metric in the registry.
func (s series) String() string {
	labels := []string{s.first.name, s.first.value}
	if s.second.name != "" {
		labels = append(labels, s.second.name, s.second.value)
	}
	return registryName(s.name, labels)
}

func (m *Metrics) setGauge(name string, value float64, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(registryName(name, labels), m.Registry).Update(value)
}
