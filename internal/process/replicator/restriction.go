// Restrictions that outlive a restore of the platform from a copy.
//
// The copy may hold a server as ready that had drained or left, and lack the item of a zone
// that was out of service. What a daemon knew before the restore then stays in force until
// the item is written in the new era, a newer process of the server is listed, or a bound has
// passed. An item is known to be written in the era if its revision is higher than the lowest
// one at which any daemon has seen the platform in it.
//
// The set of restrictions of an era only grows, and each is lifted once, so daemons can
// exchange them in any order.

package replicator

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// serverBound is how long a server stays restricted. The entry of one that left expires
	// in the copy after 4.5 s, and the deletion takes up to 2 s to arrive. A server that
	// drains writes its state again within 2 s.
	serverBound = 6500 * time.Millisecond
	// zoneBound is how long a zone stays out of service. Operators write the item again by
	// hand or by a program of theirs, later than the servers. A zone that has come back
	// meanwhile cannot be told from one whose item was lost.
	zoneBound = 15 * time.Second
)

// Reasons why a restriction was lifted.
const (
	LiftedWritten   = "written-again"
	LiftedRestarted = "server-restarted"
	LiftedBound     = "bound-passed"
)

// Lift says which restriction was lifted, and why.
type Lift struct {
	Key    string
	Reason string
}

// era is what is known of the platform's era and of those before.
type era struct {
	restores uint64        // eras that began during the life of the process
	first    flow.Revision // lowest revision at which the platform was seen in the era; 0 in era 0
	since    flow.Time     // when that was; Never in era 0
	copied   flow.Revision // of the update that begins the era, while entries are deleted that it lacks; otherwise 0
	kept     map[string]*restriction
	lifts    []Lift // not yet taken
}

type restriction struct {
	flow.Restriction
	lifted bool // what is known includes the reason
	over   bool // the bound has passed
}

func newEra() era { return era{since: flow.Never, kept: map[string]*restriction{}} }

func (r *restriction) active() bool { return !r.lifted && !r.over }

// covers reports whether a restriction is on the process that an entry describes.
func (r *restriction) covers(server *flow.ServerEntry) bool {
	return r.ZoneOut == "" && (r.StartedUnixMs == 0 || server.StartedUnixMs <= r.StartedUnixMs)
}

// startOf returns the start of the backend server that a change is about, or 0.
func startOf(change flow.Change) int64 {
	if change.Server != nil {
		return change.Server.StartedUnixMs
	}
	return change.StartedUnixMs
}

// Restores returns how many eras of the platform have begun during the life of the process.
func (s *State) Restores() uint64 { return s.era.restores }

// Keeps reports whether restrictions from earlier eras may still be kept.
func (s *State) Keeps(now flow.Time) bool {
	return s.era.since != flow.Never && !s.inContactFor(now, zoneBound)
}

// Restricted returns the keys of all restrictions that are kept, sorted.
func (s *State) Restricted() []string {
	var keys []string
	for key, kept := range s.era.kept {
		if kept.active() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// TakeLifts returns the restrictions that were lifted since the call before, sorted by key.
func (s *State) TakeLifts() []Lift {
	lifts := s.era.lifts
	s.era.lifts = nil
	slices.SortFunc(lifts, func(a, b Lift) int { return strings.Compare(a.Key, b.Key) })
	return lifts
}

// inContactFor reports whether the platform has been answering in its era for a time, so that
// whoever lost something could write it again. Only while it answers does that time pass.
func (s *State) inContactFor(now flow.Time, span time.Duration) bool {
	since := max(s.era.since, s.contact.since)
	return now.Sub(s.contact.until) < flow.MinOutage && now.Sub(since) >= span
}

// inEraGrace reports whether entries stay in use that the copy lacks: servers register again
// after a restore.
func (s *State) inEraGrace(now flow.Time) bool {
	return s.era.since != flow.Never && now.Before(s.era.since.Add(flow.LapseGrace))
}

// beginEra begins the era of a full update. It keeps the restrictions that this contradicts.
func (s *State) beginEra(now flow.Time, update flow.Update) {
	candidates, newest := s.restrictions(), s.newestStarts()
	if s.revision != 0 {
		s.era.restores += update.Revision.Era() - s.revision.Era()
	}
	if s.era.restores > 0 {
		s.era.copied = update.Revision
	}
	s.era.first, s.era.since = update.Revision, now.Add(-update.EraAge)
	if update.EraFirst != 0 {
		s.era.first = update.EraFirst
	}
	copied := make(map[string]flow.Change, len(update.Changes))
	for _, change := range update.Changes {
		copied[change.Key] = change
	}
	before := s.era.kept
	s.era.kept = map[string]*restriction{}
	for key, candidate := range candidates {
		change, ok := copied[key]
		permits := ok && change.Server != nil && !change.Server.Draining && candidate.covers(change.Server) && change.Revision <= s.era.first
		// An entry that was restricted must not lapse, either, which keeps it in use.
		missing := !ok && (candidate.ZoneOut != "" || before[key] == candidate)
		if permits || missing {
			s.era.kept[key] = candidate
		}
	}
	for key, change := range copied {
		if change.Server != nil && !change.Server.Draining && change.Server.StartedUnixMs < newest[change.Server.Address] && change.Revision <= s.era.first {
			s.era.kept[key] = &restriction{Restriction: flow.Restriction{Key: key, StartedUnixMs: change.Server.StartedUnixMs}}
		}
	}
}

// newestStarts returns the start of the newest process at each address. Those that started
// before it are gone, also if it has left since.
func (s *State) newestStarts() map[string]int64 {
	newest := map[string]int64{}
	for _, change := range s.changes {
		if change.Server != nil {
			newest[change.Server.Address] = max(newest[change.Server.Address], change.Server.StartedUnixMs)
		}
	}
	return newest
}

// restrictions returns all that is draining, gone or out of service. A process that is in use
// means that those with its id that started before it are gone.
func (s *State) restrictions() map[string]*restriction {
	found := map[string]*restriction{}
	for key, change := range s.changes {
		draining := change.Server != nil && change.Server.Draining
		gone := change.Deleted && !s.lapsed[key]
		started := startOf(change)
		if !draining && !gone && change.ZoneOut == "" {
			if started--; started <= 0 {
				continue
			}
		}
		found[key] = &restriction{Restriction: flow.Restriction{Key: key, ZoneOut: change.ZoneOut, StartedUnixMs: started}}
	}
	for key, kept := range s.era.kept {
		if kept.active() {
			kept.LiftedAt = 0 // by an era that is over
			found[key] = kept
		}
	}
	return found
}

// restricts reports whether the entry of a server is restricted by an earlier era.
func (s *State) restricts(change flow.Change) bool {
	kept := s.era.kept[change.Key]
	return kept != nil && kept.active() && kept.covers(change.Server)
}

// addEra adds what is known of the era to an update.
func (s *State) addEra(now flow.Time, known Known, update *flow.Update) {
	if s.era.since == flow.Never {
		return
	}
	update.EraFirst, update.EraAge = s.era.first, now.Sub(s.era.since)
	if !s.Keeps(now) || known.Revision.Era() == s.revision.Era() && known.Restrictions == s.era.digest() {
		return
	}
	for _, kept := range s.era.kept {
		update.Kept = append(update.Kept, kept.Restriction)
	}
}

// mergeRestrictions adds what an update of the same era says about it, and reports whether
// what is in force changed.
func (s *State) mergeRestrictions(now flow.Time, update flow.Update) bool {
	if update.EraFirst != 0 {
		s.era.first = min(s.era.first, update.EraFirst)
		s.era.since = min(s.era.since, now.Add(-update.EraAge))
	}
	before, removed := s.Restricted(), false
	for _, other := range update.Kept {
		kept, ok := s.era.kept[other.Key]
		switch {
		case !ok || other.StartedUnixMs > kept.StartedUnixMs:
			s.era.kept[other.Key] = &restriction{Restriction: other}
			if change := s.changes[other.Key]; change.Deleted && change.Server != nil && s.era.kept[other.Key].covers(change.Server) {
				s.unlist(other.Key) // it has not lapsed but left
				removed = true
			}
		case other.StartedUnixMs == kept.StartedUnixMs && kept.LiftedAt == 0:
			kept.LiftedAt = other.LiftedAt
		}
	}
	s.lift(now)
	return removed || !slices.Equal(before, s.Restricted())
}

// lift lifts the restrictions whose time has come, and reports whether there were any.
func (s *State) lift(now flow.Time) bool {
	serversOver, zonesOver := s.inContactFor(now, serverBound), s.inContactFor(now, zoneBound)
	lifted := false
	for key, kept := range s.era.kept {
		if kept.lifted {
			continue
		}
		change, listed := s.changes[key]
		written := listed && change.Revision.Era() == s.revision.Era() && change.Revision > s.era.first
		over := kept.ZoneOut == "" && serversOver || zonesOver
		switch {
		case kept.ZoneOut != "":
			// A deletion may stand for an item that only this daemon missed.
			written = listed && change.ZoneOut != "" && change.Revision.Era() == s.revision.Era()
		case listed && change.Server != nil && !kept.covers(change.Server):
			s.liftOne(kept, LiftedRestarted)
			lifted = true
			continue
		}
		switch {
		case written || kept.LiftedAt != 0 && kept.LiftedAt <= s.revision:
			s.liftOne(kept, LiftedWritten)
			lifted = true
		case over && !kept.over:
			kept.over = true
			s.era.lifts = append(s.era.lifts, Lift{Key: key, Reason: LiftedBound})
			lifted = true
		}
	}
	return lifted
}

// liftOne lifts a restriction for a reason that other daemons must hear of, too. They lift it
// once they know as much.
func (s *State) liftOne(kept *restriction, reason string) {
	if kept.active() {
		s.era.lifts = append(s.era.lifts, Lift{Key: kept.Key, Reason: reason})
	}
	kept.lifted = true
	if kept.LiftedAt == 0 {
		kept.LiftedAt = s.revision
	}
}

// digest returns a number that tells sets of restrictions apart; 0 for none.
func (e *era) digest() uint64 {
	sum := uint64(0)
	for key, kept := range e.kept {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(key + "\x00" + strconv.FormatInt(kept.StartedUnixMs, 10) + strconv.FormatBool(kept.LiftedAt != 0)))
		sum += hash.Sum64()
	}
	return sum
}
