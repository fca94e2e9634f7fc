package responder

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that belong to one connection (RFC 9110, sections
// 7.6.1 and 10.1.1), in canonical form.
var hopByHopHeaders = []string{
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

// ownPrefix is the prefix of coltsfootflow's own headers. A hyphen follows it.
const ownPrefix = "coltsfootflow"

// RemoveHopByHopHeaders removes the headers that belong to one connection, including
// those that the Connection header names.
func RemoveHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// RemoveOwnHeaders removes coltsfootflow's own headers, so that callers and backend
// servers cannot forge them. It also removes names with an underscore after the prefix,
// because some servers treat underscores in header names as hyphens.
func RemoveOwnHeaders(header http.Header) {
	for name := range header {
		if isOwnHeader(name) {
			delete(header, name)
		}
	}
}

func isOwnHeader(name string) bool {
	if len(name) <= len(ownPrefix) || !strings.EqualFold(name[:len(ownPrefix)], ownPrefix) {
		return false
	}
	next := name[len(ownPrefix)]
	return next == '-' || next == '_'
}
