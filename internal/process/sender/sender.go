// Admission of requests, and the report of their ends to the gate.

package sender

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// stepAdmit is the step in refusals by the gate.
const stepAdmit = flow.Step("admit")

// Sender sends requests to one backend server. It is safe for concurrent use.
type Sender struct {
	serverName string
	clock      flow.Clock
	transport  *validator.Transport

	mu          sync.Mutex
	server      flow.BackendServer
	gate        *admitter.Gate
	waiting     map[uint64]chan *flow.Refusal // receives nil when the request may start
	lastID      uint64
	connections connectionSet
	timer       *time.Timer
}

// New returns a Sender for a backend server. The limiter must be new and not shared.
func New(server flow.BackendServer, limiter flow.Limiter, clock flow.Clock) *Sender {
	s := &Sender{
		serverName:  server.Name,
		server:      server,
		clock:       clock,
		waiting:     map[uint64]chan *flow.Refusal{},
		connections: newConnectionSet(),
		gate: admitter.New(admitter.Options{
			Server:         server.Name,
			Limiter:        limiter,
			Slots:          server.Slots,
			MaxConnections: server.Connections,
			ConnectionCost: server.ConnectionCost,
		}),
	}
	s.transport = newTransport(s, server.Slots)
	return s
}

// Server returns the record of the backend server.
func (s *Sender) Server() flow.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

// Update stores a changed record of the backend server if only its state differs.
// Otherwise it returns false, and the server needs a new Sender.
func (s *Sender) Update(server flow.BackendServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := s.server
	expected.State = server.State
	if expected != server {
		return false
	}
	s.server = server
	return true
}

// Close refuses new requests and closes idle connections. Requests in flight go on.
func (s *Sender) Close() {
	s.SetState(admitter.StateLeaving)
	s.transport.CloseIdleConnections()
}

// Ticket allows its holder to send one admitted request.
type Ticket struct {
	sender  *Sender
	id      uint64
	attempt *sealer.Attempt // the latest one
	sent    bool            // the server may have received a byte of the request
}

// Admit waits until the gate admits the request. The error is a *flow.Refusal, which
// means that the request did not run. Finish must be called on every Ticket.
func (s *Sender) Admit(ctx context.Context, entry admitter.Entry) (*Ticket, error) {
	id, decided, refusal := s.submit(entry)
	if refusal != nil {
		return nil, refusal
	}
	ticket := &Ticket{sender: s, id: id}
	if decided == nil {
		return ticket, nil
	}
	select {
	case refusal := <-decided:
		if refusal != nil {
			return nil, refusal
		}
		return ticket, nil
	case <-ctx.Done():
		return s.cancelWait(ticket, decided)
	}
}

// submit asks the gate to admit an entry. It returns the entry's id, and a channel for
// the decision if the entry waits; the channel is nil if the request may start now.
func (s *Sender) submit(entry admitter.Entry) (uint64, chan *flow.Refusal, *flow.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	entry.ID = s.lastID
	result := s.gate.Arrive(s.clock.Now(), entry)
	s.handleDequeued(result.Dequeued)
	switch result.Decision {
	case admitter.DecisionStarted:
		return entry.ID, nil, nil
	case admitter.DecisionQueued:
		decided := make(chan *flow.Refusal, 1)
		s.waiting[entry.ID] = decided
		return entry.ID, decided, nil
	}
	return 0, nil, s.newRefusal(result.Reason)
}

// cancelWait removes a request whose context ended from the queue. If the gate admitted
// it in the meantime, it ends as cancelled.
func (s *Sender) cancelWait(ticket *Ticket, decided chan *flow.Refusal) (*Ticket, error) {
	s.mu.Lock()
	_, dequeued := s.gate.Cancel(s.clock.Now(), ticket.id)
	delete(s.waiting, ticket.id)
	s.handleDequeued(dequeued)
	s.mu.Unlock()
	select {
	case refusal := <-decided:
		if refusal != nil {
			return nil, refusal
		}
		ticket.Finish(flow.VerdictCancelled, 0)
	default:
	}
	return nil, s.newRefusal(flow.ReasonCancelled)
}

// Finish ends the request and reports to the gate what its outcome says about the
// server, and the time that the server took.
func (t *Ticket) Finish(verdict flow.Verdict, latency time.Duration) {
	if t.sent && (verdict == flow.VerdictCancelled || verdict == flow.VerdictTimeout) {
		// The server still works on the request until it notices the closed connection.
		time.AfterFunc(closeNoticeDelay, func() { t.finish(verdict, latency) })
		return
	}
	t.finish(verdict, latency)
}

func (t *Ticket) finish(verdict flow.Verdict, latency time.Duration) {
	s := t.sender
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleDequeued(s.gate.Finish(s.clock.Now(), t.id, verdict, latency))
}

// handleDequeued wakes the requests that left the queue, and sets the timer for the gate's
// next check of the queue. The caller holds the lock.
func (s *Sender) handleDequeued(dequeued admitter.Dequeued) {
	for _, id := range dequeued.Started {
		s.deliver(id, nil)
	}
	for _, refused := range dequeued.Refused {
		s.deliver(refused.ID, s.newRefusal(refused.Reason))
	}
	now := s.clock.Now()
	next, ok := s.gate.NextAdvance(now)
	if !ok {
		return
	}
	wait := max(next.Sub(now), time.Millisecond)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.advanceQueue)
		return
	}
	s.timer.Reset(wait)
}

// deliver passes the gate's decision to a waiting request. A nil refusal admits it.
func (s *Sender) deliver(id uint64, refusal *flow.Refusal) {
	if decided, ok := s.waiting[id]; ok {
		decided <- refusal
		delete(s.waiting, id)
	}
}

// advanceQueue lets the gate refuse and start waiting requests when the timer fires.
func (s *Sender) advanceQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleDequeued(s.gate.Advance(s.clock.Now()))
}

func (s *Sender) newRefusal(reason flow.Reason) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: stepAdmit, Peer: s.serverName}
}

// SetState sets the state of the gate.
func (s *Sender) SetState(state admitter.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleDequeued(s.gate.SetState(s.clock.Now(), state))
}

// Load returns the share of the concurrency limit that is in use. It is above 1 if
// requests wait.
func (s *Sender) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load(s.clock.Now())
}

// Idle reports whether no request waits or runs, and no connection is in use.
func (s *Sender) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Idle()
}

// Report returns the requests and outcomes since the last report.
func (s *Sender) Report() flow.ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Report(s.clock.Now())
}

// Stats returns the gate's current state for status and metrics.
func (s *Sender) Stats() admitter.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Stats(s.clock.Now())
}
