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

// shiftedClock is a clock that tests can set forward.
type shiftedClock struct {
	flow.Clock
	ahead atomic.Int64 // milliseconds
}

// Now returns the shifted time.
func (c *shiftedClock) Now() flow.Time { return c.Clock.Now() + flow.Time(c.ahead.Load()) }

// world is one daemon's admission, with one backend server behind it that holds
// each request until it is let go.
type world struct {
	clock     *shiftedClock
	holder    *holder.Holder
	sender    *sender.Sender
	acceptor  *acceptor.Acceptor
	permitter *permitter.Permitter
	url       string
	key       *flow.Key
	index     *indexer.Index
	arrived   chan string   // a value for each request at the backend server: its request id
	release   chan struct{} // closed to let all requests end
}

// newWorld starts a world whose backend server has two slots.
func newWorld(t *testing.T, connections int) *world {
	t.Helper()
	w := &world{
		clock:     &shiftedClock{Clock: flow.NewMonotonicClock()},
		holder:    holder.New("north"),
		permitter: permitter.New([]byte(secret)),
		index:     indexer.Empty(),
		arrived:   make(chan string, 64),
		release:   make(chan struct{}),
	}
	backend := httptest.NewServer(http.HandlerFunc(w.serveBackend))
	t.Cleanup(backend.Close)
	server := flow.BackendServer{
		Name: "ledger-1", Service: "ledger", Host: "host-1", Slots: 2, Connections: connections,
		Address: backend.Listener.Addr().String(), State: flow.MemberLive,
	}
	limit, err := limiter.New(limiter.NameFixed, limiter.Options{Slots: server.Slots})
	if err != nil {
		t.Fatal(err)
	}
	w.sender = sender.New(server, limit, w.clock)
	hash := sha256.Sum256([]byte("key-of-shop"))
	w.key = &flow.Key{Name: "shop", Customer: "shop", Hash: hex.EncodeToString(hash[:])}
	w.put(
		&flow.Service{Name: "ledger"},
		&flow.Route{Name: "ledger", Service: "ledger", PathPrefix: "/ledger", IdempotentMethods: []string{"GET"}, Timeout: 5 * time.Second},
		&flow.AvailabilityZone{Name: "north-a", Region: "north", State: flow.ZoneIn},
		&flow.Customer{Name: "shop"}, &flow.Customer{Name: "school"}, w.key,
		&flow.Host{Name: "host-1", AvailabilityZone: "north-a", State: flow.MemberLive}, &server,
	)
	w.publish(nil)
	w.acceptor = acceptor.New(acceptor.Parts{
		Host: "host-1", Incarnation: incarnation, Clock: w.clock, Holder: w.holder, Permitter: w.permitter,
		Observer: nobody{}, Log: logr.Discard(), BodyLimit: bodyLimit, AnswerBuffer: 1 << 20,
	})
	data := httptest.NewServer(w.acceptor)
	t.Cleanup(data.Close)
	t.Cleanup(w.letGo)
	w.url = data.URL
	return w
}

func (w *world) serveBackend(rw http.ResponseWriter, r *http.Request) {
	w.arrived <- r.Header.Get(flow.HeaderRequestID)
	select {
	case <-w.release:
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(rw, "done")
}

func (w *world) letGo() {
	select {
	case <-w.release:
	default:
		close(w.release)
	}
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

// replace puts a record in place of another.
func (w *world) replace(old, record flow.Record) {
	revision := w.index.Revision() + 1
	w.index = w.index.Apply([]merger.Change{{ID: record.ID(), Revision: revision, Old: old, New: record}}, revision)
}

// publish brings the index into force, with a lease that lasts and the change.
func (w *world) publish(change func(*holder.Snapshot)) {
	snapshot := &holder.Snapshot{
		Index: w.index, LeaseUntil: w.clock.Now().Add(time.Hour), Region: "north",
		Senders: map[string]*sender.Sender{"ledger-1": w.sender},
	}
	if change != nil {
		change(snapshot)
	}
	w.holder.Store(snapshot)
}

// permit returns a valid permit for POST /ledger/swaps.
func (w *world) permit(attempt string) permitter.Permit {
	hash := sha256.Sum256([]byte("key-of-shop"))
	return permitter.Permit{
		Attempt: attempt, Sender: "ingress", Incarnation: incarnation, NotAfter: w.clock.Now().Add(time.Second),
		Revision: w.index.Revision(), Server: "ledger-1", Route: "ledger", Customer: "shop", KeyHash: hash[:],
		TargetHash: permitter.HashTarget(http.MethodPost, "/ledger/swaps"), Timeout: 5 * time.Second,
	}
}

// outcome is what an ingress learns of an attempt.
type outcome struct {
	err     error
	status  int
	outcome flow.Outcome
	reason  flow.Reason
	voucher *permitter.Voucher // nil when there is no valid one
}

// request makes the request that an ingress sends with a permit.
func (w *world) request(ctx context.Context, permit permitter.Permit) *http.Request {
	value, _ := w.permitter.SignPermit(&permit)
	return w.requestWith(ctx, http.MethodPost, "/ledger/swaps", value, "a swap")
}

// requestWith makes a request with any value for the permit. The values come
// from tests, so that there is no error.
func (w *world) requestWith(ctx context.Context, method, target, permit, body string) *http.Request {
	request, _ := http.NewRequestWithContext(ctx, method, w.url+target, strings.NewReader(body))
	request.Header.Set(permitter.HeaderPermit, permit)
	return request
}

func (w *world) send(ctx context.Context, permit permitter.Permit) outcome {
	return w.do(w.request(ctx, permit))
}

func (w *world) do(request *http.Request) outcome {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	got := outcome{
		err: err, status: response.StatusCode,
		outcome: flow.Outcome(response.Header.Get(flow.HeaderOutcome)),
		reason:  flow.Reason(response.Header.Get(flow.HeaderReason)),
	}
	if voucher, err := w.permitter.VerifyVoucher(response.Header.Get(permitter.HeaderVoucher)); err == nil {
		got.voucher = voucher
	}
	return got
}

// resolve asks what became of an attempt, as an ingress does.
func (w *world) resolve(t *testing.T, permit permitter.Permit) registrar.State {
	t.Helper()
	asked := registrar.ResolveRequest{Attempt: permit.Attempt, Incarnation: permit.Incarnation, NotAfter: permit.NotAfter}
	decode := func(target any) error {
		*target.(*registrar.ResolveRequest) = asked
		return nil
	}
	answer, err := w.acceptor.Endpoints()[messenger.CallResolve](t.Context(), listener.Request{Decode: decode})
	if err != nil {
		t.Fatal(err)
	}
	return answer.(registrar.ResolveAnswer).State
}

// nobody observes nothing.
type nobody struct{}

// Admitted drops the observation.
func (nobody) Admitted(string, flow.Reason, time.Duration) {}
