// The module's time type and clocks. Decisions take the current Time as an
// argument, so that tests and benchmarks can choose it; only the outermost
// layers read a Clock.

package flow

import "time"

// Time is a reading of the monotonic clock of one process, in milliseconds since
// that clock's origin. Times of different processes are not comparable.
type Time int64

// Never is earlier than every time that a Clock reports.
const Never = Time(-1 << 60)

// Add returns t plus d. It truncates d to whole milliseconds.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d.Milliseconds())
}

// maxSpan is the longest span that fits a Duration, in milliseconds.
const maxSpan = Time(1<<63-1) / Time(time.Millisecond)

// Sub returns t minus u. It saturates at the longest whole-millisecond Duration
// of either sign, which matters for spans from Never.
func (t Time) Sub(u Time) time.Duration {
	span := min(max(t-u, -maxSpan), maxSpan)
	return time.Duration(span) * time.Millisecond
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Clock reports the current time of one process. Implementations are safe for
// concurrent use unless they say otherwise.
type Clock interface {
	Now() Time
}

type monotonicClock struct {
	origin          time.Time     // used if the kernel has no clock that counts suspensions
	originSinceBoot time.Duration // timeSinceBoot at the origin; 0 if origin is used
}

// NewMonotonicClock returns a Clock whose origin is the time of the call. It is
// independent of the wall clock and, where the kernel supports it, counts time
// during which the host is suspended.
func NewMonotonicClock() Clock {
	booted, ok := timeSinceBoot()
	if !ok {
		return monotonicClock{origin: time.Now()}
	}
	return monotonicClock{originSinceBoot: booted}
}

// Now returns the time since the clock's origin.
func (c monotonicClock) Now() Time {
	if c.originSinceBoot == 0 {
		return Time(time.Since(c.origin).Milliseconds())
	}
	now, _ := timeSinceBoot()
	return Time((now - c.originSinceBoot).Milliseconds())
}

// ManualClock is a Clock for tests that changes only when it is told to. It is
// not safe for concurrent use.
type ManualClock struct {
	Current Time
}

// Now returns the current time.
func (c *ManualClock) Now() Time { return c.Current }

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d time.Duration) { c.Current = c.Current.Add(d) }
