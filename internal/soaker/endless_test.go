package soaker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// smallestMemory is the memory of a process on the smallest hosts, in MiB.
	smallestMemory = 184
	// floodSlots is the slots of the server that sends without end.
	floodSlots = 12
	// floodTime is how long the callers stay.
	floodTime = 2 * time.Second
)

// startFloodingServer starts a server that answers each request with a beginning and then
// repeats a piece until its connection closes. %s in the beginning stands for the request's
// id.
func startFloodingServer(t *testing.T, dep *deployment, address, beginning, piece string) {
	t.Helper()
	socket, err := net.Listen("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	pieces := strings.Repeat(piece, 32<<10/len(piece))
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, err = io.WriteString(conn, strings.ReplaceAll(beginning, "%s", request.Header.Get(dep.names.RequestID)))
				for err == nil {
					_, err = io.WriteString(conn, pieces)
				}
			}()
		}
	}()
}

// memoryOf returns the memory of a process in MiB, without its program's file and the
// kernel's buffers.
func memoryOf(t *testing.T, d *daemon) int {
	t.Helper()
	d.mu.Lock()
	id := d.command.Process.Pid
	d.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(content)) {
		if kilobytes, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			value, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kilobytes), " kB"))
			is.New(t).NoErr(err)
			return value >> 10
		}
	}
	t.Fatalf("process %d has ended", id)
	return 0
}

// A server that sends bytes without end costs the daemons a bounded memory, whether its
// callers read them or not, and requests of other services are served meanwhile.
func TestEndlessBytesTakeBoundedMemory(t *testing.T) {
	dep := startTestDeploymentOf(t, 2, 0, "-ldflags=")
	head := "HTTP/1.1 200 OK\r\n" + dep.names.RequestID + ": %s\r\n" + dep.names.Seal + ": s\r\n"
	cases := map[string]struct{ beginning, piece string }{
		"body without a length":    {head + "\r\n", "a"},
		"body in chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n"},
		"body of 10^18 bytes":      {head + "Content-Length: 1000000000000000000\r\n\r\n", "a"},
		"failure without a length": {strings.Replace(head, "200 OK", "500 Error", 1) + "\r\n", "a"},
		"refusal without a length": {strings.Replace(head, "200 OK", "503 Full", 1) + dep.names.NotRun + ": 1\r\n\r\n", "a"},
		"head":                     {head, "A: " + strings.Repeat("a", 1000) + "\r\n"},
		"interim responses":        {"", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("a", 1000) + "\r\n\r\n"},
		"trailers":                 {head + "Transfer-Encoding: chunked\r\n\r\n4\r\naaaa\r\n0\r\n", "A: " + strings.Repeat("a", 1000) + "\r\n"},
		"bytes after the answer":   {head + "Content-Length: 4\r\n\r\ngood", "a"},
		"bytes that are no answer": {"", "\x00\xff"},
	}
	number := 0
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			number++
			flooding := dep.hosts[0].backend
			_ = flooding.server.Close()
			flooding.replaceProcess(fmt.Sprint("flooding-", number))
			startFloodingServer(t, dep, flooding.address, tc.beginning, tc.piece)
			entry := flooding.serverEntry(false)
			entry.Slots = floodSlots
			dep.store.PutServer(entry)
			time.Sleep(500 * time.Millisecond)

			var callers sync.WaitGroup
			defer callers.Wait()
			end := time.Now().Add(floodTime)
			for i := range 4 * floodSlots {
				callers.Go(func() {
					conn, err := net.Dial("tcp", address(dep.hosts[1].privateIP, portCaller))
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					_, _ = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: soak.example\r\n%s: %s-%d\r\n%s: 9000\r\n%s: %s\r\n\r\n",
						dep.names.RequestID, flooding.id, i, dep.names.TimeLeft, dep.names.Key, dep.keysInUse()[1])
					_ = conn.SetDeadline(end)
					if i%2 == 0 {
						_, _ = io.Copy(io.Discard, conn)
					}
					time.Sleep(time.Until(end))
				})
			}
			most := 0
			for booking := 0; time.Now().Before(end); booking++ {
				for _, h := range dep.hosts {
					most = max(most, memoryOf(t, h.daemon))
				}
				is.Equal(sendBookingTo(t, dep, 1, fmt.Sprint(flooding.id, "-booking-", booking), callerDeadline).StatusCode, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			t.Logf("at most %d MiB", most)
			is.True(most < smallestMemory)
		})
	}
}
