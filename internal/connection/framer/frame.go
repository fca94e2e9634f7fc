// A frame is a four-byte length, the payload, and a tag of TagSize bytes.

package framer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// TagSize is the length of a frame's authentication tag in bytes.
	TagSize = 8
	// lengthSize is the length of a frame's length field in bytes.
	lengthSize = 4
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
)

// Error is the class of all errors of frames and handshakes.
var Error = errs.Class("frame")

// Conn carries frames over one authenticated connection. One goroutine may
// read while others write.
type Conn struct {
	peer    Identity
	conn    net.Conn
	reader  *bufio.Reader
	limit   int // bytes of payload
	readTag *tagger

	writing  sync.Mutex
	writeTag *tagger
	buffer   []byte
}

// Peer returns the identity that the other end gave in the handshake.
func (c *Conn) Peer() Identity { return c.peer }

// Close ends the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// SetReadDeadline bounds the reading of frames; the zero time removes the
// bound.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	return c.conn.SetReadDeadline(deadline)
}

// Read returns the payload of the next frame. Any error ends the use of the
// connection.
func (c *Conn) Read() ([]byte, error) {
	payload, err := readPayload(c.reader, c.limit)
	if err != nil {
		return nil, flow.Wrap("read-frame", c.name(), err)
	}
	var tag [TagSize]byte
	if _, err := io.ReadFull(c.reader, tag[:]); err != nil {
		return nil, flow.Wrap("read-frame", c.name(), err)
	}
	if !hmac.Equal(tag[:], c.readTag.next(payload)) {
		return nil, flow.Wrap("read-frame", c.name(), Error.New("the tag of a frame does not match"))
	}
	return payload, nil
}

// Write sends one frame. An error leaves the connection closed, since part of
// the frame may have gone out.
func (c *Conn) Write(payload []byte) error {
	if len(payload) > c.limit {
		return flow.Wrap("write-frame", c.name(), Error.New("a frame of %d bytes is over the limit of %d", len(payload), c.limit))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.buffer = appendPayload(c.buffer[:0], payload)
	c.buffer = append(c.buffer, c.writeTag.next(payload)...)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return flow.Wrap("write-frame", c.name(), err)
	}
	if _, err := c.conn.Write(c.buffer); err != nil {
		_ = c.conn.Close()
		return flow.Wrap("write-frame", c.name(), err)
	}
	return nil
}

// name is what errors call the peer.
func (c *Conn) name() string {
	return c.peer.Host + "@" + c.conn.RemoteAddr().String()
}

// -----------------------------------------------------------------------------

// tagger computes the tags of one direction of a connection.
type tagger struct {
	mac      hash.Hash
	sequence uint64
	sum      []byte
}

func newTagger(key []byte) *tagger {
	return &tagger{mac: hmac.New(sha256.New, key)}
}

// next returns the tag of the next payload; it is valid until the next call.
func (t *tagger) next(payload []byte) []byte {
	var sequence [8]byte
	binary.BigEndian.PutUint64(sequence[:], t.sequence)
	t.sequence++
	t.mac.Reset()
	t.mac.Write(sequence[:])
	t.mac.Write(payload)
	t.sum = t.mac.Sum(t.sum[:0])
	return t.sum[:TagSize]
}

// -----------------------------------------------------------------------------

func readPayload(r io.Reader, limit int) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > limit {
		return nil, Error.New("a frame of %d bytes is over the limit of %d", n, limit)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return payload, nil
}

func appendPayload(buffer, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	return append(buffer, payload...)
}
