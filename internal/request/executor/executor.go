// Package executor runs requests on the backend server of this host, for the
// daemons that offer them. It is the only way to the backend server, so all
// that is counted for one is decided here.
package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/courier"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/httpdialer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// dialTimeout bounds the opening of a connection to the backend server, which
	// is on the same host.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes a connection to the backend server without requests. It
	// is well below the shortest time after which backend servers close theirs.
	idleTimeout = 4 * time.Second
	// queueInterval is how often the queue is looked at when nothing else happens:
	// a server that hangs ends no request.
	queueInterval = 100 * time.Millisecond
	// coldAfterOutage is how many connections in a row have to fail for the server
	// to be taken for cold when it is back.
	coldAfterOutage = 3
)

// The steps of refusals.
const (
	stepAdmit = flow.Step("admit")
	stepRun   = flow.Step("run")
)

// Observer is told of every request that ran or was refused, for metrics.
type Observer interface {
	// Admitted takes the end of a forwarded request: the reason of a refusal, or
	// "" for an answer of the backend server.
	Admitted(server string, reason flow.Reason, took time.Duration)
}

// Parts are what an Executor works with.
type Parts struct {
	Host     string // for errors
	Address  string // of the backend server
	Names    flow.HeaderNames
	Clock    flow.Clock
	Catalog  func() *cataloger.Catalog
	Observer Observer
	Log      logr.Logger
}

// Executor admits and runs requests. It is safe for use by many goroutines.
type Executor struct {
	Parts
	transport *http.Transport

	mu         sync.Mutex
	scheduler  *scheduler.Scheduler
	judge      *estimator.Breaker
	server     string // id of the backend server that the state is about
	ended      string // id of a backend server that is listed and has ended
	nextID     uint64
	waiters    map[uint64]waiter
	overdue    map[uint64]bool
	refusedRow int // connections in a row that could not be opened
	stopping   bool
	wake       *time.Timer
}

// waiter is an offer that waits for a slot.
type waiter struct {
	decided chan *flow.Refusal // nil on the channel means that it has one
	forced  bool               // it waits whether or not the server is suspected
}

// New returns an Executor.
func New(parts Parts) *Executor {
	return &Executor{
		Parts: parts,
		transport: &http.Transport{
			DialContext:         httpdialer.New(dialTimeout).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     idleTimeout,
		},
		scheduler: scheduler.New(1),
		judge:     estimator.NewBreaker(parts.Clock.Now()),
		waiters:   map[uint64]waiter{},
		overdue:   map[uint64]bool{},
	}
}

// Stop makes every further offer be refused.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
}

// CallFailed notes that a call of the backend server itself failed: a failure of
// its own that follows says nothing about it.
func (e *Executor) CallFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.judge.CallFailed(e.Clock.Now())
}

// RetryShare is the share of the running requests that have reached a backend server
// before.
func (e *Executor) RetryShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.RetryShare()
}

// Refresh takes a new catalog: slots, cold starts, and whether the backend
// server still takes work. Requests that wait for one that does not are refused.
func (e *Executor) Refresh(catalog *cataloger.Catalog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := catalog.ServerAt(e.Address)
	if entry == nil {
		e.refuseLeaving()
		return
	}
	e.adopt(catalog, entry)
	if !catalog.TakesNewWork(entry.ID, entry.Address) {
		e.refuseLeaving()
	}
}

// adopt makes the state be about a listed backend server.
func (e *Executor) adopt(catalog *cataloger.Catalog, entry *flow.ServerEntry) {
	now := e.Clock.Now()
	if e.server != entry.ID {
		e.Log.Info("backend server is new", "server", entry.ID, "service", entry.Service, "slots", entry.Slots,
			"cold-ms", entry.ColdRemaining.Milliseconds(), "revision", catalog.Revision)
		e.server = entry.ID
		e.judge = estimator.NewBreaker(now)
		e.transport.CloseIdleConnections()
	}
	e.scheduler.SetSlots(entry.Slots)
	if service := catalog.Service(entry.Service); service != nil && entry.ColdRemaining > 0 {
		e.scheduler.SetCold(now, now.Add(entry.ColdRemaining), service.ColdPerSecond)
	}
}

func (e *Executor) refuseLeaving() {
	e.refuseWaiting(func(waiter) bool { return true }, e.refusal(flow.ReasonLeaving, stepAdmit, "the backend server takes no new work"))
}

// refuseWaiting refuses some of the offers that wait for a slot. It is called with the
// lock held.
func (e *Executor) refuseWaiting(which func(waiter) bool, refusal *flow.Refusal) {
	for id, waits := range e.waiters {
		if which(waits) && e.scheduler.Withdraw(id) {
			e.decide(id, refusal)
		}
	}
}

// -----------------------------------------------------------------------------

// Admit implements courier.Executor.
func (e *Executor) Admit(ctx context.Context, offer *courier.Offer, waiting func()) (courier.Slot, error) {
	id, decided, refusal := e.offer(offer)
	if decided != nil {
		waiting()
		refusal = e.await(ctx, id, decided)
	}
	if refusal != nil {
		return nil, e.refuse(offer, refusal)
	}
	if ctx.Err() != nil {
		e.finish(id, 0)
		return nil, e.refuse(offer, e.refusal(flow.ReasonCancelled, stepAdmit, "the ingress went away"))
	}
	return &slot{executor: e, id: id, offer: offer, deadline: e.Clock.Now().Add(offer.Left)}, nil
}

// offer decides about an offer as far as that is possible at once. It waits if there is a
// channel, and has a slot if there is neither that nor a refusal.
func (e *Executor) offer(offer *courier.Offer) (uint64, chan *flow.Refusal, *flow.Refusal) {
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
		Target:   now.Add(offer.ToTarget),
		Deadline: now.Add(offer.Left),
		MayWait:  offer.MayWait,
	})
	switch decision {
	case scheduler.DecisionStarted:
		return id, nil, nil
	case scheduler.DecisionBusy:
		return 0, nil, e.refusal(flow.ReasonBusy, stepAdmit, "no slot is free")
	case scheduler.DecisionTooLate:
		return 0, nil, e.tooLate()
	case scheduler.DecisionQueued:
	}
	decided := make(chan *flow.Refusal, 1)
	e.waiters[id] = waiter{decided: decided, forced: offer.Forced}
	e.advance()
	return id, decided, nil
}

func (e *Executor) tooLate() *flow.Refusal {
	return e.refusal(flow.ReasonNoCapacity, stepAdmit, "the answer would come too late")
}

// checkServer refuses offers for a server that is not here or takes no work.
func (e *Executor) checkServer(offer *courier.Offer) *flow.Refusal {
	catalog := e.Catalog()
	entry := catalog.ServerAt(e.Address)
	switch {
	case e.stopping:
		return e.refusal(flow.ReasonStopping, stepAdmit, "the daemon is stopping")
	case offer.Server == e.ended:
		return e.refusal(flow.ReasonLeaving, stepAdmit, "the backend server has ended")
	case entry == nil || entry.ID != offer.Server:
		return e.refusal(flow.ReasonLeaving, stepAdmit, "the backend server is not listed on this host")
	case !catalog.TakesNewWork(entry.ID, entry.Address):
		return e.refusal(flow.ReasonLeaving, stepAdmit, "the backend server takes no new work")
	}
	if e.server != entry.ID {
		e.adopt(catalog, entry)
	}
	return nil
}

// checkSuspicion lets only trials through to a server that seems to fail.
func (e *Executor) checkSuspicion(now flow.Time, offer *courier.Offer) *flow.Refusal {
	e.judgeOverdue(now)
	if e.judge.Admit(now, estimator.Request{Repeatable: offer.Repeatable, Trial: offer.Trial, Forced: offer.Forced}) {
		return nil
	}
	return e.suspected()
}

func (e *Executor) suspected() *flow.Refusal {
	return e.refusal(flow.ReasonEjected, stepAdmit, "the backend server is suspected of failing")
}

// judgeOverdue counts requests that run for far too long as failures, once each.
func (e *Executor) judgeOverdue(now flow.Time) {
	for _, id := range e.scheduler.Overdue(now, estimator.OverdueMultiple, estimator.MinOverdue) {
		if !e.overdue[id] {
			e.overdue[id] = true
			e.observe(now, now, estimator.NoResponse, "a request is overdue")
		}
	}
}

// observe takes one outcome as evidence, and logs a change of belief.
func (e *Executor) observe(now, began flow.Time, evidence estimator.Evidence, cause string) {
	if suspect, changed := e.judge.Observe(now, began, evidence); changed {
		e.Log.Info("belief about the backend server changed", "server", e.server, "suspect", suspect,
			"gray", round(e.judge.Gray(now)), "cause", cause)
		if suspect {
			e.refuseWaiting(func(w waiter) bool { return !w.forced }, e.suspected())
		}
	}
}

func round(share float64) float64 { return float64(int(share*1000)) / 1000 }

// await waits for the decision about an entry in the queue, which is nil for a slot.
func (e *Executor) await(ctx context.Context, id uint64, decided chan *flow.Refusal) *flow.Refusal {
	select {
	case refusal := <-decided:
		return refusal
	case <-ctx.Done():
	}
	e.mu.Lock()
	withdrawn := e.scheduler.Withdraw(id)
	delete(e.waiters, id)
	e.mu.Unlock()
	if withdrawn {
		return e.refusal(flow.ReasonCancelled, stepAdmit, "the ingress went away")
	}
	return <-decided
}

// finish ends an entry that had a slot. A positive duration is that of a good
// answer.
func (e *Executor) finish(id uint64, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.Finish(id, duration)
	delete(e.overdue, id)
	e.advance()
}

// advance gives free slots to those that wait. It is called with the lock held.
func (e *Executor) advance() {
	now := e.Clock.Now()
	started, hopeless := e.scheduler.Advance(now)
	for _, entry := range started {
		e.decide(entry.ID, nil)
	}
	for _, entry := range hopeless {
		e.decide(entry.ID, e.tooLate())
	}
	if e.scheduler.Queued() > 0 && e.wake == nil {
		wait := queueInterval
		if token := e.scheduler.TokenWait(now); token > 0 {
			wait = min(wait, token+time.Millisecond)
		}
		e.wake = time.AfterFunc(wait, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.wake = nil
			e.advance()
		})
	}
}

func (e *Executor) decide(id uint64, refusal *flow.Refusal) {
	if waits, ok := e.waiters[id]; ok {
		delete(e.waiters, id)
		waits.decided <- refusal
	}
}

// Load implements courier.Executor.
func (e *Executor) Load(server string) courier.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if server != e.server {
		return courier.Load{}
	}
	return courier.Load{
		Free: e.scheduler.FreeSlots(),
		Wait: e.scheduler.ExpectedWait(),
		Gray: e.judge.Gray(e.Clock.Now()),
	}
}

func (e *Executor) refusal(reason flow.Reason, step flow.Step, detail string) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: step, Peer: e.Host, Detail: detail}
}

// refuse logs and counts a refusal. Those of a free slot are part of looking for
// one, and only counted.
func (e *Executor) refuse(offer *courier.Offer, refusal *flow.Refusal) error {
	e.Observer.Admitted(offer.Server, refusal.Reason, 0)
	if refusal.Reason != flow.ReasonBusy {
		load := e.Load(offer.Server)
		e.Log.Info("offer refused", "request", offer.ID, "server", offer.Server, "reason", string(refusal.Reason),
			"cause", refusal.Detail, "wait-ms", load.Wait.Milliseconds(), "gray", round(load.Gray),
			"left-ms", offer.Left.Milliseconds(), "priority", offer.Priority, "call", offer.Call, "route", offer.Route, "revision", e.Catalog().Revision)
	}
	return refusal
}

// Figures are what a status shows of the backend server.
type Figures struct {
	Server  string  `json:"server"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Gray    float64 `json:"gray"`
}

// Figures returns the state of the backend server.
func (e *Executor) Figures() Figures {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Figures{
		Server:  e.server,
		Running: e.scheduler.Running(),
		Queued:  e.scheduler.Queued(),
		Gray:    round(e.judge.Gray(e.Clock.Now())),
	}
}

// -----------------------------------------------------------------------------

// slot is the right to run one request.
type slot struct {
	executor *Executor
	id       uint64
	offer    *courier.Offer
	deadline flow.Time
}

// Release implements courier.Slot.
func (s *slot) Release() { s.executor.finish(s.id, 0) }

// Load implements courier.Slot.
func (s *slot) Load() courier.Load { return s.executor.Load(s.offer.Server) }

// Run implements courier.Slot.
func (s *slot) Run(ctx context.Context, request *courier.Request) (*courier.Answer, error) {
	e := s.executor
	began := e.Clock.Now()
	left := s.deadline.Sub(began)
	if left <= 0 {
		e.finish(s.id, 0)
		return nil, e.refusal(flow.ReasonNoCapacity, stepRun, "no time is left")
	}
	answer, outcome := e.send(ctx, s, request, left)
	took := e.Clock.Now().Sub(began)
	e.conclude(s, outcome, took)
	if outcome.refusal != nil {
		e.Observer.Admitted(s.offer.Server, outcome.refusal.Reason, took)
		return nil, outcome.refusal
	}
	e.Observer.Admitted(s.offer.Server, "", took)
	if answer.Rest == nil {
		e.finish(s.id, outcome.goodDuration(took))
		return &courier.Answer{Status: answer.Status, Header: answer.Header, Length: int64(len(answer.Content)), Body: io.NopCloser(bytesReader(answer.Content))}, nil
	}
	return &courier.Answer{Status: answer.Status, Header: answer.Header, Length: answer.Length, Body: &longBody{
		Reader: io.MultiReader(bytesReader(answer.Content), answer.Rest),
		rest:   answer.Rest,
		end:    func() { e.finish(s.id, 0) },
	}}, nil
}

// conclude takes the outcome of a run as evidence. A request without an answer
// gives up its slot here.
func (e *Executor) conclude(s *slot, out outcome, took time.Duration) {
	e.mu.Lock()
	now := e.Clock.Now()
	blamed := e.judge.BlamesCall(now, out.verdict, out.status)
	evidence, says := estimator.EvidenceOf(out.verdict, took, e.scheduler.MeanDuration(s.offer.Route))
	if says && !blamed && !e.overdue[s.id] && s.offer.Server == e.server {
		e.observe(now, now.Add(-took), evidence, out.text())
	}
	if out.verdict == flow.VerdictRefused {
		e.refusedRow++
	} else if out.verdict == flow.VerdictGood {
		e.returned(now)
	}
	if out.ended {
		e.ended = s.offer.Server
		e.Log.Info("backend server has ended though it is listed", "server", s.offer.Server, "request", s.offer.ID, "cause", out.text())
	}
	gray := e.judge.Gray(now)
	e.mu.Unlock()
	if out.verdict != flow.VerdictGood {
		e.Log.Info("request failed at the backend server", "request", s.offer.ID, "server", s.offer.Server, "route", s.offer.Route,
			"status", out.status, "cause", out.text(), "took-ms", took.Milliseconds(), "blamed-on-call", blamed,
			"gray", round(gray), "trial", s.offer.Trial, "forced", s.offer.Forced)
	}
	if out.refusal != nil {
		e.finish(s.id, 0)
	}
}

// returned notes that the server answers. After an outage it is taken for cold.
func (e *Executor) returned(now flow.Time) {
	if e.refusedRow >= coldAfterOutage {
		catalog := e.Catalog()
		if entry := catalog.ServerAt(e.Address); entry != nil {
			if service := catalog.Service(entry.Service); service != nil {
				e.scheduler.SetCold(now, now.Add(service.ColdStart), service.ColdPerSecond)
				e.Log.Info("backend server is back and taken for cold", "server", e.server, "cold-ms", service.ColdStart.Milliseconds())
			}
		}
	}
	e.refusedRow = 0
}

// longBody is the body of an answer that is passed on as it comes.
type longBody struct {
	io.Reader
	rest io.Closer
	end  func()
	once sync.Once
}

// Close ends the request's slot.
func (b *longBody) Close() error {
	b.once.Do(b.end)
	return b.rest.Close()
}

var _ courier.Executor = (*Executor)(nil)

// notRunStatuses are the statuses by which a server can say that it did not run
// a request.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest, http.StatusMisdirectedRequest}

func claimsNotRun(names flow.HeaderNames, response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return response.Header.Get(names.NotRun) != "" && slices.Contains(notRunStatuses, response.StatusCode)
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(max(d.Milliseconds(), 1), 10) }

var errNoAnswer = errors.New("no answer")
