package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func options(host string) framer.Options {
	return framer.Options{
		Self:            framer.Identity{Host: host},
		Secret:          []byte("sixteen characters"),
		MaxPayloadBytes: 1 << 16,
	}
}

// relay forwards connections to a target. It can drop what the target sends on the open
// connections.
type relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64

	mu       sync.Mutex
	muted    []*atomic.Bool
	muteNext bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: tcpListener, target: target}
	t.Cleanup(func() { _ = tcpListener.Close() })
	go r.serve()
	return r
}

func (r *relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.accepted.Add(1)
		muted := &atomic.Bool{}
		r.mu.Lock()
		muted.Store(r.muteNext)
		r.muteNext = false
		r.muted = append(r.muted, muted)
		r.mu.Unlock()
		go func() { _, _ = io.Copy(server, client); _ = server.Close() }()
		go func() { _, _ = io.Copy(mutableWriter{client, muted}, server); _ = client.Close() }()
	}
}

// muteNextConnection drops everything that the target sends over the next connection.
func (r *relay) muteNextConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muteNext = true
}

// muteOpenConnections drops everything that the target sends from now on over the
// connections that are open.
func (r *relay) muteOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, muted := range r.muted {
		muted.Store(true)
	}
}

type mutableWriter struct {
	io.Writer
	muted *atomic.Bool
}

func (w mutableWriter) Write(b []byte) (int, error) {
	if w.muted.Load() {
		return len(b), nil
	}
	return w.Writer.Write(b)
}

// serve serves CallDraw by an endpoint and returns the address.
func serve(t *testing.T, call endpoint.Endpoint) string {
	t.Helper()
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &listener.Listener{
		Options:   options("b"),
		Endpoints: map[messenger.Call]endpoint.Endpoint{messenger.CallDraw: call},
		Log:       logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- l.Serve(ctx, tcpListener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return tcpListener.Addr().String()
}

func echo(_ context.Context, request any) (any, error) {
	var text string
	err := request.(listener.Request).Decode(&text)
	return text, err
}

func call(d *dialer.Dialer, address string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer string
	err := d.Call(ctx, address, messenger.CallDraw, "hello", &answer)
	return answer, err
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newRelay(t, serve(t, echo))
	address := r.listener.Addr().String()
	d := dialer.New(options("a"), nil)
	defer d.Close()

	answer, err := call(d, address, 5*time.Second)
	is.NoErr(err)
	is.Equal(answer, "hello")

	r.muteOpenConnections()
	_, err = call(d, address, 50*time.Millisecond)
	is.True(errors.Is(err, context.DeadlineExceeded))

	answer, err = call(d, address, 5*time.Second)
	is.NoErr(err) // over a new connection
	is.Equal(answer, "hello")
	is.Equal(r.accepted.Load(), int64(2))
}

// TestSilentHandshakeIsGivenUp guards against calls that wait for a connection which has
// fallen silent before its handshake, while a new one would work: their host counts as silent.
func TestSilentHandshakeIsGivenUp(t *testing.T) {
	is := is.New(t)
	r := newRelay(t, serve(t, echo))
	r.muteNextConnection()
	d := dialer.New(options("a"), nil)
	defer d.Close()
	began := time.Now()
	_, err := call(d, r.listener.Addr().String(), 5*time.Second)
	is.True(err != nil)
	took := time.Since(began)
	t.Logf("given up after %v", took)
	is.True(took < 1500*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // for which it is not dialed again
	answer, err := call(d, r.listener.Addr().String(), 5*time.Second)
	is.NoErr(err)
	is.Equal(answer, "hello")
}

func TestCallErrorNamesStepAndPeer(t *testing.T) {
	cases := map[string]struct {
		call endpoint.Endpoint
		want string
	}{
		"endpoint fails": {
			call: func(context.Context, any) (any, error) { return nil, errors.New("not the owner") },
			want: "not the owner",
		},
		"answer of another type": {
			call: func(context.Context, any) (any, error) { return []int{1}, nil },
			want: "decode draw",
		},
		"malformed request closes the connection": {
			call: func(_ context.Context, request any) (any, error) {
				var wrong struct{ A []int }
				return nil, request.(listener.Request).Decode(&wrong)
			},
			want: "EOF",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, tc.call)
			d := dialer.New(options("a"), nil)
			defer d.Close()
			_, err := call(d, address, 5*time.Second)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want))
			is.True(strings.HasPrefix(err.Error(), "draw: "+address))
		})
	}
}

// TestNotOwnerErrorIsRecognisedAcrossCall checks that the answer of a daemon that is not
// the owner is distinguished from other errors, even from one with the same text.
func TestNotOwnerErrorIsRecognisedAcrossCall(t *testing.T) {
	cases := map[string]struct {
		err  error
		want bool
	}{
		"not the owner":                  {flow.NotOwnerError("not the owner"), true},
		"wrapped":                        {flow.Wrap("grant", "share 1", flow.NotOwnerError("not the owner")), true},
		"other error with the same text": {errors.New("not the owner"), false},
		"deadline exceeded at the owner": {context.DeadlineExceeded, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(context.Context, any) (any, error) { return nil, tc.err })
			d := dialer.New(options("a"), nil)
			defer d.Close()
			_, err := call(d, address, 5*time.Second)
			is.True(err != nil)
			is.Equal(flow.IsNotOwner(err), tc.want)
			is.True(strings.HasSuffix(err.Error(), tc.err.Error()))
		})
	}
}
