package executor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEndlessServer starts a backend server that answers with a beginning and then
// repeats a piece until its connection closes. It counts the bytes that it could send.
func startEndlessServer(t *testing.T, beginning, piece string) (address string, sent *atomic.Int64) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	sent = &atomic.Int64{}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, beginning)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, piece)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return socket.Addr().String(), sent
}

// TestEndlessHeadIsRefused has a server send a head without end. Each running request
// may hold that much of the host's memory, which is 184 MB on the smallest hosts: the
// transport's default of 10 MB for each of twelve slots ended the process.
func TestEndlessHeadIsRefused(t *testing.T) {
	const socketBuffers = 7 << 20 // what the kernel may take on loopback without a reader
	cases := map[string]struct{ beginning, piece string }{
		"header fields":            {"HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("a", 1000) + "\r\n"},
		"one field":                {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 1000)},
		"one status line":          {"HTTP/1.1 200 ", strings.Repeat("a", 1000)},
		"interim responses":        {"", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("a", 1000) + "\r\n\r\n"},
		"bytes that are no answer": {"", strings.Repeat("\x00\xff", 500)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := startEndlessServer(t, tc.beginning, tc.piece)
			f := newFixture(t, address, 1)
			began := time.Now()
			_, refusal := f.run(t.Context(), newOffer(), "/x/")
			is.True(refusal != nil)
			is.True(!refusal.NotRun()) // the server may have run it
			is.True(time.Since(began) < time.Second)
			is.True(sent.Load() < socketBuffers)
		})
	}
}

// TestEndlessBodyEndsWithItsCaller has a server send a body without end. It is passed on
// piece by piece, and the slot is free again once the caller has left.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSeal: s\r\n"
	cases := map[string]struct{ beginning, piece string }{
		"no length":        {head + "\r\n", strings.Repeat("a", 1000)},
		"chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
		"length of 10^18":  {head + "Content-Length: 1000000000000000000\r\n\r\n", strings.Repeat("a", 1000)},
		"failure response": {strings.Replace(head, "200 OK", "500 Error", 1) + "\r\n", strings.Repeat("a", 1000)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startEndlessServer(t, tc.beginning, tc.piece)
			f := newFixture(t, address, 1)
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, leave)
			_, refusal := f.run(ctx, newOffer(), "/x/")
			is.True(refusal != nil)
			is.True(!refusal.NotRun()) // never complete, and it has run
			is.Equal(f.Status().Running, 0)
		})
	}
}

// TestEndlessBodyEndsAtDeadline has a server send a body of unknown length without end, to a
// caller that reads on. Its deadline was removed once the first MiB had arrived, and the slot
// was taken for as long as the caller stayed.
func TestEndlessBodyEndsAtDeadline(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSeal: s\r\n"
	for name, tc := range map[string]struct{ beginning, piece string }{
		"no length": {head + "\r\n", strings.Repeat("a", 1000)},
		"chunks":    {head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := startEndlessServer(t, tc.beginning, tc.piece)
			f := newFixture(t, address, 1)
			offer := newOffer()
			offer.TimeLeft = 500 * time.Millisecond
			began := time.Now()
			_, refusal := f.run(t.Context(), offer, "/x/")
			is.True(refusal != nil) // never complete
			is.True(time.Since(began) < 2*time.Second)
			is.True(sent.Load() > 2<<20) // it was passed on as it came
			is.Equal(f.Status().Running, 0)
		})
	}
}
