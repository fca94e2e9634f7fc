// The comparison of two results.

package presenter

import (
	"fmt"
	"io"
	"math"
)

// Difference is how one figure differs between two results.
type Difference struct {
	Measure string
	Unit    string
	A, B    Measure
	Verdict string // "a", "b", "same", or empty where no result is better
}

// negligible is the difference, as a share of the larger value, below which
// two values count as the same.
const negligible = 0.01

// Compare returns the differences of all figures that either result has, in
// the order of a's and then b's.
func Compare(a, b *Result) []Difference {
	inB := map[string]Measure{}
	for _, m := range b.Measures {
		inB[m.Name] = m
	}
	var differences []Difference
	for _, m := range a.Measures {
		differences = append(differences, differ(m, inB[m.Name]))
		delete(inB, m.Name)
	}
	for _, m := range b.Measures {
		if _, left := inB[m.Name]; left {
			differences = append(differences, Difference{Measure: m.Name, Unit: m.Unit, B: m})
		}
	}
	return differences
}

func differ(a, b Measure) Difference {
	d := Difference{Measure: a.Name, Unit: a.Unit, A: a, B: b}
	if !a.Valid || !b.Valid || a.Better == BetterNone {
		return d
	}
	switch {
	case math.Abs(a.Value-b.Value) <= negligible*max(math.Abs(a.Value), math.Abs(b.Value)):
		d.Verdict = "same"
	case (a.Value < b.Value) == (a.Better == BetterLower):
		d.Verdict = "a"
	default:
		d.Verdict = "b"
	}
	return d
}

// WriteComparison writes the differences of two results as a table.
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
			change = number(d.B.Value - d.A.Value)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", d.Measure, d.A.text(), d.B.text(), change, d.Unit, d.Verdict)
	}
	return table.Flush()
}
