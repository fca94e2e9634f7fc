package cataloger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestRequestLeavesNoAllowedRegion guards against requests that are handled outside the
// regions that their route and customer allow.
func TestRequestLeavesNoAllowedRegion(t *testing.T) {
	regions := map[string]string{"n1": "nairobi", "n2": "nairobi", "m1": "mombasa"}
	cases := map[string]struct {
		regions         map[string]string
		zone            string
		route, customer string
		want            bool
	}{
		"no list":                          {regions, "m1", "any", "anyone", true},
		"region of the route":              {regions, "n2", "nairobi-only", "anyone", true},
		"outside the route's regions":      {regions, "m1", "nairobi-only", "anyone", false},
		"outside the customer's regions":   {regions, "n1", "any", "mombasa-only", false},
		"both lists apply":                 {regions, "n1", "nairobi-only", "mombasa-only", false},
		"both lists exclude":               {regions, "m1", "nairobi-only", "mombasa-only", false},
		"zone without region":              {regions, "x1", "nairobi-only", "anyone", false},
		"zone without region, no list":     {regions, "x1", "any", "anyone", true},
		"unknown route, customer's list":   {regions, "n1", "gone", "mombasa-only", false},
		"regions of all zones are unknown": {nil, "m1", "nairobi-only", "mombasa-only", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			catalog := cataloger.Build(1, &flow.Configuration{
				Version:   1,
				Routes:    []flow.RouteRule{{Name: "any"}, {Name: "nairobi-only", Regions: []string{"nairobi"}}},
				Customers: []flow.CustomerRule{{Name: "anyone"}, {Name: "mombasa-only", Regions: []string{"mombasa"}}},
			}, nil, nil)
			catalog.SetRegions(tc.regions)
			is.New(t).Equal(catalog.AllowsRequest(tc.zone, tc.route, tc.customer), tc.want)
		})
	}
}
