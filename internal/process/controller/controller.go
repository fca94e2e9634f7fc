// The Controller and the control goroutine.

package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/process/timekeeper"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const (
	// queueLength is the number of functions that can wait for the control
	// goroutine.
	queueLength = 1024
	// sweepInterval is how often outdated state is removed.
	sweepInterval = time.Second
	// ejectionLifetime is how long an ejection lasts unless it is renewed.
	ejectionLifetime = 2 * time.Second
)

// Parts are the components that a Controller works with.
type Parts struct {
	Settings    parser.Settings
	Incarnation uint64
	Started     flow.Time
	Clock       flow.Clock
	Dialer      *dialer.Dialer
	Reader      *reader.Client
	Timekeeper  *timekeeper.Timekeeper
	Holder      *holder.Holder
	Log         logr.Logger
	Random      *rand.Rand // used only by the control goroutine
}

// Controller is the control plane of one daemon.
type Controller struct {
	Parts

	queue   chan func()
	calls   sync.WaitGroup
	ctx     context.Context // cancels the calls to other processes
	cancel  context.CancelFunc
	stopped chan struct{}

	merger         *merger.Merger
	index          *indexer.Index
	hostChanges    hostChanges
	prover         *prover.Prover
	placer         *placer.Placer
	ranking        versionRanking
	granter        *granter.Granter
	ejectors       map[string]*serviceEjector
	memory         *deduplicator.Memory
	inheritedSince map[string]int64 // by resource: since when the keys of a shard handed over to this host are known, in milliseconds since 1970
	readPolicy     *reader.Policy

	firstRevision   flow.Revision            // the first revision applied
	layoutRevisions map[string]flow.Revision // of the last change to a customer's shares since then, by customer
	pendingClaims   map[string]int           // claims not answered yet, by resource

	senders            map[string]*sender.Sender // by backend server; replaced as a whole, never modified
	replacementPending bool                      // a sender waits until it is idle to be replaced
	ejectionLeases     map[string]ejectionLease  // by backend server
	serviceSizes       map[string]serviceSize    // by service of the backend servers on this host
	leaseStatus        prover.Status
	unproved           map[string]bool // hosts without a recent proof; replaced as a whole, never modified
	stopping           bool
	zoneOutSince       flow.Time // since when the host's availability zone is known to be out of service; flow.Never while in service

	heartbeatsInFlight map[string]bool   // by peer address
	peerAddresses      map[string]string // by host, for every host in a member list version that is still kept
	watching           bool
	reading            bool
	nextSweep          flow.Time
	nextReport         flow.Time
}

// versionRanking is the ranking of one version of the member list.
type versionRanking struct {
	id      prover.ListID
	ranking *ranker.Ranking
}

// serviceEjector is the ejector of a service whose ejections this host owns.
type serviceEjector struct {
	ejector  ejector.Ejector
	since    flow.Time     // start of the tenure for which it was created
	revision flow.Revision // of the index that it was last updated from
}

// New returns a Controller. Run starts it.
func New(parts Parts) *Controller {
	settings := parts.Settings
	c := &Controller{
		Parts:   parts,
		queue:   make(chan func(), queueLength),
		stopped: make(chan struct{}),
		merger:  merger.New(merger.TombstoneLimit),
		index:   indexer.Empty(),
		prover: prover.New(prover.Settings{
			Host:          settings.Host,
			Incarnation:   parts.Incarnation,
			Started:       parts.Started,
			LeaseTimeout:  settings.Lease.Timeout,
			ProofRequired: settings.Lease.WithoutProof == parser.WithoutProofRefuse,
			Fanout:        settings.Lease.HeartbeatFanout,
			Random:        parts.Random,
		}),
		placer: placer.New(placer.Settings{
			Host:             settings.Host,
			Incarnation:      parts.Incarnation,
			Started:          parts.Started,
			LeaseTimeout:     settings.Lease.Timeout,
			Margin:           placer.DefaultMargin,
			HandoverLifetime: placer.DefaultHandoverLifetime,
			Retention:        placer.DefaultRetention,
		}),
		memory:             newMemory(settings),
		inheritedSince:     map[string]int64{},
		granter:            granter.New(granterSettings(settings)),
		ejectors:           map[string]*serviceEjector{},
		readPolicy:         reader.NewPolicy(settings.Reading.ReadersPerZone, settings.Reading.PlatformCallsPerSecond, parts.Random),
		senders:            map[string]*sender.Sender{},
		ejectionLeases:     map[string]ejectionLease{},
		serviceSizes:       map[string]serviceSize{},
		zoneOutSince:       flow.Never,
		heartbeatsInFlight: map[string]bool{},
		peerAddresses:      map[string]string{},
		layoutRevisions:    map[string]flow.Revision{},
		pendingClaims:      map[string]int{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Run is the control goroutine. It returns when ctx has ended and all calls
// that it started are over.
func (c *Controller) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, c.cancel)()
	ticker := time.NewTicker(c.Settings.Lease.HeartbeatInterval)
	defer ticker.Stop()
	defer c.calls.Wait()
	defer c.cancel()
	defer close(c.stopped)
	c.tick()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.queue:
			f()
		case <-ticker.C:
			c.tick()
		}
	}
}

// tick does the work that is due at each heartbeat interval.
func (c *Controller) tick() {
	now := c.Clock.Now()
	c.sendHeartbeats(now)
	c.startReads(now)
	if c.replacementPending {
		c.updateSenders(now)
	}
	c.expireEjections(now)
	c.sendReports(now)
	c.updateZoneState(now)
	c.sweep(now)
	c.unproved = unprovedHosts(c.index.HostsOfRegion(c.Settings.Region), c.Settings.Host, func(host string) (time.Duration, bool) {
		return c.prover.LivenessAge(now, host)
	})
	c.publish(now)
}

// Do runs f on the control goroutine and waits until it is done. It reports
// false when the goroutine has ended or ctx ends first; f may then still run
// later.
func (c *Controller) Do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !c.enqueue(ctx, func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-c.stopped:
		return false
	}
}

// enqueue queues f for the control goroutine. It reports false when the
// goroutine has ended or ctx ends first.
func (c *Controller) enqueue(ctx context.Context, f func()) bool {
	select {
	case c.queue <- f:
		return true
	case <-ctx.Done():
		return false
	case <-c.stopped:
		return false
	}
}

// startCall runs a call to another process in a goroutine of its own. The
// context passed to call ends after the timeout. The call delivers its result
// by enqueue.
func (c *Controller) startCall(timeout time.Duration, call func(ctx context.Context)) {
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		call(ctx)
	})
}

// sweep removes outdated state.
func (c *Controller) sweep(now flow.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	c.granter.Sweep(now)
	c.pruneLayouts(now)
	c.pruneInherited(now)
	c.claimMemoryShards(now)
	c.Dialer.Sweep()
	c.prunePeerAddresses()
	c.Timekeeper.Retain(func(host string) bool {
		_, listed := c.index.Host(host)
		return listed
	})
}

// publish updates the lease to now and gives traffic goroutines a new snapshot.
func (c *Controller) publish(now flow.Time) {
	c.prover.SetApplied(now, c.merger.Applied(), c.merger.Highest())
	before := c.leaseStatus
	c.leaseStatus = c.prover.Status(now)
	c.placer.Update(now, c.prover.Versions())
	c.logLeaseChange(before)
	c.Holder.Store(&holder.Snapshot{
		Index:       c.index,
		LeaseUntil:  c.leaseStatus.LeaseUntil,
		Reason:      string(c.leaseStatus.Reason),
		Region:      c.Settings.Region,
		Ranking:     c.currentRanking(),
		Senders:     c.senders,
		Unproved:    c.unproved,
		Stopping:    c.stopping,
		ZoneLeaving: c.zoneOutSince != flow.Never,
		ZoneOut:     c.zoneOutSince != flow.Never && now.Sub(c.zoneOutSince) >= c.Settings.Stop.ZoneOutGrace,
	})
}

func (c *Controller) logLeaseChange(before prover.Status) {
	if before.Acting == c.leaseStatus.Acting && before.Reason == c.leaseStatus.Reason {
		return
	}
	c.Log.Info("lease status changed", "acting", c.leaseStatus.Acting, "reason", string(c.leaseStatus.Reason),
		"applied", c.leaseStatus.Applied, "highest", c.leaseStatus.Highest,
		"hosts", c.leaseStatus.Hosts, "alive", c.leaseStatus.HostsAlive, "proof-age-ms", c.proofAgeMs(c.Clock.Now()))
}

// currentRanking returns the ranking of the newest version of the member list,
// or nil while there is none.
func (c *Controller) currentRanking() *ranker.Ranking {
	versions := c.prover.Versions()
	if len(versions) == 0 {
		return nil
	}
	newest := versions[len(versions)-1].List
	if c.ranking.ranking == nil || c.ranking.id != newest.ID() {
		c.ranking = versionRanking{id: newest.ID(), ranking: placer.NewRanking(newest)}
	}
	return c.ranking.ranking
}

// mayAct reports whether the daemon holds its lease at now.
func (c *Controller) mayAct(now flow.Time) bool {
	return c.leaseStatus.Acting && now.Before(c.leaseStatus.LeaseUntil)
}

// Stop announces a planned stop to other daemons and to traffic goroutines, and
// hands over what this host owns.
func (c *Controller) Stop(ctx context.Context) {
	c.Do(ctx, func() {
		c.stopping = true
		c.handOverAll(c.Clock.Now())
		c.publish(c.Clock.Now())
	})
}
