package follower_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

var (
	restoreSeeds = flag.Uint64("restore-seeds", 6, "number of seeds of TestFleetsAgreeAfterRestores")
	restoreSeed  = flag.Uint64("restore-seed", 0, "first seed of TestFleetsAgreeAfterRestores")
)

const (
	leaseTime     = 4500 * time.Millisecond // from the last renewal of an entry until it expires
	sampleTime    = 50 * time.Millisecond   // between two looks at what daemons use
	zoneOutWithin = 5 * time.Second
	callWindow    = 5 * time.Second // from the store's return, in which calls are counted
	callsPerZone  = 50              // in callWindow; one reader makes up to 8 a second during changes
)

// restriction is something that must not be used while it holds.
type restriction struct {
	name   string
	acked  time.Time
	ended  bool
	server *modelServer                        // nil if it is about something else
	within time.Duration                       // of the acknowledgement it must be in force
	lapses bool                                // after an outage it may be in force flow.LapseGrace later, since the entry is gone
	used   func(c *cataloger.Catalog) bool     // what it is about is known and not restricted
	stored func(published map[string]any) bool // the store holds it
	since  time.Time                           // since when the store has held it; zero if it does not
}

// experience is what one run of a daemon has seen of a restriction.
type experience struct {
	used    bool      // it was used
	inForce time.Time // since when it is not, after that; zero if it is
}

// restoreModel is what operators and backend servers mean, what the store holds, and what
// the daemons of a fleet use, while the store is restored from copies.
type restoreModel struct {
	*fleet
	t *testing.T

	mu           sync.Mutex
	published    map[string]any // what the store holds: entries of servers by id, zones that are out, the version
	renewed      map[string]time.Time
	serving      bool
	servingSince time.Time
	servers      []*modelServer
	zonesOut     map[string]bool
	restrictions []*restriction
	experiences  map[*fleetHost]map[*restriction]*experience
	newest       map[*fleetHost]uint64 // version in force
	runs         map[*fleetHost]time.Time
	disturbed    map[string][2]time.Time // by zone: from when and until when it is cut off
	failures     []string
	stopChanges  bool
}

// modelServer is a backend server.
type modelServer struct {
	entry flow.ServerEntry
	gone  bool
}

func newRestoreModel(t *testing.T, f *fleet) *restoreModel {
	m := &restoreModel{
		fleet: f, t: t, published: map[string]any{}, renewed: map[string]time.Time{}, serving: true, servingSince: time.Now(), zonesOut: map[string]bool{},
		experiences: map[*fleetHost]map[*restriction]*experience{}, newest: map[*fleetHost]uint64{}, runs: map[*fleetHost]time.Time{}, disturbed: map[string][2]time.Time{},
	}
	for _, h := range f.hosts {
		server := &modelServer{entry: h.entry()}
		m.servers = append(m.servers, server)
		m.published[server.entry.ID] = server.entry
		m.renewed[server.entry.ID] = time.Now()
	}
	m.publishVersion()
	for i, server := range m.servers {
		random := rand.New(rand.NewPCG(f.random.Uint64(), uint64(i)))
		f.running.Go(func() { m.renew(random, server) })
	}
	random := rand.New(rand.NewPCG(f.random.Uint64(), 3))
	f.running.Go(func() { m.change(random) })
	f.running.Go(m.observe)
	return m
}

// put writes to the store if it serves.
func (m *restoreModel) put(entry flow.ServerEntry) {
	m.published[entry.ID] = entry
	m.renewed[entry.ID] = time.Now()
	m.store.PutServer(entry)
}

func (m *restoreModel) remove(id string) {
	delete(m.published, id)
	m.store.DeleteServer(id)
}

func (m *restoreModel) putZone(zone string, out bool) {
	delete(m.published, zone)
	if out {
		m.published[zone] = true
	}
	m.store.SetZoneOut(zone, out)
}

func (m *restoreModel) putVersion() {
	m.published["version"] = m.version
	m.store.PutConfiguration(&flow.Configuration{
		Version: m.version, Services: []flow.ServiceRule{{Name: "stock"}},
		Customers: []flow.CustomerRule{{Name: "shop", Keys: []string{fmt.Sprint("key-", m.version)}, Priority: -1}},
	})
}

// restrict records a restriction that was just acknowledged.
func (m *restoreModel) restrict(r *restriction) {
	r.acked = time.Now()
	m.restrictions = append(m.restrictions, r)
}

func (m *restoreModel) publishVersion() {
	m.version++
	m.putVersion()
	version, revoked := m.version, fmt.Sprint("key-", m.version-1)
	m.restrict(&restriction{
		name: revoked + " is revoked", within: m.size.applyWithin,
		used:   func(c *cataloger.Catalog) bool { return c.CustomerByKey(revoked) != nil },
		stored: func(published map[string]any) bool { return published["version"].(uint64) >= version },
	})
}

func (m *restoreModel) restrictServer(server *modelServer, state string) {
	id, started, address := server.entry.ID, server.entry.StartedUnixMs, server.entry.Address
	m.restrict(&restriction{
		name: fmt.Sprintf("%s/%d is %s", id, started, state), server: server, within: m.size.applyWithin, lapses: state != "draining",
		used: func(c *cataloger.Catalog) bool {
			listed := c.ServerAt(address)
			return listed != nil && listed.ID == id && listed.StartedUnixMs == started && !listed.Draining
		},
		stored: func(published map[string]any) bool {
			entry, listed := published[id].(flow.ServerEntry)
			return !listed || entry.Draining || entry.StartedUnixMs != started
		},
	})
}

// changeServer lets a server drain, leave, or start anew with its id or another one.
func (m *restoreModel) changeServer(random *rand.Rand, server *modelServer) {
	switch {
	case server.gone || random.IntN(4) == 0:
		old := server.entry.ID
		if !server.gone && !server.entry.Draining {
			m.restrictServer(server, "replaced")
		}
		server.entry.StartedUnixMs++
		if random.IntN(2) == 0 {
			server.entry.ID = fmt.Sprintf("server-%s-%d", server.entry.Host, server.entry.StartedUnixMs)
			m.remove(old)
		}
		server.gone, server.entry.Draining = false, false
		m.put(server.entry)
	case server.entry.Draining:
		server.gone = true
		m.remove(server.entry.ID)
		for _, r := range m.restrictions {
			r.lapses = r.lapses || r.server == server
		}
	case random.IntN(3) == 0:
		server.gone = true
		m.remove(server.entry.ID)
		m.restrictServer(server, "gone")
	default:
		server.entry.Draining = true
		m.put(server.entry)
		m.restrictServer(server, "draining")
	}
}

func (m *restoreModel) changeZone(random *rand.Rand) {
	for zone := range m.zonesOut {
		m.putZone(zone, false)
		delete(m.zonesOut, zone)
		for _, r := range m.restrictions {
			r.ended = r.ended || r.name == zone+" is out"
		}
		return
	}
	probe := m.hosts[random.IntN(m.size.zones)]
	m.putZone(probe.zone, true)
	m.zonesOut[probe.zone] = true
	id, address, zone := probe.entry().ID, probe.entry().Address, probe.zone
	m.restrict(&restriction{
		name: zone + " is out", within: zoneOutWithin,
		used:   func(c *cataloger.Catalog) bool { return c.AcceptsNewRequests(id, address) },
		stored: func(published map[string]any) bool { return published[zone] == true },
	})
}

// change changes something now and then while the store serves. The first server of each
// zone stays as it is, so that each zone is listed.
func (m *restoreModel) change(random *rand.Rand) {
	for flow.Sleep(m.ctx, time.Duration(50+random.IntN(900))*time.Millisecond) {
		m.mu.Lock()
		switch n := random.IntN(10); {
		case !m.serving || m.stopChanges:
		case n < 3:
			m.publishVersion()
		case n < 5:
			m.changeZone(random)
		case len(m.servers) > m.size.zones:
			m.changeServer(random, m.servers[m.size.zones+random.IntN(len(m.servers)-m.size.zones)])
		}
		m.mu.Unlock()
	}
}

// renew renews the entry of a server, and writes it again if the store lost it.
func (m *restoreModel) renew(random *rand.Rand, server *modelServer) {
	flow.Sleep(m.ctx, time.Duration(random.Int64N(int64(heartbeatInterval))))
	for {
		m.mu.Lock()
		if m.serving && !server.gone {
			m.renewed[server.entry.ID] = time.Now()
			if m.published[server.entry.ID] != server.entry {
				m.put(server.entry)
			}
		}
		m.mu.Unlock()
		if !flow.Sleep(m.ctx, heartbeatInterval) {
			return
		}
	}
}

// rewrite lets the operators write again what the store has lost.
func (m *restoreModel) rewrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serving {
		return
	}
	for i := range m.size.zones {
		if zone := m.hosts[i].zone; m.zonesOut[zone] != (m.published[zone] == true) {
			m.putZone(zone, m.zonesOut[zone])
		}
	}
	if m.published["version"] != m.version {
		m.putVersion()
	}
}

// modelCopy is a copy of the store.
type modelCopy struct {
	published map[string]any
	store     emulator.Copy
}

func (m *restoreModel) copyStore() modelCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return modelCopy{maps.Clone(m.published), m.store.Copy()}
}

func (m *restoreModel) restore(from modelCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.Restore(from.store)
	m.published = maps.Clone(from.published)
}

// serve lets the store serve or not. Leases may be extended at its return.
func (m *restoreModel) serve(serving, extend bool, disturb func(f *fleet, disturbed bool)) {
	m.mu.Lock()
	m.serving, m.servingSince = serving, time.Now()
	if serving && extend {
		for id := range m.published {
			m.renewed[id] = time.Now()
		}
	}
	m.mu.Unlock()
	disturb(m.fleet, !serving)
}

// expire removes the entries that nobody renews. The caller holds the mutex.
func (m *restoreModel) expire() {
	for id, item := range m.published {
		if _, server := item.(flow.ServerEntry); server && time.Since(m.renewed[id]) > leaseTime {
			m.remove(id)
		}
	}
}

// observe checks all daemons again and again.
func (m *restoreModel) observe() {
	for flow.Sleep(m.ctx, sampleTime) {
		m.mu.Lock()
		if m.serving {
			m.expire()
		}
		for _, r := range m.restrictions {
			switch held := r.stored(m.published); {
			case !held:
				r.since = time.Time{}
			case r.since.IsZero():
				r.since = time.Now()
			}
		}
		for _, h := range m.hosts {
			m.observeHost(h)
		}
		for _, r := range m.restrictions {
			if !r.ended {
				m.checkLate(r)
			}
		}
		m.mu.Unlock()
	}
}

// observeHost checks that what was in force on a host stays so.
func (m *restoreModel) observeHost(h *fleetHost) {
	one := h.running()
	if one == nil {
		delete(m.runs, h)
		return
	}
	h.mu.Lock()
	startedAt := h.startedAt
	h.mu.Unlock()
	if m.runs[h] != startedAt {
		m.runs[h], m.newest[h], m.experiences[h] = startedAt, 0, map[*restriction]*experience{}
	}
	catalog := one.Catalog()
	if catalog.Version < m.newest[h] {
		m.failf("%s: version %d is in force after %d", h.ip, catalog.Version, m.newest[h])
	}
	m.newest[h] = catalog.Version
	for _, r := range m.restrictions {
		seen := m.experiences[h][r]
		if seen == nil {
			seen = &experience{}
			m.experiences[h][r] = seen
		}
		switch used := r.used(catalog); {
		case used && !seen.inForce.IsZero() && !r.ended:
			m.failf("%s: %s, acknowledged %v ago, was in force for %v and is not any more", h.ip, r.name, time.Since(r.acked), time.Since(seen.inForce))
			seen.inForce = time.Time{}
		case used:
			seen.used, seen.inForce = true, time.Time{}
		case seen.used && seen.inForce.IsZero():
			seen.inForce = time.Now()
		}
	}
}

// steady reports whether a host has been running and not cut off for the time within which
// daemons must reach each other again.
func (m *restoreModel) steady(h *fleetHost) bool {
	startedAt, ok := m.runs[h]
	cut := m.disturbed[h.zone]
	now := time.Now()
	return ok && now.Sub(startedAt) >= m.size.undisturbedWindow && (now.Before(cut[0]) || now.Sub(cut[1]) >= m.size.undisturbedWindow)
}

// checkLate checks that a restriction is in force everywhere in time, if the store holds it
// or a daemon knows it.
func (m *restoreModel) checkLate(r *restriction) {
	now, settled := time.Now(), m.size.undisturbedWindow
	if r.lapses {
		settled += flow.LapseGrace
	}
	stored := m.serving && !r.since.IsZero() && now.Sub(r.since) > r.within+sampleTime && now.Sub(m.servingSince) > settled
	var knower *fleetHost
	for _, h := range m.hosts {
		if seen := m.experiences[h][r]; m.steady(h) && seen != nil && !seen.inForce.IsZero() && now.Sub(seen.inForce) > settled {
			knower = h
		}
	}
	if !stored && (knower == nil || now.Sub(r.acked) <= r.within || now.Sub(m.servingSince) <= settled) {
		return
	}
	for _, h := range m.hosts {
		if one := h.running(); one != nil && m.steady(h) && r.used(one.Catalog()) {
			reason := "the store holds it"
			if !stored {
				reason = "it is known to " + knower.ip
			}
			m.failf("%s: %s, acknowledged %v ago, is not in force, while %s; store serving %v for %v, held for %v", h.ip, r.name, now.Sub(r.acked), reason,
				m.serving, now.Sub(m.servingSince), now.Sub(r.since))
			r.ended = true
		}
	}
}

func (m *restoreModel) failf(format string, arguments ...any) {
	if len(m.failures) < 10 {
		m.failures = append(m.failures, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
	}
}

// cutZone cuts a zone off from the store, from the other zones or from both, until a time.
func (m *restoreModel) cutZone(random *rand.Rand, until time.Time) string {
	zone := m.hosts[random.IntN(m.size.zones)].zone
	var inside, outside []string
	for _, h := range m.hosts {
		if h.zone == zone {
			inside = append(inside, h.ip)
		} else {
			outside = append(outside, h.ip)
		}
	}
	kind := []string{"the store", "other zones", "both"}[random.IntN(3)]
	var cut []string
	if kind != "other zones" {
		cut = append(cut, storeHost)
	}
	if kind != "the store" {
		cut = append(cut, outside...)
	}
	m.mu.Lock()
	m.disturbed[zone] = [2]time.Time{time.Now(), until}
	m.mu.Unlock()
	m.network.Cut(inside, cut, true)
	m.running.Go(func() {
		time.Sleep(time.Until(until))
		m.network.Cut(inside, cut, false)
	})
	return fmt.Sprintf("%s is cut off from %s until %v", zone, kind, until.Format("05.000"))
}

// restoreResult is what a seed measured.
type restoreResult struct {
	current          time.Duration // from the store's return until the last undisturbed daemon was current
	started          time.Duration // the same of those that started while the store was away, and may know no other daemon
	calls, fullReads int           // in callWindow after the return
}

// play restores the store during changes, and returns what happened.
func (m *restoreModel) play(random *rand.Rand) (result restoreResult, story []string) {
	tell := func(format string, arguments ...any) {
		story = append(story, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
	}
	pause := func(least, most int) { time.Sleep(time.Duration(least+random.IntN(most-least+1)) * time.Millisecond) }
	tell("%d daemons in %d zones", m.size.daemons, m.size.zones)
	pause(2000, 5000)
	copies := []modelCopy{m.copyStore()}
	pause(0, 2000)
	copies = append(copies, m.copyStore())
	pause(100, 3500)

	disturb := []func(*fleet, bool){
		storeMode(emulator.Silent), storeMode(emulator.Busy), storeMode(emulator.Resetting),
		func(f *fleet, disturbed bool) { f.network.Silence(storeHost, disturbed) },
	}[random.IntN(4)]
	away := []int{0, 500, 2500, 8000}[random.IntN(4)]
	eras := 1 + random.IntN(3)
	restarts := 0
	if random.IntN(2) == 0 {
		restarts = random.IntN(len(m.hosts)/2 + 1)
	}
	begun := time.Now()
	if random.IntN(5) < 2 {
		tell("%s", m.cutZone(random, begun.Add(time.Duration(away+random.IntN(6000))*time.Millisecond)))
	}
	m.serve(false, false, disturb)
	tell("the store is away for %d ms, %d eras, %d daemons restart", away, eras, restarts)
	restarted := m.someHosts(float64(restarts) / float64(len(m.hosts)))
	stopAt := begun.Add(time.Duration(random.IntN(away+1)) * time.Millisecond)
	startAt := stopAt.Add(time.Duration(100+random.IntN(away+1000)) * time.Millisecond)
	m.running.Go(func() { m.restartHosts(restarted, stopAt, startAt) })
	for i := range eras {
		pause(away/eras, away/eras)
		from := copies[random.IntN(len(copies))]
		m.restore(from)
		extend := random.IntN(2) == 0
		tell("restored; leases extended: %v", extend)
		if i == eras-1 {
			m.serve(true, extend, disturb)
			break
		}
		if random.IntN(2) == 0 {
			m.serve(true, extend, disturb)
			pause(50, 1500)
			m.serve(false, false, disturb)
			tell("the store is away again")
		}
	}
	returned := time.Now()
	tell("the store is back")
	calls, fullReads := m.store.Calls(), m.store.FullReads()
	era, number := m.store.Position()
	revision, _ := flow.NewRevision(era, number)
	rewriteAt := returned.Add(time.Duration(200+random.IntN(3800)) * time.Millisecond)
	m.running.Go(func() {
		time.Sleep(time.Until(rewriteAt))
		m.rewrite()
	})
	for time.Since(returned) < callWindow {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		for _, h := range m.hosts {
			one := h.running()
			_, startedAt, _ := h.knows(0)
			cut := m.disturbed[h.zone]
			cutOff := time.Now().After(cut[0]) && time.Since(cut[1]) < m.size.undisturbedWindow
			if one == nil || cutOff || startedAt.After(returned.Add(-m.size.undisturbedWindow)) {
				continue
			}
			switch behind := one.Catalog().Revision < revision; {
			case behind && startedAt.After(begun):
				result.started = time.Since(returned)
			case behind:
				result.current = time.Since(returned)
			}
		}
		m.mu.Unlock()
	}
	result.calls, result.fullReads = m.store.Calls()-calls, m.store.FullReads()-fullReads
	pause(8000, 12000)
	m.mu.Lock()
	m.stopChanges = true
	m.mu.Unlock()
	time.Sleep(2*leaseTime + m.size.undisturbedWindow)
	m.checkEnd()
	bound := m.size.zones*(eras+1) + 2*restarts
	if result.fullReads > bound {
		m.failf("%d full reads of the store in %v after its return, bound %d", result.fullReads, callWindow, bound)
	}
	if most := m.size.zones*callsPerZone + 4*restarts; result.calls > most {
		m.failf("%d calls to the store in %v after its return, bound %d", result.calls, callWindow, most)
	}
	if result.current > m.size.applyWithin {
		m.failf("the last daemon was current %v after the store's return", result.current)
	}
	if result.started > m.size.undisturbedWindow {
		m.failf("the last daemon that started while the store was away was current %v after its return", result.started)
	}
	return result, story
}

// checkEnd checks that all daemons use what operators and servers mean.
func (m *restoreModel) checkEnd() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var want []string
	for _, server := range m.servers {
		if !server.gone && !server.entry.Draining && !m.zonesOut[server.entry.Zone] {
			want = append(want, server.entry.ID)
		}
	}
	slices.Sort(want)
	era, number := m.store.Position()
	revision, _ := flow.NewRevision(era, number)
	for _, h := range m.hosts {
		one := h.running()
		if one == nil {
			continue
		}
		catalog := one.Catalog()
		var got []string
		for _, server := range catalog.Servers("stock") {
			got = append(got, server.ID)
		}
		if !slices.Equal(got, want) || catalog.Version != m.version || catalog.Revision != revision {
			m.failf("%s uses %v of revision %v and version %d at the end, want %v of %v and %d", h.ip, got, catalog.Revision, catalog.Version, want, revision, m.version)
		}
	}
}

// TestFleetsAgreeAfterRestores plays restores of the store during changes, restarts and
// partitions on fleets of 3 to 27 daemons. It guards against daemons that use a server that
// drains or has left, a zone that is out, an older configuration or a revoked key since only
// the copy allows it, that are not current in time, and that all read the store at its return.
func TestFleetsAgreeAfterRestores(t *testing.T) {
	seeds := *restoreSeeds
	if raceDetector {
		seeds = min(seeds, 2)
	}
	for seed := *restoreSeed; seed < *restoreSeed+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			parallel(t)
			random := rand.New(rand.NewPCG(seed, 11))
			size := smallFleet
			size.daemons, size.zones = 3+random.IntN(25), 3
			if size.daemons > 8 {
				size.zones += random.IntN(2)
			}
			runFleet(t, size, seed, func(t *testing.T, f *fleet) {
				m := newRestoreModel(t, f)
				result, story := m.play(random)
				t.Logf("%d daemons: current after %v, those that started meanwhile after %v; %d calls and %d full reads in %v",
					size.daemons, result.current, result.started, result.calls, result.fullReads, callWindow)
				for _, failure := range m.failures {
					t.Error(failure)
				}
				if t.Failed() {
					t.Log(story)
				}
			})
		})
	}
}
