//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endlessEvery is one in how many answers of a faulty server has no end: the largest
	// share that the site file names for spoiled answers is 0.05.
	endlessEvery = 20
	// endlessFor is how long the trouble of the faulty servers lasts.
	endlessFor = 5 * time.Second
	// routeTimeout is the timeout_s of the route, and stockBudget the time budget of its
	// requests, as of the first kind of request in the site file.
	routeTimeout = 6 * time.Second
	stockBudget  = 12 * time.Second
	// finalWithin is how long after the timeout of its route a request must have its final
	// answer.
	finalWithin = 500 * time.Millisecond
	// minOverdue is the least number of requests without a final answer that breaks the
	// rule, and overdueShare their least share of the requests that last longer than the
	// timeout.
	minOverdue   = 8
	overdueShare = 0.25
	// chunk and chunkInterval are the pace of an answer without end.
	chunk         = 32 << 10
	chunkInterval = 20 * time.Millisecond
)

// answerWithoutEnd lets one in twenty answers of half of the servers have no length, and
// bytes without end in its body. A request must have a final answer, or its connection must
// end, soon after the timeout of its route.
func answerWithoutEnd(f *fleet, trouble bool) (bool, error) {
	for range 6 {
		h, err := f.addHost("tbs-a", "counter")
		if err != nil {
			return false, err
		}
		h.server.work = shortTime
	}
	stock := route("/stock/", "safe", "counter")
	stock["timeout_s"] = routeTimeout.Seconds()
	var troubleUntil atomic.Int64 // Unix time in nanoseconds
	for _, h := range f.hosts[:len(f.hosts)/2] {
		s := h.server
		var answers atomic.Int64
		s.handle = func(ex *exchange) bool {
			s.run(ex)
			time.Sleep(s.work)
			if time.Now().UnixNano() < troubleUntil.Load() && answers.Add(1)%endlessEvery == 0 {
				f.record.logf("server %s sends bytes without end in the body of its answer to %s", s.id, ex.id)
				sendUnframed(s, ex)
				piece := make([]byte, chunk)
				for {
					if _, err := ex.conn.Write(piece); err != nil {
						f.record.logf("server %s: the connection of %s was closed", s.id, ex.id)
						return false
					}
					time.Sleep(chunkInterval)
				}
			}
			s.answer(ex, "done "+ex.id+"\n")
			return true
		}
	}
	if err := f.start(configuration("pulo780", 0, map[string]any{"stock": stock}, "counter")); err != nil {
		return false, err
	}
	if trouble {
		troubleUntil.Store(time.Now().Add(endlessFor).UnixNano())
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	good, failed, long, overdue := 0, 0, 0, 0
	end := time.Now().Add(endlessFor)
	for i := 0; time.Now().Before(end); i++ {
		id, h := newID(), f.hosts[i%len(f.hosts)]
		calls.Go(func() {
			status, took, err := f.fetch(h, id)
			mu.Lock()
			defer mu.Unlock()
			f.record.logf("client at %s: %s got status %d; the end came after %.3f s, error %v", h.name, id, status, took.Seconds(), err)
			if status == http.StatusOK && err == nil {
				good++
			} else {
				failed++
			}
			if took > routeTimeout {
				long++
			}
			if took > routeTimeout+finalWithin {
				overdue++
			}
		})
		time.Sleep(time.Second / 130)
	}
	calls.Wait()
	f.record.logf("%d requests served, %d not; %d lasted longer than timeout_s, %d of them had no final answer %v later", good, failed, long, overdue, finalWithin)
	if good == 0 {
		return false, errors.New("no request was served")
	}
	return overdue >= minOverdue && float64(overdue) > overdueShare*float64(long), nil
}

// fetch makes one request on a connection of its own, drops the body of the answer, and
// returns how long it took until the answer or its connection ended. It gives up at the end
// of the time budget.
func (f *fleet) fetch(h *host, id string) (status int, took time.Duration, err error) {
	began := time.Now()
	conn, err := f.dial(h, stockBudget)
	if err != nil {
		return 0, time.Since(began), err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, head(http.MethodGet, "/stock/1", id, stockBudget, "")); err != nil {
		return 0, time.Since(began), err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, time.Since(began), err
	}
	n, err := io.Copy(io.Discard, response.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("the client gave up at the end of its time budget, after %d bytes of a body without end", n)
	}
	return response.StatusCode, time.Since(began), err
}
