// Package budgeter divides the memory that a daemon may hold bodies in, over all
// connections and in both directions. A Ledger decides without clock and locks; a Budget
// makes it safe for concurrent use and lets bodies wait for room.
package budgeter

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// memoryShare is the part of the memory setting that bodies may take. A body of 64 MiB,
	// the largest that callers may send by default, has to fit on a host of 184 MiB, and
	// the garbage collector needs room beside it: it keeps the process below 0.7 of that.
	memoryShare = 0.4
	// reservedShare is the part of the budget that only small bodies may take, so that
	// large ones never make them wait.
	reservedShare = 0.1
	// SmallBytes is the size up to which a body is small.
	SmallBytes = 16 << 10
	// maxWaiting limits the bodies that wait for room. The kernel holds the first bytes
	// of each of them.
	maxWaiting = 64
	// rateWindow is the time over which the rate of releases is measured, in seconds.
	rateWindow = 5
	// unknownWait is the estimated wait while nothing is released. It is the silence after
	// which a body that has stalled loses its memory.
	unknownWait = 5 * time.Second
	// maxEstimate bounds the estimate of a wait: no body takes longer to read.
	maxEstimate = 30 * time.Second
)

// Claim is a wait for room.
type Claim struct {
	Bytes  int64
	Urgent bool // made by a running request: goes before all others
}

// Ledger decides which bodies get room. Its methods take the time and return what to do.
type Ledger struct {
	total   int64 // for all bodies
	large   int64 // that bodies which are not small may take the budget up to
	used    int64
	waiting []*Claim // in the order in which they get room

	second   int64             // in which bytes were released last
	released [rateWindow]int64 // bytes by second
}

// NewLedger returns the ledger of a process that may use so much memory.
func NewLedger(memory int64) *Ledger {
	total := int64(memoryShare * float64(memory))
	return &Ledger{total: total, large: total - int64(reservedShare*float64(total))}
}

// Take takes room at once, and reports whether there was any. Bodies that are not small go
// before those that wait only if they have begun: a request's body that grows, or the
// response to a request that has run.
func (l *Ledger) Take(bytes int64, begun bool) bool {
	limit := l.large
	switch {
	case bytes <= SmallBytes:
		limit = l.total
	case !begun && len(l.waiting) > 0:
		return false
	}
	if l.used+bytes > limit {
		return false
	}
	l.used += bytes
	return true
}

// Enqueue makes a claim wait for room, and reports false if too many wait already or if the
// claim can never be met.
func (l *Ledger) Enqueue(claim *Claim) bool {
	if len(l.waiting) >= maxWaiting || claim.Bytes > l.large {
		return false
	}
	at, _ := slices.BinarySearchFunc(l.waiting, claim, before)
	for at < len(l.waiting) && before(l.waiting[at], claim) == 0 {
		at++
	}
	l.waiting = slices.Insert(l.waiting, at, claim)
	return true
}

// before orders claims: calls of running requests first, then the smallest, so that a few
// large bodies hold up nobody else.
func before(a, b *Claim) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Bytes, b.Bytes)
}

// Withdraw ends the wait of a claim, and reports whether it was still waiting.
func (l *Ledger) Withdraw(claim *Claim) bool {
	at := slices.Index(l.waiting, claim)
	if at < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return true
}

// Release gives back room.
func (l *Ledger) Release(now flow.Time, bytes int64) {
	l.used -= bytes
	l.advance(now)
	l.released[l.second%rateWindow] += bytes
}

// Grant returns the claims that get room now.
func (l *Ledger) Grant() []*Claim {
	granted := 0
	for granted < len(l.waiting) && l.used+l.waiting[granted].Bytes <= l.large {
		l.used += l.waiting[granted].Bytes
		granted++
	}
	claims := slices.Clone(l.waiting[:granted])
	l.waiting = slices.Delete(l.waiting, 0, granted)
	return claims
}

// Wait estimates the time until a claim gets room, from what is needed before it and from
// the rate at which room was given back lately. Without any the wait is not known, and the
// result is unknownWait.
func (l *Ledger) Wait(now flow.Time, claim *Claim) (wait time.Duration, known bool) {
	needed := claim.Bytes + l.used - l.large
	for _, other := range l.waiting {
		if other != claim && before(other, claim) <= 0 {
			needed += other.Bytes
		}
	}
	if needed <= 0 {
		return 0, true
	}
	l.advance(now)
	var released int64
	for _, bytes := range l.released {
		released += bytes
	}
	if released == 0 {
		return unknownWait, false
	}
	seconds := float64(needed) * rateWindow / float64(released)
	return time.Duration(min(seconds, maxEstimate.Seconds()) * float64(time.Second)), true
}

// advance clears the seconds that have passed since the last release.
func (l *Ledger) advance(now flow.Time) {
	second := int64(now.Sub(0) / time.Second)
	for passed := min(second-l.second, rateWindow); passed > 0; passed-- {
		l.released[(second-passed+1)%rateWindow] = 0
	}
	l.second = max(l.second, second)
}
