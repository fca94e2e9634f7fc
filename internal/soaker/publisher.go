// What operators and backend servers publish, and publish again when the store has lost it.

package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

const (
	// rewriteTime is the longest time from a restore until everything is written again.
	rewriteTime = 2 * time.Second
	// copyLease is the time from a restore until the entries of servers that have left expire.
	copyLease = 4500 * time.Millisecond
	// seenTime is the time without writes before a restore, so that a daemon has seen each
	// of them. Nobody can keep what nobody has seen.
	seenTime = 700 * time.Millisecond
)

// publisher writes to the store, and knows what operators and backend servers mean. It is
// safe for concurrent use.
type publisher struct {
	*emulator.Store

	mu       sync.Mutex
	servers  map[string]flow.ServerEntry // by id
	left     map[string]bool             // ids of servers that have left
	zonesOut map[string]bool             // false for those that were put back
}

func newPublisher(store *emulator.Store) *publisher {
	return &publisher{Store: store, servers: map[string]flow.ServerEntry{}, left: map[string]bool{}, zonesOut: map[string]bool{}}
}

// PutServer publishes the entry of a backend server.
func (p *publisher) PutServer(entry flow.ServerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[entry.ID] = entry
	p.Store.PutServer(entry)
}

// DeleteServer removes the entry of a backend server that leaves.
func (p *publisher) DeleteServer(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, id)
	p.left[id] = true
	p.Store.DeleteServer(id)
}

// SetZoneOut takes an availability zone out of service or puts it back.
func (p *publisher) SetZoneOut(zone string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonesOut[zone] = out
	p.Store.SetZoneOut(zone, out)
}

// restoreSeen restores the store once each write has been seen.
func (p *publisher) restoreSeen(ctx context.Context, from emulator.Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	flow.Sleep(ctx, seenTime)
	p.Restore(from)
}

// writeServers writes the entries of all servers again, one after the other, as they notice
// that the store has lost them.
func (p *publisher) writeServers(ctx context.Context, random *rand.Rand) {
	p.mu.Lock()
	var ids []string
	for id := range p.servers {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		flow.Sleep(ctx, time.Duration(random.Int64N(int64(rewriteTime)/int64(len(ids)))))
		p.mu.Lock()
		if entry, ok := p.servers[id]; ok {
			p.Store.PutServer(entry)
		}
		p.mu.Unlock()
	}
}

// writeZones writes again which availability zones are out of service.
func (p *publisher) writeZones() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, out := range p.zonesOut {
		p.Store.SetZoneOut(zone, out)
	}
}

// expire removes the entries of servers that have left.
func (p *publisher) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.left {
		p.Store.DeleteServer(id)
	}
}

// publishAgain writes again what a restore has lost. It returns when the entries of servers that
// have left have expired.
func (dep *deployment) publishAgain(ctx context.Context, random *rand.Rand) {
	var writers sync.WaitGroup
	writers.Go(func() { dep.store.writeServers(ctx, random) })
	flow.Sleep(ctx, rewriteTime/2)
	dep.mu.Lock()
	dep.store.PutConfiguration(&dep.configuration)
	dep.mu.Unlock()
	dep.store.writeZones()
	writers.Wait()
	flow.Sleep(ctx, copyLease-rewriteTime)
	dep.store.expire()
}

// restoreStore restores the store from a copy of a moment ago, without an outage. All
// guarantees hold meanwhile.
func (injector *faultInjector) restoreStore(ctx context.Context, lost time.Duration, random *rand.Rand) {
	dep := injector.deployment
	if _, busy := injector.busyTargets.LoadOrStore(restoreTarget, true); busy {
		return
	}
	defer injector.busyTargets.Delete(restoreTarget)
	from := dep.store.Copy()
	flow.Sleep(ctx, lost)
	dep.publishing.Lock()
	dep.store.restoreSeen(ctx, from)
	dep.publishing.Unlock()
	dep.logf("the store was restored from a copy of %v before", lost+seenTime)
	dep.publishAgain(ctx, random)
}

// restoreTarget is the target of restores, of which one at a time is under way.
const restoreTarget = "store-restore"
