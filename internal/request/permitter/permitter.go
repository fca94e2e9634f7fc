// Package permitter signs and checks what two daemons say of a forwarded
// request: the permit that travels with the request, and the voucher that
// travels with its answer.
//
// Both are msgpack with an HMAC, keyed with the shared secret, in one header.
// A permit ends at a time on the receiver's own clock, so that a request that
// was delayed on its way, or by a sender that paused, is refused by the
// receiver and not run.
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
	// HeaderVoucher carries the voucher of its answer.
	HeaderVoucher = "Coltsfootflow-Voucher"
	// tagSize is the length of a truncated HMAC in bytes.
	tagSize = 16
	// encodedLimit bounds an encoded permit or voucher in bytes.
	encodedLimit = 4096
)

// The purposes that are signed with a document, so that neither passes for the
// other.
const (
	purposePermit  = "permit"
	purposeVoucher = "voucher"
)

// Error is the class of errors of permits and vouchers.
var Error = errs.Class("permit")

// Permit is what the ingress established about a request before it forwarded
// it to the daemon beside the chosen backend server.
type Permit struct {
	Attempt     string        // request id and number of the attempt
	Sender      string        // host of the ingress
	Incarnation uint64        // of the receiving process
	NotAfter    flow.Time     // on the receiver's clock
	Revision    flow.Revision // that the ingress applied
	Server      string        // backend server
	Route       string
	Customer    string // empty on open routes
	KeyHash     []byte // SHA-256; empty on open routes
	TargetHash  []byte // TargetOf the request
	Idempotent  bool
	Timeout     time.Duration // time left for the answer, counted from arrival
}

// HashTarget returns a hash of a request's method and of its path and query.
func HashTarget(method, uri string) []byte {
	sum := sha256.Sum256([]byte(method + " " + uri))
	return sum[:tagSize]
}

// Voucher is what the receiving daemon says with its answer.
type Voucher struct {
	Attempt     string
	Host        string
	Incarnation uint64
	AnsweredAt  flow.Time   // the receiver's time when it answered
	Load        float64     // share of the backend server's limit in use
	Reason      flow.Reason // empty when the answer is the backend server's
	Detail      string
}

// Permitter signs and checks with one secret. It is safe for use by many
// goroutines.
type Permitter struct {
	signers sync.Pool // of *signer
}

// New returns a Permitter for the daemons' shared secret.
func New(secret []byte) *Permitter {
	p := &Permitter{}
	p.signers.New = func() any { return &signer{codec: newCodec(), mac: hmac.New(sha256.New, secret)} }
	return p
}

// SignPermit returns the header value of a permit.
func (p *Permitter) SignPermit(permit *Permit) (string, error) {
	return p.sign(purposePermit, permit)
}

// CheckPermit returns the permit of a header value.
func (p *Permitter) CheckPermit(value string) (*Permit, error) {
	permit := &Permit{}
	if err := p.check(purposePermit, value, permit); err != nil {
		return nil, err
	}
	return permit, nil
}

// SignVoucher returns the header value of a voucher.
func (p *Permitter) SignVoucher(voucher *Voucher) (string, error) {
	return p.sign(purposeVoucher, voucher)
}

// CheckVoucher returns the voucher of a header value.
func (p *Permitter) CheckVoucher(value string) (*Voucher, error) {
	voucher := &Voucher{}
	if err := p.check(purposeVoucher, value, voucher); err != nil {
		return nil, err
	}
	return voucher, nil
}

// -----------------------------------------------------------------------------

func (p *Permitter) sign(purpose string, signed document) (string, error) {
	s := p.signers.Get().(*signer)
	defer p.signers.Put(s)
	encoded, err := s.codec.encode(signed)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(append(encoded, s.tag(purpose, encoded)...)), nil
}

func (p *Permitter) check(purpose, value string, checked document) error {
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
	return Error.Wrap(s.codec.decode(encoded, checked))
}

// signer holds what signing and checking use again. It is for one goroutine at
// a time.
type signer struct {
	codec *codec
	mac   hash.Hash
	sum   []byte
}

// tag returns the truncated HMAC of a document. It holds until the next call.
func (s *signer) tag(purpose string, encoded []byte) []byte {
	s.mac.Reset()
	s.sum = append(s.sum[:0], purpose...)
	_, _ = s.mac.Write(s.sum)
	_, _ = s.mac.Write(encoded)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:tagSize]
}
