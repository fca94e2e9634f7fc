// The receiving end: the daemon beside the backend server.

package courier

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// dataSize is the size of a piece of an answer's body in bytes.
const dataSize = 32 << 10

// Slot is the right to run one request. It is ended by Run or by Release.
type Slot interface {
	// Run runs the request. It ends early with the context.
	Run(ctx context.Context, request *Request) (*Response, error)
	// Release gives the slot up unused.
	Release()
	// Load is what to tell the offering daemon of the backend server.
	Load() Load
}

// Executor decides about offers. The error of Admit and of Slot.Run is a
// *flow.Refusal.
type Executor interface {
	// Admit returns when the request has a slot or is refused. When it has to
	// wait for one, waiting is called first.
	Admit(ctx context.Context, offer *Offer, waiting func()) (Slot, error)
	// Load is what to tell of a backend server to a daemon that was refused.
	Load(server string) Load
}

// Server takes the offers of other daemons.
type Server struct {
	Options   framer.Options
	Executor  Executor
	Log       logr.Logger
	OnConnect func(host string) // told of each daemon that connects; may be nil

	open   sync.WaitGroup
	active atomic.Int64
}

// Active is the number of requests that were offered and whose answers are not
// passed on yet.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections until ctx ends, and returns when all are closed.
func (s *Server) Serve(ctx context.Context, accepting net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = accepting.Close() })
	defer stop()
	defer s.open.Wait()
	for {
		raw, err := accepting.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "accept failed", "step", "accept-offers")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.open.Go(func() { s.serve(ctx, raw) })
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn, err := framer.Server(raw, s.Options)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, io.EOF) {
			s.Log.Info("handshake failed", "step", "accept-offers", "peer", raw.RemoteAddr().String(), "cause", err.Error())
		}
		return
	}
	defer func() { _ = conn.Close() }()
	if s.OnConnect != nil {
		s.OnConnect(conn.Peer().Host)
	}
	frames := make(chan *frame)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go readFrames(ctx, cancel, conn, frames)
	for s.exchange(ctx, conn, frames) {
	}
}

// readFrames passes frames on, and ends the context with the connection, so
// that what runs for a daemon that has gone away ends as well.
func readFrames(ctx context.Context, cancel context.CancelFunc, conn *framer.Conn, frames chan<- *frame) {
	defer cancel()
	for {
		f, err := receive(conn, serverIdleLimit)
		if err != nil {
			return
		}
		select {
		case frames <- f:
		case <-ctx.Done():
			return
		}
	}
}

// exchange serves one offer, and reports whether the connection goes on.
func (s *Server) exchange(ctx context.Context, conn *framer.Conn, frames <-chan *frame) bool {
	offer := awaitFrame(ctx, frames, frameOffer, serverIdleLimit)
	if offer == nil || offer.Offer == nil {
		return false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	out := &sender{conn: conn}
	slot, err := s.Executor.Admit(ctx, offer.Offer, func() { out.repeat(frameWaiting) })
	out.stopRepeating()
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		load := s.Executor.Load(offer.Offer.Server)
		return out.send(&frame{Kind: frameRefused, Reason: refusal.Reason, Cause: refusal.Detail, Load: &load})
	}
	load := slot.Load()
	if !out.send(&frame{Kind: frameGranted, Load: &load}) {
		slot.Release()
		return false
	}
	run := awaitFrame(ctx, frames, frameRun, answerTimeout+silenceLimit)
	if run == nil || run.Request == nil {
		slot.Release()
		return false
	}
	out.repeat(frameProgress)
	answer, err := slot.Run(ctx, run.Request)
	out.stopRepeating()
	load = slot.Load()
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		return out.send(&frame{Kind: frameFailed, Reason: refusal.Reason, Cause: refusal.Detail, Load: &load})
	}
	return out.pass(answer, &load)
}

func awaitFrame(ctx context.Context, frames <-chan *frame, kind frameKind, within time.Duration) *frame {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case f := <-frames:
		if f.Kind == kind {
			return f
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// sender writes the frames of one exchange.
type sender struct {
	conn      *framer.Conn
	mu        sync.Mutex
	repeating *time.Timer
}

func (s *sender) send(f *frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return send(s.conn, f) == nil
}

// repeat sends a frame now and then until stopRepeating, so that the other end
// can tell a slow request from a lost connection.
func (s *sender) repeat(kind frameKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == frameWaiting && send(s.conn, &frame{Kind: kind}) != nil {
		return
	}
	s.schedule(kind)
}

// schedule is called with the lock held.
func (s *sender) schedule(kind frameKind) {
	var timer *time.Timer
	timer = time.AfterFunc(progressInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.repeating == timer && send(s.conn, &frame{Kind: kind}) == nil {
			s.schedule(kind)
		}
	})
	s.repeating = timer
}

func (s *sender) stopRepeating() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.repeating != nil {
		s.repeating.Stop()
		s.repeating = nil
	}
}

// pass sends an answer, and reports whether it went out whole.
func (s *sender) pass(answer *Response, load *Load) bool {
	defer func() { _ = answer.Body.Close() }()
	if !s.send(&frame{Kind: frameHead, Status: answer.Status, Header: answer.Header, Length: answer.Length, Load: load}) {
		return false
	}
	buffer := make([]byte, min(max(answer.Length, 1), dataSize))
	if answer.Length < 0 {
		buffer = make([]byte, dataSize)
	}
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && !s.send(&frame{Kind: frameData, Data: buffer[:n]}) {
			return false
		}
		if errors.Is(err, io.EOF) {
			return s.send(&frame{Kind: frameEnd})
		}
		if err != nil {
			return s.send(&frame{Kind: frameFailed, Reason: flow.ReasonAnswerShort, Cause: err.Error()})
		}
	}
}
