package receiver_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/process/chooser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/process/timekeeper"
	"github.com/coltsfootflow/coltsfootflow/internal/request/acceptor"
	"github.com/coltsfootflow/coltsfootflow/internal/request/forwarder"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/receiver"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	secret      = "a secret for loopback only"
	keyOfShop   = "key-of-shop"
	keyOfSchool = "key-of-school"
	// answerBuffer and bodyLimit are in bytes.
	answerBuffer = 4 << 10
	bodyLimit    = 16 << 10
)

// backend is a backend server whose answers are written byte by byte.
type backend struct {
	accepting net.Listener
	answer    atomic.Pointer[script]

	mu   sync.Mutex
	seen []seen
}

// script answers one request on its connection. It returns false when the
// connection is to be closed.
type script func(conn net.Conn, r *http.Request) bool

// seen is one request that came whole.
type seen struct {
	request *http.Request
	body    string
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{accepting: accepting}
	b.play(sound)
	t.Cleanup(func() { _ = accepting.Close() })
	go func() {
		for {
			conn, err := accepting.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backend) play(s script) { b.answer.Store(&s) }

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, seen{request, string(body)})
		b.mu.Unlock()
		if !(*b.answer.Load())(conn, request) {
			return
		}
	}
}

func (b *backend) requests() []seen {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]seen(nil), b.seen...)
}

// head is the head of an answer that echoes the request's id.
func head(r *http.Request, fields string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
		flow.HeaderRequestID + ": " + r.Header.Get(flow.HeaderRequestID) + "\r\n" + fields + "\r\n"
}

const soundBody = "the whole answer"

func sound(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(conn, "%s%s", head(r, fmt.Sprintf("Content-Length: %d\r\n", len(soundBody))), soundBody)
	return err == nil
}

// -----------------------------------------------------------------------------

// admission is one host: its daemon's admission and its backend server.
type admission struct {
	name    string
	holder  *holder.Holder
	sender  *sender.Sender
	backend *backend
	host    *flow.Host
	server  *flow.BackendServer
}

// world is an ingress and a few hosts with one backend server each, in one
// process, with real connections between all of them.
type world struct {
	clock  flow.Clock
	holder *holder.Holder // of the ingress
	hosts  []*admission
	index  *indexer.Index
	url    string
	addr   string
	memory *memory
	noRate atomic.Bool // the customers have no rate to draw on
}

func newWorld(t *testing.T, hosts int) *world {
	t.Helper()
	w := &world{clock: flow.NewMonotonicClock(), index: indexer.Empty()}
	w.holder = holder.New("north")
	w.memory = newMemory(w.clock)
	w.put(
		&flow.Service{Name: "ledger", RetryBudget: 1, ShedStatus: 503, ShedHeader: "X-Shed", RequestIDHeader: flow.HeaderRequestID},
		&flow.Route{Name: "ledger", Service: "ledger", PathPrefix: "/ledger", IdempotentMethods: []string{"GET", "HEAD"}, Timeout: time.Second},
		&flow.Route{Name: "open", Service: "ledger", PathPrefix: "/open", Open: true, IdempotentMethods: []string{"GET", "HEAD"}, Timeout: time.Second},
		&flow.AvailabilityZone{Name: "north-a", Region: "north", State: flow.ZoneIn},
		&flow.Customer{Name: "shop"}, &flow.Customer{Name: "school"},
		keyRecord("shop", keyOfShop), keyRecord("school", keyOfSchool),
	)
	for i := range hosts {
		w.addHost(t, fmt.Sprintf("host-%d", i+1))
	}
	w.publish()
	w.startIngress(t)
	return w
}

func keyRecord(customer, key string) *flow.Key {
	hash := sha256.Sum256([]byte(key))
	return &flow.Key{Name: customer, Customer: customer, Hash: hex.EncodeToString(hash[:])}
}

func (w *world) put(records ...flow.Record) {
	revision := w.index.Revision()
	var changes []merger.Change
	for _, record := range records {
		revision++
		changes = append(changes, merger.Change{ID: record.ID(), Revision: revision, New: record})
	}
	w.index = w.index.Apply(changes, revision)
}

// publish brings the index into force everywhere, with leases that last.
func (w *world) publish() {
	until := w.clock.Now().Add(time.Hour)
	w.holder.Store(&holder.Snapshot{Index: w.index, LeaseUntil: until, Region: "north"})
	for _, h := range w.hosts {
		h.holder.Store(&holder.Snapshot{
			Index: w.index, LeaseUntil: until, Region: "north",
			Senders: map[string]*sender.Sender{h.server.Name: h.sender},
		})
	}
}

func (w *world) addHost(t *testing.T, name string) {
	t.Helper()
	h := &admission{name: name, holder: holder.New("north"), backend: newBackend(t)}
	accepting := acceptor.New(acceptor.Parts{
		Host: name, Incarnation: 7, Clock: w.clock, Holder: h.holder, Permitter: permitter.New([]byte(secret)),
		Observer: nobody{}, Log: logr.Discard(), BodyLimit: bodyLimit, AnswerBuffer: answerBuffer,
	})
	data := httptest.NewServer(accepting)
	t.Cleanup(data.Close)
	h.host = &flow.Host{
		Name: name, AvailabilityZone: "north-a", State: flow.MemberLive,
		DataAddress: data.Listener.Addr().String(), PeerAddress: serveControl(t, name, accepting),
	}
	h.server = &flow.BackendServer{
		Name: "server-of-" + name, Service: "ledger", Host: name, Slots: 4, Connections: 4,
		Address: h.backend.accepting.Addr().String(), State: flow.MemberLive,
	}
	limit, err := limiter.New(limiter.NameFixed, limiter.Options{Server: h.server.Name, Slots: h.server.Slots})
	if err != nil {
		t.Fatal(err)
	}
	h.sender = sender.New(*h.server, limit, w.clock)
	w.put(h.host, h.server)
	w.hosts = append(w.hosts, h)
}

func framing(host string) framer.Options {
	return framer.Options{Self: framer.Identity{Host: host, Incarnation: 7}, Secret: []byte(secret), MaxPayloadBytes: 1 << 20}
}

func serveControl(t *testing.T, name string, accepting *acceptor.Acceptor) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := &listener.Listener{Options: framing(name), Endpoints: accepting.Endpoints(), Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = control.Serve(ctx, socket) }()
	t.Cleanup(func() { cancel(); <-done })
	return socket.Addr().String()
}

func (w *world) startIngress(t *testing.T) {
	t.Helper()
	clocks := timekeeper.New()
	calls := dialer.New(framing("ingress"), nil)
	t.Cleanup(calls.Close)
	forwarding := forwarder.New(forwarder.Parts{
		Host: "ingress", Clock: w.clock, Timekeeper: clocks, ClockSource: learning{w.clock, clocks},
		Permitter: permitter.New([]byte(secret)), Dialer: calls, Log: logr.Discard(), AnswerBuffer: answerBuffer,
	})
	choosing, err := chooser.New(chooser.Options{Clock: w.clock, Picker: "round-robin", Zone: "north-a", Region: "north"})
	if err != nil {
		t.Fatal(err)
	}
	ample := func(string) (leaser.Cut, bool) {
		return leaser.Cut{Limit: granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1 << 20}, Shares: 1}, true
	}
	part := func() leaser.Part { return leaser.Part{Ingresses: 1} }
	drawing := leaser.New(w.clock, nil, sources{leaser.NewStaticSources(ample, part), &w.noRate}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); drawing.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for _, customer := range []string{"shop", "school"} {
		for _, err := drawing.Draw(ctx, customer); err != nil; _, err = drawing.Draw(ctx, customer) {
			time.Sleep(time.Millisecond) // a rate begins with an empty bucket
		}
	}
	ingress := httptest.NewServer(receiver.NewHandler(receiver.Parts{
		Host: "ingress", Clock: w.clock, Holder: w.holder, Leaser: drawing, Chooser: choosing, Forwarder: forwarding,
		Deduplicator: w.memory, Observer: nobody{}, Log: logr.Discard(),
		BodyLimit: bodyLimit, PermitLifetime: time.Second, Attempts: 3,
	}))
	t.Cleanup(ingress.Close)
	w.url, w.addr = ingress.URL, ingress.Listener.Addr().String()
}

// play lets every backend server answer the same way.
func (w *world) play(s script) {
	for _, h := range w.hosts {
		h.backend.play(s)
	}
}

// requests returns what came to all backend servers.
func (w *world) requests() []seen {
	var all []seen
	for _, h := range w.hosts {
		all = append(all, h.backend.requests()...)
	}
	return all
}

// -----------------------------------------------------------------------------

// learning stands for the heartbeat that brings the clock of a host.
type learning struct {
	clock  flow.Clock
	clocks *timekeeper.Timekeeper
}

// Learn tells the timekeeper the clock, which all hosts of a world share.
func (l learning) Learn(_ context.Context, host *flow.Host) error {
	l.clocks.Observe(l.clock.Now(), host.Name, 7, l.clock.Now())
	return nil
}

// sources are sources of tokens that can be taken away.
type sources struct {
	leaser.Sources
	away *atomic.Bool
}

// Source returns the source of a customer's tokens.
func (s sources) Source(now flow.Time, customer string) (drawer.Source, bool) {
	if s.away.Load() {
		return nil, false
	}
	return s.Sources.Source(now, customer)
}

// nobody observes nothing.
type nobody struct{}

// Served drops the observation.
func (nobody) Served(string, string, flow.Reason, int, time.Duration) {}

// Admitted drops the observation.
func (nobody) Admitted(string, flow.Reason, time.Duration) {}

// memory is the owner of all idempotency keys.
type memory struct {
	clock flow.Clock

	mu     sync.Mutex
	memory *deduplicator.Memory
}

func newMemory(clock flow.Clock) *memory {
	return &memory{clock: clock, memory: deduplicator.New(deduplicator.Options{})}
}

// Begin asks the memory.
func (m *memory) Begin(_ context.Context, request controller.BeginRequest) (deduplicator.Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return m.memory.Begin(m.clock.Now(), deduplicator.Begin{
		WallMillis: now.UnixMilli(), TenureSince: now.Add(-time.Minute).UnixMilli(),
		Customer: request.Customer, Key: request.Key, Digest: request.Digest,
	}), nil
}

// End tells the memory.
func (m *memory) End(request controller.EndRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.Abandoned {
		m.memory.Abandon(m.clock.Now(), request.Customer, request.Key, request.Run)
		return
	}
	m.memory.Finish(m.clock.Now(), request.Customer, request.Key, request.Run, request.Answer)
}

// -----------------------------------------------------------------------------

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error
	outcome flow.Outcome
	reason  flow.Reason
}

// ask sends one request to the ingress over a connection of its own.
func (w *world) ask(t *testing.T, method, path, body string, header http.Header) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return w.askWithin(ctx, t, method, path, body, header)
}

func (w *world) askWithin(ctx context.Context, t *testing.T, method, path, body string, header http.Header) reply {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	request, err := http.NewRequestWithContext(ctx, method, w.url+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if body != "" {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	request.Header = header.Clone()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, header: response.Header, body: string(content), err: err,
		outcome: flow.Outcome(response.Header.Get(flow.HeaderOutcome)),
		reason:  flow.Reason(response.Header.Get(flow.HeaderReason)),
	}
}

func withKey(fields ...string) http.Header {
	header := http.Header{"Authorization": {"Bearer " + keyOfShop}}
	for i := 0; i+1 < len(fields); i += 2 {
		header.Add(fields[i], fields[i+1])
	}
	return header
}
