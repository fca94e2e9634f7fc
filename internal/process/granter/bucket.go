// Bucket is the token bucket of one share with its leases. Amounts are kept in
// nanotokens: a rate in microtokens a second times milliseconds is exact.
//
// The clock counts whole milliseconds, so an event at time n happened anywhere
// before n+1. What an event removes from a full bucket therefore starts to
// accrue again at n+1 only; otherwise up to a millisecond's worth of tokens
// would be granted too much.

package granter

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const nanotokensPerToken = 1_000_000_000 // nanotokens in a token

// Settings are what all daemons of a region agree on for leases.
type Settings struct {
	Lifetime      time.Duration // of a lease, on the asker's clock from sending
	Margin        time.Duration // added to the lifetime at the owner; covers clocks that run at different speeds
	DemandMemory  time.Duration // how long an asker's demand counts when tokens are short
	MaxRetryAfter time.Duration // longest advice to come back later
	Drift         int64         // parts in a million by which a host's clock may run fast or slow
}

// DefaultSettings returns the settings for hosts in one region.
func DefaultSettings() Settings {
	return Settings{
		Lifetime:      time.Second,
		Margin:        50 * time.Millisecond,
		DemandMemory:  250 * time.Millisecond,
		MaxRetryAfter: time.Second,
		Drift:         1000,
	}
}

// Bucket is the state of one share at its owner. The caller locks it.
type Bucket struct {
	settings     Settings
	limit        Limit
	accruedUntil flow.Time // time up to which tokens have accrued
	freshUntil   flow.Time // before, the bucket may lack tokens that the customer did not use
	total        int64     // nanotokens in the level and outstanding together
	removed      int64     // nanotokens that left sum at time at
	outstanding  int       // tokens granted, and neither used, returned nor expired
	ingresses    map[ingressKey]*ingress
	expiring     []*lease // by expiry; may hold closed leases
	overflow     *overflowHistory
	usage        usage
}

type lease struct {
	sequence uint64
	granted  int
	used     int
	returned int
	expiry   flow.Time
	closed   bool
}

func (l *lease) left() int { return l.granted - l.used - l.returned }

// NewBucket returns a bucket that was empty at since and accrues from there.
// No other owner's grant may be usable after since. It grants nothing before.
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

// Level returns the tokens that can be granted at the time of the last event.
func (b *Bucket) Level() int {
	return int(b.levelAmount() / nanotokensPerToken)
}

// Outstanding returns the tokens that are granted and may still be used.
func (b *Bucket) Outstanding() int { return b.outstanding }

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit { return b.limit }

// Idle reports whether the bucket is full and holds nothing that matters: one
// that an owner of long standing creates anew would be the same.
func (b *Bucket) Idle(now flow.Time) bool {
	b.Advance(now)
	b.forgetIngresses(now)
	return b.outstanding == 0 && b.total >= b.burstAmount() && len(b.ingresses) == 0
}

// SetLimit brings a new limit into force at once. What is outstanding stays so;
// the level is cut to the new burst.
func (b *Bucket) SetLimit(now flow.Time, limit Limit) {
	b.Advance(now)
	b.limit = limit
	b.total = min(b.total, max(b.burstAmount(), b.outstandingAmount()))
	b.overflow = nil
}

// -----------------------------------------------------------------------------

// Grant answers a request. It returns false for a request that is older than
// one already taken; such a request is not answered. A repeated request gets
// the first answer again.
func (b *Bucket) Grant(now flow.Time, request Request) (Answer, bool) {
	b.Advance(now)
	received := now
	now = max(now, b.accruedUntil)
	a := b.ingressOf(request)
	if request.Sequence < a.sequence {
		return Answer{}, false
	}
	if request.Sequence == a.sequence {
		return a.answer, a.answer.Sequence == request.Sequence
	}
	a.sequence = request.Sequence
	a.lastSeen = now
	b.applyReports(now, a, request)
	granted := b.allocate(now, a, request)
	b.addLease(now, a, granted)
	b.usage.add(now, granted, b.usageAveraging())
	retryAfter := b.retryAfter(now, a, request.Want-request.Prefetch-granted)
	a.answer = Answer{
		Customer:   request.Customer,
		Share:      request.Share,
		Shares:     request.Shares,
		Sequence:   request.Sequence,
		Granted:    granted,
		Lifetime:   b.settings.Lifetime,
		RetryAfter: retryAfter + max(b.accruedUntil.Sub(received), 0),
		Level:      b.Level(),
		Ample:      b.ample(a),
		Fresh:      now.Before(b.freshUntil),
	}
	return a.answer, true
}

func (b *Bucket) addLease(now flow.Time, a *ingress, granted int) {
	if granted == 0 {
		return
	}
	l := &lease{
		sequence: a.sequence,
		granted:  granted,
		expiry:   now.Add(b.settings.Lifetime + b.settings.Margin),
	}
	a.leases = append(a.leases, l)
	b.expiring = append(b.expiring, l)
	b.outstanding += granted
}

// takeReports closes what the asker gave up and what it reports on.
func (b *Bucket) applyReports(now flow.Time, a *ingress, request Request) {
	for _, l := range a.leases {
		if l.sequence > request.Answered {
			b.returnTokens(l, l.left())
		}
	}
	for _, report := range request.Reports {
		if l := a.lease(report.Lease); l != nil {
			b.applyReport(now, l, report)
		}
	}
	a.leases = slices.DeleteFunc(a.leases, func(l *lease) bool { return l.closed })
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

// giveBack moves tokens from a lease into the level.
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

// spend removes used tokens. What was lost at the limit since their use is
// claimed back.
func (b *Bucket) removeUsed(used int, since flow.Time) {
	b.outstanding -= used
	amount := int64(used) * nanotokensPerToken
	claimed := int64(0)
	if b.overflow != nil {
		room := max(b.burstAmount()-(b.total-amount), 0)
		claimed = b.overflow.reclaim(since, min(amount, room))
	}
	b.total -= amount - claimed
	b.removed += amount - claimed
}

// -----------------------------------------------------------------------------

// Advance lets tokens accrue and leases run out until now.
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

// expire counts the rest of a lease as used.
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
	gained := min(rate, max(b.burstAmount()-b.total-b.removed, 0))
	b.recordOverflow(b.accruedUntil, b.accruedUntil+1, rate-gained)
	b.total += gained
	b.removed = 0
	b.accruedUntil++

	room := max(b.burstAmount()-b.total, 0)
	if rate == 0 || room/rate >= int64(now-b.accruedUntil) {
		b.total += rate * int64(now-b.accruedUntil)
	} else {
		b.total += room
		full := b.accruedUntil + flow.Time(room/rate) + 1
		b.recordOverflow(full, now, rate)
	}
	b.accruedUntil = now
}

// lose remembers what could not accrue, which matters only while tokens are
// outstanding.
func (b *Bucket) recordOverflow(from, to flow.Time, each int64) {
	if b.outstanding == 0 || b.total > b.burstAmount() || each == 0 || !from.Before(to) {
		return
	}
	if b.overflow == nil {
		b.overflow = &overflowHistory{newest: slotOf(from) - 1}
	}
	b.overflow.add(from, to, each)
}

// rate returns the nanotokens that accrue in a millisecond: less than the limit
// says, so that a clock that runs fast does not grant more than the limit over
// long windows.
func (b *Bucket) accrualRate() int64 {
	full := b.limit.MicrotokensPerSecond
	return full - (full*b.settings.Drift+partsPerMillion-1)/partsPerMillion
}

const partsPerMillion = 1_000_000

func (b *Bucket) burstAmount() int64 { return int64(b.limit.Burst) * nanotokensPerToken }

func (b *Bucket) outstandingAmount() int64 { return int64(b.outstanding) * nanotokensPerToken }

func (b *Bucket) levelAmount() int64 { return max(b.total-b.outstandingAmount(), 0) }

// -----------------------------------------------------------------------------

// Take uses one token of a bucket that nobody leases from, and returns zero, or
// the time until there is one.
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

// Put takes back a token of Take that was certainly not used.
func (b *Bucket) Put(now flow.Time) {
	b.Advance(now)
	b.total = min(b.total+nanotokensPerToken, b.burstAmount())
}
