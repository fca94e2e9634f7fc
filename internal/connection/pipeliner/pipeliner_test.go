package pipeliner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/pipeliner"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// waitLimit bounds everything that a test waits for.
const waitLimit = 5 * time.Second

func okResponse(text string) *http.Response {
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        http.Header{},
		ContentLength: int64(len(text)),
		Body:          io.NopCloser(strings.NewReader(text)),
	}
}

func refuse(status int, _ error) *http.Response {
	response := okResponse("refused")
	response.StatusCode, response.Close = status, true
	return response
}

// serve starts a server, and returns it and a connection to it.
func serve(t *testing.T, handle pipeliner.Handler, limits flow.CallerLimits) (*pipeliner.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &pipeliner.Server{
		Handle: handle,
		Limits: func() flow.CallerLimits { return limits },
		Refuse: refuse,
		Log:    logr.Discard(),
	}
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		_ = listener.Close()
		_ = conn.Close()
	})
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return server, conn
}

func readResponse(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	is.New(t).NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, string(body)
}

// TestResponsesAreInOrderOfRequests pipelines three requests, of which the later ones
// finish first.
func TestResponsesAreInOrderOfRequests(t *testing.T) {
	is := is.New(t)
	running := make(chan string, 3)
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
	_, conn := serve(t, func(_ context.Context, r *http.Request, body flow.Body) *http.Response {
		running <- r.URL.Path
		<-release[r.URL.Path]
		return okResponse(r.URL.Path + string(body.Bytes()))
	}, flow.CallerLimits{})
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n")
	for range 3 {
		<-running // all three run before the first response
	}
	close(release["/3"])
	close(release["/2"])
	close(release["/1"])
	reader := bufio.NewReader(conn)
	for _, want := range []string{"/1", "/2abc", "/3de"} {
		_, got := readResponse(t, reader)
		is.Equal(got, want)
	}
}

// TestRequestIsCancelledWhenCallerLeaves checks that the context of a running request ends
// when its caller closes the connection.
func TestRequestIsCancelledWhenCallerLeaves(t *testing.T) {
	for name, request := range map[string]string{
		"connection is kept alive": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"request is the last one":  "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			_, conn := serve(t, func(ctx context.Context, _ *http.Request, _ flow.Body) *http.Response {
				close(started)
				<-ctx.Done()
				close(ended)
				return nil
			}, flow.CallerLimits{})
			fmt.Fprint(conn, request)
			<-started
			_ = conn.Close()
			select {
			case <-ended:
			case <-time.After(waitLimit):
				t.Fatal("the request is still running")
			}
		})
	}
}

// TestUnreadableRequestIsRefused checks the status of requests that must not be handled.
func TestUnreadableRequestIsRefused(t *testing.T) {
	limits := flow.CallerLimits{HeaderBytes: 1000, BodyBytes: 10, HeaderTimeout: 200 * time.Millisecond}
	cases := map[string]struct {
		request string
		want    int
	}{
		"not an HTTP request":          {"nonsense\r\n\r\n", http.StatusBadRequest},
		"head is too long":             {"GET / HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("x", 8000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"head does not arrive in time": {"GET / HTTP/1.1\r\nHost: a\r\n", http.StatusRequestTimeout},
		"body is too long":             {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunked body is too long":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"blank in a name":              {"GET / HTTP/1.1\r\nHost: a\r\nX Odd: 1\r\n\r\n", http.StatusBadRequest},
		"blank after the length":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", http.StatusBadRequest},
		"blank after the coding":       {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n1b\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"two content lengths":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, conn := serve(t, func(context.Context, *http.Request, flow.Body) *http.Response {
				t.Error("the request was handled")
				return nil
			}, limits)
			fmt.Fprint(conn, tc.request)
			status, _ := readResponse(t, bufio.NewReader(conn))
			is.New(t).Equal(status, tc.want)
		})
	}
}

// TestBodyOfHTTP10IsNoRequest guards against a body that is read as the next request: net/http
// removes the Transfer-Encoding of a request of HTTP/1.0 unseen.
func TestBodyOfHTTP10IsNoRequest(t *testing.T) {
	is := is.New(t)
	var paths sync.Map
	_, conn := serve(t, func(_ context.Context, r *http.Request, _ flow.Body) *http.Response {
		paths.Store(r.URL.Path, true)
		return okResponse("good")
	}, flow.CallerLimits{})
	fmt.Fprint(conn, "GET /first HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
	_, first := paths.Load("/first")
	_, second := paths.Load("/second")
	is.True(first)
	is.True(!second)
}

// TestRequestWithIncompleteBodyIsNotHandled ends a request before its body is complete.
func TestRequestWithIncompleteBodyIsNotHandled(t *testing.T) {
	_, conn := serve(t, func(context.Context, *http.Request, flow.Body) *http.Response {
		t.Error("the request was handled")
		return nil
	}, flow.CallerLimits{})
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab")
	_ = conn.(*net.TCPConn).CloseWrite()
	_, err := io.ReadAll(conn)
	is.New(t).NoErr(err)
}

// TestIncompleteResponseFailsAtCaller sends a response whose body ends early. The caller
// must not mistake it for a complete one.
func TestIncompleteResponseFailsAtCaller(t *testing.T) {
	is := is.New(t)
	_, conn := serve(t, func(context.Context, *http.Request, flow.Body) *http.Response {
		response := okResponse("half")
		response.ContentLength = 8
		return response
	}, flow.CallerLimits{})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	is.True(err != nil)
}

// TestRequestBegunBeforeShutdownIsAnswered closes idle connections when only a part of a
// request's head has arrived. The request must still be answered.
func TestRequestBegunBeforeShutdownIsAnswered(t *testing.T) {
	is := is.New(t)
	server, conn := serve(t, func(context.Context, *http.Request, flow.Body) *http.Response { return okResponse("whole") }, flow.CallerLimits{})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHo")
	for server.Pending() == 0 {
		time.Sleep(time.Millisecond)
	}
	server.DisableKeepAlives()
	server.CloseIdle()
	fmt.Fprint(conn, "st: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.True(response.Close)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
}

// TestCloseIdleClosesConnectionWithoutPendingRequest keeps a connection alive after a
// response. CloseIdle must close it.
func TestCloseIdleClosesConnectionWithoutPendingRequest(t *testing.T) {
	is := is.New(t)
	server, conn := serve(t, func(context.Context, *http.Request, flow.Body) *http.Response { return okResponse("") }, flow.CallerLimits{})
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(conn)
	readResponse(t, reader)
	for server.Pending() > 0 {
		time.Sleep(time.Millisecond)
	}
	server.CloseIdle()
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}

// TestShutdownAnswersRequestsBehindAnother sends three requests on one connection, and
// shuts the server down while the first runs. All had been read, and were being handled:
// the responses to the second and third used to be lost, since that to the first closed the
// connection.
func TestShutdownAnswersRequestsBehindAnother(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	release := make(chan struct{})
	server, conn := serve(t, func(_ context.Context, request *http.Request, _ flow.Body) *http.Response {
		handled.Add(1)
		<-release
		return okResponse(request.URL.Path)
	}, flow.CallerLimits{})
	for _, path := range []string{"/a", "/b", "/c"} {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	}
	for handled.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	server.DisableKeepAlives()
	server.Drain()
	close(release)
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/a", "/b", "/c"} {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
		is.Equal(response.Close, path == "/c")
	}
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}

// TestDrainHandlesNoLaterRequest sends a request behind one that runs while the server
// drains. It must not be handled: its response would be lost at the end of the daemon.
func TestDrainHandlesNoLaterRequest(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	release := make(chan struct{})
	server, conn := serve(t, func(_ context.Context, request *http.Request, _ flow.Body) *http.Response {
		handled.Add(1)
		<-release
		return okResponse(request.URL.Path)
	}, flow.CallerLimits{})
	fmt.Fprint(conn, "GET /early HTTP/1.1\r\nHost: a\r\n\r\n")
	for handled.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	server.DisableKeepAlives()
	server.Drain()
	fmt.Fprint(conn, "POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	close(release)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(response.Close)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "/early")
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(handled.Load(), int64(1))
}
