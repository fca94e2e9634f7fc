package framer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
)

const maxPayloadBytes = 1 << 10

func options(host, secret string) framer.Options {
	return framer.Options{
		Self:            framer.Identity{Host: host, Incarnation: 1},
		Secret:          []byte(secret),
		MaxPayloadBytes: maxPayloadBytes,
	}
}

// end is one end of a connection, or the error of its handshake.
type end struct {
	conn *framer.Conn
	err  error
}

// connect performs both sides of the handshake over loopback. The connection that tamper
// returns may alter what the client sends.
func connect(t *testing.T, client, server framer.Options, tamper func(net.Conn) net.Conn) (clientEnd, serverEnd end) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	serverEnds := make(chan end, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			serverEnds <- end{err: err}
			return
		}
		conn, err := framer.Server(raw, server)
		serverEnds <- end{conn, err}
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := framer.Client(tamper(raw), client)
	clientEnd, serverEnd = end{conn, err}, <-serverEnds
	t.Cleanup(func() {
		for _, e := range []end{clientEnd, serverEnd} {
			if e.conn != nil {
				_ = e.conn.Close()
			}
		}
	})
	return clientEnd, serverEnd
}

func untampered(conn net.Conn) net.Conn { return conn }

// tamperingConn alters, repeats or drops the nth write on a connection.
type tamperingConn struct {
	net.Conn
	writes int
	nth    int
	alter  func([]byte) [][]byte
}

func (c *tamperingConn) Write(b []byte) (int, error) {
	c.writes++
	if c.writes != c.nth {
		return c.Conn.Write(b)
	}
	for _, part := range c.alter(bytes.Clone(b)) {
		if _, err := c.Conn.Write(part); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

func TestHandshake(t *testing.T) {
	const secret = "sixteen characters"
	cases := map[string]struct {
		client, server framer.Options
		tamper         func(net.Conn) net.Conn
		want           string // part of the error of either end; empty if the handshake succeeds
	}{
		"both ends know the secret": {
			client: options("a", secret), server: options("b", secret), tamper: untampered,
		},
		"client does not know the secret": {
			client: options("a", "another secret...."), server: options("b", secret), tamper: untampered,
			want: "does not know the shared secret",
		},
		"identity is altered in transit": {
			client: options("a", secret), server: options("b", secret),
			tamper: func(conn net.Conn) net.Conn {
				return &tamperingConn{Conn: conn, nth: 1, alter: func(b []byte) [][]byte {
					return [][]byte{bytes.Replace(b, []byte("\xa1h\xa1a"), []byte("\xa1h\xa1z"), 1)}
				}}
			},
			want: "does not know the shared secret",
		},
		"hello is too large": {
			client: options(strings.Repeat("a", 600), secret), server: options("b", secret), tamper: untampered,
			want: "over the limit of 512",
		},
		"hello is malformed": {
			client: options("a", secret), server: options("b", secret),
			tamper: func(conn net.Conn) net.Conn {
				return &tamperingConn{Conn: conn, nth: 1, alter: func([]byte) [][]byte {
					return [][]byte{{0, 0, 0, 3, 0xc1, 0xff, 0x00}}
				}}
			},
			want: "malformed hello",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := connect(t, tc.client, tc.server, tc.tamper)
			if tc.want == "" {
				is.NoErr(client.err)
				is.NoErr(server.err)
				is.Equal(client.conn.Peer().Host, "b")
				is.Equal(server.conn.Peer().Host, "a")
				return
			}
			is.True(client.err != nil || server.err != nil)
			both := errorText(client.err) + errorText(server.err)
			is.True(strings.Contains(both, tc.want))
			is.True(strings.Contains(both, "handshake: 127.0.0.1:"))
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestTamperedFrameEndsConnection(t *testing.T) {
	const firstFrame = 3 // after the hello and the proof
	cases := map[string]struct {
		alter func([]byte) [][]byte
		want  string
	}{
		"payload is altered": {
			alter: func(b []byte) [][]byte { b[5] ^= 1; return [][]byte{b} },
			want:  "tag",
		},
		"length is over the limit": {
			alter: func(b []byte) [][]byte {
				binary.BigEndian.PutUint32(b, maxPayloadBytes+1)
				return [][]byte{b}
			},
			want: "over the limit",
		},
		"frame is dropped": {
			alter: func([]byte) [][]byte { return nil },
			want:  "tag",
		},
		"frame is repeated": {
			alter: func(b []byte) [][]byte { return [][]byte{b, b} },
			want:  "tag",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tamper := func(conn net.Conn) net.Conn {
				return &tamperingConn{Conn: conn, nth: firstFrame, alter: tc.alter}
			}
			const secret = "sixteen characters"
			client, server := connect(t, options("a", secret), options("b", secret), tamper)
			is.NoErr(client.err)
			is.NoErr(server.err)
			is.NoErr(client.conn.Write([]byte("first")))
			is.NoErr(client.conn.Write([]byte("second")))
			var err error
			for err == nil {
				_, err = server.conn.Read()
			}
			is.True(strings.Contains(err.Error(), tc.want))
			is.True(strings.Contains(err.Error(), "read-frame: a@127.0.0.1"))
		})
	}
}

func TestFramesArriveInOrderAndComplete(t *testing.T) {
	is := is.New(t)
	const secret = "sixteen characters"
	client, server := connect(t, options("a", secret), options("b", secret), untampered)
	is.NoErr(client.err)
	is.NoErr(server.err)
	payloads := [][]byte{{}, []byte("x"), bytes.Repeat([]byte("y"), maxPayloadBytes)}
	for _, payload := range payloads {
		is.NoErr(client.conn.Write(payload))
	}
	for _, payload := range payloads {
		received, err := server.conn.Read()
		is.NoErr(err)
		is.True(bytes.Equal(received, payload))
	}
	is.True(client.conn.Write(make([]byte, maxPayloadBytes+1)) != nil)
	_ = client.conn.Close()
	_, err := server.conn.Read()
	is.True(strings.Contains(err.Error(), io.EOF.Error()))
}
