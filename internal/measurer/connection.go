// Control connections: the cost of a call by its size, and the memory of an open
// connection.

package measurer

import (
	"context"
	"runtime"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

func frameMeasurement() Measurement {
	return Measurement{
		Name:       "frame",
		Help:       "one call with a body of some bytes and an answer of as many, both ends",
		Parameters: []Parameter{{"bytes", "bytes of the body", 0, 1 << 20}},
		Sizes:      []Size{{"bytes": 64}, {"bytes": 1024}, {"bytes": 16384}},
		Operations: 1000,
		Figures:    []Figure{{"overhead", "B", "bytes added to the body each way"}},
		Measure:    measureFrame,
	}
}

func measureFrame(ctx context.Context, t *Trial) error {
	body := make([]byte, t.Size["bytes"])
	serve := func(_ context.Context, request any) (any, error) {
		var received []byte
		err := decodeBody(request, &received)
		return received, err
	}
	return withListener(ctx, messenger.CallFetch, serve, func(d *dialer.Dialer, address string) error {
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
		size, err := frameBytes(messenger.CallFetch, false, body)
		t.Report("overhead", size-float64(len(body)))
		return err
	})
}

func connectionMeasurement() Measurement {
	return Measurement{
		Name:       "connection",
		Help:       "the memory of one open control connection, both ends",
		Parameters: []Parameter{{"connections", "open connections", 1, 5000}},
		Sizes:      []Size{{"connections": 100}},
		Operations: 1,
		Figures:    []Figure{{"memory", "kB/connection", "live objects and stacks"}},
		Measure:    measureConnection,
	}
}

func measureConnection(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		serve := func(context.Context, any) (any, error) { return true, nil }
		return withListener(ctx, messenger.CallFetch, serve, func(_ *dialer.Dialer, address string) error {
			return measureOpenConnections(ctx, t, address)
		})
	})
}

// cachedGoroutinesPerProcessor is the number of ended goroutines whose stacks the
// runtime keeps for reuse on each processor.
const cachedGoroutinesPerProcessor = 64

// measureOpenConnections reports the memory of open connections. It first opens
// others that use up the cached stacks, which would otherwise hide the cost.
func measureOpenConnections(ctx context.Context, t *Trial, address string) error {
	var open connections
	defer open.close()
	if err := open.add(ctx, address, cachedGoroutinesPerProcessor*runtime.GOMAXPROCS(0)); err != nil {
		return err
	}
	before, count := liveMemoryBytes(), t.Size["connections"]
	if err := open.add(ctx, address, count); err != nil {
		return err
	}
	t.Report("memory", (liveMemoryBytes()-before)/float64(count)/1e3)
	return nil
}

// connections are open connections, each with its own calling daemon.
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
