// StaticSplit is the Source that splits a customer's rate into one fixed part
// for each ingress. It sends no messages, and refuses requests even when the
// parts of other ingresses have tokens left.

package pooler

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// StaticSplit is one ingress's fixed part of a rate. It is not safe for
// concurrent use; the caller locks it.
type StaticSplit struct {
	bucket *granter.Bucket
}

// NewStaticSplit returns the part of the ingress at index among ingresses.
func NewStaticSplit(now, since flow.Time, limit granter.Limit, index, ingresses int) *StaticSplit {
	part := granter.ShareLimit(limit, index, ingresses)
	return &StaticSplit{granter.NewBucket(now, since, part, granter.DefaultSettings())}
}

// Draw takes a token or refuses the request.
func (s *StaticSplit) Draw(now flow.Time) Decision {
	wait := s.bucket.Take(now)
	if wait > 0 {
		return Decision{Refuse: true, Reason: flow.ReasonOverRate, RetryAfter: wait}
	}
	return Decision{Taken: true, Token: Token{NotAfter: flow.Time(1<<62 - 1)}}
}

// Return puts a token back.
func (s *StaticSplit) Return(now flow.Time, _ Token) Effects {
	s.bucket.Put(now)
	return Effects{}
}

// Cancel does nothing: no request waits.
func (s *StaticSplit) Cancel(flow.Time, Ticket) {}

// MarkUsed does nothing: a token counts as used when it is drawn.
func (s *StaticSplit) MarkUsed(flow.Time, Token, time.Duration) {}

// Answered does nothing: no request is sent.
func (s *StaticSplit) Answered(flow.Time, granter.Answer) Effects { return Effects{} }

// Failed does nothing: no request is sent.
func (s *StaticSplit) Failed(flow.Time, int, uint64) Effects { return Effects{} }

// Misdirected does nothing: no request is sent.
func (s *StaticSplit) Misdirected(flow.Time, int, uint64) Effects { return Effects{} }

// Tick does nothing: there is no timed work.
func (s *StaticSplit) Tick(flow.Time) Effects { return Effects{} }

// Due returns a time far ahead, as Tick is not needed.
func (s *StaticSplit) Due(now flow.Time) flow.Time { return now.Add(time.Hour) }

// Idle reports whether the bucket is full.
func (s *StaticSplit) Idle(now flow.Time) bool { return s.bucket.Idle(now) }
