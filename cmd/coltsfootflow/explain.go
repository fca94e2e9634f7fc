// The command that reconstructs the course of a request from logs.

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/explainer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func explainCommand() commander.Command {
	return commander.Command{
		Name:    "explain",
		Usage:   "REQUEST-ID LOG ...",
		Summary: "reconstructs the course of a request from the logs of daemons",
		Help: `
Each LOG is a file with the standard output of one or more daemons. The lines
about the request, and about the calls that it made, are shown in order of time,
and then its outcome and the cause. Times are those of the hosts' own clocks.`,
		Run: func(_ context.Context, streams commander.Streams, args []string) error {
			if len(args) < 2 {
				return commander.Usagef("a request id and a log are needed")
			}
			var lines []explainer.Line
			for _, path := range args[1:] {
				found, err := readLogLines(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if !explainer.WriteTimeline(streams.Out, args[0], lines) {
				return fmt.Errorf("request %q is in none of the %d logs", args[0], len(args)-1)
			}
			return nil
		},
	}
}

func readLogLines(path, request string) ([]explainer.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, flow.Wrap("explain", path, err)
	}
	defer func() { _ = file.Close() }()
	return explainer.Read(file, request)
}
