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
	"time"

	"github.com/vmihailenco/msgpack/v5"
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

// Error is the class of errors of permits and vouchers.
var Error = errs.Class("permit")

// Permit is what the ingress established about a request before it forwarded
// it to the daemon beside the chosen backend server.
type Permit struct {
	Attempt     string        `msgpack:"a"` // request id and number of the attempt
	Sender      string        `msgpack:"f"` // host of the ingress
	Incarnation uint64        `msgpack:"i"` // of the receiving process
	NotAfter    flow.Time     `msgpack:"t"` // on the receiver's clock
	Revision    flow.Revision `msgpack:"v"` // that the ingress applied
	Server      string        `msgpack:"s"` // backend server
	Route       string        `msgpack:"o"`
	Customer    string        `msgpack:"c,omitempty"` // empty on open routes
	KeyHash     []byte        `msgpack:"k,omitempty"` // SHA-256; empty on open routes
	Target      []byte        `msgpack:"g"`           // TargetOf the request
	Idempotent  bool          `msgpack:"d,omitempty"`
	Timeout     time.Duration `msgpack:"l"` // time left for the answer, counted from arrival
}

// TargetOf returns a hash of a request's method and of its path and query.
func TargetOf(method, uri string) []byte {
	sum := sha256.Sum256([]byte(method + " " + uri))
	return sum[:tagSize]
}

// Voucher is what the receiving daemon says with its answer.
type Voucher struct {
	Attempt     string      `msgpack:"a"`
	Host        string      `msgpack:"h"`
	Incarnation uint64      `msgpack:"i"`
	Clock       flow.Time   `msgpack:"t"`           // the receiver's time when it answered
	Load        float64     `msgpack:"l"`           // share of the backend server's limit in use
	Refused     flow.Reason `msgpack:"r,omitempty"` // empty when the answer is the backend server's
	Detail      string      `msgpack:"d,omitempty"`
}

// Permitter signs and checks with one secret. It is safe for use by many
// goroutines.
type Permitter struct {
	secret []byte
}

// New returns a Permitter for the daemons' shared secret.
func New(secret []byte) *Permitter {
	return &Permitter{secret: secret}
}

// SignPermit returns the header value of a permit.
func (p *Permitter) SignPermit(permit *Permit) (string, error) {
	return p.sign("permit", permit)
}

// CheckPermit returns the permit of a header value.
func (p *Permitter) CheckPermit(value string) (*Permit, error) {
	permit := &Permit{}
	if err := p.check("permit", value, permit); err != nil {
		return nil, err
	}
	return permit, nil
}

// SignVoucher returns the header value of a voucher.
func (p *Permitter) SignVoucher(voucher *Voucher) (string, error) {
	return p.sign("voucher", voucher)
}

// CheckVoucher returns the voucher of a header value.
func (p *Permitter) CheckVoucher(value string) (*Voucher, error) {
	voucher := &Voucher{}
	if err := p.check("voucher", value, voucher); err != nil {
		return nil, err
	}
	return voucher, nil
}

// -----------------------------------------------------------------------------

func (p *Permitter) sign(purpose string, document any) (string, error) {
	encoded, err := msgpack.Marshal(document)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(append(encoded, p.tag(purpose, encoded)...)), nil
}

func (p *Permitter) check(purpose, value string, document any) error {
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
	if !hmac.Equal(tag, p.tag(purpose, encoded)) {
		return Error.New("the %s is not signed with the shared secret", purpose)
	}
	return Error.Wrap(msgpack.Unmarshal(encoded, document))
}

func (p *Permitter) tag(purpose string, encoded []byte) []byte {
	mac := hmac.New(sha256.New, p.secret)
	_, _ = mac.Write([]byte(purpose))
	_, _ = mac.Write(encoded)
	return mac.Sum(nil)[:tagSize]
}
