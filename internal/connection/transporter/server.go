package transporter

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/decoder"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// dataChunkSize is the size in bytes of the largest chunk of a response's body.
const dataChunkSize = 32 << 10

// Slot is the right to run one request. Either Run or Release ends it; Release after Run
// has no effect.
type Slot interface {
	// Run runs the request and cancels it when the context ends.
	Run(ctx context.Context, request *Request) (*Answer, error)
	// Release returns the slot unused.
	Release()
	// Load returns the backend server's load, to report to the ingress.
	Load() Load
}

// Executor decides on offers. The errors of Admit and of Slot.Run are *flow.Refusal.
type Executor interface {
	// Admit returns once the offer is granted a slot or refused. If the offer has to
	// wait for a slot, Admit calls onQueued first.
	Admit(ctx context.Context, offer *Offer, onQueued func()) (Slot, error)
	// Load returns the load of a backend server, to report along with a refusal.
	Load(server string) Load
}

// Server accepts the offers of other daemons.
type Server struct {
	Options   framer.Options
	Executor  Executor
	Log       logr.Logger
	OnConnect func(host string) // called for each daemon that connects; may be nil

	goroutines sync.WaitGroup
	active     atomic.Int64
}

// Active returns the number of requests that were offered and are neither refused nor
// answered completely.
func (s *Server) Active() int { return int(s.active.Load()) }

// Serve accepts connections until ctx ends, and returns once all connections are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.goroutines.Wait()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "accept failed", "step", "accept-offers")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.goroutines.Go(func() { s.serveConn(ctx, raw) })
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
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
	messages := make(chan *message)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.readMessages(ctx, cancel, conn, messages)
	for s.serveOffer(ctx, conn, messages) {
	}
}

// readMessages reads messages into a channel until the connection ends, and then cancels
// the context, so that a request is cancelled when its ingress is gone.
func (s *Server) readMessages(ctx context.Context, cancel context.CancelFunc, conn *framer.Conn, messages chan<- *message) {
	defer cancel()
	for {
		m, err := receive(conn, serverIdleTimeout)
		if decoder.Error.Has(err) {
			s.Log.Info("connection closed after a malformed message", "step", "read-offers", "peer", conn.Peer().Host, "cause", err.Error())
		}
		if err != nil {
			return
		}
		select {
		case messages <- m:
		case <-ctx.Done():
			return
		}
	}
}

// serveOffer serves one offer and, if it is granted, its request. It reports whether the
// connection can be used for another offer.
func (s *Server) serveOffer(ctx context.Context, conn *framer.Conn, messages <-chan *message) (reusable bool) {
	offer := awaitMessage(ctx, messages, serverIdleTimeout, messageOffer)
	if offer == nil || offer.Offer == nil {
		return false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	writer := &messageWriter{conn: conn}
	var slot Slot
	defer recoverer.Recover(s.Log, "serve-offer", func() {
		writer.stopRepeating()
		if slot != nil {
			slot.Release()
		}
		reusable = false // the connection is closed: nothing is known about the request
	})
	slot, err := s.Executor.Admit(ctx, offer.Offer, func() { writer.startRepeating(messageQueued) })
	writer.stopRepeating()
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		load := s.Executor.Load(offer.Offer.Server)
		return writer.send(&message{Kind: messageRefused, Reason: refusal.Reason, Cause: refusal.Detail, Load: &load})
	}
	load := slot.Load()
	if !writer.send(&message{Kind: messageGranted, Load: &load}) {
		slot.Release()
		return false
	}
	run := awaitMessage(ctx, messages, offerTimeout+silenceTimeout, messageRun, messageRunStreamed)
	if run == nil || run.Request == nil {
		slot.Release()
		return false
	}
	var stream *BodyStream
	if run.Kind == messageRunStreamed {
		conn.SetReadBuffer(readBufferBytes)
		stream = &BodyStream{ctx: ctx, messages: messages}
		run.Request.Stream = stream
	}
	writer.startRepeating(messageProgress)
	answer, err := slot.Run(ctx, run.Request)
	writer.stopRepeating()
	bodyEnded := make(chan bool, 1)
	if stream == nil {
		bodyEnded <- true
	} else {
		go func() { bodyEnded <- stream.discardRest(err == nil) }()
	}
	load = slot.Load()
	if err != nil {
		refusal, _ := flow.AsRefusal(err)
		reusable = writer.send(&message{Kind: messageFailed, Reason: refusal.Reason, Cause: refusal.Detail, Load: &load})
	} else {
		reusable = writer.sendResponse(answer, &load)
	}
	conn.Trim()
	return reusable && <-bodyEnded
}

// awaitMessage returns the next message. It returns nil if the message is of none of the
// kinds or does not come within the timeout.
func awaitMessage(ctx context.Context, messages <-chan *message, timeout time.Duration, kinds ...messageKind) *message {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case m := <-messages:
		if slices.Contains(kinds, m.Kind) {
			return m
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// messageWriter writes the messages about one offer and its request. It is safe for concurrent use.
type messageWriter struct {
	conn      *framer.Conn
	mu        sync.Mutex
	repeating *time.Timer
}

func (w *messageWriter) send(m *message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return send(w.conn, m) == nil
}

// sendData sends a piece of a response's body.
func (w *messageWriter) sendData(data []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sendData(w.conn, &message{Kind: messageData, Data: data}) == nil
}

// startRepeating sends a message every progressInterval until stopRepeating, so that the
// other end can tell a slow request from a lost connection. It sends messageQueued at
// once, too.
func (w *messageWriter) startRepeating(kind messageKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == messageQueued && send(w.conn, &message{Kind: kind}) != nil {
		return
	}
	w.schedule(kind)
}

// schedule schedules the next repetition. The caller holds mu.
func (w *messageWriter) schedule(kind messageKind) {
	var timer *time.Timer
	timer = time.AfterFunc(progressInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.repeating == timer && send(w.conn, &message{Kind: kind}) == nil {
			w.schedule(kind)
		}
	})
	w.repeating = timer
}

func (w *messageWriter) stopRepeating() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.repeating != nil {
		w.repeating.Stop()
		w.repeating = nil
	}
}

// sendResponse sends a response, and reports whether the connection can be used further.
func (w *messageWriter) sendResponse(answer *Answer, load *Load) bool {
	defer func() { _ = answer.Body.Close() }()
	if !w.send(&message{Kind: messageHead, Status: answer.Status, Header: answer.Header, Length: answer.Length, Load: load}) {
		return false
	}
	if isStreamed(answer.Length) {
		// The backend server may pause, and so may the caller.
		w.startRepeating(messageProgress)
		defer w.stopRepeating()
	}
	buffer := make([]byte, min(max(answer.Length, 1), dataChunkSize))
	if answer.Length < 0 {
		buffer = make([]byte, dataChunkSize)
	}
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && !w.sendData(buffer[:n]) {
			return false
		}
		if err != nil {
			w.stopRepeating()
		}
		if errors.Is(err, io.EOF) {
			return w.send(&message{Kind: messageEnd})
		}
		if err != nil {
			return w.send(&message{Kind: messageFailed, Reason: flow.ReasonAnswerShort, Cause: err.Error()})
		}
	}
}
