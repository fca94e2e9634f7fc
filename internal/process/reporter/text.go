// Output of the metrics in the text format of Prometheus, and as JSON.

package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// namePrefix starts the name of each metric in the text format.
const namePrefix = "coltsfootflow_"

// quantiles are the quantiles of each histogram in the text format.
var quantiles = []float64{0.5, 0.9, 0.99}

// registryName returns the name of a metric in the registry, which contains its
// labels. The labels alternate between name and value.
func registryName(name string, labels []string) string {
	var text strings.Builder
	text.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		text.WriteByte('|')
		text.WriteString(labels[i])
		text.WriteByte('=')
		text.WriteString(labels[i+1])
	}
	return text.String()
}

// WriteText writes all metrics in the text format of Prometheus, sorted by line.
// It returns the first error of w.
func (m *Metrics) WriteText(w io.Writer) error {
	var lines []string
	m.Registry.Each(func(name string, metric any) {
		lines = append(lines, textLines(name, metric)...)
	})
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

func textLines(name string, metric any) []string {
	base, labels := parseRegistryName(name)
	switch metric := metric.(type) {
	case metrics.Counter:
		return []string{textLine(base+"_total", labels, float64(metric.Count()))}
	case metrics.GaugeFloat64:
		return []string{textLine(base, labels, metric.Value())}
	case metrics.Histogram:
		return histogramLines(base, labels, metric.Snapshot())
	}
	return nil
}

func histogramLines(base string, labels []string, histogram metrics.Histogram) []string {
	lines := []string{
		textLine(base+"_count", labels, float64(histogram.Count())),
		textLine(base+"_max", labels, float64(histogram.Max())),
	}
	values := histogram.Percentiles(quantiles)
	for i, quantile := range quantiles {
		withQuantile := append(slices.Clone(labels), fmt.Sprintf("quantile=%q", fmt.Sprint(quantile)))
		lines = append(lines, textLine(base, withQuantile, values[i]))
	}
	return lines
}

// parseRegistryName returns the name and the labels of a metric in the text format
// from its name in the registry.
func parseRegistryName(name string) (string, []string) {
	parts := strings.Split(name, "|")
	var labels []string
	for _, part := range parts[1:] {
		label, value, _ := strings.Cut(part, "=")
		labels = append(labels, fmt.Sprintf("%s=%q", label, value))
	}
	return namePrefix + strings.ReplaceAll(parts[0], "-", "_"), labels
}

func textLine(name string, labels []string, value float64) string {
	if len(labels) == 0 {
		return fmt.Sprintf("%s %g", name, value)
	}
	return fmt.Sprintf("%s{%s} %g", name, strings.Join(labels, ","), value)
}

// WriteJSON writes all metrics as JSON, by their names in the registry. It
// returns the first error of w.
func (m *Metrics) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(m.Registry.GetAll())
}
