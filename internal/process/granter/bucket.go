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

const nanotokens = 1_000_000_000 // nanotokens in a token

// Settings are what all daemons of a region agree on for leases.
type Settings struct {
	Lifetime    time.Duration // of a lease, on the asker's clock from sending
	Margin      time.Duration // added to the lifetime at the owner; covers clocks that run at different speeds
	AskerMemory time.Duration // how long an asker's demand counts when tokens are short
	MaxRetry    time.Duration // longest advice to come back later
	Drift       int64         // parts in a million by which a host's clock may run fast or slow
}

// DefaultSettings returns the settings for hosts in one region.
func DefaultSettings() Settings {
	return Settings{
		Lifetime:    time.Second,
		Margin:      50 * time.Millisecond,
		AskerMemory: 250 * time.Millisecond,
		MaxRetry:    time.Second,
		Drift:       1000,
	}
}

// Bucket is the state of one share at its owner. The caller locks it.
type Bucket struct {
	settings    Settings
	limit       Limit
	at          flow.Time // time up to which tokens have accrued
	freshUntil  flow.Time // before, the bucket may lack tokens that the customer did not use
	sum         int64     // nanotokens in the level and outstanding together
	reduced     int64     // nanotokens that left sum at time at
	outstanding int       // tokens granted, and neither used, returned nor expired
	askers      map[askerKey]*asker
	expiring    []*lease // by expiry; may hold closed leases
	lost        *overflow
	used        usage
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
		settings:   settings,
		limit:      limit,
		at:         since,
		freshUntil: since.Add(limit.refill()),
		askers:     map[askerKey]*asker{},
		used:       usage{at: now},
	}
	b.used.tokens = unknownPart * limit.PerSecond() * b.averaging().Seconds()
	b.Advance(now)
	return b
}

// Level returns the tokens that can be granted at the time of the last event.
func (b *Bucket) Level() int {
	return int(b.level() / nanotokens)
}

// Outstanding returns the tokens that are granted and may still be used.
func (b *Bucket) Outstanding() int { return b.outstanding }

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit { return b.limit }

// Idle reports whether the bucket is full and holds nothing that matters: one
// that an owner of long standing creates anew would be the same.
func (b *Bucket) Idle(now flow.Time) bool {
	b.Advance(now)
	b.forgetAskers(now)
	return b.outstanding == 0 && b.sum >= b.capacity() && len(b.askers) == 0
}

// SetLimit brings a new limit into force at once. What is outstanding stays so;
// the level is cut to the new burst.
func (b *Bucket) SetLimit(now flow.Time, limit Limit) {
	b.Advance(now)
	b.limit = limit
	b.sum = min(b.sum, max(b.capacity(), b.held()))
	b.lost = nil
}

// -----------------------------------------------------------------------------

// Grant answers a request. It returns false for a request that is older than
// one already taken; such a request is not answered. A repeated request gets
// the first answer again.
func (b *Bucket) Grant(now flow.Time, request Request) (Answer, bool) {
	b.Advance(now)
	received := now
	now = max(now, b.at)
	a := b.askerOf(request)
	if request.Sequence < a.sequence {
		return Answer{}, false
	}
	if request.Sequence == a.sequence {
		return a.answer, a.answer.Sequence == request.Sequence
	}
	a.sequence = request.Sequence
	a.seen = now
	b.takeReports(now, a, request)
	granted := b.divide(now, a, request)
	b.lend(now, a, granted)
	b.used.add(now, granted, b.averaging())
	retryAfter := b.retryAfter(now, a, request.Want-request.Ahead-granted)
	a.answer = Answer{
		Customer:   request.Customer,
		Share:      request.Share,
		Shares:     request.Shares,
		Sequence:   request.Sequence,
		Granted:    granted,
		Lifetime:   b.settings.Lifetime,
		RetryAfter: retryAfter + max(b.at.Sub(received), 0),
		Level:      b.Level(),
		Ample:      b.ample(a),
		Fresh:      now.Before(b.freshUntil),
	}
	return a.answer, true
}

func (b *Bucket) lend(now flow.Time, a *asker, granted int) {
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
func (b *Bucket) takeReports(now flow.Time, a *asker, request Request) {
	for _, l := range a.leases {
		if l.sequence > request.Answered {
			b.giveBack(l, l.left())
		}
	}
	for _, report := range request.Reports {
		if l := a.lease(report.Lease); l != nil {
			b.takeReport(now, l, report)
		}
	}
	a.leases = slices.DeleteFunc(a.leases, func(l *lease) bool { return l.closed })
}

func (b *Bucket) takeReport(now flow.Time, l *lease, report Report) {
	if used := min(report.Used-l.used, l.left()); used > 0 {
		l.used += used
		b.spend(used, now.Add(-report.UsedAge)+ageRounding)
	}
	b.giveBack(l, min(report.Returned-l.returned, l.left()))
	l.closed = l.left() == 0
}

// ageRounding covers the rounding of both clocks to whole milliseconds.
const ageRounding = 2 // milliseconds

// giveBack moves tokens from a lease into the level.
func (b *Bucket) giveBack(l *lease, returned int) {
	if returned <= 0 {
		return
	}
	l.returned += returned
	l.closed = l.left() == 0
	b.outstanding -= returned
	b.used.add(b.at, -returned, b.averaging())
	b.sum = min(b.sum, max(b.capacity(), b.held()))
}

// spend removes used tokens. What was lost at the limit since their use is
// claimed back.
func (b *Bucket) spend(used int, since flow.Time) {
	b.outstanding -= used
	amount := int64(used) * nanotokens
	claimed := int64(0)
	if b.lost != nil {
		room := max(b.capacity()-(b.sum-amount), 0)
		claimed = b.lost.claim(since, min(amount, room))
	}
	b.sum -= amount - claimed
	b.reduced += amount - claimed
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
		b.lost = nil
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
	b.sum -= int64(left) * nanotokens
	b.reduced += int64(left) * nanotokens
}

func (b *Bucket) accrue(now flow.Time) {
	if !b.at.Before(now) {
		return
	}
	rate := b.rate()
	gained := min(rate, max(b.capacity()-b.sum-b.reduced, 0))
	b.lose(b.at, b.at+1, rate-gained)
	b.sum += gained
	b.reduced = 0
	b.at++

	room := max(b.capacity()-b.sum, 0)
	if rate == 0 || room/rate >= int64(now-b.at) {
		b.sum += rate * int64(now-b.at)
	} else {
		b.sum += room
		full := b.at + flow.Time(room/rate) + 1
		b.lose(full, now, rate)
	}
	b.at = now
}

// lose remembers what could not accrue, which matters only while tokens are
// outstanding.
func (b *Bucket) lose(from, to flow.Time, each int64) {
	if b.outstanding == 0 || b.sum > b.capacity() || each == 0 || !from.Before(to) {
		return
	}
	if b.lost == nil {
		b.lost = &overflow{newest: slotOf(from) - 1}
	}
	b.lost.add(from, to, each)
}

// rate returns the nanotokens that accrue in a millisecond: less than the limit
// says, so that a clock that runs fast does not grant more than the limit over
// long windows.
func (b *Bucket) rate() int64 {
	full := b.limit.MicrotokensPerSecond
	return full - (full*b.settings.Drift+driftUnit-1)/driftUnit
}

const driftUnit = 1_000_000

func (b *Bucket) capacity() int64 { return int64(b.limit.Burst) * nanotokens }

func (b *Bucket) held() int64 { return int64(b.outstanding) * nanotokens }

func (b *Bucket) level() int64 { return max(b.sum-b.held(), 0) }

// -----------------------------------------------------------------------------

// Take uses one token of a bucket that nobody leases from, and returns zero, or
// the time until there is one.
func (b *Bucket) Take(now flow.Time) time.Duration {
	b.Advance(now)
	if b.Level() < 1 {
		rate := max(b.rate(), 1)
		wait := time.Duration((nanotokens-b.level())/rate+1) * time.Millisecond
		return min(wait, b.settings.MaxRetry)
	}
	b.sum -= nanotokens
	b.reduced += nanotokens
	return 0
}

// Put takes back a token of Take that was certainly not used.
func (b *Bucket) Put(now flow.Time) {
	b.Advance(now)
	b.sum = min(b.sum+nanotokens, b.capacity())
}
