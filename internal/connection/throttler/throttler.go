// Package throttler keeps logs from being flooded: strangers can make
// connections and requests fail as often as they like, and only a few of the
// failures are logged.
package throttler

import (
	"sync"
	"time"
)

const (
	// mostPerInterval is the number of failures that are logged in an interval.
	mostPerInterval = 10
	// interval is the length of an interval.
	interval = 10 * time.Second
)

// Throttler counts the failures of the present interval. The zero value is ready
// for use by many goroutines.
type Throttler struct {
	mu     sync.Mutex
	since  time.Time
	logged int
	passed int
}

// Allow reports whether to log a failure, and how many were passed over since
// the last one that was logged.
func (t *Throttler) Allow(now time.Time) (passed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.since) >= interval {
		t.since = now
		t.logged = 0
	}
	if t.logged >= mostPerInterval {
		t.passed++
		return 0, false
	}
	t.logged++
	passed = t.passed
	t.passed = 0
	return passed, true
}
