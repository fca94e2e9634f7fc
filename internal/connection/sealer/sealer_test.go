package sealer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
)

// peer accepts connections, serves each by a given function, and counts the bytes that it
// receives.
type peer struct {
	listener net.Listener
	received atomic.Int64 // bytes
}

func newPeer(t *testing.T, serve func(p *peer, conn net.Conn)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &peer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(p, conn)
		}
	}()
	return p
}

// readAll counts the bytes of a connection without answering.
func readAll(p *peer, conn net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		p.received.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// transport returns a transport that waits before it dials.
func transport(delay time.Duration) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return sealer.NewConn(conn, nil), nil
	}}
}

func TestSealReportsWhetherNothingWasSent(t *testing.T) {
	cases := map[string]struct {
		serve      func(p *peer, conn net.Conn)
		closed     bool // the peer does not listen
		dialDelay  time.Duration
		wantUnsent bool
	}{
		"connection refused": {
			closed: true, serve: readAll, wantUnsent: true,
		},
		"context ends while connecting": {
			serve: readAll, dialDelay: time.Minute, wantUnsent: true,
		},
		"request is sent and there is no response": {
			serve: readAll, wantUnsent: false,
		},
		"request is sent and the peer closes the connection": {
			serve: func(_ *peer, conn net.Conn) {
				_, _ = io.ReadFull(conn, make([]byte, 10))
				_ = conn.Close()
			},
			wantUnsent: false,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, tc.serve)
			if tc.closed {
				_ = p.listener.Close()
			}
			client := transport(tc.dialDelay)
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			attempt := &sealer.Attempt{}
			request, err := http.NewRequestWithContext(attempt.Trace(ctx), http.MethodPost,
				"http://"+p.listener.Addr().String(), io.MultiReader(strings.NewReader("a body")))
			is.NoErr(err)
			_, err = client.RoundTrip(request)
			is.True(err != nil)
			is.Equal(attempt.Seal(), tc.wantUnsent)
		})
	}
}

func TestSealedConnectionBlocksWrites(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, readAll)
	raw, err := net.Dial("tcp", p.listener.Addr().String())
	is.NoErr(err)
	conn := sealer.NewConn(raw, nil)
	sealer.Seal(conn)
	_, err = conn.Write([]byte("late"))
	is.True(sealer.Error.Has(err) || errors.Is(err, net.ErrClosed))
	is.Equal(p.received.Load(), int64(0))
}

// TestCloseTellsWhetherPeerEndedConnection checks the argument of onClose.
func TestCloseTellsWhetherPeerEndedConnection(t *testing.T) {
	cases := map[string]struct {
		reset bool
		want  bool
	}{
		"write fails on a reset connection": {true, true},
		"connection is closed locally":      {false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			raw, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			var byPeer atomic.Bool
			conn := sealer.NewConn(raw, byPeer.Store)
			peer, err := listener.Accept()
			is.NoErr(err)
			if tc.reset {
				is.NoErr(peer.(*net.TCPConn).SetLinger(0))
				is.NoErr(peer.Close())
				for err == nil {
					_, err = conn.Write([]byte("late"))
				}
			}
			_ = conn.Close()
			is.Equal(byPeer.Load(), tc.want)
		})
	}
}
