// This file matches requests to routes. The longest path prefix on a segment
// boundary wins whatever methods its routes allow, so that no route serves a
// request that a more specific route was published to refuse.
//
// A request must not match one route here and mean another to the backend
// server. Therefore paths are matched with percent-encoding decoded, and a path
// that servers are known to interpret differently is refused: one with empty
// segments or dot segments; with backslashes or semicolons; with encoded forms
// of these, or of a slash, dot, percent sign, question mark, hash or control
// character; or with an encoding that is not valid UTF-8, such as overlong
// forms of dots and slashes. An empty last segment (/swaps/) is allowed.
// Matching is case-sensitive; a backend server that ignores case must not rely
// on routes to separate its paths.

package indexer

import (
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// RouteMatch is the route of a request, or the reason why there is none.
type RouteMatch struct {
	Route          *flow.Route
	Reason         flow.Reason // empty if there is a route
	Idempotent     bool        // whether the request may be executed more than once
	AllowedMethods []string    // if the method is not allowed, those that are
}

// maxPrefixBytes is the longest path prefix that a route may have.
const maxPrefixBytes = 256

// Route returns the route of a request. The path is the encoded path of the
// request's URL as received, without the query.
func (x *Index) Route(method, path string) RouteMatch {
	decoded, ok := decodePath(path)
	if !ok {
		return RouteMatch{Reason: flow.ReasonRequestMalformed}
	}
	routes := x.longestPrefix(decoded)
	if len(routes) == 0 {
		return RouteMatch{Reason: flow.ReasonNoRoute}
	}
	for _, route := range routes {
		if allows(route, method) {
			return RouteMatch{Route: route, Idempotent: slices.Contains(route.IdempotentMethods, method)}
		}
	}
	return RouteMatch{Reason: flow.ReasonMethodNotAllowed, AllowedMethods: allowedMethods(routes)}
}

// longestPrefix returns the routes with the longest prefix of a path.
func (x *Index) longestPrefix(path string) []*flow.Route {
	end := len(path)
	for end > 0 {
		if end <= maxPrefixBytes {
			if routes, ok := x.routes.get(path[:end]).([]*flow.Route); ok {
				return routes
			}
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	routes, _ := x.routes.get("/").([]*flow.Route)
	return routes
}

// allows reports whether a route allows a method. A route without a list of
// methods allows all but CONNECT, which does not request a path, TRACE, which
// exposes headers to scripts, and names that are not in upper case.
func allows(route *flow.Route, method string) bool {
	if len(route.Methods) > 0 {
		return slices.Contains(route.Methods, method)
	}
	return method != "CONNECT" && method != "TRACE" && isUpperCase(method)
}

func isUpperCase(method string) bool {
	for _, c := range []byte(method) {
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return method != ""
}

func allowedMethods(routes []*flow.Route) []string {
	var methods []string
	for _, route := range routes {
		methods = append(methods, route.Methods...)
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}

// decodePath decodes the percent-encoding of a path. It returns false if
// servers may interpret the path differently.
func decodePath(path string) (string, bool) {
	if path == "" || path[0] != '/' {
		return "", false
	}
	decoded, ok := path, true
	if strings.IndexByte(path, '%') >= 0 {
		decoded, ok = decodeEscapes(path)
	}
	return decoded, ok && onlySafeBytes(path) && onlySafeSegments(decoded) && utf8.ValidString(decoded)
}

// onlySafeBytes reports whether a path consists of printable ASCII characters
// other than backslash, semicolon, question mark and hash.
func onlySafeBytes(path string) bool {
	for _, c := range []byte(path) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`\;?#`, c) >= 0 {
			return false
		}
	}
	return true
}

// onlySafeSegments reports whether there is no dot segment and no empty segment
// except the last.
func onlySafeSegments(path string) bool {
	for rest := path[1:]; rest != ""; {
		segment, tail, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return false
		}
		rest = tail
	}
	return true
}

// escapeBytes is the length of an encoded byte such as %41.
const escapeBytes = 3

// decodeEscapes decodes the percent-encoding of a path. It returns false if the
// encoding is invalid or stands for a character with a special meaning.
func decodeEscapes(path string) (string, bool) {
	decoded := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			decoded = append(decoded, path[i])
			continue
		}
		if i+escapeBytes > len(path) {
			return "", false
		}
		high, low := hexValue(path[i+1]), hexValue(path[i+2])
		c := byte(high<<4 | low)
		if high < 0 || low < 0 || c < ' ' || c == 0x7f || strings.IndexByte(`/\.%;?#`, c) >= 0 {
			return "", false
		}
		decoded = append(decoded, c)
		i += escapeBytes - 1
	}
	return string(decoded), true
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
