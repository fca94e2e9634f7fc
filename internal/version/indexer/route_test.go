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
		"root path":                                   {"GET", "/", "root"},
		"exact prefix":                                {"GET", "/stock", "stock"},
		"path below a prefix":                         {"GET", "/stock/wheels/12", "stock"},
		"trailing slash":                              {"GET", "/stock/", "stock"},
		"longest prefix wins":                         {"GET", "/stock/swaps/7", "swap-read"},
		"method selects the route":                    {"POST", "/stock/swaps", "swap-write"},
		"prefix ends within a segment":                {"GET", "/stockpile", "root"},
		"path is case-sensitive":                      {"GET", "/Stock", "root"},
		"method not allowed":                          {"DELETE", "/stock", notAllowed},
		"no shorter prefix replaces a refused method": {"PUT", "/stock/swaps", notAllowed},
		"method in lower case":                        {"get", "/stock", notAllowed},
		"route for all methods":                       {"PROPFIND", "/x", "root"},
		"route for all methods, TRACE":                {"TRACE", "/x", notAllowed},
		"route for all methods, mixed case":           {"Get", "/x", notAllowed},
		"escaped letter":                              {"GET", "/%61dmin/users", "admin"},
		"escaped letter in upper case":                {"GET", "/a%64min%2Dx", "root"},
		"escaped text":                                {"GET", "/stock/%E1%83%90%20b", "stock"},
		"long path":                                   {"GET", "/stock/" + strings.Repeat("x/", 4000), "stock"},
		"dots within a segment":                       {"GET", "/stock/a..b/...", "stock"},
		"dot segment":                                 {"GET", "/stock/../admin", malformed},
		"trailing dot segment":                        {"GET", "/stock/..", malformed},
		"single dot segment":                          {"GET", "/./admin", malformed},
		"escaped dot segment":                         {"GET", "/stock/%2e%2E/admin", malformed},
		"half-escaped dot segment":                    {"GET", "/stock/.%2e/admin", malformed},
		"overlong encoding of dots":                   {"GET", "/stock/%c0%ae%c0%ae/admin", malformed},
		"escaped slash":                               {"GET", "/stock%2fswaps", malformed},
		"overlong encoding of a slash":                {"GET", "/stock/..%c0%afadmin", malformed},
		"double escape":                               {"GET", "/%2561dmin", malformed},
		"empty segment":                               {"GET", "//admin", malformed},
		"empty segment in the middle":                 {"GET", "/stock//swaps", malformed},
		"backslash":                                   {"GET", `/stock\..\admin`, malformed},
		"escaped backslash":                           {"GET", "/stock/..%5cadmin", malformed},
		"path parameter":                              {"GET", "/admin;x=1/users", malformed},
		"dot segment with a path parameter":           {"GET", "/stock/..;/admin", malformed},
		"escaped semicolon":                           {"GET", "/admin%3bx", malformed},
		"escaped question mark":                       {"GET", "/admin%3fx", malformed},
		"escaped zero byte":                           {"GET", "/admin%00", malformed},
		"escaped newline":                             {"GET", "/x%0d%0aadmin", malformed},
		"truncated escape":                            {"GET", "/admin%6", malformed},
		"escape that is not hexadecimal":              {"GET", "/admin%zz", malformed},
		"space":                                       {"GET", "/ad min", malformed},
		"non-ASCII byte":                              {"GET", "/caf\xc3\xa9", malformed},
		"no leading slash":                            {"GET", "admin", malformed},
		"asterisk":                                    {"OPTIONS", "*", malformed},
		"empty path":                                  {"GET", "", malformed},
		"absolute URL":                                {"GET", "http://x/admin", malformed},
		"query in the path":                           {"GET", "/admin?x", malformed},
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
	without := index.Apply([]merger.Change{remove(2, changes[0].New), remove(2, changes[2].New)}, 2)
	is.Equal(without.Route("GET", "/x").Reason, flow.ReasonNoRoute)
	is.Equal(without.Route("GET", "/stock/swaps").Reason, flow.ReasonMethodNotAllowed)
	is.Equal(index.Route("GET", "/stock/swaps").Route.Name, "swap-read")
}
