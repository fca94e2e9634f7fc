// Headers that belong to one connection, to coltsfootflow or to the caller's
// key are taken out on the way.

package answerer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection (RFC 9110, sections 7.6.1 and 10.1.1).
// Their names are in canonical form.
var hopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// ownPrefix begins the names of coltsfootflow's own headers; a hyphen follows.
const ownPrefix = "coltsfootflow"

// RemoveHopByHopHeaders removes the headers that belong to one connection.
func RemoveHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// RemoveOwnHeaders removes coltsfootflow's own headers, which nobody else may set, also
// in the spelling with underscores that some servers take for the same.
func RemoveOwnHeaders(header http.Header) {
	for name := range header {
		if isOwn(name) {
			delete(header, name)
		}
	}
}

func isOwn(name string) bool {
	if len(name) <= len(ownPrefix) || !strings.EqualFold(name[:len(ownPrefix)], ownPrefix) {
		return false
	}
	next := name[len(ownPrefix)]
	return next == '-' || next == '_'
}
