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

// sendRaw writes bytes to the ingress and reads one response. It returns an
// error if the connection was closed without one.
func (c *cluster) sendRaw(t *testing.T, method, request string) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", c.addr)
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

const authorizationLine = "Authorization: Bearer " + keyOfShop + "\r\n"

// TestKeysNeverReachServers puts API keys into every part of a request: no
// backend server may see one, and a request without a valid key of its own must
// not run.
func TestKeysNeverReachServers(t *testing.T) {
	cases := map[string]struct {
		target  string
		header  string
		refused flow.Reason // "" if it must run: for customer shop, or for none on the open route
	}{
		"bearer token":                                 {"/ledger/x", authorizationLine, ""},
		"bearer token in capitals":                     {"/ledger/x", "AUTHORIZATION: BEARER " + keyOfShop + "\r\n", ""},
		"API key header":                               {"/ledger/x", "x-api-key: " + keyOfShop + "\r\n", ""},
		"same key in both headers":                     {"/ledger/x", authorizationLine + "X-Api-Key: " + keyOfShop + "\r\n", ""},
		"keys of two customers in both headers":        {"/ledger/x", authorizationLine + "X-Api-Key: " + keyOfSchool + "\r\n", flow.ReasonKeyUnknown},
		"keys of two customers as bearer tokens":       {"/ledger/x", authorizationLine + "Authorization: Bearer " + keyOfSchool + "\r\n", flow.ReasonKeyUnknown},
		"unknown key":                                  {"/ledger/x", "Authorization: Bearer unknown-key\r\n", flow.ReasonKeyUnknown},
		"no key":                                       {"/ledger/x", "", flow.ReasonKeyMissing},
		"basic authentication":                         {"/ledger/x", "Authorization: Basic " + keyOfShop + "\r\n", flow.ReasonKeyMissing},
		"key only in a cookie":                         {"/ledger/x", "Cookie: key=" + keyOfShop + "\r\n", flow.ReasonKeyMissing},
		"key also in a cookie":                         {"/ledger/x", authorizationLine + "Cookie: a=b; key=" + keyOfShop + "\r\n", ""},
		"key also in the referer":                      {"/ledger/x", authorizationLine + "Referer: http://x/?key=" + keyOfShop + "\r\n", ""},
		"key also as the host":                         {"/ledger/x", authorizationLine + "Host: " + keyOfShop + "\r\n", ""},
		"key also in Proxy-Authorization":              {"/ledger/x", authorizationLine + "Proxy-Authorization: Bearer " + keyOfShop + "\r\n", ""},
		"Authorization named in Connection":            {"/ledger/x", authorizationLine + "Connection: Authorization\r\n", ""},
		"key in a parameter":                           {"/ledger/x?k=" + keyOfShop, authorizationLine, flow.ReasonKeyInURL},
		"key only in a parameter":                      {"/ledger/x?k=" + keyOfShop, "", flow.ReasonKeyInURL},
		"escaped key in a parameter":                   {"/ledger/x?k=key%2dof%2dshop", authorizationLine, flow.ReasonKeyInURL},
		"key as a word of a parameter":                 {"/ledger/x?k=Bearer+" + keyOfShop, authorizationLine, flow.ReasonKeyInURL},
		"escaped key as a word of a parameter":         {"/ledger/x?k=Bearer%20key%2dof%2dshop", authorizationLine, flow.ReasonKeyInURL},
		"key as a parameter name":                      {"/ledger/x?" + keyOfShop, authorizationLine, flow.ReasonKeyInURL},
		"escaped key as a parameter name":              {"/ledger/x?key%2dof%2dshop=1", authorizationLine, flow.ReasonKeyInURL},
		"key only as a parameter name":                 {"/ledger/x?" + keyOfShop + "=1", "", flow.ReasonKeyInURL},
		"parameter with a reserved name":               {"/ledger/x?Api_Key=anything", authorizationLine, flow.ReasonKeyInURL},
		"key in the path":                              {"/ledger/" + keyOfShop + "/x", authorizationLine, flow.ReasonKeyInURL},
		"escaped key in the path":                      {"/ledger/key%2Dof%2Dshop", authorizationLine, flow.ReasonKeyInURL},
		"key of another customer in a parameter":       {"/ledger/x?k=" + keyOfSchool, authorizationLine, flow.ReasonKeyInURL},
		"key of another customer in a malformed query": {"/ledger/x?a=%zz&k=" + keyOfSchool, authorizationLine, flow.ReasonKeyInURL},
		"key of another customer after a semicolon":    {"/ledger/x?a=1;b=2&k=" + keyOfSchool, authorizationLine, flow.ReasonKeyInURL},
		"reserved name after a semicolon":              {"/ledger/x?a=1;b=2&api_key=anything", authorizationLine, flow.ReasonKeyInURL},
		"reserved name separated by a semicolon":       {"/ledger/x?a=1;api_key=" + keyOfSchool, authorizationLine, flow.ReasonKeyInURL},
		"open route, no key":                           {"/open/x", "", ""},
		"open route, bearer token":                     {"/open/x", authorizationLine, ""},
		"open route, key in a parameter":               {"/open/x?k=" + keyOfShop, "", flow.ReasonKeyInURL},
		"open route, key as a parameter name":          {"/open/x?" + keyOfShop + "=1", "", flow.ReasonKeyInURL},
		"open route, key in a malformed query":         {"/open/x?a=%zz&k=" + keyOfShop, "", flow.ReasonKeyInURL},
		"key as user of the target URL":                {"http://" + keyOfShop + "@x/ledger/x", authorizationLine, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			host := "Host: x\r\n"
			if strings.Contains(tc.header, "Host:") {
				host = ""
			}
			response, err := c.sendRaw(t, http.MethodGet, "GET "+tc.target+" HTTP/1.1\r\n"+host+tc.header+"\r\n")
			is.NoErr(err)
			for _, s := range c.requests() {
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
				is.Equal(len(c.requests()), 0)
				return
			}
			is.Equal(len(c.requests()), 1)
			customer := "shop"
			if strings.HasPrefix(tc.target, "/open") {
				customer = ""
			}
			is.Equal(c.requests()[0].request.Header.Get("Coltsfootflow-Customer"), customer)
		})
	}
}

// TestForgedAndHopByHopHeadersAreNotForwarded sends coltsfootflow's own headers
// and hop-by-hop headers: none of them may reach a backend server.
func TestForgedAndHopByHopHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	forged := strings.Join([]string{
		"Coltsfootflow-Permit: x", "coltsfootflow-customer: school", "COLTSFOOTFLOW-REQUEST-ID: forged", "Coltsfootflow-Voucher: x",
		"Coltsfootflow_Customer: school", "X-Deadline: 9h", "Connection: X-Hop, close", "X-Hop: 1", "Te: trailers", "Upgrade: h2c", "Keep-Alive: 1", "X-End: kept",
	}, "\r\n") + "\r\n"
	response, err := c.sendRaw(t, http.MethodGet, "GET /ledger/x HTTP/1.1\r\nHost: y\r\n"+authorizationLine+forged+"\r\n")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	got := c.requests()[0].request.Header
	is.Equal(got["Coltsfootflow-Customer"], []string{"shop"})
	is.Equal(len(got["Coltsfootflow-Request-Id"]), 1)
	is.True(got.Get(flow.HeaderRequestID) != "forged")
	left, err := time.ParseDuration(got.Get("X-Deadline"))
	is.NoErr(err)
	is.True(left <= time.Second)
	for _, name := range []string{"Coltsfootflow-Permit", "Coltsfootflow-Voucher", "X-Hop", "Te", "Upgrade", "Keep-Alive"} {
		is.Equal(got.Get(name), "") // of a header that the backend server received
	}
	// CGI-style servers map hyphens and underscores to the same variable.
	is.Equal(got.Get("Coltsfootflow_Customer"), "")
	is.Equal(got.Get("X-End"), "kept")
}

// TestInvalidRequestsDoNotRun checks that malformed and oversized requests are
// refused before a backend server gets them.
func TestInvalidRequestsDoNotRun(t *testing.T) {
	tooLarge := strings.Repeat("x", bodyLimit+1)
	cases := map[string]struct {
		request string
		reason  flow.Reason // "" if the connection may be closed without a response
	}{
		"body too large":                  {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(tooLarge), tooLarge), flow.ReasonRequestTooLarge},
		"content length too large":        {"Content-Length: 99999999999\r\n\r\n", flow.ReasonRequestTooLarge},
		"chunked body too large":          {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(tooLarge), tooLarge), flow.ReasonRequestTooLarge},
		"malformed chunk":                 {"Transfer-Encoding: chunked\r\n\r\nzz\r\n", flow.ReasonRequestMalformed},
		"two idempotency keys":            {"Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", flow.ReasonIdempotencyKeyInvalid},
		"idempotency key is not a UUIDv7": {"Idempotency-Key: 4c0f7ab8-7d2a-4f4c-9d7e-0f1f2a3b4c5d\r\nContent-Length: 0\r\n\r\n", flow.ReasonIdempotencyKeyInvalid},
		"idempotency key from the future": {"Idempotency-Key: ffffffff-ffff-7fff-bfff-ffffffffffff\r\nContent-Length: 0\r\n\r\n", flow.ReasonIdempotencyKeyInvalid},
		"content length and chunks":       {"Content-Length: 3\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", ""},
		"two content lengths":             {"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			response, err := c.sendRaw(t, http.MethodPost, "POST /ledger/swaps HTTP/1.1\r\nHost: x\r\n"+authorizationLine+tc.request)
			is.Equal(len(c.requests()), 0)
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

// TestCutBodyDoesNotRun sends only a part of a body: the request must not run.
func TestCutBodyDoesNotRun(t *testing.T) {
	for name, body := range map[string]string{
		"with content length": "Content-Length: 9\r\n\r\nhalf",
		"chunked":             "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1)
			conn, err := net.Dial("tcp", c.addr)
			is.NoErr(err)
			_, err = io.WriteString(conn, "POST /ledger/swaps HTTP/1.1\r\nHost: x\r\n"+authorizationLine+body)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			_, _ = io.ReadAll(conn)
			is.NoErr(conn.Close())
			is.Equal(len(c.requests()), 0)
		})
	}
}

// TestLongTargetRunsOrIsRefused checks that a request with a long target either
// runs or is refused as not run: its permit travels in a limited header.
func TestLongTargetRunsOrIsRefused(t *testing.T) {
	for _, length := range []int{1000, 2500, 3500, 8000, 30000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2)
			got := c.send(t, http.MethodPost, "/ledger/x?q="+strings.Repeat("a", length), "", withAPIKey())
			is.NoErr(got.err)
			is.True(got.status == http.StatusOK || got.outcome == flow.OutcomeNotRun)
			is.True((got.status == http.StatusOK) == (len(c.requests()) == 1))
		})
	}
}
