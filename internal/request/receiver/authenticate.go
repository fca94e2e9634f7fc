// The step that finds the customer of a request. No backend server sees the
// key: every place of the request that holds it is taken out, and a request
// that shows it in the URL is refused, because URLs are logged.

package receiver

import (
	"context"
	"crypto/sha256"
	"maps"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	stepAuthenticate = flow.Step("authenticate")
	bearerPrefix     = "bearer "
	// keyLengthLimit bounds a key in bytes.
	keyLengthLimit = 512
	// keyLengthLeast is the least length of a key in bytes. A shorter one could
	// not be told from other words when a request is searched for it.
	keyLengthLeast = 8
)

// keyHeaders carry keys, and are never sent on.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// keyParameters are names of query parameters that callers use for keys.
var keyParameters = []string{"api_key", "api-key", "apikey", "access_token", "access-token"}

// NewAuthenticator returns the step that finds the customer of the key.
func NewAuthenticator(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			call := request.(*Call)
			if refusal := parts.authenticate(call); refusal != nil {
				return nil, refusal
			}
			return next(ctx, request)
		}
	}
}

func (p *Parts) authenticate(call *Call) *flow.Refusal {
	keys := presentedKeys(call.Request.Header)
	if what, found := keyInURL(call, keys); found {
		return p.refuse(stepAuthenticate, flow.ReasonKeyInURL, "the URL "+what)
	}
	call.Header = maps.Clone(call.Request.Header)
	stripKeys(call.Header, keys)
	if !holdsAny([]string{call.Request.Host}, keys) {
		call.Host = call.Request.Host
	}
	if call.Route.Open {
		return nil
	}
	if len(keys) == 0 {
		return p.refuse(stepAuthenticate, flow.ReasonKeyMissing, "")
	}
	if len(keys) > 1 {
		return p.refuse(stepAuthenticate, flow.ReasonKeyUnknown, "several keys were presented")
	}
	if len(keys[0]) < keyLengthLeast {
		return p.refuse(stepAuthenticate, flow.ReasonKeyUnknown, "the key is too short")
	}
	hash := sha256.Sum256([]byte(keys[0]))
	entry, ok := call.Snapshot.Index.KeyByHash(hash)
	if !ok {
		return p.refuse(stepAuthenticate, flow.ReasonKeyUnknown, "")
	}
	if _, ok := call.Snapshot.Index.Customer(entry.Customer); !ok {
		return p.refuse(stepAuthenticate, flow.ReasonKeyUnknown, "the key's customer has no record")
	}
	call.Customer, call.KeyHash, call.HasKey = entry.Customer, hash, true
	return nil
}

// presentedKeys returns the different keys in the headers for keys.
func presentedKeys(header http.Header) []string {
	var keys []string
	add := func(key string) {
		key = strings.TrimSpace(key)
		if key == "" || len(key) > keyLengthLimit {
			return
		}
		for _, known := range keys {
			if known == key {
				return
			}
		}
		keys = append(keys, key)
	}
	for _, value := range header.Values("Authorization") {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			add(value[len(bearerPrefix):])
		}
	}
	for _, value := range header.Values("X-Api-Key") {
		add(value)
	}
	return keys
}

// keyInURL looks for a key in the URL: a parameter that is named like one, a
// presented key anywhere, or any key in force. It reads the query as the most
// lenient backend server would.
func keyInURL(call *Call, keys []string) (string, bool) {
	target := call.Request.URL
	if holdsAny([]string{target.Path, target.RawQuery, unescape(target.RawQuery)}, keys) {
		return "holds the presented key", true
	}
	for _, pair := range strings.FieldsFunc(target.RawQuery, isSeparator) {
		name, value, _ := strings.Cut(pair, "=")
		name, value = unescape(name), unescape(value)
		if isKeyParameter(name) {
			return "has parameter " + name, true
		}
		for _, word := range append(strings.Fields(value), name) {
			if isKey(call, word) {
				return "holds a key in force", true
			}
		}
	}
	return "", false
}

func isSeparator(c rune) bool { return c == '&' || c == ';' }

func isKeyParameter(name string) bool {
	for _, reserved := range keyParameters {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

func isKey(call *Call, word string) bool {
	if len(word) < keyLengthLeast || len(word) > keyLengthLimit {
		return false
	}
	_, known := call.Snapshot.Index.KeyByHash(sha256.Sum256([]byte(word)))
	return known
}

// unescape decodes a part of a query, or returns it as it is when it is
// malformed.
func unescape(text string) string {
	decoded, err := url.QueryUnescape(text)
	if err != nil {
		return text
	}
	return decoded
}

// stripKeys takes out what must not be sent on: the headers for keys, every
// other header that holds a presented key, those of the connection, and
// coltsfootflow's own.
func stripKeys(header http.Header, keys []string) {
	responder.RemoveHopByHopHeaders(header)
	responder.RemoveOwnHeaders(header)
	for _, name := range keyHeaders {
		header.Del(name)
	}
	for name, values := range header {
		if holdsAny(values, keys) {
			delete(header, name)
		}
	}
}

func holdsAny(values, keys []string) bool {
	for _, value := range values {
		for _, key := range keys {
			if len(key) >= keyLengthLeast && strings.Contains(value, key) || value == key {
				return true
			}
		}
	}
	return false
}
