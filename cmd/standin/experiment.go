// The commands that run an experiment, and compare and plot results.

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// experimentFlags are the flags of the command experiment.
type experimentFlags struct {
	program string
	seed    uint64
	out     string
	log     string
	check   bool
	warmUp  time.Duration
	set     stringsFlag
}

// stringsFlag is a flag that may be repeated.
type stringsFlag []string

// String returns the values with spaces between them.
func (f *stringsFlag) String() string { return strings.Join(*f, " ") }

// Set appends a value.
func (f *stringsFlag) Set(text string) error {
	*f = append(*f, text)
	return nil
}

func experimentCommand() commander.Command {
	var flags experimentFlags
	return commander.Command{
		Name:    "experiment",
		Usage:   "[--seed N] [--out RESULT.json] [--set SETTING=VALUE ...] FILE",
		Summary: "runs an experiment on a fleet of real daemons and measures it",
		Help: `
FILE holds an experiment as JSON with comments; the folder experiments has some.
The program coltsfootflow must be built without the race detector. Flags may
stand before or after FILE.`,
		Register: func(set *flag.FlagSet) { flags.register(set) },
		Run: func(ctx context.Context, streams commander.Streams, args []string) error {
			file, err := flags.parseFile(args)
			if err != nil {
				return err
			}
			return runExperiment(ctx, streams, file, flags)
		},
	}
}

func (f *experimentFlags) register(set *flag.FlagSet) {
	f.set = nil
	set.StringVar(&f.program, "program", "", "the coltsfootflow program; by default the one beside this program")
	set.Uint64Var(&f.seed, "seed", 1, "seed of all that is random in the load and the stand-ins")
	set.StringVar(&f.out, "out", "", "file to write the result to as JSON")
	set.StringVar(&f.log, "log", "", "file to write the daemons' logs to")
	set.BoolVar(&f.check, "check", false, "only check the file")
	set.DurationVar(&f.warmUp, "warm-up", 0, "time of load before the measured time; 0 for that of the file")
	set.Var(&f.set, "set", "a setting of every daemon, like limiter=fixed; may be repeated")
}

// parseFile returns the only argument, and parses the flags that follow it.
func (f *experimentFlags) parseFile(args []string) (string, error) {
	if len(args) == 0 {
		return "", commander.Usagef("no experiment file is named")
	}
	remaining := flag.NewFlagSet("experiment", flag.ContinueOnError)
	remaining.SetOutput(io.Discard)
	before := *f
	f.register(remaining)
	*f = before
	if err := remaining.Parse(args[1:]); err != nil {
		return "", commander.Usagef("%v", err)
	}
	if remaining.NArg() > 0 {
		return "", commander.Usagef("one experiment file is wanted, not %q too", remaining.Arg(0))
	}
	return args[0], nil
}

func runExperiment(ctx context.Context, streams commander.Streams, file string, flags experimentFlags) error {
	experiment, err := planner.Read(file)
	if err != nil {
		return commander.Usagef("%v", err)
	}
	for _, setting := range flags.set {
		if err := experiment.Override(setting); err != nil {
			return commander.Usagef("%v", err)
		}
	}
	if flags.warmUp > 0 {
		experiment.WarmUp = planner.Duration(flags.warmUp)
	}
	if flags.check {
		return nil
	}
	if flags.program == "" {
		flags.program = siblingProgram("coltsfootflow")
	}
	options := experimenter.Options{Program: flags.program, Seed: flags.seed, Progress: streams.Err}
	if flags.log != "" {
		log, err := os.Create(flags.log)
		if err != nil {
			return flow.Wrap("open-log", flags.log, err)
		}
		defer func() { _ = log.Close() }()
		options.Log = log
	}
	result, err := experimenter.Run(ctx, experiment, options)
	if err != nil {
		return err
	}
	result.Command = fmt.Sprintf("standin experiment %s --seed %d", file, flags.seed)
	if flags.warmUp > 0 {
		result.Command += fmt.Sprintf(" --warm-up %v", flags.warmUp)
	}
	for _, setting := range flags.set {
		result.Command += " --set " + setting
	}
	if err := result.WriteTable(streams.Out); err != nil || flags.out == "" {
		return err
	}
	return result.WriteFile(flags.out)
}

func compareCommand() commander.Command {
	return commander.Command{
		Name:    "compare",
		Usage:   "A.json B.json",
		Summary: "compares the results of two experiments",
		Help: `
Shows each figure of both results, the difference, and which result is better.
One run of each says little: repeat them with other seeds.`,
		Run: func(_ context.Context, streams commander.Streams, args []string) error {
			if len(args) != 2 {
				return commander.Usagef("two result files are wanted, not %d", len(args))
			}
			a, err := presenter.ReadResult(args[0])
			if err != nil {
				return err
			}
			b, err := presenter.ReadResult(args[1])
			if err != nil {
				return err
			}
			return presenter.WriteComparison(streams.Out, a, b)
		},
	}
}

func plotCommand() commander.Command {
	return commander.Command{
		Name:    "plot",
		Usage:   "RESULT.json FILE.svg",
		Summary: "plots the result of an experiment",
		Help:    "The image shows success and latency for each second, and the times of faults and changes.",
		Run: func(_ context.Context, _ commander.Streams, args []string) error {
			if len(args) != 2 {
				return commander.Usagef("a result file and a file for the image are wanted, not %d files", len(args))
			}
			result, err := presenter.ReadResult(args[0])
			if err != nil {
				return err
			}
			file, err := os.Create(args[1])
			if err != nil {
				return flow.Wrap("open-plot", args[1], err)
			}
			return errors.Join(result.WritePlot(file), file.Close())
		},
	}
}
