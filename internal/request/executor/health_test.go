package executor_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestMalformedHealthAnswerIsNotHealthy guards against a server that counts as healthy by an
// answer which is malformed or broke off.
func TestMalformedHealthAnswerIsNotHealthy(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer-Id: server\r\n"
	cases := map[string]struct {
		answer  string
		healthy bool
	}{
		"healthy":                   {head + "Content-Length: 2\r\n\r\nok", true},
		"healthy, without a length": {head + "\r\nokCUT", true},
		"failing":                   {"HTTP/1.1 503 No\r\nServer-Id: server\r\nContent-Length: 0\r\n\r\n", false},
		"of another server":         {"HTTP/1.1 200 OK\r\nServer-Id: other\r\nContent-Length: 0\r\n\r\n", false},
		"blank in a name":           {head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok", false},
		"blank after the length":    {head + "Content-Length : 2\r\n\r\nokCUT", false},
		"blank in the trailer":      {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n", false},
		"blank in an interim head":  {"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", false},
		"shorter than its length":   {head + "Content-Length: 9\r\n\r\nokCUT", false},
		"without its last chunk":    {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\nCUT", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackendServer(t, map[string]string{"/health": tc.answer})
			f := newFixture(t, b.address, 1)
			entry := &flow.ServerEntry{ID: "server", Service: "stock", Address: b.address, Host: "127.0.0.1", Zone: "a", Slots: 1, StartedUnixMs: 1}
			f.catalog.Store(cataloger.Build(2, &flow.Configuration{Version: 2, Services: []flow.ServiceRule{{Name: "stock", HealthPath: "/health"}}}, []*flow.ServerEntry{entry}, nil))
			f.ApplyCatalog(f.catalog.Load())
			is.New(t).Equal(f.ServerHealthy(t.Context()), tc.healthy)
		})
	}
}
