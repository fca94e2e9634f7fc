// Logging of the daemons, which never blocks on a slow reader of the lines.

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

// slogLevels maps the setting to a level of log/slog; V(1) of logr is slog's debug.
var slogLevels = map[string]slog.Level{
	parser.LogError: slog.LevelError,
	parser.LogInfo:  slog.LevelInfo,
	parser.LogDebug: slog.LevelDebug,
}

// startLogging returns a logger that writes at most linesPerSecond, and a function
// that writes the buffered lines and stops it. SIGPIPE is ignored, because by default
// it would end the process when the reader of a standard stream closes its end; now
// only the lines are lost.
func startLogging(out io.Writer, linesPerSecond int, settings parser.Settings) (log logr.Logger, stop func()) {
	signal.Ignore(syscall.SIGPIPE)
	output := logger.New(out, linesPerSecond)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { output.Run(ctx) })
	log = output.Logger(slogLevels[settings.LogLevel]).WithValues("host", settings.Host)
	redirectStandardLog(log)
	return log, func() {
		cancel()
		running.Wait()
	}
}

// redirectStandardLog sends what libraries write to the standard logger to the
// daemon's log at level debug.
func redirectStandardLog(log logr.Logger) {
	standardlog.SetFlags(0)
	standardlog.SetOutput(standardLogWriter{log})
}

type standardLogWriter struct{ log logr.Logger }

// Write logs one message of the standard logger.
func (w standardLogWriter) Write(message []byte) (int, error) {
	w.log.V(1).Info("library", "cause", strings.TrimSpace(string(message)))
	return len(message), nil
}
