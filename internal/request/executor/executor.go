// Package executor admits requests that other daemons offer and runs them on
// the backend server of this host. All requests reach the backend server
// through its executor, so the executor decides on everything that is counted
// per server: slots, cold starts and suspicion of failure.
//
// It is a part of the sidecar that package supervisor runs. The daemon that package
// runner runs has package acceptor instead.
package executor

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/httpdialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/budgeter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/profiler"
	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/internal/request/retrier"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// dialTimeout is short because the backend server is on the same host.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to the backend server is kept.
	// It is well below the shortest idle timeout of backend servers, so that
	// they do not close a connection that is about to be reused.
	idleTimeout = 4 * time.Second
	// maxResponseHeaderBytes limits the head of a response, since each running
	// request may hold that much memory while a failing server sends without end.
	maxResponseHeaderBytes = 256 << 10
	// readBufferBytes is the size of the kernel's buffer for a connection to the server.
	readBufferBytes = 256 << 10
	// queueCheckInterval is how often the queue is checked while no request
	// ends, such as when the server hangs.
	queueCheckInterval = 100 * time.Millisecond
	// idleWatch is the limit of a run of which no limit is known.
	idleWatch = time.Minute
	// coldAfterFailedDials is the number of consecutive failed connection
	// attempts after which the server counts as cold when it responds again.
	coldAfterFailedDials = 3
)

// Steps that refusals name.
const (
	stepAdmit = flow.Step("admit")
	stepRun   = flow.Step("run")
)

// Observer collects metrics of requests that ran or were refused.
type Observer interface {
	// Admitted records the end of a forwarded request: the reason of a refusal,
	// or "" for a response of the backend server, and how long the request ran.
	Admitted(server string, reason flow.Reason, latency time.Duration)
}

// Parts are the components and settings that an Executor works with.
type Parts struct {
	Host      string         // named as peer in refusals
	Address   string         // of the backend server
	Connector flow.Connector // of connections to it; nil for TCP
	Names     flow.HeaderNames
	Clock     flow.Clock
	Catalog   func() *cataloger.Catalog
	Observer  Observer
	Budget    *budgeter.Budget // of the memory for bodies; nil for no limit
	Log       logr.Logger
}

// Executor admits and runs requests. It is safe for concurrent use.
type Executor struct {
	Parts
	transport *validator.Transport

	mu          sync.Mutex
	scheduler   *scheduler.Scheduler
	breaker     *estimator.Breaker
	server      string // id of the backend server that the state describes
	service     string // of that server
	endedServer string // id of a backend server that has ended but is still listed
	nextID      uint64
	waiters     map[uint64]waiter
	overdue     map[uint64]bool
	profiler    *profiler.Profiler
	charger     *retrier.CallCharger
	shedUntil   flow.Time // when the backend server takes requests again, as it said
	failedDials int       // consecutive connections that could not be opened
	stopping    bool
	queueTimer  *time.Timer
}

// waiter is an offer that is waiting for a slot.
type waiter struct {
	offer   *transporter.Offer
	decided chan *flow.Refusal // receives nil once the offer has a slot
	forced  bool               // keeps waiting if the server becomes suspected
}

// New returns an Executor for the backend server at an address. It has one slot
// until a catalog lists the server.
func New(parts Parts) *Executor {
	return &Executor{
		Parts: parts,
		transport: &validator.Transport{Base: &http.Transport{
			DialContext:         dialServer(httpdialer.New(dialTimeout, parts.Connector)),
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		scheduler: scheduler.New(1),
		breaker:   estimator.NewBreaker(parts.Clock.Now()),
		waiters:   map[uint64]waiter{},
		overdue:   map[uint64]bool{},
		profiler:  profiler.New(),
		charger:   retrier.NewCallCharger(rand.New(rand.NewPCG(rand.Uint64(), 0))),
	}
}

// dialServer returns a function that opens connections to the backend server. The kernel would
// let their read buffers grow to several MiB while a response is not read.
func dialServer(dialer *httpdialer.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if socket, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
			_ = socket.SetReadBuffer(readBufferBytes)
		}
		return conn, err
	}
}

// Stop makes the executor refuse the waiting offers and all further ones. A request
// that started late in the stop of the daemon would be cut at its end.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	e.refuseAllWaiting(e.stoppingRefusal())
}

func (e *Executor) stoppingRefusal() *flow.Refusal {
	return e.newRefusal(flow.ReasonStopping, stepAdmit, "the daemon is stopping")
}

func (e *Executor) leavingRefusal() *flow.Refusal {
	return e.newRefusal(flow.ReasonLeaving, stepAdmit, "the backend server takes no new work")
}

// CallFailed records that a call made by the backend server failed. A failure
// of the server shortly after is attributed to the call and does not count
// against the server.
func (e *Executor) CallFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaker.CallFailed(e.Clock.Now())
}

// ChargeCall implements dispatcher.Charger.
func (e *Executor) ChargeCall(service string) (charge retrier.Charge, run uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.charger.Charge(service)
}

// CallRefused implements dispatcher.Charger.
func (e *Executor) CallRefused(run uint64, service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.charger.Refused(run, service)
}

// ApplyCatalog applies a new catalog: slots, cold starts, and whether the
// backend server accepts new requests. If it does not, all waiting offers are
// refused.
func (e *Executor) ApplyCatalog(catalog *cataloger.Catalog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := catalog.ServerAt(e.Address)
	if entry == nil {
		e.refuseAllWaiting(e.leavingRefusal())
		return
	}
	e.applyEntry(catalog, entry)
	if !catalog.AcceptsNewRequests(entry.ID, entry.Address) {
		e.refuseAllWaiting(e.leavingRefusal())
	}
	e.refuseWaiting(func(w waiter) bool { return !catalog.AllowsRequest(entry.Zone, w.offer.Route, w.offer.Customer) }, e.regionRefusal(stepAdmit))
}

// regionRefusal returns the refusal of a request that may not be handled in this host's
// region. The daemon that sent it has an older configuration.
func (e *Executor) regionRefusal(step flow.Step) *flow.Refusal {
	return e.newRefusal(flow.ReasonRegionUnavailable, step, "the request may not be handled in this region")
}

// applyEntry applies a catalog entry to the state. A new backend server starts
// without evidence of failures and without idle connections. The mutex must be
// held.
func (e *Executor) applyEntry(catalog *cataloger.Catalog, entry *flow.ServerEntry) {
	now := e.Clock.Now()
	if e.server != entry.ID {
		e.Log.Info("backend server is new", "server", entry.ID, "service", entry.Service, "slots", entry.Slots,
			"cold-ms", entry.ColdRemaining.Milliseconds(), "revision", catalog.Revision)
		e.server, e.service = entry.ID, entry.Service
		e.breaker = estimator.NewBreaker(now)
		e.profiler = profiler.New()
		e.transport.CloseIdleConnections()
	}
	e.scheduler.SetSlots(entry.Slots)
	if service := catalog.Service(entry.Service); service != nil && entry.ColdRemaining > 0 {
		e.scheduler.SetCold(now, now.Add(entry.ColdRemaining), service.ColdPerSecond)
	}
}

// refuseAllWaiting refuses all waiting offers. The mutex must be held.
func (e *Executor) refuseAllWaiting(refusal *flow.Refusal) {
	e.refuseWaiting(func(waiter) bool { return true }, refusal)
}

// refuseWaiting refuses the waiting offers that match. The mutex must be held.
func (e *Executor) refuseWaiting(which func(waiter) bool, refusal *flow.Refusal) {
	for id, w := range e.waiters {
		if which(w) && e.scheduler.Withdraw(id) {
			e.notifyWaiter(id, refusal)
		}
	}
}

// Admit implements transporter.Executor. It returns a slot for the offered
// request, and calls onQueued before it waits for one. The error is a
// *flow.Refusal.
func (e *Executor) Admit(ctx context.Context, offer *transporter.Offer, onQueued func()) (transporter.Slot, error) {
	id, decided, refusal := e.offer(offer)
	if decided != nil {
		onQueued()
		refusal = e.await(ctx, id, decided)
	}
	if refusal != nil {
		return nil, e.reportRefusal(offer, refusal)
	}
	if ctx.Err() != nil {
		e.finish(id, 0)
		return nil, e.reportRefusal(offer, e.newRefusal(flow.ReasonCancelled, stepAdmit, "the ingress went away"))
	}
	return &slot{executor: e, id: id, offer: offer, deadline: e.Clock.Now().Add(offer.TimeLeft)}, nil
}

// offer decides on an offer without waiting. If it returns a channel, the offer
// has been queued and the decision follows on the channel. If it returns
// neither a channel nor a refusal, the offer has a slot.
func (e *Executor) offer(offer *transporter.Offer) (uint64, chan *flow.Refusal, *flow.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if refusal := e.checkServer(offer); refusal != nil {
		return 0, nil, refusal
	}
	if refusal := e.checkSuspicion(now, offer); refusal != nil {
		return 0, nil, refusal
	}
	e.nextID++
	id := e.nextID
	decision := e.scheduler.Offer(now, scheduler.Entry{
		ID:       id,
		Route:    offer.Route,
		Customer: offer.Customer,
		Call:     offer.Call,
		IsRetry:  offer.IsRetry,
		Priority: offer.Priority,
		Urgency:  offer.Urgency,
		Target:   now.Add(offer.TimeToTarget),
		Deadline: now.Add(offer.TimeLeft),
		MayWait:  offer.MayWait,
	})
	switch decision {
	case scheduler.DecisionStarted:
		return id, nil, nil
	case scheduler.DecisionBusy:
		return 0, nil, e.newRefusal(flow.ReasonBusy, stepAdmit, "no slot is free")
	case scheduler.DecisionTooLate:
		return 0, nil, e.tooLateRefusal()
	case scheduler.DecisionQueued:
	}
	decided := make(chan *flow.Refusal, 1)
	e.waiters[id] = waiter{offer: offer, decided: decided, forced: offer.Forced}
	e.grantSlots()
	return id, decided, nil
}

func (e *Executor) tooLateRefusal() *flow.Refusal {
	return e.newRefusal(flow.ReasonNoCapacity, stepAdmit, "the answer would come too late")
}

// checkServer returns the refusal if the offer's backend server is not on this
// host or accepts no new requests. The mutex must be held.
func (e *Executor) checkServer(offer *transporter.Offer) *flow.Refusal {
	catalog := e.Catalog()
	entry := catalog.ServerAt(e.Address)
	switch {
	case e.stopping:
		return e.stoppingRefusal()
	case offer.Server == e.endedServer:
		return e.newRefusal(flow.ReasonLeaving, stepAdmit, "the backend server has ended")
	case entry == nil || entry.ID != offer.Server:
		return e.newRefusal(flow.ReasonLeaving, stepAdmit, "the backend server is not listed on this host")
	case !catalog.AcceptsNewRequests(entry.ID, entry.Address):
		return e.leavingRefusal()
	case !catalog.AllowsRequest(entry.Zone, offer.Route, offer.Customer):
		return e.regionRefusal(stepAdmit)
	}
	if e.server != entry.ID {
		e.applyEntry(catalog, entry)
	}
	return nil
}

// checkSuspicion returns the refusal if the backend server is suspected of
// failing and its breaker does not admit the offer. The mutex must be held.
func (e *Executor) checkSuspicion(now flow.Time, offer *transporter.Offer) *flow.Refusal {
	e.recordOverdue(now)
	if e.breaker.Admit(now, estimator.Request{Repeatable: offer.Repeatable, Trial: offer.Trial, Forced: offer.Forced}) {
		return nil
	}
	return e.suspectedRefusal()
}

func (e *Executor) suspectedRefusal() *flow.Refusal {
	return e.newRefusal(flow.ReasonEjected, stepAdmit, "the backend server is suspected of failing")
}

// recordOverdue counts each overdue request as a failure once. A request is
// overdue if it runs for a multiple of the usual duration of its route. The
// mutex must be held.
func (e *Executor) recordOverdue(now flow.Time) {
	for _, id := range e.scheduler.Overdue(now, estimator.OverdueMultiple, estimator.MinOverdue) {
		if !e.overdue[id] {
			e.overdue[id] = true
			e.recordEvidence(now, now, estimator.NoResponse, "a request is overdue")
		}
	}
}

// recordEvidence records evidence about the backend server and logs a change of
// suspicion. Waiting offers are refused once the server becomes suspected,
// unless they are forced. The mutex must be held.
func (e *Executor) recordEvidence(now, began flow.Time, evidence estimator.Evidence, cause string) {
	if suspect, changed := e.breaker.Observe(now, began, evidence); changed {
		e.Log.Info("suspicion of the backend server changed", "server", e.server, "suspect", suspect,
			"gray", roundShare(e.breaker.GrayProbability(now)), "cause", cause)
		if suspect {
			e.refuseWaiting(func(w waiter) bool { return !w.forced }, e.suspectedRefusal())
		}
	}
}

// roundShare rounds a share to three decimals for the log and the status.
func roundShare(share float64) float64 { return float64(int(share*1000)) / 1000 }

// await waits for the decision on a queued offer. It returns nil once the offer
// has a slot.
func (e *Executor) await(ctx context.Context, id uint64, decided chan *flow.Refusal) *flow.Refusal {
	select {
	case refusal := <-decided:
		return refusal
	case <-ctx.Done():
	}
	if e.withdraw(id) {
		return e.newRefusal(flow.ReasonCancelled, stepAdmit, "the ingress went away")
	}
	return <-decided
}

// withdraw removes an offer from the queue, and reports whether it was still there.
func (e *Executor) withdraw(id uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiters, id)
	return e.scheduler.Withdraw(id)
}

// finish releases the slot of a request. A positive duration is how long a good
// response took, and counts towards the route's mean.
func (e *Executor) finish(id uint64, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.Finish(id, duration)
	e.charger.End(id)
	delete(e.overdue, id)
	e.grantSlots()
}

// grantSlots grants free slots to waiting offers and refuses those that would
// be answered too late. The mutex must be held.
func (e *Executor) grantSlots() {
	now := e.Clock.Now()
	started, tooLate := e.scheduler.Advance(now)
	for _, entry := range started {
		e.notifyWaiter(entry.ID, nil)
	}
	for _, entry := range tooLate {
		e.notifyWaiter(entry.ID, e.tooLateRefusal())
	}
	if e.scheduler.Queued() > 0 && e.queueTimer == nil {
		wait := queueCheckInterval
		if token := e.scheduler.TokenWait(now); token > 0 {
			wait = min(wait, token+time.Millisecond)
		}
		e.queueTimer = time.AfterFunc(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.queueTimer = nil
			e.grantSlots()
		})
	}
}

// notifyWaiter sends the decision to a waiting offer. The mutex must be held.
func (e *Executor) notifyWaiter(id uint64, refusal *flow.Refusal) {
	if w, ok := e.waiters[id]; ok {
		delete(e.waiters, id)
		w.decided <- refusal
	}
}

// Load implements transporter.Executor. It returns zero values for any server
// but the current one.
func (e *Executor) Load(server string) transporter.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if server != e.server {
		return transporter.Load{}
	}
	now := e.Clock.Now()
	return transporter.Load{
		FreeSlots:       e.scheduler.FreeSlots(),
		QueueWait:       e.scheduler.ExpectedWait(),
		GrayProbability: e.breaker.GrayProbability(now),
		MeanDuration:    e.scheduler.MeanRunning(),
		Overdue:         len(e.overdue),
		DrainTime:       max(e.shedUntil.Sub(now), 0),
	}
}

// newRefusal returns a refusal by this host at a step.
func (e *Executor) newRefusal(reason flow.Reason, step flow.Step, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: e.Host, Detail: detail}
}

// reportRefusal logs and counts a refusal. Refusals for lack of a free slot are
// routine while an ingress searches for a server, and are only counted.
func (e *Executor) reportRefusal(offer *transporter.Offer, refusal *flow.Refusal) error {
	e.Observer.Admitted(offer.Server, refusal.Reason, 0)
	if refusal.Reason != flow.ReasonBusy {
		load := e.Load(offer.Server)
		e.Log.Info("offer refused", "request", offer.ID, "server", offer.Server, "reason", string(refusal.Reason),
			"cause", refusal.Detail, "wait-ms", load.QueueWait.Milliseconds(), "gray", roundShare(load.GrayProbability),
			"left-ms", offer.TimeLeft.Milliseconds(), "priority", offer.Priority, "call", offer.Call, "route", offer.Route, "revision", e.Catalog().Revision)
	}
	return refusal
}

// Status is the state of the backend server for the status page.
type Status struct {
	Server          string  `json:"server"`
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	GrayProbability float64 `json:"gray"`
}

// Status returns the current state of the backend server.
func (e *Executor) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		Server:          e.server,
		Running:         e.scheduler.Running(),
		Queued:          e.scheduler.Queued(),
		GrayProbability: roundShare(e.breaker.GrayProbability(e.Clock.Now())),
	}
}

// slot is the permission to run one request.
type slot struct {
	executor *Executor
	id       uint64
	offer    *transporter.Offer
	deadline flow.Time
	ended    bool // the run has ended; guarded by the executor's mutex
}

// Release implements transporter.Slot.
func (s *slot) Release() { s.executor.finish(s.id, 0) }

// Load implements transporter.Slot.
func (s *slot) Load() transporter.Load {
	load := s.executor.Load(s.offer.Server)
	s.executor.mu.Lock()
	defer s.executor.mu.Unlock()
	load.OverdueAfter = s.executor.profiler.OwnLimit(s.offer.Route, s.offer.Server)
	return load
}

// Run implements transporter.Slot.
func (s *slot) Run(ctx context.Context, request *transporter.Request) (*transporter.Answer, error) {
	e := s.executor
	began := e.Clock.Now()
	left := s.deadline.Sub(began)
	if left <= 0 {
		e.finish(s.id, 0)
		return nil, e.newRefusal(flow.ReasonNoCapacity, stepRun, "no time is left")
	}
	catalog := e.Catalog()
	if entry := catalog.ServerAt(e.Address); entry != nil && !catalog.AllowsRequest(entry.Zone, s.offer.Route, s.offer.Customer) {
		e.finish(s.id, 0)
		return nil, e.reportRefusal(s.offer, e.regionRefusal(stepRun))
	}
	watch := e.begin(s)
	response, outcome := e.send(ctx, s, request, left)
	watch.Stop()
	took := e.Clock.Now().Sub(began)
	e.recordOutcome(s, outcome, took)
	if outcome.refusal != nil {
		e.Observer.Admitted(s.offer.Server, outcome.refusal.Reason, took)
		return nil, outcome.refusal
	}
	e.Observer.Admitted(s.offer.Server, "", took)
	if response.Rest == nil {
		e.finish(s.id, outcome.goodDuration(took))
		return &transporter.Answer{Status: response.Status, Header: response.Header, Length: int64(len(response.Buffered)), Body: e.Budget.Hold(response.Buffered, response.Held)}, nil
	}
	return &transporter.Answer{Status: response.Status, Header: response.Header, Length: response.Length, Body: &streamedBody{
		Reader: io.MultiReader(bytesReader(response.Buffered), response.Rest),
		rest:   response.Rest,
		end: func() {
			e.finish(s.id, 0)
			e.Budget.Release(response.Held)
		},
	}}, nil
}

// begin records that the run of a slot begins. The timer records evidence against the server once
// the run is overdue.
func (e *Executor) begin(s *slot) (watch *time.Timer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.charger.Begin(s.id, s.offer.IsRetry)
	limit, ok := e.profiler.Limit(s.offer.Route, s.offer.Server)
	if !ok {
		limit = s.offer.OverdueAfter
	}
	if limit <= 0 {
		limit = idleWatch // recordOverdue judges the run by its mean
	}
	return time.AfterFunc(profiler.EvidenceAfter(limit), func() { e.noteOverdue(s) })
}

// noteOverdue records evidence against the server if a run that is overdue still goes on.
func (e *Executor) noteOverdue(s *slot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if s.ended || e.overdue[s.id] || s.offer.Server != e.server {
		return
	}
	e.overdue[s.id] = true
	e.profiler.Overdue(s.offer.Route)
	e.recordEvidence(now, now, estimator.NoResponse, "a request is overdue")
	e.Log.Info("request is overdue", "request", s.offer.ID, "server", s.offer.Server, "route", s.offer.Route,
		"gray", roundShare(e.breaker.GrayProbability(now)), "overdue", len(e.overdue))
}

// recordOutcome records the outcome of a run. It releases the slot if there is no
// response to pass on.
func (e *Executor) recordOutcome(s *slot, out outcome, took time.Duration) {
	blamed, gray := e.updateBreaker(s, out, took)
	if out.verdict != flow.VerdictGood {
		e.Log.Info("request failed at the backend server", "request", s.offer.ID, "server", s.offer.Server, "route", s.offer.Route,
			"status", out.status, "cause", out.text(), "took-ms", took.Milliseconds(), "blamed-on-call", blamed,
			"gray", roundShare(gray), "trial", s.offer.Trial, "forced", s.offer.Forced)
	}
	if out.refusal != nil {
		e.finish(s.id, 0)
	}
}

// updateBreaker records the outcome of a run as evidence about the backend server. It
// returns whether the outcome is blamed on a call of the server, and the probability that
// the server is gray.
func (e *Executor) updateBreaker(s *slot, out outcome, took time.Duration) (blamed bool, gray float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	blamed = e.breaker.BlamesCall(now, out.verdict, out.status)
	s.ended = true
	if s.offer.Server == e.server {
		e.profiler.Ended(s.offer.Route, s.offer.Server, took, e.overdue[s.id], out.verdict == flow.VerdictGood)
	}
	evidence, isEvidence := estimator.EvidenceOf(out.verdict, took, e.scheduler.MeanDuration(s.offer.Route))
	if isEvidence && !blamed && !e.overdue[s.id] && s.offer.Server == e.server {
		e.recordEvidence(now, now.Add(-took), evidence, out.text())
	}
	if out.verdict == flow.VerdictRefused {
		e.failedDials++
	} else if out.verdict == flow.VerdictGood {
		e.recordResponse(now)
	}
	if out.retryAfter > 0 {
		e.shedUntil = now.Add(out.retryAfter)
	}
	if out.serverEnded {
		e.endedServer = s.offer.Server
		e.Log.Info("listed backend server has ended", "server", s.offer.Server, "request", s.offer.ID, "cause", out.text())
	}
	return blamed, e.breaker.GrayProbability(now)
}

// recordResponse records a good response. After an outage the server counts as
// cold. The mutex must be held.
func (e *Executor) recordResponse(now flow.Time) {
	if e.failedDials >= coldAfterFailedDials {
		catalog := e.Catalog()
		if entry := catalog.ServerAt(e.Address); entry != nil {
			if service := catalog.Service(entry.Service); service != nil {
				e.scheduler.SetCold(now, now.Add(service.ColdStart), service.ColdPerSecond)
				e.Log.Info("backend server responds again and counts as cold", "server", e.server, "cold-ms", service.ColdStart.Milliseconds())
			}
		}
	}
	e.failedDials = 0
}

// streamedBody is the body of a response that is streamed. Its request keeps
// the slot until the body is closed.
type streamedBody struct {
	io.Reader
	rest io.Closer
	end  func()
	once sync.Once
}

// Close releases the request's slot.
func (b *streamedBody) Close() error {
	b.once.Do(b.end)
	return b.rest.Close()
}

var _ transporter.Executor = (*Executor)(nil)

// notRunStatuses are the statuses with which a server can state that it did not
// run a request.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest, http.StatusMisdirectedRequest}

// claimsNotRun reports whether a response states that the request did not run.
// The status 421 does so without a header: the address belongs to another
// server.
func claimsNotRun(names flow.HeaderNames, response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return response.Header.Get(names.NotRun) != "" && slices.Contains(notRunStatuses, response.StatusCode)
}

// formatMilliseconds formats a duration as whole milliseconds, at least 1.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

var errNoResponse = errors.New("no answer")
