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
	// maxKeyBytes is the maximum length of an API key.
	maxKeyBytes = 512
	// minKeyBytes is the minimum length of an API key. Searching a request for
	// a shorter key would match ordinary words.
	minKeyBytes = 8
)

// keyHeaders are the headers that can carry API keys. They are never forwarded.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// keyParameters are the query parameters in which callers commonly send API
// keys.
var keyParameters = []string{"api_key", "api-key", "apikey", "access_token", "access-token"}

// NewAuthenticator returns the step that finds the customer of the API key. No
// backend server gets to see the key: every header that contains it is removed,
// and a request with a key in its URL is refused, because URLs are logged.
func NewAuthenticator(parts *Parts) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			exchange := request.(*Exchange)
			if refusal := parts.authenticate(exchange); refusal != nil {
				return nil, refusal
			}
			return next(ctx, request)
		}
	}
}

func (p *Parts) authenticate(exchange *Exchange) *flow.Refusal {
	keys := presentedKeys(exchange.Request.Header)
	if finding, found := keyInURL(exchange, keys); found {
		return p.newRefusal(stepAuthenticate, flow.ReasonKeyInURL, "the URL "+finding)
	}
	exchange.Header = maps.Clone(exchange.Request.Header)
	sanitizeHeader(exchange.Header, keys)
	if !containsAnyKey([]string{exchange.Request.Host}, keys) {
		exchange.Host = exchange.Request.Host
	}
	if exchange.Route.Open {
		return nil
	}
	if len(keys) == 0 {
		return p.newRefusal(stepAuthenticate, flow.ReasonKeyMissing, "")
	}
	if len(keys) > 1 {
		return p.newRefusal(stepAuthenticate, flow.ReasonKeyUnknown, "several keys were presented")
	}
	if len(keys[0]) < minKeyBytes {
		return p.newRefusal(stepAuthenticate, flow.ReasonKeyUnknown, "the key is too short")
	}
	hash := sha256.Sum256([]byte(keys[0]))
	entry, ok := exchange.Snapshot.Index.KeyByHash(hash)
	if !ok {
		return p.newRefusal(stepAuthenticate, flow.ReasonKeyUnknown, "")
	}
	if _, ok := exchange.Snapshot.Index.Customer(entry.Customer); !ok {
		return p.newRefusal(stepAuthenticate, flow.ReasonKeyUnknown, "the key's customer has no record")
	}
	exchange.Customer, exchange.KeyHash, exchange.HasKey = entry.Customer, hash, true
	return nil
}

// presentedKeys returns the distinct keys in the Authorization and X-Api-Key
// headers.
func presentedKeys(header http.Header) []string {
	var keys []string
	add := func(key string) {
		key = strings.TrimSpace(key)
		if key == "" || len(key) > maxKeyBytes {
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

// keyInURL searches the URL for a presented key anywhere, a query parameter
// named like a key, and any key in force, and describes what it found. It
// parses the query as leniently as any backend server might.
func keyInURL(exchange *Exchange, keys []string) (string, bool) {
	target := exchange.Request.URL
	if containsAnyKey([]string{target.Path, target.RawQuery, unescape(target.RawQuery)}, keys) {
		return "holds the presented key", true
	}
	for _, pair := range strings.FieldsFunc(target.RawQuery, isQuerySeparator) {
		name, value, _ := strings.Cut(pair, "=")
		name, value = unescape(name), unescape(value)
		if isKeyParameter(name) {
			return "has parameter " + name, true
		}
		for _, word := range append(strings.Fields(value), name) {
			if isKeyInForce(exchange, word) {
				return "holds a key in force", true
			}
		}
	}
	return "", false
}

func isQuerySeparator(c rune) bool { return c == '&' || c == ';' }

func isKeyParameter(name string) bool {
	for _, reserved := range keyParameters {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

func isKeyInForce(exchange *Exchange, word string) bool {
	if len(word) < minKeyBytes || len(word) > maxKeyBytes {
		return false
	}
	_, known := exchange.Snapshot.Index.KeyByHash(sha256.Sum256([]byte(word)))
	return known
}

// unescape decodes a part of a query. It returns a malformed part unchanged.
func unescape(text string) string {
	decoded, err := url.QueryUnescape(text)
	if err != nil {
		return text
	}
	return decoded
}

// sanitizeHeader removes the headers that must not be forwarded: hop-by-hop
// headers, coltsfootflow's own, those for keys, and any other that contains a
// presented key.
func sanitizeHeader(header http.Header, keys []string) {
	responder.RemoveHopByHopHeaders(header)
	responder.RemoveOwnHeaders(header)
	for _, name := range keyHeaders {
		header.Del(name)
	}
	for name, values := range header {
		if containsAnyKey(values, keys) {
			delete(header, name)
		}
	}
}

// containsAnyKey reports whether any of the values contains a presented key. A
// key too short to search for counts only if it is the whole value.
func containsAnyKey(values, keys []string) bool {
	for _, value := range values {
		for _, key := range keys {
			if len(key) >= minKeyBytes && strings.Contains(value, key) || value == key {
				return true
			}
		}
	}
	return false
}
