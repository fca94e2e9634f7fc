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
	// silenceWindow is how long a silent direction is watched for bytes.
	silenceWindow = 50 * time.Millisecond
	// readTimeout bounds the wait for bytes or an end that must arrive.
	readTimeout = 10 * time.Second
)

// fixture is a link to a target whose accepted connections go to a channel.
type fixture struct {
	*is.I
	link     *interrupter.Link
	accepted chan net.Conn
}

func start(t *testing.T) *fixture {
	f := &fixture{I: is.New(t), accepted: make(chan net.Conn, 10)}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	f.NoErr(err)
	t.Cleanup(func() { target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			f.accepted <- conn
		}
	}()
	i, err := interrupter.New(t.Context(), interrupter.Options{
		Links: []interrupter.LinkOptions{{Name: "a", Target: target.Addr().String()}},
	})
	f.NoErr(err)
	f.link = i.Link("a")
	return f
}

// connect opens a connection through the link and checks that it works in both
// directions.
func (f *fixture) connect() (caller, target net.Conn) {
	caller, err := net.Dial("tcp", f.link.Addr())
	f.NoErr(err)
	target = <-f.accepted
	f.expectDelivery(caller, target, "hello")
	f.expectDelivery(target, caller, "welcome")
	return caller, target
}

func (f *fixture) expectDelivery(from, to net.Conn, text string) {
	f.Helper()
	_, err := from.Write([]byte(text))
	f.NoErr(err)
	f.read(to, text)
}

func (f *fixture) read(conn net.Conn, text string) {
	f.Helper()
	got := make([]byte, len(text))
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	_, err := io.ReadFull(conn, got)
	f.NoErr(err)
	f.Equal(string(got), text)
}

// expectSilence checks that to receives neither what from writes nor an end.
func (f *fixture) expectSilence(from, to net.Conn) {
	f.Helper()
	_, err := from.Write([]byte("lost"))
	f.NoErr(err)
	to.SetReadDeadline(time.Now().Add(silenceWindow))
	_, err = to.Read(make([]byte, 1))
	var timeout net.Error
	f.True(errors.As(err, &timeout) && timeout.Timeout())
}

func TestSwallowDropsOneDirectionForGood(t *testing.T) {
	cases := map[string]struct {
		direction         interrupter.Direction
		forward, backward bool // the directions that lose bytes
	}{
		"forward":  {direction: interrupter.Forward, forward: true},
		"backward": {direction: interrupter.Backward, backward: true},
		"both":     {direction: interrupter.Both, forward: true, backward: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			caller, target := f.connect()
			f.NoErr(f.link.Set(tc.direction, interrupter.Fault{Kind: interrupter.Swallow}))
			check := func(lost bool, from, to net.Conn) {
				if lost {
					f.expectSilence(from, to)
				} else {
					f.expectDelivery(from, to, "through")
				}
			}
			check(tc.forward, caller, target)
			check(tc.backward, target, caller)
			f.NoErr(f.link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass}))
			check(tc.forward, caller, target) // a stream with a gap stays silent
			check(tc.backward, target, caller)
			f.connect()
		})
	}
}

func TestHeldBytesAreDeliveredAfterTheFault(t *testing.T) {
	f := start(t)
	caller, target := f.connect()
	f.NoErr(f.link.Set(interrupter.Forward, interrupter.Fault{Kind: interrupter.Hold}))
	f.expectSilence(caller, target)
	f.expectDelivery(target, caller, "through")
	f.NoErr(f.link.Set(interrupter.Forward, interrupter.Fault{Kind: interrupter.Pass}))
	f.read(target, "lost")
}

func TestCutResetsAndRefusesUntilRemoved(t *testing.T) {
	f := start(t)
	caller, target := f.connect()
	f.NoErr(f.link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Cut}))
	for _, conn := range []net.Conn{caller, target} {
		conn.SetReadDeadline(time.Now().Add(readTimeout))
		_, err := conn.Read(make([]byte, 1))
		f.True(errors.Is(err, syscall.ECONNRESET))
	}
	_, err := net.Dial("tcp", f.link.Addr())
	f.True(errors.Is(err, syscall.ECONNREFUSED))
	f.NoErr(f.link.Set(interrupter.Both, interrupter.Fault{Kind: interrupter.Pass}))
	f.connect()
}

func TestSilenceOpenAffectsOnlyOpenConnections(t *testing.T) {
	f := start(t)
	caller, target := f.connect()
	f.link.SilenceOpen()
	f.expectSilence(caller, target)
	f.expectSilence(target, caller)
	f.connect()
	target.Close()
	f.expectSilence(caller, caller) // the end isn't forwarded either
}

func TestStreamEndsAfterBytes(t *testing.T) {
	cases := map[string]struct {
		kind interrupter.Kind
		end  error
	}{
		"truncate": {kind: interrupter.Truncate, end: io.EOF},
		"reset":    {kind: interrupter.Reset, end: syscall.ECONNRESET},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			caller, target := f.connect()
			f.NoErr(f.link.Set(interrupter.Backward, interrupter.Fault{Kind: tc.kind, Bytes: 9}))
			f.expectDelivery(caller, target, "the other way is longer")
			f.expectDelivery(target, caller, "123456")
			target.Write([]byte("789cut"))
			f.read(caller, "789")
			_, err := caller.Read(make([]byte, 1))
			f.True(errors.Is(err, tc.end))
		})
	}
}

func TestDelayDoesNotLimitThroughput(t *testing.T) {
	const delay, rounds, size = 100 * time.Millisecond, 50, 4096
	f := start(t)
	caller, target := f.connect()
	fault := interrupter.Fault{Kind: interrupter.Pass, Delay: delay, Jitter: delay / 10}
	f.NoErr(f.link.Set(interrupter.Forward, fault))
	begun := time.Now()
	go func() {
		for range rounds {
			caller.Write(make([]byte, size))
			time.Sleep(time.Millisecond) // so that each write becomes its own chunk
		}
	}()
	target.SetReadDeadline(time.Now().Add(readTimeout))
	_, err := io.ReadFull(target, make([]byte, rounds*size))
	f.NoErr(err)
	elapsed := time.Since(begun)
	f.True(elapsed >= delay)
	f.True(elapsed < delay*rounds/2)
}
