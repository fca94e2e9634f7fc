package dispatcher_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// regionFixture returns a fixture with servers in zone a of nairobi, where the ingress is,
// in zone b of nairobi and in zone c of mombasa.
func regionFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixture(t, &testServer{}, &testServer{}, &testServer{})
}

// restrict publishes allowed regions of the routes and of the customer. The zones of the
// servers are those given, and the host of each server in zone x does not listen.
func (f *fixture) restrict(zones string, route, customer []string) {
	before := f.catalog.Load()
	var servers []*flow.ServerEntry
	for i, listed := range before.Servers("stock")[:len(zones)] {
		entry := *listed
		entry.Zone = string(zones[i])
		if entry.Zone == "x" {
			entry.Host, entry.Address = "127.0.0.99", "127.0.0.99:1"
		}
		servers = append(servers, &entry)
	}
	configuration := &flow.Configuration{Version: 4, Customers: []flow.CustomerRule{*before.Customer("shop")}}
	for _, path := range []string{"/read/", "/book/", "/call/"} {
		rule := *before.Route("a.example", path)
		rule.Regions = route
		configuration.Routes = append(configuration.Routes, rule)
	}
	configuration.Customers[0].Regions = customer
	catalog := cataloger.Build(6, configuration, servers, nil)
	catalog.SetRegions(map[string]string{"a": "nairobi", "b": "nairobi", "c": "mombasa", "x": "mombasa"})
	f.catalog.Store(catalog)
}

// offered returns the numbers of the servers that got offers.
func (f *fixture) offered() (servers []int) {
	for i, server := range f.servers {
		server.mu.Lock()
		if len(server.offers) > 0 {
			servers = append(servers, i)
		}
		server.mu.Unlock()
	}
	return servers
}

// TestRequestStaysInAllowedRegions guards against requests, or offers of them, that leave the
// regions that their route and customer allow, and against slow or unexplained refusals when
// no allowed region can serve them.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	nairobi, mombasa := []string{"nairobi"}, []string{"mombasa"}
	cases := map[string]struct {
		zones           string // of the servers
		route, customer []string
		full            string // zones whose servers have no free slot
		status          int
		reason          flow.Reason
		offered         []int // servers that may get offers
	}{
		"no list":                                  {"abc", nil, nil, "", 200, "", []int{0, 1, 2}},
		"own region":                               {"abc", nairobi, nil, "", 200, "", []int{0, 1}},
		"own daemon runs nothing itself":           {"abc", mombasa, nil, "", 200, "", []int{2}},
		"region of the customer":                   {"abc", nil, mombasa, "", 200, "", []int{2}},
		"allowed region is full":                   {"abc", mombasa, nil, "c", 503, flow.ReasonNoCapacity, []int{2}},
		"own region is full":                       {"abc", nairobi, nil, "ab", 503, flow.ReasonNoCapacity, []int{0, 1}},
		"route and customer have no common region": {"abc", mombasa, nairobi, "", 503, flow.ReasonRegionUnavailable, nil},
		"no server in the allowed region":          {"ab", mombasa, nil, "", 503, flow.ReasonRegionUnavailable, nil},
		"unknown region":                           {"abc", []string{"kisumu"}, nil, "", 503, flow.ReasonRegionUnavailable, nil},
		"allowed region is out of reach":           {"abx", mombasa, nil, "", 503, flow.ReasonRegionUnavailable, nil},
	}
	for name, tc := range cases {
		for _, path := range []string{"/read/", "/book/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				is := is.New(t)
				f := regionFixture(t)
				for i, zone := range tc.zones {
					if slices.Contains([]rune(tc.full), zone) {
						f.servers[i].refuse = flow.ReasonBusy
					}
				}
				f.restrict(tc.zones, tc.route, tc.customer)
				for range 5 {
					began := time.Now()
					status, _, header := f.send(t, http.MethodPost, path, nil)
					is.Equal(status, tc.status)
					is.Equal(header.Get(flow.HeaderReason), string(tc.reason))
					is.Equal(header.Get("Retry-After") != "", status == 503)
					is.True(time.Since(began) < 500*time.Millisecond) // well before the deadline
				}
				for _, server := range f.offered() {
					is.True(slices.Contains(tc.offered, server))
				}
			})
		}
	}
}

// TestCallStaysInAllowedRegions guards against calls of backend servers, which have no key,
// that leave the regions of their route.
func TestCallStaysInAllowedRegions(t *testing.T) {
	is := is.New(t)
	f := regionFixture(t)
	f.restrict("abc", []string{"mombasa"}, nil)
	status, _, _ := f.send(t, http.MethodGet, "/call/", func(r *http.Request) { r.Header.Del(names.Key) })
	is.Equal(status, 200)
	is.Equal(f.offered(), []int{2})
}

// TestGrantOfRegionThatIsNoLongerAllowed changes the allowed regions while a request waits
// for a slot: its body must not be sent to the region that is no longer allowed.
func TestGrantOfRegionThatIsNoLongerAllowed(t *testing.T) {
	is := is.New(t)
	f := regionFixture(t)
	f.restrict("abc", []string{"nairobi"}, nil)
	for _, server := range f.servers[:2] {
		server.onAdmit = func() { f.restrict("abc", []string{"mombasa"}, nil) }
	}
	status, _, _ := f.send(t, http.MethodPost, "/book/", nil)
	is.Equal(status, 200)
	is.Equal(f.servers[0].runs+f.servers[1].runs, 0)
	is.Equal(f.servers[2].runs, 1)
}

// TestFullRegionLeavesRequestsToAnother refuses all offers in the region of the ingress. The
// request must find the free server in another region, by a new plan, before its deadline.
func TestFullRegionLeavesRequestsToAnother(t *testing.T) {
	for _, path := range []string{"/read/", "/book/"} {
		is := is.New(t)
		f := regionFixture(t)
		f.servers[0].refuse, f.servers[1].refuse = flow.ReasonBusy, flow.ReasonBusy
		f.restrict("abc", nil, nil)
		for range 5 {
			status, _, _ := f.send(t, http.MethodPost, path, nil)
			is.Equal(status, 200)
		}
		is.Equal(f.servers[2].runs, 5)
		near := regionFixture(t)
		near.restrict("abc", nil, nil)
		for range 5 {
			status, _, _ := near.send(t, http.MethodPost, path, nil)
			is.Equal(status, 200)
		}
		is.Equal(len(near.servers[2].offers), 0) // nothing leaves the region without need
	}
}

// TestSilentRegionIsRefusedEarly cuts the only allowed region off, so that offers get no
// answer at all. The caller must be told long before the deadline, with the time after which
// the region is tried again.
func TestSilentRegionIsRefusedEarly(t *testing.T) {
	is := is.New(t)
	f := regionFixture(t)
	f.restrict("abc", []string{"mombasa"}, nil)
	f.servers[2].silent = true
	for _, path := range []string{"/read/", "/book/"} {
		f.catalog.Load().Route("a.example", path).Timeout = 10 * time.Second
		for range 2 {
			began := time.Now()
			status, _, header := f.send(t, http.MethodPost, path, func(r *http.Request) { r.Header.Set(names.TimeLeft, "20000") })
			t.Logf("%s refused after %s, Retry-After %s", path, time.Since(began).Round(time.Millisecond), header.Get("Retry-After"))
			is.Equal(status, 503)
			is.Equal(header.Get(flow.HeaderReason), string(flow.ReasonRegionUnavailable))
			is.True(time.Since(began) < 3*time.Second)
		}
	}
}
