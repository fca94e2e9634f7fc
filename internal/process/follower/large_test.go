//go:build !race

// The race detector follows 8,128 goroutines at most, and the fleet of this file has more.

package follower_test

import "testing"

// TestChangesAreInForceSoonAfterStoreReturnsInLargeFleet is
// TestChangesAreInForceSoonAfterStoreReturns with hundreds of daemons.
func TestChangesAreInForceSoonAfterStoreReturnsInLargeFleet(t *testing.T) {
	testRecoveries(t, largeFleet, 1, false)
}

// TestPriceOfOutageInLargeFleet is TestPriceOfOutage with hundreds of daemons.
func TestPriceOfOutageInLargeFleet(t *testing.T) { printPrices(t, largeFleet) }
