// The response bodies of the stand-in. They let a caller check that a response
// belongs to its request and is complete.

package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// The headers of the stand-in.
const (
	// HeaderCallerRequest carries the caller's own id of its request; responses
	// echo it.
	HeaderCallerRequest = "X-Caller-Request"
	// HeaderCustomer carries the name of the customer that a request belongs to.
	HeaderCustomer = "Coltsfootflow-Customer"
	// HeaderDeadline carries the time left to respond, like "250ms". A request
	// that arrives with no time left is shed; one that exceeds it fails with 504.
	HeaderDeadline = "X-Deadline"
	// HeaderAPIKey is a header in which some callers send their key.
	HeaderAPIKey = "X-Api-Key"
)

// The query parameters of a request.
const (
	// ParameterSize is the number of bytes of padding to add to the response.
	ParameterSize = "size"
	// ParameterChunked requests a chunked response when it is not empty.
	ParameterChunked = "chunked"
)

// maxPaddingBytes bounds the padding of a response.
const maxPaddingBytes = 64 << 20

// digestPrefix begins the last line of a response body.
const digestPrefix = "sha-256:"

// paddingLine is repeated, and cut at the end, to pad a body.
const paddingLine = "................................................................"

// Echo is the first line of a response body and describes the request as the
// server received it. The padding follows, then a line with the SHA-256 of
// everything before it.
type Echo struct {
	CallerRequest string `json:"caller-request"`
	RequestID     string `json:"request-id"`
	Server        string `json:"server"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	RequestDigest string `json:"request-digest"` // hex SHA-256 of the request body
	PaddingBytes  int    `json:"padding-bytes"`
}

// body returns the complete body of the response.
func (e Echo) body() []byte {
	line, _ := json.Marshal(e) // strings and an integer always encode
	body := bytes.NewBuffer(make([]byte, 0, len(line)+e.PaddingBytes+128))
	body.Write(line)
	body.WriteByte('\n')
	for left := e.PaddingBytes; left > 0; left -= len(paddingLine) {
		body.WriteString(paddingLine[:min(left, len(paddingLine))])
	}
	body.WriteByte('\n')
	body.WriteString(digestPrefix + Digest(body.Bytes()) + "\n")
	return body.Bytes()
}

// ReadEcho returns the echo in a response body, and whether the body is complete
// and its digest matches.
func ReadEcho(body []byte) (echo Echo, complete bool) {
	line, _, found := bytes.Cut(body, []byte{'\n'})
	if !found || json.Unmarshal(line, &echo) != nil {
		return echo, false
	}
	last := bytes.LastIndex(body, []byte("\n"+digestPrefix))
	if last < 0 {
		return echo, false
	}
	want := digestPrefix + Digest(body[:last+1]) + "\n"
	return echo, string(body[last+1:]) == want
}

// Digest returns the hex SHA-256 of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
