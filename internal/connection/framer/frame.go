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
	// TagSize is the size of a frame's authentication tag in bytes. A frame consists of
	// the length of the payload in four bytes, big endian, then the payload, then the tag.
	TagSize = 8
	// lengthSize is the size of a frame's length field in bytes.
	lengthSize = 4
	// writeTimeout bounds writing one frame.
	writeTimeout = time.Second
	// keptBufferBytes is the size of the write buffer that an idle connection keeps.
	keptBufferBytes = 8 << 10
)

// Error is the class of all errors of frames and handshakes.
var Error = errs.Class("frame")

// Conn is an authenticated connection that carries frames. Several goroutines may write,
// while at most one reads.
type Conn struct {
	peer            Identity
	conn            net.Conn
	reader          *bufio.Reader
	maxPayloadBytes int
	readTagger      *tagger

	writing     sync.Mutex
	writeTagger *tagger
	writeBuffer []byte
}

// Peer returns the identity that the other end sent in the handshake.
func (c *Conn) Peer() Identity { return c.peer }

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// SetReadDeadline sets the deadline of Read. The zero time means no deadline.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	return c.conn.SetReadDeadline(deadline)
}

// Read returns the payload of the next frame. After an error the connection cannot be
// used any more. The error is io.EOF, wrapped, if the other end closed the connection
// between two frames.
func (c *Conn) Read() ([]byte, error) {
	payload, err := readPayload(c.reader, c.maxPayloadBytes)
	if err != nil {
		return nil, flow.Wrap("read-frame", c.peerName(), err)
	}
	var tag [TagSize]byte
	if _, err := io.ReadFull(c.reader, tag[:]); err != nil {
		return nil, flow.Wrap("read-frame", c.peerName(), err)
	}
	if !hmac.Equal(tag[:], c.readTagger.next(payload)) {
		return nil, flow.Wrap("read-frame", c.peerName(), Error.New("the tag of a frame does not match"))
	}
	return payload, nil
}

// Write sends one frame. A payload over the limit is not sent and leaves the connection
// usable. If writing to the connection fails, Write closes it, since part of the frame
// may have been sent.
func (c *Conn) Write(payload []byte) error { return c.WriteWithin(payload, writeTimeout) }

// WriteWithin is Write with a bound on the time until the other end has taken enough of what
// was written before.
func (c *Conn) WriteWithin(payload []byte, timeout time.Duration) error {
	if len(payload) > c.maxPayloadBytes {
		return flow.Wrap("write-frame", c.peerName(), Error.New("a frame of %d bytes is over the limit of %d", len(payload), c.maxPayloadBytes))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.writeBuffer = appendPayload(c.writeBuffer[:0], payload)
	c.writeBuffer = append(c.writeBuffer, c.writeTagger.next(payload)...)
	if err := c.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return flow.Wrap("write-frame", c.peerName(), err)
	}
	if _, err := c.conn.Write(c.writeBuffer); err != nil {
		_ = c.conn.Close()
		return flow.Wrap("write-frame", c.peerName(), err)
	}
	return nil
}

// SetReadBuffer sets the size in bytes of the kernel's buffer for what was not read yet, if
// the connection has one.
func (c *Conn) SetReadBuffer(bytes int) {
	if socket, ok := c.conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = socket.SetReadBuffer(bytes)
	}
}

// Trim gives back the memory that the last frames needed, before the connection is idle.
func (c *Conn) Trim() {
	c.writing.Lock()
	defer c.writing.Unlock()
	if cap(c.writeBuffer) > keptBufferBytes {
		c.writeBuffer = nil
	}
}

// peerName is the name of the peer in errors.
func (c *Conn) peerName() string {
	return c.peer.Host + "@" + c.conn.RemoteAddr().String()
}

// tagger computes the authentication tags for one direction of a connection.
type tagger struct {
	mac      hash.Hash
	sequence uint64
	sum      []byte
}

func newTagger(key []byte) *tagger {
	return &tagger{mac: hmac.New(sha256.New, key)}
}

// next returns the tag of the next payload. The tag is valid until the next call.
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

// readPayload reads a length and a payload of at most maxBytes bytes.
func readPayload(r io.Reader, maxBytes int) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(length[:]))
	if n > maxBytes {
		return nil, Error.New("a frame of %d bytes is over the limit of %d", n, maxBytes)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	return payload, nil
}

// appendPayload appends the payload with its length in front.
func appendPayload(buffer, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	return append(buffer, payload...)
}
