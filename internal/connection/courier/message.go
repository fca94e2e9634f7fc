// The messages of one forwarded request.

package courier

import (
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Offer asks the daemon beside a backend server whether it would run a request.
type Offer struct {
	ID           string        `msgpack:"i"` // of the caller's request
	Server       string        `msgpack:"s"`
	Route        string        `msgpack:"r"`
	Customer     string        `msgpack:"c,omitempty"`
	Call         bool          `msgpack:"n,omitempty"` // made by a running request
	Priority     int           `msgpack:"p"`           // of the customer, or of the route
	Urgency      int           `msgpack:"g"`           // of the route
	MayWait      bool          `msgpack:"w,omitempty"` // for a slot
	Repeatable   bool          `msgpack:"y,omitempty"` // it may run more than once
	IsRetry      bool          `msgpack:"e,omitempty"` // it has reached a backend server before, run or not
	Trial        bool          `msgpack:"t,omitempty"` // may try a server that is suspected of failing
	Forced       bool          `msgpack:"x,omitempty"` // even if it was tried just now
	TimeToTarget time.Duration `msgpack:"a"`           // until the answer stops earning its full credit
	TimeLeft     time.Duration `msgpack:"l"`           // until the deadline
}

// Request is what is run. It follows an offer that was granted, since most
// offers are there to find a slot.
type Request struct {
	Method string      `msgpack:"m"`
	Target string      `msgpack:"u"` // as it came
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"f"`
	Caller string      `msgpack:"o"` // service of the host where the request began
	Body   []byte      `msgpack:"b,omitempty"`
}

// Load is what a daemon says of its backend server.
type Load struct {
	FreeSlots       int           `msgpack:"f"` // free slots
	QueueWait       time.Duration `msgpack:"w"` // that a request would spend in the queue
	GrayProbability float64       `msgpack:"g"` // probability that the server fails most of its work
}

// frameKind tells the frames of an exchange apart.
type frameKind uint8

// The kinds of frame, in the order of an exchange.
const (
	frameOffer    frameKind = iota + 1
	frameRefused            // the request is not run
	frameWaiting            // it waits for a slot
	frameGranted            // it has a slot; nothing runs before frameRun
	frameRun                // the request; from here on it may run
	frameProgress           // it runs
	frameHead               // status and headers of the answer
	frameData               // a piece of the answer's body
	frameEnd                // the answer is whole
	frameFailed             // there is no whole answer
)

// frame is the payload of one frame.
type frame struct {
	Kind    frameKind   `msgpack:"k"`
	Offer   *Offer      `msgpack:"o,omitempty"`
	Request *Request    `msgpack:"q,omitempty"`
	Load    *Load       `msgpack:"l,omitempty"`
	Reason  flow.Reason `msgpack:"r,omitempty"`
	Cause   string      `msgpack:"c,omitempty"`
	Status  int         `msgpack:"s,omitempty"`
	Header  http.Header `msgpack:"h,omitempty"`
	Length  int64       `msgpack:"n,omitempty"` // of the answer's body; -1 when unknown
	Data    []byte      `msgpack:"d,omitempty"`
}

func encode(f *frame) ([]byte, error) { return msgpack.Marshal(f) }

func decode(payload []byte) (*frame, error) {
	f := &frame{}
	return f, msgpack.Unmarshal(payload, f)
}
