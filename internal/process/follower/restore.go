// What daemons tell each other after a restore of the platform: what it has lost.

package follower

import (
	"context"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/replicator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// informedInterval is the time between two questions to hosts that know more. Each
	// question may bring what several hosts know.
	informedInterval = 50 * time.Millisecond
	// maxLoggedKeys bounds the keys in a line of the log.
	maxLoggedKeys = 10
)

// bringsLost reports whether an update holds something that the platform has lost: a
// configuration or restrictions.
func bringsLost(update flow.Update) bool {
	for _, change := range update.Changes {
		if change.Configuration != nil && change.Revision.Era() < update.Revision.Era() {
			return true
		}
	}
	return len(update.Kept) > 0
}

// noteInformed takes note of a host that knows of a later era than this one, or of what the
// platform has lost. A host that this daemon reads the platform for may be the only one that
// knows it. The caller must hold the lock.
func (f *Follower) noteInformed(now flow.Time, host string, other replicator.Known) {
	known := f.state.Known()
	era := known.Revision.Era()
	more := other.Revision.Era() > era
	if other.Revision.Era() == era && era > 0 {
		more = other.Version > known.Version || f.state.Keeps(now) && other.Restrictions != 0 && other.Restrictions != known.Restrictions
	}
	if !more || known.Revision == 0 {
		return
	}
	select {
	case f.informed <- host:
	default: // another one is asked first
	}
}

// readInformed asks hosts that know more, one after the other.
func (f *Follower) readInformed(ctx context.Context) {
	for flow.Sleep(ctx, informedInterval) {
		select {
		case host := <-f.informed:
			f.readInformedHost(ctx, host)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) readInformedHost(ctx context.Context, host string) {
	defer recoverer.Recover(f.Log, "follow", func() {})
	request := f.newFetchRequest(0, false)
	answer, err := f.call(ctx, host, request, peerAnswerMargin)
	if err == nil && answer.Large {
		_, err = f.transfer(ctx, host, request)
	} else if err == nil {
		f.apply(ctx, host, answer.Update, 0)
	}
	if err != nil && ctx.Err() == nil {
		f.knowledgeLog().Info("peer did not answer the fetch", "step", "fetch-lost", "peer", host, "cause", err.Error())
	}
}

// keepsRestrictions reports whether restrictions from before a restore may be in force.
func (f *Follower) keepsRestrictions() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Keeps(f.Clock.Now())
}

// noteRestores logs and counts the eras that have begun. The caller must hold the lock.
func (f *Follower) noteRestores(source string, before uint64) {
	restores := f.state.Restores()
	if restores == before {
		return
	}
	f.Log.Info("the store was restored from a copy", "source", source, "era", f.state.Revision().Era(), "revision", f.state.Revision(),
		"eras", restores-before)
	for ; before < restores && f.OnRestore != nil; before++ {
		f.OnRestore()
	}
}

// noteRestrictions logs which restrictions are kept after a restore, and why others were
// lifted. The caller must hold the lock.
func (f *Follower) noteRestrictions() {
	lifts := map[string][]string{}
	for _, lift := range f.state.TakeLifts() {
		lifts[lift.Reason] = append(lifts[lift.Reason], lift.Key)
	}
	for reason, keys := range lifts {
		f.Log.Info("restrictions from before the restore were lifted", "reason", reason, "count", len(keys), "keys", firstKeys(keys))
	}
	kept := f.state.Restricted()
	if len(kept) > f.restricted {
		f.Log.Info("restrictions are kept that the store has lost", "count", len(kept), "keys", firstKeys(kept), "revision", f.state.Revision())
	}
	f.restricted = len(kept)
}

func firstKeys(keys []string) []string { return keys[:min(len(keys), maxLoggedKeys)] }
