// The command that runs a daemon.

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	standardlog "log"
	"log/slog"
	"strings"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/process/runner"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

func daemonCommand() commander.Command {
	var config string
	return commander.Command{
		Name:    "daemon",
		Usage:   "--config FILE",
		Summary: "runs the daemon of one host",
		Help: `
The settings are JSON with comments; docs/OPERATORS/settings.md lists them.
When every address is open, one line is written that begins with "ready" and
names the addresses. Logs go to standard error, a JSON document a line.

SIGTERM and SIGINT stop the daemon without cutting a request.`,
		Register: func(flags *flag.FlagSet) {
			flags.StringVar(&config, "config", "", "settings file")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			if config == "" {
				return commander.Usagef("--config is missing")
			}
			settings, faults := parser.ReadSettings(config)
			if len(faults) > 0 {
				return badInput(faults)
			}
			return runDaemon(ctx, streams, settings)
		},
	}
}

func runDaemon(ctx context.Context, streams commander.Streams, settings parser.Settings) error {
	log := newLogger(streams.Err, settings.LogLevel).WithValues("host", settings.Host)
	routeStandardLog(log)
	daemon, err := runner.New(settings, log)
	if err != nil {
		return err
	}
	addresses := daemon.Addresses()
	fmt.Fprintf(streams.Out, "ready caller=%s data=%s peer=%s operator=%s\n",
		addresses.Caller, addresses.Data, addresses.Peer, addresses.Operator)
	return daemon.Run(ctx)
}

// levels are the levels of log/slog by setting; logr's V(1) is slog's debug.
var levels = map[string]slog.Level{
	parser.LogError: slog.LevelError,
	parser.LogInfo:  slog.LevelInfo,
	parser.LogDebug: slog.LevelDebug,
}

func newLogger(w io.Writer, level string) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levels[level]}))
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

// badInput joins the faults of a file into one usage error, a line each.
func badInput(faults []error) error {
	return &commander.UsageError{
		Problem: errors.Join(faults...).Error(),
		Advice:  adviceOn(len(faults)),
	}
}

func adviceOn(faults int) string {
	if faults == 1 {
		return "mend it and check again"
	}
	return fmt.Sprintf("mend the %d faults and check again", faults)
}
