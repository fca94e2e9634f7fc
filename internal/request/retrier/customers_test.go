package retrier

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestSharedBudgetForgetsIdleCustomers checks that the number of counted customers stays
// bounded when many customers send requests one after the other.
func TestSharedBudgetForgetsIdleCustomers(t *testing.T) {
	is := is.New(t)
	budget := NewSharedBudget(Options{NotRunShare: 0.5, MinPerSecond: -1})
	for i := range flow.Time(5000) {
		budget.CountRequest(i*100, fmt.Sprint("shop-", i))
		is.True(len(budget.customers) <= customerSweepThreshold)
	}
}
