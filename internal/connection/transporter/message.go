package transporter

import (
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/decoder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Offer asks the daemon beside a backend server to grant a slot for a request.
type Offer struct {
	ID           string        `msgpack:"i"` // of the request
	Server       string        `msgpack:"s"`
	Route        string        `msgpack:"r"`
	Customer     string        `msgpack:"c,omitempty"`
	Call         bool          `msgpack:"n,omitempty"` // the request was made by a running request
	Priority     int           `msgpack:"p"`           // of the customer or the route
	Urgency      int           `msgpack:"g"`           // of the route
	MayWait      bool          `msgpack:"w,omitempty"` // in the queue, for a slot
	Repeatable   bool          `msgpack:"y,omitempty"` // the request may run more than once
	IsRetry      bool          `msgpack:"e,omitempty"` // the request has reached a backend server before, whether it ran or not
	Trial        bool          `msgpack:"t,omitempty"` // the request may try a server that is suspected of failing
	Forced       bool          `msgpack:"x,omitempty"` // try the server even if it was tried a moment ago
	OverdueAfter time.Duration `msgpack:"o,omitempty"` // duration after which a run is overdue, as far as the ingress knows
	TimeToTarget time.Duration `msgpack:"a"`           // until the target latency is exceeded
	TimeLeft     time.Duration `msgpack:"l"`           // until the deadline of the request
}

// Request is the request to run. It is sent only after a grant, since most offers only
// look for a free slot. A body that is not small follows in messages of its own.
type Request struct {
	Method string      `msgpack:"m"`
	Target string      `msgpack:"u"` // request URI as the caller sent it
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"f"`
	Caller string      `msgpack:"o"` // service of the host whose daemon is the ingress
	Body   []byte      `msgpack:"b,omitempty"`
	Length int64       `msgpack:"n,omitempty"` // of the body that follows; 0 if it is Body

	Pieces flow.Body   `msgpack:"-"` // the body to send; Run sets Body or Length from it
	Stream *BodyStream `msgpack:"-"` // the body that follows, at the daemon beside the server
}

// Load is the load of a backend server as its daemon reports it.
type Load = flow.ServerLoad

// messageKind is the kind of a message.
type messageKind uint8

// The kinds of messages, in the order in which a request uses them.
const (
	messageOffer    messageKind = iota + 1
	messageRefused              // the offer is refused; the request does not run
	messageQueued               // the offer waits for a slot
	messageGranted              // the offer has a slot; the request does not run before messageRun
	messageRun                  // the request, which may run from here on
	messageProgress             // the request is running
	messageHead                 // status and header of the response
	messageData                 // a chunk of the response's body
	messageEnd                  // the response is complete
	messageFailed               // there is no response, or it is incomplete
	// messageRunStreamed is messageRun for a request whose body follows in messages of the
	// kind messageData, up to messageEnd, or messageFailed if the ingress breaks it off.
	// A daemon of an earlier version closes the connection, and does not run the request.
	messageRunStreamed
)

// message is the payload of a frame.
type message struct {
	Kind    messageKind `msgpack:"k"`
	Offer   *Offer      `msgpack:"o,omitempty"`
	Request *Request    `msgpack:"q,omitempty"`
	Load    *Load       `msgpack:"l,omitempty"`
	Reason  flow.Reason `msgpack:"r,omitempty"`
	Cause   string      `msgpack:"c,omitempty"`
	Status  int         `msgpack:"s,omitempty"`
	Header  http.Header `msgpack:"h,omitempty"`
	Length  int64       `msgpack:"n,omitempty"` // of the response's body in bytes; -1 if unknown
	Data    []byte      `msgpack:"d,omitempty"`
}

func encode(m *message) ([]byte, error) { return msgpack.Marshal(m) }

func decode(payload []byte) (*message, error) {
	m := &message{}
	return m, decoder.Unmarshal(payload, m)
}
