// Package follower keeps a sidecar's replica of the platform's data up to date. In
// each availability zone one daemon reads the platform and the others follow it; a
// daemon whose source is silent or stale switches to the next one. The data and its
// proof age are relayed from daemon to daemon, so one answer of the platform proves
// currency to a whole zone.
//
// A daemon that cannot reach any source keeps serving with the data that it has.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/replicator"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// minPlatformWait and maxPlatformWait bound how long one watch of the platform
	// waits, which is a quarter of Parts.ApplyWithin. A connection that has gone silent
	// is detected after it, and each watch costs a call.
	minPlatformWait = 500 * time.Millisecond
	maxPlatformWait = time.Second
	// peerWatchWait is how long one watch of a peer waits.
	peerWatchWait = 400 * time.Millisecond
	// peerAnswerMargin is how long a peer's answer may take beyond the wait.
	peerAnswerMargin = 200 * time.Millisecond
	// configurationTimeout bounds the transfer of a configuration, which takes long
	// on a slow link.
	configurationTimeout = 3 * time.Second
	// transferPatience is how long a transfer may take before another source is asked
	// as well. The peer may have fallen silent, and the time until a configuration
	// must be in force is shorter than configurationTimeout.
	transferPatience = 700 * time.Millisecond
	// coalesceDelay is the pause after changes, so that those of a burst arrive in
	// one update.
	coalesceDelay = 60 * time.Millisecond
	// platformCoalesceDelay is that pause at the daemon that reads the platform. Its
	// calls are not free, and in a release of hundreds of servers each of them would
	// bring one entry.
	platformCoalesceDelay = 120 * time.Millisecond
	// startReadInterval is the pause between reads of the platform while no host of
	// the daemon's zone is listed. When a deployment starts, its hosts are listed within
	// some seconds, the first ones of a zone within about one, and until then every
	// daemon reads the platform.
	startReadInterval = 600 * time.Millisecond
	// firstStartDelay is the pause before the first read when the whole deployment
	// starts for the first time: no host is listed yet.
	firstStartDelay = 1200 * time.Millisecond
	// expireInterval is the time between two checks for lapsed entries whose grace
	// time is over.
	expireInterval = 250 * time.Millisecond
)

// Parts are the dependencies and settings of a Follower.
type Parts struct {
	Host     string // IP address of this host
	Zone     string
	PeerPort string // control port, the same on all hosts
	Platform flow.Source
	Dialer   *dialer.Dialer
	Clock    flow.Clock
	Log      logr.Logger
	Random   *rand.Rand // used only by the goroutine of Run
	// ApplyWithin is the time within which a change must be in force everywhere.
	ApplyWithin time.Duration
	FirstStart  bool // the whole deployment starts for the first time
	OnChange    func(*cataloger.Catalog)
}

// Follower maintains the catalog of a daemon.
type Follower struct {
	Parts
	catalog      atomic.Pointer[cataloger.Catalog]
	loggedSource string // used only by the goroutine of Run

	mu          sync.Mutex
	state       *replicator.State
	changed     chan struct{}        // closed and replaced to wake waiting fetches
	recentPeer  string               // IP address of a daemon that connected recently
	touchWanted flow.Time            // when InTouch was last called
	heardFrom   map[string]flow.Time // by zone: when a request was sent that a host of the zone answered
	inquired    map[string]int       // by zone: index of the host that is asked
	lastOutage  time.Duration        // length of the newest presumed outage of the store; 0 if there was none
	sourceLost  bool                 // the platform could not be read, and neither it nor a host that ranks before this one has answered since

	publishing sync.Mutex     // held until OnChange returns, so that catalogs are handed on in order
	transfers  sync.WaitGroup // transfers of configurations in progress
}

// New returns a Follower with an empty catalog.
func New(parts Parts) *Follower {
	f := &Follower{Parts: parts, state: replicator.New(), changed: make(chan struct{}), touchWanted: flow.Never, heardFrom: map[string]flow.Time{}, inquired: map[string]int{}}
	f.catalog.Store(cataloger.Build(0, nil, nil, nil))
	return f
}

// Catalog returns the catalog in force.
func (f *Follower) Catalog() *cataloger.Catalog { return f.catalog.Load() }

// Age returns the proof age of the catalog.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Age(f.Clock.Now())
}

// Run keeps the catalog up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.transfers.Wait()
	var background sync.WaitGroup
	background.Go(func() { f.expireLapsed(ctx) })
	background.Go(func() { f.keepInTouch(ctx) })
	defer background.Wait() // it starts transfers
	selector := newSourceSelector(f.Host)
	if f.FirstStart {
		flow.Sleep(ctx, firstStartDelay)
	}
	for ctx.Err() == nil {
		f.readNext(ctx, selector)
	}
}

// readNext reads the next source once.
func (f *Follower) readNext(ctx context.Context, selector *sourceSelector) {
	defer recoverer.Recover(f.Log, "follow", func() { flow.Sleep(ctx, startReadInterval) })
	peer := selector.nextSource(f.Clock.Now(), f.hosts(true), f.hosts(false))
	f.logSource(selector, peer)
	if peer == "" {
		f.readPlatform(ctx, selector)
		return
	}
	f.readPeer(ctx, selector, peer)
}

// logSource logs which source is read from now on, if that has changed.
func (f *Follower) logSource(selector *sourceSelector, peer string) {
	source := peer
	switch {
	case selector.fallingBack:
		source = sourceOthers
	case peer == "":
		source = sourcePlatform
	}
	if source == f.loggedSource {
		return
	}
	f.knowledgeLog().Info("source changed", "source", source, "source-before", f.loggedSource)
	f.loggedSource = source
}

// knowledgeLog returns the log with what the daemon knows.
func (f *Follower) knowledgeLog() logr.Logger {
	catalog := f.Catalog()
	return f.Log.WithValues("revision", catalog.Revision, "version", catalog.Version, "age-ms", f.Age().Milliseconds())
}

// sinceMs returns the milliseconds since a time.
func (f *Follower) sinceMs(t flow.Time) int64 { return f.Clock.Now().Sub(t).Milliseconds() }

// NotePeer takes the IP address of a daemon that connected. A daemon that starts
// during an outage of the platform knows no other daemon to fetch from.
func (f *Follower) NotePeer(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recentPeer = host
}

// hosts returns the listed hosts of this zone or those of the other zones. While
// no host is listed, the recent peer counts as a host of another zone.
func (f *Follower) hosts(ownZone bool) []string {
	catalog := f.Catalog()
	var hosts []string
	if len(catalog.Hosts()) == 0 && !ownZone {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.recentPeer != "" {
			hosts = append(hosts, f.recentPeer)
		}
		return hosts
	}
	for _, host := range catalog.Hosts() {
		if (catalog.ZoneOf(host) == f.Zone) == ownZone {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (f *Follower) readPlatform(ctx context.Context, selector *sourceSelector) {
	if pause := selector.platformDelay(f.Clock.Now()); pause > 0 {
		f.knowledgeLog().Info("no source can be read for a while", "pause-ms", pause.Milliseconds())
		if !flow.Sleep(ctx, pause) {
			return
		}
	}
	sentAt := f.Clock.Now()
	update, err := f.Platform.Watch(ctx, f.revision(), f.platformWait())
	if err != nil {
		selector.markPlatformFailed(f.Clock.Now(), f.Random.Float64())
		if ctx.Err() == nil {
			f.knowledgeLog().Info("the platform could not be read", "cause", err.Error(), "waited-ms", f.sinceMs(sentAt),
				"retry-ms", selector.platformDelay(f.Clock.Now()).Milliseconds())
		}
		f.setSourceLost(true)
		return
	}
	selector.markPlatformAnswered()
	f.setSourceLost(false)
	f.apply(ctx, sourcePlatform, update, platformCoalesceDelay)
	if f.presumesOutage() {
		f.inquire(ctx)
	}
	if len(f.hosts(true)) == 0 {
		flow.Sleep(ctx, startReadInterval)
	}
}

// platformWait returns how long one watch of the platform waits.
func (f *Follower) platformWait() time.Duration {
	return min(max(f.ApplyWithin/4, minPlatformWait), maxPlatformWait)
}

// FetchRequest asks a peer for the changes since a revision.
type FetchRequest struct {
	After  flow.Revision `msgpack:"a"`
	WaitMs int64         `msgpack:"w"`
	Large  bool          `msgpack:"l,omitempty"` // send configurations too
}

// FetchAnswer is the answer to a FetchRequest. A configuration is announced first
// and sent on request, so that a peer that is busy sending can be told from a silent
// one.
type FetchAnswer struct {
	Update flow.Update `msgpack:"u"`
	Large  bool        `msgpack:"l,omitempty"` // there is a configuration, which must be requested
}

func (f *Follower) readPeer(ctx context.Context, selector *sourceSelector, peer string) {
	sentAt := f.Clock.Now()
	request := FetchRequest{After: f.revision(), WaitMs: peerWatchWait.Milliseconds()}
	answer, err := f.call(ctx, peer, request, peerWatchWait+peerAnswerMargin)
	if err == nil && answer.Large {
		f.readConfiguration(ctx, selector, peer, request)
		return
	}
	if err != nil {
		f.markPeerSilent(ctx, selector, peer, sentAt, err)
		return
	}
	update := answer.Update
	f.markPeerAnswered(selector, peer, update)
	update.Age += min(f.Clock.Now().Sub(sentAt), peerAnswerMargin)
	f.apply(ctx, peer, update, coalesceDelay)
	if f.Clock.Now().Sub(sentAt) < coalesceDelay {
		flow.Sleep(ctx, coalesceDelay) // a peer that answers at once has not waited for changes
	}
}

// readConfiguration gets a configuration that a peer has announced. If the transfer
// takes long, it goes on in the background, and the peer counts as silent.
func (f *Follower) readConfiguration(ctx context.Context, selector *sourceSelector, peer string, request FetchRequest) {
	request.Large = true
	type result struct {
		update flow.Update
		err    error
	}
	finished := make(chan result, 1)
	f.transfers.Go(func() {
		defer recoverer.Recover(f.Log, "follow", func() { finished <- result{err: errors.New(recoverer.Cause)} })
		sentAt := f.Clock.Now()
		answer, err := f.call(ctx, peer, request, configurationTimeout)
		if err == nil {
			answer.Update.Age += f.Clock.Now().Sub(sentAt)
			f.apply(ctx, peer, answer.Update, coalesceDelay)
		}
		finished <- result{answer.Update, err}
	})
	sentAt := f.Clock.Now()
	patience := time.NewTimer(transferPatience)
	defer patience.Stop()
	select {
	case r := <-finished:
		if r.err != nil {
			f.markPeerSilent(ctx, selector, peer, sentAt, r.err)
			return
		}
		f.markPeerAnswered(selector, peer, r.update)
	case <-patience.C:
		f.markPeerSilent(ctx, selector, peer, sentAt, errSlowTransfer)
	}
}

// errSlowTransfer is the cause when a peer counts as silent while it sends a
// configuration.
var errSlowTransfer = errors.New("the transfer of the configuration takes long and goes on in the background")

func (f *Follower) markPeerSilent(ctx context.Context, selector *sourceSelector, peer string, sentAt flow.Time, cause error) {
	if ctx.Err() == nil {
		f.knowledgeLog().Info("peer did not answer the fetch", "step", "fetch", "peer", peer, "cause", cause.Error(), "waited-ms", f.sinceMs(sentAt))
	}
	selector.markSilent(f.Clock.Now(), peer)
}

// markPeerAnswered records an answer. A peer that is not current itself is skipped for
// a while. A daemon that falls back to a peer still reports that its own source is lost:
// if its followers stayed, it could fall back to one of them, and nobody in the zone
// would read the platform.
func (f *Follower) markPeerAnswered(selector *sourceSelector, peer string, update flow.Update) {
	selector.markAnswered()
	if update.SourceLost || update.Age > staleAge {
		selector.markStale(f.Clock.Now(), peer)
		return
	}
	if !selector.fallingBack {
		f.setSourceLost(false)
	}
}

func (f *Follower) call(ctx context.Context, peer string, request FetchRequest, within time.Duration) (FetchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var answer FetchAnswer
	sentAt := f.Clock.Now()
	err := f.Dialer.Call(ctx, peer+":"+f.PeerPort, messenger.CallFetch, request, &answer)
	if err == nil && !answer.Large { // what is only announced is not known yet
		f.noteHeard(peer, sentAt)
	}
	return answer, err
}

// setSourceLost records whether this daemon has lost its source, and wakes its
// followers when it has.
func (f *Follower) setSourceLost(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost && !f.sourceLost {
		f.wakeWaiters()
	}
	f.sourceLost = lost
}

// wakeWaiters wakes the waiting fetches. The caller must hold the lock.
func (f *Follower) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) revision() flow.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision()
}

// apply applies an update and publishes the new catalog. If there was a change, it
// returns after a pause.
func (f *Follower) apply(ctx context.Context, source string, update flow.Update, pause time.Duration) {
	if err := addBothForms(update); err != nil {
		f.Log.Error(err, "update is unreadable", "source", source, "revision", update.Revision)
		flow.Sleep(ctx, pause)
		return
	}
	if !f.updateState(source, update) {
		return
	}
	f.publish()
	catalog := f.Catalog()
	f.Log.Info("configuration or server list changed", "source", source, "revision", catalog.Revision, "version", catalog.Version,
		"changes", len(update.Changes), "age-ms", update.Age.Milliseconds())
	flow.Sleep(ctx, pause)
}

// updateState applies an update to the state, and reports whether anything in force
// changed.
func (f *Follower) updateState(source string, update flow.Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.Revision()
	changed := f.state.Apply(f.Clock.Now(), update)
	f.noteOutage(source)
	if f.state.Revision() > before || changed {
		f.wakeWaiters()
	}
	return changed
}

func (f *Follower) presumesOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.InGrace(f.Clock.Now())
}

// noteOutage logs when the store may have had an outage, and when it turns out to have
// had none. The caller must hold the lock.
func (f *Follower) noteOutage(source string) {
	outage := f.state.PresumedOutage()
	if outage == f.lastOutage {
		return
	}
	f.lastOutage = outage
	if outage > 0 {
		f.Log.Info("the store may have been unavailable", "source", source, "interrupted-ms", outage.Milliseconds(), "revision", f.state.Revision())
		return
	}
	f.Log.Info("the store was available to other daemons", "source", source, "revision", f.state.Revision())
}

// publish builds the catalog from the state and hands it on.
func (f *Follower) publish() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	catalog := f.buildCatalog()
	if f.OnChange != nil {
		f.OnChange(catalog)
	}
}

func (f *Follower) buildCatalog() *cataloger.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	configuration, servers, zonesOut := f.state.InForce()
	catalog := cataloger.Build(f.state.Revision(), configuration, servers, zonesOut)
	f.catalog.Store(catalog)
	return catalog
}

// expireLapsed removes lapsed entries after their grace period.
func (f *Follower) expireLapsed(ctx context.Context) {
	for flow.Sleep(ctx, expireInterval) {
		f.mu.Lock()
		expired := f.state.Expire(f.Clock.Now())
		f.mu.Unlock()
		if expired {
			f.Log.Info("lapsed backend servers were removed", "revision", f.revision())
			f.publish()
		}
	}
}

// Endpoints returns the calls that this daemon serves to other daemons.
func (f *Follower) Endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{messenger.CallFetch: f.handleFetch}
}

var errNothingKnown = errors.New("nothing is known yet")

// handleFetch answers as soon as there are changes, or when the wait is over.
func (f *Follower) handleFetch(ctx context.Context, request any) (any, error) {
	var fetch FetchRequest
	if err := request.(listener.Request).Decode(&fetch); err != nil {
		return nil, err
	}
	wait := time.NewTimer(min(time.Duration(fetch.WaitMs)*time.Millisecond, peerWatchWait))
	defer wait.Stop()
	for {
		f.mu.Lock()
		changed := f.changed
		update := f.state.Since(f.Clock.Now(), fetch.After)
		update.SourceLost = f.sourceLost
		f.mu.Unlock()
		if update.Revision == 0 {
			return nil, errNothingKnown
		}
		if update.Revision > fetch.After || update.SourceLost {
			return newFetchAnswer(update, fetch.Large), nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return newFetchAnswer(update, fetch.Large), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// newFetchAnswer returns the answer with an update. A configuration is only
// announced unless the request asked for it.
func newFetchAnswer(update flow.Update, large bool) *FetchAnswer {
	if hasConfiguration(update) && !large {
		return &FetchAnswer{Update: flow.Update{Age: update.Age, Unbroken: update.Unbroken, SourceLost: update.SourceLost}, Large: true}
	}
	return &FetchAnswer{Update: update}
}
