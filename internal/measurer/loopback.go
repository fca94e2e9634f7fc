// A pair of daemons' ends of a control connection.

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
	// frameOverhead is what a frame adds to its payload, in bytes: a length of
	// four and a tag.
	frameOverhead = 4 + framer.TagSize
	// frameLimit bounds a frame, in bytes.
	frameLimit = 4 << 20
)

func frameOptions(host string) framer.Options {
	return framer.Options{
		Self:            framer.Identity{Host: host, Incarnation: 1 << 60},
		Secret:          []byte("a secret for loopback only"),
		MaxPayloadBytes: frameLimit,
	}
}

// newDialer returns a calling end.
func newDialer() *dialer.Dialer { return dialer.New(frameOptions(hostName(0)), nil) }

// serveWhile serves one call on loopback while use runs, which gets a calling
// end and the address.
func serveWhile(ctx context.Context, call messenger.Call, serve endpoint.Endpoint, use func(d *dialer.Dialer, address string) error) error {
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return flow.Wrap("listen", "127.0.0.1:0", err)
	}
	l := &listener.Listener{
		Options:   frameOptions(hostName(1)),
		Endpoints: map[messenger.Call]endpoint.Endpoint{call: serve},
		Log:       logr.Discard(),
	}
	serving, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- l.Serve(serving, accepting) }()
	d := newDialer()
	err = use(d, accepting.Addr().String())
	d.Close()
	cancel()
	return errors.Join(err, <-done)
}

// decode reads the body of a request that an endpoint received.
func decode(request, body any) error { return request.(listener.Request).Decode(body) }

// wireSize returns the bytes of a message on the wire, without TCP and IP.
func wireSize(call messenger.Call, answer bool, body any) (float64, error) {
	payload, err := messenger.Encode(messenger.Envelope{ID: 1 << 20, Call: call, Answer: answer}, body)
	return float64(len(payload) + frameOverhead), flow.Wrap("encode", call.String(), err)
}

// reportSizes reports the sizes of a request and its answer.
func reportSizes(t *Trial, call messenger.Call, request, answer any) error {
	asked, err := wireSize(call, false, request)
	if err != nil {
		return err
	}
	answered, err := wireSize(call, true, answer)
	if err != nil {
		return err
	}
	t.Report(requestSize.Name, asked)
	t.Report(answerSize.Name, answered)
	return nil
}

var (
	requestSize = Figure{"request-size", "B", "bytes of the request's frame"}
	answerSize  = Figure{"answer-size", "B", "bytes of the answer's frame"}
)

// -----------------------------------------------------------------------------

// control is a goroutine that runs functions one after the other, as the
// control goroutine of a daemon does. It ends when the channel is closed.
type control chan func()

// controlQueue is the number of functions that may wait.
const controlQueue = 1024

func startControl() control {
	c := make(control, controlQueue)
	go func() {
		for f := range c {
			f()
		}
	}()
	return c
}

// do runs f and waits for its end.
func (c control) do(f func()) {
	done := make(chan struct{})
	c <- func() { f(); close(done) }
	<-done
}
