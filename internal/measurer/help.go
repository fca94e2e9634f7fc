// The help of the measurements, written from the same rows that run.

package measurer

import (
	"fmt"
	"io"
)

// WriteList writes a line for each measurement of the table.
func WriteList(w io.Writer) error {
	table := newTable(w)
	for _, m := range Table() {
		fmt.Fprintf(table, "  %s\t%s\n", m.Name, m.Help)
	}
	return table.Flush()
}

// WriteHelp writes what there is to know of one measurement: its parameters,
// its default sizes and its figures.
func (m *Measurement) WriteHelp(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\n\noperations of a run: %d\ndefault sizes: %s\n\n", m.Name, m.Help, m.Times, m.sizeTexts())
	table := newTable(w)
	fmt.Fprintln(table, "parameter\tfrom\tto\tmeaning")
	for _, p := range m.Parameters {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", p.Name, p.Least, p.Most, p.Help)
	}
	fmt.Fprintln(table, "\nfigure\tunit\tmeaning")
	for _, f := range m.figures() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", f.Name, f.Unit, f.Help)
	}
	return table.Flush()
}
