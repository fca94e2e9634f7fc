// What became of the requests of a simulation.

package simulator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// ending is how a request ended.
type ending int

// The endings.
const (
	answered ending = iota
	refused         // it did not run
	failed          // it may have run
	left            // its caller has gone
	overRate        // its customer is over its rate
)

// Counts are the requests of a kind or a customer by their ends. Those over a rate
// and those whose callers left are not owed an answer.
type Counts struct {
	Name    string `json:"name"`
	Owed    int    `json:"owed"`
	InTime  int    `json:"in-time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	Left    int    `json:"left"`
	Over    int    `json:"over-rate"`

	earned float64
	worth  float64
}

// Earned is the share of the worth that was earned, from 0 to 1.
func (c *Counts) Earned() float64 { return c.earned / max(c.worth, 1e-9) }

// Served is the share of the owed requests that were answered.
func (c *Counts) Served() float64 { return float64(c.InTime+c.Late) / float64(max(c.Owed, 1)) }

// Result is one simulation.
type Result struct {
	Policy    string    `json:"policy"`
	Seed      uint64    `json:"seed"`
	All       *Counts   `json:"all"`
	Kinds     []*Counts `json:"kinds"`
	Customers []*Counts `json:"customers"`
	Bounds    Bounds    `json:"bounds"`
}

// Worst returns the lowest share of its requests that any of some counts had served.
func Worst(counts []*Counts) float64 {
	worst := 1.0
	for _, c := range counts {
		if c.Owed > 0 {
			worst = min(worst, c.Served())
		}
	}
	return worst
}

// tally counts the ends of requests.
type tally struct {
	all       *Counts
	kinds     map[string]*Counts
	customers []*Counts
	order     []*Counts // of kinds
}

func newTally(pattern *Pattern) *tally {
	t := &tally{all: &Counts{Name: "all"}, kinds: map[string]*Counts{}}
	for _, kind := range pattern.Kinds {
		if kind.PerSecond > 0 {
			t.kinds[kind.Name] = &Counts{Name: kind.Name}
			t.order = append(t.order, t.kinds[kind.Name])
		}
	}
	for i := range pattern.Customers {
		t.customers = append(t.customers, &Counts{Name: fmt.Sprintf("customer-%d", i)})
	}
	return t
}

func (t *tally) add(r *request, now flow.Time, e ending) {
	for _, c := range []*Counts{t.all, t.kinds[r.kind.Name], t.customers[r.customer]} {
		c.add(r, now, e)
	}
}

func (c *Counts) add(r *request, now flow.Time, e ending) {
	switch e {
	case left:
		c.Left++
		return
	case overRate:
		c.Over++
		return
	case answered:
		if took := now.Sub(r.began); took <= r.kind.Target.AsDuration() {
			c.InTime++
			c.earned += r.kind.Worth
		} else {
			c.Late++
			c.earned += r.kind.LateWorth
		}
	case refused:
		c.Refused++
	case failed:
		c.Failed++
	}
	c.Owed++
	c.worth += r.kind.Worth
}

func (t *tally) result(policy string, seed uint64) *Result {
	return &Result{Policy: policy, Seed: seed, All: t.all, Kinds: t.order, Customers: t.customers}
}

// WriteTable writes results, one line each with the served share of every kind and of
// the worst customer.
func WriteTable(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "policy\tseed\tworth\tserved\tlate\trefused\tfailed\tworst customer")
	for _, kind := range results[0].Kinds {
		fmt.Fprintf(table, "\t%s", kind.Name)
	}
	fmt.Fprintln(table)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%.3f", r.Policy, r.Seed, r.All.Earned(), r.All.Served(), r.All.Late, r.All.Refused, r.All.Failed, Worst(r.Customers))
		for _, kind := range r.Kinds {
			fmt.Fprintf(table, "\t%.3f", kind.Served())
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
