package interrupter_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
)

const (
	// silence is how long nothing must come from a silent direction.
	silence = 50 * time.Millisecond
	// patience bounds every wait for something that must come.
	patience = 10 * time.Second
)

// world is a link to a target that hands over the connections it accepts.
type world struct {
	*is.I
	link     *interrupter.Link
	accepted chan net.Conn
}

func start(t *testing.T) *world {
	w := &world{I: is.New(t), accepted: make(chan net.Conn, 10)}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	w.NoErr(err)
	t.Cleanup(func() { target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			w.accepted <- conn
		}
	}()
	i, err := interrupter.New(t.Context(), interrupter.Options{
		Links: []interrupter.LinkOptions{{Name: "a", Target: target.Addr().String()}},
	})
	w.NoErr(err)
	w.link = i.Link("a")
	return w
}

// connect opens a connection through the link and proves that it works both
// ways.
func (w *world) connect() (caller, target net.Conn) {
	caller, err := net.Dial("tcp", w.link.Addr())
	w.NoErr(err)
	target = <-w.accepted
	w.expect(caller, target, "hello")
	w.expect(target, caller, "welcome")
	return caller, target
}

func (w *world) expect(from, to net.Conn, text string) {
	w.Helper()
	_, err := from.Write([]byte(text))
	w.NoErr(err)
	w.read(to, text)
}

func (w *world) read(conn net.Conn, text string) {
	w.Helper()
	got := make([]byte, len(text))
	conn.SetReadDeadline(time.Now().Add(patience))
	_, err := io.ReadFull(conn, got)
	w.NoErr(err)
	w.Equal(string(got), text)
}

// expectSilence proves that what from writes is not seen by to, nor an end.
func (w *world) expectSilence(from, to net.Conn) {
	w.Helper()
	_, err := from.Write([]byte("lost"))
	w.NoErr(err)
	to.SetReadDeadline(time.Now().Add(silence))
	_, err = to.Read(make([]byte, 1))
	var timeout net.Error
	w.True(errors.As(err, &timeout) && timeout.Timeout())
}

func TestOneWayLoss(t *testing.T) {
	cases := map[string]struct {
		direction         interrupter.Direction
		forward, backward bool // what is lost
	}{
		"forward":  {direction: interrupter.Forward, forward: true},
		"backward": {direction: interrupter.Backward, backward: true},
		"both":     {direction: interrupter.Both, forward: true, backward: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := start(t)
			caller, target := w.connect()
			w.NoErr(w.link.Set(tc.direction, interrupter.Fault{Kind: interrupter.Swallow}))
			check := func(lost bool, from, to net.Conn) {
				if lost {
					w.expectSilence(from, to)
				} else {
					w.expect(from, to, "through")
				}
			}
			check(tc.forward, caller, target)
			check(tc.backward, target, caller)
			w.NoErr(w.link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass}))
			check(tc.forward, caller, target) // a stream with a hole stays silent
			check(tc.backward, target, caller)
			w.connect()
		})
	}
}

func TestHeldBytesComeLater(t *testing.T) {
	w := start(t)
	caller, target := w.connect()
	w.NoErr(w.link.Set(interrupter.Forward, interrupter.Fault{Kind: interrupter.Hold}))
	w.expectSilence(caller, target)
	w.expect(target, caller, "through")
	w.NoErr(w.link.Set(interrupter.Forward, interrupter.Fault{Kind: interrupter.Pass}))
	w.read(target, "lost")
}

func TestCutAndRestore(t *testing.T) {
	w := start(t)
	caller, target := w.connect()
	w.NoErr(w.link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Cut}))
	for _, conn := range []net.Conn{caller, target} {
		conn.SetReadDeadline(time.Now().Add(patience))
		_, err := conn.Read(make([]byte, 1))
		w.True(errors.Is(err, syscall.ECONNRESET))
	}
	_, err := net.Dial("tcp", w.link.Addr())
	w.True(errors.Is(err, syscall.ECONNREFUSED))
	w.NoErr(w.link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass}))
	w.connect()
}

func TestSilenceOfOpenConnections(t *testing.T) {
	w := start(t)
	caller, target := w.connect()
	w.link.SilenceOpen()
	w.expectSilence(caller, target)
	w.expectSilence(target, caller)
	w.connect()
	target.Close()
	w.expectSilence(caller, caller) // not even the end is heard
}

func TestShortStreams(t *testing.T) {
	cases := map[string]struct {
		kind interrupter.Kind
		end  error
	}{
		"truncate": {kind: interrupter.Truncate, end: io.EOF},
		"reset":    {kind: interrupter.Reset, end: syscall.ECONNRESET},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := start(t)
			caller, target := w.connect()
			w.NoErr(w.link.Set(interrupter.Backward, interrupter.Fault{Kind: tc.kind, Bytes: 9}))
			w.expect(caller, target, "the other way is longer")
			w.expect(target, caller, "123456")
			target.Write([]byte("789cut"))
			w.read(caller, "789")
			_, err := caller.Read(make([]byte, 1))
			w.True(errors.Is(err, tc.end))
		})
	}
}

func TestDelayDoesNotLimitThroughput(t *testing.T) {
	const delay, rounds, size = 100 * time.Millisecond, 50, 4096
	w := start(t)
	caller, target := w.connect()
	fault := interrupter.Fault{Kind: interrupter.Pass, Delay: delay, Jitter: delay / 10}
	w.NoErr(w.link.Set(interrupter.Forward, fault))
	begin := time.Now()
	go func() {
		for range rounds {
			caller.Write(make([]byte, size))
			time.Sleep(time.Millisecond) // so that each is a chunk of its own
		}
	}()
	target.SetReadDeadline(time.Now().Add(patience))
	_, err := io.ReadFull(target, make([]byte, rounds*size))
	w.NoErr(err)
	took := time.Since(begin)
	w.True(took >= delay)
	w.True(took < delay*rounds/2)
}
