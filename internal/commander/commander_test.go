package commander_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
)

func table() []commander.Command {
	var size int
	return []commander.Command{{
		Name:     "weigh",
		Usage:    "[flags] FILE",
		Summary:  "weighs a file",
		Help:     "The weight is printed in grams.",
		Register: func(flags *flag.FlagSet) { flags.IntVar(&size, "size", 3, "the size") },
		Run: func(_ context.Context, streams commander.Streams, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("read: %w", commander.Usagef("no file is named"))
			}
			if args[0] == "broken" {
				return errors.New("read: broken: no such file")
			}
			fmt.Fprintf(streams.Out, "size=%d file=%s\n", size, args[0])
			return nil
		},
	}}
}

func TestRun(t *testing.T) {
	cases := map[string]struct {
		args     string
		variable string
		code     int
		out, err string
	}{
		"flag from the arguments":            {args: "weigh --size 5 a", code: commander.ExitOK, out: "size=5 file=a\n"},
		"flag from the environment":          {args: "weigh a", variable: "7", code: commander.ExitOK, out: "size=7 file=a\n"},
		"arguments override the environment": {args: "weigh --size 5 a", variable: "7", code: commander.ExitOK, out: "size=5 file=a\n"},
		"command that fails":                 {args: "weigh broken", code: commander.ExitFailed, err: "scale weigh: read: broken: no such file\n"},
		"command that reports bad usage":     {args: "weigh", code: commander.ExitUsage, err: "scale weigh: read: no file is named; run 'scale help weigh'\n"},
		"unknown command":                    {args: "wiegh", code: commander.ExitUsage, err: "scale: unknown command \"wiegh\"; run 'scale help' for the list of commands\n"},
		"unknown flag":                       {args: "weigh --sise 1", code: commander.ExitUsage, err: "flag provided but not defined: -sise; run 'scale help weigh'\n"},
		"no command":                         {args: "", code: commander.ExitUsage, err: "weigh  weighs a file\n"},
		"list of commands":                   {args: "help", code: commander.ExitOK, out: "weigh  weighs a file\n"},
		"help of a command":                  {args: "help weigh", code: commander.ExitOK, out: "Usage: scale weigh [flags] FILE\n\nweighs a file\n\nThe weight is printed in grams.\n\nFlags:\n  -size"},
		"help by a flag":                     {args: "weigh --help", code: commander.ExitOK, out: "The weight is printed in grams."},
		"help of an unknown command":         {args: "help wiegh", code: commander.ExitUsage, err: "unknown command \"wiegh\""},
		"malformed value in the environment": {args: "weigh a", variable: "x", code: commander.ExitUsage, err: "scale weigh: "},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if tc.variable != "" {
				t.Setenv("SCALE_SIZE", tc.variable)
			}
			var out, err bytes.Buffer
			code := commander.Run(context.Background(), "scale", table(), strings.Fields(tc.args), commander.Streams{Out: &out, Err: &err})
			is.Equal(code, tc.code)
			is.True(strings.Contains(out.String(), tc.out))
			is.True(strings.Contains(err.String(), tc.err))
			is.Equal(out.Len() > 0, tc.out != "")
			is.Equal(err.Len() > 0, tc.err != "")
		})
	}
}
