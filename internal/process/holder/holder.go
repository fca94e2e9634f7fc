// Package holder passes state from the control goroutine to the goroutines that serve
// requests: an immutable Snapshot that is replaced as a whole.
package holder

import (
	"sync/atomic"

	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Snapshot is the state that the control goroutine published at one moment. It is
// immutable, its maps included.
type Snapshot struct {
	Index       *indexer.Index
	LeaseUntil  flow.Time                 // the daemon may act before this time; flow.Never if it may not act
	Reason      string                    // why the daemon may act or may not
	Region      string                    // region of this host, from the settings
	Ranking     *ranker.Ranking           // ranking for the newest member list of the region; nil before the first list
	Senders     map[string]*sender.Sender // by the names of this host's backend servers
	Unproved    map[string]bool           // listed hosts of the region without a recent proof of being alive
	Stopping    bool                      // the daemon is stopping gracefully
	ZoneLeaving bool                      // the availability zone of this host is out of service
	ZoneOut     bool                      // the zone has been out of service for the grace period or longer
}

// MayAct reports whether the daemon holds its lease at the given time.
func (s *Snapshot) MayAct(now flow.Time) bool {
	return now.Before(s.LeaseUntil)
}

// Holder holds the current Snapshot. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// New returns a Holder whose Snapshot has an empty index and does not allow the daemon
// to act.
func New(region string) *Holder {
	h := &Holder{}
	h.current.Store(&Snapshot{Index: indexer.Empty(), LeaseUntil: flow.Never, Region: region})
	return h
}

// Load returns the current Snapshot.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Store replaces the Snapshot.
func (h *Holder) Store(snapshot *Snapshot) { h.current.Store(snapshot) }
