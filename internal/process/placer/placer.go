// The versions of the member list that still matter, and what this host holds by
// them.

package placer

import (
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Defaults of the settings.
const (
	DefaultMargin           = 100 * time.Millisecond
	DefaultHandoverLifetime = 60 * time.Second
	DefaultRetention        = time.Hour
)

// Bounds on the memory of a Placer.
const (
	maxVersions   = 64   // versions of the member list
	maxPlacements = 8192 // cached placements of resources
)

// pruneInterval is the time between two removals of expired handovers.
const pruneInterval = 10 * time.Second

// Settings are the settings of a Placer. All but Host, Incarnation and Started must
// be the same in the whole region.
type Settings struct {
	Host             string        // name of this host
	Incarnation      uint64        // the same as the prover's
	Started          flow.Time     // when the process started
	LeaseTimeout     time.Duration // the same as the prover's
	Margin           time.Duration // added to every wait, to allow for clock drift
	HandoverLifetime time.Duration // longest time for which a handover is in force
	Retention        time.Duration // how long superseded versions are kept, so that tenures keep their Since
}

// Tenure is the right to act as owner of a resource.
type Tenure struct {
	Since      flow.Time // no other host has granted after this time, so tokens accrue from here
	ByHandover bool      // held because of a handover, not because of the member list
}

// Placer decides which resources this host holds. It is not safe for concurrent use.
type Placer struct {
	settings   Settings
	versions   []listVersion // oldest first
	sinceFloor flow.Time     // hosts that owned by a dropped version do not act after it
	placements map[string]placement

	handedOver     map[string]flow.Time         // when this process handed a resource over
	accepted       map[string]*acceptedHandover // handovers to this process, by resource
	answeredClaims map[claimKey]flow.Time       // when this process received the answer to a claim
	claimAnswers   map[string]rememberedAnswer  // answers that this process gave, by resource

	prunedAt flow.Time
}

// listVersion is one version of the member list.
type listVersion struct {
	id        prover.ListID
	ranking   *ranker.Ranking
	gapBefore bool // an unknown version may have come before this one
	appliedAt flow.Time
	newerAt   flow.Time // when a newer version came into force, or flow.Never
}

// placement says whether and since when this host owns a resource by the known
// versions.
type placement struct {
	since flow.Time // no other host grants after this time
	owned bool      // whether the newest version assigns the resource to this host

	handoversExpired   bool      // all handovers of predecessors have expired, so no claims are needed
	predecessorEndedAt flow.Time // when the last of them ended; set with handoversExpired
}

// New returns a Placer for a process that starts.
func New(settings Settings) *Placer {
	return &Placer{
		settings:       settings,
		sinceFloor:     settings.Started,
		placements:     map[string]placement{},
		handedOver:     map[string]flow.Time{},
		accepted:       map[string]*acceptedHandover{},
		answeredClaims: map[claimKey]flow.Time{},
		claimAnswers:   map[string]rememberedAnswer{},
		prunedAt:       settings.Started,
	}
}

// Update takes the versions of the member list that the prover knows. It must be
// called after every change of them and before Holds.
func (p *Placer) Update(now flow.Time, versions []prover.Version) {
	changed := p.markGap(versions)
	for _, version := range versions {
		if p.indexOf(version.List.ID()) < 0 {
			p.insert(version)
			changed = true
		}
	}
	if p.dropOldVersions(now) || changed {
		p.recompute()
	}
	if now >= p.prunedAt.Add(pruneInterval) {
		p.prunedAt = now
		p.prune(now)
	}
}

// markGap inserts the oldest of the versions if it is unknown, and marks it as one
// that an unknown version may precede.
func (p *Placer) markGap(versions []prover.Version) bool {
	if len(versions) == 0 || p.indexOf(versions[0].List.ID()) >= 0 {
		return false
	}
	p.versions[p.insert(versions[0])].gapBefore = true
	return true
}

func (p *Placer) indexOf(id prover.ListID) int {
	return slices.IndexFunc(p.versions, func(v listVersion) bool { return v.id == id })
}

func (p *Placer) insert(version prover.Version) int {
	id := version.List.ID()
	i, _ := slices.BinarySearchFunc(p.versions, id, func(v listVersion, id prover.ListID) int { return v.id.Compare(id) })
	p.versions = slices.Insert(p.versions, i, listVersion{
		id: id, ranking: NewRanking(version.List), appliedAt: version.AppliedAt, gapBefore: version.GapBefore,
	})
	return i
}

// dropOldVersions drops versions that were superseded longer ago than Retention, and
// the oldest ones beyond maxVersions. It reports whether it dropped any.
func (p *Placer) dropOldVersions(now flow.Time) bool {
	dropped := false
	for len(p.versions) > 1 {
		newerAt := p.versions[0].newerAt
		expired := newerAt != flow.Never && now.Sub(newerAt) > p.settings.Retention
		if !expired && len(p.versions) <= maxVersions {
			break
		}
		if newerAt != flow.Never {
			p.sinceFloor = max(p.sinceFloor, newerAt.Add(p.settings.LeaseTimeout))
		} else {
			p.versions[1].gapBefore = true
		}
		p.versions = slices.Delete(p.versions, 0, 1)
		dropped = true
	}
	return dropped
}

// recompute sets newerAt of all versions and empties the cache of placements.
func (p *Placer) recompute() {
	newerAt := flow.Never
	for i := len(p.versions) - 1; i >= 0; i-- {
		p.versions[i].newerAt = newerAt
		if applied := p.versions[i].appliedAt; newerAt == flow.Never || applied.Before(newerAt) {
			newerAt = applied
		}
	}
	clear(p.placements)
}

// Holds reports whether this host may act as owner of a resource whose grants last
// for grantLifetime at most. It does not check the lease: the caller must hold the
// lease at the same moment.
func (p *Placer) Holds(now flow.Time, resource string, grantLifetime time.Duration) (Tenure, bool) {
	if tenure, held := p.holdsByHandover(now, resource); held {
		return tenure, true
	}
	placed := p.placementOf(resource)
	if !placed.owned {
		return Tenure{}, false
	}
	since := placed.since
	if at, handedOver := p.handedOver[resource]; handedOver {
		since = max(since, at.Add(p.settings.HandoverLifetime))
	}
	if now < since.Add(grantLifetime+p.settings.Margin) {
		return Tenure{}, false
	}
	predecessorEndedAt, claimsSettled := placed.predecessorEndedAt, placed.handoversExpired
	if !claimsSettled {
		predecessorEndedAt, claimsSettled = p.predecessorEndedAt(now, resource, grantLifetime)
	}
	if !claimsSettled {
		return Tenure{}, false
	}
	if !placed.handoversExpired && p.handoversExpired(now, grantLifetime) {
		placed.predecessorEndedAt, placed.handoversExpired = predecessorEndedAt, true
		p.placements[resource] = placed
	}
	return Tenure{Since: max(since, predecessorEndedAt)}, true
}

// Owner returns the owner of a resource and the host ranked second for it, in the
// newest known version. Both are "" when no list is known. Callers send their requests
// to the owner, and to the second host when the owner is leaving.
func (p *Placer) Owner(resource string) (owner, second string) {
	if len(p.versions) == 0 {
		return "", ""
	}
	return p.versions[len(p.versions)-1].ranking.FirstTwo(resource)
}

func (p *Placer) placementOf(resource string) placement {
	placed, found := p.placements[resource]
	if found {
		return placed
	}
	placed = p.placementUpTo(resource, len(p.versions)-1)
	if len(p.placements) >= maxPlacements {
		clear(p.placements)
	}
	p.placements[resource] = placed
	return placed
}

// placementUpTo computes the placement of a resource as if versions[newest] were the
// newest version.
func (p *Placer) placementUpTo(resource string, newest int) placement {
	if newest < 0 {
		return placement{}
	}
	placed := placement{since: p.sinceFloor}
	for i := range p.versions[:newest+1] {
		v := &p.versions[i]
		owned := v.ranking.Owner(resource) == p.settings.Host
		if i == newest {
			placed.owned = owned
		} else if !owned {
			placed.waitUntil(v.newerAt.Add(p.settings.LeaseTimeout))
		}
		if v.gapBefore {
			placed.waitUntil(v.appliedAt.Add(p.settings.LeaseTimeout))
		}
	}
	return placed
}

// waitUntil takes into account that another owner may act until the given time.
func (p *placement) waitUntil(until flow.Time) { p.since = max(p.since, until) }
