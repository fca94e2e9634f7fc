// The states of the gate, and the way back into full service by trial
// requests.

package admitter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// State says what work a gate takes.
type State int

// The states.
const (
	// StateServing takes work up to the limit.
	StateServing State = iota
	// StateTrial follows an ejection: the gate takes one request at a time, and
	// more with each good answer, until it is back at the limit.
	StateTrial
	// StateEjected takes single trial requests at a low rate.
	StateEjected
	// StateDraining takes no work, because the server or the daemon stops.
	StateDraining
	// StateLeaving takes no work, because operators take the server out.
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

// trialDoublings bounds how often the time between the trials of an ejected gate
// doubles while they end badly, so that a dead server harms fewer requests than
// one that is to show that it got better.
const trialDoublings = 2

// trialsAlone is the number of good answers in a row that a gate on trial needs
// before it takes two requests at once.
const trialsAlone = 3

// trials is the progress of the trial requests of an ejected gate, or of one
// that returns from ejection.
type trials struct {
	since   flow.Time // when the gate came into its present state
	last    flow.Time // when the last trial of an ejected gate started, or earlier for one that was missed
	good    int       // good answers in a row
	bad     int       // bad trials of an ejected gate in a row
	allowed int       // requests that a returning gate may run at once
}

// State returns the state.
func (g *Gate) State() State { return g.state }

// SetState moves the gate into a state and returns what becomes of the queue.
// An ejected gate that is told to serve goes on trial first. What is in flight
// is left to finish.
func (g *Gate) SetState(now flow.Time, state State) Moves {
	if state == StateServing && (g.state == StateEjected || g.state == StateTrial) {
		state = StateTrial
	}
	if state == g.state {
		return g.Expire(now)
	}
	g.state = state
	g.trials = trials{since: now, last: now, allowed: 1}
	switch state {
	case StateDraining, StateLeaving:
		return g.refuseQueue(flow.ReasonLeaving)
	case StateEjected:
		return g.refuseQueue(flow.ReasonEjected)
	}
	return g.Expire(now)
}

// Idle reports whether nothing is waiting or in flight, so that a stop cuts
// nothing.
func (g *Gate) Idle() bool {
	return len(g.flights) == 0 && g.queue.length == 0
}

// -----------------------------------------------------------------------------

func (g *Gate) refuseQueue(reason flow.Reason) Moves {
	var moves Moves
	for g.queue.length > 0 {
		moves.Refused = append(moves.Refused, Refusal{g.queue.pop().ID, reason})
	}
	return moves
}

// mayTry reports whether an ejected gate may start a trial request: one at a
// time, whatever older requests are still in flight.
func (g *Gate) mayTry(now flow.Time) bool {
	if now.Sub(g.trials.last) < g.trialInterval() || len(g.flights) >= g.limit(now) {
		return false
	}
	for _, f := range g.flights {
		if !f.started.Before(g.trials.since) {
			return false
		}
	}
	return true
}

// spendTrial notes the start of a trial. One trial that was missed before, for
// want of a request at the time, may follow at once; more are lost.
func (g *Gate) spendTrial(now flow.Time) {
	interval := g.trialInterval()
	g.trials.last = max(g.trials.last.Add(interval), now.Add(-interval))
}

// trialInterval is the mean time between two trials now.
func (g *Gate) trialInterval() time.Duration {
	return g.options.TrialInterval << min(g.trials.bad, trialDoublings)
}

// trialEnded takes the end of a request that started at that time while the
// gate is ejected.
func (g *Gate) trialEnded(started flow.Time, verdict flow.Verdict) {
	if g.state != StateEjected || started.Before(g.trials.since) {
		return
	}
	switch verdict {
	case flow.VerdictGood:
		g.trials.bad = 0
	case flow.VerdictShed, flow.VerdictCancelled:
	default:
		g.trials.bad++
	}
}

// tried takes the end of a request while the gate is on trial.
func (g *Gate) tried(now flow.Time, verdict flow.Verdict) {
	if g.state != StateTrial || verdict == flow.VerdictCancelled {
		return
	}
	if verdict != flow.VerdictGood {
		g.trials.good = 0
		g.trials.allowed = 1
		return
	}
	g.trials.good++
	if g.trials.good < trialsAlone {
		return
	}
	g.trials.allowed++
	if g.trials.allowed > g.options.Limiter.Limit(now) {
		g.state = StateServing
	}
}
