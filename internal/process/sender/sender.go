// Admission: waiting at the gate, and telling it how requests ended.

package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// stepAdmit is the step of refusals by the gate.
const stepAdmit = flow.Step("admit")

// Sender sends requests to one backend server. It is safe for use by many
// goroutines.
type Sender struct {
	name      string
	clock     flow.Clock
	transport *http.Transport

	mu          sync.Mutex
	server      flow.BackendServer
	gate        *admitter.Gate
	waiting     map[uint64]chan *flow.Refusal // nil on the channel means that the request starts
	lastID      uint64
	connections connections
	timer       *time.Timer
}

// New returns the Sender of a backend server. The limiter must be fresh.
func New(server flow.BackendServer, limiter flow.Limiter, clock flow.Clock) *Sender {
	s := &Sender{
		name:        server.Name,
		server:      server,
		clock:       clock,
		waiting:     map[uint64]chan *flow.Refusal{},
		connections: newConnections(),
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

// Adopt takes a changed record of the backend server. It is false when the
// change is one of the server itself, which asks for a fresh Sender.
func (s *Sender) Adopt(server flow.BackendServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := s.server
	same.State = server.State
	if same != server {
		return false
	}
	s.server = server
	return true
}

// Close drops the idle connections; requests in flight are left to end.
func (s *Sender) Close() {
	s.SetState(admitter.StateLeaving)
	s.transport.CloseIdleConnections()
}

// -----------------------------------------------------------------------------

// Ticket is the right to send one request.
type Ticket struct {
	sender  *Sender
	id      uint64
	attempt sealer.Attempt
	sent    bool // a byte of the request may have gone out
}

// Admit waits until the gate lets the request start. The error is a refusal:
// the request did not run. Every Ticket must be ended by Finish.
func (s *Sender) Admit(ctx context.Context, entry admitter.Entry) (*Ticket, error) {
	id, decided, refusal := s.arrive(entry)
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
		return s.withdraw(ticket, decided)
	}
}

// arrive shows an entry to the gate. The channel is nil when it starts at once.
func (s *Sender) arrive(entry admitter.Entry) (uint64, chan *flow.Refusal, *flow.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	entry.ID = s.lastID
	answer := s.gate.Arrive(s.clock.Now(), entry)
	s.act(answer.Dequeued)
	switch answer.Decision {
	case admitter.DecisionStarted:
		return entry.ID, nil, nil
	case admitter.DecisionQueued:
		decided := make(chan *flow.Refusal, 1)
		s.waiting[entry.ID] = decided
		return entry.ID, decided, nil
	}
	return 0, nil, s.refusal(answer.Reason)
}

// withdraw takes a request whose context ended out of the queue. If the gate
// let it start meanwhile, it is ended as cancelled.
func (s *Sender) withdraw(ticket *Ticket, decided chan *flow.Refusal) (*Ticket, error) {
	s.mu.Lock()
	_, moves := s.gate.Cancel(s.clock.Now(), ticket.id)
	delete(s.waiting, ticket.id)
	s.act(moves)
	s.mu.Unlock()
	select {
	case refusal := <-decided:
		if refusal != nil {
			return nil, refusal
		}
		ticket.Finish(flow.VerdictCancelled, 0)
	default:
	}
	return nil, s.refusal(flow.ReasonCancelled)
}

// Finish ends the request: what it says of the server, and the time that the
// server took.
func (t *Ticket) Finish(verdict flow.Verdict, latency time.Duration) {
	if t.sent && (verdict == flow.VerdictCancelled || verdict == flow.VerdictTimeout) {
		// The server has yet to notice that it need not go on.
		time.AfterFunc(noticeTime, func() { t.finish(verdict, latency) })
		return
	}
	t.finish(verdict, latency)
}

func (t *Ticket) finish(verdict flow.Verdict, latency time.Duration) {
	s := t.sender
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.gate.Finish(s.clock.Now(), t.id, verdict, latency))
}

// act wakes the requests that leave the queue, and sets the timer by which the
// gate looks at the queue again. The caller holds the lock.
func (s *Sender) act(moves admitter.Dequeued) {
	for _, id := range moves.Started {
		s.decide(id, nil)
	}
	for _, refused := range moves.Refused {
		s.decide(refused.ID, s.refusal(refused.Reason))
	}
	now := s.clock.Now()
	next, ok := s.gate.NextAdvance(now)
	if !ok {
		return
	}
	wait := max(next.Sub(now), time.Millisecond)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.expire)
		return
	}
	s.timer.Reset(wait)
}

func (s *Sender) decide(id uint64, refusal *flow.Refusal) {
	if decided, ok := s.waiting[id]; ok {
		decided <- refusal
		delete(s.waiting, id)
	}
}

func (s *Sender) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.gate.Advance(s.clock.Now()))
}

func (s *Sender) refusal(reason flow.Reason) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: stepAdmit, Peer: s.name}
}

// -----------------------------------------------------------------------------

// SetState moves the gate into a state.
func (s *Sender) SetState(state admitter.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.gate.SetState(s.clock.Now(), state))
}

// Load returns the share of the limit that is in use; above 1 when requests
// wait.
func (s *Sender) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load(s.clock.Now())
}

// Idle reports whether nothing waits or runs, and no connection is in use.
func (s *Sender) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Idle()
}

// Report returns the work since the last report.
func (s *Sender) Report() flow.ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Report(s.clock.Now())
}

// Figures returns the gate's present state.
func (s *Sender) Figures() admitter.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Stats(s.clock.Now())
}
