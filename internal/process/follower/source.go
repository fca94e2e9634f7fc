// The choice of the source that a daemon reads: the platform or a peer.

package follower

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// silentPenalty is how long a peer that did not answer is skipped.
	silentPenalty = 4 * time.Second
	// stalePenalty is how long a peer with stale data is skipped.
	stalePenalty = 2 * time.Second
	// staleAge is the proof age from which a peer is skipped. It is well below the
	// 2 s within which a configuration must be in force.
	staleAge = 1600 * time.Millisecond
	// minBackoff and maxBackoff bound the wait before the platform is read again
	// after a failure, because calls to a platform that is down are not free.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxSilentInRow is how many peers in a row may be silent before the platform is
	// read once. Each takes 600 ms to detect.
	maxSilentInRow = 2
)

// Names of sources in the log, apart from the IP addresses of hosts.
const (
	sourcePlatform = "platform"
	sourceOthers   = "others" // one host after the other, while the platform does not answer
)

// readerResource is the resource for which hosts are ranked as readers of the
// platform.
const readerResource = "reader"

// sourceSelector decides from which source a daemon reads. In each zone the first
// host by rendezvous hashing reads the platform, and the others follow it; when it
// is silent or stale, the next one takes over. The selector is a state machine.
type sourceSelector struct {
	self        string
	penalties   map[string]flow.Time // until when a peer is skipped
	backoff     time.Duration
	platformAt  flow.Time // the platform is not read before this time
	fallbacks   int       // number of peers read instead of the platform
	fallingBack bool      // the newest source is such a peer
	silentInRow int       // peers in a row that did not answer
}

func newSourceSelector(self string) *sourceSelector {
	return &sourceSelector{self: self, penalties: map[string]flow.Time{}, platformAt: flow.Never}
}

// nextSource returns the peer to follow, or "" for the platform itself. Elsewhere
// holds the hosts of other zones.
func (s *sourceSelector) nextSource(now flow.Time, zone, elsewhere []string) string {
	s.fallingBack = false
	ranked := ranker.New(zone).Ranked(readerResource, len(zone))
	for _, host := range ranked {
		if host == s.self || s.silentInRow >= maxSilentInRow {
			break
		}
		if !now.Before(s.penaltyEnd(host)) {
			return host
		}
	}
	if !now.Before(s.platformAt) {
		return ""
	}
	// The platform has just failed for this daemon but may still serve others.
	others := slices.DeleteFunc(append(ranked, elsewhere...), func(host string) bool {
		return host == s.self || now.Before(s.penaltyEnd(host))
	})
	if len(others) == 0 {
		return ""
	}
	s.fallbacks++
	s.fallingBack = true
	return others[s.fallbacks%len(others)]
}

func (s *sourceSelector) penaltyEnd(host string) flow.Time {
	if until, ok := s.penalties[host]; ok {
		return until
	}
	return flow.Never
}

func (s *sourceSelector) markSilent(now flow.Time, host string) {
	s.penalties[host] = now.Add(silentPenalty)
	s.silentInRow++
}

func (s *sourceSelector) markAnswered() { s.silentInRow = 0 }

func (s *sourceSelector) markStale(now flow.Time, host string) {
	s.penalties[host] = now.Add(stalePenalty)
}

func (s *sourceSelector) markPlatformFailed(now flow.Time, jitter float64) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.platformAt = now.Add(time.Duration(float64(s.backoff) * (0.75 + jitter/2)))
}

func (s *sourceSelector) markPlatformAnswered() {
	s.backoff, s.platformAt, s.silentInRow = 0, flow.Never, 0
}

// platformDelay returns how long to wait before the platform may be read again.
func (s *sourceSelector) platformDelay(now flow.Time) time.Duration {
	return max(s.platformAt.Sub(now), 0)
}
