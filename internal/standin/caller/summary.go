// The summary of a run: results and latencies by customer.

package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Summary is the result of a run.
type Summary struct {
	Seconds   float64           `json:"seconds"`
	Total     CustomerSummary   `json:"total"`
	Customers []CustomerSummary `json:"customers"` // by name
}

// CustomerSummary is the summary of one customer's requests.
type CustomerSummary struct {
	Customer string         `json:"customer"`
	Sent     int            `json:"sent"`
	Results  map[Result]int `json:"results"`
	Reasons  map[string]int `json:"reasons"` // of refusals, by "outcome/reason"
	Latency  Quantiles      `json:"latency"` // of answered requests, from the intended start
}

// Quantiles are exact quantiles of latencies, in milliseconds.
type Quantiles struct {
	P50Millis  float64 `json:"p50-millis"`
	P90Millis  float64 `json:"p90-millis"`
	P99Millis  float64 `json:"p99-millis"`
	P999Millis float64 `json:"p999-millis"`
	MaxMillis  float64 `json:"max-millis"`
}

// Summarize returns the summary of the records of a run with its elapsed time.
func Summarize(records []Record, elapsed time.Duration) Summary {
	byCustomer := map[string][]Record{}
	for _, record := range records {
		byCustomer[record.Customer] = append(byCustomer[record.Customer], record)
	}
	summary := Summary{Seconds: elapsed.Seconds(), Total: summarizeOne("all", records)}
	for customer, own := range byCustomer {
		summary.Customers = append(summary.Customers, summarizeOne(customer, own))
	}
	slices.SortFunc(summary.Customers, func(a, b CustomerSummary) int { return strings.Compare(a.Customer, b.Customer) })
	return summary
}

func summarizeOne(customer string, records []Record) CustomerSummary {
	summary := CustomerSummary{
		Customer: customer,
		Sent:     len(records),
		Results:  map[Result]int{},
		Reasons:  map[string]int{},
	}
	var latencies []time.Duration
	for _, record := range records {
		summary.Results[record.Result]++
		if record.Reason != "" {
			summary.Reasons[string(record.Outcome)+"/"+string(record.Reason)]++
		}
		if record.Result == Answered {
			latencies = append(latencies, record.Latency)
		}
	}
	summary.Latency = quantilesOf(latencies)
	return summary
}

func quantilesOf(latencies []time.Duration) Quantiles {
	slices.Sort(latencies)
	at := func(share float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		index := int(share * float64(len(latencies)))
		return float64(latencies[min(index, len(latencies)-1)]) / float64(time.Millisecond)
	}
	return Quantiles{P50Millis: at(0.5), P90Millis: at(0.9), P99Millis: at(0.99), P999Millis: at(0.999), MaxMillis: at(1)}
}

// WriteJSON writes the summary as indented JSON and returns any error of the writer.
func (s Summary) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// WriteTable writes the summary as a table with a line for each customer and the
// total, and returns any error of the writer.
func (s Summary) WriteTable(w io.Writer) error {
	const gap = 2
	table := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	fmt.Fprintln(table, "customer\tsent\tresults\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\treasons")
	for _, row := range append(slices.Clone(s.Customers), s.Total) {
		q := row.Latency
		fmt.Fprintf(table, "%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", row.Customer, row.Sent, formatCounts(countsByName(row.Results)),
			q.P50Millis, q.P90Millis, q.P99Millis, q.P999Millis, q.MaxMillis, formatCounts(row.Reasons))
	}
	return table.Flush()
}

// formatCounts formats counts like "answered=9 unknown=1".
func formatCounts(byName map[string]int) string {
	words := make([]string, 0, len(byName))
	for name, count := range byName {
		words = append(words, fmt.Sprintf("%s=%d", name, count))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

func countsByName(results map[Result]int) map[string]int {
	byName := make(map[string]int, len(results))
	for result, count := range results {
		byName[string(result)] = count
	}
	return byName
}
