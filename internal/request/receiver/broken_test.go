package receiver_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// brokenHeads are answers whose heads are broken off.
var brokenHeads = map[string]string{
	"with a length": responseHead + "Content-Length: 16\r\n\r\n",
	"in chunks":     responseHead + chunkedHead,
	"after a 103":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + responseHead + "Content-Length: 16\r\n\r\n",
	"sheds":         shedHead + "Coltsfootflow-Request-Id: ID\r\n\r\n",
}

// TestHeadOfServerBreaksOff guards against callers that take an answer for whole, or a request
// for not run, though the backend server broke the head of its answer off.
func TestHeadOfServerBreaksOff(t *testing.T) {
	for name, broken := range brokenHeads {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept connection %v, reset %v", name, kept, reset), func(t *testing.T) {
					t.Parallel()
					c := newCluster(t, 1)
					for length := 0; length < len(broken); length += 5 {
						if kept {
							c.respondWith(respondCompletely)
							is.New(t).Equal(c.send(t, http.MethodPost, "/ledger/x", "body", withAPIKey()).status, http.StatusOK)
						}
						c.respondWith(func(conn net.Conn, r *http.Request) bool {
							answer := strings.ReplaceAll(broken, "ID", r.Header.Get(flow.HeaderRequestID))
							_, _ = io.WriteString(conn, answer[:min(length, len(answer)-1)])
							if reset {
								return resetConnection(conn, r)
							}
							return false
						})
						got := c.send(t, http.MethodPost, "/ledger/x", "body", withAPIKey())
						if got.err == nil && (got.status < 500 || got.outcome != flow.OutcomeUnknown) {
							t.Fatalf("broken off after %d bytes: %d %q, outcome %s", length, got.status, got.body, got.outcome)
						}
					}
				})
			}
		}
	}
}

// startBreakingRelay forwards connections to a daemon, and breaks off what it sends after
// some bytes.
func startBreakingRelay(t *testing.T, target string, limit *atomic.Int64, reset bool) (address string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	forward := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		daemon, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = daemon.Close() }()
		go func() { _, _ = io.Copy(daemon, conn) }()
		if n, _ := io.Copy(conn, io.LimitReader(daemon, limit.Load())); n == limit.Load() && reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go forward(conn)
		}
	}()
	return socket.Addr().String()
}

// TestAnswerBetweenDaemonsBreaksOff guards against callers that take an answer for whole though
// it broke off on its way between two daemons.
func TestAnswerBetweenDaemonsBreaksOff(t *testing.T) {
	bodies := map[string]responder{
		"short":         respondCompletely,
		"long":          respondRaw(responseHead, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largeBody)), largeBody),
		"long, chunked": respondRaw(responseHead, chunkedHead, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(largeBody), largeBody)),
	}
	for name, respond := range bodies {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 1)
				c.respondWith(respond)
				var limit atomic.Int64
				c.hosts[0].host.DataAddress = startBreakingRelay(t, c.hosts[0].host.DataAddress, &limit, reset)
				c.putRecords(c.hosts[0].host)
				c.applyIndex()
				limit.Store(1 << 30)
				whole := c.send(t, http.MethodPost, "/ledger/x", "body", withAPIKey())
				is.New(t).Equal(whole.status, http.StatusOK)
				for length := int64(0); length < 600; length += 9 {
					limit.Store(length)
					got := c.send(t, http.MethodPost, "/ledger/x", "body", withAPIKey())
					if got.err == nil && (got.status == http.StatusOK && got.body != whole.body || got.status != http.StatusOK && got.outcome != flow.OutcomeUnknown) {
						t.Fatalf("broken off after %d bytes: %d with %d bytes, outcome %s", length, got.status, len(got.body), got.outcome)
					}
				}
			})
		}
	}
}
