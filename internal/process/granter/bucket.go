// The token bucket of one share with its leases. Amounts are in nanotokens, so
// that a rate in microtokens per second times milliseconds is exact.
//
// The clock counts whole milliseconds: an event at time n happened anywhere
// before n+1. Tokens that an event removes from a full bucket therefore accrue
// again only from n+1; otherwise the bucket would grant up to a millisecond's
// worth of tokens too much.

package granter

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const nanotokensPerToken = 1_000_000_000

// Settings configure leases. All daemons of a region must use the same.
type Settings struct {
	Lifetime      time.Duration // of a lease, on the ingress's clock from the sending of the request
	Margin        time.Duration // added to the lifetime at the owner, in case the clocks run at different speeds
	DemandMemory  time.Duration // how long an ingress's demand counts when tokens are short
	MaxRetryAfter time.Duration // longest advised delay before the next request
	Drift         int64         // parts per million by which a host's clock may run fast or slow
}

// DefaultSettings returns settings for hosts within one region.
func DefaultSettings() Settings {
	return Settings{
		Lifetime:      time.Second,
		Margin:        50 * time.Millisecond,
		DemandMemory:  250 * time.Millisecond,
		MaxRetryAfter: time.Second,
		Drift:         1000,
	}
}

// Bucket is the token bucket of one share at its owner. It is not safe for
// concurrent use; the caller locks it.
type Bucket struct {
	settings     Settings
	limit        Limit
	accruedUntil flow.Time
	freshUntil   flow.Time // before this time, the bucket may lack tokens that the customer did not use
	total        int64     // nanotokens of the level and the outstanding tokens together
	removed      int64     // nanotokens removed from total at time accruedUntil
	outstanding  int       // tokens granted, and not yet used, returned or expired
	ingresses    map[ingressKey]*ingress
	expiring     []*lease // by expiry; may hold closed leases
	overflow     *overflowHistory
	usage        usage
}

// lease is a batch of tokens granted to an ingress.
type lease struct {
	sequence uint64
	granted  int
	used     int
	returned int
	expiry   flow.Time
	closed   bool
}

func (l *lease) left() int { return l.granted - l.used - l.returned }

// NewBucket returns a bucket that is empty at since and accrues from then on. It
// grants nothing before. The caller makes sure that no lease of another owner is
// usable after since.
func NewBucket(now, since flow.Time, limit Limit, settings Settings) *Bucket {
	b := &Bucket{
		settings:     settings,
		limit:        limit,
		accruedUntil: since,
		freshUntil:   since.Add(limit.refillTime()),
		ingresses:    map[ingressKey]*ingress{},
		usage:        usage{at: now},
	}
	b.usage.tokens = assumedUsagePart * limit.PerSecond() * b.usageAveraging().Seconds()
	b.Advance(now)
	return b
}

// Level returns the number of tokens that can be granted as of the last event.
func (b *Bucket) Level() int {
	return int(b.levelAmount() / nanotokensPerToken)
}

// Outstanding returns the number of granted tokens that may still be used.
func (b *Bucket) Outstanding() int { return b.outstanding }

// Limit returns the current limit.
func (b *Bucket) Limit() Limit { return b.limit }

// Idle reports whether the bucket can be dropped: it is full and without leases,
// as is a bucket that its long-time owner creates again.
func (b *Bucket) Idle(now flow.Time) bool {
	b.Advance(now)
	b.dropIngresses(now)
	return b.outstanding == 0 && b.total >= b.burstAmount() && len(b.ingresses) == 0
}

// SetLimit applies a new limit at once. Outstanding tokens stay outstanding; the
// level is reduced to the new burst.
func (b *Bucket) SetLimit(now flow.Time, limit Limit) {
	b.Advance(now)
	b.limit = limit
	b.total = min(b.total, max(b.burstAmount(), b.outstandingAmount()))
	b.overflow = nil
}

// Grant answers a request. It returns false for a request that is older than one
// already accepted, which must not be answered. A duplicate request gets the
// same answer again.
func (b *Bucket) Grant(now flow.Time, request Request) (Answer, bool) {
	b.Advance(now)
	received := now
	now = max(now, b.accruedUntil)
	ing := b.ingressOf(request)
	if request.Sequence < ing.sequence {
		return Answer{}, false
	}
	if request.Sequence == ing.sequence {
		return ing.answer, ing.answer.Sequence == request.Sequence
	}
	ing.sequence = request.Sequence
	ing.lastSeen = now
	b.applyReports(now, ing, request)
	granted := b.allocate(now, ing, request)
	b.addLease(now, ing, granted)
	b.usage.add(now, granted, b.usageAveraging())
	retryAfter := b.retryAfter(now, ing, request.Want-request.Prefetch-granted)
	ing.answer = Answer{
		Customer:   request.Customer,
		Share:      request.Share,
		Shares:     request.Shares,
		Sequence:   request.Sequence,
		Granted:    granted,
		Lifetime:   b.settings.Lifetime,
		RetryAfter: retryAfter + max(b.accruedUntil.Sub(received), 0),
		Level:      b.Level(),
		Ample:      b.ample(ing),
		Fresh:      now.Before(b.freshUntil),
	}
	return ing.answer, true
}

func (b *Bucket) addLease(now flow.Time, ing *ingress, granted int) {
	if granted == 0 {
		return
	}
	l := &lease{
		sequence: ing.sequence,
		granted:  granted,
		expiry:   now.Add(b.settings.Lifetime + b.settings.Margin),
	}
	ing.leases = append(ing.leases, l)
	b.expiring = append(b.expiring, l)
	b.outstanding += granted
}

// applyReports closes the leases that the ingress abandoned, and applies its
// reports to the others.
func (b *Bucket) applyReports(now flow.Time, ing *ingress, request Request) {
	for _, l := range ing.leases {
		if l.sequence > request.Answered {
			b.returnTokens(l, l.left())
		}
	}
	for _, report := range request.Reports {
		if l := ing.lease(report.Lease); l != nil {
			b.applyReport(now, l, report)
		}
	}
	ing.leases = slices.DeleteFunc(ing.leases, func(l *lease) bool { return l.closed })
}

func (b *Bucket) applyReport(now flow.Time, l *lease, report Report) {
	if used := min(report.Used-l.used, l.left()); used > 0 {
		l.used += used
		b.removeUsed(used, now.Add(-report.UsedAge)+ageRounding)
	}
	b.returnTokens(l, min(report.Returned-l.returned, l.left()))
	l.closed = l.left() == 0
}

// ageRounding covers the rounding of both clocks to whole milliseconds.
const ageRounding = 2 // milliseconds

// returnTokens moves tokens from a lease back into the level.
func (b *Bucket) returnTokens(l *lease, returned int) {
	if returned <= 0 {
		return
	}
	l.returned += returned
	l.closed = l.left() == 0
	b.outstanding -= returned
	b.usage.add(b.accruedUntil, -returned, b.usageAveraging())
	b.total = min(b.total, max(b.burstAmount(), b.outstandingAmount()))
}

// removeUsed removes used tokens, and reclaims the overflow since their use.
func (b *Bucket) removeUsed(used int, since flow.Time) {
	b.outstanding -= used
	amount := int64(used) * nanotokensPerToken
	reclaimed := int64(0)
	if b.overflow != nil {
		room := max(b.burstAmount()-(b.total-amount), 0)
		reclaimed = b.overflow.reclaim(since, min(amount, room))
	}
	b.total -= amount - reclaimed
	b.removed += amount - reclaimed
}

// Advance accrues tokens and expires leases up to now.
func (b *Bucket) Advance(now flow.Time) {
	for len(b.expiring) > 0 && !b.expiring[0].expiry.After(now) {
		b.expire(b.expiring[0])
		b.expiring = b.expiring[1:]
	}
	b.accrue(now)
	if b.outstanding == 0 {
		b.overflow = nil
		b.expiring = nil
	}
}

// expire counts the remaining tokens of a lease as used.
func (b *Bucket) expire(l *lease) {
	if l.closed {
		return
	}
	b.accrue(l.expiry)
	left := l.left()
	l.used += left
	l.closed = true
	b.outstanding -= left
	b.total -= int64(left) * nanotokensPerToken
	b.removed += int64(left) * nanotokensPerToken
}

func (b *Bucket) accrue(now flow.Time) {
	if !b.accruedUntil.Before(now) {
		return
	}
	rate := b.accrualRate()
	accrued := min(rate, max(b.burstAmount()-b.total-b.removed, 0))
	b.recordOverflow(b.accruedUntil, b.accruedUntil+1, rate-accrued)
	b.total += accrued
	b.removed = 0
	b.accruedUntil++

	room := max(b.burstAmount()-b.total, 0)
	if rate == 0 || room/rate >= int64(now-b.accruedUntil) {
		b.total += rate * int64(now-b.accruedUntil)
	} else {
		b.total += room
		fullAt := b.accruedUntil + flow.Time(room/rate) + 1
		b.recordOverflow(fullAt, now, rate)
	}
	b.accruedUntil = now
}

// recordOverflow records what could not accrue in a full bucket, in nanotokens per
// millisecond. It matters only while tokens are outstanding.
func (b *Bucket) recordOverflow(from, to flow.Time, perMillisecond int64) {
	if b.outstanding == 0 || b.total > b.burstAmount() || perMillisecond == 0 || !from.Before(to) {
		return
	}
	if b.overflow == nil {
		b.overflow = &overflowHistory{newest: slotOf(from) - 1}
	}
	b.overflow.add(from, to, perMillisecond)
}

// accrualRate returns the nanotokens that accrue per millisecond. It is lower than
// the limit by the clock drift, so that an owner whose clock runs fast does not
// exceed the limit over long windows.
func (b *Bucket) accrualRate() int64 {
	nominal := b.limit.MicrotokensPerSecond
	return nominal - (nominal*b.settings.Drift+partsPerMillion-1)/partsPerMillion
}

const partsPerMillion = 1_000_000

func (b *Bucket) burstAmount() int64 { return int64(b.limit.Burst) * nanotokensPerToken }

func (b *Bucket) outstandingAmount() int64 { return int64(b.outstanding) * nanotokensPerToken }

func (b *Bucket) levelAmount() int64 { return max(b.total-b.outstandingAmount(), 0) }

// Take uses one token at once, in a bucket that is not leased from. It returns 0,
// or how long to wait for a token when there is none.
func (b *Bucket) Take(now flow.Time) time.Duration {
	b.Advance(now)
	if b.Level() < 1 {
		rate := max(b.accrualRate(), 1)
		wait := time.Duration((nanotokensPerToken-b.levelAmount())/rate+1) * time.Millisecond
		return min(wait, b.settings.MaxRetryAfter)
	}
	b.total -= nanotokensPerToken
	b.removed += nanotokensPerToken
	return 0
}

// Put puts back a token from Take that was certainly not used.
func (b *Bucket) Put(now flow.Time) {
	b.Advance(now)
	b.total = min(b.total+nanotokensPerToken, b.burstAmount())
}
