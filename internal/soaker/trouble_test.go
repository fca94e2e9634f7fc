package soaker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
)

// TestServersInTroubleMisleadNoCaller has the servers run bookings and answer them early with a
// part of a body before a reset, with a malformed head, or as if they had not run. It guards
// against a caller that takes the part for whole, gets another body, or books again.
func TestServersInTroubleMisleadNoCaller(t *testing.T) {
	const bookings = 20
	uploaded := strings.Repeat("u", 12<<20)
	for _, mode := range []failureMode{modePromise, modeMalformed, modeEarlyReset} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			dep := startTestDeploymentOf(t, 2, 0, "-race=false")
			for _, h := range dep.hosts {
				h.backend.setMode(mode)
			}
			body := "a booking"
			if mode == modeEarlyReset {
				body = uploaded
			}
			for i := range bookings {
				id := fmt.Sprint("booking-", i)
				response, got, err := book(dep, id, body)
				if err != nil {
					continue // a broken connection promises nothing
				}
				if slices.Contains(notRunStatuses, response.StatusCode) && ran(dep, id) {
					t.Errorf("%s ran and was answered %d", id, response.StatusCode)
				}
				if response.StatusCode == http.StatusOK {
					t.Errorf("%s was answered 200 with %q", id, got)
				}
			}
			is.True(len(dep.runs.all()) > 0)
		})
	}
}

func ran(dep *deployment, id string) bool {
	return slices.ContainsFunc(dep.runs.all(), func(r run) bool { return r.id == id })
}

// book sends a booking to the first host on a connection of its own.
func book(dep *deployment, id, body string) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", address(dep.hosts[0].privateIP, portCaller))
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * callerDeadline))
	if _, err := fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		dep.names.RequestID, id, dep.names.TimeLeft, callerDeadline.Milliseconds(), dep.names.Key, dep.keysInUse()[1], len(body), body); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	if err := validator.CheckHead(response); err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}
