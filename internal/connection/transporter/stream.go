// Bodies of requests that are sent in pieces.

package transporter

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// inlineBodyLimit is the size in bytes up to which a body is sent with its request, in
	// one message. Larger ones would take a frame, and so a copy, of their size at each end.
	inlineBodyLimit = 64 << 10
	// dataWriteTimeout bounds writing one piece of a body. The other end may wait for a
	// backend server or a caller that reads slowly.
	dataWriteTimeout = 15 * time.Second
	// streamedLength is the size in bytes from which a response may take long to arrive.
	streamedLength = 1 << 20
	// readBufferBytes is the size of the kernel's buffer for a connection that carries large
	// bodies. The kernel would let it grow to several MiB, also while nothing is read.
	readBufferBytes = 256 << 10
)

var (
	errBodyBroken  = errors.New("the ingress broke off the body")
	errBodyStopped = errors.New("the rest of the body is not needed")
)

// bodySender sends a body in pieces while the response is awaited.
type bodySender struct {
	conn *framer.Conn
	body flow.Body
	stop chan struct{} // closed when the rest is not needed
	done chan struct{}
	err  error // valid after done
}

// startSending starts to send a body. Either finish or end has to be called.
func startSending(conn *framer.Conn, body flow.Body) *bodySender {
	s := &bodySender{conn: conn, body: body, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = s.send()
	}()
	return s
}

func (s *bodySender) send() error {
	for _, piece := range s.body {
		for len(piece) > 0 {
			select {
			case <-s.stop:
				return sendData(s.conn, &message{Kind: messageFailed})
			default:
			}
			n := min(len(piece), dataChunkSize)
			if err := sendData(s.conn, &message{Kind: messageData, Data: piece[:n]}); err != nil {
				return err
			}
			piece = piece[n:]
		}
	}
	return sendData(s.conn, &message{Kind: messageEnd})
}

// finish waits until the body is sent. It is not used afterwards.
func (s *bodySender) finish() error {
	<-s.done
	return s.err
}

// end waits until the body is sent or, if it is not needed whole, breaks it off, so that the
// connection can be used further.
func (s *bodySender) end(whole bool) error {
	if !whole {
		close(s.stop)
	}
	return s.finish()
}

// isStreamed reports whether a response of a length, or of unknown length, is passed on as it
// comes.
func isStreamed(length int64) bool { return length < 0 || length > streamedLength }

// sendData sends a message that belongs to a body.
func sendData(conn *framer.Conn, m *message) error {
	payload, err := encode(m)
	if err != nil {
		return err
	}
	return conn.WriteWithin(payload, dataWriteTimeout)
}

// BodyStream is a body of a request that arrives in pieces.
type BodyStream struct {
	ctx      context.Context
	messages <-chan *message

	mu      sync.Mutex
	unread  []byte
	begun   bool
	err     error           // of all further reads
	current *streamedReader // the one that was opened last
}

// streamedReader is the body of one HTTP request.
type streamedReader struct {
	stream *BodyStream
	closed chan struct{}
	once   sync.Once
}

// Open returns a reader of the body. It may be called again as long as Begun is false.
func (b *BodyStream) Open() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &streamedReader{stream: b, closed: make(chan struct{})}
	return b.current
}

// Begun reports whether any of the body has been read.
func (b *BodyStream) Begun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begun
}

// Read implements io.Reader.
func (r *streamedReader) Read(p []byte) (int, error) {
	b := r.stream
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return 0, errBodyStopped
	}
	b.begun = true
	for len(b.unread) == 0 && b.err == nil {
		b.next()
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (r *streamedReader) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}

// next takes the next message. The mutex must be held.
func (b *BodyStream) next() {
	select {
	case m := <-b.messages:
		switch m.Kind {
		case messageData:
			b.unread = m.Data
		case messageEnd:
			b.err = io.EOF
		default:
			b.err = errBodyBroken
		}
	case <-b.ctx.Done():
		b.err = b.ctx.Err()
	}
}

// discardRest reads what is left of the body once the request of the backend server does
// not need it any more, so that the ingress can send it or break it off. It reports whether
// the end of the body was reached.
func (b *BodyStream) discardRest(answered bool) bool {
	b.mu.Lock()
	current := b.current
	b.mu.Unlock()
	if answered && current != nil {
		// The server may still read while it answers.
		select {
		case <-current.closed:
		case <-b.ctx.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current, b.unread = nil, nil
	for b.err == nil {
		b.next()
	}
	return errors.Is(b.err, io.EOF) || errors.Is(b.err, errBodyBroken)
}
