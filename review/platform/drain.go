//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainedServer cuts the host that watches the store for its zone off from the store, for a
// moment. A little later it removes the entry of the server beside another host, which leaves
// without having reported it. The server goes on for a little longer than the drain time and
// ends. Nothing disturbs the store, the server or any host but the first one.
func drainedServer(f *fleet, trouble bool) (bool, error) {
	for range 4 {
		if _, err := f.addHost("tbs-a", "ledger"); err != nil {
			return false, err
		}
	}
	for _, h := range f.hosts {
		h.server.work = bookingTime
	}
	err := f.start(configuration("pulo780", 0, map[string]any{"book": route("/book/", "unsafe", "ledger")}, "ledger"))
	if err != nil {
		return false, err
	}
	reader, err := f.reader()
	if err != nil {
		return false, err
	}
	leaving := f.hosts[0]
	if leaving == reader {
		leaving = f.hosts[1]
	}
	f.record.logf("%s watches the store for its zone; the server beside %s will leave", reader.name, leaving.name)

	end := time.Now().Add(12 * time.Second)
	takenBy, statuses := map[string]*host{}, map[string]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, h := range f.hosts {
		calls.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				mu.Lock()
				takenBy[id] = h
				mu.Unlock()
				calls.Go(func() {
					a := f.call(h, http.MethodPost, "/book/1", id, 15*time.Second, "wheel 12")
					mu.Lock()
					defer mu.Unlock()
					statuses[id] = a.status
				})
				time.Sleep(120 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.record.logf("%s is cut off from the store for %v", reader.name, readerCutFor)
		f.store.setReset(reader.public, true)
		time.AfterFunc(readerCutFor, func() {
			f.store.setReset(reader.public, false)
			f.record.logf("the cut ends")
		})
	}
	time.Sleep(removalDelay)
	f.store.remove("servers/" + leaving.server.id)
	removed := time.Now()
	time.Sleep(drainTime + exitDelay)
	leaving.server.end()
	calls.Wait()

	late, lost, before := 0, 0, 0
	for _, r := range f.runs.all() {
		switch {
		case r.server != leaving.server.id:
		case r.at.After(removed.Add(drainTime)) && takenBy[r.id] == reader:
			f.record.logf("%s is not counted: %s, which took it, had been cut off", r.id, reader.name)
		case r.at.After(removed.Add(drainTime)):
			late++
			if statuses[r.id] != 200 {
				lost++
			}
			f.record.logf("%s, taken by %s, reached %s %.3f s after the ack of its removal; the client got %d",
				r.id, takenBy[r.id].name, r.server, r.at.Sub(removed).Seconds(), statuses[r.id])
		case r.at.Before(removed):
			before++
		}
	}
	f.record.logf("the server that left got %d requests before its removal, and %d later than %v after it; %d of these were lost as it ended", before, late, drainTime, lost)
	if before == 0 {
		return false, fmt.Errorf("the server got no requests before it left")
	}
	return late > 0, nil
}

const (
	// exitDelay is how long after the drain time the server that leaves ends.
	exitDelay = 700 * time.Millisecond
	// readerCutFor is how long the host that watches the store is cut off from it, and
	// removalDelay the time from the beginning of that until a server leaves.
	readerCutFor = 700 * time.Millisecond
	removalDelay = 2400 * time.Millisecond
)

// reader returns the host whose daemon watches the store.
func (f *fleet) reader() (*host, error) {
	before := map[*host]int{}
	for _, h := range f.hosts {
		before[h] = f.store.watchesOf(h.public)
	}
	time.Sleep(2 * time.Second)
	for _, h := range f.hosts {
		if f.store.watchesOf(h.public) > before[h] {
			return h, nil
		}
	}
	return nil, errors.New("no daemon watches the store")
}
