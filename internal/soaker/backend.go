// The backend servers: they run requests, inject gray failures, and record what ran.

package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// failureMode is a way in which a backend server fails requests.
type failureMode string

// Failure modes.
const (
	modeHealthy       failureMode = ""
	modeErrors        failureMode = "errors"
	modeHang          failureMode = "hang"
	modeReset         failureMode = "reset" // runs the request and loses the response
	modeShed          failureMode = "shed"
	modeTruncate      failureMode = "cut"   // responses end early
	modeExtraResponse failureMode = "extra" // a second response follows the first
	modeSlow          failureMode = "slow"
	modePromise       failureMode = "promise"     // runs the request and answers as if it had not
	modeMalformed     failureMode = "malformed"   // the name of the length holds a blank
	modeEarlyReset    failureMode = "early-reset" // answers before it has read the body, and resets the connection
)

// run is one request that a backend server ran.
type run struct {
	id       string
	service  string
	server   string
	customer string
	caller   string
	key      string // API key that was passed on; must be empty
	at       time.Time
}

// runLog records runs. It is safe for concurrent use.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// backend is one backend server.
type backend struct {
	names   flow.HeaderNames
	runs    *runLog
	address string
	zone    string
	service string
	slots   chan struct{}
	server  *http.Server

	mu            sync.Mutex
	id            string
	startedUnixMs int64 // start of the process, Unix time
	mode          failureMode
}

const (
	backendSlots    = 4
	serviceTime     = 25 * time.Millisecond
	slowServiceTime = 400 * time.Millisecond
	hangTime        = 4 * time.Second
	resetDelay      = 10 * time.Millisecond // between an early answer and the reset
)

func startBackend(names flow.HeaderNames, l *runLog, address, zone, service, id string) (*backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, flow.Wrap("listen-backend", address, err)
	}
	b := &backend{
		names: names, runs: l, address: address, zone: zone, service: service,
		slots: make(chan struct{}, backendSlots), id: id, startedUnixMs: time.Now().UnixMilli(),
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// serverEntry returns the server's entry in the platform's store.
func (b *backend) serverEntry(draining bool) flow.ServerEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	host, _, _ := net.SplitHostPort(b.address)
	return flow.ServerEntry{
		ID: b.id, Service: b.service, Address: b.address, Host: host, Zone: b.zone,
		Slots: backendSlots, Draining: draining, StartedUnixMs: b.startedUnixMs,
	}
}

func (b *backend) setMode(mode failureMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
}

// replaceProcess gives the server a new id and start time, as if a new process had taken
// over its address, and returns the old id.
func (b *backend) replaceProcess(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.id
	b.id, b.startedUnixMs, b.mode = id, max(time.Now().UnixMilli(), b.startedUnixMs+1), modeHealthy
	return old
}

// responseBody returns the complete response to a request.
func responseBody(id string) string { return "answer to " + id + ". " }

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
		mode = modeShed
	}
	if mode == modeShed {
		w.Header().Set(b.names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode != modeEarlyReset {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	b.runs.add(run{
		id: requestID, service: b.service, server: id, customer: r.Header.Get(b.names.Customer),
		caller: r.Header.Get(b.names.CallerService), key: r.Header.Get(b.names.Key), at: time.Now(),
	})
	b.respond(w, r, mode)
}

// promiseStatuses are the statuses with which a server in modePromise fails.
var promiseStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// respond ends a run according to the failure mode.
func (b *backend) respond(w http.ResponseWriter, r *http.Request, mode failureMode) {
	work := serviceTime
	switch mode {
	case modeHang:
		work = hangTime
	case modeSlow:
		work = slowServiceTime
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(b.names.Seal, "seal-of-"+b.id)
	body := responseBody(r.Header.Get(b.names.RequestID))
	switch mode {
	case modeErrors:
		w.WriteHeader(http.StatusInternalServerError)
	case modeReset:
		panic(http.ErrAbortHandler)
	case modeTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case modeExtraResponse:
		b.respondTwice(w, r, body)
	case modePromise:
		w.WriteHeader(promiseStatuses[rand.IntN(len(promiseStatuses))])
	case modeMalformed:
		b.respondRaw(w, r, fmt.Sprintf("Content-Length : %d\r\n\r\n%s and more", len(body), body), false)
	case modeEarlyReset:
		b.respondRaw(w, r, "\r\n"+body[:len(body)/2], true)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw sends the rest of a head and a body without a length, and closes or resets the
// connection.
func (b *backend) respondRaw(w http.ResponseWriter, r *http.Request, rest string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n%s", b.names.RequestID, r.Header.Get(b.names.RequestID), b.names.Seal, rest)
	time.Sleep(resetDelay)
	if socket, ok := conn.(*net.TCPConn); ok && reset {
		_ = socket.SetLinger(0)
	}
}

// respondTwice sends a second response after the first on the same connection.
func (b *backend) respondTwice(w http.ResponseWriter, r *http.Request, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s",
		b.names.RequestID, r.Header.Get(b.names.RequestID), b.names.Seal, len(body), body)
	_, _ = io.WriteString(conn, response+response)
	time.Sleep(serviceTime)
	_ = conn.Close()
}
