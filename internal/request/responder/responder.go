// Package responder writes HTTP responses to callers and to ingresses: the responses
// of backend servers, and the responses to refused requests. A backend server's
// response that is truncated is never passed on as if it were complete.
package responder

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

// Error is the class of errors in reading and writing responses.
var Error = errs.Class("answer")

// problemType is the media type of problem details (RFC 9457).
const problemType = "application/problem+json"

// problemPrefix is the prefix of a problem's type. The reason follows it.
const problemPrefix = "urn:coltsfootflow:reason:"

// Problem is the body of a response to a refused request (RFC 9457).
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

// WriteRefusal writes the problem of a refusal as the response to a request. It omits
// the refusal's detail, which may name hosts. Retry-After is in whole seconds.
func WriteRefusal(w http.ResponseWriter, requestID string, refusal *flow.Refusal) {
	row := rowOf(refusal)
	setRefusalHeader(w.Header(), requestID, refusal, row)
	if seconds := retryAfter(refusal, row); seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(problemOf(requestID, refusal, row))
}

// BufferLimit is the size in bytes up to which a sidecar reads the whole response
// before it passes on any of it, so that a truncated response can be replaced.
const BufferLimit = 1 << 20

// minRetryAfter keeps callers from retrying immediately.
const minRetryAfter = 200 * time.Millisecond

// RefusalResponse returns the response that WriteRefusal writes, for callers that are
// not served by net/http. If the status is 503 or 429, Retry-After is retryAfter, the
// time until there may be a slot or a token, in seconds with two decimals, and at least
// minRetryAfter.
func RefusalResponse(requestID string, refusal *flow.Refusal, retryAfter time.Duration) *http.Response {
	row := rowOf(refusal)
	response := &http.Response{StatusCode: row.Status, Header: http.Header{}}
	setRefusalHeader(response.Header, requestID, refusal, row)
	if row.Status == http.StatusServiceUnavailable || row.Status == http.StatusTooManyRequests {
		response.Header.Set("Retry-After", strconv.FormatFloat(max(retryAfter, minRetryAfter).Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(problemOf(requestID, refusal, row))
	if err != nil {
		body = nil // cannot happen: every field of a problem can be encoded
	}
	response.ContentLength = int64(len(body))
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response
}

// rowOf returns the table row of the refusal's reason. An unknown reason is treated as
// server-failed.
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

// retryAfter returns the seconds after which a retry may succeed, or 0 if a retry
// does not help.
func retryAfter(refusal *flow.Refusal, row flow.ReasonRow) int {
	if refusal.RetryAfter == 0 && row.Status == http.StatusServiceUnavailable {
		return 1
	}
	return refusal.RetryAfter
}

// Response is a backend server's response that is passed on to a caller.
type Response struct {
	Status   int
	Header   http.Header
	Buffered []byte        // the whole body, or the first part of it if Rest is set
	Rest     io.ReadCloser // the unread part of the body; nil if Buffered is the whole body
	Length   int64         // of the body in bytes; -1 if unknown or if there is no body
	Held     int64         // bytes that ReadResponseHeld has taken
}

// SmallLimit is the size in bytes up to which a response of unknown length is read before
// its buffer is taken to be as large as the limit.
const SmallLimit = 16 << 10

// ReadResponseHeld is ReadResponse for backend servers that may end a body by closing the
// connection; a reset of the connection is an error. It calls take before it buffers bytes,
// and buffers no more than that allows: the Response then has a Rest earlier. The Response
// holds the bytes that were taken until the caller of ReadResponseHeld gives them back.
func ReadResponseHeld(response *http.Response, limit int, take func(bytes int64) bool) (*Response, error) {
	result := &Response{Status: response.StatusCode, Header: response.Header, Length: -1}
	if !mayHaveBody(response) {
		_ = response.Body.Close()
		return result, nil
	}
	if response.ContentLength < 0 && !response.ProtoAtLeast(1, 1) {
		// net/http removes the field for a coding of the body from an answer of HTTP/1.0.
		_ = response.Body.Close()
		return result, Error.New("the end of the body is not marked")
	}
	result.Length = response.ContentLength
	whole := min(int64(limit), max(response.ContentLength, 0))
	sizes := []int64{whole}
	if response.ContentLength < 0 {
		sizes = []int64{SmallLimit, int64(limit) - SmallLimit}
	}
	var content bytes.Buffer
	for i, size := range sizes {
		if size > 0 && !take(size) {
			break
		}
		result.Held += size
		if i > 0 || response.ContentLength > 0 {
			content.Grow(int(size) + bytes.MinRead) // room for the read that returns io.EOF
		}
		if _, err := io.CopyN(&content, response.Body, size); err != nil {
			return endOfBuffered(result, response, content.Bytes(), err)
		}
	}
	result.Buffered = content.Bytes()
	if response.ContentLength >= 0 && response.ContentLength == int64(len(result.Buffered)) {
		// The transport needs the read that returns io.EOF to use the connection again.
		_, err := io.CopyN(io.Discard, response.Body, 1)
		return endOfBuffered(result, response, result.Buffered, err)
	}
	result.Rest = response.Body
	return result, nil
}

// endOfBuffered returns a response whose body has ended, with io.EOF if it is complete.
func endOfBuffered(result *Response, response *http.Response, content []byte, err error) (*Response, error) {
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) {
		return result, Error.Wrap(err)
	}
	result.Buffered, result.Length = content, int64(len(content))
	return result, nil
}

// ReadResponse reads up to limit bytes of a response's body. If the body is longer,
// the Response has a Rest to be read. It is an error if the body is truncated, or if
// nothing marks its end, since then a truncated body cannot be recognized.
func ReadResponse(response *http.Response, limit int) (*Response, error) {
	result := &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Length: -1,
	}
	if !mayHaveBody(response) {
		_ = response.Body.Close()
		return result, nil
	}
	if response.ContentLength < 0 && !isChunked(response) {
		_ = response.Body.Close()
		return nil, Error.New("the end of the body is not marked")
	}
	var content bytes.Buffer
	result.Length = response.ContentLength
	if response.ContentLength > 0 && response.ContentLength <= int64(limit) {
		content.Grow(int(response.ContentLength) + bytes.MinRead) // room for the read that returns io.EOF
	}
	_, err := io.CopyN(&content, response.Body, int64(limit)+1)
	result.Buffered = content.Bytes()
	if err == nil {
		result.Rest = response.Body
		return result, nil
	}
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) {
		return nil, Error.Wrap(err)
	}
	result.Length = int64(len(result.Buffered))
	return result, nil
}

// isChunked reports whether the body is chunked, so that its end is marked even though
// its length is unknown.
func isChunked(response *http.Response) bool {
	for _, coding := range response.TransferEncoding {
		if coding == "chunked" {
			return true
		}
	}
	return false
}

// Close closes the unread rest of the body, if there is one.
func (r *Response) Close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

// Write writes the response and closes it. At the end it calls onEnd with the error of
// reading the rest of the body from the backend server, or nil. If reading or writing
// failed, it then panics with http.ErrAbortHandler, which closes the connection, so that
// the receiver cannot mistake a truncated body for a complete one.
func (r *Response) Write(w http.ResponseWriter, onEnd func(readErr error)) {
	defer r.Close()
	copyHeader(w.Header(), r.Header)
	if r.Header.Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // keeps net/http from guessing one
	}
	if r.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	var readErr, writeErr error
	if len(r.Buffered) > 0 {
		_, writeErr = w.Write(r.Buffered)
	}
	if writeErr == nil && r.Rest != nil {
		readErr, writeErr = copyRest(w, r.Rest)
	}
	onEnd(readErr)
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

const (
	// copyBufferSize is the size in bytes of the chunks in which a body is streamed.
	copyBufferSize = 32 << 10
	// stallTimeout is the write timeout for one chunk, for receivers that stop
	// reading.
	stallTimeout = 30 * time.Second
)

// copyRest streams the rest of a body and flushes each chunk. It returns the error of
// reading or of writing that ended it early, if any.
func copyRest(w http.ResponseWriter, rest io.Reader) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, writeErr = w.Write(buffer[:n]); writeErr != nil {
				return nil, Error.Wrap(writeErr)
			}
			if writeErr = controller.Flush(); writeErr != nil {
				return nil, Error.Wrap(writeErr)
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

// mayHaveBody reports whether a response may have a body (RFC 9110, section 6.4.1).
func mayHaveBody(response *http.Response) bool {
	method := ""
	if response.Request != nil {
		method = response.Request.Method
	}
	return !HasNoBody(method, response.StatusCode)
}

// HasNoBody reports whether a response with a status to a request with a method has no
// body.
func HasNoBody(method string, status int) bool {
	return method == http.MethodHead || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}
