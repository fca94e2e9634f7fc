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
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/leaser"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
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
	// responseBuffer and bodyLimit are in bytes.
	responseBuffer = 4 << 10
	bodyLimit      = 16 << 10
)

// backendServer is a backend server that writes raw responses.
type backendServer struct {
	socket    net.Listener
	responder atomic.Pointer[responder]

	mu       sync.Mutex
	received []receivedRequest
}

// responder writes the response to one request to the connection. It returns
// false if the connection must be closed.
type responder func(conn net.Conn, r *http.Request) bool

// receivedRequest is a request that was received completely.
type receivedRequest struct {
	request *http.Request
	body    string
}

func newBackendServer(t *testing.T) *backendServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backendServer{socket: socket}
	b.respondWith(respondCompletely)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backendServer) respondWith(r responder) { b.responder.Store(&r) }

func (b *backendServer) serve(conn net.Conn) {
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
		b.received = append(b.received, receivedRequest{request, string(body)})
		b.mu.Unlock()
		if !(*b.responder.Load())(conn, request) {
			return
		}
	}
}

func (b *backendServer) requests() []receivedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]receivedRequest(nil), b.received...)
}

// head returns the head of a response that echoes the request's id.
func head(r *http.Request, fields string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
		flow.HeaderRequestID + ": " + r.Header.Get(flow.HeaderRequestID) + "\r\n" + fields + "\r\n"
}

const completeBody = "the whole answer"

func respondCompletely(conn net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(conn, "%s%s", head(r, fmt.Sprintf("Content-Length: %d\r\n", len(completeBody))), completeBody)
	return err == nil
}

// testHost is one host: the forwarding side of its daemon, and its backend
// server.
type testHost struct {
	name   string
	holder *holder.Holder
	sender *sender.Sender
	server *backendServer
	host   *flow.Host
	record *flow.BackendServer
}

// cluster is an ingress and several hosts with one backend server each, in one
// process, with real connections between them.
type cluster struct {
	clock           flow.Clock
	holder          *holder.Holder // of the ingress
	hosts           []*testHost
	index           *indexer.Index
	url             string
	addr            string
	keyOwner        *keyOwner
	rateUnavailable atomic.Bool // no customer has a source of tokens
}

func newCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	c := &cluster{clock: flow.NewMonotonicClock(), index: indexer.Empty()}
	c.holder = holder.New("north")
	c.keyOwner = newKeyOwner(c.clock)
	c.putRecords(
		&flow.Service{Name: "ledger", RetryBudget: 1, ShedStatus: 503, ShedHeader: "X-Shed", RequestIDHeader: flow.HeaderRequestID},
		&flow.Route{Name: "ledger", Service: "ledger", PathPrefix: "/ledger", IdempotentMethods: []string{"GET", "HEAD"}, Timeout: time.Second},
		&flow.Route{Name: "open", Service: "ledger", PathPrefix: "/open", Open: true, IdempotentMethods: []string{"GET", "HEAD"}, Timeout: time.Second},
		&flow.AvailabilityZone{Name: "north-a", Region: "north", State: flow.ZoneIn},
		&flow.Customer{Name: "shop"}, &flow.Customer{Name: "school"},
		keyRecord("shop", keyOfShop), keyRecord("school", keyOfSchool),
	)
	for i := range hosts {
		c.addHost(t, fmt.Sprintf("host-%d", i+1))
	}
	c.applyIndex()
	c.startIngress(t)
	return c
}

func keyRecord(customer, key string) *flow.Key {
	hash := sha256.Sum256([]byte(key))
	return &flow.Key{Name: customer, Customer: customer, Hash: hex.EncodeToString(hash[:])}
}

func (c *cluster) putRecords(records ...flow.Record) {
	revision := c.index.Revision()
	var changes []merger.Change
	for _, record := range records {
		revision++
		changes = append(changes, merger.Change{ID: record.ID(), Revision: revision, New: record})
	}
	c.index = c.index.Apply(changes, revision)
}

// applyIndex applies the index on all hosts, with leases that outlast the test.
func (c *cluster) applyIndex() {
	until := c.clock.Now().Add(time.Hour)
	c.holder.Store(&holder.Snapshot{Index: c.index, LeaseUntil: until, Region: "north"})
	for _, h := range c.hosts {
		h.holder.Store(&holder.Snapshot{
			Index: c.index, LeaseUntil: until, Region: "north",
			Senders: map[string]*sender.Sender{h.record.Name: h.sender},
		})
	}
}

func (c *cluster) addHost(t *testing.T, name string) {
	t.Helper()
	h := &testHost{name: name, holder: holder.New("north"), server: newBackendServer(t)}
	hostAcceptor := acceptor.New(acceptor.Parts{
		Host: name, Incarnation: 7, Clock: c.clock, Holder: h.holder, Permitter: permitter.New([]byte(secret)),
		Observer: discardObserver{}, Log: logr.Discard(), BodyLimit: bodyLimit, ResponseBuffer: responseBuffer,
	})
	data := httptest.NewServer(hostAcceptor)
	t.Cleanup(data.Close)
	h.host = &flow.Host{
		Name: name, AvailabilityZone: "north-a", State: flow.MemberLive,
		DataAddress: data.Listener.Addr().String(), PeerAddress: serveControl(t, name, hostAcceptor),
	}
	h.record = &flow.BackendServer{
		Name: "server-of-" + name, Service: "ledger", Host: name, Slots: 4, Connections: 4,
		Address: h.server.socket.Addr().String(), State: flow.MemberLive,
	}
	limit, err := limiter.New(limiter.NameFixed, limiter.Options{Server: h.record.Name, Slots: h.record.Slots})
	if err != nil {
		t.Fatal(err)
	}
	h.sender = sender.New(*h.record, limit, c.clock)
	c.putRecords(h.host, h.record)
	c.hosts = append(c.hosts, h)
}

func framerOptions(host string) framer.Options {
	return framer.Options{Self: framer.Identity{Host: host, Incarnation: 7}, Secret: []byte(secret), MaxPayloadBytes: 1 << 20}
}

func serveControl(t *testing.T, name string, hostAcceptor *acceptor.Acceptor) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := &listener.Listener{Options: framerOptions(name), Endpoints: hostAcceptor.Endpoints(), Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = control.Serve(ctx, socket) }()
	t.Cleanup(func() { cancel(); <-done })
	return socket.Addr().String()
}

func (c *cluster) startIngress(t *testing.T) {
	t.Helper()
	clocks := timekeeper.New()
	peerDialer := dialer.New(framerOptions("ingress"), nil)
	t.Cleanup(peerDialer.Close)
	ingressForwarder := forwarder.New(forwarder.Parts{
		Host: "ingress", Clock: c.clock, Timekeeper: clocks, ClockSource: instantHeartbeat{c.clock, clocks},
		Permitter: permitter.New([]byte(secret)), Dialer: peerDialer, Log: logr.Discard(), ResponseBuffer: responseBuffer,
	})
	serverChooser, err := chooser.New(chooser.Options{Clock: c.clock, Picker: "round-robin", Zone: "north-a", Region: "north"})
	if err != nil {
		t.Fatal(err)
	}
	unlimitedRate := func(string) (leaser.ShareLayout, bool) {
		return leaser.ShareLayout{Limit: granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1 << 20}, Shares: 1}, true
	}
	position := func() leaser.Position { return leaser.Position{Ingresses: 1} }
	tokenLeaser := leaser.New(c.clock, nil, switchableSources{leaser.NewStaticSources(unlimitedRate, position), &c.rateUnavailable}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); tokenLeaser.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for _, customer := range []string{"shop", "school"} {
		for _, err := tokenLeaser.Draw(ctx, customer); err != nil; _, err = tokenLeaser.Draw(ctx, customer) {
			time.Sleep(time.Millisecond) // a token bucket starts empty
		}
	}
	ingress := httptest.NewServer(receiver.NewHandler(receiver.Parts{
		Host: "ingress", Clock: c.clock, Holder: c.holder, Leaser: tokenLeaser, Chooser: serverChooser, Forwarder: ingressForwarder,
		Deduplicator: c.keyOwner, Observer: discardObserver{}, Log: logr.Discard(),
		BodyLimit: bodyLimit, PermitLifetime: time.Second, MaxAttempts: 3,
	}))
	t.Cleanup(ingress.Close)
	c.url, c.addr = ingress.URL, ingress.Listener.Addr().String()
}

// respondWith sets how all backend servers respond.
func (c *cluster) respondWith(r responder) {
	for _, h := range c.hosts {
		h.server.respondWith(r)
	}
}

// requests returns the requests that all backend servers received.
func (c *cluster) requests() []receivedRequest {
	var all []receivedRequest
	for _, h := range c.hosts {
		all = append(all, h.server.requests()...)
	}
	return all
}

// instantHeartbeat replaces the heartbeat with which a daemon obtains another
// host's clock.
type instantHeartbeat struct {
	clock  flow.Clock
	clocks *timekeeper.Timekeeper
}

// Learn gives the timekeeper the clock that all hosts of the test share.
func (h instantHeartbeat) Learn(_ context.Context, host *flow.Host) error {
	h.clocks.Observe(h.clock.Now(), host.Name, 7, h.clock.Now())
	return nil
}

// switchableSources are sources of tokens that can be made unavailable.
type switchableSources struct {
	leaser.Sources
	unavailable *atomic.Bool
}

// Source returns the source of a customer's tokens if it is available.
func (s switchableSources) Source(now flow.Time, customer string) (pooler.Source, bool) {
	if s.unavailable.Load() {
		return nil, false
	}
	return s.Sources.Source(now, customer)
}

// discardObserver is an observer that discards everything.
type discardObserver struct{}

// Served discards the observation.
func (discardObserver) Served(string, string, flow.Reason, int, time.Duration) {}

// Admitted discards the observation.
func (discardObserver) Admitted(string, flow.Reason, time.Duration) {}

// keyOwner stands in for the owner of all idempotency keys.
type keyOwner struct {
	clock flow.Clock

	mu     sync.Mutex
	memory *deduplicator.Memory
}

func newKeyOwner(clock flow.Clock) *keyOwner {
	return &keyOwner{clock: clock, memory: deduplicator.New(deduplicator.Options{})}
}

// Begin passes the request to the memory of idempotency keys.
func (o *keyOwner) Begin(_ context.Context, request controller.BeginRequest) (deduplicator.Reply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	return o.memory.Begin(o.clock.Now(), deduplicator.Request{
		WallMillis: now.UnixMilli(), TenureStartMillis: now.Add(-time.Minute).UnixMilli(),
		Customer: request.Customer, Key: request.Key, Digest: request.Digest,
	}), nil
}

// End passes the end of a run to the memory of idempotency keys.
func (o *keyOwner) End(request controller.EndRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if request.Abandoned {
		o.memory.Abandon(o.clock.Now(), request.Customer, request.Key, request.Run)
		return
	}
	o.memory.Finish(o.clock.Now(), request.Customer, request.Key, request.Run, request.Answer)
}

// reply is the response that a caller got, or the error.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error
	outcome flow.Outcome
	reason  flow.Reason
}

// send sends one request to the ingress over a new connection.
func (c *cluster) send(t *testing.T, method, path, body string, header http.Header) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return c.sendWithin(ctx, t, method, path, body, header)
}

func (c *cluster) sendWithin(ctx context.Context, t *testing.T, method, path, body string, header http.Header) reply {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, http.NoBody)
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

// withAPIKey returns the headers of a request by customer shop: its API key and
// the given names and values.
func withAPIKey(fields ...string) http.Header {
	header := http.Header{"Authorization": {"Bearer " + keyOfShop}}
	for i := 0; i+1 < len(fields); i += 2 {
		header.Add(fields[i], fields[i+1])
	}
	return header
}
