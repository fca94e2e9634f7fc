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

const limit = 1 << 10

func options(host, secret string) framer.Options {
	return framer.Options{
		Self:            framer.Identity{Host: host, Incarnation: 1},
		Secret:          []byte(secret),
		MaxPayloadBytes: limit,
	}
}

type end struct {
	conn *framer.Conn
	err  error
}

// connect performs both sides of the handshake over loopback. Between them,
// meddle may alter what the client sends.
func connect(t *testing.T, client, server framer.Options, meddle func(net.Conn) net.Conn) (clientEnd, serverEnd end) {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepting.Close() }()
	served := make(chan end, 1)
	go func() {
		raw, err := accepting.Accept()
		if err != nil {
			served <- end{err: err}
			return
		}
		conn, err := framer.Server(raw, server)
		served <- end{conn, err}
	}()
	raw, err := net.Dial("tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := framer.Client(meddle(raw), client)
	clientEnd, serverEnd = end{conn, err}, <-served
	t.Cleanup(func() {
		for _, e := range []end{clientEnd, serverEnd} {
			if e.conn != nil {
				_ = e.conn.Close()
			}
		}
	})
	return clientEnd, serverEnd
}

func untouched(conn net.Conn) net.Conn { return conn }

// meddler alters, repeats or drops the n-th write of a connection.
type meddler struct {
	net.Conn
	writes int
	nth    int
	alter  func([]byte) [][]byte
}

func (m *meddler) Write(b []byte) (int, error) {
	m.writes++
	if m.writes != m.nth {
		return m.Conn.Write(b)
	}
	for _, part := range m.alter(bytes.Clone(b)) {
		if _, err := m.Conn.Write(part); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

func TestHandshake(t *testing.T) {
	const secret = "sixteen characters"
	cases := map[string]struct {
		client, server framer.Options
		meddle         func(net.Conn) net.Conn
		want           string // part of either end's error; empty for success
	}{
		"both know the secret": {
			client: options("a", secret), server: options("b", secret), meddle: untouched,
		},
		"client does not know the secret": {
			client: options("a", "another secret...."), server: options("b", secret), meddle: untouched,
			want: "does not know the shared secret",
		},
		"identity altered on the way": {
			client: options("a", secret), server: options("b", secret),
			meddle: func(conn net.Conn) net.Conn {
				return &meddler{Conn: conn, nth: 1, alter: func(b []byte) [][]byte {
					return [][]byte{bytes.Replace(b, []byte("\xa1h\xa1a"), []byte("\xa1h\xa1z"), 1)}
				}}
			},
			want: "does not know the shared secret",
		},
		"oversized hello": {
			client: options(strings.Repeat("a", 600), secret), server: options("b", secret), meddle: untouched,
			want: "over the limit of 512",
		},
		"not a hello": {
			client: options("a", secret), server: options("b", secret),
			meddle: func(conn net.Conn) net.Conn {
				return &meddler{Conn: conn, nth: 1, alter: func([]byte) [][]byte {
					return [][]byte{{0, 0, 0, 3, 0xc1, 0xff, 0x00}}
				}}
			},
			want: "malformed hello",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := connect(t, tc.client, tc.server, tc.meddle)
			if tc.want == "" {
				is.NoErr(client.err)
				is.NoErr(server.err)
				is.Equal(client.conn.Peer().Host, "b")
				is.Equal(server.conn.Peer().Host, "a")
				return
			}
			is.True(client.err != nil || server.err != nil)
			both := errorText(client.err) + errorText(server.err)
			is.True(strings.Contains(both, tc.want)) // names the cause
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

func TestAlteredFramesEndTheConnection(t *testing.T) {
	const firstFrame = 3 // after the hello and the proof
	cases := map[string]struct {
		alter func([]byte) [][]byte
		want  string
	}{
		"payload altered": {
			alter: func(b []byte) [][]byte { b[5] ^= 1; return [][]byte{b} },
			want:  "tag",
		},
		"length over the limit": {
			alter: func(b []byte) [][]byte {
				binary.BigEndian.PutUint32(b, limit+1)
				return [][]byte{b}
			},
			want: "over the limit",
		},
		"frame dropped": {
			alter: func([]byte) [][]byte { return nil },
			want:  "tag",
		},
		"frame repeated": {
			alter: func(b []byte) [][]byte { return [][]byte{b, b} },
			want:  "tag",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			meddle := func(conn net.Conn) net.Conn {
				return &meddler{Conn: conn, nth: firstFrame, alter: tc.alter}
			}
			const secret = "sixteen characters"
			client, server := connect(t, options("a", secret), options("b", secret), meddle)
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

func TestFramesArriveInOrderAndWhole(t *testing.T) {
	is := is.New(t)
	const secret = "sixteen characters"
	client, server := connect(t, options("a", secret), options("b", secret), untouched)
	is.NoErr(client.err)
	is.NoErr(server.err)
	payloads := [][]byte{{}, []byte("x"), bytes.Repeat([]byte("y"), limit)}
	for _, payload := range payloads {
		is.NoErr(client.conn.Write(payload))
	}
	for _, payload := range payloads {
		received, err := server.conn.Read()
		is.NoErr(err)
		is.True(bytes.Equal(received, payload))
	}
	is.True(client.conn.Write(make([]byte, limit+1)) != nil)
	_ = client.conn.Close()
	_, err := server.conn.Read()
	is.True(strings.Contains(err.Error(), io.EOF.Error()))
}
