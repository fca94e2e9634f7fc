// The trace of a run: actions on the fleet, observed events, and actual conditions.

package experimenter

import (
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
)

// condition is what is actually wrong with a backend server, whether or not a daemon
// has detected it.
type condition string

const (
	conditionFaulty condition = "faulty"
	conditionCold   condition = "cold"
)

// conditionSpan is a time during which a backend server had a condition.
type conditionSpan struct {
	server    string
	condition condition
	from, to  time.Duration // from the start of the measured time
}

// forever is the end of a span or an outage that has not ended.
const forever = time.Duration(1<<63 - 1)

// outage is a time during which backend servers must not get new requests.
type outage struct {
	name     string
	servers  map[string]bool
	from, to time.Duration
}

// trace records a run. It is safe for concurrent use.
type trace struct {
	start time.Time // of the measured time

	mutex          sync.Mutex
	events         []presenter.Event
	conditionSpans []conditionSpan
	outages        []outage
}

// now returns the time since the start of the measured time.
func (t *trace) now() time.Duration { return time.Since(t.start) }

func (t *trace) addEvent(what, subject, detail string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.events = append(t.events, presenter.Event{
		AtMillis: t.now().Milliseconds(), What: what, Subject: subject, Detail: detail,
	})
}

// beginCondition records that a backend server has a condition: for a time, or until
// endCondition if length is 0.
func (t *trace) beginCondition(server string, c condition, length time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	to := forever
	if length > 0 {
		to = now + length
	}
	t.conditionSpans = append(t.conditionSpans, conditionSpan{server, c, now, to})
}

func (t *trace) endCondition(server string, c condition) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.conditionSpans {
		s := &t.conditionSpans[i]
		if s.server == server && s.condition == c && s.to == forever {
			s.to = t.now()
		}
	}
}

// beginOutage records that backend servers must not get new requests from now on.
func (t *trace) beginOutage(name string, servers map[string]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.outages = append(t.outages, outage{name, servers, t.now(), forever})
}

func (t *trace) endOutage(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i := range t.outages {
		if t.outages[i].name == name && t.outages[i].to == forever {
			t.outages[i].to = t.now()
		}
	}
}

// conditionAt returns the condition of a backend server at a time, or "" for a
// healthy one. A condition still counts for a while after its end, since daemons
// evaluate its effects a little later.
func (t *trace) conditionAt(server string, at time.Duration) condition {
	const evaluationDelay = 3 * time.Second
	for _, s := range t.conditionSpans {
		end := s.to
		if end != forever {
			end += evaluationDelay
		}
		if s.server == server && at >= s.from && at < end {
			return s.condition
		}
	}
	return ""
}

// conditionTime returns how long, within length, a backend server had a condition.
func (t *trace) conditionTime(server string, length time.Duration) time.Duration {
	total := time.Duration(0)
	for _, s := range t.conditionSpans {
		if s.server == server {
			total += max(0, min(s.to, length)-s.from)
		}
	}
	return min(total, length)
}
