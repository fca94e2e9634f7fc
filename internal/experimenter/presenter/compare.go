// Comparison of two results.

package presenter

import (
	"fmt"
	"io"
	"math"
)

// Difference compares one measure of two results, A and B.
type Difference struct {
	Measure string
	Unit    string
	A, B    Measure
	Verdict string // better result, "a" or "b"; "same"; or empty if neither is better or one has no value
}

// sameTolerance is the difference of two values, as a share of the larger one, up
// to which they count as the same.
const sameTolerance = 0.01

// Compare returns the differences of all measures in either result: first those
// of a in their order, then those that only b has.
func Compare(a, b *Result) []Difference {
	inB := map[string]Measure{}
	for _, m := range b.Measures {
		inB[m.Name] = m
	}
	var differences []Difference
	for _, m := range a.Measures {
		differences = append(differences, compareMeasures(m, inB[m.Name]))
		delete(inB, m.Name)
	}
	for _, m := range b.Measures {
		if _, onlyInB := inB[m.Name]; onlyInB {
			differences = append(differences, Difference{Measure: m.Name, Unit: m.Unit, B: m})
		}
	}
	return differences
}

func compareMeasures(a, b Measure) Difference {
	d := Difference{Measure: a.Name, Unit: a.Unit, A: a, B: b}
	if !a.Valid || !b.Valid || a.Better == BetterNone {
		return d
	}
	switch {
	case math.Abs(a.Value-b.Value) <= sameTolerance*max(math.Abs(a.Value), math.Abs(b.Value)):
		d.Verdict = "same"
	case (a.Value < b.Value) == (a.Better == BetterLower):
		d.Verdict = "a"
	default:
		d.Verdict = "b"
	}
	return d
}

// WriteComparison writes the differences of two results as a table. It returns
// the error of w.
func WriteComparison(w io.Writer, a, b *Result) error {
	for name, r := range map[string]*Result{"a": a, "b": b} {
		if len(r.Warnings) > 0 {
			fmt.Fprintf(w, "WARNING: %s: %s\n", name, r.Warnings[0])
		}
	}
	fmt.Fprintf(w, "a: %s, seed %d, load average %s\nb: %s, seed %d, load average %s\n\n",
		a.Experiment, a.Seed, a.Machine.LoadAtEnd, b.Experiment, b.Seed, b.Machine.LoadAtEnd)
	table := newTable(w)
	fmt.Fprintln(table, "measure\ta\tb\tb - a\tunit\tbetter")
	for _, d := range Compare(a, b) {
		change := ""
		if d.A.Valid && d.B.Valid {
			change = formatNumber(d.B.Value - d.A.Value)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", d.Measure, d.A.formatValue(), d.B.formatValue(), change, d.Unit, d.Verdict)
	}
	return table.Flush()
}
