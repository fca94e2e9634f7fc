// The trace of a run: what was done to the fleet, and what was seen of it.

package experimenter

import (
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
)

// condition is what is wrong with a backend server in truth.
type condition string

const (
	conditionFaulty condition = "faulty"
	conditionCold   condition = "cold"
)

// span is a time during which a backend server was in a condition.
type span struct {
	server    string
	condition condition
	from, to  time.Duration // from the start of the measured time
}

// forever ends a span that has not ended.
const forever = time.Duration(1<<63 - 1)

// outage is a time during which new work must not reach some backend servers.
type outage struct {
	name     string
	servers  map[string]bool
	from, to time.Duration
}

// trace is safe for use by many goroutines.
type trace struct {
	start time.Time // of the measured time

	mutex   sync.Mutex
	events  []presenter.Event
	spans   []span
	outages []outage
}

// now returns the time from the start of the measured time.
func (t *trace) now() time.Duration { return time.Since(t.start) }

func (t *trace) note(what, subject, detail string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.events = append(t.events, presenter.Event{
		AtMillis: t.now().Milliseconds(), What: what, Subject: subject, Detail: detail,
	})
}

// begin notes that a backend server is in a condition, until end or for a time.
func (t *trace) begin(server string, c condition, length time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	to := forever
	if length > 0 {
		to = now + length
	}
	t.spans = append(t.spans, span{server, c, now, to})
}

func (t *trace) end(server string, c condition) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.spans {
		s := &t.spans[i]
		if s.server == server && s.condition == c && s.to == forever {
			s.to = t.now()
		}
	}
}

// takeOut notes that backend servers must get no new work from now on.
func (t *trace) takeOut(name string, servers map[string]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.outages = append(t.outages, outage{name, servers, t.now(), forever})
}

func (t *trace) putBack(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.outages {
		if t.outages[i].name == name && t.outages[i].to == forever {
			t.outages[i].to = t.now()
		}
	}
}

// truth returns what was wrong with a backend server at a time: nothing, or the
// condition. A condition counts for a while after its end, since its evidence
// is judged a little later.
func (t *trace) truth(server string, at time.Duration) condition {
	const evidence = 3 * time.Second
	for _, s := range t.spans {
		over := s.to
		if over != forever {
			over += evidence
		}
		if s.server == server && at >= s.from && at < over {
			return s.condition
		}
	}
	return ""
}

// conditionTime returns how long a backend server was in any condition.
func (t *trace) conditionTime(server string, length time.Duration) time.Duration {
	total := time.Duration(0)
	for _, s := range t.spans {
		if s.server == server {
			total += max(0, min(s.to, length)-s.from)
		}
	}
	return min(total, length)
}
