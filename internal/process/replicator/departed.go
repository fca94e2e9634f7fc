// Backend servers whose entries were deleted around the time at which this daemon was cut off
// from the platform.

package replicator

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// departureWindow is how long before a daemon notices that it is cut off entries may have
// been deleted for the same reason. The entries of hosts that are cut off together expire
// within one renewal interval of each other, 1.5 s, and the news of each take a moment.
const departureWindow = 3 * time.Second

// departure is an entry that was deleted though its server had not announced that it leaves.
type departure struct {
	entry *flow.ServerEntry
	at    flow.Time
}

// recordDeparture notes how a change affects the departed servers.
func (s *State) recordDeparture(now flow.Time, known, change flow.Change) {
	if !change.Deleted {
		delete(s.departed, change.Key)
		return
	}
	if known.Server != nil && !known.Server.Draining && !s.restricts(known) {
		s.departed[change.Key] = departure{known.Server, now}
	}
}

// ServerDeparted reports whether the entry of the backend server on a host was deleted
// without notice, and no other one is listed there.
func (s *State) ServerDeparted(host string) bool {
	return !s.listed(host) && slices.ContainsFunc(slices.Collect(maps.Values(s.departed)), func(d departure) bool { return d.entry.Host == host })
}

// listed reports whether a backend server on a host is listed.
func (s *State) listed(host string) bool {
	for _, change := range s.changes {
		if change.Server != nil && change.Server.Host == host {
			return true
		}
	}
	return false
}

// SetCutOff records whether this daemon and its backend server are cut off from the
// platform, and reports whether anything in force changed. While they are, the servers that
// departed around the same time or later stay in use: their hosts may be cut off, too, and
// their daemons refuse requests if not.
func (s *State) SetCutOff(now flow.Time, cutOff bool) bool {
	if cutOff == s.cutOff {
		return false
	}
	s.pruneDepartures(now)
	s.cutOff = cutOff
	return len(s.departed) > 0
}

// pruneDepartures forgets the departures that were too long ago to be kept, unless this
// daemon is cut off.
func (s *State) pruneDepartures(now flow.Time) {
	for key, d := range s.departed {
		if !s.cutOff && now.Sub(d.at) > departureWindow {
			delete(s.departed, key)
		}
	}
}

// DepartedInUse returns the departed servers that stay in use.
func (s *State) DepartedInUse() []*flow.ServerEntry {
	if !s.cutOff {
		return nil
	}
	var servers []*flow.ServerEntry
	for _, d := range s.departed {
		servers = append(servers, d.entry)
	}
	return servers
}
