package composer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
)

// wire is a connection that keeps what is written to it, piece by piece.
type wire struct {
	net.Conn
	mu     *sync.Mutex
	pieces *[]string
}

// Write keeps a piece and passes it on.
func (w wire) Write(b []byte) (int, error) {
	w.mu.Lock()
	*w.pieces = append(*w.pieces, string(b))
	w.mu.Unlock()
	return w.Conn.Write(b)
}

// exchange sends a composed request over a transport of net/http whose kept
// connections are closed by the peer after each request but the first, without
// an answer. It returns the pieces that went out from the second request on.
func exchange(t *testing.T, method, body string) []string {
	t.Helper()
	var mu sync.Mutex
	var pieces []string
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serveOnce(far)
		return wire{near, &mu, &pieces}, nil
	}}
	defer transport.CloseIdleConnections()
	send := func() error {
		header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
		request, err := composer.Compose(t.Context(), method, "http://127.0.0.1:1/a?b", "shop.example", header, []byte(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	pieces = nil
	mu.Unlock()
	if send() == nil {
		t.Fatal("the second request was answered")
	}
	mu.Lock()
	defer mu.Unlock()
	return pieces
}

// serveOnce answers one request, and closes the connection on the next.
func serveOnce(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for answer := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if answer == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

func TestComposedRequestsAreSentOnceAndInOnePiece(t *testing.T) {
	cases := map[string]struct{ method, body, length string }{
		"read":                 {"GET", "", ""},
		"head":                 {"HEAD", "", ""},
		"delete":               {"DELETE", "", ""},
		"method of its own":    {"PURGE", "", ""},
		"write":                {"POST", "a body", "6"},
		"write without a body": {"POST", "", "0"},
		"put without a body":   {"PUT", "", "0"},
		"read with a body":     {"GET", "a body", "6"},
		"delete with a body":   {"DELETE", "a body", "6"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pieces := exchange(t, tc.method, tc.body)
			is.Equal(len(pieces), 1)
			head, body, _ := strings.Cut(pieces[0], "\r\n\r\n")
			is.True(strings.HasPrefix(head, tc.method+" /a?b HTTP/1.1\r\nHost: shop.example\r\n"))
			is.Equal(body, tc.body)
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(pieces[0])))
			is.NoErr(err)
			is.Equal(request.Header.Get("Content-Length"), tc.length)
			is.Equal(request.TransferEncoding, nil)
			is.Equal(request.UserAgent(), "")
		})
	}
}

func TestReadBody(t *testing.T) {
	const limit = 128 << 10 // bytes
	cases := map[string]struct{ size, announced int }{
		"none":               {0, 0},
		"small":              {100, 100},
		"announced as more":  {100, limit},
		"not announced":      {100, -1},
		"at the limit":       {limit, limit},
		"above the limit":    {limit + 1, limit + 1},
		"above, unannounced": {limit + 1, -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := strings.Repeat("x", tc.size)
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(sent))
			r.ContentLength = int64(tc.announced)
			body, err := composer.ReadBody(httptest.NewRecorder(), r, limit)
			var tooLarge *http.MaxBytesError
			is.Equal(errors.As(err, &tooLarge), tc.size > limit)
			is.True(err != nil || string(body) == sent)
		})
	}
}
