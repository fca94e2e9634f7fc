// Who reads the platform and who follows whom.

package follower

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// silentPenalty is how long a peer that did not answer is passed over.
	silentPenalty = 4 * time.Second
	// stalePenalty is how long a peer with old knowledge is passed over.
	stalePenalty = 2 * time.Second
	// staleAfter is the age of a peer's proof from which it is passed over. It is
	// well below the 2 s in which a configuration has to be in force.
	staleAfter = 1600 * time.Millisecond
	// firstBackoff and longestBackoff bound the wait before a store that failed is
	// asked again; calls to a store that is away are not free.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 2 * time.Second
	// mostSilent is how many peers in a row may be silent before the platform is
	// read once: each takes 600 ms to find out.
	mostSilent = 2
)

// readingThing is what hosts are ranked for when they read the platform.
const readingThing = "reader"

// ranking decides where a daemon reads. In each zone the first host by
// rendezvous hashing reads the platform, and the others follow it; when it falls
// silent or stale, the next one takes over. It is a state machine.
type ranking struct {
	self      string
	penalty   map[string]flow.Time // until when a host is passed over
	backoff   time.Duration
	storeAt   flow.Time // the store is not asked before
	fallback  int       // counts the peers asked instead of the store
	silentRow int       // peers in a row that did not answer
}

func newRanking(self string) *ranking {
	return &ranking{self: self, penalty: map[string]flow.Time{}, storeAt: flow.Never}
}

// next returns the peer to follow, or "" for the platform itself. elsewhere are
// the hosts of other zones.
func (r *ranking) next(now flow.Time, zone, elsewhere []string) string {
	ranked := ranker.New(zone).Ranked(readingThing, len(zone))
	for _, host := range ranked {
		if host == r.self || r.silentRow >= mostSilent {
			break
		}
		if !now.Before(r.penaltyOf(host)) {
			return host
		}
	}
	if !now.Before(r.storeAt) {
		return ""
	}
	// The store has just failed for this daemon: it may serve others.
	others := slices.DeleteFunc(append(ranked, elsewhere...), func(host string) bool {
		return host == r.self || now.Before(r.penaltyOf(host))
	})
	if len(others) == 0 {
		return ""
	}
	r.fallback++
	return others[r.fallback%len(others)]
}

func (r *ranking) penaltyOf(host string) flow.Time {
	if until, ok := r.penalty[host]; ok {
		return until
	}
	return flow.Never
}

func (r *ranking) silent(now flow.Time, host string) {
	r.penalty[host] = now.Add(silentPenalty)
	r.silentRow++
}

func (r *ranking) answered() { r.silentRow = 0 }

func (r *ranking) stale(now flow.Time, host string) { r.penalty[host] = now.Add(stalePenalty) }

func (r *ranking) storeFailed(now flow.Time, jitter float64) {
	r.backoff = min(max(2*r.backoff, firstBackoff), longestBackoff)
	r.storeAt = now.Add(time.Duration(float64(r.backoff) * (0.75 + jitter/2)))
}

func (r *ranking) storeAnswered() { r.backoff, r.storeAt, r.silentRow = 0, flow.Never, 0 }

// storeWait is how long to wait until the store may be asked again.
func (r *ranking) storeWait(now flow.Time) time.Duration { return max(r.storeAt.Sub(now), 0) }
