// Split is the Source that cuts a customer's rate into one fixed part for each
// ingress. It sends no messages, and refuses what another ingress had room for.

package drawer

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Split is a fixed part of a rate, held by one ingress. The caller locks it.
type StaticSplit struct {
	bucket *granter.Bucket
}

// NewSplit returns the part of ingress index out of the given number.
func NewStaticSplit(now, since flow.Time, limit granter.Limit, index, ingresses int) *StaticSplit {
	part := granter.ShareLimit(limit, index, ingresses)
	return &StaticSplit{granter.NewBucket(now, since, part, granter.DefaultSettings())}
}

// Draw takes a token from the part or refuses.
func (s *StaticSplit) Draw(now flow.Time) Decision {
	wait := s.bucket.Take(now)
	if wait > 0 {
		return Decision{Refuse: true, Reason: flow.ReasonOverRate, RetryAfter: wait}
	}
	return Decision{Taken: true, Token: Token{NotAfter: flow.Time(1<<62 - 1)}}
}

// GiveBack puts a token back.
func (s *StaticSplit) Return(now flow.Time, _ Token) Effects {
	s.bucket.Put(now)
	return Effects{}
}

// Cancel does nothing: no request waits.
func (s *StaticSplit) Cancel(flow.Time, Ticket) {}

// Spent does nothing: a token counts as used when it is drawn.
func (s *StaticSplit) MarkUsed(flow.Time, Token, time.Duration) {}

// Answered does nothing: no owner is asked.
func (s *StaticSplit) Answered(flow.Time, granter.Answer) Effects { return Effects{} }

// Failed does nothing: no owner is asked.
func (s *StaticSplit) Failed(flow.Time, int, uint64) Effects { return Effects{} }

// Misdirected does nothing: no owner is asked.
func (s *StaticSplit) Misdirected(flow.Time, int, uint64) Effects { return Effects{} }

// Tick does nothing.
func (s *StaticSplit) Tick(flow.Time) Effects { return Effects{} }

// Due returns a distant time.
func (s *StaticSplit) Due(now flow.Time) flow.Time { return now.Add(time.Hour) }

// Idle reports whether the part is full.
func (s *StaticSplit) Idle(now flow.Time) bool { return s.bucket.Idle(now) }
