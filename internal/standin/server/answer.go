// The answers of the stand-in, made so that a caller can check that an answer
// is its own and whole.

package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// The headers of the stand-in.
const (
	// HeaderCallerRequest carries the caller's own id of its request; answers
	// echo it.
	HeaderCallerRequest = "X-Caller-Request"
	// HeaderCustomer carries the customer for whom a request runs.
	HeaderCustomer = "Coltsfootflow-Customer"
	// HeaderDeadline carries the time left to answer, like "250ms". A request
	// without time left is shed; one that runs out of it stops with 504.
	HeaderDeadline = "X-Deadline"
	// HeaderAPIKey is where callers may put a key by habit.
	HeaderAPIKey = "X-Api-Key"
)

// The query parameters of a request.
const (
	// ParameterSize asks for an answer padded by so many bytes.
	ParameterSize = "size"
	// ParameterChunked asks for a chunked answer when it is not empty.
	ParameterChunked = "chunked"
)

// maxPaddingBytes bounds the padding of an answer.
const maxPaddingBytes = 64 << 20

// digestPrefix begins the last line of an answer's body.
const digestPrefix = "sha-256:"

// paddingLine is repeated to pad a body.
const paddingLine = "................................................................"

// Answer is the first line of an answer's body. Padding follows, and a line
// with the SHA-256 of all that went before.
type Answer struct {
	CallerRequest string `json:"caller-request"`
	RequestID     string `json:"request-id"`
	Server        string `json:"server"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	RequestDigest string `json:"request-digest"` // hex SHA-256 of the request's body
	PaddingBytes  int    `json:"padding-bytes"`
}

// body returns the whole body of an answer.
func (a Answer) body() []byte {
	line, _ := json.Marshal(a) // a struct of strings always encodes
	body := bytes.NewBuffer(make([]byte, 0, len(line)+a.PaddingBytes+128))
	body.Write(line)
	body.WriteByte('\n')
	for left := a.PaddingBytes; left > 0; left -= len(paddingLine) {
		body.WriteString(paddingLine[:min(left, len(paddingLine))])
	}
	body.WriteByte('\n')
	body.WriteString(digestPrefix + Digest(body.Bytes()) + "\n")
	return body.Bytes()
}

// ReadAnswer returns the answer in a body and whether the body is whole.
func ReadAnswer(body []byte) (answer Answer, whole bool) {
	line, _, found := bytes.Cut(body, []byte{'\n'})
	if !found || json.Unmarshal(line, &answer) != nil {
		return answer, false
	}
	last := bytes.LastIndex(body, []byte("\n"+digestPrefix))
	if last < 0 {
		return answer, false
	}
	want := digestPrefix + Digest(body[:last+1]) + "\n"
	return answer, string(body[last+1:]) == want
}

// Digest returns the hex SHA-256 of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
