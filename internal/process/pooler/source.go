// Package pooler is the ingress side of distributed rate limiting: it supplies
// each request with a token. A Pool leases tokens in batches from the owners of
// the customer's shares. StaticSplit, behind the same interface, is the baseline
// to compare it with.
//
// The types are state machines without I/O or goroutines; callers do the
// locking.
package pooler

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Source supplies tokens for the requests of one customer at one ingress.
//
// After Draw, a token is settled in one of three ways: by Return, when its
// request certainly did not run; by MarkUsed, when it may have run; or by the
// expiry of its lease, when the owner counts it as used.
type Source interface {
	// Draw requests a token for one request.
	Draw(now flow.Time) Decision
	// Cancel ends the wait of a request whose caller disconnected.
	Cancel(now flow.Time, ticket Ticket)
	// Return gives back the token of a request that certainly did not run and
	// will not run.
	Return(now flow.Time, token Token) Effects
	// MarkUsed records that the request of a token began to run, at least ago
	// before now, or that this cannot be known. It must not be called while the
	// request may still begin to run.
	MarkUsed(now flow.Time, token Token, ago time.Duration)
	// Answered handles an owner's answer.
	Answered(now flow.Time, answer granter.Answer) Effects
	// Failed handles a request to an owner that got no answer.
	Failed(now flow.Time, share int, sequence uint64) Effects
	// Misdirected handles a peer's answer that it is not the owner, or does not
	// act as the owner at present.
	Misdirected(now flow.Time, share int, sequence uint64) Effects
	// Tick does the timed work that is due: timeouts, returns and reports.
	Tick(now flow.Time) Effects
	// Due returns the time at which Tick is to be called next.
	Due(now flow.Time) flow.Time
	// Idle reports whether the source can be dropped.
	Idle(now flow.Time) bool
}

// Token is the right to run one request.
type Token struct {
	Share    int
	Lease    uint64    // sequence of the request that the lease was granted to
	NotAfter flow.Time // the request must not begin to run at or after this time
}

// Ticket identifies a waiting request.
type Ticket uint64

// Decision is the outcome of Draw for one request. Exactly one of Taken, Wait
// and Refuse is set.
type Decision struct {
	Taken      bool
	Token      Token // when Taken
	Wait       bool
	Ticket     Ticket // when Wait; a later Effects holds the decision
	Refuse     bool
	Reason     flow.Reason   // when Refuse
	RetryAfter time.Duration // when Refuse
	Requests   []granter.Request
}

// TicketDecision is the decision for a request that waited. It is final: the
// request does not wait again.
type TicketDecision struct {
	Ticket   Ticket
	Decision Decision
}

// Effects is what the caller must do after an event: send Requests to the owners
// of their shares, and resume the waiting requests in Decided.
type Effects struct {
	Requests []granter.Request
	Decided  []TicketDecision
}
