package acceptor_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/internal/process/sender"
	"github.com/coltsfootflow/coltsfootflow/internal/request/acceptor"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	secret      = "a secret for loopback only"
	incarnation = 7
	bodyLimit   = 16 << 10 // bytes
	path        = "/ledger/swaps"
)

// shiftedClock is a clock that tests can advance.
type shiftedClock struct {
	flow.Clock
	offset atomic.Int64 // milliseconds
}

// Now returns the shifted time.
func (c *shiftedClock) Now() flow.Time { return c.Clock.Now() + flow.Time(c.offset.Load()) }

// fixture is an Acceptor with one backend server that holds each request until
// releaseRequests is called.
type fixture struct {
	clock     *shiftedClock
	holder    *holder.Holder
	sender    *sender.Sender
	acceptor  *acceptor.Acceptor
	permitter *permitter.Permitter
	url       string
	key       *flow.Key
	index     *indexer.Index
	arrived   chan string   // the id of each request that reaches the backend server
	release   chan struct{} // closed to end all requests
}

// newFixture starts a fixture whose backend server has two slots and allows the
// given number of connections.
func newFixture(t *testing.T, connections int) *fixture {
	t.Helper()
	f := &fixture{
		clock:     &shiftedClock{Clock: flow.NewMonotonicClock()},
		holder:    holder.New("north"),
		permitter: permitter.New([]byte(secret)),
		index:     indexer.Empty(),
		arrived:   make(chan string, 64),
		release:   make(chan struct{}),
	}
	backend := httptest.NewServer(http.HandlerFunc(f.serveBackend))
	t.Cleanup(backend.Close)
	server := flow.BackendServer{
		Name: "ledger-1", Service: "ledger", Host: "host-1", Slots: 2, Connections: connections,
		Address: backend.Listener.Addr().String(), State: flow.MemberLive,
	}
	limit, err := limiter.New(limiter.NameFixed, limiter.Options{Slots: server.Slots})
	if err != nil {
		t.Fatal(err)
	}
	f.sender = sender.New(server, limit, f.clock)
	hash := sha256.Sum256([]byte("key-of-shop"))
	f.key = &flow.Key{Name: "shop", Customer: "shop", Hash: hex.EncodeToString(hash[:])}
	f.store(
		&flow.Service{Name: "ledger"},
		&flow.Route{Name: "ledger", Service: "ledger", PathPrefix: "/ledger", IdempotentMethods: []string{"GET"}, Timeout: 5 * time.Second},
		&flow.AvailabilityZone{Name: "north-a", Region: "north", State: flow.ZoneIn},
		&flow.Customer{Name: "shop"}, &flow.Customer{Name: "school"}, f.key,
		&flow.Host{Name: "host-1", AvailabilityZone: "north-a", State: flow.MemberLive}, &server,
	)
	f.publish(nil)
	f.acceptor = acceptor.New(acceptor.Parts{
		Host: "host-1", Incarnation: incarnation, Clock: f.clock, Holder: f.holder, Permitter: f.permitter,
		Observer: discardObserver{}, Log: logr.Discard(), BodyLimit: bodyLimit, ResponseBuffer: 1 << 20,
	})
	data := httptest.NewServer(f.acceptor)
	t.Cleanup(data.Close)
	t.Cleanup(f.releaseRequests)
	f.url = data.URL
	return f
}

func (f *fixture) serveBackend(w http.ResponseWriter, r *http.Request) {
	f.arrived <- r.Header.Get(flow.HeaderRequestID)
	select {
	case <-f.release:
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(w, "done")
}

func (f *fixture) releaseRequests() {
	select {
	case <-f.release:
	default:
		close(f.release)
	}
}

func (f *fixture) store(records ...flow.Record) {
	revision := f.index.Revision()
	var changes []merger.Change
	for _, record := range records {
		revision++
		changes = append(changes, merger.Change{ID: record.ID(), Revision: revision, New: record})
	}
	f.index = f.index.Apply(changes, revision)
}

// replace replaces a record in the index.
func (f *fixture) replace(old, record flow.Record) {
	revision := f.index.Revision() + 1
	f.index = f.index.Apply([]merger.Change{{ID: record.ID(), Revision: revision, Old: old, New: record}}, revision)
}

// publish makes a snapshot with the index and a lease of one hour current. change,
// if not nil, modifies the snapshot first.
func (f *fixture) publish(change func(*holder.Snapshot)) {
	snapshot := &holder.Snapshot{
		Index: f.index, LeaseUntil: f.clock.Now().Add(time.Hour), Region: "north",
		Senders: map[string]*sender.Sender{"ledger-1": f.sender},
	}
	if change != nil {
		change(snapshot)
	}
	f.holder.Store(snapshot)
}

// permit returns a valid permit for POST /ledger/swaps.
func (f *fixture) permit(attempt string) permitter.Permit {
	hash := sha256.Sum256([]byte("key-of-shop"))
	return permitter.Permit{
		Attempt: attempt, Sender: "ingress", Incarnation: incarnation, NotAfter: f.clock.Now().Add(time.Second),
		Revision: f.index.Revision(), Server: "ledger-1", Route: "ledger", Customer: "shop", KeyHash: hash[:],
		TargetHash: permitter.HashTarget(http.MethodPost, "/ledger/swaps"), Timeout: 5 * time.Second,
	}
}

// attemptResult is what an ingress learns about an attempt.
type attemptResult struct {
	err     error
	status  int
	outcome flow.Outcome
	reason  flow.Reason
	voucher *permitter.Voucher // nil if there is no valid one
}

// request returns the request that an ingress sends with a permit.
func (f *fixture) request(ctx context.Context, permit permitter.Permit) *http.Request {
	value, _ := f.permitter.SignPermit(&permit)
	return f.requestWithPermit(ctx, http.MethodPost, "/ledger/swaps", value, "a swap")
}

// requestWithPermit returns a request with any value as its permit. The arguments
// are constants of the tests, so building the request cannot fail.
func (f *fixture) requestWithPermit(ctx context.Context, method, target, permit, body string) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, method, f.url+target, strings.NewReader(body))
	request.Header.Set(permitter.HeaderPermit, permit)
	return request
}

func (f *fixture) send(ctx context.Context, permit permitter.Permit) attemptResult {
	return f.do(f.request(ctx, permit))
}

func (f *fixture) do(request *http.Request) attemptResult {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return attemptResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	got := attemptResult{
		err: err, status: response.StatusCode,
		outcome: flow.Outcome(response.Header.Get(flow.HeaderOutcome)),
		reason:  flow.Reason(response.Header.Get(flow.HeaderReason)),
	}
	if voucher, err := f.permitter.VerifyVoucher(response.Header.Get(permitter.HeaderVoucher)); err == nil {
		got.voucher = voucher
	}
	return got
}

// resolve returns the state of an attempt, as an ingress learns it.
func (f *fixture) resolve(t *testing.T, permit permitter.Permit) registrar.State {
	t.Helper()
	resolveRequest := registrar.ResolveRequest{Attempt: permit.Attempt, Incarnation: permit.Incarnation, NotAfter: permit.NotAfter}
	decode := func(target any) error {
		*target.(*registrar.ResolveRequest) = resolveRequest
		return nil
	}
	answer, err := f.acceptor.Endpoints()[messenger.CallResolve](t.Context(), listener.Request{Decode: decode})
	if err != nil {
		t.Fatal(err)
	}
	return answer.(registrar.ResolveAnswer).State
}

// discardObserver is an observer that discards everything.
type discardObserver struct{}

// Admitted discards the observation.
func (discardObserver) Admitted(string, flow.Reason, time.Duration) {}
