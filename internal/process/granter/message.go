// Messages between an ingress and the owner of a share.

package granter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Request requests tokens from the owner of a share and reports on earlier leases. An
// ingress has one request in flight to each share. By sending the next one, it
// abandons every earlier unanswered request: it no longer accepts an answer to it.
type Request struct {
	Customer    string   `msgpack:"c"`
	Share       int      `msgpack:"s"`
	Shares      int      `msgpack:"k"` // number of shares into which the ingress divides the rate
	Ingress     string   `msgpack:"a"` // host name
	Incarnation uint64   `msgpack:"i"` // of the ingress's process
	Sequence    uint64   `msgpack:"n"` // increases with each request of an incarnation
	Answered    uint64   `msgpack:"l"` // sequence of the last request whose answer was accepted
	Want        int      `msgpack:"w"` // tokens requested; 0 when there are only reports
	Waiting     int      `msgpack:"u"` // of these, tokens for waiting requests
	Prefetch    int      `msgpack:"h"` // of these, tokens stocked for a longer time; granted only while the customer is well under its rate
	Reports     []Report `msgpack:"p"`
}

// Report says what became of the tokens of one lease. The counts are totals since
// the start of the lease, so that duplicate and lost reports do no harm.
type Report struct {
	Lease    uint64        `msgpack:"l"` // sequence of the request that the lease was granted to
	Used     int           `msgpack:"u"` // tokens whose request began to run
	Returned int           `msgpack:"r"` // tokens that were not used and no longer can be
	UsedAge  time.Duration `msgpack:"a"` // lower bound of the time from the last use to the sending of the report
}

// Answer is the owner's answer to a Request. The request's sequence identifies
// the lease.
type Answer struct {
	Customer   string        `msgpack:"c"`
	Share      int           `msgpack:"s"`
	Shares     int           `msgpack:"k"`
	Sequence   uint64        `msgpack:"n"`
	Granted    int           `msgpack:"g"`
	Lifetime   time.Duration `msgpack:"l"` // of the lease, on the ingress's clock from the sending of the request
	RetryAfter time.Duration `msgpack:"r"` // when less was granted than wanted, the delay after which to request again
	Level      int           `msgpack:"v"` // tokens left after the grant; a hint
	Ample      bool          `msgpack:"h"` // so many tokens are left that reports of use can wait for the next request
	Fresh      bool          `msgpack:"f"` // the owner started without the bucket's history: an empty bucket does not show that the customer is over its rate
}

// BucketState is a bucket on its way from one owner to the next.
type BucketState struct {
	Customer string        `msgpack:"c"`
	Share    int           `msgpack:"s"`
	Shares   int           `msgpack:"k"`
	Revision flow.Revision `msgpack:"r"` // revision of the configuration that moves the share
	Level    int64         `msgpack:"v"` // nanotokens
	Leases   []LeaseState  `msgpack:"l"`
}

// LeaseState is an outstanding lease in a BucketState.
type LeaseState struct {
	Ingress     string        `msgpack:"a"`
	Incarnation uint64        `msgpack:"i"`
	Sequence    uint64        `msgpack:"n"`
	Granted     int           `msgpack:"g"`
	Used        int           `msgpack:"u"`
	Returned    int           `msgpack:"r"`
	Remaining   time.Duration `msgpack:"t"` // time until the owner counts the remaining tokens as used
}
