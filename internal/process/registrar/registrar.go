// Package registrar remembers which forwarded attempts an admission daemon
// has started, so that a sender that lost sight of an attempt can learn
// whether it ran, and can bar one that has not arrived yet.
//
// An attempt starts at most once, and never after it was barred. An entry may
// be forgotten when the attempt's permit has run out, since an attempt that
// comes later is refused by its permit.
package registrar

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// State is what is known of an attempt.
type State string

// The states.
const (
	// StateNew is an attempt that was not seen before.
	StateNew State = "new"
	// StateBarred is certain: the attempt did not run and never will.
	StateBarred State = "barred"
	// StateRunning means that the attempt was started and has not ended.
	StateRunning State = "running"
	// StateEnded means that the attempt was started and has ended.
	StateEnded State = "ended"
	// StateRefused is certain: the attempt was refused without being run.
	StateRefused State = "refused"
	// StateUnknown means that the attempt was sent to an earlier process.
	StateUnknown State = "unknown"
)

// ResolveRequest asks what became of an attempt and bars it if it has not
// arrived.
type ResolveRequest struct {
	Attempt     string    `msgpack:"a"`
	Incarnation uint64    `msgpack:"i"` // of the process that the attempt was sent to
	NotAfter    flow.Time `msgpack:"t"` // of the attempt's permit
}

// ResolveAnswer tells the state of an attempt.
type ResolveAnswer struct {
	State State         `msgpack:"s"`
	Ended time.Duration `msgpack:"e,omitempty"` // time since the end, when StateEnded
}

const (
	// keepAfterEnd is how long the end of an attempt is remembered.
	keepAfterEnd = 15 * time.Second
	// sweepInterval is how often old entries are looked for.
	sweepInterval = time.Second
	// permitMargin is added to the life of a permit before its entry is dropped.
	permitMargin = time.Second
)

type entry struct {
	state    State
	notAfter flow.Time // end of the permit
	endedAt  flow.Time
	dropAt   flow.Time // flow.Never while the attempt runs
}

// Registrar holds the attempts of one process. The caller must lock it.
type Registrar struct {
	incarnation uint64
	entries     map[string]*entry
	sweepAt     flow.Time
}

// New returns an empty Registrar for a process.
func New(incarnation uint64) *Registrar {
	return &Registrar{incarnation: incarnation, entries: map[string]*entry{}}
}

// Arrive records that an attempt arrived, with the end of its permit, and
// returns its state before that. Only an attempt that is StateNew may be run.
func (r *Registrar) Arrive(now flow.Time, attempt string, notAfter flow.Time) State {
	r.sweep(now)
	if e, ok := r.entries[attempt]; ok {
		return e.state
	}
	r.entries[attempt] = &entry{state: StateRunning, notAfter: notAfter, dropAt: flow.Never}
	return StateNew
}

// End records that an attempt that arrived has ended: refused without being
// run, or run.
func (r *Registrar) End(now flow.Time, attempt string, refused bool) {
	e, ok := r.entries[attempt]
	if !ok {
		return
	}
	e.state = StateEnded
	if refused {
		e.state = StateRefused
	}
	e.endedAt = now
	e.dropAt = max(now, e.notAfter).Add(keepAfterEnd + permitMargin)
}

// Resolve returns the state of an attempt, and bars it if it has not arrived.
func (r *Registrar) Resolve(now flow.Time, request ResolveRequest) ResolveAnswer {
	r.sweep(now)
	if request.Incarnation != r.incarnation {
		return ResolveAnswer{State: StateUnknown}
	}
	e, ok := r.entries[request.Attempt]
	if !ok {
		return r.resolveAbsent(now, request)
	}
	answer := ResolveAnswer{State: e.state}
	if e.state == StateEnded {
		answer.Ended = now.Sub(e.endedAt)
	}
	return answer
}

// resolveAbsent bars an attempt that is not remembered. One whose permit ran
// out so long ago that its entry may have been dropped cannot be told.
func (r *Registrar) resolveAbsent(now flow.Time, request ResolveRequest) ResolveAnswer {
	if now.After(request.NotAfter.Add(keepAfterEnd)) {
		return ResolveAnswer{State: StateUnknown}
	}
	dropAt := request.NotAfter.Add(permitMargin)
	if dropAt.Before(now.Add(permitMargin)) {
		dropAt = now.Add(permitMargin)
	}
	r.entries[request.Attempt] = &entry{state: StateBarred, dropAt: dropAt}
	return ResolveAnswer{State: StateBarred}
}

// sweep drops entries that are no longer needed.
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
