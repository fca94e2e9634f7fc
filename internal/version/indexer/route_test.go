package indexer_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestRoute(t *testing.T) {
	var changes []merger.Change
	for _, route := range []*flow.Route{
		{Name: "root", PathPrefix: "/", Open: true},
		{Name: "stock", PathPrefix: "/stock", Methods: []string{"GET", "POST"}, IdempotentMethods: []string{"GET"}},
		{Name: "swap-read", PathPrefix: "/stock/swaps", Methods: []string{"GET"}},
		{Name: "swap-write", PathPrefix: "/stock/swaps", Methods: []string{"POST"}},
		{Name: "admin", PathPrefix: "/admin", Methods: []string{"GET"}},
	} {
		changes = append(changes, put(1, nil, route))
	}
	index := indexer.Empty().Apply(changes, 1)

	const malformed, notAllowed = string(flow.ReasonRequestMalformed), string(flow.ReasonMethodNotAllowed)
	cases := map[string]struct {
		method, path string
		want         string // name of the route or reason
	}{
		"root":                         {"GET", "/", "root"},
		"exact":                        {"GET", "/stock", "stock"},
		"below":                        {"GET", "/stock/wheels/12", "stock"},
		"slash at the end":             {"GET", "/stock/", "stock"},
		"longest prefix":               {"GET", "/stock/swaps/7", "swap-read"},
		"by method":                    {"POST", "/stock/swaps", "swap-write"},
		"on a segment boundary":        {"GET", "/stockpile", "root"},
		"case matters":                 {"GET", "/Stock", "root"},
		"method not allowed":           {"DELETE", "/stock", notAllowed},
		"no wider route steps in":      {"PUT", "/stock/swaps", notAllowed},
		"method in lower case":         {"get", "/stock", notAllowed},
		"all methods":                  {"PROPFIND", "/x", "root"},
		"all methods but TRACE":        {"TRACE", "/x", notAllowed},
		"all methods but odd ones":     {"Get", "/x", notAllowed},
		"escaped letter":               {"GET", "/%61dmin/users", "admin"},
		"escaped letter in upper case": {"GET", "/a%64min%2Dx", "root"},
		"escaped text":                 {"GET", "/stock/%E1%83%90%20b", "stock"},
		"long path":                    {"GET", "/stock/" + strings.Repeat("x/", 4000), "stock"},
		"dots within a segment":        {"GET", "/stock/a..b/...", "stock"},
		"dot segment":                  {"GET", "/stock/../admin", malformed},
		"dot segment at the end":       {"GET", "/stock/..", malformed},
		"single dot segment":           {"GET", "/./admin", malformed},
		"escaped dot segment":          {"GET", "/stock/%2e%2E/admin", malformed},
		"half-escaped dot segment":     {"GET", "/stock/.%2e/admin", malformed},
		"overlong dots":                {"GET", "/stock/%c0%ae%c0%ae/admin", malformed},
		"escaped slash":                {"GET", "/stock%2fswaps", malformed},
		"overlong slash":               {"GET", "/stock/..%c0%afadmin", malformed},
		"escaped twice":                {"GET", "/%2561dmin", malformed},
		"empty segment":                {"GET", "//admin", malformed},
		"empty segment within":         {"GET", "/stock//swaps", malformed},
		"backslash":                    {"GET", `/stock\..\admin`, malformed},
		"escaped backslash":            {"GET", "/stock/..%5cadmin", malformed},
		"parameter of a segment":       {"GET", "/admin;x=1/users", malformed},
		"dot segment with a parameter": {"GET", "/stock/..;/admin", malformed},
		"escaped semicolon":            {"GET", "/admin%3bx", malformed},
		"escaped question mark":        {"GET", "/admin%3fx", malformed},
		"escaped zero byte":            {"GET", "/admin%00", malformed},
		"escaped line break":           {"GET", "/x%0d%0aadmin", malformed},
		"cut escape":                   {"GET", "/admin%6", malformed},
		"wrong escape":                 {"GET", "/admin%zz", malformed},
		"space":                        {"GET", "/ad min", malformed},
		"byte above ASCII":             {"GET", "/caf\xc3\xa9", malformed},
		"no slash at the start":        {"GET", "admin", malformed},
		"asterisk":                     {"OPTIONS", "*", malformed},
		"empty":                        {"GET", "", malformed},
		"whole URL in place of a path": {"GET", "http://x/admin", malformed},
		"query within the path":        {"GET", "/admin?x", malformed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			match := index.Route(tc.method, tc.path)
			if match.Route == nil {
				is.Equal(string(match.Reason), tc.want)
				return
			}
			is.Equal(match.Reason, flow.Reason(""))
			is.Equal(match.Route.Name, tc.want)
		})
	}

	is := is.New(t)
	is.True(index.Route("GET", "/stock").Idempotent)
	is.True(!index.Route("POST", "/stock").Idempotent)
	is.Equal(index.Route("PUT", "/stock/swaps").AllowedMethods, []string{"GET", "POST"})
	without := index.Apply([]merger.Change{drop(2, changes[0].New), drop(2, changes[2].New)}, 2)
	is.Equal(without.Route("GET", "/x").Reason, flow.ReasonNoRoute)
	is.Equal(without.Route("GET", "/stock/swaps").Reason, flow.ReasonMethodNotAllowed)
	is.Equal(index.Route("GET", "/stock/swaps").Route.Name, "swap-read")
}
