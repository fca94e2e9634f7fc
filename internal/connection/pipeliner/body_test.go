package pipeliner_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/pipeliner"
	"github.com/coltsfootflow/coltsfootflow/internal/process/budgeter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const mib = 1 << 20

// serveWithBudget starts a server of a process of 32 MiB, and returns a function that opens
// connections to it.
func serveWithBudget(t *testing.T, screen func(context.Context, *http.Request) pipeliner.Screening) (*budgeter.Budget, func() net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	handle := func(_ context.Context, _ *http.Request, body flow.Body) *http.Response {
		return okResponse(strconv.FormatInt(body.Len(), 10))
	}
	server := &pipeliner.Server{
		Handle: handle, Limits: func() flow.CallerLimits { return flow.CallerLimits{BodyBytes: 16 * mib} }, Refuse: refuse,
		Log: logr.Discard(), Budget: budgeter.New(32*mib, flow.NewMonotonicClock()), Screen: screen,
	}
	go func() { _ = server.Serve(listener) }()
	return server.Budget, func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(3 * waitLimit))
		return conn
	}
}

func post(conn net.Conn, lines, body string) {
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", lines, body)
}

// TestBodiesWithinBudget checks which bodies are read while others take the memory for them.
// All memory must be free afterwards.
func TestBodiesWithinBudget(t *testing.T) {
	chunks := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("a", size)) }
	cases := map[string]struct {
		taken, freed int // bytes that others hold, and how much of it is freed after a while
		lines, body  string
		want         int
	}{
		"small":                        {11 * mib, 0, "Content-Length: 5", "small", http.StatusOK},
		"small, nothing left":          {12*mib + 816<<10, 0, "Content-Length: 9000", "", http.StatusServiceUnavailable},
		"small in chunks":              {11 * mib, 0, "Transfer-Encoding: chunked", chunks(500), http.StatusOK},
		"large":                        {4 * mib, 0, "Content-Length: 4194304", strings.Repeat("a", 4*mib), http.StatusOK},
		"large in chunks":              {4 * mib, 0, "Transfer-Encoding: chunked", chunks(4 * mib), http.StatusOK},
		"large, room later":            {11 * mib, 8 * mib, "Content-Length: 4194304", strings.Repeat("a", 4*mib), http.StatusOK},
		"large in chunks, room later":  {11*mib + 500<<10, 8 * mib, "Transfer-Encoding: chunked", chunks(4 * mib), http.StatusOK},
		"large in chunks, no more":     {10 * mib, 0, "Transfer-Encoding: chunked", chunks(4 * mib), http.StatusServiceUnavailable},
		"larger than the whole budget": {0, 0, "Content-Length: 15000000", "", http.StatusRequestEntityTooLarge},
		"larger in chunks":             {0, 0, "Transfer-Encoding: chunked", chunks(15000000), http.StatusRequestEntityTooLarge},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget, dial := serveWithBudget(t, nil)
			for taken := 0; taken < tc.taken; taken += 4 << 10 {
				is.True(budget.Take(4<<10, true))
			}
			time.AfterFunc(200*time.Millisecond, func() { budget.Release(int64(tc.freed)) })
			conn := dial()
			go post(conn, tc.lines, tc.body)
			status, _ := readResponse(t, bufio.NewReader(conn))
			is.Equal(status, tc.want)
			time.Sleep(250 * time.Millisecond) // until room is freed and given back
			used, waiting := budget.Usage()
			is.Equal(used, int64(tc.taken-tc.freed))
			is.Equal(waiting, 0)
		})
	}
}

// TestStalledBodyGivesItsMemoryBack has bodies stop just short of their end. They are refused
// as not run.
func TestStalledBodyGivesItsMemoryBack(t *testing.T) {
	for name, tc := range map[string]struct{ lines, body string }{
		"announced": {"Content-Length: 4194304", strings.Repeat("a", 4*mib-1)},
		"in chunks": {"Transfer-Encoding: chunked", "400000\r\n" + strings.Repeat("a", 4*mib)},
		"small":     {"Content-Length: 10", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			budget, dial := serveWithBudget(t, nil)
			conn := dial()
			go post(conn, tc.lines, tc.body)
			status, _ := readResponse(t, bufio.NewReader(conn))
			is.Equal(status, http.StatusRequestTimeout)
			used, _ := budget.Usage()
			is.Equal(used, int64(0))
		})
	}
}

// TestTricklingBodyMakesRoom has a body take most of the memory and trickle. It is refused once
// another waits, which is then read.
func TestTricklingBodyMakesRoom(t *testing.T) {
	is := is.New(t)
	budget, dial := serveWithBudget(t, nil)
	slow, other := dial(), dial()
	post(slow, "Content-Length: 8388608", "")
	go func() {
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			_, _ = slow.Write([]byte("a"))
		}
	}()
	for budget.Take(8*mib, true) { // until the first body has its room
		budget.Release(8 * mib)
		time.Sleep(time.Millisecond)
	}
	go post(other, "Content-Length: 4194304", strings.Repeat("a", 4*mib))
	status, _ := readResponse(t, bufio.NewReader(slow))
	is.Equal(status, http.StatusRequestTimeout)
	status, text := readResponse(t, bufio.NewReader(other))
	is.Equal(status, http.StatusOK)
	is.Equal(text, "4194304")
}

// TestLargeBodyIsScreenedFirst refuses requests before their bodies are sent. A caller that
// asks first is not told to send its body.
func TestLargeBodyIsScreenedFirst(t *testing.T) {
	is := is.New(t)
	_, dial := serveWithBudget(t, func(context.Context, *http.Request) pipeliner.Screening {
		response := okResponse("unknown key")
		response.StatusCode = http.StatusUnauthorized
		return pipeliner.Screening{Refusal: response}
	})
	conn := dial()
	post(conn, "Content-Length: 4194304\r\nExpect: 100-continue", "")
	status, text := readResponse(t, bufio.NewReader(conn))
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(text, "unknown key")
}
