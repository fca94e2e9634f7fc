package indexer_test

import (
	"net/url"
	"path"
	"testing"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// FuzzRoute checks that a path that is not refused still takes the same route
// after a backend server has decoded it, decoded it again and cleaned it.
func FuzzRoute(f *testing.F) {
	var changes []merger.Change
	for _, prefix := range []string{"/", "/a", "/a/b", "/admin"} {
		changes = append(changes, put(1, nil, &flow.Route{Name: "r" + prefix, PathPrefix: prefix}))
	}
	index := indexer.Empty().Apply(changes, 1)
	for _, seed := range []string{"/a/b/c", "/%61/b", "/a/../admin", "/a%2fb", "/%2561", "/a//b", "/a/b/", "/a/..;/admin", "/%c0%ae", "/%E1%83%90"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		match := index.Route("GET", raw)
		if match.Route == nil {
			return
		}
		reread := raw
		for range 2 {
			decoded, err := url.PathUnescape(reread)
			if err != nil {
				t.Fatalf("%q cannot be decoded: %v", raw, err)
			}
			reread = path.Clean(decoded)
		}
		again := index.Route("GET", (&url.URL{Path: reread}).EscapedPath())
		if again.Route != match.Route {
			t.Fatalf("%q takes route %s, but reread as %q gets %v", raw, match.Route.Name, reread, again)
		}
	})
}
