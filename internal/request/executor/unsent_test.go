package executor

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// surplusTransport is a transport whose pooled connection holds the response to an earlier
// request: it returns that to the first requests, before it has written a byte of them.
type surplusTransport struct {
	surplus  int // number of requests that get the earlier response
	requests int
	conn     net.Conn
}

// RoundTrip implements http.RoundTripper.
func (t *surplusTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.requests++
	conn := sealer.NewConn(t.conn, nil)
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	header := http.Header{"Request-Id": {"earlier"}, "Seal": {"s"}}
	if t.requests > t.surplus {
		if _, err := conn.Write([]byte("request")); err != nil {
			return nil, err
		}
		header.Set("Request-Id", request.Header.Get("Request-Id"))
	}
	return &http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: header, ContentLength: 4, Body: io.NopCloser(strings.NewReader("good"))}, nil
}

// discardConn is a connection that discards what is written to it.
type discardConn struct{ net.Conn }

// Write implements io.Writer.
func (discardConn) Write(b []byte) (int, error) { return len(b), nil }

// Close implements io.Closer.
func (discardConn) Close() error { return nil }

// nullObserver is an observer that discards everything.
type nullObserver struct{}

// Admitted discards the observation.
func (nullObserver) Admitted(string, flow.Reason, time.Duration) {}

// TestUnsentRequestIsNotAnsweredByEarlierResponse checks a request that gets a connection in
// the moment in which it is closed because of a surplus response. The request was not sent,
// so it is sent on another connection, or has certainly not run; it used to count as one
// that may have run.
func TestUnsentRequestIsNotAnsweredByEarlierResponse(t *testing.T) {
	cases := map[string]struct {
		surplus int
		answers bool
	}{
		"no surplus response":   {0, true},
		"one surplus response":  {1, true},
		"two surplus responses": {2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry := &flow.ServerEntry{ID: "server", Service: "stock", Address: "127.0.0.1:1", Host: "127.0.0.1", Zone: "a", Slots: 1, StartedUnixMs: 1}
			catalog := cataloger.Build(1, &flow.Configuration{Version: 1, Services: []flow.ServiceRule{{Name: "stock", ColdPerSecond: 5}}}, []*flow.ServerEntry{entry}, nil)
			e := New(Parts{
				Host: "host", Address: entry.Address, Names: flow.HeaderNames{RequestID: "Request-Id", Seal: "Seal", TimeLeft: "Time-Left"},
				Clock: flow.NewMonotonicClock(), Catalog: func() *cataloger.Catalog { return catalog }, Observer: nullObserver{}, Log: logr.Discard(),
			})
			e.ApplyCatalog(catalog)
			e.transport.Base = &surplusTransport{surplus: tc.surplus, conn: discardConn{}}
			admitted, err := e.Admit(t.Context(), &transporter.Offer{ID: "id-1", Server: "server", TimeToTarget: time.Second, TimeLeft: 2 * time.Second}, func() {})
			is.NoErr(err)
			answer, err := admitted.Run(t.Context(), &transporter.Request{
				Method: http.MethodPost, Target: "/x/", Host: "a.example", Header: http.Header{"Request-Id": {"id-1"}},
			})
			if tc.answers {
				is.NoErr(err)
				is.Equal(answer.Status, http.StatusOK)
				return
			}
			refusal, ok := flow.AsRefusal(err)
			is.True(ok)
			is.True(refusal.NotRun())
		})
	}
}
