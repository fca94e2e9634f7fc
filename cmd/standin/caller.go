// The command that generates load and prints a summary of the responses.

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
	var journalPath string
	var asJSON bool
	return commander.Command{
		Name:    "caller",
		Usage:   "--ingress IP:PORT --customer name=NAME,key=KEY,rate=N [flags]",
		Summary: "sends requests of several customers and checks the responses",
		Help: `
Requests start at random times and do not wait for earlier responses; latency
counts from the time at which a request was due to start. The settings of a
customer and their defaults are:

` + caller.CustomerHelp(),
		Register: func(flags *flag.FlagSet) {
			options.RegisterFlags(flags)
			flags.StringVar(&journalPath, "journal", "", "file to write each request to as a line of JSON")
			flags.BoolVar(&asJSON, "json", false, "write the summary as JSON")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			summary, err := runCaller(ctx, options, journalPath)
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

func runCaller(ctx context.Context, options caller.Options, journalPath string) (caller.Summary, error) {
	if journalPath == "" {
		return runWithOptions(ctx, options)
	}
	file, err := os.Create(journalPath)
	if err != nil {
		return caller.Summary{}, flow.Wrap("open-journal", journalPath, err)
	}
	options.Journal = file
	summary, err := runWithOptions(ctx, options)
	return summary, errors.Join(err, file.Close())
}

func runWithOptions(ctx context.Context, options caller.Options) (caller.Summary, error) {
	c, err := caller.New(options)
	if err != nil {
		return caller.Summary{}, commander.Usagef("%v", err)
	}
	return c.Run(ctx)
}
