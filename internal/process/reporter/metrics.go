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
	first, second label // empty ones are left out
}

type label struct{ name, value string }

// NewMetrics returns Metrics in which at most maxCustomers customers have metrics
// of their own.
func NewMetrics(maxCustomers int) *Metrics {
	m := &Metrics{
		Registry:   metrics.NewRegistry(),
		customers:  newLabelValues(maxCustomers),
		routes:     newLabelValues(maxRoutes),
		counters:   map[series]metrics.Counter{},
		histograms: map[series]metrics.Histogram{},
	}
	m.addCounter(restoresSeries) // so that it is 0 before the first restore
	m.addCounter(cutOffsSeries)
	m.addCounter(earlyRefusalsSeries)
	return m
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

// RefusedEarly records that a request was refused before any offer, because every backend
// server of its service would have refused it as too late.
func (m *Metrics) RefusedEarly(string) { m.increment(earlyRefusalsSeries) }

// StoreRestored records that the platform's store was restored from a copy.
func (m *Metrics) StoreRestored() { m.increment(restoresSeries) }

// CutOff records that the host is cut off from the platform's store.
func (m *Metrics) CutOff() { m.increment(cutOffsSeries) }

var (
	restoresSeries = series{name: "store-restores"}
	cutOffsSeries  = series{name: "cut-offs"}

	earlyRefusalsSeries = series{name: "early-refusals"}
)

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

func (m *Metrics) observe(s series, latency time.Duration) {
	m.mu.RLock()
	histogram, ok := m.histograms[s]
	m.mu.RUnlock()
	if !ok {
		histogram = m.addHistogram(s)
	}
	histogram.Update(latency.Milliseconds())
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
	var labels []string
	for _, l := range []label{s.first, s.second} {
		if l.name != "" {
			labels = append(labels, l.name, l.value)
		}
	}
	return registryName(s.name, labels)
}

func (m *Metrics) setGauge(name string, value float64, labels ...string) {
	metrics.GetOrRegisterGaugeFloat64(registryName(name, labels), m.Registry).Update(value)
}
