// The help of the measurements, generated from their rows.

package measurer

import (
	"fmt"
	"io"
)

// WriteList writes one line for each measurement. It returns errors of w.
func WriteList(w io.Writer) error {
	table := newTableWriter(w)
	for _, m := range Measurements() {
		fmt.Fprintf(table, "  %s\t%s\n", m.Name, m.Help)
	}
	return table.Flush()
}

// WriteHelp writes the parameters, the default sizes and the figures of one
// measurement. It returns errors of w.
func (m *Measurement) WriteHelp(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\n\noperations of a run: %d\ndefault sizes: %s\n\n", m.Name, m.Help, m.Operations, m.formatDefaultSizes())
	table := newTableWriter(w)
	fmt.Fprintln(table, "parameter\tfrom\tto\tmeaning")
	for _, p := range m.Parameters {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", p.Name, p.Min, p.Max, p.Help)
	}
	fmt.Fprintln(table, "\nfigure\tunit\tmeaning")
	for _, f := range m.figures() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", f.Name, f.Unit, f.Help)
	}
	return table.Flush()
}
