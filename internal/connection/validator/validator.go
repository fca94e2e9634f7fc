// Package validator checks whether what an HTTP client has read is a response. net/http
// accepts heads that the protocol doesn't: a field whose name holds a blank is kept under that name,
// so that a length or coding that it gives is not seen, and any number of three digits is a status.
package validator

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"

	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Error is the class of the errors of messages that are malformed.
var Error = errs.Class("malformed message")

// ReasonOf returns the reason to refuse a request after an error of its response: that the
// response is malformed, or the other one.
func ReasonOf(err error, other flow.Reason) flow.Reason {
	if Error.Has(err) {
		return flow.ReasonAnswerMalformed
	}
	return other
}

// tokenPunctuation are the characters of a token besides letters and digits (RFC 9110,
// section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// The statuses of final responses (RFC 9110, section 15).
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// CheckHead checks the head of a final response: its version, its status and the names of its
// fields.
func CheckHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return Error.New("version %q", response.Proto)
	}
	return CheckFields(response.StatusCode, response.Header)
}

// CheckFields checks the status of a final response and the names of its fields.
func CheckFields(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return Error.New("status %03d", status)
	}
	return CheckNames(header)
}

// CheckNames checks that the names of fields are tokens.
func CheckNames(header map[string][]string) error {
	for name := range header {
		if !isToken(name) {
			return Error.New("field name %q", name)
		}
	}
	return nil
}

func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte(tokenPunctuation, c) < 0 {
			return false
		}
	}
	return name != ""
}

// Transport is an http.RoundTripper that refuses malformed responses, interim ones and trailers
// included, and closes their connections.
type Transport struct {
	Base http.RoundTripper
}

// DefaultClient is http.DefaultClient with a Transport.
var DefaultClient = &http.Client{Transport: &Transport{Base: http.DefaultTransport}}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	exchange := &exchange{}
	response, err := t.Base.RoundTrip(request.WithContext(exchange.trace(request.Context())))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		exchange.closeConnection()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response, exchange: exchange}
	}
	return response, nil
}

// CloseIdleConnections closes those of the base, for http.Client.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// maxInterim limits the interim responses to one request.
const maxInterim = 32

// exchange is a request and its response on a connection.
type exchange struct {
	mu      sync.Mutex
	conn    net.Conn
	interim int // responses so far
}

// trace returns a context with which a transport reports the connection and interim responses.
func (e *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.conn = info.Conn
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return e.checkInterim(header) },
	})
}

// checkInterim checks an interim response. A transport that reports these doesn't limit them.
func (e *exchange) checkInterim(header textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.interim++; e.interim > maxInterim {
		return Error.New("more than %d interim responses", maxInterim)
	}
	return CheckNames(header)
}

// closeConnection closes the connection. Where one message ends and the next begins on it is in
// doubt.
func (e *exchange) closeConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// chunkedBody is a body that a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
	exchange *exchange
}

// Read implements io.Reader. It returns io.EOF only after a trailer that is well-formed.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckNames(b.response.Trailer); malformed != nil {
			b.exchange.closeConnection()
			return n, malformed
		}
	}
	return n, err
}
