// Control connections: what a call costs by its size, and what an open
// connection holds.

package measurer

import (
	"context"
	"runtime"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

func frame() Measurement {
	return Measurement{
		Name:       "frame",
		Help:       "one call with a body of some bytes and an answer of as many, both ends",
		Parameters: []Parameter{{"bytes", "bytes of the body", 0, 1 << 20}},
		Sizes:      []Size{{"bytes": 64}, {"bytes": 1024}, {"bytes": 16384}},
		Times:      1000,
		Figures:    []Figure{{"overhead", "B", "bytes added to the body each way"}},
		Measure:    measureFrame,
	}
}

func measureFrame(ctx context.Context, t *Trial) error {
	body := make([]byte, t.Size["bytes"])
	serve := func(_ context.Context, request any) (any, error) {
		var asked []byte
		err := decode(request, &asked)
		return asked, err
	}
	return serveWhile(ctx, messenger.CallFetch, serve, func(d *dialer.Dialer, address string) error {
		call := func() error {
			var answer []byte
			return d.Call(ctx, address, messenger.CallFetch, body, &answer)
		}
		if err := call(); err != nil {
			return err
		}
		if err := t.Repeat(ctx, call); err != nil {
			return err
		}
		size, err := wireSize(messenger.CallFetch, false, body)
		t.Report("overhead", size-float64(len(body)))
		return err
	})
}

// -----------------------------------------------------------------------------

func connection() Measurement {
	return Measurement{
		Name:       "connection",
		Help:       "the memory of one open control connection, both ends",
		Parameters: []Parameter{{"connections", "open connections", 1, 5000}},
		Sizes:      []Size{{"connections": 100}},
		Times:      1,
		Figures:    []Figure{{"memory", "kB/connection", "live objects and stacks"}},
		Measure:    measureConnection,
	}
}

func measureConnection(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		serve := func(context.Context, any) (any, error) { return true, nil }
		return serveWhile(ctx, messenger.CallFetch, serve, func(_ *dialer.Dialer, address string) error {
			return holdConnections(ctx, t, address)
		})
	})
}

// deadGoroutines is the number of ended goroutines whose stacks the runtime
// keeps for each processor.
const deadGoroutines = 64

// holdConnections reports the memory that connections take. Others are opened
// before, which use up the stacks of goroutines that have ended.
func holdConnections(ctx context.Context, t *Trial, address string) error {
	var open connections
	defer open.close()
	if err := open.add(ctx, address, deadGoroutines*runtime.GOMAXPROCS(0)); err != nil {
		return err
	}
	before, count := liveMemory(), t.Size["connections"]
	if err := open.add(ctx, address, count); err != nil {
		return err
	}
	t.Report("memory", (liveMemory()-before)/float64(count)/1e3)
	return nil
}

// connections are open connections, each of a daemon of its own.
type connections []*dialer.Dialer

func (c *connections) add(ctx context.Context, address string, count int) error {
	for range count {
		d := newDialer()
		*c = append(*c, d)
		var answer bool
		if err := d.Call(ctx, address, messenger.CallFetch, true, &answer); err != nil {
			return err
		}
	}
	return nil
}

func (c *connections) close() {
	for _, d := range *c {
		d.Close()
	}
}
