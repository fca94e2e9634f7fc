package linker_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/linker"
)

const (
	delay  = 2 * time.Millisecond
	server = "10.1.0.1"
	client = "10.2.0.1"
)

// connect returns both ends of a connection.
func connect(t *testing.T, n *linker.Network) (dialed, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := n.Listen(server + ":1")
	is.NoErr(err)
	dialed, err = n.Host(client).DialContext(t.Context(), "tcp", server+":1")
	is.NoErr(err)
	accepted, err = l.Accept()
	is.NoErr(err)
	return dialed, accepted
}

func TestConnection(t *testing.T) {
	cases := map[string]func(is *is.I, n *linker.Network, dialed, accepted net.Conn){
		"bytes arrive after the delay, then the end": func(is *is.I, _ *linker.Network, dialed, accepted net.Conn) {
			began := time.Now()
			_, err := dialed.Write([]byte("one"))
			is.NoErr(err)
			is.NoErr(dialed.Close())
			got, err := io.ReadAll(accepted)
			is.NoErr(err)
			is.Equal(string(got), "one")
			is.Equal(time.Since(began), delay)
		},
		"a deadline ends a read": func(is *is.I, _ *linker.Network, dialed, _ net.Conn) {
			is.NoErr(dialed.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := dialed.Read(make([]byte, 1))
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
		},
		"bytes are held while a host is silent": func(is *is.I, n *linker.Network, dialed, accepted net.Conn) {
			began := time.Now()
			n.Silence(client, true)
			time.AfterFunc(time.Second, func() { n.Silence(client, false) })
			_, err := dialed.Write([]byte("one"))
			is.NoErr(err)
			_, err = accepted.Read(make([]byte, 3))
			is.NoErr(err)
			is.Equal(time.Since(began), time.Second)
		},
		"the end of a host resets its connections": func(is *is.I, n *linker.Network, dialed, accepted net.Conn) {
			n.Reset(server)
			_, err := dialed.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET))
			_, err = accepted.Read(make([]byte, 1))
			is.True(errors.Is(err, net.ErrClosed))
			_, err = n.Host(client).DialContext(context.Background(), "tcp", server+":1")
			is.True(errors.Is(err, syscall.ECONNREFUSED))
		},
		"traffic is counted": func(is *is.I, n *linker.Network, dialed, _ net.Conn) {
			_, err := dialed.Write([]byte("one"))
			is.NoErr(err)
			path := linker.Path{From: client, To: server}
			is.Equal(n.Traffic().Bytes[path], 3)
			is.Equal(n.Traffic().Connections[path], 1)
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := linker.New(delay, func(host string) string { return host })
				defer n.Close()
				dialed, accepted := connect(t, n)
				tc(is.New(t), n, dialed, accepted)
			})
		})
	}
}

// TestSilentHostIsNotReached checks that a connection to a silent host waits for the end of
// the context.
func TestSilentHostIsNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := linker.New(delay, func(host string) string { return host })
		defer n.Close()
		n.Silence(server, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := n.Host(client).DialContext(ctx, "tcp", server+":1")
		is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
		is.New(t).Equal(time.Since(began), time.Second)
	})
}
