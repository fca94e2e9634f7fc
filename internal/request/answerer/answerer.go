// Package answerer writes answers to callers and to ingresses: those of
// backend servers, whole or not at all, and coltsfootflow's own.
package answerer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Error is the class of errors of answers.
var Error = errs.Class("answer")

// problemType is the media type of problem details (RFC 9457).
const problemType = "application/problem+json"

// problemPrefix begins the type of each problem; the reason follows.
const problemPrefix = "urn:coltsfootflow:reason:"

// Problem is the body of an answer of coltsfootflow's own (RFC 9457).
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Outcome   flow.Outcome `json:"outcome"`
	Reason    flow.Reason  `json:"reason"`
	Advice    string       `json:"advice"`
	RequestID string       `json:"request-id,omitempty"`
}

// WriteRefusal answers a request with the problem of a refusal. The detail is
// not shown, since it may name hosts.
func WriteRefusal(w http.ResponseWriter, requestID string, refusal *flow.Refusal) {
	row := rowOf(refusal)
	setRefusalHeader(w.Header(), requestID, refusal, row)
	if seconds := retryAfter(refusal, row); seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(problemOf(requestID, refusal, row))
}

// BufferSize is the size in bytes up to which a sidecar collects an answer whole
// before any of it is passed on, so that a broken one can be replaced.
const BufferSize = 1 << 20

// leastRetryAfter keeps callers from asking again at once.
const leastRetryAfter = 200 * time.Millisecond

// Refusal is WriteRefusal for callers that are not served by net/http. A refusal
// for a lack of room or tokens says, in seconds with fractions, when there may
// be some.
func Refusal(requestID string, refusal *flow.Refusal, retryAfter time.Duration) *http.Response {
	row := rowOf(refusal)
	response := &http.Response{StatusCode: row.Status, Header: http.Header{}}
	setRefusalHeader(response.Header, requestID, refusal, row)
	if row.Status == http.StatusServiceUnavailable || row.Status == http.StatusTooManyRequests {
		response.Header.Set("Retry-After", strconv.FormatFloat(max(retryAfter, leastRetryAfter).Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(problemOf(requestID, refusal, row))
	if err != nil {
		body = nil // a problem holds nothing that JSON lacks
	}
	response.ContentLength = int64(len(body))
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response
}

func rowOf(refusal *flow.Refusal) flow.ReasonRow {
	row, ok := flow.LookupReason(refusal.Reason)
	if !ok {
		row, _ = flow.LookupReason(flow.ReasonServerFailed)
	}
	return row
}

func setRefusalHeader(header http.Header, requestID string, refusal *flow.Refusal, row flow.ReasonRow) {
	header.Set("Content-Type", problemType)
	header.Set("Cache-Control", "no-store")
	header.Set(flow.HeaderOutcome, string(row.Outcome))
	header.Set(flow.HeaderReason, string(row.Reason))
	header.Set(flow.HeaderRequestID, requestID)
	if row.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
}

func problemOf(requestID string, refusal *flow.Refusal, row flow.ReasonRow) Problem {
	return Problem{
		Type:      problemPrefix + string(row.Reason),
		Title:     row.Title,
		Status:    row.Status,
		Outcome:   row.Outcome,
		Reason:    row.Reason,
		Advice:    row.Advice,
		RequestID: requestID,
	}
}

// retryAfter returns the seconds after which it is worth asking again, or 0
// when asking again does not help.
func retryAfter(refusal *flow.Refusal, row flow.ReasonRow) int {
	if refusal.RetryAfter == 0 && row.Status == http.StatusServiceUnavailable {
		return 1
	}
	return refusal.RetryAfter
}

// -----------------------------------------------------------------------------

// Answer is a backend server's answer on its way to a caller.
type Answer struct {
	Status  int
	Header  http.Header
	Content []byte        // the whole body, or its beginning when Rest is set
	Rest    io.ReadCloser // the part of the body that was not read; nil when Content is whole
	Length  int64         // bytes of the body; -1 when unknown or when there is none
}

// Collect reads the body of a response up to limit bytes. A body that ends
// early is an error. A longer one is returned with the rest still to be read.
func Collect(response *http.Response, limit int) (*Answer, error) {
	return collect(response, limit, false)
}

// CollectUntilClose is Collect for backend servers that may end a body by
// closing the connection. One that is reset is an error.
func CollectUntilClose(response *http.Response, limit int) (*Answer, error) {
	return collect(response, limit, true)
}

func collect(response *http.Response, limit int, untilClose bool) (*Answer, error) {
	answer := &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: -1,
	}
	if !mayHaveBody(response) {
		_ = response.Body.Close()
		return answer, nil
	}
	if response.ContentLength < 0 && !untilClose && !delimited(response) {
		_ = response.Body.Close()
		return nil, Error.New("the end of the body is not marked")
	}
	var content bytes.Buffer
	answer.Length = response.ContentLength
	if response.ContentLength > 0 && response.ContentLength <= int64(limit) {
		content.Grow(int(response.ContentLength) + bytes.MinRead) // the end is found by one more read
	}
	_, err := io.CopyN(&content, response.Body, int64(limit)+1)
	answer.Content = content.Bytes()
	if err == nil {
		answer.Rest = response.Body
		return answer, nil
	}
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) {
		return nil, Error.Wrap(err)
	}
	answer.Length = int64(len(answer.Content))
	return answer, nil
}

// delimited reports whether the end of a body of unknown length is marked on
// the wire, so that a cut can be told from the end.
func delimited(response *http.Response) bool {
	for _, coding := range response.TransferEncoding {
		if coding == "chunked" {
			return true
		}
	}
	return false
}

// Close gives up the rest of the answer.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Write sends the answer. If the rest of the body is cut short after the head
// went out, it panics with http.ErrAbortHandler, which breaks the connection,
// so that the receiver cannot take what came for the whole. Before that, ended
// is told why the backend server's answer ended early, or nil.
func (a *Answer) Write(w http.ResponseWriter, ended func(cut error)) {
	defer a.Close()
	copyHeader(w.Header(), a.Header)
	if a.Header.Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // keeps the HTTP server from guessing one
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	var cut, broken error
	if len(a.Content) > 0 {
		_, broken = w.Write(a.Content)
	}
	if broken == nil && a.Rest != nil {
		cut, broken = copyRest(w, a.Rest)
	}
	ended(cut)
	if cut != nil || broken != nil {
		panic(http.ErrAbortHandler)
	}
}

const (
	// copyBufferSize is the size of a piece of a streamed body in bytes.
	copyBufferSize = 32 << 10
	// stallTimeout bounds the writing of one piece to a receiver that does not
	// read.
	stallTimeout = 30 * time.Second
)

// copyRest streams the rest of a body, sending on each piece as it comes. It
// returns why reading ended early, and why writing did.
func copyRest(w http.ResponseWriter, rest io.Reader) (cut, broken error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, broken = w.Write(buffer[:n]); broken != nil {
				return nil, Error.Wrap(broken)
			}
			if broken = controller.Flush(); broken != nil {
				return nil, Error.Wrap(broken)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return Error.Wrap(err), nil
		}
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// mayHaveBody reports whether a response can have a body at all (RFC 9110,
// section 6.4.1).
func mayHaveBody(response *http.Response) bool {
	method := ""
	if response.Request != nil {
		method = response.Request.Method
	}
	return !NoBody(method, response.StatusCode)
}

// NoBody reports whether the answer to a method with a status has no body.
func NoBody(method string, status int) bool {
	return method == http.MethodHead || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}
