// Package registrar records which forwarded attempts an admission daemon has
// started. An ingress that lost track of an attempt can ask whether it ran, and can
// bar one that has not arrived yet: a barred attempt never starts.
//
// An attempt starts at most once. The entry of an attempt may be dropped once the
// attempt's permit has expired, because an attempt that arrives later is refused for
// its permit.
package registrar

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// State is the known state of an attempt.
type State string

// The states.
const (
	// StateNew means that the attempt has not been seen before.
	StateNew State = "new"
	// StateBarred means for certain that the attempt did not run and never will.
	StateBarred State = "barred"
	// StateRunning means that the attempt has started and not ended.
	StateRunning State = "running"
	// StateEnded means that the attempt has started and ended.
	StateEnded State = "ended"
	// StateRefused means for certain that the attempt was refused and did not run.
	StateRefused State = "refused"
	// StateUnknown means that nothing can be said: the attempt was sent to an
	// earlier process, or its entry may have been dropped.
	StateUnknown State = "unknown"
)

// ResolveRequest asks for the state of an attempt, and bars the attempt if it has
// not arrived.
type ResolveRequest struct {
	Attempt     string    `msgpack:"a"`
	Incarnation uint64    `msgpack:"i"` // of the process to which the attempt was sent
	NotAfter    flow.Time `msgpack:"t"` // end of the attempt's permit
}

// ResolveAnswer is the answer to a ResolveRequest.
type ResolveAnswer struct {
	State State         `msgpack:"s"`
	Ended time.Duration `msgpack:"e,omitempty"` // time since the end; set with StateEnded only
}

const (
	// keepEndedFor is how long an ended attempt is remembered after its end or that
	// of its permit, whichever is later.
	keepEndedFor = 15 * time.Second
	// sweepInterval is the time between two removals of old entries.
	sweepInterval = time.Second
	// permitMargin is added to the end of a permit before its entry is dropped.
	permitMargin = time.Second
)

type entry struct {
	state    State
	notAfter flow.Time // end of the attempt's permit
	endedAt  flow.Time
	dropAt   flow.Time // flow.Never while the attempt runs
}

// Registrar holds the attempts of one process. It is not safe for concurrent use;
// the caller must hold a lock.
type Registrar struct {
	incarnation uint64
	entries     map[string]*entry
	sweepAt     flow.Time
}

// New returns an empty Registrar for the process with the given incarnation.
func New(incarnation uint64) *Registrar {
	return &Registrar{incarnation: incarnation, entries: map[string]*entry{}}
}

// RecordArrival records that an attempt with the given end of its permit has
// arrived, and returns the state before. The caller may run the attempt only if that
// was StateNew.
func (r *Registrar) RecordArrival(now flow.Time, attempt string, notAfter flow.Time) State {
	r.sweep(now)
	if e, ok := r.entries[attempt]; ok {
		return e.state
	}
	r.entries[attempt] = &entry{state: StateRunning, notAfter: notAfter, dropAt: flow.Never}
	return StateNew
}

// RecordEnd records that an attempt has ended, or that it was refused without being
// run. It has no effect for an attempt without an entry.
func (r *Registrar) RecordEnd(now flow.Time, attempt string, refused bool) {
	e, ok := r.entries[attempt]
	if !ok {
		return
	}
	e.state = StateEnded
	if refused {
		e.state = StateRefused
	}
	e.endedAt = now
	e.dropAt = max(now, e.notAfter).Add(keepEndedFor + permitMargin)
}

// Resolve returns the state of an attempt, and bars the attempt if it has not
// arrived.
func (r *Registrar) Resolve(now flow.Time, request ResolveRequest) ResolveAnswer {
	r.sweep(now)
	if request.Incarnation != r.incarnation {
		return ResolveAnswer{State: StateUnknown}
	}
	e, ok := r.entries[request.Attempt]
	if !ok {
		return r.resolveUnseen(now, request)
	}
	answer := ResolveAnswer{State: e.state}
	if e.state == StateEnded {
		answer.Ended = now.Sub(e.endedAt)
	}
	return answer
}

// resolveUnseen bars an attempt that has no entry. The state is unknown if the
// permit expired so long ago that the entry may have been dropped.
func (r *Registrar) resolveUnseen(now flow.Time, request ResolveRequest) ResolveAnswer {
	if now.After(request.NotAfter.Add(keepEndedFor)) {
		return ResolveAnswer{State: StateUnknown}
	}
	dropAt := request.NotAfter.Add(permitMargin)
	if dropAt.Before(now.Add(permitMargin)) {
		dropAt = now.Add(permitMargin)
	}
	r.entries[request.Attempt] = &entry{state: StateBarred, dropAt: dropAt}
	return ResolveAnswer{State: StateBarred}
}

// sweep drops entries that are no longer needed, once every sweepInterval.
func (r *Registrar) sweep(now flow.Time) {
	if now.Before(r.sweepAt) {
		return
	}
	r.sweepAt = now.Add(sweepInterval)
	for attempt, e := range r.entries {
		if e.dropAt != flow.Never && now.After(e.dropAt) {
			delete(r.entries, attempt)
		}
	}
}
