// Control connections over loopback with both ends in this process.

package measurer

import (
	"context"
	"errors"
	"net"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// frameOverheadBytes is what a frame adds to its payload: 4 bytes of length and a
	// tag.
	frameOverheadBytes = 4 + framer.TagSize
	// maxFrameBytes bounds a frame.
	maxFrameBytes = 4 << 20
)

func frameOptions(host string) framer.Options {
	return framer.Options{
		Self:            framer.Identity{Host: host, Incarnation: 1 << 60},
		Secret:          []byte("a secret for loopback only"),
		MaxPayloadBytes: maxFrameBytes,
	}
}

// newDialer returns the calling end of a connection.
func newDialer() *dialer.Dialer { return dialer.New(frameOptions(hostName(0)), nil) }

// withListener serves one call on loopback while use runs. It passes use a dialer
// and the address.
func withListener(ctx context.Context, call messenger.Call, serve endpoint.Endpoint, use func(d *dialer.Dialer, address string) error) error {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return flow.Wrap("listen", "127.0.0.1:0", err)
	}
	l := &listener.Listener{
		Options:   frameOptions(hostName(1)),
		Endpoints: map[messenger.Call]endpoint.Endpoint{call: serve},
		Log:       logr.Discard(),
	}
	serveCtx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- l.Serve(serveCtx, tcpListener) }()
	d := newDialer()
	err = use(d, tcpListener.Addr().String())
	d.Close()
	cancel()
	return errors.Join(err, <-done)
}

// decodeBody decodes the body of a request that an endpoint received.
func decodeBody(request, body any) error { return request.(listener.Request).Decode(body) }

// frameBytes returns the bytes of a message's frame on the wire, without the headers
// of TCP and IP.
func frameBytes(call messenger.Call, answer bool, body any) (float64, error) {
	payload, err := messenger.Encode(messenger.Envelope{ID: 1 << 20, Call: call, Answer: answer}, body)
	return float64(len(payload) + frameOverheadBytes), flow.Wrap("encode", call.String(), err)
}

// reportFrameSizes reports the sizes of a request and its answer in bytes.
func reportFrameSizes(t *Trial, call messenger.Call, request, answer any) error {
	requestBytes, err := frameBytes(call, false, request)
	if err != nil {
		return err
	}
	answerBytes, err := frameBytes(call, true, answer)
	if err != nil {
		return err
	}
	t.Report(requestSize.Name, requestBytes)
	t.Report(answerSize.Name, answerBytes)
	return nil
}

var (
	requestSize = Figure{"request-size", "B", "bytes of the request's frame"}
	answerSize  = Figure{"answer-size", "B", "bytes of the answer's frame"}
)

// controlLoop is the queue of a goroutine that runs functions one after the other,
// as the control goroutine of a daemon does. Closing the channel ends it.
type controlLoop chan func()

// controlQueueLength is the number of functions that may wait.
const controlQueueLength = 1024

func startControlLoop() controlLoop {
	c := make(controlLoop, controlQueueLength)
	go func() {
		for f := range c {
			f()
		}
	}()
	return c
}

// do queues f and waits until it has run.
func (c controlLoop) do(f func()) {
	done := make(chan struct{})
	c <- func() { f(); close(done) }
	<-done
}
