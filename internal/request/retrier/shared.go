// The retry budget of a service, divided fairly among its customers.

package retrier

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// customerSweepThreshold is the number of counted customers from which those without
// recent requests are forgotten.
const customerSweepThreshold = 1024

// SharedBudget is the retry budget of a service, divided so that one customer cannot use
// up the retries of the others. Each customer may retry its own share of requests that
// did not run, whatever the others do. For further retries it competes for what the
// others leave of the service's budget.
type SharedBudget struct {
	options   Options
	total     *Budget
	customers map[string]*Budget
}

// NewSharedBudget returns a SharedBudget that has counted nothing.
func NewSharedBudget(options Options) *SharedBudget {
	return &SharedBudget{options: options, total: NewBudget(options), customers: map[string]*Budget{}}
}

// CountRequest counts a request of a customer. Call it for the first attempt only.
func (b *SharedBudget) CountRequest(now flow.Time, customer string) {
	b.total.CountRequest(now)
	b.budgetOf(now, customer).CountRequest(now)
}

// Withdraw takes one retry of a customer out of the budget, and reports whether there
// was one. notRun is true for a request that certainly did not run.
func (b *SharedBudget) Withdraw(now flow.Time, customer string, notRun bool) bool {
	if notRun && b.budgetOf(now, customer).Withdraw(now, true) {
		b.total.slot(now).notRunRetries++
		return true
	}
	return b.total.Withdraw(now, notRun)
}

// budgetOf returns the budget of one customer: only its own share of requests that did
// not run, without a minimum rate.
func (b *SharedBudget) budgetOf(now flow.Time, customer string) *Budget {
	if own, ok := b.customers[customer]; ok {
		return own
	}
	if len(b.customers) >= customerSweepThreshold {
		b.forgetIdle(now)
	}
	own := NewBudget(Options{NotRunShare: b.options.NotRunShare, MinPerSecond: -1})
	b.customers[customer] = own
	return own
}

// forgetIdle forgets the customers without requests and retries in the window.
func (b *SharedBudget) forgetIdle(now flow.Time) {
	for customer, own := range b.customers {
		own.slot(now) // clears expired slots
		if own.total() == (counts{}) {
			delete(b.customers, customer)
		}
	}
}
