package simulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/simulator"
)

// TestServiceThatShedsEverything has all servers of a service turn away every request, twice in
// a row. Sends beyond the first of a request must stay within the retry budget in every window,
// also where most requests of a service are calls of running requests, which the budget does
// not count. Callers of a service in an outage must be refused at once.
func TestServiceThatShedsEverything(t *testing.T) {
	cases := map[string]struct {
		service string
		size    int // of the fleet and its load
		load    float64
	}{
		"service that makes calls":   {"counter", 1, 1},
		"service with some calls":    {"ledger", 1, 1},
		"service with mostly calls":  {"catalogue", 1, 1},
		"load above the capacity":    {"catalogue", 1, 1.4},
		"108 daemons":                {"catalogue", 4, 1},
		"108 daemons, service calls": {"ledger", 4, 1.2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pattern := readPattern(t, "whole-service-refuses")
			for i := range pattern.Kinds {
				pattern.Kinds[i].PerSecond *= tc.load * float64(tc.size)
			}
			for i := range pattern.Services {
				pattern.Services[i].Servers *= tc.size
			}
			for i := range pattern.Troubles {
				pattern.Troubles[i].Service = tc.service
			}
			for seed := range uint64(seeds) {
				result, err := simulator.Run(t.Context(), pattern, findPolicy(t, simulator.DaemonPolicy), seed+1)
				is.NoErr(err)
				t.Logf("seed %d: share of the budget %.2f, %+v", seed+1, result.Bounds.Retries, result.Outage)
				is.True(result.Outage.Refused > 100)
				is.True(result.Bounds.Retries <= 1)
				is.True(result.Outage.RefusedWithin <= 50*time.Millisecond)
			}
		})
	}
}
