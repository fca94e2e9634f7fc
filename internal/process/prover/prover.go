// The prover itself: what it keeps, and how the caller tells it of the
// configuration.

package prover

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Defaults of the heartbeat.
const (
	DefaultLeaseTime = 3 * time.Second
	DefaultInterval  = 250 * time.Millisecond
	DefaultFanout    = 3 // peers asked each interval
)

// historyLength is the number of versions of the list that a process keeps
// and gossips, unless more are needed for quorums.
const historyLength = 8

// learnedLength is the number of fetched versions kept until an answer that
// names them comes. It bounds how many versions a process can have missed that
// never took effect.
const learnedLength = 1024

// Settings are the settings of a Prover.
type Settings struct {
	Host        string        // own name
	Incarnation uint64        // drawn at random when the process starts
	Started     flow.Time     // when the process started
	LeaseTime   time.Duration // how long a proof lasts; the same in the whole region
	// FirstStartWait is how long a process waits before it takes part in a
	// first start of the fleet; 2*LeaseTime is what the argument in the
	// package's documentation asks for. A list of one host does not wait.
	FirstStartWait time.Duration
	Fanout         int        // peers asked each interval
	Random         *rand.Rand // chooses peers
}

// Prover holds the freshness lease of one process. It is not safe for use by
// many goroutines.
type Prover struct {
	settings Settings

	applied  flow.Revision
	highest  flow.Revision
	standing Standing
	leaving  bool

	versions []version // oldest first
	learned  []MemberList
	view     []ViewEntry // never changed in place, since answers share it
	viewHash uint64

	roster      []string // hosts of the versions that are not dropped, sorted
	self        int      // own position in roster, or -1
	proofs      []proof  // by position in roster
	translation translation
	peers       map[string]*peer

	settled      flow.Revision
	settledSteps []settledStep
	scratch      []flow.Time
	revisions    []flow.Revision
}

// version is one version of the list.
type version struct {
	list      MemberList
	phase     Phase
	positions []int // of the list's hosts in roster; nil when dropped
	settled   bool
	settledAt flow.Time
}

// proof is what is known of one host. Times are on the own clock and count
// from when the request at the end of the chain was sent.
type proof struct {
	at       flow.Time
	standing Standing
	known    flow.Revision // a revision that the host had applied ...
	knownAt  flow.Time     // ... at this time, while its view was the same as the own view now
}

// noProof is the state of a host never heard of.
var noProof = proof{at: flow.Never, knownAt: flow.Never}

// New returns a Prover for a process that starts.
func New(settings Settings) *Prover {
	return &Prover{
		settings: settings,
		self:     -1,
		viewHash: hashView(nil),
		peers:    map[string]*peer{},
	}
}

// -----------------------------------------------------------------------------

// SetMembers takes the list of a newly applied configuration. Call it before
// SetApplied with the revision that brought the list.
func (p *Prover) SetMembers(_ flow.Time, list MemberList) {
	if p.indexOf(list.ID()) >= 0 {
		return
	}
	p.addVersion(list, PhasePending)
	p.reindex()
}

// SetApplied tells which revision is in force here and which is the highest
// that the caller has heard of. Both only grow.
func (p *Prover) SetApplied(_ flow.Time, applied, highest flow.Revision) {
	p.applied = max(p.applied, applied)
	p.highest = max(p.highest, highest, p.applied)
}

// SetLeaving announces a planned stop in requests and answers.
func (p *Prover) SetLeaving(leaving bool) { p.leaving = leaving }

// Learn takes a version of the list that was fetched from a peer because
// Heard.Missing named it.
func (p *Prover) Learn(list MemberList) {
	if p.indexOf(list.ID()) >= 0 || p.learnedIndex(list.ID()) >= 0 {
		return
	}
	if len(p.learned) == learnedLength {
		p.learned = slices.Delete(p.learned, 0, 1)
	}
	p.learned = append(p.learned, list)
}

// Lists returns those of the given versions that are kept here, to answer a
// peer that misses them.
func (p *Prover) Lists(ids []ListID) []MemberList {
	var lists []MemberList
	for _, id := range ids {
		if i := p.indexOf(id); i >= 0 {
			lists = append(lists, p.versions[i].list)
		}
	}
	return lists
}

// Versions returns the versions of the list known here, oldest first.
func (p *Prover) Versions() []Version {
	versions := make([]Version, len(p.versions))
	for i, v := range p.versions {
		versions[i] = Version{List: v.list, Phase: v.phase, Settled: v.settled, SettledAt: v.settledAt}
	}
	return versions
}
