// The messages of the heartbeat exchange, and the one-byte form of the age of
// a proof.

package prover

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Standing says how far a process may be counted by others.
type Standing uint8

// The standings.
const (
	// StandingJoining is a process that may have lost what its predecessor on
	// the same host knew. It counts for the fleet's first start only.
	StandingJoining Standing = iota
	// StandingFounding is a process that took part in the fleet's first start
	// and has not yet held the lease. It counts as a member, and still for the
	// first start of others.
	StandingFounding
	// StandingMember is a process that counts in every quorum.
	StandingMember
)

// Request is one side of a heartbeat. It proves nothing to the peer that
// receives it.
type Request struct {
	From        string        `msgpack:"f"`
	Incarnation uint64        `msgpack:"i"`
	Highest     flow.Revision `msgpack:"r"` // highest revision heard of
	ViewHash    uint64        `msgpack:"v"` // of the asker's view; the answer carries the view only when it differs
	Leaving     bool          `msgpack:"l,omitempty"`
}

// Answer is the other side of a heartbeat.
type Answer struct {
	From        string        `msgpack:"f"`
	Incarnation uint64        `msgpack:"i"`
	Standing    Standing      `msgpack:"s"`
	Leaving     bool          `msgpack:"l,omitempty"`
	Now         flow.Time     `msgpack:"t"` // on the answerer's clock
	Applied     flow.Revision `msgpack:"a"`
	Highest     flow.Revision `msgpack:"r"`           // highest revision heard of
	ViewHash    uint64        `msgpack:"v"`           // of the answerer's view
	View        []ViewEntry   `msgpack:"w,omitempty"` // oldest first; empty when the asker's ViewHash is the same
	Ages        []byte        `msgpack:"g"`           // one byte for each host of the versions that are not dropped, sorted by name
	Known       []byte        `msgpack:"k"`           // one bit for each of Ages: at that proof the host had applied Applied and had this view
	Founding    []byte        `msgpack:"o,omitempty"` // one bit for each of Ages: the host was founding; empty for none
}

// Heard is what the caller has to act on after an answer.
type Heard struct {
	Highest flow.Revision // pass it to the merge of the configuration
	Missing []ListID      // versions to fetch from the answerer and to pass to Learn; until then its answers prove nothing
}

// -----------------------------------------------------------------------------

// The form of an age: the top bit says that the host was joining, the others
// count steps, rounded up.
const (
	ageStep        = 25 // milliseconds
	ageNone        = 127
	ageMask        = 0x7f
	ageJoiningFlag = 0x80
)

// LongestAge is the highest age that an answer can carry. A lease time above
// it is held through direct proofs only.
const LongestAge = (ageNone - 1) * ageStep * time.Millisecond

// encodeAge returns the steps from a proof to now. The extra millisecond makes
// up for both times having been rounded towards the past.
func encodeAge(now, at flow.Time) byte {
	steps := (now - at + 1 + ageStep - 1) / ageStep
	if steps >= ageNone || steps < 0 {
		return ageNone
	}
	return byte(steps)
}

func bitSet(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

func setBit(bits []byte, i int) { bits[i/8] |= 1 << (i % 8) }
