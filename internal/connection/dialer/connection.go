// A link is one open connection with the calls that wait on it.

package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

type link struct {
	conn *framer.Conn
	done chan struct{}

	mu         sync.Mutex
	cause      error // why the link ended; nil while it is open
	lastID     uint64
	waiting    map[uint64]chan messenger.Envelope
	receivedAt time.Time
}

// newLink starts reading answers from conn; the reading goroutine ends with the
// link.
func newLink(conn *framer.Conn) *link {
	l := &link{
		conn:    conn,
		done:    make(chan struct{}),
		waiting: map[uint64]chan messenger.Envelope{},
	}
	go l.read()
	return l
}

// roundTrip sends one request and waits for its answer.
func (l *link) roundTrip(ctx context.Context, call messenger.Call, request any) (messenger.Envelope, error) {
	id, answered := l.register()
	defer l.unregister(id)
	payload, err := messenger.Encode(messenger.Envelope{ID: id, Call: call}, request)
	if err != nil {
		return messenger.Envelope{}, err
	}
	sentAt := time.Now()
	if err := l.conn.Write(payload); err != nil {
		l.end(err)
		return messenger.Envelope{}, err
	}
	select {
	case envelope := <-answered:
		return envelope, nil
	case <-l.done:
		return messenger.Envelope{}, l.cause
	case <-ctx.Done():
		l.endIfSilent(sentAt)
		return messenger.Envelope{}, context.Cause(ctx)
	}
}

func (l *link) register() (uint64, chan messenger.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	answered := make(chan messenger.Envelope, 1)
	l.waiting[l.lastID] = answered
	return l.lastID, answered
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// read hands each answer to the call that waits for it. An answer that nobody
// waits for is late and dropped.
func (l *link) read() {
	for {
		payload, err := l.conn.Read()
		if err != nil {
			l.end(err)
			return
		}
		envelope, err := messenger.Decode(payload)
		if err != nil {
			l.end(err)
			return
		}
		l.deliver(envelope)
	}
}

func (l *link) deliver(envelope messenger.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedAt = time.Now()
	if answered, ok := l.waiting[envelope.ID]; ok && envelope.Answer {
		answered <- envelope
		delete(l.waiting, envelope.ID)
	}
}

// endIfSilent ends the link when nothing was received since a request was sent.
func (l *link) endIfSilent(sentAt time.Time) {
	l.mu.Lock()
	silent := l.receivedAt.Before(sentAt)
	l.mu.Unlock()
	if silent {
		l.end(Error.New("the connection is silent"))
	}
}

func (l *link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// end closes the link once, with its cause.
func (l *link) end(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause != nil {
		return
	}
	l.cause = cause
	close(l.done)
	_ = l.conn.Close()
}
