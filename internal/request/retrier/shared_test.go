package retrier_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestSharedBudgetProtectsCustomersFromFlood has one customer send at least 45 times
// as many requests as each other customer, and every attempt be refused as not run. Each
// customer must get the retries of its own share, and all retries must stay within the
// share of the service.
func TestSharedBudgetProtectsCustomersFromFlood(t *testing.T) {
	is := is.New(t)
	const (
		duration = flow.Time(30_000)
		share    = 0.5
	)
	intervals := map[string]flow.Time{"flood": 5, "shop-a": 225, "shop-b": 250, "shop-c": 275} // milliseconds
	budget := retrier.NewSharedBudget(retrier.Options{NotRunShare: share})
	requests, retries := map[string]int{}, map[string]int{}
	for now := flow.Time(0); now < duration; now++ {
		for customer, interval := range intervals {
			if now%interval != 0 {
				continue
			}
			requests[customer]++
			budget.CountRequest(now, customer)
			for range 2 {
				if budget.Withdraw(now, customer, true) {
					retries[customer]++
				}
			}
		}
	}
	allRequests, allRetries := 0, 0
	for customer := range intervals {
		allRequests, allRetries = allRequests+requests[customer], allRetries+retries[customer]
		is.True(float64(retries[customer]) >= 0.9*share*float64(requests[customer]))
	}
	is.True(float64(allRetries) <= share*float64(allRequests)+15) // 15 is the minimum rate over three windows
}
