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
	"github.com/coltsfootflow/coltsfootflow/internal/process/disseminator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/replicator"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// expireInterval is the time between two checks for lapsed entries whose grace time is
// over.
const expireInterval = 250 * time.Millisecond

// Parts are the dependencies and settings of a Follower.
type Parts struct {
	Host     string // IP address of this host
	Zone     string
	PeerPort string // control port, the same on all hosts
	Platform flow.Source
	Dialer   *dialer.Dialer // for watches, which occupy their connection while they wait
	Calls    *dialer.Dialer // for calls that are answered at once
	Clock    flow.Clock
	Log      logr.Logger
	Random   *rand.Rand // used only by the goroutine that reads the platform
	// ApplyWithin is the time within which a change must be in force everywhere.
	ApplyWithin time.Duration
	FirstStart  bool                   // the whole deployment starts for the first time
	Reports     *disseminator.Exchange // load reports that travel with the fetches; nil for none
	OnChange    func(*cataloger.Catalog)
}

// Follower maintains the catalog of a daemon.
type Follower struct {
	Parts
	catalog       atomic.Pointer[cataloger.Catalog]
	platformHeard chan struct{} // wakes the reader of the platform when others have heard it
	loggedSource  string        // used only by the goroutine that asks peers

	mu            sync.Mutex
	state         *replicator.State
	changed       chan struct{}        // closed and replaced to wake waiting fetches
	recentPeer    string               // IP address of a daemon that connected recently
	touchWanted   flow.Time            // when InTouch was last called
	heardFrom     map[string]flow.Time // by zone: when a request was sent that a host of the zone answered
	inquired      map[string]int       // by zone: index of the host that is asked
	asking        map[string]bool      // by zone: news of one of its hosts are awaited
	announcedAt   flow.Time            // when a configuration was first announced that has not come yet; Never if there is none
	lastOutage    time.Duration        // length of the newest presumed outage of the store; 0 if there was none
	turn          bool                 // this daemon reads the platform
	rank          int                  // number of hosts that are not silent and read it before this one
	turnChanged   chan struct{}        // closed and replaced when turn or rank changes
	followed      string               // the peer that is asked for changes, or ""
	reading       reading
	readingChange chan struct{} // closed and replaced when reading changes

	publishing sync.Mutex     // held until OnChange returns, so that catalogs are handed on in order
	background sync.WaitGroup // calls in progress
}

// New returns a Follower with an empty catalog.
func New(parts Parts) *Follower {
	f := &Follower{
		Parts:         parts,
		platformHeard: make(chan struct{}, 1),
		state:         replicator.New(),
		changed:       make(chan struct{}),
		touchWanted:   flow.Never,
		heardFrom:     map[string]flow.Time{},
		inquired:      map[string]int{},
		asking:        map[string]bool{},
		announcedAt:   flow.Never,
		turnChanged:   make(chan struct{}),
		readingChange: make(chan struct{}),
	}
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

// provenAt returns when the platform was last known to prove the catalog current.
func (f *Follower) provenAt() flow.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	return now.Add(-f.state.Age(now))
}

// Run keeps the catalog up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.readPlatform(ctx) })
	loops.Go(func() { f.expireLapsed(ctx) })
	loops.Go(func() { f.keepInTouch(ctx) })
	loops.Go(func() { f.readOtherZones(ctx) })
	if f.Reports != nil {
		loops.Go(func() { f.keepReports(ctx) })
	}
	f.askPeers(ctx)
	loops.Wait()
	f.background.Wait()
}

// currentTurn returns whether this daemon reads the platform, its rank among the hosts of
// its zone that may, and a channel that is closed when that changes.
func (f *Follower) currentTurn() (turn bool, rank int, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turn, f.rank, f.turnChanged
}

func (f *Follower) setTurn(turn bool, rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if turn == f.turn && rank == f.rank {
		return
	}
	f.turn, f.rank = turn, rank
	close(f.turnChanged)
	f.turnChanged = make(chan struct{})
}

// currentReading returns how the platform answers this daemon, and a channel that is closed
// when that changes or when a peer is first known.
func (f *Follower) currentReading() (reading, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reading, f.readingChange
}

// setReading reports whether there was a change. Followers are woken if the source of this
// daemon is lost, or no longer lost.
func (f *Follower) setReading(state reading) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == f.reading {
		return false
	}
	if state == readingLost || f.reading == readingLost {
		f.wakeWaiters()
	}
	f.reading = state
	f.wakeAsker()
	return true
}

// wakeAsker wakes the goroutine that asks peers. The caller must hold the lock.
func (f *Follower) wakeAsker() {
	close(f.readingChange)
	f.readingChange = make(chan struct{})
}

// logSource logs which source is read from now on, if that has changed.
func (f *Follower) logSource(c choice) {
	source := c.peer
	switch {
	case c.waiting:
		source = sourceOthers
	case c.peer == "":
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
	if f.recentPeer == "" {
		f.wakeAsker()
	}
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
	now := f.Clock.Now()
	before, ageBefore := f.state.Revision(), f.state.Age(now)
	changed := f.state.Apply(now, update)
	f.noteOutage(source)
	renewed := ageBefore > staleAge && f.state.Age(now) <= staleAge
	if f.state.Revision() > before || changed || renewed {
		f.wakeWaiters()
	}
	if hasConfiguration(update) {
		f.announcedAt = flow.Never
	}
	if f.state.Age(now) < ageBefore {
		f.wakeReader()
	}
	return changed
}

// wakeReader lets the reader of the platform know that others may have heard it.
func (f *Follower) wakeReader() {
	select {
	case f.platformHeard <- struct{}{}:
	default:
	}
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
	return map[messenger.Call]endpoint.Endpoint{messenger.CallFetch: f.handleFetch, messenger.CallExchange: f.handleExchange}
}

var errNothingKnown = errors.New("nothing is known yet")

// handleFetch answers as soon as there are changes, when this daemon loses its source or has
// it back, or when the wait is over. A requester that knows of the loss is also answered when
// its data is stale and that of this daemon is not.
func (f *Follower) handleFetch(ctx context.Context, request any) (any, error) {
	var fetch FetchRequest
	if err := request.(listener.Request).Decode(&fetch); err != nil {
		return nil, err
	}
	received, wasLost, over := f.Clock.Now(), false, false
	peer := request.(listener.Request).Peer.Host
	position := f.Reports.Receive(peer, f.inOwnZone(peer), fetch.Reports)
	wait := time.NewTimer(min(time.Duration(fetch.WaitMs)*time.Millisecond, peerWatchWait))
	defer wait.Stop()
	for {
		f.mu.Lock()
		changed, now := f.changed, f.Clock.Now()
		update := f.state.Since(now, fetch.After)
		update.SourceLost = f.reading == readingLost
		f.mu.Unlock()
		regained := wasLost && !update.SourceLost
		wasLost = update.SourceLost
		if update.Revision == 0 {
			return nil, errNothingKnown
		}
		held := now.Sub(received)
		reported, hasReports := f.Reports.News(position)
		if over || update.Revision > fetch.After || regained || fetch.hasNews(update, held) || hasReports && held >= reportPause {
			answer := newFetchAnswer(update, fetch.Large, held)
			answer.Reports = f.Reports.Answer(position)
			return answer, nil
		}
		if hasReports {
			wait.Reset(reportPause - held)
		}
		select {
		case <-changed:
		case <-reported:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// hasNews reports whether an update without changes is worth an answer before the wait of
// the request is over.
func (r FetchRequest) hasNews(update flow.Update, waited time.Duration) bool {
	if !r.Waiting {
		return update.SourceLost
	}
	age := time.Duration(r.AgeMs)*time.Millisecond + waited
	return age > staleAge && update.Age <= staleAge
}

// newFetchAnswer returns the answer with an update to a request that was held for a time. A
// configuration is only announced unless the request asked for it.
func newFetchAnswer(update flow.Update, large bool, held time.Duration) *FetchAnswer {
	answer := &FetchAnswer{Update: update, HeldMs: held.Milliseconds()}
	if hasConfiguration(update) && !large {
		answer.Update = flow.Update{Age: update.Age, Unbroken: update.Unbroken, SourceLost: update.SourceLost}
		answer.Large = true
	}
	return answer
}
