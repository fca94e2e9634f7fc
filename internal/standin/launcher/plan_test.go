package launcher

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestConcurrentFleetsHaveDistinctAddresses checks that hosts of concurrent fleets
// have distinct IP addresses, all of them loopback addresses.
func TestConcurrentFleetsHaveDistinctAddresses(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, process := range []int{4711, 4712} {
		for fleet := range distinctFleets {
			for _, host := range []int{0, 1, 199, 200, subnetsPerFleet*hostsPerSubnet - 1} {
				ip := ipOf(process, fleet+40000, host)
				is.True(!seen[ip])
				seen[ip] = true
				address, err := netip.ParseAddr(ip)
				is.NoErr(err)
				is.True(address.IsLoopback())
			}
		}
	}
}
