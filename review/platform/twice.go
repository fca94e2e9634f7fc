//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// bookingTime is how long a server works on a booking, as in the site file.
	bookingTime = 620 * time.Millisecond
	// shortTime is how long a server works on a short request, as in the site file.
	shortTime = 160 * time.Millisecond
	// shedShare and shedTime are the share of its requests that the server rejects, and
	// for how long.
	shedShare = 0.1
	shedTime  = 6500 * time.Millisecond
	// extraShare and extraTime are the share of its answers that the server sends a second
	// time, and for how long.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	// rejection is how a server says that it has not run a request, as the pages show it.
	rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Coltsfootflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// faultyServer rejects some of its requests, and sends second copies of a few of these
// answers where the next answer on the connection is expected.
type faultyServer struct {
	server *server
	extras bool // sends second copies

	mu      sync.Mutex
	from    time.Time // when the trouble begins
	answers int       // since then
	copies  int
	copyDue map[net.Conn]bool
}

// begin begins the trouble.
func (g *faultyServer) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.from = time.Now()
}

// next decides on a request: whether a second copy of the last answer on its connection
// goes before its answer, and whether it is rejected.
func (g *faultyServer) next(ex *exchange) (sendCopy, reject bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.from.IsZero() {
		return false, false
	}
	sendCopy = g.copyDue[ex.conn]
	delete(g.copyDue, ex.conn)
	age := time.Since(g.from)
	reject = age < shedTime && rand.Float64() < shedShare
	g.answers++
	if reject && g.extras && age < extraTime && float64(g.copies+1) <= extraShare*float64(g.answers) {
		g.copies++
		g.copyDue[ex.conn] = true
	}
	return sendCopy, reject
}

func (g *faultyServer) handle(ex *exchange) bool {
	sendCopy, reject := g.next(ex)
	if sendCopy {
		g.server.fleet.record.logf("server %s sends its last rejection once more, before its answer to %s", g.server.id, ex.id)
		_, _ = ex.conn.Write([]byte(rejection))
	}
	if reject {
		g.server.fleet.record.logf("server %s rejects %s", g.server.id, ex.id)
		_, _ = ex.conn.Write([]byte(rejection))
		return true
	}
	g.server.run(ex)
	time.Sleep(g.server.work)
	g.server.answer(ex, "done "+ex.id+"\n")
	return true
}

// requestTwice sends requests that may run once while one of two servers rejects a few.
func requestTwice(f *fleet, trouble bool) (bool, error) {
	for range 2 {
		h, err := f.addHost("tbs-a", "ledger")
		if err != nil {
			return false, err
		}
		h.server.work = shortTime
	}
	faulty := &faultyServer{server: f.hosts[0].server, extras: trouble, copyDue: map[net.Conn]bool{}}
	faulty.server.handle = faulty.handle
	err := f.start(configuration("pulo780", 0, map[string]any{"book": route("/book/", "unsafe", "ledger")}, "ledger"))
	if err != nil {
		return false, err
	}
	const (
		perHost  = 38 // requests a second
		duration = 10 * time.Second
	)
	time.AfterFunc(2*time.Second, faulty.begin)
	var mu sync.Mutex
	var clients sync.WaitGroup
	statuses := map[string]int{}
	end := time.Now().Add(duration)
	for _, h := range f.hosts {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				clients.Go(func() {
					a := f.call(h, http.MethodPost, "/book/1", id, 15*time.Second, "wheel 12")
					mu.Lock()
					defer mu.Unlock()
					statuses[id] = a.status
				})
				time.Sleep(time.Second / perHost)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	ran := map[string]int{}
	for _, r := range f.runs.all() {
		ran[r.id]++
	}
	served, twice, denied := 0, 0, 0
	for id, status := range statuses {
		switch {
		case ran[id] > 1:
			twice++
			f.record.logf("%s ran %d times; the client got %d", id, ran[id], status)
		case ran[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421):
			denied++
			f.record.logf("%s ran, and the client got %d", id, status)
		case status == 200:
			served++
		}
	}
	f.record.logf("the faulty server gave %d answers in its trouble, %d of them twice", faulty.answers, faulty.copies)
	f.record.logf("%d requests: %d served and run once, %d run more than once, %d run and answered as not run", len(statuses), served, twice, denied)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return twice+denied > 0, nil
}
