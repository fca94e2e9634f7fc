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
	// lostPenalty is how long a peer is skipped that has lost its source or whose data
	// is stale.
	lostPenalty = 2 * time.Second
	// staleAge is the proof age from which data is stale. It is well below the 2 s
	// within which a configuration must be in force.
	staleAge = 1600 * time.Millisecond
	// maxSilentInRow is how many peers in a row may be silent before the platform is
	// read. Each takes 600 ms to detect.
	maxSilentInRow = 2
	// maxReaders is how many hosts of a zone are followed, one after the other.
	maxReaders = 4
	// firstReaders is how many hosts of a zone read the platform as soon as those before
	// them have lost it, and are waited for in turn while all have. The next host reads
	// it if that lasts for readDelay, and each further one if it lasts twice as long.
	firstReaders  = 2
	readDelay     = 300 * time.Millisecond
	maxReadDelays = 8 // doublings of readDelay
	// idlePause is the longest pause of a daemon that has nobody to ask.
	idlePause = 250 * time.Millisecond
)

// Names of sources in the log, apart from the IP addresses of hosts.
const (
	sourcePlatform = "platform"
	sourceOthers   = "others" // hosts in turn, while the platform is out of order
)

// readerResource is the resource for which hosts are ranked as readers of the
// platform.
const readerResource = "reader"

// reading is how far a daemon has come with reading the platform itself.
type reading int

const (
	notReading      reading = iota // another host reads the platform for this one
	readingBegun                   // no call has been answered, and none has failed
	readingAnswered                // the newest call that ended was answered, or is not late
	readingLost                    // the platform has not answered since a call failed or was late
)

// choice is what a daemon reads next.
type choice struct {
	peer    string        // the host to ask, or "" for none
	waiting bool          // the peer is asked to answer once it has news
	pause   time.Duration // until the next choice, if there is no peer
	turn    bool          // this daemon reads the platform
	rank    int           // number of hosts that are not silent and read the platform before this one
}

// sourceSelector decides from which source a daemon reads. In each zone the first
// host by rendezvous hashing reads the platform, and the others follow it; when it
// is silent or has lost the platform, the next one takes over. The platform is read
// beside the peers, so that a call to it that hangs holds nothing up. The selector is
// a state machine.
type sourceSelector struct {
	self        string
	silentUntil map[string]flow.Time // by peer
	lostUntil   map[string]flow.Time // by peer
	silentInRow int                  // peers in a row that did not answer
	lostSince   flow.Time            // since when no host before this one was current; Never if one is
	turn        bool                 // no host before this one is current: this daemon reads the platform
	waits       int                  // waits for a peer that had no news, while all have lost the platform
}

func newSourceSelector(self string) *sourceSelector {
	return &sourceSelector{self: self, silentUntil: map[string]flow.Time{}, lostUntil: map[string]flow.Time{}, lostSince: flow.Never}
}

// next returns what to read next. Zone and elsewhere are the listed hosts of this zone
// and of the others, and state says how the platform answers this daemon.
func (s *sourceSelector) next(now flow.Time, zone, elsewhere []string, state reading) choice {
	if state == readingAnswered {
		s.silentInRow = 0
	}
	before, after := s.split(ranker.New(zone).Ranked(readerResource, len(zone)))
	readers := s.notSilent(now, before)
	c := choice{rank: len(readers)}
	followed := s.firstUsable(now, readers[:min(len(readers), maxReaders)])
	if followed == "" && s.lostSince == flow.Never {
		s.lostSince = now
	}
	lost := s.lostSince != flow.Never && now.Sub(s.lostSince) >= readDelayOf(c.rank)
	if lost || s.silentInRow >= maxSilentInRow {
		s.turn = true
	}
	c.turn = s.turn
	switch {
	case followed != "":
		c.peer = followed
	case s.turn && state != readingLost && len(readers) > 0:
		c.peer, c.waiting = readers[s.waits%min(len(readers), maxReaders)], true
	case s.turn && state != readingLost && len(zone) > 0:
		c.pause = s.untilUsable(now, before)
	default:
		c.peer = s.nextToWaitFor(now, append(before, after...))
		if c.peer == "" {
			c.peer = s.nextToWaitFor(now, ranker.New(elsewhere).Ranked(readerResource, len(elsewhere)))
		}
		c.waiting, c.pause = state == readingLost || c.peer != "", idlePause
	}
	return c
}

// readDelayOf returns how long all readers must have lost the platform before a host with a
// number of hosts before it reads it.
func readDelayOf(rank int) time.Duration {
	if rank < firstReaders {
		return 0
	}
	return readDelay << min(rank-firstReaders, maxReadDelays)
}

// split returns the hosts that rank before and after this one. Those of a list without
// this host all rank before it.
func (s *sourceSelector) split(ranked []string) (before, after []string) {
	i := slices.Index(ranked, s.self)
	if i < 0 {
		return ranked, nil
	}
	return slices.Clone(ranked[:i]), ranked[i+1:]
}

func (s *sourceSelector) notSilent(now flow.Time, hosts []string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(host string) bool {
		return host == s.self || now.Before(s.silentUntil[host])
	})
}

// firstUsable returns the first host that has not lost its source, or "".
func (s *sourceSelector) firstUsable(now flow.Time, hosts []string) string {
	for _, host := range hosts {
		if !now.Before(s.lostUntil[host]) {
			return host
		}
	}
	return ""
}

// untilUsable returns for how long no host is usable, at most idlePause.
func (s *sourceSelector) untilUsable(now flow.Time, hosts []string) time.Duration {
	pause := idlePause
	for _, host := range hosts {
		pause = min(pause, max(s.silentUntil[host], s.lostUntil[host]).Sub(now))
	}
	return max(pause, time.Millisecond)
}

// nextToWaitFor returns the host to wait for while the readers have lost the platform: one
// of the first readers and one of the next hosts in turn. These may read the platform while
// the first ones are cut off from it.
func (s *sourceSelector) nextToWaitFor(now flow.Time, hosts []string) string {
	hosts = s.notSilent(now, hosts)
	hosts = hosts[:min(len(hosts), firstReaders+maxReaders)]
	first := min(len(hosts), firstReaders)
	switch {
	case len(hosts) == 0:
		return ""
	case s.waits%2 == 0 || len(hosts) == first:
		return hosts[s.waits/2%first]
	}
	return hosts[first+s.waits/2%(len(hosts)-first)]
}

// markSilent records that a host did not answer.
func (s *sourceSelector) markSilent(now flow.Time, host string) {
	s.silentUntil[host] = now.Add(silentPenalty)
	s.silentInRow++
}

// markLost records the answer of a host that has lost its source. Its data may be current
// all the same, since it may have them from other hosts; then it is waited for again.
func (s *sourceSelector) markLost(now flow.Time, host string, current bool) {
	s.lostUntil[host] = now.Add(lostPenalty)
	s.silentInRow = 0
	if !current {
		s.waits++
	}
}

// markCurrent records the answer of a host whose source answers it.
func (s *sourceSelector) markCurrent(host string, zone []string) {
	s.silentInRow = 0
	before, _ := s.split(ranker.New(zone).Ranked(readerResource, len(zone)))
	if slices.Contains(before, host) {
		s.turn, s.lostSince = false, flow.Never
		clear(s.lostUntil) // the platform may be in order again
	}
}
