package executor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
)

// uploadBytes is the size of a request's body that does not fit into the buffers of a
// connection, so that it is still being written when the server answers.
const uploadBytes = 12 << 20

// startEarlyServer starts a backend server that answers each request as soon as its head has
// come, with a body without a length, and ends the connection as the function does.
func startEarlyServer(t *testing.T, body string, end func(conn *net.TCPConn)) (address string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n\r\n%s", request.Header.Get(headerNames.RequestID), body)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return socket.Addr().String()
}

// TestResetDuringUploadIsNoEnd guards against an answer that is taken for whole though the
// server reset its connection while the request's body was being written. The kernel reports
// a reset once: to the write, and the read beside it then finds what looks like a close.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const attempts = 20
	settle := func() { time.Sleep(10 * time.Millisecond) } // until the upload fills the buffers
	cases := map[string]struct {
		end   func(conn *net.TCPConn, answered <-chan struct{})
		whole bool
	}{
		"reset": {func(conn *net.TCPConn, _ <-chan struct{}) {
			settle()
			_ = conn.SetLinger(0)
		}, false},
		"closed before the upload is read": {func(*net.TCPConn, <-chan struct{}) { settle() }, false},
		"end of the body, then the upload is read": {func(conn *net.TCPConn, answered <-chan struct{}) {
			settle()
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			<-answered
		}, true},
		"end of the body, and the upload is not read": {func(conn *net.TCPConn, answered <-chan struct{}) {
			settle()
			_ = conn.CloseWrite()
			<-answered
		}, true},
	}
	for name, tc := range cases {
		for _, size := range []int{12, 200_000, 2_000_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				body := strings.Repeat("a", size)
				answered := make(chan struct{}, attempts)
				f := newFixture(t, startEarlyServer(t, body, func(conn *net.TCPConn) { tc.end(conn, answered) }), 1)
				upload := make([]byte, uploadBytes)
				whole := 0
				for range attempts {
					offer := newOffer()
					offer.Repeatable, offer.Forced = true, true // also once the server is suspected of failing
					offer.TimeLeft = 20 * time.Second
					got, refusal := f.runRequest(t.Context(), offer, &transporter.Request{
						Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{headerNames.RequestID: {offer.ID}}, Body: upload,
					})
					answered <- struct{}{}
					if refusal != nil {
						is.True(!refusal.NotRun())
						continue
					}
					is.Equal(got, "200 "+body)
					whole++
				}
				if tc.whole {
					is.Equal(whole, attempts)
				} else {
					is.Equal(whole, 0)
				}
			})
		}
	}
}
