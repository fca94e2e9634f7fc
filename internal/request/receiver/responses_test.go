package receiver_test

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

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// fault is a way in which a backend server responds, and what the caller of a
// request that is not idempotent must get.
type fault struct {
	respond responder
	outcome flow.Outcome // flow.OutcomeAnswered for the backend server's whole response
	reason  flow.Reason
	cut     bool // the caller's connection breaks after the head of the response
}

func respondRaw(parts ...string) responder {
	return func(conn net.Conn, r *http.Request) bool {
		for _, part := range parts {
			part = strings.ReplaceAll(part, "ID", r.Header.Get(flow.HeaderRequestID))
			if _, err := io.WriteString(conn, part); err != nil {
				return false
			}
		}
		return false
	}
}

// respondRawAndKeep writes a response and keeps the connection open.
func respondRawAndKeep(response string) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, response)
		return err == nil
	}
}

func resetConnection(conn net.Conn, _ *http.Request) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

func hang(conn net.Conn, _ *http.Request) bool {
	_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
	return false
}

const (
	responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nColtsfootflow-Request-Id: ID\r\n"
	shedHead     = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n"
	chunkedHead  = "Transfer-Encoding: chunked\r\n\r\n"
)

var largeBody = strings.Repeat("x", 8*responseBuffer)

var faults = map[string]fault{
	"complete response":                    {respond: respondCompletely, outcome: flow.OutcomeAnswered},
	"closes before the response":           {respond: respondRaw(), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"resets the connection":                {respond: resetConnection, outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"closes after part of the head":        {respond: respondRaw(responseHead), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"body shorter than its length":         {respond: respondRaw(responseHead, "Content-Length: 20\r\n\r\nshort"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"chunks without the last one":          {respond: respondRaw(responseHead, chunkedHead, "5\r\nshort\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"body without length or chunks":        {respond: respondRaw(responseHead, "Connection: close\r\n\r\nshort"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"response by HTTP 1.0":                 {respond: respondRaw("HTTP/1.0 200 OK\r\nColtsfootflow-Request-Id: ID\r\n\r\nshort"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"response to another request":          {respond: respondRaw("HTTP/1.1 200 OK\r\nColtsfootflow-Request-Id: another\r\nContent-Length: 2\r\n\r\nno"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"response that echoes its id twice":    {respond: respondRaw(responseHead, "Coltsfootflow-Request-Id: ID\r\nContent-Length: 16\r\n\r\n", completeBody), outcome: flow.OutcomeAnswered},
	"response that echoes two ids":         {respond: respondRaw(responseHead, "Coltsfootflow-Request-Id: another\r\nContent-Length: 16\r\n\r\n", completeBody), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"response without a request id":        {respond: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"two content lengths":                  {respond: respondRaw(responseHead, "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno"), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"not HTTP":                             {respond: respondRaw("nonsense\r\n\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"switches protocols":                   {respond: respondRaw("HTTP/1.1 101 Switching Protocols\r\nColtsfootflow-Request-Id: ID\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbytes"), outcome: flow.OutcomeUnknown},
	"blank in the name of a field":         {respond: respondRaw(responseHead, "X Odd: 1\r\nContent-Length: 16\r\n\r\n", completeBody), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"blank after the name of the length":   {respond: respondRaw(responseHead, "Content-Length : 16\r\n\r\n", completeBody), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"blank after the name of the coding":   {respond: respondRaw(responseHead, "Transfer-Encoding : chunked\r\nContent-Length: 9\r\n\r\n4\r\ngood\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"blank in an interim answer":           {respond: respondRaw("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n", responseHead, "Content-Length: 16\r\n\r\n", completeBody), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"blank in the trailer":                 {respond: respondRaw(responseHead, chunkedHead, "5\r\nshort\r\n0\r\nX Odd: 1\r\n\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"status 000":                           {respond: respondRaw("HTTP/1.1 000 OK\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 16\r\n\r\n", completeBody), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"status 600":                           {respond: respondRaw("HTTP/1.1 600 Odd\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 16\r\n\r\n", completeBody), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"sheds, with a blank in a name":        {respond: respondRaw(shedHead, "X Odd: 1\r\n\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerMalformed},
	"sheds the request":                    {respond: respondRaw(shedHead, "\r\n"), outcome: flow.OutcomeNotRun, reason: flow.ReasonServerShed},
	"sheds with the id of another request": {respond: respondRaw(shedHead, "Coltsfootflow-Request-Id: another\r\n\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"status 500":                           {respond: respondRaw("HTTP/1.1 500 Oh\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno"), outcome: flow.OutcomeAnswered},
	"no response":                          {respond: hang, outcome: flow.OutcomeUnknown, reason: flow.ReasonTimeout},
	"large body shorter than its length":   {respond: respondRaw(responseHead, fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(largeBody)), largeBody), cut: true},
	"large body cut between chunks":        {respond: respondRaw(responseHead, chunkedHead, fmt.Sprintf("%x\r\n%s\r\n", len(largeBody), largeBody)), cut: true},
	"large body cut in a chunk":            {respond: respondRaw(responseHead, chunkedHead, fmt.Sprintf("%x\r\n%s", 2*len(largeBody), largeBody)), cut: true},
}

// TestWriteRunsOnceUnderServerFaults sends a request that is not idempotent:
// the backend server runs it once, and the caller learns whether it may have
// run.
func TestWriteRunsOnceUnderServerFaults(t *testing.T) {
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2)
			c.respondWith(tc.respond)
			got := c.send(t, http.MethodPost, "/ledger/swaps", "a swap", withAPIKey())
			if tc.outcome != flow.OutcomeNotRun {
				is.Equal(len(c.requests()), 1) // it ran, and only once
			}
			if tc.cut {
				is.True(got.err != nil) // a truncated response must not look complete
				return
			}
			is.NoErr(got.err)
			if tc.outcome == flow.OutcomeAnswered {
				is.Equal(got.outcome, flow.Outcome(""))
				return
			}
			is.Equal(got.outcome, tc.outcome)
			if tc.reason != "" {
				is.Equal(got.reason, tc.reason)
			}
		})
	}
}

// TestReadIsRetriedUnderServerFaults sends an idempotent request: it is retried
// at another backend server, and the caller gets the whole response of that
// one, unless a part of the first response went out.
func TestReadIsRetriedUnderServerFaults(t *testing.T) {
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2)
			var first atomic.Bool
			c.respondWith(func(conn net.Conn, r *http.Request) bool {
				if first.CompareAndSwap(false, true) {
					return tc.respond(conn, r)
				}
				return respondCompletely(conn, r)
			})
			got := c.send(t, http.MethodGet, "/ledger/wheels", "", withAPIKey())
			if tc.cut {
				is.True(got.err != nil)
				return
			}
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, completeBody)
		})
	}
}

// TestRefusedRetryDoesNotHideEarlierRun guards against telling a caller that
// its request has not run when the first attempt may have run and only the
// retry was refused.
func TestRefusedRetryDoesNotHideEarlierRun(t *testing.T) {
	firstAttempts := map[string]responder{
		"no response":                 respondRaw(),
		"short body":                  respondRaw(responseHead, "Content-Length: 20\r\n\r\nshort"),
		"status 500":                  respondRaw("HTTP/1.1 500 Oh\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno"),
		"response to another request": respondRaw("HTTP/1.1 200 OK\r\nColtsfootflow-Request-Id: another\r\nContent-Length: 2\r\n\r\nno"),
		"two content lengths":         respondRaw(responseHead, "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno"),
	}
	refusals := map[string]func(c *cluster){
		"load shedding":    func(c *cluster) { c.respondWith(respondRaw(shedHead, "\r\n")) },
		"rate unavailable": func(c *cluster) { c.rateUnavailable.Store(true) },
		"lease lost":       func(c *cluster) { c.holder.Store(snapshotWithoutLease(c)) },
	}
	for attemptName, run := range firstAttempts {
		for refusalName, refuse := range refusals {
			t.Run(attemptName+", then "+refusalName, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCluster(t, 2)
				c.respondWith(func(conn net.Conn, r *http.Request) bool {
					refuse(c)
					return run(conn, r)
				})
				got := c.send(t, http.MethodGet, "/ledger/wheels", "", withAPIKey())
				is.NoErr(got.err)
				is.True(len(c.requests()) > 0)
				is.True(got.outcome != flow.OutcomeNotRun) // the first attempt ran
			})
		}
	}
}

// TestRefusalOfAnotherDaemonIsNotTheIngressesOwn has the daemons of all backend servers
// refuse for a state of their own. A caller that is told that a daemon is stopping or
// without a lease asks another one, so it must be told only of the daemon it asked.
func TestRefusalOfAnotherDaemonIsNotTheIngressesOwn(t *testing.T) {
	all := func(change func(snapshot *holder.Snapshot)) func(c *cluster) {
		return func(c *cluster) {
			for _, h := range c.hosts {
				snapshot := *h.holder.Load()
				change(&snapshot)
				h.holder.Store(&snapshot)
			}
		}
	}
	cases := map[string]struct {
		refuse func(c *cluster)
		reason flow.Reason
	}{
		"others are stopping":         {all(func(s *holder.Snapshot) { s.Stopping = true }), flow.ReasonNoCapacity},
		"others have no lease":        {all(func(s *holder.Snapshot) { s.LeaseUntil = flow.Never }), flow.ReasonNoCapacity},
		"backend servers are leaving": {all(func(s *holder.Snapshot) { s.Senders = nil }), flow.ReasonLeaving},
		"ingress has no lease":        {func(c *cluster) { c.holder.Store(snapshotWithoutLease(c)) }, flow.ReasonNoLease},
	}
	for name, tc := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+", "+method, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCluster(t, 2)
				tc.refuse(c)
				got := c.send(t, method, "/ledger/wheels", "", withAPIKey())
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.outcome, flow.OutcomeNotRun)
				is.Equal(got.reason, tc.reason)
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(len(c.requests()), 0)
			})
		}
	}
}

// TestRepeatedRefusalIsNotTakenForAnother has a backend server write the refusal of one
// request again on the kept connection, where the response to the next one is due. That
// request runs, so that its caller must not be told that it has not.
func TestRepeatedRefusalIsNotTakenForAnother(t *testing.T) {
	idLine := flow.HeaderRequestID + ": %s\r\n"
	cases := map[string]struct {
		refusal   string // %s is the id of the first request, SECOND that of the second one
		withoutID bool   // the service has no header for request ids
	}{
		"with the id of the first request":         {refusal: shedHead + idLine},
		"without an id":                            {refusal: shedHead},
		"with an empty id":                         {refusal: shedHead + flow.HeaderRequestID + ": \r\n"},
		"with the ids of the first and the second": {refusal: shedHead + idLine + flow.HeaderRequestID + ": SECOND\r\n"},
		"with the ids of the second and the first": {refusal: shedHead + flow.HeaderRequestID + ": SECOND\r\n" + idLine},
		"of a service without request ids":         {refusal: shedHead, withoutID: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			if tc.withoutID {
				c.putRecords(&flow.Service{Name: "ledger", RetryBudget: 1, ShedStatus: 503, ShedHeader: "X-Shed"})
				c.applyIndex()
			}
			var mu sync.Mutex
			var firstConn net.Conn
			firstID, number := "", 0
			c.respondWith(func(conn net.Conn, r *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				number++
				id := r.Header.Get(flow.HeaderRequestID)
				if number == 1 {
					firstConn, firstID = conn, id
					_, err := io.WriteString(conn, strings.ReplaceAll(tc.refusal, "%s", id)+"\r\n")
					return err == nil
				}
				if number == 2 && conn == firstConn {
					again := strings.NewReplacer("%s", firstID, "SECOND", id).Replace(tc.refusal)
					_, _ = io.WriteString(conn, again+"\r\n")
				}
				return respondCompletely(conn, r)
			})
			c.send(t, http.MethodPost, "/ledger/first", "a swap", withAPIKey())
			second := c.send(t, http.MethodPost, "/ledger/second", "a swap", withAPIKey())
			is.NoErr(second.err)
			is.Equal(len(c.requests()), 2)                // it ran
			is.True(second.outcome != flow.OutcomeNotRun) // and is not reported as not run
			third := c.send(t, http.MethodPost, "/ledger/third", "a swap", withAPIKey())
			is.NoErr(third.err)
			is.Equal(third.status, http.StatusOK) // on a new connection
		})
	}
}

// TestRefusalWithoutIDIsNotRunOnKeptConnection has a backend server turn requests away
// without their ids, as a part of it may that does not read them, on connections that have
// carried others. They did not run, and their callers must be told so.
func TestRefusalWithoutIDIsNotRunOnKeptConnection(t *testing.T) {
	for name, header := range map[string]string{"with request ids": flow.HeaderRequestID, "without request ids": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			c.putRecords(&flow.Service{Name: "ledger", RetryBudget: 1, ShedStatus: 503, ShedHeader: "X-Shed", RequestIDHeader: header})
			c.applyIndex()
			for _, isShed := range []bool{false, false, true, true, false, true} {
				c.respondWith(respondCompletely)
				if isShed {
					c.respondWith(respondRawAndKeep(shedHead + "\r\n"))
				}
				got := c.send(t, http.MethodPost, "/ledger/swaps", "a swap", withAPIKey())
				is.NoErr(got.err)
				is.Equal(got.status == http.StatusOK, !isShed)
				is.Equal(got.outcome == flow.OutcomeNotRun, isShed)
			}
		})
	}
}

// TestSurplusResponseIsNotUsed has a backend server write two responses to one
// request on a connection that is reused: the second must not become the
// response to the next request.
func TestSurplusResponseIsNotUsed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.respondWith(func(conn net.Conn, r *http.Request) bool {
		respondCompletely(conn, r)
		return respondCompletely(conn, r)
	})
	for range 20 {
		got := c.send(t, http.MethodPost, "/ledger/swaps", "a swap", withAPIKey())
		is.NoErr(got.err)
		is.True(got.status == http.StatusOK || got.outcome != "")
	}
	ids := map[string]bool{}
	for _, s := range c.requests() {
		id := s.request.Header.Get(flow.HeaderRequestID)
		is.True(!ids[id]) // no request is sent twice
		ids[id] = true
	}
}

// TestClosedConnectionDoesNotRepeatRequest guards against the retries of
// net/http: a transport repeats a request that it considers idempotent when the
// peer closes a reused connection. No forwarded request may be repeated that
// way.
func TestClosedConnectionDoesNotRepeatRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for name, header := range map[string]http.Header{
			"without idempotency key": withAPIKey(),
			"with idempotency key":    withAPIKey("Idempotency-Key", uuid.Must(uuid.NewV7()).String(), "X-Idempotency-Key", "1"),
		} {
			for _, body := range []string{"", "a swap"} {
				t.Run(fmt.Sprintf("%s %s %q", method, name, body), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					c := newCluster(t, 1)
					is.Equal(c.send(t, http.MethodGet, "/ledger/first", "", withAPIKey()).status, http.StatusOK)
					c.respondWith(respondRaw())
					got := c.send(t, method, "/ledger/second", body, header)
					is.NoErr(got.err)
					is.Equal(got.outcome, flow.OutcomeUnknown)
					is.Equal(len(c.requests()), 2)
				})
			}
		}
	}
}

// TestCutResponseToHTTP10CallerLooksIncomplete sends requests by HTTP/1.0,
// which has no chunks: the caller could not tell a truncated response from a
// complete one.
func TestCutResponseToHTTP10CallerLooksIncomplete(t *testing.T) {
	for name, fault := range faults {
		if !fault.cut {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			c.respondWith(fault.respond)
			conn, err := net.Dial("tcp", c.addr)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = fmt.Fprintf(conn, "GET /ledger/manual HTTP/1.0\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", keyOfShop)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // the connection broke before the head
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			is.True(err != nil || flow.Outcome(response.Header.Get(flow.HeaderOutcome)) == flow.OutcomeUnknown)
		})
	}
}

// TestResponsesArePassedOnUnchanged checks what reaches the caller: the
// response as it is, except for headers that concern the connection or are
// coltsfootflow's own.
func TestResponsesArePassedOnUnchanged(t *testing.T) {
	cases := map[string]struct {
		method, response string
		status           int
		body             string
		header           map[string]string // "" for a header that must be absent
	}{
		"response to HEAD":  {http.MethodHead, responseHead + "Content-Length: 1234\r\n\r\n", 200, "", map[string]string{"Content-Length": "1234"}},
		"no content":        {http.MethodPost, "HTTP/1.1 204 No Content\r\nColtsfootflow-Request-Id: ID\r\nX-A: b\r\n\r\n", 204, "", map[string]string{"X-A": "b"}},
		"not modified":      {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nColtsfootflow-Request-Id: ID\r\nEtag: \"v1\"\r\n\r\n", 304, "", map[string]string{"Etag": `"v1"`}},
		"redirect":          {http.MethodGet, "HTTP/1.1 302 Found\r\nColtsfootflow-Request-Id: ID\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", 302, "", map[string]string{"Location": "/elsewhere"}},
		"chunked":           {http.MethodGet, responseHead + chunkedHead + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 200, "abcde", map[string]string{"Content-Length": "5"}},
		"large and chunked": {http.MethodGet, responseHead + chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(largeBody), largeBody), 200, largeBody, nil},
		"large":             {http.MethodGet, responseHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(largeBody), largeBody), 200, largeBody, nil},
		"compressed":        {http.MethodGet, responseHead + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", 200, "abc", map[string]string{"Content-Encoding": "gzip"}},
		"without content type": {
			http.MethodGet, "HTTP/1.1 200 OK\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 14\r\n\r\n<html></html>\n", 200, "<html></html>\n",
			map[string]string{"Content-Type": ""},
		},
		"forged and hop-by-hop headers": {
			http.MethodGet, responseHead + "Coltsfootflow-Outcome: not-run\r\nColtsfootflow-Reason: no-capacity\r\ncoltsfootflow-voucher: x\r\n" +
				"Coltsfootflow-Replayed: true\r\nConnection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n", 200, "",
			map[string]string{
				"Coltsfootflow-Outcome": "", "Coltsfootflow-Reason": "", "Coltsfootflow-Voucher": "", "Coltsfootflow-Replayed": "",
				"X-Hop": "", "Keep-Alive": "", "X-End": "2",
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			c.respondWith(respondRaw(tc.response))
			got := c.send(t, tc.method, "/ledger/wheels", "", withAPIKey())
			is.NoErr(got.err)
			is.Equal(got.status, tc.status)
			is.Equal(got.body, tc.body)
			for field, value := range tc.header {
				is.Equal(got.header.Get(field), value) // of a header of the response
			}
			is.Equal(got.header.Get(flow.HeaderRequestID), c.requests()[0].request.Header.Get(flow.HeaderRequestID))
		})
	}
}

// TestCallerDisconnects checks that a read is cancelled when its caller
// disconnects, and that a write is completed. With an idempotency key the
// response to the write is stored and replayed.
func TestCallerDisconnects(t *testing.T) {
	cases := map[string]struct {
		method string
		header http.Header
		runs   bool // is completed after the caller has disconnected
	}{
		"during a read":                       {http.MethodGet, withAPIKey(), false},
		"during a write":                      {http.MethodPost, withAPIKey(), true},
		"during a write with idempotency key": {http.MethodPost, withAPIKey("Idempotency-Key", uuid.Must(uuid.NewV7()).String()), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2)
			arrived, ended := make(chan struct{}, 8), make(chan bool, 8)
			c.respondWith(func(conn net.Conn, r *http.Request) bool {
				arrived <- struct{}{}
				_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				wasCut := !strings.Contains(fmt.Sprint(err), "timeout")
				ended <- !wasCut
				return !wasCut && respondCompletely(conn, r)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-arrived; cancel() }()
			got := c.sendWithin(ctx, t, tc.method, "/ledger/swaps", "", tc.header)
			is.True(got.err != nil)
			is.Equal(<-ended, tc.runs)
			time.Sleep(100 * time.Millisecond)
			is.Equal(len(c.requests()), 1)
			if tc.header.Get(flow.HeaderIdempotencyKey) == "" {
				return
			}
			retry := c.send(t, tc.method, "/ledger/swaps", "", tc.header)
			is.Equal(retry.status, http.StatusOK)
			is.Equal(retry.header.Get("Coltsfootflow-Replayed"), "true")
			is.Equal(len(c.requests()), 1)
		})
	}
}

func snapshotWithoutLease(c *cluster) *holder.Snapshot {
	snapshot := *c.holder.Load()
	snapshot.LeaseUntil = flow.Never
	return &snapshot
}
