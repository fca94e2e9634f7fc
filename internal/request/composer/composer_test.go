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

// recordingConn is a connection that records each write.
type recordingConn struct {
	net.Conn
	mu     *sync.Mutex
	writes *[]string
}

// Write records the data and passes it on.
func (c recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	*c.writes = append(*c.writes, string(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// recordWrites sends two composed requests over a transport of net/http. The
// peer answers the first one and closes the reused connection on the second one
// without a response. It returns all writes since the second request began.
func recordWrites(t *testing.T, method, body string) []string {
	t.Helper()
	var mu sync.Mutex
	var writes []string
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go answerOnce(server)
		return recordingConn{client, &mu, &writes}, nil
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
	writes = nil
	mu.Unlock()
	if send() == nil {
		t.Fatal("the second request was answered")
	}
	mu.Lock()
	defer mu.Unlock()
	return writes
}

// answerOnce answers one request and closes the connection after the next one.
func answerOnce(conn net.Conn) {
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

// TestComposedRequestsAreSentOnceInOneWrite guards against the retries of
// net/http and against separate writes of head and body.
func TestComposedRequestsAreSentOnceInOneWrite(t *testing.T) {
	cases := map[string]struct{ method, body, length string }{
		"GET":                 {"GET", "", ""},
		"HEAD":                {"HEAD", "", ""},
		"DELETE":              {"DELETE", "", ""},
		"unknown method":      {"PURGE", "", ""},
		"POST":                {"POST", "a body", "6"},
		"POST without a body": {"POST", "", "0"},
		"PUT without a body":  {"PUT", "", "0"},
		"GET with a body":     {"GET", "a body", "6"},
		"DELETE with a body":  {"DELETE", "a body", "6"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			writes := recordWrites(t, tc.method, tc.body)
			is.Equal(len(writes), 1)
			head, body, _ := strings.Cut(writes[0], "\r\n\r\n")
			is.True(strings.HasPrefix(head, tc.method+" /a?b HTTP/1.1\r\nHost: shop.example\r\n"))
			is.Equal(body, tc.body)
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(writes[0])))
			is.NoErr(err)
			is.Equal(request.Header.Get("Content-Length"), tc.length)
			is.Equal(request.TransferEncoding, nil)
			is.Equal(request.UserAgent(), "")
		})
	}
}

// TestReadBody reads bodies with true, false and missing lengths around the
// limit.
func TestReadBody(t *testing.T) {
	const limit = 128 << 10 // bytes
	cases := map[string]struct{ size, length int }{
		"no body":                         {0, 0},
		"small body":                      {100, 100},
		"shorter than its length":         {100, limit},
		"unknown length":                  {100, -1},
		"at the limit":                    {limit, limit},
		"above the limit":                 {limit + 1, limit + 1},
		"above the limit, unknown length": {limit + 1, -1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := strings.Repeat("x", tc.size)
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(sent))
			r.ContentLength = int64(tc.length)
			body, err := composer.ReadBody(httptest.NewRecorder(), r, limit)
			var tooLarge *http.MaxBytesError
			is.Equal(errors.As(err, &tooLarge), tc.size > limit)
			is.True(err != nil || string(body) == sent)
		})
	}
}
