// The envelope and the table of calls.

package messenger

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// Error is the class of errors of malformed messages.
var Error = errs.Class("message")

// Call names one request and its answer.
type Call uint8

// The calls.
const (
	CallHeartbeat Call = iota + 1 // proof of life and of knowledge
	CallFetch                     // records changed since a revision
	CallDraw                      // tokens of a customer's rate
	CallReport                    // windows of real work, answered by ejections
	CallCede                      // hand-over of ownership
	CallClaim                     // return of ownership after a restart
	CallBegin                     // start of a request with an idempotency key
	CallEnd                       // end of a request with an idempotency key
	CallResolve                   // whether a forwarded request was started
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
}

// String returns the call's name in kebab case.
func (c Call) String() string {
	if name, ok := callNames[c]; ok {
		return name
	}
	return fmt.Sprintf("call-%d", uint8(c))
}

// Known reports whether the call is in the table.
func (c Call) Known() bool {
	_, ok := callNames[c]
	return ok
}

// Envelope is the payload of one frame: a request, or the answer to the
// request with the same ID on the same connection.
type Envelope struct {
	ID       uint64             `msgpack:"i"`
	Call     Call               `msgpack:"c"`
	Answer   bool               `msgpack:"a,omitempty"`
	Fault    string             `msgpack:"f,omitempty"` // why there is no answer body
	NotOwner bool               `msgpack:"n,omitempty"` // the fault is a flow.NotOwnerError
	Body     msgpack.RawMessage `msgpack:"b,omitempty"`
}

// Encode returns the payload of a frame for a request or an answer.
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

// Decode returns the envelope of a frame's payload.
func Decode(payload []byte) (envelope Envelope, err error) {
	defer recoverDecode(&err)
	if err := msgpack.Unmarshal(payload, &envelope); err != nil {
		return Envelope{}, Error.New("decode envelope: %v", err)
	}
	if !envelope.Call.Known() {
		return Envelope{}, Error.New("decode envelope: %s is not known", envelope.Call)
	}
	return envelope, nil
}

// DecodeBody decodes the body of an envelope into target.
func DecodeBody(envelope Envelope, target any) (err error) {
	defer recoverDecode(&err)
	if err := msgpack.Unmarshal(envelope.Body, target); err != nil {
		return Error.New("decode %s: %v", envelope.Call, err)
	}
	return nil
}

// recoverDecode turns a panic of the codec on hostile input into an error.
func recoverDecode(err *error) {
	if cause := recover(); cause != nil {
		*err = Error.New("decode: %v", cause)
	}
}
