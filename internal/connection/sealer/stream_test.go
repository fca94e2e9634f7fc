package sealer_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
)

// waitingConn is a connection whose peer reads nothing and has ended its stream. A write waits
// for the time that it takes to return its error, or for a deadline if it has none.
type waitingConn struct {
	net.Conn
	writeError error
	writing    chan struct{} // closed when the write has begun
	deadline   chan struct{} // closed when writes have a deadline
	once       sync.Once
}

func (*waitingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *waitingConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.writeError != nil {
		time.Sleep(20 * time.Millisecond)
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.writeError)}
	}
	<-c.deadline
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

func (c *waitingConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

// TestEndOfStreamIsNoReset guards against a reset that looks like the end of a body, because
// the kernel reported it to the write beside the read, which may return after the read; and
// against an end that is noticed only when the peer takes what is written.
func TestEndOfStreamIsNoReset(t *testing.T) {
	cases := map[string]struct {
		writeError error // nil for a write that waits for the peer
		isEnd      bool
	}{
		"the peer has reset the connection":           {syscall.ECONNRESET, false},
		"the peer does not acknowledge what is sent":  {syscall.ETIMEDOUT, false},
		"the peer's host is out of reach":             {syscall.EHOSTUNREACH, false},
		"the peer has closed and reads nothing":       {syscall.EPIPE, true},
		"the peer has ended its stream, and may read": {nil, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := &waitingConn{writeError: tc.writeError, writing: make(chan struct{}), deadline: make(chan struct{})}
			conn := sealer.NewConn(raw, nil)
			go func() { _, _ = conn.Write([]byte("upload")) }()
			<-raw.writing
			defer time.AfterFunc(2*time.Second, func() { _ = raw.SetWriteDeadline(time.Time{}) }).Stop()
			began := time.Now()
			_, err := conn.Read(make([]byte, 1))
			is.True(err != nil)
			is.True(time.Since(began) < time.Second)
			is.Equal(errors.Is(err, io.EOF), tc.isEnd)
		})
	}
}
