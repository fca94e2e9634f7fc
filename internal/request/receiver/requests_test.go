package receiver_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// raw writes bytes to the ingress and reads one answer; an error means that the
// connection was closed without one.
func (w *world) raw(t *testing.T, method, request string) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
}

const authorized = "Authorization: Bearer " + keyOfShop + "\r\n"

// No backend server sees a key, wherever a caller puts it, and what has no key
// of its own does not run.
func TestKeysInEveryPlace(t *testing.T) {
	cases := map[string]struct {
		target  string
		header  string
		refused flow.Reason // "" when it is to run for the shop, or for nobody on the open route
	}{
		"bearer":                            {"/ledger/x", authorized, ""},
		"bearer in capitals":                {"/ledger/x", "AUTHORIZATION: BEARER " + keyOfShop + "\r\n", ""},
		"API key":                           {"/ledger/x", "x-api-key: " + keyOfShop + "\r\n", ""},
		"both the same":                     {"/ledger/x", authorized + "X-Api-Key: " + keyOfShop + "\r\n", ""},
		"two customers' keys":               {"/ledger/x", authorized + "X-Api-Key: " + keyOfSchool + "\r\n", flow.ReasonKeyUnknown},
		"two customers' keys as bearers":    {"/ledger/x", authorized + "Authorization: Bearer " + keyOfSchool + "\r\n", flow.ReasonKeyUnknown},
		"unknown":                           {"/ledger/x", "Authorization: Bearer unknown-key\r\n", flow.ReasonKeyUnknown},
		"none":                              {"/ledger/x", "", flow.ReasonKeyMissing},
		"basic":                             {"/ledger/x", "Authorization: Basic " + keyOfShop + "\r\n", flow.ReasonKeyMissing},
		"only a cookie":                     {"/ledger/x", "Cookie: key=" + keyOfShop + "\r\n", flow.ReasonKeyMissing},
		"also a cookie":                     {"/ledger/x", authorized + "Cookie: a=b; key=" + keyOfShop + "\r\n", ""},
		"also a referer":                    {"/ledger/x", authorized + "Referer: http://x/?key=" + keyOfShop + "\r\n", ""},
		"also the host":                     {"/ledger/x", authorized + "Host: " + keyOfShop + "\r\n", ""},
		"also a proxy's":                    {"/ledger/x", authorized + "Proxy-Authorization: Bearer " + keyOfShop + "\r\n", ""},
		"hidden by Connection":              {"/ledger/x", authorized + "Connection: Authorization\r\n", ""},
		"in a parameter":                    {"/ledger/x?k=" + keyOfShop, authorized, flow.ReasonKeyInURL},
		"in a parameter alone":              {"/ledger/x?k=" + keyOfShop, "", flow.ReasonKeyInURL},
		"in a parameter, escaped":           {"/ledger/x?k=key%2dof%2dshop", authorized, flow.ReasonKeyInURL},
		"within a parameter":                {"/ledger/x?k=Bearer+" + keyOfShop, authorized, flow.ReasonKeyInURL},
		"within a parameter, escaped":       {"/ledger/x?k=Bearer%20key%2dof%2dshop", authorized, flow.ReasonKeyInURL},
		"as a parameter's name":             {"/ledger/x?" + keyOfShop, authorized, flow.ReasonKeyInURL},
		"as a parameter's name, escaped":    {"/ledger/x?key%2dof%2dshop=1", authorized, flow.ReasonKeyInURL},
		"as a parameter's name alone":       {"/ledger/x?" + keyOfShop + "=1", "", flow.ReasonKeyInURL},
		"in a parameter named for keys":     {"/ledger/x?Api_Key=anything", authorized, flow.ReasonKeyInURL},
		"in the path":                       {"/ledger/" + keyOfShop + "/x", authorized, flow.ReasonKeyInURL},
		"in the path, escaped":              {"/ledger/key%2Dof%2Dshop", authorized, flow.ReasonKeyInURL},
		"another's in a parameter":          {"/ledger/x?k=" + keyOfSchool, authorized, flow.ReasonKeyInURL},
		"another's in a malformed query":    {"/ledger/x?a=%zz&k=" + keyOfSchool, authorized, flow.ReasonKeyInURL},
		"another's past a semicolon":        {"/ledger/x?a=1;b=2&k=" + keyOfSchool, authorized, flow.ReasonKeyInURL},
		"named for keys past a semicolon":   {"/ledger/x?a=1;b=2&api_key=anything", authorized, flow.ReasonKeyInURL},
		"named for keys with a semicolon":   {"/ledger/x?a=1;api_key=" + keyOfSchool, authorized, flow.ReasonKeyInURL},
		"open, none":                        {"/open/x", "", ""},
		"open, bearer":                      {"/open/x", authorized, ""},
		"open, in a parameter":              {"/open/x?k=" + keyOfShop, "", flow.ReasonKeyInURL},
		"open, as a parameter's name":       {"/open/x?" + keyOfShop + "=1", "", flow.ReasonKeyInURL},
		"open, in a parameter past a fault": {"/open/x?a=%zz&k=" + keyOfShop, "", flow.ReasonKeyInURL},
		"in the target's user":              {"http://" + keyOfShop + "@x/ledger/x", authorized, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 1)
			host := "Host: x\r\n"
			if strings.Contains(tc.header, "Host:") {
				host = ""
			}
			response, err := w.raw(t, http.MethodGet, "GET "+tc.target+" HTTP/1.1\r\n"+host+tc.header+"\r\n")
			is.NoErr(err)
			for _, s := range w.requests() {
				var whole bytes.Buffer
				is.NoErr(s.request.Write(&whole))
				decoded, _ := url.QueryUnescape(whole.String())
				for _, key := range []string{keyOfShop, keyOfSchool} {
					is.True(!strings.Contains(whole.String(), key)) // a backend server saw a key
					is.True(!strings.Contains(decoded, key))        // a backend server saw a key
				}
			}
			is.Equal(response.Header.Get(flow.HeaderReason), string(tc.refused))
			if tc.refused != "" {
				is.Equal(response.Header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
				is.Equal(len(w.requests()), 0)
				return
			}
			is.Equal(len(w.requests()), 1)
			customer := "shop"
			if strings.HasPrefix(tc.target, "/open") {
				customer = ""
			}
			is.Equal(w.requests()[0].request.Header.Get("Coltsfootflow-Customer"), customer)
		})
	}
}

// What a caller says in coltsfootflow's own headers, or in those of its
// connection, does not reach a backend server.
func TestCallersCannotForgeOwnHeaders(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	forged := strings.Join([]string{
		"Coltsfootflow-Permit: x", "coltsfootflow-customer: school", "COLTSFOOTFLOW-REQUEST-ID: forged", "Coltsfootflow-Voucher: x",
		"Coltsfootflow_Customer: school", "X-Deadline: 9h", "Connection: X-Hop, close", "X-Hop: 1", "Te: trailers", "Upgrade: h2c", "Keep-Alive: 1", "X-End: kept",
	}, "\r\n") + "\r\n"
	response, err := w.raw(t, http.MethodGet, "GET /ledger/x HTTP/1.1\r\nHost: y\r\n"+authorized+forged+"\r\n")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	got := w.requests()[0].request.Header
	is.Equal(got["Coltsfootflow-Customer"], []string{"shop"})
	is.Equal(len(got["Coltsfootflow-Request-Id"]), 1)
	is.True(got.Get(flow.HeaderRequestID) != "forged")
	left, err := time.ParseDuration(got.Get("X-Deadline"))
	is.NoErr(err)
	is.True(left <= time.Second)
	for _, name := range []string{"Coltsfootflow-Permit", "Coltsfootflow-Voucher", "X-Hop", "Te", "Upgrade", "Keep-Alive"} {
		is.Equal(got.Get(name), "") // of a header that came to the backend server
	}
	// Servers of the CGI tradition read both spellings as one name.
	is.Equal(got.Get("Coltsfootflow_Customer"), "")
	is.Equal(got.Get("X-End"), "kept")
}

func TestRequestsThatDoNotRun(t *testing.T) {
	tooLarge := strings.Repeat("x", bodyLimit+1)
	cases := map[string]struct {
		request string
		reason  flow.Reason // "" when the connection may be closed without an answer
	}{
		"body too large":             {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(tooLarge), tooLarge), flow.ReasonRequestTooLarge},
		"length too large":           {"Content-Length: 99999999999\r\n\r\n", flow.ReasonRequestTooLarge},
		"body too large, in chunks":  {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(tooLarge), tooLarge), flow.ReasonRequestTooLarge},
		"chunk malformed":            {"Transfer-Encoding: chunked\r\n\r\nzz\r\n", flow.ReasonRequestMalformed},
		"two idempotency keys":       {"Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", flow.ReasonIdempotencyKeyInvalid},
		"idempotency key not UUIDv7": {"Idempotency-Key: 4c0f7ab8-7d2a-4f4c-9d7e-0f1f2a3b4c5d\r\nContent-Length: 0\r\n\r\n", flow.ReasonIdempotencyKeyInvalid},
		"idempotency key from later": {"Idempotency-Key: ffffffff-ffff-7fff-bfff-ffffffffffff\r\nContent-Length: 0\r\n\r\n", flow.ReasonIdempotencyKeyInvalid},
		"length and chunks":          {"Content-Length: 3\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", ""},
		"two lengths":                {"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 1)
			response, err := w.raw(t, http.MethodPost, "POST /ledger/swaps HTTP/1.1\r\nHost: x\r\n"+authorized+tc.request)
			is.Equal(len(w.requests()), 0)
			if tc.reason == "" {
				return
			}
			is.NoErr(err)
			is.Equal(response.Header.Get(flow.HeaderReason), string(tc.reason))
			if tc.reason != flow.ReasonIdempotencyKeyInvalid {
				is.Equal(response.Header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
			}
		})
	}
}

// A body that is cut on its way does not run.
func TestBodyCutByItsCaller(t *testing.T) {
	for name, body := range map[string]string{
		"by its length": "Content-Length: 9\r\n\r\nhalf",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			conn, err := net.Dial("tcp", w.addr)
			is.NoErr(err)
			_, err = io.WriteString(conn, "POST /ledger/swaps HTTP/1.1\r\nHost: x\r\n"+authorized+body)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			_, _ = io.ReadAll(conn)
			is.NoErr(conn.Close())
			is.Equal(len(w.requests()), 0)
		})
	}
}

// A request with a long target runs, or is refused as not run.
func TestLongTargets(t *testing.T) {
	for _, length := range []int{1000, 2500, 3500, 8000, 30000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 2)
			got := w.ask(t, http.MethodPost, "/ledger/x?q="+strings.Repeat("a", length), "", withKey())
			is.NoErr(got.err)
			is.True(got.status == http.StatusOK || got.outcome == flow.OutcomeNotRun)
			is.True((got.status == http.StatusOK) == (len(w.requests()) == 1))
		})
	}
}
