// The choice of a route. The longest path prefix on a segment boundary decides,
// whatever methods it allows, so that a route never serves what a narrower one
// was published to refuse.
//
// A request must not match one route here and mean another to the backend
// server. The path is therefore matched with its escapes decoded, and a path
// that servers are known to read in different ways is refused: empty segments
// and dot segments; backslashes and semicolons; and escapes of these, of slash,
// dot, percent, question mark, hash and control characters; and escapes that
// don't decode to UTF-8, among them long forms of dots and slashes. An empty last
// segment (/swaps/) is allowed. Paths are matched with regard to case; a
// backend server that disregards it must not rely on routes to part its paths.

package indexer

import (
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// RouteMatch is the route of a request or the reason why there is none.
type RouteMatch struct {
	Route      *flow.Route
	Reason     flow.Reason // empty when there is a route
	Idempotent bool        // whether the request may run more than once
	AllowedMethods    []string    // methods to name when the method is not allowed
}

// prefixLimit is the longest path prefix that a route may have, in bytes.
const prefixLimit = 256

// Route returns the route of a request. The path is the escaped path of the
// request's URL as it came, without the query.
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

// longestPrefix returns the routes of the longest prefix of a path.
func (x *Index) longestPrefix(path string) []*flow.Route {
	end := len(path)
	for end > 0 {
		if end <= prefixLimit {
			if routes, ok := x.routes.get(path[:end]).([]*flow.Route); ok {
				return routes
			}
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	routes, _ := x.routes.get("/").([]*flow.Route)
	return routes
}

// allows reports whether a route allows a method. A route for all methods
// leaves out CONNECT, which is not a request for a path, TRACE, which shows
// headers to scripts, and whatever is not written in upper-case letters.
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

// -----------------------------------------------------------------------------

// decodePath returns a path with its escapes decoded, and false when it is not
// a path that everyone reads in the same way.
func decodePath(path string) (string, bool) {
	if path == "" || path[0] != '/' {
		return "", false
	}
	decoded, ok := path, true
	if strings.IndexByte(path, '%') >= 0 {
		decoded, ok = decodeEscapes(path)
	}
	return decoded, ok && plainBytes(path) && plainSegments(decoded) && utf8.ValidString(decoded)
}

// plainBytes reports whether a path holds only printable ASCII characters
// without backslash, semicolon, question mark and hash.
func plainBytes(path string) bool {
	for _, c := range []byte(path) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`\;?#`, c) >= 0 {
			return false
		}
	}
	return true
}

// plainSegments reports whether no segment is a dot segment, and none but the
// last is empty.
func plainSegments(path string) bool {
	for rest := path[1:]; rest != ""; {
		segment, tail, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return false
		}
		rest = tail
	}
	return true
}

// escapeLength is the length of an escape such as %41 in bytes.
const escapeLength = 3

// decodeEscapes decodes the escapes of a path, and refuses those of characters
// that have a meaning of their own.
func decodeEscapes(path string) (string, bool) {
	decoded := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			decoded = append(decoded, path[i])
			continue
		}
		if i+escapeLength > len(path) {
			return "", false
		}
		high, low := hexValue(path[i+1]), hexValue(path[i+2])
		c := byte(high<<4 | low)
		if high < 0 || low < 0 || c < ' ' || c == 0x7f || strings.IndexByte(`/\.%;?#`, c) >= 0 {
			return "", false
		}
		decoded = append(decoded, c)
		i += escapeLength - 1
	}
	return string(decoded), true
}

// hexValue returns the value of a hex digit, or -1.
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
