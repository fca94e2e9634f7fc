// Logging of the daemons, which never waits for the reader of the lines.

package main

import (
	"context"
	"io"
	standardlog "log"
	"log/slog"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/process/logger"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// levels are the levels of log/slog by setting; logr's V(1) is slog's debug.
var levels = map[string]slog.Level{
	parser.LogError: slog.LevelError,
	parser.LogInfo:  slog.LevelInfo,
	parser.LogDebug: slog.LevelDebug,
}

// startLogging returns a logger that writes so many lines a second at most. Its stop
// writes the last lines. A reader that closes its end costs the lines, and no more: by
// default SIGPIPE from the standard streams would end the process.
func startLogging(out io.Writer, linesPerSecond int, settings parser.Settings) (log logr.Logger, stop func()) {
	signal.Ignore(syscall.SIGPIPE)
	journal := logger.New(out, linesPerSecond)
	writing, stopWriting := context.WithCancel(context.Background())
	var written sync.WaitGroup
	written.Go(func() { journal.Run(writing) })
	log = journal.Logger(levels[settings.LogLevel]).WithValues("host", settings.Host)
	routeStandardLog(log)
	return log, func() {
		stopWriting()
		written.Wait()
	}
}

// routeStandardLog sends what libraries write to the standard logger to the
// debug level of the daemon's.
func routeStandardLog(log logr.Logger) {
	standardlog.SetFlags(0)
	standardlog.SetOutput(logWriter{log})
}

type logWriter struct{ log logr.Logger }

// Write logs one message.
func (w logWriter) Write(message []byte) (int, error) {
	w.log.V(1).Info("library", "cause", strings.TrimSpace(string(message)))
	return len(message), nil
}
