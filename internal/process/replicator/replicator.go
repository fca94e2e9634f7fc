// Package replicator holds a daemon's replica of what the platform published, and
// returns it to other daemons as the changes since a revision.
//
// For each key the change with the highest revision wins. So stale and repeated
// changes have no effect, and no key goes back to an older state during the life of
// a process. A deletion is kept as a tombstone, to be sent to daemons that missed it.
//
// When the platform is restored from a copy, its revisions begin a new era. A full update
// of the new era replaces everything but the configuration, whose version never goes back,
// and restrictions, which are kept for a while (restriction.go).
//
// The replica is a state machine without I/O or clock. It is not safe for concurrent
// use.
//
// It is a part of the sidecar that package supervisor runs. The daemon that
// package runner runs has package merger instead.
package replicator

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// State holds the newest change of every key.
type State struct {
	changes  map[string]flow.Change
	lapsed   map[string]bool // deleted keys that stay in use until a grace period ends: that of the era if true, or that of an outage
	revision flow.Revision
	version  uint64    // highest version of the configuration so far
	provenAt flow.Time // when the revision was last proven to be current
	contact  contact
	era      era
	gaps     []gap // oldest first
	departed map[string]departure
	cutOff   bool // this daemon and its backend server are cut off from the platform
}

// gap is a span of revisions that a full update bridged. Items that were written and deleted
// within it have no tombstone here, so a daemon whose revision lies in it must get a full
// update, or it would keep them.
type gap struct{ from, to flow.Revision }

// maxGaps bounds the gaps; the oldest ones are joined.
const maxGaps = 8

// New returns an empty State.
func New() *State {
	return &State{
		changes:  map[string]flow.Change{},
		lapsed:   map[string]bool{},
		provenAt: flow.Never,
		contact:  newContact(),
		era:      newEra(),
		departed: map[string]departure{},
	}
}

// Revision returns the revision up to which all changes are known.
func (s *State) Revision() flow.Revision { return s.revision }

// Version returns the highest version of the configuration so far.
func (s *State) Version() uint64 { return s.version }

// Age returns the proof age: the time since the state was last proven to be current.
func (s *State) Age(now flow.Time) time.Duration { return now.Sub(s.provenAt) }

// PresumedOutage returns how long the platform had answered neither this daemon nor one
// that it heard from, before the newest span of contact. It returns 0 if there was no
// such time, or if it turned out that the platform had answered another daemon.
func (s *State) PresumedOutage() time.Duration {
	if s.contact.restoredAt == flow.Never {
		return 0
	}
	return s.contact.since.Sub(s.contact.interruptedAt)
}

// InGrace reports whether entries that lapsed in the newest presumed outage stay in use.
func (s *State) InGrace(now flow.Time) bool {
	return s.contact.restoredAt != flow.Never && now.Before(s.contact.restoredAt.Add(flow.LapseGrace))
}

// Apply applies an update, and reports whether anything in force changed. A server
// entry that an update deletes after an outage of the platform lapses: it stays in
// use for a grace period. Whether there was an outage each daemon decides by its own
// contact, since a source may have lost the platform alone.
func (s *State) Apply(now flow.Time, update flow.Update) bool {
	if update.Revision != 0 && s.revision != 0 && !s.joins(update) {
		return false
	}
	changed := false
	proof := now.Add(-update.Age)
	s.contact.add(now, proof.Add(-update.Unbroken), proof)
	if update.Revision.Era() > s.revision.Era() {
		s.beginEra(now, update)
	}
	if update.Full {
		changed = s.deleteMissing(now, update)
		s.era.copied = 0
		s.addGap(update.Revision)
	}
	for _, change := range update.Changes {
		if s.applyChange(now, change) {
			changed = true
		}
	}
	if update.Revision >= s.revision {
		s.revision = update.Revision
		s.provenAt = max(s.provenAt, proof)
	}
	if update.Revision.Era() == s.revision.Era() && s.mergeRestrictions(now, update) {
		changed = true
	}
	return changed
}

// joins reports whether an update can be applied to what is known. One of an earlier era
// comes from a daemon that has not heard of the restore; one of a later era must be full,
// since changes after a revision of another era have no meaning.
func (s *State) joins(update flow.Update) bool {
	era := s.revision.Era()
	return update.Revision.Era() == era || update.Revision.Era() > era && update.Full
}

// addGap records that a full update of a revision is applied.
func (s *State) addGap(to flow.Revision) {
	if to <= s.revision {
		return
	}
	s.gaps = append(s.gaps, gap{s.revision, to})
	if len(s.gaps) > maxGaps {
		s.gaps[1].from = s.gaps[0].from
		s.gaps = slices.Delete(s.gaps, 0, 1)
	}
}

// inGap reports whether the deletions after a revision are not all known.
func (s *State) inGap(revision flow.Revision) bool {
	return slices.ContainsFunc(s.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}

// deleteMissing deletes the keys that a full update no longer contains.
func (s *State) deleteMissing(now flow.Time, update flow.Update) bool {
	present := make(map[string]bool, len(update.Changes))
	for _, change := range update.Changes {
		present[change.Key] = true
	}
	changed := false
	for key, change := range s.changes {
		if present[key] || change.Deleted || change.Revision > update.Revision {
			continue
		}
		if change.Configuration != nil && change.Revision.Era() < update.Revision.Era() {
			continue // the copy is older than the first configuration
		}
		deletion := flow.Change{Key: key, Revision: update.Revision, Deleted: true}
		if s.applyChange(now, deletion) {
			changed = true
		}
	}
	return changed
}

func (s *State) applyChange(now flow.Time, change flow.Change) bool {
	known, ok := s.changes[change.Key]
	switch {
	case change.Configuration != nil && change.Configuration.Version < s.version:
		return false // the operators' version never goes back, also when the platform does
	case change.Configuration != nil && known.Configuration != nil:
		if !replacesConfiguration(known, change) {
			return false
		}
	case ok && change.Revision <= known.Revision:
		return false
	case change.Revision <= s.revision && !s.isLost(change):
		return false // it is known, and was deleted if there is no such item: the update was overtaken
	}
	if change.Configuration != nil {
		s.version = change.Configuration.Version
	}
	if change.Deleted && change.StartedUnixMs == 0 {
		change.StartedUnixMs = startOf(known)
	}
	lost := change.Revision == s.era.copied // the copy lacks the entry
	if change.Deleted && known.Server != nil && (lost || s.InGrace(now)) && !s.restricts(known) {
		// The entry stays in use while its deletion is already recorded.
		change.Server = known.Server
		s.lapsed[change.Key] = lost
		s.changes[change.Key] = change
		return false
	}
	s.recordDeparture(now, known, change)
	delete(s.lapsed, change.Key)
	s.changes[change.Key] = change
	return true
}

// replacesConfiguration reports whether a change of the configuration, whose version is not
// older, replaces a known one. A newer version may be of an earlier era: the platform lost
// it, and another daemon kept it.
func replacesConfiguration(known, change flow.Change) bool {
	lost := change.Revision.Era() < known.Revision.Era() && change.Configuration.Version > known.Configuration.Version
	return lost || change.Revision > known.Revision
}

// Expire removes lapsed entries from use when their grace period is over, or when there
// turns out to have been no outage. It also lifts restrictions whose bound has passed. It
// reports whether there were any.
func (s *State) Expire(now flow.Time) bool {
	s.pruneDepartures(now)
	lifted := s.lift(now)
	return s.removeLapsed(now) || lifted
}

// Lapsed returns the number of deleted entries that stay in use.
func (s *State) Lapsed() int { return len(s.lapsed) }

// removeLapsed removes the lapsed entries whose grace period is over.
func (s *State) removeLapsed(now flow.Time) bool {
	removed := false
	for key, lost := range s.lapsed {
		if s.InGrace(now) || lost && s.inEraGrace(now) {
			continue
		}
		s.unlist(key)
		removed = true
	}
	return removed
}

// unlist takes a lapsed entry out of use.
func (s *State) unlist(key string) {
	change := s.changes[key]
	change.Server = nil
	s.changes[key] = change
	delete(s.lapsed, key)
}

// Known is what a daemon knows that asks for news.
type Known struct {
	Revision     flow.Revision
	Version      uint64 // of the configuration
	Restrictions uint64 // digest of the restrictions from earlier eras
}

// Known returns what is known.
func (s *State) Known() Known {
	return Known{Revision: s.revision, Version: s.version, Restrictions: s.era.digest()}
}

// Since returns the changes after a revision, or a full update if that is 0 or of an earlier
// era.
func (s *State) Since(now flow.Time, after flow.Revision) flow.Update {
	known := s.Known()
	known.Revision = after
	return s.News(now, known)
}

// News returns what is newer than what a daemon knows: the changes after its revision, or a
// full update if that is 0, of an earlier era or in a gap; a configuration that the platform
// lost; and restrictions, while they are kept.
func (s *State) News(now flow.Time, known Known) flow.Update {
	update := flow.Update{Revision: s.revision, Age: s.Age(now), Unbroken: s.contact.until.Sub(s.contact.since)}
	after := known.Revision
	if update.Full = after == 0 || after.Era() < s.revision.Era() || s.inGap(after); update.Full {
		after = 0
	}
	s.addEra(now, known, &update)
	for _, change := range s.changes {
		if lost := s.isLost(change) && change.Configuration.Version > known.Version; change.Revision <= after && !lost || (update.Full && change.Deleted) {
			continue
		}
		if change.Deleted {
			change.Server = nil
		}
		update.Changes = append(update.Changes, change)
	}
	return update
}

// isLost reports whether a change is the configuration and the platform lost it in a restore.
func (s *State) isLost(change flow.Change) bool {
	return change.Configuration != nil && change.Revision.Era() < s.revision.Era()
}

// InForce returns the configuration, the backend servers and the availability zones
// taken out of service that are in force.
func (s *State) InForce() (*flow.Configuration, []*flow.ServerEntry, map[string]bool) {
	var configuration *flow.Configuration
	var servers []*flow.ServerEntry
	zonesOut := map[string]bool{}
	for _, change := range s.changes {
		switch {
		case change.Server != nil && s.restricts(change):
			restricted := *change.Server
			restricted.Draining = true
			servers = append(servers, &restricted)
		case change.Server != nil:
			servers = append(servers, change.Server)
		case change.Configuration != nil:
			configuration = change.Configuration
		case change.ZoneOut != "":
			zonesOut[change.ZoneOut] = true
		}
	}
	for _, kept := range s.era.kept {
		if kept.ZoneOut != "" && kept.active() {
			zonesOut[kept.ZoneOut] = true
		}
	}
	return configuration, servers, zonesOut
}
