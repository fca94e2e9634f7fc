package validator_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
)

// startServer starts a server that writes a raw response to each request, and counts its
// connections.
func startServer(t *testing.T, response string) (url string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := io.WriteString(conn, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), connections
}

// TestTransportRefusesMalformedResponses guards against clients that use a response which
// net/http accepts and the protocol doesn't, or the connection after it.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct {
		response  string
		malformed bool
	}{
		"well-formed":                      {ok + "X-Odd!#$%&'*+.^_`|~1: 1\r\nContent-Length: 4\r\n\r\ngood", false},
		"well-formed, with a trailer":      {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX-Odd: 1\r\n\r\n", false},
		"well-formed, after interim heads": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 4\r\n\r\ngood", false},
		"status 200":                       {ok + "Content-Length: 4\r\n\r\ngood", false},
		"status 599":                       {"HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\ngood", false},
		"status 600":                       {"HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\ngood", true},
		"status 000":                       {"HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\ngood", true},
		"status 101":                       {"HTTP/1.1 101 Odd\r\nContent-Length: 4\r\n\r\ngood", true},
		"another version":                  {"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", true},
		"blank in a name":                  {ok + "X Odd: 1\r\nContent-Length: 4\r\n\r\ngood", true},
		"blank in a name, without a body":  {ok + "X Odd: 1\r\nContent-Length: 0\r\n\r\n", true},
		"blank after the length":           {ok + "Content-Length : 4\r\n\r\ngood", true},
		"blank in a trailer":               {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Odd: 1\r\n\r\n", true},
		"blank in an interim head":         {"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + ok + "Content-Length: 4\r\n\r\ngood", true},
		"interim heads without end":        {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100) + ok + "Content-Length: 4\r\n\r\ngood", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url, connections := startServer(t, tc.response)
			client := http.Client{Transport: &validator.Transport{Base: &http.Transport{}}}
			defer client.CloseIdleConnections()
			const calls = 3
			for range calls {
				content, err := get(&client, url)
				is.Equal(err != nil, tc.malformed)
				if tc.malformed {
					is.True(validator.Error.Has(err) || errors.Is(err, io.EOF))
				} else {
					is.Equal(content, "good")
				}
			}
			if tc.malformed {
				is.Equal(connections.Load(), int64(calls)) // none was used again
			} else {
				is.Equal(connections.Load(), int64(1))
			}
		})
	}
}

func get(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestDocumentEndsWithItsBody guards against a document that is used though its body was cut
// or goes on behind it.
func TestDocumentEndsWithItsBody(t *testing.T) {
	cases := map[string]struct {
		body io.Reader
		ok   bool
	}{
		"one document":          {strings.NewReader(`{"a": 1}` + "\n"), true},
		"cut in the document":   {strings.NewReader(`{"a": 1`), false},
		"cut after it":          {io.MultiReader(strings.NewReader(`{"a": 1}`), brokenReader{}), false},
		"two documents":         {strings.NewReader(`{"a": 1}{"a": 2}`), false},
		"bytes after it":        {strings.NewReader(`{"a": 1}x`), false},
		"the size of a chunk":   {strings.NewReader("8\r\n" + `{"a": 1}` + "\r\n0\r\n\r\n"), false},
		"the end of the chunks": {strings.NewReader(`{"a": 1}` + "\r\n0\r\n\r\n"), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var document struct{ A int }
			err := validator.DecodeJSON(tc.body, &document)
			is.Equal(err == nil, tc.ok)
			if tc.ok {
				is.Equal(document.A, 1)
			}
		})
	}
}

// brokenReader is the rest of a body that was cut.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
