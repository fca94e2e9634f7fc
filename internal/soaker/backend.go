// The backend servers: they run requests, fail grayly when told, and record
// what ran.

package soaker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// gray is a way in which a backend server fails its work.
type gray string

// The ways to fail.
const (
	sound     gray = ""
	errors500 gray = "errors"
	hanging   gray = "hang"
	resetting gray = "reset" // it runs the request and loses the answer
	shedding  gray = "shed"
	cutting   gray = "cut"   // answers end early
	extra     gray = "extra" // a second answer follows the first
	slow      gray = "slow"
)

// run is one request that a backend server ran.
type run struct {
	id       string
	service  string
	server   string
	customer string
	caller   string
	key      string // a key that was passed on
	at       time.Time
}

// ledger records runs. It is safe for use by many goroutines.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// backend is one backend server.
type backend struct {
	names   flow.HeaderNames
	ledger  *ledger
	address string
	zone    string
	service string
	slots   chan struct{}
	server  *http.Server

	mu   sync.Mutex
	id   string
	born int64
	mode gray
}

const (
	backendSlots = 4
	backendWork  = 25 * time.Millisecond
	slowWork     = 400 * time.Millisecond
	hangTime     = 4 * time.Second
)

func startBackend(names flow.HeaderNames, l *ledger, address, zone, service, id string) (*backend, error) {
	accepting, err := net.Listen("tcp", address)
	if err != nil {
		return nil, flow.Wrap("listen-backend", address, err)
	}
	b := &backend{
		names: names, ledger: l, address: address, zone: zone, service: service,
		slots: make(chan struct{}, backendSlots), id: id, born: time.Now().UnixMilli(),
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(accepting) }()
	return b, nil
}

// entry is what the server says of itself.
func (b *backend) entry(draining bool) flow.ServerEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	host, _, _ := net.SplitHostPort(b.address)
	return flow.ServerEntry{
		ID: b.id, Service: b.service, Address: b.address, Host: host, Zone: b.zone,
		Slots: backendSlots, Draining: draining, StartedUnixMs: b.born,
	}
}

func (b *backend) setMode(mode gray) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
}

// replace makes it another process at the same address, and returns the id of
// the one that ended.
func (b *backend) replace(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.id
	b.id, b.born, b.mode = id, max(time.Now().UnixMilli(), b.born+1), sound
	return old
}

// bodyOf is the whole answer to a request.
func bodyOf(id string) string { return "answer to " + id + ". " }

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	id, mode := b.id, b.mode
	b.mu.Unlock()
	if expected := r.Header.Get(b.names.ExpectedServer); expected != id {
		w.Header().Set(b.names.ServerID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	requestID := r.Header.Get(b.names.RequestID)
	w.Header().Set(b.names.RequestID, requestID)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		mode = shedding
	}
	if mode == shedding {
		w.Header().Set(b.names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.ledger.add(run{
		id: requestID, service: b.service, server: id, customer: r.Header.Get(b.names.Customer),
		caller: r.Header.Get(b.names.CallerService), key: r.Header.Get(b.names.Key), at: time.Now(),
	})
	b.answer(w, r, mode)
}

// answer ends a run in the way of the mode.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, mode gray) {
	work := backendWork
	switch mode {
	case hanging:
		work = hangTime
	case slow:
		work = slowWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(b.names.Seal, "seal-of-"+b.id)
	body := bodyOf(r.Header.Get(b.names.RequestID))
	switch mode {
	case errors500:
		w.WriteHeader(http.StatusInternalServerError)
	case resetting:
		panic(http.ErrAbortHandler)
	case cutting:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case extra:
		b.answerTwice(w, r, body)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// answerTwice sends a second answer behind the first.
func (b *backend) answerTwice(w http.ResponseWriter, r *http.Request, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s",
		b.names.RequestID, r.Header.Get(b.names.RequestID), b.names.Seal, len(body), body)
	_, _ = io.WriteString(conn, one+one)
	time.Sleep(backendWork)
	_ = conn.Close()
}
