// Tables of a result.

package presenter

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0) }

// WriteTable writes the result, except for its events and windows, as tables. It
// returns the error of w.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d, %.0f s, %d cores, %s, load average %s to %s\n\n", r.Experiment, r.Seed, r.Seconds,
		r.Machine.Cores, r.Machine.GoVersion, r.Machine.LoadAtStart, r.Machine.LoadAtEnd)
	table := newTable(w)
	fmt.Fprintln(table, "measure\tvalue\tunit\tnote")
	for _, m := range r.Measures {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", m.Name, m.formatValue(), m.Unit, m.Note)
	}
	fmt.Fprintln(table)
	r.writeCustomers(table)
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeRemarks(w)
}

func (r *Result) writeCustomers(w io.Writer) {
	fmt.Fprintln(w, "customer\tsent\tsuccess share\trefused inside rate\trefused outside rate\tp50 ms\tp99 ms")
	for _, c := range r.Customers {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%d\t%d\t%.1f\t%.1f\n", c.Name, c.Sent, c.SuccessShare, c.RefusedWithinRate, c.Excused,
			c.Latency.P50Millis, c.Latency.P99Millis)
	}
}

func (r *Result) writeRemarks(w io.Writer) error {
	var lines []string
	if len(r.Reasons) > 0 {
		lines = append(lines, "without success: "+formatCounts(r.Reasons))
	}
	for _, ejection := range r.Ejections {
		lines = append(lines, fmt.Sprintf("ejected at %.1f s: %s, %s", float64(ejection.AtMillis)/1000, ejection.Server, ejection.Condition))
	}
	for _, violation := range r.Violations {
		lines = append(lines, "violation: "+violation)
	}
	for _, warning := range r.Warnings {
		lines = append(lines, "WARNING: "+warning)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n%s\n", strings.Join(lines, "\n"))
	return err
}

// formatValue returns the value with a suitable number of digits, or "none" if it
// is not valid.
func (m Measure) formatValue() string {
	if !m.Valid {
		return "none"
	}
	return formatNumber(m.Value)
}

func formatNumber(value float64) string {
	switch {
	case value == math.Trunc(value):
		return fmt.Sprintf("%.0f", value)
	case math.Abs(value) < 10:
		return fmt.Sprintf("%.4f", value)
	default:
		return fmt.Sprintf("%.1f", value)
	}
}

// formatCounts formats numbers by name like "lost=1 timed-out=9", sorted by name.
func formatCounts(byName map[string]int) string {
	words := make([]string, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		words = append(words, fmt.Sprintf("%s=%d", name, byName[name]))
	}
	return strings.Join(words, " ")
}
