// What all benchmarks measure with: processor time, memory, and a pair of
// daemons' ends of a control connection.

package measurer_test

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

// frameOverhead is what a frame adds to its payload, in bytes: a length of four
// and a tag.
const frameOverhead = 4 + framer.TagSize

// processorTime returns the user and system time of the process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportProcessor reports the processor time of one operation since a moment.
func reportProcessor(b *testing.B, since time.Duration) {
	b.Helper()
	used := processorTime(b) - since
	b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
}

// liveMemory returns the bytes of live objects and of stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// payloadSize returns the bytes of a message on the wire, without TCP and IP.
func payloadSize(b *testing.B, call messenger.Call, answer bool, body any) float64 {
	b.Helper()
	payload, err := messenger.Encode(messenger.Envelope{ID: 1 << 20, Call: call, Answer: answer}, body)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(payload) + frameOverhead)
}

// -----------------------------------------------------------------------------

func frameOptions(host string) framer.Options {
	return framer.Options{
		Self:   framer.Identity{Host: host, Incarnation: 1 << 60},
		Secret: []byte("a secret for loopback only"),
		Limit:  4 << 20,
	}
}

// serveCall serves one call on loopback until the benchmark ends, and returns
// the address.
func serveCall(b *testing.B, call messenger.Call, serve endpoint.Endpoint) string {
	b.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &listener.Listener{
		Options:   frameOptions("host-0001"),
		Endpoints: map[messenger.Call]endpoint.Endpoint{call: serve},
		Log:       logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, accepting) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return accepting.Addr().String()
}

// newCaller returns the calling end.
func newCaller(b *testing.B) *dialer.Dialer {
	b.Helper()
	d := dialer.New(frameOptions("host-0000"), nil)
	b.Cleanup(d.Close)
	return d
}

// control is a goroutine that runs functions one after the other, as the
// control goroutine of a daemon does.
type control chan func()

func startControl(b *testing.B) control {
	b.Helper()
	c := make(control, 1024)
	go func() {
		for f := range c {
			f()
		}
	}()
	b.Cleanup(func() { close(c) })
	return c
}

// do runs f and waits for its end.
func (c control) do(f func()) {
	done := make(chan struct{})
	c <- func() { f(); close(done) }
	<-done
}
