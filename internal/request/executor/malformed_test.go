package executor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestMalformedAnswerIsRefused guards against callers that get an answer whose head or trailer
// is none: net/http keeps a field whose name holds a blank as a field of that name, so that a
// length, a coding or an encoding that it gives is not seen.
func TestMalformedAnswerIsRefused(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n"
		rest = "Content-Length: 4\r\n\r\ngood"
	)
	status := func(line string) string {
		return "HTTP/1.1 " + line + "\r\nRequest-Id: %s\r\nSeal: s\r\n" + rest
	}
	cases := map[string]string{
		"blank before the colon":              head + "X-Odd : 1\r\n" + rest,
		"blank in a name":                     head + "X Odd: 1\r\n" + rest,
		"tab before the colon":                head + "X-Odd\t: 1\r\n" + rest,
		"control byte in a name":              head + "X\x01Odd: 1\r\n" + rest,
		"delete byte in a name":               head + "X\x7fOdd: 1\r\n" + rest,
		"byte above ASCII in a name":          head + "X\xe9Odd: 1\r\n" + rest,
		"delimiter in a name":                 head + "X(Odd): 1\r\n" + rest,
		"line without a colon":                head + "X-Odd\r\n" + rest,
		"control byte in a value":             head + "X-Odd: 1\x01\r\n" + rest,
		"blank after Content-Length":          head + "Content-Length : 4\r\n\r\ngood and more",
		"blank after Transfer-Encoding":       head + "Transfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"blank after Content-Encoding":        head + "Content-Encoding : gzip\r\n" + rest,
		"blank after a second length":         head + "Content-Length : 2\r\n" + rest,
		"blank in a refusal":                  "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"blank in a failure":                  "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nSeal: s\r\nX Odd: 1\r\n" + rest,
		"blank in an interim answer":          "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + head + rest,
		"blank in the trailer":                head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Odd: 1\r\n\r\n",
		"blank in a trailer that is expected": head + "Trailer: X-Odd\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX-Odd : 1\r\n\r\n",
		"control byte in the trailer":         head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX\x01Odd: 1\r\n\r\n",
		"trailer without its end":             head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX-Odd: 1\r\nCUT",
		"status 000":                          status("000 OK"),
		"status 099":                          status("099 OK"),
		"status +20":                          status("+20 OK"),
		"status 600":                          status("600 OK"),
		"status 999":                          status("999 OK"),
		"status 20":                           status("20 OK"),
		"status 2000":                         status("2000 OK"),
		"status 20x":                          status("20x OK"),
		"status 101":                          status("101 Switching Protocols"),
		"HTTP/2.0":                            "HTTP/2.0 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n" + rest,
		"HTTP/0.9":                            "HTTP/0.9 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n" + rest,
		"chunks by HTTP/1.0":                  "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\nCUT",
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackendServer(t, map[string]string{"/": response})
			f := newFixture(t, b.address, 2)
			offer := newOffer()
			offer.Repeatable, offer.Forced = true, true // also once the server is suspected of failing
			offer.TimeLeft = 400 * time.Millisecond
			for range 2 {
				got, refusal := f.run(t.Context(), offer, "/")
				is.Equal(got, "")
				is.True(refusal != nil)
				is.True(!refusal.NotRun())
				t.Logf("%s: %s", refusal.Reason, refusal.Detail)
				is.True(refusal.Reason != flow.ReasonTimeout)
				is.True(refusal.Reason != flow.ReasonAnswerForeign) // it is no answer to another request
			}
			got, refusal := f.run(t.Context(), offer, "/good")
			is.True(refusal == nil)
			is.Equal(got, "200 good")
			is.Equal(b.requests.Load(), int64(3)) // each was sent once
			is.Equal(f.Status().Running, 0)
		})
	}
}
