// Package throttler limits how often failures are logged. Any client can make connections
// and requests fail as often as it likes. Each kind of failure has a limit of its own, so
// that many failures of one kind do not hide those of another.
package throttler

import (
	"strings"
	"sync"
	"time"
)

const (
	// maxPerInterval limits the logged failures of one kind in an interval.
	maxPerInterval = 10
	// interval is how long the counts last before they start at zero again.
	interval = 10 * time.Second
	// maxKinds limits the kinds that are counted separately in an interval.
	maxKinds = 32
	// maxKindBytes limits the text of a kind.
	maxKindBytes = 64
	// otherKinds is the kind of all failures beyond maxKinds.
	otherKinds = "others"
)

// Throttler counts the logged failures of the current interval. The zero value is ready
// for use. A Throttler is safe for concurrent use.
type Throttler struct {
	mu         sync.Mutex
	since      time.Time      // start of the interval
	logged     map[string]int // by kind
	suppressed int            // failures since the last one that was logged
}

// Allow reports whether to log a failure with the given text. If so, it also returns how
// many failures, of all kinds, were suppressed since the last one that was logged. Texts
// that differ only in their digits are of the same kind.
func (t *Throttler) Allow(now time.Time, text string) (suppressed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.logged == nil || now.Sub(t.since) >= interval {
		t.since = now
		t.logged = map[string]int{}
	}
	kind := kindOf(text)
	if _, known := t.logged[kind]; !known && len(t.logged) >= maxKinds {
		kind = otherKinds
	}
	if t.logged[kind] >= maxPerInterval {
		t.suppressed++
		return 0, false
	}
	t.logged[kind]++
	suppressed = t.suppressed
	t.suppressed = 0
	return suppressed, true
}

// kindOf returns the beginning of the text without its digits.
func kindOf(text string) string {
	kind := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, text[:min(len(text), 2*maxKindBytes)])
	return kind[:min(len(kind), maxKindBytes)]
}
