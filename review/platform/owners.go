//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
)

const (
	// tenantRate is the rate and the burst of the tenant.
	tenantRate = 31.0
	// usualShare is the usual load of a tenant as a share of its rate (quota_x of the
	// site file is 1.6).
	usualShare = 1 / 1.6
	// hotTimes is the load of a hot tenant as a multiple of its usual load, and hotFor how
	// long it lasts.
	hotTimes = 7.5
	hotFor   = 6500 * time.Millisecond
	// cutFor is how long a machine is cut off.
	cutFor = 12 * time.Second
	// lapseTime is the time without a heartbeat after which an entry is removed: three
	// heartbeats of 1.5 s.
	lapseTime = 4500 * time.Millisecond
)

// twoOwners cuts off one machine of four while a tenant sends many times its usual. The
// requests of the tenant that run must stay within its allowance over all machines.
func twoOwners(f *fleet, trouble bool) (bool, error) {
	for _, zone := range []string{"tbs-a", "tbs-b", "rst-a", "mtk-a"} {
		if _, err := f.addHost(zone, "counter"); err != nil {
			return false, err
		}
	}
	var addresses []string
	for _, h := range f.hosts {
		h.server.work = 20 * time.Millisecond
		addresses = append(addresses, h.public)
	}
	slices.Sort(addresses)
	// Names of tenants are new each day. This one's rate is kept by the machine that will
	// be cut off.
	cut := f.hosts[3]
	tenant := ""
	for i := 0; tenant == ""; i++ {
		if name := fmt.Sprintf("pulo%d", 100+i); ranker.New(addresses).Owner(name) == cut.public {
			tenant = name
		}
	}
	err := f.start(configuration(tenant, tenantRate, map[string]any{"stock": route("/stock/", "safe", "counter")}, "counter"))
	if err != nil {
		return false, err
	}
	const length = 20 * time.Second
	usual := tenantRate * usualShare / float64(len(f.hosts)) // requests a second at one machine
	var hotUntil atomic.Int64                                // Unix time in nanoseconds
	f.record.logf("tenant %s sends %.1f requests a second at each of %d machines; its rate is %.0f a second, its burst %.0f", tenant, usual, len(f.hosts), tenantRate, tenantRate)
	cutAt := time.Now().Add(2 * time.Second)
	hotAt := cutAt.Add(lapseTime + 500*time.Millisecond)
	time.AfterFunc(time.Until(hotAt), func() {
		hotUntil.Store(time.Now().Add(hotFor).UnixNano())
		f.record.logf("the tenant sends %.1f times as much for %v", hotTimes, hotFor)
	})
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	end := time.Now().Add(length)
	for _, h := range f.hosts {
		calls.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				calls.Go(func() {
					a := f.call(h, http.MethodGet, "/stock/1", id, 12*time.Second, "")
					mu.Lock()
					defer mu.Unlock()
					statuses[a.status]++
				})
				perSecond := usual
				if time.Now().UnixNano() < hotUntil.Load() {
					perSecond *= hotTimes
				}
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
		})
	}
	time.Sleep(time.Until(cutAt))
	if trouble {
		f.record.logf("%s is cut off from the other machines and the store", cut.name)
		f.links.setCut(cut.public)
		f.store.setCut(cut.public, true)
		time.Sleep(lapseTime)
		f.store.remove("servers/" + cut.server.id)
		time.Sleep(cutFor - lapseTime)
		f.links.setCut("")
		f.store.setCut(cut.public, false)
		f.record.logf("the cut ends")
		f.publish(cut)
	}
	calls.Wait()

	// A request counts in a window if it was sent and arrived at its server inside it.
	type counted struct{ sent, arrived time.Time }
	var requests []counted
	first := map[string]bool{}
	for _, r := range f.runs.all() {
		if !first[r.id] {
			first[r.id] = true
			requests = append(requests, counted{sentAt[r.id], r.at})
		}
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantRate)*(1+quotaOverage) + quotaSlack
	most, mostAt := 0, time.Time{}
	for _, from := range requests {
		n := 0
		for _, r := range requests {
			if !r.sent.Before(from.sent) && !r.arrived.After(from.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, mostAt = n, from.sent
		}
	}
	f.record.logf("answers by status: %v", statuses)
	f.record.logf("most requests sent and run in a window of %v: %d, from second %.3f of the record; allowed: %.1f", quotaWindow, most, mostAt.Sub(f.record.started).Seconds(), allowed)
	if most == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return float64(most) > allowed, nil
}
