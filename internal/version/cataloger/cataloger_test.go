package cataloger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestRoute(t *testing.T) {
	catalog := cataloger.Build(1, &flow.Configuration{Version: 1, Routes: []flow.RouteRule{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "stock", Host: "a.example", PathPrefix: "/stock/"},
		{Name: "wheels", Host: "a.example", PathPrefix: "/stock/wheels/"},
		{Name: "other", Host: "b.example", PathPrefix: "/stock/"},
	}}, nil, nil)
	cases := map[string]struct{ host, path, want string }{
		"longest prefix wins":                          {"a.example", "/stock/wheels/7", "wheels"},
		"shorter prefix of the path":                   {"a.example", "/stock/tyres", "stock"},
		"prefix without its last slash does not match": {"a.example", "/stockings", "all"},
		"same path on another host":                    {"b.example", "/stock/wheels/7", "other"},
		"no prefix matches":                            {"b.example", "/", ""},
		"unknown host":                                 {"c.example", "/stock/", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := catalog.Route(tc.host, tc.path); route != nil {
				got = route.Name
			}
			is.New(t).Equal(got, tc.want)
		})
	}
}

func TestOnlyNewestProcessInServiceAcceptsRequests(t *testing.T) {
	is := is.New(t)
	servers := []*flow.ServerEntry{
		{ID: "old", Service: "stock", Address: "10.0.0.1:80", Host: "10.0.0.1", Zone: "a", StartedUnixMs: 1},
		{ID: "new", Service: "stock", Address: "10.0.0.1:80", Host: "10.0.0.1", Zone: "a", StartedUnixMs: 2},
		{ID: "leaving", Service: "stock", Address: "10.0.0.2:80", Host: "10.0.0.2", Zone: "a", Draining: true},
		{ID: "zone-out", Service: "stock", Address: "10.0.0.3:80", Host: "10.0.0.3", Zone: "b"},
		{ID: "other", Service: "ledger", Address: "10.0.0.4:80", Host: "10.0.0.4", Zone: "a"},
	}
	catalog := cataloger.Build(7, nil, servers, map[string]bool{"b": true})
	is.True(!catalog.Ready()) // no configuration
	is.Equal(len(catalog.Servers("stock")), 1)
	is.Equal(catalog.Servers("stock")[0].ID, "new") // newest process at its address
	is.Equal(catalog.ServerAt("10.0.0.1:80").ID, "new")
	is.Equal(catalog.Hosts(), []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"})
	is.Equal(catalog.ZoneOf("10.0.0.3"), "b")
	is.True(catalog.AcceptsNewRequests("new", "10.0.0.1:80"))
	is.True(!catalog.AcceptsNewRequests("old", "10.0.0.1:80"))
	is.True(!catalog.AcceptsNewRequests("leaving", "10.0.0.2:80"))
	is.True(!catalog.AcceptsNewRequests("zone-out", "10.0.0.3:80"))
}

func TestCustomerByKey(t *testing.T) {
	is := is.New(t)
	catalog := cataloger.Build(1, &flow.Configuration{Version: 1, Customers: []flow.CustomerRule{
		{Name: "shop", Keys: []string{"k1", "k2"}},
		{Name: "school", Keys: []string{"k3"}},
	}}, nil, nil)
	is.True(catalog.KeysRequired)
	is.Equal(catalog.CustomerByKey("k2").Name, "shop")
	is.Equal(catalog.CustomerByKey("k3").Name, "school")
	is.Equal(catalog.CustomerByKey(""), nil)
	is.Equal(catalog.CustomerByKey("withdrawn"), nil)
	is.True(!cataloger.Build(1, &flow.Configuration{Version: 1}, nil, nil).KeysRequired)
}

// TestEntryOfUnknownServiceIsNoHost checks that a readable entry of another writer, with
// a service that no configuration names, does not become a host: hosts are the readers
// of the platform and the owners of customers' rates.
func TestEntryOfUnknownServiceIsNoHost(t *testing.T) {
	is := is.New(t)
	servers := []*flow.ServerEntry{
		{ID: "good", Service: "stock", Address: "10.0.0.1:80", Host: "10.0.0.1", Zone: "a", StartedUnixMs: 1},
		{ID: "odd", Service: "nobody", Address: "10.9.9.9:80", Host: "10.9.9.9", Zone: "a", StartedUnixMs: 1},
		{ID: "over", Service: "nobody", Address: "10.0.0.1:80", Host: "10.0.0.1", Zone: "a", StartedUnixMs: 2},
	}
	catalog := cataloger.Build(7, &flow.Configuration{Version: 1, Services: []flow.ServiceRule{{Name: "stock"}}}, servers, nil)
	is.Equal(catalog.Hosts(), []string{"10.0.0.1"})
	is.Equal(catalog.ServerAt("10.0.0.1:80").ID, "good")
	is.Equal(catalog.ServerAt("10.9.9.9:80"), nil)
}
