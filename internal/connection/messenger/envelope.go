package messenger

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/decoder"
)

// Error is the class of errors of malformed messages.
var Error = errs.Class("message")

// Call is a kind of request and its answer.
type Call uint8

// The calls of the control protocol.
const (
	CallHeartbeat Call = iota + 1 // asks a peer for a proof of currency and for newer records
	CallFetch                     // gets the records that changed since a revision
	CallDraw                      // requests tokens of a customer's rate
	CallReport                    // reports results of real traffic, by time window, to the owner of a service; answered with ejections
	CallCede                      // hands a resource over to its next owner
	CallClaim                     // claims a resource back after a restart
	CallBegin                     // starts a request with an idempotency key
	CallEnd                       // ends a request with an idempotency key
	CallResolve                   // asks whether a forwarded request was started
	CallExchange                  // exchanges load reports of backend servers
)

var callNames = map[Call]string{
	CallHeartbeat: "heartbeat",
	CallFetch:     "fetch",
	CallDraw:      "draw",
	CallReport:    "report",
	CallCede:      "cede",
	CallClaim:     "claim",
	CallBegin:     "begin",
	CallEnd:       "end",
	CallResolve:   "resolve",
	CallExchange:  "exchange",
}

// String returns the call's name in kebab case, or call-N for an unknown call.
func (c Call) String() string {
	if name, ok := callNames[c]; ok {
		return name
	}
	return fmt.Sprintf("call-%d", uint8(c))
}

// Known reports whether the call is defined.
func (c Call) Known() bool {
	_, ok := callNames[c]
	return ok
}

// Envelope is the payload of one frame: a request, or the answer to the request with the
// same ID on the same connection.
type Envelope struct {
	ID        uint64             `msgpack:"i"`
	Call      Call               `msgpack:"c"`
	Answer    bool               `msgpack:"a,omitempty"`
	ErrorText string             `msgpack:"f,omitempty"` // error of the call; the answer then has no body
	NotOwner  bool               `msgpack:"n,omitempty"` // the error is a flow.NotOwnerError
	Body      msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Encode returns the payload of a frame: the envelope with the encoded body. A nil body
// is left out. The error is of the class Error.
func Encode(envelope Envelope, body any) ([]byte, error) {
	if body != nil {
		encoded, err := msgpack.Marshal(body)
		if err != nil {
			return nil, Error.New("encode %s: %v", envelope.Call, err)
		}
		envelope.Body = encoded
	}
	payload, err := msgpack.Marshal(&envelope)
	if err != nil {
		return nil, Error.New("encode %s: %v", envelope.Call, err)
	}
	return payload, nil
}

// Decode decodes the payload of a frame. The error is of the class Error.
func Decode(payload []byte) (Envelope, error) {
	var envelope Envelope
	if err := decoder.Unmarshal(payload, &envelope); err != nil {
		return Envelope{}, Error.New("decode envelope: %v", err)
	}
	if !envelope.Call.Known() {
		return Envelope{}, Error.New("decode envelope: %s is not known", envelope.Call)
	}
	return envelope, nil
}

// DecodeBody decodes the body of an envelope into target, which is a pointer. The error
// is of the class Error.
func DecodeBody(envelope Envelope, target any) error {
	if err := decoder.Unmarshal(envelope.Body, target); err != nil {
		return Error.New("decode %s: %v", envelope.Call, err)
	}
	return nil
}
