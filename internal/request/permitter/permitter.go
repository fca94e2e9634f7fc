// Package permitter signs and verifies what two daemons state about a forwarded
// request: the permit that travels with the request, and the voucher that
// travels with its response.
//
// Each is encoded as msgpack, followed by an HMAC keyed with the shared secret,
// and sent in one header. A permit expires at a time on the receiver's own
// clock, so that the receiver refuses a request that was delayed by the network
// or by a paused sender, and does not run it.
package permitter

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// HeaderPermit carries the permit of a forwarded request.
	HeaderPermit = "Coltsfootflow-Permit"
	// HeaderVoucher carries the voucher of its response.
	HeaderVoucher = "Coltsfootflow-Voucher"
	// tagSize is the length of a truncated HMAC in bytes.
	tagSize = 16
	// encodedLimit is the maximum length of a permit's or voucher's header
	// value in bytes.
	encodedLimit = 4096
)

// Purposes are part of what is signed, so that a permit cannot be passed off as
// a voucher, nor a voucher as a permit.
const (
	purposePermit  = "permit"
	purposeVoucher = "voucher"
)

// Error is the class of errors of permits and vouchers.
var Error = errs.Class("permit")

// Permit states what the ingress checked about a request before it forwarded
// the request to the daemon beside the chosen backend server.
type Permit struct {
	Attempt     string        // request id and number of the attempt
	Sender      string        // host of the ingress
	Incarnation uint64        // of the receiving process
	NotAfter    flow.Time     // on the receiver's clock
	Revision    flow.Revision // of the state that the ingress applied
	Server      string        // backend server
	Route       string
	Customer    string // empty on open routes
	KeyHash     []byte // SHA-256; empty on open routes
	TargetHash  []byte // see HashTarget
	Idempotent  bool
	Timeout     time.Duration // for the response, from the arrival at the receiver
}

// HashTarget returns a truncated SHA-256 of a request's method and of its URI,
// which is path and query.
func HashTarget(method, uri string) []byte {
	sum := sha256.Sum256([]byte(method + " " + uri))
	return sum[:tagSize]
}

// Voucher states what became of a forwarded request at the receiving daemon.
type Voucher struct {
	Attempt     string
	Host        string
	Incarnation uint64
	AnsweredAt  flow.Time   // on the receiver's clock
	Load        float64     // share of the backend server's concurrency limit in use
	Reason      flow.Reason // of a refusal; empty for a backend server's response
	Detail      string
}

// Permitter signs and verifies with one secret. It is safe for concurrent use.
type Permitter struct {
	signers sync.Pool // of *signer
}

// New returns a Permitter for the secret that the daemons share.
func New(secret []byte) *Permitter {
	p := &Permitter{}
	p.signers.New = func() any { return &signer{codec: newCodec(), mac: hmac.New(sha256.New, secret)} }
	return p
}

// SignPermit returns the signed header value of a permit.
func (p *Permitter) SignPermit(permit *Permit) (string, error) {
	return p.sign(purposePermit, permit)
}

// VerifyPermit verifies a header value and returns its permit. The error, of
// class Error, says what is wrong with the value.
func (p *Permitter) VerifyPermit(value string) (*Permit, error) {
	permit := &Permit{}
	if err := p.verify(purposePermit, value, permit); err != nil {
		return nil, err
	}
	return permit, nil
}

// SignVoucher returns the signed header value of a voucher.
func (p *Permitter) SignVoucher(voucher *Voucher) (string, error) {
	return p.sign(purposeVoucher, voucher)
}

// VerifyVoucher verifies a header value and returns its voucher. The error, of
// class Error, says what is wrong with the value.
func (p *Permitter) VerifyVoucher(value string) (*Voucher, error) {
	voucher := &Voucher{}
	if err := p.verify(purposeVoucher, value, voucher); err != nil {
		return nil, err
	}
	return voucher, nil
}

func (p *Permitter) sign(purpose string, d document) (string, error) {
	s := p.signers.Get().(*signer)
	defer p.signers.Put(s)
	encoded, err := s.codec.encode(d)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(append(encoded, s.tag(purpose, encoded)...)), nil
}

func (p *Permitter) verify(purpose, value string, d document) error {
	if value == "" {
		return Error.New("the %s is missing", purpose)
	}
	if len(value) > encodedLimit {
		return Error.New("the %s has %d bytes, over the limit of %d", purpose, len(value), encodedLimit)
	}
	signed, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil || len(signed) < tagSize {
		return Error.New("the %s is malformed", purpose)
	}
	encoded, tag := signed[:len(signed)-tagSize], signed[len(signed)-tagSize:]
	s := p.signers.Get().(*signer)
	defer p.signers.Put(s)
	if !hmac.Equal(tag, s.tag(purpose, encoded)) {
		return Error.New("the %s is not signed with the shared secret", purpose)
	}
	return Error.Wrap(s.codec.decode(encoded, d))
}

// signer holds the reused state for signing and verifying. It is not safe for
// concurrent use.
type signer struct {
	codec  *codec
	mac    hash.Hash
	buffer []byte
}

// tag returns the truncated HMAC of an encoded document. It is valid until the
// next call.
func (s *signer) tag(purpose string, encoded []byte) []byte {
	s.mac.Reset()
	s.buffer = append(s.buffer[:0], purpose...)
	_, _ = s.mac.Write(s.buffer)
	_, _ = s.mac.Write(encoded)
	s.buffer = s.mac.Sum(s.buffer[:0])
	return s.buffer[:tagSize]
}
