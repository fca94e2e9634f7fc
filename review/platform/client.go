//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request of a client.
func head(method, target, id string, timeLeft time.Duration, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, hostName)
	fmt.Fprintf(&b, "X-Coltsfootflow-Attempt-Id: %s\r\nX-Coltsfootflow-Deadline-Ms: %d\r\n", id, timeLeft.Milliseconds())
	fmt.Fprintf(&b, "X-Coltsfootflow-Credential: %s\r\n", tenantKey)
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// answer is what a client got for a request.
type answer struct {
	status int
	seal   string
	body   []byte
	length int64 // by the head; -1 if the end of the connection ends the body
	err    error // set if the answer was incomplete
}

// dial connects to the daemon of a client's host.
func (f *fleet) dial(h *host, timeLeft time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", f.address(h.private, portCaller), time.Second)
	if err == nil {
		err = conn.SetDeadline(time.Now().Add(timeLeft))
	}
	return conn, err
}

// call makes one request on a connection of its own and logs it.
func (f *fleet) call(h *host, method, target, id string, timeLeft time.Duration, body string) answer {
	conn, err := f.dial(h, timeLeft)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, head(method, target, id, timeLeft, body)+body); err != nil {
		return answer{err: err}
	}
	a := readAnswer(bufio.NewReader(conn), method)
	f.record.logf("client at %s: %s %s %s got %d, error %v", h.name, id, method, target, a.status, a.err)
	return a
}

// readAnswer reads one answer as HTTP/1.1 tells.
func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, seal: response.Header.Get("X-Coltsfootflow-Server-Seal"), length: response.ContentLength}
	a.body, a.err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	return a
}
