// Package throttler keeps logs from being flooded: strangers can make
// connections and requests fail as often as they like, and only a few failures
// of each kind are logged, so that a flood of one kind hides no other.
package throttler

import (
	"strings"
	"sync"
	"time"
)

const (
	// mostPerInterval is the number of failures of a kind that are logged in an
	// interval.
	mostPerInterval = 10
	// interval is the length of an interval.
	interval = 10 * time.Second
	// mostKinds bounds the kinds that are told apart in an interval.
	mostKinds = 32
	// kindLength bounds the text of a kind, in bytes.
	kindLength = 64
	// otherKinds stands for the kinds beyond mostKinds.
	otherKinds = "others"
)

// Throttler counts the failures of the present interval. The zero value is ready
// for use by many goroutines.
type Throttler struct {
	mu     sync.Mutex
	since  time.Time
	logged map[string]int // by kind
	passed int
}

// Allow reports whether to log a failure with that text, and how many of all
// kinds were passed over since the last one that was logged. Texts that differ
// in numbers only are of one kind.
func (t *Throttler) Allow(now time.Time, text string) (passed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.logged == nil || now.Sub(t.since) >= interval {
		t.since = now
		t.logged = map[string]int{}
	}
	kind := kindOf(text)
	if _, known := t.logged[kind]; !known && len(t.logged) >= mostKinds {
		kind = otherKinds
	}
	if t.logged[kind] >= mostPerInterval {
		t.passed++
		return 0, false
	}
	t.logged[kind]++
	passed = t.passed
	t.passed = 0
	return passed, true
}

// kindOf is the beginning of the text without its digits.
func kindOf(text string) string {
	kind := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, text[:min(len(text), 2*kindLength)])
	return kind[:min(len(kind), kindLength)]
}
