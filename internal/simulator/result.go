// Results of a simulation.

package simulator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// outcome is the way in which a request ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused          // it did not run
	outcomeFailed           // it may have run
	outcomeLeft             // its caller abandoned it
	outcomeOverRate         // its customer exceeded its rate
)

// fewOffers is the number of offers with which most requests should find their server.
const fewOffers = 2

// Counts holds the number of requests of a kind or a customer by outcome. Owed counts the
// requests that should get a response: all except those over the rate and those that their
// callers abandoned.
type Counts struct {
	Name      string `json:"name"`
	Owed      int    `json:"owed"`
	InTime    int    `json:"in-time"` // answered within the target
	Late      int    `json:"late"`    // answered later
	Refused   int    `json:"refused"`
	Failed    int    `json:"failed"`
	Left      int    `json:"left"`
	OverRate  int    `json:"over-rate"`
	Found     int    `json:"found"`      // requests that a server granted a slot
	FewOffers int    `json:"few-offers"` // of them: with two offers or fewer
	SlowStart int    `json:"slow-start"` // of them: after more than a quarter of the target
	Offers    int    `json:"offers"`     // made until then, or until the end of the request

	earned float64
	worth  float64
}

// Earned returns the earned share of the worth of all owed requests, from 0 to 1.
func (c *Counts) Earned() float64 { return c.earned / max(c.worth, 1e-9) }

// Served returns the share of the owed requests that were answered, from 0 to 1.
func (c *Counts) Served() float64 { return float64(c.InTime+c.Late) / float64(max(c.Owed, 1)) }

// ofFound returns a number as a share of the requests that found a server.
func (c *Counts) ofFound(number int) float64 { return float64(number) / float64(max(c.Found, 1)) }

// Result is the result of one simulation.
type Result struct {
	Policy    string    `json:"policy"`
	Seed      uint64    `json:"seed"`
	All       *Counts   `json:"all"`
	Kinds     []*Counts `json:"kinds"`
	Customers []*Counts `json:"customers"`
	Bounds    Bounds    `json:"bounds"`
}

// Worst returns the lowest served share of those counts that have owed requests.
func Worst(counts []*Counts) float64 {
	worst := 1.0
	for _, c := range counts {
		if c.Owed > 0 {
			worst = min(worst, c.Served())
		}
	}
	return worst
}

// counters counts the outcomes of requests of callers.
type counters struct {
	all       *Counts
	kinds     map[string]*Counts
	customers []*Counts
	kindOrder []*Counts // counts of kinds in the order of the pattern
}

func newCounters(pattern *Pattern) *counters {
	t := &counters{all: &Counts{Name: "all"}, kinds: map[string]*Counts{}}
	for _, kind := range pattern.Kinds {
		if kind.PerSecond > 0 {
			t.kinds[kind.Name] = &Counts{Name: kind.Name}
			t.kindOrder = append(t.kindOrder, t.kinds[kind.Name])
		}
	}
	for i := range pattern.Customers {
		t.customers = append(t.customers, &Counts{Name: fmt.Sprintf("customer-%d", i)})
	}
	return t
}

func (t *counters) add(r *request, now flow.Time, o outcome) {
	for _, c := range []*Counts{t.all, t.kinds[r.kind.Name], t.customers[r.customer]} {
		c.add(r, now, o)
	}
}

func (c *Counts) add(r *request, now flow.Time, o outcome) {
	switch o {
	case outcomeLeft:
		c.Left++
		return
	case outcomeOverRate:
		c.OverRate++
		return
	case outcomeAnswered:
		if took := now.Sub(r.start); took <= r.kind.Target.AsDuration() {
			c.InTime++
			c.earned += r.kind.Worth
		} else {
			c.Late++
			c.earned += r.kind.LateWorth
		}
	case outcomeRefused:
		c.Refused++
	case outcomeFailed:
		c.Failed++
	}
	c.Offers += r.offers
	if r.found {
		c.Found++
		if r.offers <= fewOffers {
			c.FewOffers++
		}
		if r.searched > r.kind.Target.AsDuration()/4 {
			c.SlowStart++
		}
	}
	c.Owed++
	c.worth += r.kind.Worth
}

func (t *counters) result(policy string, seed uint64) *Result {
	return &Result{Policy: policy, Seed: seed, All: t.all, Kinds: t.kindOrder, Customers: t.customers}
}

// WriteTable writes one line for each result, with the served share of the worst customer
// and of every kind. The results must be of one pattern, and there must be at least one. It
// returns the error of out.
func WriteTable(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "policy\tseed\tworth\tserved\tlate\trefused\tfailed\tworst customer\tfew offers\tslow start\toffers")
	for _, kind := range results[0].Kinds {
		fmt.Fprintf(table, "\t%s", kind.Name)
	}
	fmt.Fprintln(table)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f", r.Policy, r.Seed, r.All.Earned(), r.All.Served(), r.All.Late, r.All.Refused, r.All.Failed, Worst(r.Customers),
			r.All.ofFound(r.All.FewOffers), r.All.ofFound(r.All.SlowStart), float64(r.All.Offers)/float64(max(r.All.Owed, 1)))
		for _, kind := range r.Kinds {
			fmt.Fprintf(table, "\t%.3f", kind.Served())
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
