// What a daemon does while its host is cut off from the platform alone.
//
// The entry of a backend server expires when its host is cut off, although the server and
// the ways between the daemons are in order. All daemons hear of that from the others. The
// daemons that are not cut off must treat the server as gone. Those that are cut off go on
// using each other's servers: otherwise the callers of these hosts crowd onto the remaining
// servers while their own are idle.

package follower

import (
	"context"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// departureCheckInterval is the time between two checks whether the entry of this host's
	// backend server is missing.
	departureCheckInterval = 250 * time.Millisecond
	// cutOffProbeInterval is the pause between two reads of the platform, and two health
	// checks, while the entry is missing.
	cutOffProbeInterval = 500 * time.Millisecond
	// cutOffProbeTimeout bounds one read. The platform answers within milliseconds.
	cutOffProbeTimeout = 700 * time.Millisecond
	// returnGrace is how long the departed servers stay in use after the platform has
	// answered again. Live servers are listed again within about 2 s.
	returnGrace = 2 * time.Second
)

// cutOffDetector decides from probes whether this host is cut off from the platform. It is
// a state machine.
type cutOffDetector struct {
	cutOff     bool
	gone       bool      // the platform says that the entry is gone
	nextProbe  flow.Time // Never while the entry is listed
	answeredAt flow.Time // when the platform answered again; Never before that
}

func newCutOffDetector() *cutOffDetector {
	return &cutOffDetector{nextProbe: flow.Never, answeredAt: flow.Never}
}

// probeDue takes note of whether the entry is missing, and reports whether to probe.
func (c *cutOffDetector) probeDue(now flow.Time, missing bool) bool {
	if !missing {
		*c = *newCutOffDetector()
		return false
	}
	if c.answeredAt != flow.Never && now.Sub(c.answeredAt) >= returnGrace {
		c.cutOff, c.gone = false, true
	}
	return !c.gone && c.answeredAt == flow.Never && !now.Before(c.nextProbe)
}

// probed takes note of whether the platform answered, and whether the backend server is
// healthy and not about to leave.
func (c *cutOffDetector) probed(now flow.Time, answered, healthy bool) {
	c.nextProbe = now.Add(cutOffProbeInterval)
	switch {
	case answered && c.cutOff:
		c.answeredAt = now
	case answered:
		c.gone = true
	default:
		c.cutOff = healthy
	}
}

// detectCutOff keeps the state informed whether this host is cut off, until ctx ends.
func (f *Follower) detectCutOff(ctx context.Context) {
	if f.ServerHealthy == nil {
		return
	}
	detector := newCutOffDetector()
	for flow.Sleep(ctx, departureCheckInterval) {
		f.mu.Lock()
		missing := f.state.ServerDeparted(f.Host)
		f.mu.Unlock()
		if detector.probeDue(f.Clock.Now(), missing) {
			answered := f.platformAnswers(ctx)
			healthy := !answered && f.ServerHealthy(ctx)
			detector.probed(f.Clock.Now(), answered, healthy)
		}
		f.setCutOff(detector.cutOff)
	}
}

// platformAnswers reads the platform once, and reports whether it answered, if only by a
// refusal: what is refused is not cut off.
func (f *Follower) platformAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cutOffProbeTimeout)
	defer cancel()
	update, err := f.Platform.Watch(ctx, f.revision(), 0, cancel)
	if err == nil {
		f.apply(ctx, sourcePlatform, update, 0)
	}
	return err == nil || flow.IsResponseError(err)
}

func (f *Follower) setCutOff(cutOff bool) {
	f.mu.Lock()
	wasCutOff := f.cutOff
	f.cutOff = cutOff
	changed := f.state.SetCutOff(f.Clock.Now(), cutOff)
	f.mu.Unlock()
	if cutOff && !wasCutOff && f.OnCutOff != nil {
		f.OnCutOff()
	}
	if cutOff != wasCutOff {
		f.knowledgeLog().Info("cut off from the platform", "cut-off", cutOff)
	}
	if changed {
		f.publish()
	}
}
