// The Controller and its goroutine.

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
	// queueLength is the number of functions that may wait for the control
	// goroutine.
	queueLength = 1024
	// sweepInterval is how often what is no longer needed is forgotten.
	sweepInterval = time.Second
	// ejectionLifetime is the length of an ejection lease.
	ejectionLifetime = 2 * time.Second
)

// Parts are what a Controller works with.
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
	Random      *rand.Rand // used by the control goroutine only
}

// Controller is the control side of one daemon.
type Controller struct {
	Parts

	queue   chan func()
	calls   sync.WaitGroup
	ctx     context.Context // ends the calls to other processes
	cancel  context.CancelFunc
	stopped chan struct{}

	merger   *merger.Merger
	index    *indexer.Index
	hosts    hostChanges
	prover   *prover.Prover
	placer   *placer.Placer
	ranking  rankingOf
	granter  *granter.Granter
	ejectors map[string]*ejectorOf
	memory   *deduplicator.Memory
	carried  map[string]int64 // TenureSince of the shards of the memory that were handed over here
	duty     *reader.Policy

	baseline flow.Revision            // the first revision that was applied
	cuts     map[string]flow.Revision // of changes of a customer's shares since the baseline
	claiming map[string]int           // claims that are on the way, by thing

	senders   map[string]*sender.Sender // replaced as a whole, never changed
	renewing  bool                      // a sender waits to be replaced
	ejected   map[string]ejectionLease  // by backend server
	inService map[string]serviceSize    // by service of the own backend servers
	status    prover.Status
	unproved  map[string]bool // never changed once set
	stopping  bool
	zoneOut   flow.Time // when the own availability zone was seen out; flow.Never when in

	asking    map[string]bool   // addresses to which a heartbeat is on the way
	addresses map[string]string // peer addresses of the hosts of all versions of the list that may count
	watching  bool
	reading   bool
	sweepAt   flow.Time
	reportAt  flow.Time
}

// rankingOf is the ranking of one version of the member list.
type rankingOf struct {
	id      prover.ListID
	ranking *ranker.Ranking
}

// ejectorOf is the ejector of a service that this host owns.
type ejectorOf struct {
	ejector  ejector.Ejector
	since    flow.Time
	revision flow.Revision // of the index from which it knows the servers
}

// New returns a Controller that has not started.
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
		memory:    newMemory(settings),
		carried:   map[string]int64{},
		granter:   granter.New(granterSettings(settings)),
		ejectors:  map[string]*ejectorOf{},
		duty:      reader.NewPolicy(settings.Reading.ReadersPerZone, settings.Reading.PlatformCallsPerSecond, parts.Random),
		senders:   map[string]*sender.Sender{},
		ejected:   map[string]ejectionLease{},
		inService: map[string]serviceSize{},
		zoneOut:   flow.Never,
		asking:    map[string]bool{},
		addresses: map[string]string{},
		cuts:      map[string]flow.Revision{},
		claiming:  map[string]int{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Run is the control goroutine. It returns when ctx has ended and every call
// that it started is over.
func (c *Controller) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, c.cancel)()
	ticker := time.NewTicker(c.Settings.Lease.HeartbeatInterval)
	defer ticker.Stop()
	defer c.calls.Wait()
	defer c.cancel()
	defer close(c.stopped)
	c.round()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.queue:
			f()
		case <-ticker.C:
			c.round()
		}
	}
}

// round does what is due in each heartbeat interval.
func (c *Controller) round() {
	now := c.Clock.Now()
	c.heartbeats(now)
	c.read(now)
	if c.renewing {
		c.placeSenders(now)
	}
	c.endEjections(now)
	c.report(now)
	c.watchZone(now)
	c.sweep(now)
	c.unproved = unprovedHosts(c.index.HostsOfRegion(c.Settings.Region), c.Settings.Host, func(host string) (time.Duration, bool) {
		return c.prover.LivenessAge(now, host)
	})
	c.publish(now)
}

// Do runs f on the control goroutine and waits for its end. It reports false
// when the goroutine has ended or ctx ends first; f may then still run later.
func (c *Controller) Do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !c.post(ctx, func() { f(); close(done) }) {
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

// post queues f for the control goroutine.
func (c *Controller) post(ctx context.Context, f func()) bool {
	select {
	case c.queue <- f:
		return true
	case <-ctx.Done():
		return false
	case <-c.stopped:
		return false
	}
}

// start runs a call to another process. It gets a context that ends with the
// timeout, and queues what the call brought by post.
func (c *Controller) start(timeout time.Duration, call func(ctx context.Context)) {
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		call(ctx)
	})
}

// sweep forgets what is no longer needed.
func (c *Controller) sweep(now flow.Time) {
	if now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = now.Add(sweepInterval)
	c.granter.Sweep(now)
	c.forgetCuts(now)
	c.forgetCarried(now)
	c.claimAhead(now)
	c.Dialer.Sweep()
	c.forgetAddresses()
	c.Timekeeper.Retain(func(host string) bool {
		_, listed := c.index.Host(host)
		return listed
	})
}

// -----------------------------------------------------------------------------

// publish brings the lease up to now and gives traffic goroutines a new
// snapshot.
func (c *Controller) publish(now flow.Time) {
	c.prover.SetApplied(now, c.merger.Applied(), c.merger.Highest())
	before := c.status
	c.status = c.prover.Status(now)
	c.placer.Update(now, c.prover.Versions())
	c.logLease(before)
	c.Holder.Store(&holder.Snapshot{
		Index:       c.index,
		LeaseUntil:  c.status.LeaseUntil,
		Reason:      string(c.status.Reason),
		Region:      c.Settings.Region,
		Ranking:     c.currentRanking(),
		Senders:     c.senders,
		Unproved:    c.unproved,
		Stopping:    c.stopping,
		ZoneLeaving: c.zoneOut != flow.Never,
		ZoneOut:     c.zoneOut != flow.Never && now.Sub(c.zoneOut) >= c.Settings.Stop.ZoneOutGrace,
	})
}

func (c *Controller) logLease(before prover.Status) {
	if before.Acting == c.status.Acting && before.Reason == c.status.Reason {
		return
	}
	c.Log.Info("lease", "acting", c.status.Acting, "reason", string(c.status.Reason),
		"applied", c.status.Applied, "highest", c.status.Highest,
		"hosts", c.status.Hosts, "alive", c.status.HostsAlive, "proof-age-ms", c.proofAgeMs(c.Clock.Now()))
}

// currentRanking returns the ranking of the newest version of the member list.
func (c *Controller) currentRanking() *ranker.Ranking {
	versions := c.prover.Versions()
	if len(versions) == 0 {
		return nil
	}
	newest := versions[len(versions)-1].List
	if c.ranking.ranking == nil || c.ranking.id != newest.ID() {
		c.ranking = rankingOf{id: newest.ID(), ranking: placer.NewRanking(newest)}
	}
	return c.ranking.ranking
}

// mayAct reports whether the daemon holds its lease at now.
func (c *Controller) mayAct(now flow.Time) bool {
	return c.status.Acting && now.Before(c.status.LeaseUntil)
}

// Stop announces a planned stop to the other daemons and to traffic.
func (c *Controller) Stop(ctx context.Context) {
	c.Do(ctx, func() {
		c.stopping = true
		c.cedeAll(c.Clock.Now())
		c.publish(c.Clock.Now())
	})
}
