// The command that runs a daemon.

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/process/runner"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

// maxDaemonLogLines bounds the log lines a second of a daemon. It is far above one
// line for each request at the rates of docs/CAPACITY.md.
const maxDaemonLogLines = 20000

func daemonCommand() commander.Command {
	var config string
	return commander.Command{
		Name:    "daemon",
		Usage:   "--config FILE",
		Summary: "runs the daemon of one host",
		Help: `
The settings are JSON with comments; docs/OPERATORS/settings.md lists them.
Once the daemon listens on every address, it writes one line that begins with
"ready" and names the addresses. Logs go to standard error, a JSON document a line.

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
				return invalidInput(faults)
			}
			return runDaemon(ctx, streams, settings)
		},
	}
}

func runDaemon(ctx context.Context, streams commander.Streams, settings parser.Settings) error {
	log, stopLogging := startLogging(streams.Err, maxDaemonLogLines, settings)
	defer stopLogging()
	daemon, err := runner.New(settings, log)
	if err != nil {
		return err
	}
	addresses := daemon.Addresses()
	fmt.Fprintf(streams.Out, "ready caller=%s data=%s peer=%s operator=%s\n",
		addresses.Caller, addresses.Data, addresses.Peer, addresses.Operator)
	return daemon.Run(ctx)
}

// invalidInput joins the faults of files into one usage error with one line for each.
func invalidInput(faults []error) error {
	return &commander.UsageError{
		Problem: errors.Join(faults...).Error(),
		Advice:  faultAdvice(len(faults)),
	}
}

func faultAdvice(faults int) string {
	if faults == 1 {
		return "fix it and check again"
	}
	return fmt.Sprintf("fix the %d faults and check again", faults)
}
