// Package sealer wraps connections so that they can be sealed. Sealing a connection blocks
// every later write, closes the connection, and reports whether an attempt of a request
// has written to it.
//
// An error from an HTTP client shows that an attempt failed, but not whether the server
// may have received the request. An attempt that was sealed before its first byte was
// written has certainly not run.
package sealer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of sealed connections.
var Error = errs.Class("connection")

// Conn is a connection that counts the bytes written to it and can be sealed.
type Conn struct {
	net.Conn

	onClose   func(byPeer bool)
	closeOnce sync.Once

	mu            sync.Mutex
	written       int64 // bytes
	attempts      int   // that have obtained the connection
	attributed    int   // attempts whose response was recorded as their own
	sealed        bool
	closedByPeer  bool  // the peer closed or reset the connection
	broken        error // of the first write that failed because the connection broke
	closeExpected bool  // the peer announced that it would close the connection
}

// SetReadBuffer sets the size in bytes of the kernel's buffer for what was not read yet, if
// the connection has one.
func (c *Conn) SetReadBuffer(bytes int) error {
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return nil
}

// NewConn wraps conn. The first Close calls onClose, unless that is nil. The argument byPeer
// is true if the peer closed or reset the connection without having announced it.
func NewConn(conn net.Conn, onClose func(byPeer bool)) *Conn {
	return &Conn{Conn: conn, onClose: onClose}
}

// Read implements io.Reader. It returns io.EOF only if the peer has ended the stream, so that
// the end of the connection may be the end of a body.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	if isClosedByPeer(err) {
		c.mu.Lock()
		c.closedByPeer = true
		c.mu.Unlock()
	}
	return n, err
}

// endOfStream returns the error of a read that has found the end of the stream. The kernel
// reports a reset to one call only: if that is a write, the read beside it finds the same end as
// after a close by the peer. The write has then got its error, but may not have returned yet.
func (c *Conn) endOfStream() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // a write that waits for a peer without an end would hold the lock
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// isBroken reports whether the error of a write means that the connection broke. After EPIPE it
// need not have: the peer has ended its stream before it refused to read on.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// isClosedByPeer reports whether an error of a connection means that the peer closed or
// reset it.
func isClosedByPeer(err error) bool {
	var timeout net.Error
	return err != nil && !errors.Is(err, net.ErrClosed) && !(errors.As(err, &timeout) && timeout.Timeout())
}

// Close implements io.Closer.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		if c.onClose != nil {
			c.onClose(c.closedUnexpectedly())
		}
	})
	return err
}

func (c *Conn) closedUnexpectedly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedByPeer && !c.closeExpected
}

// Write implements io.Writer. It fails if the connection is sealed.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, Error.New("sealed")
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	c.closedByPeer = c.closedByPeer || isClosedByPeer(err)
	if c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// seal blocks later writes, closes the connection, and returns the number of bytes that
// were written to it in total.
func (c *Conn) seal() int64 {
	// Close before locking: it makes a blocked write return and release the lock.
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

func (c *Conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *Conn) addAttempt() (written int64, earlier int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	return c.written, c.attempts - 1
}

// Attempt tracks one attempt of an HTTP request over the connections that the transport
// obtains for it. It is safe for concurrent use.
type Attempt struct {
	// Guard, if it is not nil, is called each time the attempt has obtained a connection.
	// If it returns false, the attempt is sealed before its first byte is written.
	Guard func() bool

	mu          sync.Mutex
	conn        *Conn
	startOffset int64 // bytes written to conn before the attempt
	earlier     int   // attempts that had obtained conn before
	maybeSent   bool  // bytes may have been written to another connection of the attempt
	connected   bool
	sealed      bool
}

// Trace returns a context that makes an HTTP transport report the attempt's connections.
// The transport's dialer must wrap its connections by NewConn.
func (a *Attempt) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.maybeSent = true
		return
	}
	if !a.sealed && a.Guard != nil && !a.Guard() {
		a.sealed = true
	}
	if a.sealed {
		conn.seal()
		return
	}
	if a.conn != nil && a.conn.bytesWritten() > a.startOffset {
		a.maybeSent = true
	}
	a.connected = true
	a.conn = conn
	a.startOffset, a.earlier = conn.addAttempt()
}

// Seal ends the attempt, so that no more bytes of it are written. It reports whether
// certainly no byte of it was written before.
func (a *Attempt) Seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	if a.conn == nil {
		return !a.maybeSent
	}
	return a.conn.seal() == a.startOffset && !a.maybeSent
}

// ExpectClose records that the peer announced to close the connection after its response.
func (a *Attempt) ExpectClose() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.mu.Lock()
		a.conn.closeExpected = true
		a.conn.mu.Unlock()
	}
}

// Connected reports whether the attempt has obtained a connection without being sealed
// first.
func (a *Attempt) Connected() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connected
}

// Reused reports whether the attempt's connection has been written to before.
func (a *Attempt) Reused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn == nil || a.startOffset > 0
}

// RecordOwnResponse records that the response was certainly that to this attempt, and that
// no copy of it can be taken for the response to another.
func (a *Attempt) RecordOwnResponse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.mu.Lock()
		a.conn.attributed++
		a.conn.mu.Unlock()
	}
}

// AllEarlierAttributed reports whether every earlier attempt on the connection has a response
// of its own recorded, so that none of these can come again as the response to this one.
func (a *Attempt) AllEarlierAttributed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	return a.conn.attributed >= a.earlier
}
