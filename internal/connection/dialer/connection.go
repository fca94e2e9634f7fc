package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

// connection is an open connection and the calls that wait for an answer on it.
type connection struct {
	conn   *framer.Conn
	closed chan struct{}

	mu         sync.Mutex
	cause      error // why the connection was closed; nil while it is open
	lastID     uint64
	pending    map[uint64]chan messenger.Envelope // by id of the request
	receivedAt time.Time                          // when the last answer arrived
}

// newConnection starts a goroutine that reads answers from conn until the connection is
// closed.
func newConnection(conn *framer.Conn) *connection {
	c := &connection{
		conn:    conn,
		closed:  make(chan struct{}),
		pending: map[uint64]chan messenger.Envelope{},
	}
	go c.read()
	return c
}

// roundTrip sends a request and waits for its answer until ctx ends.
func (c *connection) roundTrip(ctx context.Context, call messenger.Call, request any) (messenger.Envelope, error) {
	id, answer := c.register()
	defer c.unregister(id)
	payload, err := messenger.Encode(messenger.Envelope{ID: id, Call: call}, request)
	if err != nil {
		return messenger.Envelope{}, err
	}
	sentAt := time.Now()
	if err := c.conn.Write(payload); err != nil {
		c.close(err)
		return messenger.Envelope{}, err
	}
	select {
	case envelope := <-answer:
		return envelope, nil
	case <-c.closed:
		return messenger.Envelope{}, c.cause
	case <-ctx.Done():
		c.closeIfSilent(sentAt)
		return messenger.Envelope{}, context.Cause(ctx)
	}
}

func (c *connection) register() (uint64, chan messenger.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	answer := make(chan messenger.Envelope, 1)
	c.pending[c.lastID] = answer
	return c.lastID, answer
}

func (c *connection) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// read passes each answer to the call that waits for it. It drops answers whose call has
// already timed out.
func (c *connection) read() {
	for {
		payload, err := c.conn.Read()
		if err != nil {
			c.close(err)
			return
		}
		envelope, err := messenger.Decode(payload)
		if err != nil {
			c.close(err)
			return
		}
		c.deliver(envelope)
	}
}

func (c *connection) deliver(envelope messenger.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt = time.Now()
	if answer, ok := c.pending[envelope.ID]; ok && envelope.Answer {
		answer <- envelope
		delete(c.pending, envelope.ID)
	}
}

// closeIfSilent closes the connection if no answer was received since sentAt.
func (c *connection) closeIfSilent(sentAt time.Time) {
	c.mu.Lock()
	silent := c.receivedAt.Before(sentAt)
	c.mu.Unlock()
	if silent {
		c.close(Error.New("the connection is silent"))
	}
}

func (c *connection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// close closes the connection with the given cause, unless it is closed already.
func (c *connection) close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	close(c.closed)
	_ = c.conn.Close()
}
