// The heartbeat messages, and the encoding of a proof's age in one byte.

package prover

import "github.com/coltsfootflow/coltsfootflow/pkg/flow"

// Request is a heartbeat request. It proves nothing to its receiver.
type Request struct {
	From        string        `msgpack:"f"`
	Incarnation uint64        `msgpack:"i"`
	Highest     flow.Revision `msgpack:"r"` // highest known revision
}

// Answer is the answer to a heartbeat request.
type Answer struct {
	From         string        `msgpack:"f"`
	Incarnation  uint64        `msgpack:"i"`
	Now          flow.Time     `msgpack:"t"` // on the answering host's clock
	Applied      flow.Revision `msgpack:"a"`
	Highest      flow.Revision `msgpack:"r"` // highest known revision
	ProofAgeMs   int64         `msgpack:"p"` // proof age in milliseconds for Applied; negative without a proof
	ListHash     uint64        `msgpack:"o"` // hash of the member list that LivenessAges refers to
	LivenessAges []byte        `msgpack:"g"` // age of the newest liveness proof of each listed host, as encodeAge encodes it
}

// Ages are encoded as a number of steps, rounded up.
const (
	ageStep = 25 // milliseconds
	noAge   = 127
)

// encodeAge returns the number of steps from a proof to now. The extra millisecond
// makes up for both times having been rounded down.
func encodeAge(now, at flow.Time) byte {
	steps := (now - at + 1 + ageStep - 1) / ageStep
	if steps >= noAge || steps < 0 {
		return noAge
	}
	return byte(steps)
}
