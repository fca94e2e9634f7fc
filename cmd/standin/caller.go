// The command that sends requests, and ends with a summary of how they fared.

package main

import (
	"context"
	"errors"
	"flag"
	"os"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func callerCommand() commander.Command {
	var options caller.Options
	var journal string
	var asJSON bool
	return commander.Command{
		Name:    "caller",
		Usage:   "--ingress IP:PORT --customer name=NAME,key=KEY,rate=N [flags]",
		Summary: "sends requests of several customers and checks the answers",
		Help: `
Requests start at random moments that do not wait for answers; latency counts
from the moment at which a request was to start. The settings of a customer and
their defaults are:

` + caller.CustomerHelp(),
		Register: func(flags *flag.FlagSet) {
			options.RegisterFlags(flags)
			flags.StringVar(&journal, "journal", "", "file to write each request to as a line of JSON")
			flags.BoolVar(&asJSON, "json", false, "write the summary as JSON")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			summary, err := runCaller(ctx, options, journal)
			if err != nil {
				return err
			}
			if asJSON {
				return summary.WriteJSON(streams.Out)
			}
			return summary.WriteTable(streams.Out)
		},
	}
}

func runCaller(ctx context.Context, options caller.Options, journal string) (caller.Summary, error) {
	if journal == "" {
		return send(ctx, options)
	}
	file, err := os.Create(journal)
	if err != nil {
		return caller.Summary{}, flow.Wrap("open-journal", journal, err)
	}
	options.Journal = file
	summary, err := send(ctx, options)
	return summary, errors.Join(err, file.Close())
}

func send(ctx context.Context, options caller.Options) (caller.Summary, error) {
	c, err := caller.New(options)
	if err != nil {
		return caller.Summary{}, commander.Usagef("%v", err)
	}
	return c.Run(ctx)
}
