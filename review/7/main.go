//go:build review

// Some servers of a service fail part of their bookings after they have run them, with a 503
// without the header that marks requests that were not run. The caller acts on what a 503
// promises: it books once more, in a new attempt.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/review/fleet"
)

const (
	servers    = 8
	grayPeriod = 6 * time.Second // one server after the other is gray for so long
	failing    = 0.4             // of the requests of a gray server
	bookings   = 1500
	everyMs    = 40
	maxTries   = 3
	timeLeft   = 5 * time.Second
	work       = 100 * time.Millisecond
	settleTime = 2 * time.Second // until nothing runs any more
)

// ledger holds which attempts ran, and how often each booking was entered.
type ledger struct {
	mu      sync.Mutex
	runs    map[string]int // by attempt id
	entries map[string]int // by booking
	answers map[string]int // status by attempt id
}

func main() {
	record := fleet.NewRecord("review/7/record.txt")
	d := fleet.New(fleet.Options{Record: record})
	l := &ledger{runs: map[string]int{}, entries: map[string]int{}, answers: map[string]int{}}
	began := time.Now()
	for i := range servers {
		isGray := func() bool {
			return fleet.Disturbed() && int(time.Since(began)/grayPeriod)%servers == i
		}
		d.AddHost([]string{"zone-a", "zone-b"}[i%2], "ledger", &fleet.Server{ID: fmt.Sprintf("i-%d", i), Slots: 7, Handler: func(s *fleet.Server, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(fleet.Names.RequestID)
			l.mu.Lock()
			l.runs[id]++
			l.entries[path.Base(r.URL.Path)]++
			l.mu.Unlock()
			time.Sleep(work)
			if isGray() && rand.Float64() < failing {
				record.Logf("%s: server %s ran %s and fails with 503", s.Name, s.ID, id)
				w.Header().Set(fleet.Names.Seal, s.Seal())
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			record.Logf("%s: server %s ran %s", s.Name, s.ID, id)
			s.WriteBody(w, []byte("booked"))
		}})
	}
	d.Publish(flow.Configuration{
		Routes:    []flow.RouteRule{fleet.Route("book", "ledger", false)},
		Services:  []flow.ServiceRule{fleet.Service("ledger")},
		Customers: fleet.Customers(),
	})
	d.Start()
	time.Sleep(4 * time.Second)
	var callers sync.WaitGroup
	for n := range bookings {
		time.Sleep(everyMs * time.Millisecond)
		callers.Go(func() { book(d, l, d.Hosts[n%servers], n) })
	}
	callers.Wait()
	time.Sleep(settleTime)
	d.Close()
	broken, doubled := 0, 0
	for id, status := range l.answers {
		if isPromise(status) && l.runs[id] > 0 {
			broken++
			record.Logf("attempt %s was answered %d and has run", id, status)
		}
	}
	for _, entered := range l.entries {
		if entered > 1 {
			doubled++
		}
	}
	record.Notef("%d attempts that ran were answered as not run; %d of %d bookings were entered more than once", broken, doubled, bookings)
	if broken > 0 {
		os.Exit(fleet.Broken)
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// book makes one booking, and tries again after a promise that it was not run.
func book(d *fleet.Deployment, l *ledger, h *fleet.Host, n int) {
	for try := range maxTries {
		id := fmt.Sprintf("b%03d-%d", n, try)
		response, err := send(d, h, id, n)
		if err != nil {
			d.Record.Logf("caller: %s: %v", id, err)
			return
		}
		d.Record.Logf("caller: %s is answered %d, seal %q, Retry-After %q", id, response.StatusCode, response.Header.Get(fleet.Names.Seal), response.Header.Get("Retry-After"))
		l.mu.Lock()
		l.answers[id] = response.StatusCode
		l.mu.Unlock()
		if !isPromise(response.StatusCode) {
			return
		}
		seconds, _ := strconv.ParseFloat(strings.TrimSpace(response.Header.Get("Retry-After")), 64)
		time.Sleep(time.Duration(min(seconds, timeLeft.Seconds()/3) * float64(time.Second)))
	}
}

func send(d *fleet.Deployment, h *fleet.Host, id string, n int) (*http.Response, error) {
	conn, err := net.Dial("tcp", d.CallerAddress(h))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeLeft))
	d.Record.Logf("caller: sends %s, POST /book/wheel-%03d", id, n)
	_, _ = io.WriteString(conn, fleet.RequestHead("POST", fmt.Sprintf("/book/wheel-%03d", n), id, timeLeft, "Content-Length: 0"))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(response.Body)
	return response, err
}
