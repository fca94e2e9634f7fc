// Package drawer is the ingress's side of a customer's rate: it draws a token
// for each request. A Pool leases tokens from the owners of the customer's
// shares; other sources behind the same interface exist to be measured against
// it.
//
// The types are state machines without input, output or goroutines; callers do
// the locking.
package drawer

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Source gives one customer's requests their tokens at one ingress.
//
// Every token taken ends in one of three ways: GiveBack, when the request
// certainly did not run; Spent, when it may have run; or neither, and then the
// owner counts the token as used when its lease has run out.
type Source interface {
	// Draw asks for a token for one request.
	Draw(now flow.Time) Decision
	// Cancel ends the wait of a request whose caller went away.
	Cancel(now flow.Time, ticket Ticket)
	// GiveBack returns the token of a request that certainly did not run and
	// will not.
	Return(now flow.Time, token Token) Effects
	// Spent reports that the request of a token has begun to run, at least ago
	// before now, or that nobody can know. It must not be called while the
	// request may still begin.
	MarkUsed(now flow.Time, token Token, ago time.Duration)
	// Answered takes an owner's answer.
	Answered(now flow.Time, answer granter.Answer) Effects
	// Failed reports that a request to an owner was not answered.
	Failed(now flow.Time, share int, sequence uint64) Effects
	// Misdirected reports that the peer answered that it is not the owner or
	// does not act.
	Misdirected(now flow.Time, share int, sequence uint64) Effects
	// Tick does what is due: timeouts, returns and reports.
	Tick(now flow.Time) Effects
	// Due returns the time at which Tick is to be called next.
	Due(now flow.Time) flow.Time
	// Idle reports whether the source can be forgotten.
	Idle(now flow.Time) bool
}

// Token is the right to run one request.
type Token struct {
	Share    int
	Lease    uint64    // sequence of the request that was granted
	NotAfter flow.Time // the request must not begin to run at or after this time
}

// Ticket names a waiting request.
type Ticket uint64

// Decision is what becomes of one request. Exactly one of Taken, Wait and
// Refuse is set.
type Decision struct {
	Taken      bool
	Token      Token // when Taken
	Wait       bool
	Ticket     Ticket // when Wait; a later Effects decides it
	Refuse     bool
	Reason     flow.Reason   // when Refuse
	RetryAfter time.Duration // when Refuse
	Requests        []granter.Request
}

// Decided is the decision for a request that waited; it does not wait again.
type TicketDecision struct {
	Ticket   Ticket
	Decision Decision
}

// Effects is what a caller must do after an event: send the requests to the
// owners of their shares, and go on with the requests that waited.
type Effects struct {
	Requests     []granter.Request
	Decided []TicketDecision
}
