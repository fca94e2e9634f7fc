// Messages between an ingress, which asks, and the owner of a share.

package granter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Request asks the owner of a share for tokens and reports on earlier leases.
// An asker has one request for tokens on the way to each share at a time; by
// sending the next one it gives up every earlier one that is unanswered, and
// accepts no answer to it any more.
type Request struct {
	Customer    string   `msgpack:"c"`
	Share       int      `msgpack:"s"`
	Shares      int      `msgpack:"k"` // into how many shares the asker cuts the rate
	Ingress     string   `msgpack:"a"` // host
	Incarnation uint64   `msgpack:"i"` // of the asker's process
	Sequence    uint64   `msgpack:"n"` // grows with each request of an incarnation
	Answered    uint64   `msgpack:"l"` // sequence of the last request whose answer was accepted
	Want        int      `msgpack:"w"` // tokens asked for; 0 for a report only
	Waiting     int      `msgpack:"u"` // of these, tokens for which a request is waiting
	Prefetch    int      `msgpack:"h"` // of these, tokens for a longer time, if the customer is well under its rate
	Reports     []Report `msgpack:"p"`
}

// Report says what became of the tokens of one lease. The counts are totals
// since the lease began, so that repeated and lost reports do no harm.
type Report struct {
	Lease    uint64        `msgpack:"l"` // sequence of the request that was granted
	Used     int           `msgpack:"u"` // tokens whose request has run
	Returned int           `msgpack:"r"` // tokens that can not be used any more and were not
	UsedAge  time.Duration `msgpack:"a"` // least time between the last use and the sending of the report
}

// Answer is the owner's answer to a Request. The lease is named by the
// request's sequence.
type Answer struct {
	Customer   string        `msgpack:"c"`
	Share      int           `msgpack:"s"`
	Shares     int           `msgpack:"k"`
	Sequence   uint64        `msgpack:"n"`
	Granted    int           `msgpack:"g"`
	Lifetime   time.Duration `msgpack:"l"` // on the asker's clock from the sending of the request
	RetryAfter time.Duration `msgpack:"r"` // when less was granted than wanted, the time until it is worth asking again
	Level      int           `msgpack:"v"` // tokens left after the grant, as a hint
	Ample      bool          `msgpack:"h"` // enough is left that reports of use can wait for the next request
	Fresh      bool          `msgpack:"f"` // the owner began without the bucket's past; an empty bucket does not say that the customer is over its rate
}

// State is a bucket on its way from a ceding owner to the next one.
type BucketState struct {
	Customer string        `msgpack:"c"`
	Share    int           `msgpack:"s"`
	Shares   int           `msgpack:"k"`
	Revision flow.Revision `msgpack:"r"` // the revision that moves the share, set by the caller
	Level    int64         `msgpack:"v"` // nanotokens
	Leases   []LeaseState  `msgpack:"l"`
}

// StateLease is an outstanding lease in a State.
type LeaseState struct {
	Ingress     string        `msgpack:"a"`
	Incarnation uint64        `msgpack:"i"`
	Sequence    uint64        `msgpack:"n"`
	Granted     int           `msgpack:"g"`
	Used        int           `msgpack:"u"`
	Returned    int           `msgpack:"r"`
	Remaining   time.Duration `msgpack:"t"` // until the owner may count the rest as used
}
