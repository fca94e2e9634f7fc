package soaker

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestAllowedRegionsFromSettingsAndStore runs four daemons in two regions. It guards against
// allowed regions that are lost between the settings or the store and the ingress: a request
// must not run outside, not even on the server beside the daemon that took it, and is refused
// at once when no region is left.
func TestAllowedRegionsFromSettingsAndStore(t *testing.T) {
	is := is.New(t)
	dep := startTestDeploymentWithCallers(t, 4, 0)
	for i, h := range dep.hosts {
		h.daemon.kill()
		content, err := os.ReadFile(h.daemon.config)
		is.NoErr(err)
		settings := strings.Replace(string(content), "{", `{ "zones": { "zone-a": "north","zone-b": "south" },`, 1)
		is.NoErr(os.WriteFile(h.daemon.config, []byte(settings), 0o600))
		is.NoErr(h.daemon.start())
		awaitReadyHost(t, dep, i, 5*time.Second)
	}
	restrictBookings(dep, []string{"south"}, nil)
	for i := range 10 {
		response := sendBookingTo(t, dep, i%2, fmt.Sprint("south-", i), 5*time.Second) // from hosts of the north
		is.Equal(response.StatusCode, http.StatusOK)
	}
	for _, r := range dep.runs.all() {
		is.Equal(r.server, "server-3-0") // the only one of the service in the south
	}
	restrictBookings(dep, []string{"south"}, []string{"north"})
	began := time.Now()
	response := sendBookingTo(t, dep, 0, "nowhere", 5*time.Second)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(flow.HeaderReason), string(flow.ReasonRegionUnavailable))
	is.True(response.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < 2*time.Second)
}

// restrictBookings publishes the allowed regions of the route of bookings and of all
// customers.
func restrictBookings(dep *deployment, route, customers []string) {
	dep.mu.Lock()
	for i := range dep.configuration.Routes {
		if dep.configuration.Routes[i].Name == "book" {
			dep.configuration.Routes[i].Regions = route
		}
	}
	for i := range dep.configuration.Customers {
		dep.configuration.Customers[i].Regions = customers
	}
	dep.publish()
	dep.mu.Unlock()
	time.Sleep(3 * time.Second) // until the daemons apply the configuration
}
