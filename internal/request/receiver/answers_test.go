package receiver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// fault is what a backend server does wrong, and what a caller of a request
// that is not idempotent must get.
type fault struct {
	script  script
	outcome flow.Outcome // flow.OutcomeAnswered for the backend server's answer, whole
	reason  flow.Reason
	broken  bool // the caller's connection breaks, with the head of the answer out
}

func write(parts ...string) script {
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

func reset(conn net.Conn, _ *http.Request) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

func silent(conn net.Conn, _ *http.Request) bool {
	_, _ = conn.Read(make([]byte, 1)) // until the other end gives up
	return false
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nColtsfootflow-Request-Id: ID\r\n"
	shedHead   = "HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
)

var large = strings.Repeat("x", 8*answerBuffer)

var faults = map[string]fault{
	"sound":                    {script: sound, outcome: flow.OutcomeAnswered},
	"closes before the answer": {script: write(), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"resets":                   {script: reset, outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"closes in the head":       {script: write(answerHead), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"shorter than its length":  {script: write(answerHead, "Content-Length: 20\r\n\r\nshort"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"chunks without an end":    {script: write(answerHead, chunked, "5\r\nshort\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"end not marked":           {script: write(answerHead, "Connection: close\r\n\r\nshort"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"of an older protocol":     {script: write("HTTP/1.0 200 OK\r\nColtsfootflow-Request-Id: ID\r\n\r\nshort"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerShort},
	"for another request":      {script: write("HTTP/1.1 200 OK\r\nColtsfootflow-Request-Id: another\r\nContent-Length: 2\r\n\r\nno"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"for no request":           {script: write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"two lengths":              {script: write(answerHead, "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno"), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"no HTTP":                  {script: write("nonsense\r\n\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonServerFailed},
	"another protocol":         {script: write("HTTP/1.1 101 Switching Protocols\r\nColtsfootflow-Request-Id: ID\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nbytes"), outcome: flow.OutcomeUnknown},
	"sheds":                    {script: write(shedHead, "\r\n"), outcome: flow.OutcomeNotRun, reason: flow.ReasonServerShed},
	"sheds another request":    {script: write(shedHead, "Coltsfootflow-Request-Id: another\r\n\r\n"), outcome: flow.OutcomeUnknown, reason: flow.ReasonAnswerForeign},
	"fails":                    {script: write("HTTP/1.1 500 Oh\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno"), outcome: flow.OutcomeAnswered},
	"silent":                   {script: silent, outcome: flow.OutcomeUnknown, reason: flow.ReasonTimeout},
	"large and short":          {script: write(answerHead, fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(large)), large), broken: true},
	"large, chunks cut":        {script: write(answerHead, chunked, fmt.Sprintf("%x\r\n%s\r\n", len(large), large)), broken: true},
	"large, cut in a chunk":    {script: write(answerHead, chunked, fmt.Sprintf("%x\r\n%s", 2*len(large), large)), broken: true},
}

func TestWriteUnderFaultsOfTheBackendServer(t *testing.T) {
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 2)
			w.play(tc.script)
			got := w.ask(t, http.MethodPost, "/ledger/swaps", "a swap", withKey())
			if tc.outcome != flow.OutcomeNotRun {
				is.Equal(len(w.requests()), 1) // it ran, and only once
			}
			if tc.broken {
				is.True(got.err != nil) // a short answer must not look whole
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

// A read is asked of another backend server, and its caller gets that one's
// answer whole, unless bytes of the first went out.
func TestReadUnderFaultsOfTheBackendServer(t *testing.T) {
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 2)
			var first atomic.Bool
			w.play(func(conn net.Conn, r *http.Request) bool {
				if first.CompareAndSwap(false, true) {
					return tc.script(conn, r)
				}
				return sound(conn, r)
			})
			got := w.ask(t, http.MethodGet, "/ledger/wheels", "", withKey())
			if tc.broken {
				is.True(got.err != nil)
				return
			}
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, soundBody)
		})
	}
}

// The caller of a request that may have run is not told that it did not, also
// when a later attempt of it was refused.
func TestRefusedRetryAfterARunIsNotCalledNotRun(t *testing.T) {
	ran := map[string]script{
		"no answer":   write(),
		"short":       write(answerHead, "Content-Length: 20\r\n\r\nshort"),
		"an error":    write("HTTP/1.1 500 Oh\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno"),
		"another's":   write("HTTP/1.1 200 OK\r\nColtsfootflow-Request-Id: another\r\nContent-Length: 2\r\n\r\nno"),
		"two lengths": write(answerHead, "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno"),
	}
	refusals := map[string]func(w *world){
		"shed":     func(w *world) { w.play(write(shedHead, "\r\n")) },
		"no rate":  func(w *world) { w.noRate.Store(true) },
		"no lease": func(w *world) { w.holder.Store(withoutLease(w)) },
	}
	for ranName, run := range ran {
		for refusalName, refuse := range refusals {
			t.Run(ranName+" and then "+refusalName, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newWorld(t, 2)
				w.play(func(conn net.Conn, r *http.Request) bool {
					refuse(w)
					return run(conn, r)
				})
				got := w.ask(t, http.MethodGet, "/ledger/wheels", "", withKey())
				is.NoErr(got.err)
				is.True(len(w.requests()) > 0)
				is.True(got.outcome != flow.OutcomeNotRun) // the first attempt ran
			})
		}
	}
}

// A backend server that answers one request twice must not have the second
// answer taken for that of the next request.
func TestSecondAnswerOnAConnection(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.play(func(conn net.Conn, r *http.Request) bool {
		sound(conn, r)
		return sound(conn, r)
	})
	for range 20 {
		got := w.ask(t, http.MethodPost, "/ledger/swaps", "a swap", withKey())
		is.NoErr(got.err)
		is.True(got.status == http.StatusOK || got.outcome != "")
	}
	ids := map[string]bool{}
	for _, s := range w.requests() {
		id := s.request.Header.Get(flow.HeaderRequestID)
		is.True(!ids[id]) // no request is sent twice
		ids[id] = true
	}
}

// An HTTP transport repeats by itself what it takes for idempotent, when the
// other end closes a connection that was used before. Nothing of ours may.
func TestClosedConnectionsMakeNoRequestRunTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for name, header := range map[string]http.Header{
			"plain": withKey(),
			"keyed": withKey("Idempotency-Key", uuid.Must(uuid.NewV7()).String(), "X-Idempotency-Key", "1"),
		} {
			for _, body := range []string{"", "a swap"} {
				t.Run(fmt.Sprintf("%s %s %q", method, name, body), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					w := newWorld(t, 1)
					is.Equal(w.ask(t, http.MethodGet, "/ledger/first", "", withKey()).status, http.StatusOK)
					w.play(write())
					got := w.ask(t, method, "/ledger/second", body, header)
					is.NoErr(got.err)
					is.Equal(got.outcome, flow.OutcomeUnknown)
					is.Equal(len(w.requests()), 2)
				})
			}
		}
	}
}

// A caller of HTTP/1.0 has no chunks by which to tell a cut from the end.
func TestShortAnswerToAnOldCallerDoesNotLookWhole(t *testing.T) {
	for name, fault := range faults {
		if !fault.broken {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 1)
			w.play(fault.script)
			conn, err := net.Dial("tcp", w.addr)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = fmt.Fprintf(conn, "GET /ledger/manual HTTP/1.0\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", keyOfShop)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // it broke at once
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			is.True(err != nil || flow.Outcome(response.Header.Get(flow.HeaderOutcome)) == flow.OutcomeUnknown)
		})
	}
}

func TestAnswersPassUntouched(t *testing.T) {
	cases := map[string]struct {
		method, answer string
		status         int
		body           string
		header         map[string]string // "" for a header that must not be there
	}{
		"head":         {http.MethodHead, answerHead + "Content-Length: 1234\r\n\r\n", 200, "", map[string]string{"Content-Length": "1234"}},
		"no content":   {http.MethodPost, "HTTP/1.1 204 No Content\r\nColtsfootflow-Request-Id: ID\r\nX-A: b\r\n\r\n", 204, "", map[string]string{"X-A": "b"}},
		"not modified": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nColtsfootflow-Request-Id: ID\r\nEtag: \"v1\"\r\n\r\n", 304, "", map[string]string{"Etag": `"v1"`}},
		"a redirect":   {http.MethodGet, "HTTP/1.1 302 Found\r\nColtsfootflow-Request-Id: ID\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", 302, "", map[string]string{"Location": "/elsewhere"}},
		"chunks":       {http.MethodGet, answerHead + chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 200, "abcde", map[string]string{"Content-Length": "5"}},
		"large chunks": {http.MethodGet, answerHead + chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(large), large), 200, large, nil},
		"large":        {http.MethodGet, answerHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large), large), 200, large, nil},
		"compressed":   {http.MethodGet, answerHead + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", 200, "abc", map[string]string{"Content-Encoding": "gzip"}},
		"without type": {
			http.MethodGet, "HTTP/1.1 200 OK\r\nColtsfootflow-Request-Id: ID\r\nContent-Length: 14\r\n\r\n<html></html>\n", 200, "<html></html>\n",
			map[string]string{"Content-Type": ""},
		},
		"forged and of the connection": {
			http.MethodGet, answerHead + "Coltsfootflow-Outcome: not-run\r\nColtsfootflow-Reason: no-capacity\r\ncoltsfootflow-voucher: x\r\n" +
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
			w := newWorld(t, 1)
			w.play(write(tc.answer))
			got := w.ask(t, tc.method, "/ledger/wheels", "", withKey())
			is.NoErr(got.err)
			is.Equal(got.status, tc.status)
			is.Equal(got.body, tc.body)
			for field, value := range tc.header {
				is.Equal(got.header.Get(field), value) // of a header of the answer
			}
			is.Equal(got.header.Get(flow.HeaderRequestID), w.requests()[0].request.Header.Get(flow.HeaderRequestID))
		})
	}
}

// -----------------------------------------------------------------------------

func TestCallerGoesAway(t *testing.T) {
	cases := map[string]struct {
		method string
		header http.Header
		runs   bool // to its end, though the caller is gone
	}{
		"while a read runs":        {http.MethodGet, withKey(), false},
		"while a write runs":       {http.MethodPost, withKey(), true},
		"while a keyed write runs": {http.MethodPost, withKey("Idempotency-Key", uuid.Must(uuid.NewV7()).String()), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 2)
			arrived, ended := make(chan struct{}, 8), make(chan bool, 8)
			w.play(func(conn net.Conn, r *http.Request) bool {
				arrived <- struct{}{}
				_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				wasCut := !strings.Contains(fmt.Sprint(err), "timeout")
				ended <- !wasCut
				return !wasCut && sound(conn, r)
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-arrived; cancel() }()
			got := w.askWithin(ctx, t, tc.method, "/ledger/swaps", "", tc.header)
			is.True(got.err != nil)
			is.Equal(<-ended, tc.runs)
			time.Sleep(100 * time.Millisecond)
			is.Equal(len(w.requests()), 1)
			if tc.header.Get(flow.HeaderIdempotencyKey) == "" {
				return
			}
			again := w.ask(t, tc.method, "/ledger/swaps", "", tc.header)
			is.Equal(again.status, http.StatusOK)
			is.Equal(again.header.Get("Coltsfootflow-Replayed"), "true")
			is.Equal(len(w.requests()), 1)
		})
	}
}

func withoutLease(w *world) *holder.Snapshot {
	snapshot := *w.holder.Load()
	snapshot.LeaseUntil = flow.Never
	return &snapshot
}
