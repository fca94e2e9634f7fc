// The states of the gate, and the return to full service by trial requests.

package admitter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// State determines which requests a Gate admits.
type State int

// The states.
const (
	// StateServing admits requests up to the limit.
	StateServing State = iota
	// StateTrial follows an ejection: the gate admits one request at a time until
	// sequentialTrials of them succeed in a row, then one more with each further
	// success, up to the limit.
	StateTrial
	// StateEjected admits single trial requests at a low rate.
	StateEjected
	// StateDraining admits nothing, because the server or the daemon is stopping.
	StateDraining
	// StateLeaving admits nothing, because operators are removing the server.
	StateLeaving
)

// String returns the name of the state in kebab case.
func (s State) String() string {
	names := [...]string{"serving", "trial", "ejected", "draining", "leaving"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// maxIntervalDoublings bounds the backoff between failing trials of an ejected
// gate. The backoff makes a dead server fail fewer requests; the bound lets a
// server that has recovered return soon.
const maxIntervalDoublings = 2

// sequentialTrials is the number of consecutive successful responses that a
// gate in StateTrial needs before it allows two requests at once.
const sequentialTrials = 3

// trials is the progress of trial requests in StateEjected and StateTrial.
type trials struct {
	since     flow.Time // when the gate entered its current state
	lastStart flow.Time // start of the last trial of an ejected gate, or earlier when a missed trial may still follow
	successes int       // consecutive, in StateTrial
	failures  int       // consecutive, in StateEjected
	limit     int       // requests that may be in flight in StateTrial
}

// State returns the current state.
func (g *Gate) State() State { return g.state }

// SetState changes the state and returns the requests that leave the queue. An
// ejected gate that is set to StateServing enters StateTrial first. Requests in
// flight are left to finish.
func (g *Gate) SetState(now flow.Time, state State) Dequeued {
	if state == StateServing && (g.state == StateEjected || g.state == StateTrial) {
		state = StateTrial
	}
	if state == g.state {
		return g.Advance(now)
	}
	g.state = state
	g.trials = trials{since: now, lastStart: now, limit: 1}
	switch state {
	case StateDraining, StateLeaving:
		return g.refuseQueue(flow.ReasonLeaving)
	case StateEjected:
		return g.refuseQueue(flow.ReasonEjected)
	}
	return g.Advance(now)
}

// Idle reports whether no request is waiting or in flight, so that stopping
// aborts none.
func (g *Gate) Idle() bool {
	return len(g.inFlight) == 0 && g.queue.length == 0
}

func (g *Gate) refuseQueue(reason flow.Reason) Dequeued {
	var dequeued Dequeued
	for g.queue.length > 0 {
		dequeued.Refused = append(dequeued.Refused, Refusal{g.queue.pop().ID, reason})
	}
	return dequeued
}

// mayStartTrial reports whether an ejected gate may start a trial request.
// Trials run one at a time; requests that started before the ejection and are
// still in flight block one only when they use up the limit.
func (g *Gate) mayStartTrial(now flow.Time) bool {
	if now.Sub(g.trials.lastStart) < g.trialInterval() || len(g.inFlight) >= g.limit(now) {
		return false
	}
	for _, request := range g.inFlight {
		if !request.started.Before(g.trials.since) {
			return false
		}
	}
	return true
}

// recordTrialStart records the start of a trial. If a trial was missed because
// no request arrived at its time, one more may follow at once; further missed
// trials are lost.
func (g *Gate) recordTrialStart(now flow.Time) {
	interval := g.trialInterval()
	g.trials.lastStart = max(g.trials.lastStart.Add(interval), now.Add(-interval))
}

// trialInterval is the current mean time between two trials.
func (g *Gate) trialInterval() time.Duration {
	return g.options.TrialInterval << min(g.trials.failures, maxIntervalDoublings)
}

// recordEjectedTrial records the end of a request in StateEjected. Requests
// that started before the ejection do not count.
func (g *Gate) recordEjectedTrial(started flow.Time, verdict flow.Verdict) {
	if g.state != StateEjected || started.Before(g.trials.since) {
		return
	}
	switch verdict {
	case flow.VerdictGood:
		g.trials.failures = 0
	case flow.VerdictShed, flow.VerdictCancelled:
	default:
		g.trials.failures++
	}
}

// recordRecoveryTrial records the end of a request in StateTrial.
func (g *Gate) recordRecoveryTrial(now flow.Time, verdict flow.Verdict) {
	if g.state != StateTrial || verdict == flow.VerdictCancelled {
		return
	}
	if verdict != flow.VerdictGood {
		g.trials.successes = 0
		g.trials.limit = 1
		return
	}
	g.trials.successes++
	if g.trials.successes < sequentialTrials {
		return
	}
	g.trials.limit++
	if g.trials.limit > g.options.Limiter.Limit(now) {
		g.state = StateServing
	}
}
