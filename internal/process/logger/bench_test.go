package logger_test

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/coltsfootflow/coltsfootflow/internal/process/logger"
)

// BenchmarkLogLine measures the formatting and queueing of one line about a
// request, while another goroutine writes the queued lines.
func BenchmarkLogLine(b *testing.B) {
	w := logger.New(io.Discard, 1<<30)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	log := w.Logger(slog.LevelDebug).WithValues("host", "host-1")
	for b.Loop() {
		log.V(1).Info("request answered", "request", "9c41d07be2a35f68", "route", "r-e9itfrz", "customer", "shop", "service", "stock",
			"server", "i-7f3a91c2", "offers", 2, "reached", 1, "took-ms", 620, "version", 12, "age-ms", 350, "status", 200)
	}
}
